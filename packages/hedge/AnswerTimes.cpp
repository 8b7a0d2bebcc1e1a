#include "hedge/AnswerTimes.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>

namespace pimento::hedge {

namespace acc = boost::accumulators;

struct QuantileEstimate {
  explicit QuantileEstimate(double Quantile)
      : Seconds(acc::quantile_probability = Quantile) {}
  acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>> Seconds;
};

namespace {

/// Fewer answers give no quantile. With more, or after MaxFillingTime, the next
/// estimate begins, so that it follows the load.
constexpr std::size_t MinAnswers = 40;
constexpr std::size_t MaxAnswers = 400;
constexpr Duration MaxFillingTime = seconds(10);
/// Weight of one attempt in the share of slow ones.
constexpr double SlowWeight = 0.05;
/// A service is slow as a whole if this many times the expected share is.
constexpr double SlowFactor = 4;
constexpr double MaxSlowShare = 0.5;

bool isFilled(const AnswerTimes &T, TimePoint Now) {
  if (T.FillingCount < MinAnswers)
    return false;
  bool IsFirst = T.Usual == Duration::zero();
  return IsFirst || T.FillingCount >= MaxAnswers ||
         Now >= T.FillingSince + MaxFillingTime;
}

} // namespace

void onAnswer(AnswerTimes &T, Duration Took, const SlowRule &R, TimePoint Now) {
  if (Took <= slowAfter(T, R))
    T.SlowShare -= SlowWeight * T.SlowShare;
  if (T.Filling == nullptr) {
    T.Filling = std::make_shared<QuantileEstimate>(R.Quantile);
    T.FillingCount = 0;
    T.FillingSince = Now;
  }
  T.Filling->Seconds(toSeconds(Took));
  T.FillingCount += 1;
  if (!isFilled(T, Now))
    return;
  Duration Usual = fromSeconds(acc::p_square_quantile(T.Filling->Seconds));
  T.Usual = std::max<Duration>(Usual, milliseconds(1));
  T.Filling.reset();
}

void onSlowAttempt(AnswerTimes &T) {
  T.SlowShare += SlowWeight * (1 - T.SlowShare);
}

Duration slowAfter(const AnswerTimes &T, const SlowRule &R) {
  Duration Usual = T.Usual == Duration::zero() ? R.Assumed : T.Usual;
  return Usual == Duration::zero() ? Duration::max()
                                   : std::max(Usual, R.MinDelay);
}

bool isSlowAsAWhole(const AnswerTimes &T, const SlowRule &R) {
  return T.SlowShare > std::min(MaxSlowShare, SlowFactor * (1 - R.Quantile));
}

} // namespace pimento::hedge
