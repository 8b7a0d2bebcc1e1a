//===- EngineReports.h - Lagged load, late cache events ---------*- C++ -*-===//
#pragma once

#include "base/Random.h"
#include "base/Time.h"
#include "fakes/PrefixCache.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace pimento::fakes {

struct LoadSample {
  TimePoint At;
  std::uint64_t UsedTokens = 0;
  std::uint64_t Running = 0;
  std::uint64_t Waiting = 0;
};

/// Reports load as it was some time ago.
struct LoadHistory {
  Duration Lag = Duration::zero();
  std::deque<LoadSample> Samples; // Oldest first.
};

/// Adds \p Sample and forgets what no report needs any more.
void record(LoadHistory &History, const LoadSample &Sample);
/// The newest sample that is at least Lag old at \p Now, else the oldest.
LoadSample lagged(const LoadHistory &History, TimePoint Now);

/// One announcement's cache events. No hash stands in both lists.
struct CacheBatch {
  std::uint64_t Sequence = 0; // Number of the first event.
  std::vector<std::uint64_t> Added;
  std::vector<std::uint64_t> Removed;
};

/// Publishes cache events late and loses some batches.
struct CacheFeed {
  struct Pending {
    TimePoint At;
    CacheEvent Event;
  };
  Duration Delay = Duration::zero();
  double GapShare = 0; // Of the batches with events, those that are lost.
  Random Source;
  std::uint64_t Sequence = 0; // Of the next event.
  std::deque<Pending> Waiting;
};

void push(CacheFeed &Feed, const std::vector<CacheEvent> &Events,
          TimePoint Now);
/// What to publish at \p Now; a batch that was lost only leaves its gap.
CacheBatch takeBatch(CacheFeed &Feed, TimePoint Now);

} // namespace pimento::fakes
