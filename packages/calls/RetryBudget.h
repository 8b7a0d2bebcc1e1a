//===- RetryBudget.h - How many second tries a service may make -*- C++ -*-===//
#pragma once

#include "base/Random.h"
#include "base/Settings.h"
#include "base/Time.h"

#include <cstdint>

namespace pimento::calls {

/// A bucket of retries: each first try puts a share of one in, each retry
/// takes one out. A few are lent to begin with: until first tries have earned
/// as many, nothing is added.
struct RetryBudget {
  double Tokens = 3;            // Retries in hand.
  double Lent = 3;              // Of the first ones, not earned yet.
  std::uint64_t FirstTries = 0; // Counted for the record.
  std::uint64_t Retries = 0;
  std::uint64_t Refused = 0; // Retries that the budget did not allow.
};

/// Most retries in hand.
constexpr double MaxRetryTokens = 100;

void onFirstTry(RetryBudget &Budget, double Share);
/// Takes one retry out; false where there is none.
bool takeRetry(RetryBudget &Budget);

/// How long to wait before try number \p Try (from 2): doubled each time, and
/// drawn between half of that and the whole.
Duration backoff(const RetrySettings &Settings, std::uint32_t Try, Random &Rng);

} // namespace pimento::calls
