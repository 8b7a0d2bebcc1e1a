//===- RetryBudget.h - Retry budget and backoff -----------------*- C++ -*-===//
//
// Limits retries to a share of a service's first attempts, so that retries
// don't multiply the load of failing backend servers.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "base/Random.h"
#include "base/Settings.h"
#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace pimento::calls {

/// A token bucket of retries: each first attempt adds a fraction of a token,
/// each retry takes one. The bucket starts with a few tokens in advance; first
/// attempts pay these back before they add any.
struct RetryBudget {
  double Tokens = 3;               // Retries available.
  double Unearned = 3;             // Initial tokens not paid back yet.
  std::uint64_t FirstAttempts = 0; // Statistics only.
  std::uint64_t Retries = 0;
  std::uint64_t Refused = 0; // Retries that the budget did not allow.
};

/// Capacity of the bucket.
constexpr double MaxRetryTokens = 100;

void onFirstAttempt(RetryBudget &Budget, double Share);
/// Takes one token; returns false if none is left.
bool consumeRetry(RetryBudget &Budget);

/// A series of failures of one backend server. It ends when the server has not
/// failed for EpisodeGap.
struct FailureEpisode {
  TimePoint Began;
  TimePoint Last;
};
constexpr Duration EpisodeGap = seconds(10);
constexpr std::size_t MaxEpisodes = 4096; // Further servers are not tracked.

using FailureEpisodes = std::map<BackendId, FailureEpisode>;

/// Records a failure of an attempt that began at \p AttemptStarted. Returns
/// whether the attempt had begun before the server began to fail. Retries of
/// such attempts cost no budget, because a server that dies fails all its
/// requests at once and each of them moves to another server once. Attempts
/// sent to the failing server later do cost budget.
bool startedBeforeFailures(FailureEpisodes &Episodes, const BackendId &Server,
                           TimePoint AttemptStarted, TimePoint Now);

/// The delay before attempt number \p Attempt (from 2): the base doubles with
/// each attempt, and the delay is drawn between half of that and all of it.
Duration backoff(const RetrySettings &Settings, std::uint32_t Attempt,
                 Random &Rng);

} // namespace pimento::calls
