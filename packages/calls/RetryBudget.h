//===- RetryBudget.h - How many second tries a service may make -*- C++ -*-===//
#pragma once

#include "base/Ids.h"
#include "base/Random.h"
#include "base/Settings.h"
#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace pimento::calls {

/// A bucket of retries: each first try puts a share of one in, each retry
/// takes one out. A few are lent to begin with: until first tries have earned
/// as many, nothing is added.
struct RetryBudget {
  double Tokens = 3;               // Retries in hand.
  double Unearned = 3;             // Of the first ones, not earned yet.
  std::uint64_t FirstAttempts = 0; // Counted for the record.
  std::uint64_t Retries = 0;
  std::uint64_t Refused = 0; // Retries that the budget did not allow.
};

/// Most retries in hand.
constexpr double MaxRetryTokens = 100;

void onFirstAttempt(RetryBudget &Budget, double Share);
/// Takes one retry out; false where there is none.
bool consumeRetry(RetryBudget &Budget);

/// A run of failures of one backend server. It ends once the server has not
/// failed for EpisodeGap.
struct FailureEpisode {
  TimePoint Began;
  TimePoint Last;
};
constexpr Duration EpisodeGap = seconds(10);
constexpr std::size_t MaxEpisodes = 4096; // Further servers are not followed.

using FailureEpisodes = std::map<BackendId, FailureEpisode>;

/// Notes a failure of a try that began at \p AttemptStarted, and tells whether
/// the try was under way when the server began to fail. Attempts of that kind
/// cost no budget: a server that dies fails all it had at once, and each of
/// them moves on once. What was sent to it later does cost.
bool startedBeforeFailures(FailureEpisodes &Episodes, const BackendId &Server,
                           TimePoint AttemptStarted, TimePoint Now);

/// How long to wait before try number \p Attempt (from 2): doubled each time,
/// and drawn between half of that and the whole.
Duration backoff(const RetrySettings &Settings, std::uint32_t Attempt,
                 Random &Rng);

} // namespace pimento::calls
