#include "hedge/SlowAnswers.h"

#include "base/SettingText.h"

#include <algorithm>
#include <tuple>

namespace pimento::hedge {

namespace {

/// Bounds how many extra attempts are sent in a row after a calm time.
constexpr double MaxTokens = 4;
/// Sums of shares are a little off.
constexpr double WholeToken = 1 - 1e-9;
/// One retry stays for an attempt that fails.
constexpr double MinRetriesLeft = 2;
/// What others at an engine may lose by an extra attempt.
constexpr double MaxPenaltyShare = 0.05;
/// Routes of former configurations are not kept beyond this number.
constexpr std::size_t MaxRoutes = 4096;

TokenBucket *bucketOf(SlowAnswers &S, const std::string &Route) {
  return S.RouteShares.count(Route) == 0 ? nullptr : &S.ByRoute[Route];
}

void add(TokenBucket &B, double Tokens) {
  B.Tokens = std::min(MaxTokens, B.Tokens + Tokens);
}

SlowRule ruleFor(const SlowAnswers &S, const RouteAtService &At) {
  SlowRule R = S.Rule;
  R.Assumed = At.Objective / 2;
  return R;
}

bool takeToken(SlowAnswers &S, const std::string &Route) {
  TokenBucket *Own = bucketOf(S, Route);
  bool IsUsedUp =
      S.All.Tokens < WholeToken || (Own != nullptr && Own->Tokens < WholeToken);
  if (IsUsedUp)
    return false;
  S.All.Tokens -= 1;
  if (Own != nullptr)
    Own->Tokens -= 1;
  return true;
}

} // namespace

bool operator<(const RouteAtService &A, const RouteAtService &B) {
  return std::tie(A.Route, A.Service, A.Objective) <
         std::tie(B.Route, B.Service, B.Objective);
}

const char *toString(HoldBack H) {
  switch (H) {
  case HoldBack::None:
    return "none";
  case HoldBack::NotRepeatable:
    return "not_repeatable";
  case HoldBack::Stopping:
    return "stopping";
  case HoldBack::Suspect:
    return "suspect";
  case HoldBack::Loaded:
    return "loaded";
  case HoldBack::NoServer:
    return "no_server";
  case HoldBack::RetryBudget:
    return "retry_budget";
  case HoldBack::Budget:
    return "budget";
  }
  return "";
}

void applySettings(SlowAnswers &S, const HedgeSettings &Settings) {
  // Estimates of another quantile are of no use.
  if (S.Rule.Quantile != Settings.Quantile)
    S.Times.clear();
  S.Share = Settings.Share;
  S.RouteShares = parseNamedShares(Settings.Routes)
                      .value_or(std::map<std::string, double>());
  S.Rule.Quantile = Settings.Quantile;
  S.Rule.MinDelay = Settings.MinDelay;
}

bool isOn(const SlowAnswers &S, const std::string &Route) {
  auto Own = S.RouteShares.find(Route);
  return S.Share > 0 && (Own == S.RouteShares.end() || Own->second > 0);
}

void onRequest(SlowAnswers &S, const std::string &Route) {
  if (S.Share <= 0)
    return;
  add(S.All, S.Share);
  if (TokenBucket *Own = bucketOf(S, Route))
    add(*Own, S.RouteShares.at(Route));
}

void onAnswer(SlowAnswers &S, const RouteAtService &At, Duration Took,
              TimePoint Now) {
  if (!isOn(S, At.Route))
    return;
  if (S.Times.size() >= MaxRoutes && S.Times.count(At) == 0)
    S.Times.clear();
  onAnswer(S.Times[At], Took, ruleFor(S, At), Now);
}

TimePoint slowAt(const SlowAnswers &S, const RouteAtService &At,
                 TimePoint Began) {
  if (!isOn(S, At.Route))
    return TimePoint::max();
  auto Times = S.Times.find(At);
  Duration After = slowAfter(
      Times == S.Times.end() ? AnswerTimes() : Times->second, ruleFor(S, At));
  return After == Duration::max() ? TimePoint::max() : Began + After;
}

HoldBack judge(SlowAnswers &S, const SlowAttempt &A) {
  AnswerTimes &Times = S.Times[A.At];
  onSlowAttempt(Times);
  if (!A.MayRepeat)
    return HoldBack::NotRepeatable;
  if (A.IsStopping)
    return HoldBack::Stopping;
  if (A.IsSuspect)
    return HoldBack::Suspect;
  if (A.WantsLess || isSlowAsAWhole(Times, S.Rule))
    return HoldBack::Loaded;
  if (A.QuietServers == 0)
    return HoldBack::NoServer;
  if (A.RetriesLeft < MinRetriesLeft)
    return HoldBack::RetryBudget;
  return takeToken(S, A.At.Route) ? HoldBack::None : HoldBack::Budget;
}

bool hasRoom(double PenaltyShare, std::size_t Helpers) {
  return Helpers == 0 && PenaltyShare <= MaxPenaltyShare;
}

void giveBack(SlowAnswers &S, const std::string &Route) {
  add(S.All, 1);
  if (TokenBucket *Own = bucketOf(S, Route))
    add(*Own, 1);
}

} // namespace pimento::hedge
