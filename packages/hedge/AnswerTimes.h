//===- AnswerTimes.h - How long a route's answers take ----------*- C++ -*-===//
//
//   AnswerTimes T;
//   onAnswer(T, Took, R, Now);      // Time to the first byte of each answer.
//   if (Age > slowAfter(T, R)) {    // The attempt is slower than most.
//     onSlowAttempt(T);
//     if (isSlowAsAWhole(T, R)) ... // So are many others.
//   }
//
// Keeps a quantile of the answer times of one route at one service, and tells a
// few slow answers, which another server may cut short, from a service that is
// slow as a whole, where more requests would make all of them later.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <memory>

namespace pimento::hedge {

/// A streaming estimate of one quantile (AnswerTimes.cpp).
struct QuantileEstimate;

/// When an answer counts as slow.
struct SlowRule {
  double Quantile = 0.95; // Share of recent answers that are faster.
  Duration MinDelay = milliseconds(50); // No answer is slow before this age.
  Duration Assumed =
      Duration::zero(); // Stands for the quantile until there are
                        // enough answers; zero: nothing does.
};

struct AnswerTimes {
  /// Of the answers since FillingSince; replaces Usual once there are enough.
  std::shared_ptr<QuantileEstimate> Filling;
  std::size_t FillingCount = 0;
  TimePoint FillingSince{};
  Duration Usual = Duration::zero(); // The quantile; zero: not known yet.
  double SlowShare = 0; // Moving share of attempts that were slow, 0 to 1.
};

/// Records the time from an attempt's beginning to the first byte of its
/// answer.
void onAnswer(AnswerTimes &T, Duration Took, const SlowRule &R, TimePoint Now);

/// Records that an attempt is at work for longer than slowAfter(). To be called
/// at that time, not with its answer: in an overload the answers come too late
/// to say so.
void onSlowAttempt(AnswerTimes &T);

/// Age from which an attempt without an answer is slow; the maximum if neither
/// the quantile nor an assumption is known.
Duration slowAfter(const AnswerTimes &T, const SlowRule &R);

/// Whether far more attempts are slow than the quantile lets expect.
bool isSlowAsAWhole(const AnswerTimes &T, const SlowRule &R);

} // namespace pimento::hedge
