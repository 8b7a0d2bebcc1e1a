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

/// Load samples, reported with a delay of Lag.
struct LoadHistory {
  Duration Lag = Duration::zero();
  std::deque<LoadSample> Samples; // Oldest first.
};

/// Adds \p Sample and drops samples that are no longer needed.
void record(LoadHistory &History, const LoadSample &Sample);
/// Returns the newest sample that is at least Lag old at \p Now, or the oldest.
LoadSample lagged(const LoadHistory &History, TimePoint Now);

/// Cache events of one announcement. No hash is in both lists.
struct CacheBatch {
  std::uint64_t Sequence = 0; // Number of the first event.
  std::vector<std::uint64_t> Added;
  std::vector<std::uint64_t> Removed;
};

/// Publishes cache events with a delay and drops some batches.
struct CacheFeed {
  struct Pending {
    TimePoint At;
    CacheEvent Event;
  };
  Duration Delay = Duration::zero();
  double GapShare = 0; // Share of non-empty batches that are dropped.
  Random Source;
  std::uint64_t Sequence = 0; // Number of the next event.
  std::deque<Pending> Waiting;
};

void push(CacheFeed &Feed, const std::vector<CacheEvent> &Events,
          TimePoint Now);
/// Returns the events to publish at \p Now. A dropped batch leaves a gap in the
/// sequence numbers.
CacheBatch takeBatch(CacheFeed &Feed, TimePoint Now);

} // namespace pimento::fakes
