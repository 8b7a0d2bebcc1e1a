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

/// Why a server is limited.
enum class LimitCause : std::uint8_t {
  Named,     // It named a limit.
  Cold,      // It is cold: servers without a limit get requests before it.
  MayBeCold, // It may have become cold; it is as good as others.
};

struct LimitBucket {
  double PerSecond = 1;
  double Tokens = 0; // At FilledAt.
  TimePoint FilledAt{};
  TimePoint LastTaken{};   // The epoch: no token was taken yet.
  std::uint64_t Taken = 0; // Tokens taken so far.
  double MaxTokens = 0;    // That it holds; zero: by the rate.
  LimitCause Cause = LimitCause::Named;
  TimePoint EndsAt = TimePoint::max(); // The limit ends; max: not known.
};

/// Returns a bucket with \p Tokens tokens. Rates below MinPerSecond are raised.
LimitBucket makeBucket(double PerSecond, double Tokens, TimePoint Now);

/// Changes the rate; keeps the tokens.
void setRate(LimitBucket &B, double PerSecond, TimePoint Now);

/// Time until \p Tokens of a supply with this rate are there, at most until
/// one of the limits ends.
Duration waitForTokens(double Tokens, double PerSecond, TimePoint EndsAt,
                       TimePoint Now);

double tokensAt(const LimitBucket &B, TimePoint Now);
bool hasToken(const LimitBucket &B, TimePoint Now);
void takeToken(LimitBucket &B, TimePoint Now);

} // namespace pimento
