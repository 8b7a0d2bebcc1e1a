#include "placement/LimitBudget.h"

#include <algorithm>

namespace pimento {

namespace {

/// Time whose requests a bucket holds, if these are more than one.
constexpr Duration BurstTime = milliseconds(250);
/// Tolerance for rounding errors of the tokens.
constexpr double Rounding = 1e-9;

double capacity(const LimitBucket &B) {
  if (B.MaxTokens > 0)
    return B.MaxTokens;
  return std::max(1.0, B.PerSecond * toSeconds(BurstTime));
}

} // namespace

LimitBucket makeBucket(double PerSecond, double Tokens, TimePoint Now) {
  LimitBucket B;
  B.PerSecond = std::max(PerSecond, MinPerSecond);
  B.Tokens = Tokens;
  B.FilledAt = Now;
  return B;
}

void setRate(LimitBucket &B, double PerSecond, TimePoint Now) {
  B.Tokens = tokensAt(B, Now);
  B.FilledAt = Now;
  B.PerSecond = std::max(PerSecond, MinPerSecond);
}

Duration waitForTokens(double Tokens, double PerSecond, TimePoint EndsAt,
                       TimePoint Now) {
  if (Tokens <= 0)
    return Duration::zero();
  Duration Wait = fromSeconds(Tokens / std::max(PerSecond, MinPerSecond));
  if (EndsAt == TimePoint::max())
    return Wait;
  return std::min(Wait, std::max(Duration::zero(), EndsAt - Now));
}

double tokensAt(const LimitBucket &B, TimePoint Now) {
  double Filled = B.Tokens + B.PerSecond * toSeconds(Now - B.FilledAt);
  return std::min(Filled, capacity(B));
}

bool hasToken(const LimitBucket &B, TimePoint Now) {
  return tokensAt(B, Now) >= 1 - Rounding;
}

void takeToken(LimitBucket &B, TimePoint Now) {
  B.Tokens = tokensAt(B, Now) - 1;
  B.FilledAt = Now;
  B.LastTaken = Now;
  B.Taken += 1;
}

} // namespace pimento
