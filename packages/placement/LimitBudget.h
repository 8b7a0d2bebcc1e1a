//===- LimitBudget.h - Budget of a limited backend server -------*- C++ -*-===//
//
//   LimitBucket B = makeBucket(PerSecond, Tokens, Now);
//   if (hasToken(B, Now))
//     takeToken(B, Now);                        // One request may be sent.
//
// A token bucket: a token is one request. It holds little more than one, so
// that a server gets its requests evenly spread and not in bursts.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Time.h"

#include <cstdint>

namespace pimento {

/// Lowest rate of a limited server, in requests a second. Its answers are the
/// only way to learn that it is well again.
constexpr double MinPerSecond = 0.1;

struct LimitBucket {
  double PerSecond = 1;
  double Tokens = 0; // At FilledAt.
  TimePoint FilledAt{};
  TimePoint LastTaken{};   // The epoch: no token was taken yet.
  std::uint64_t Taken = 0; // Tokens taken so far.
};

/// Returns a bucket with \p Tokens tokens. Rates below MinPerSecond are raised.
LimitBucket makeBucket(double PerSecond, double Tokens, TimePoint Now);

/// Changes the rate; keeps the tokens.
void setRate(LimitBucket &B, double PerSecond, TimePoint Now);

double tokensAt(const LimitBucket &B, TimePoint Now);
bool hasToken(const LimitBucket &B, TimePoint Now);
void takeToken(LimitBucket &B, TimePoint Now);

} // namespace pimento
