// Requests that wait for engines: in which order engines are searched for, when
// a plan is accepted, and when a request is refused.

#include "placement/EngineCost.h"
#include "placement/PlacerInternal.h"

#include <algorithm>

namespace pimento {

namespace placer {

namespace {

/// Interval between attempts to place waiting requests.
constexpr Duration QueueInterval = milliseconds(25);
/// Limit of searches in one tick, since a search takes processor time.
constexpr std::size_t MaxSearchesPerTick = 6;
/// Share of its objective after which a waiting request is searched for again.
constexpr double SearchShare = 0.1;
/// Bounds of the retry delay sent with a refusal.
constexpr Duration MinRefusalRetryAfter = milliseconds(250);
constexpr Duration MaxRefusalRetryAfter = seconds(2);
constexpr Duration MaxLimitRetryAfter = seconds(30);
/// Margin for forecast errors while a request waits.
constexpr Duration WaitMargin = milliseconds(60);
/// Largest penalty for other requests, as a share of the request's own utility:
/// on arrival, at the last moment at which it can still be in time, and once it
/// is late.
constexpr double MinPenaltyShare = 0.05;
constexpr double MaxPenaltyShare = 0.6;
constexpr double LatePenaltyShare = 0.15;
/// Share of the time between its objective and its caller's event timeout for
/// which a late request waits.
constexpr double LateWaitShare = 0.25;

/// Mean time until the service's engines finish their prefill queues.
Duration meanBacklog(const PlacerState &S, const ServiceId &Service) {
  Duration Sum = Duration::zero();
  std::int64_t Count = 0;
  for (const auto &[Id, E] : S.Engines) {
    if (E.Service != Service)
      continue;
    Sum += prefillBacklog(E.Prefills);
    ++Count;
  }
  return Count == 0 ? Duration::zero() : Sum / Count;
}

/// Returns what the placer believes of the service's engines and, with a plan,
/// of the engines that the plan uses.
PlacementBasis basisOf(const PlacerState &S, const PlacementRequest &Spec,
                       const std::optional<Plan> &Plan, TimePoint Now) {
  PlacementBasis Basis;
  Basis.Backlog = meanBacklog(S, Spec.Service);
  for (const auto &[Id, E] : S.Engines)
    Basis.SlowEngines += E.Service == Spec.Service && E.Slowness > 1 ? 1 : 0;
  if (!Plan)
    return Basis;
  Basis.BestForecast = Plan->Forecast;
  Basis.PenaltyShare = Plan->Penalty / utilityOf(Spec);
  for (const PlacedPart &Part : Plan->Parts) {
    const PlacerEngine &E = S.Engines.at(Part.Engine);
    Basis.MaxSlowness = std::max(Basis.MaxSlowness, E.Slowness);
    if (E.SpeedSeenAt == TimePoint()) {
      ++Basis.UnknownSpeeds;
      continue;
    }
    Basis.SpeedAge = std::max(Basis.SpeedAge.value_or(Duration::zero()),
                              Now - E.SpeedSeenAt);
  }
  return Basis;
}

PlacementReply refusal(const PlacerState &S, std::uint64_t Ticket,
                       const ServiceId &Service, Code Reason) {
  PlacementReply Reply;
  Reply.Ticket = Ticket;
  Reply.Result = Reason;
  Reply.RetryAfter = std::clamp(meanBacklog(S, Service), MinRefusalRetryAfter,
                                MaxRefusalRetryAfter);
  return Reply;
}

/// Returns the request with the times that remain after waiting for \p Waited.
PlacementRequest requestAfterWait(const PlacementRequest &Spec,
                                  Duration Waited) {
  PlacementRequest Aged = Spec;
  Aged.Objective -= Waited;
  Aged.Waited += Waited;
  Aged.EventTimeLeft -= Waited;
  Aged.TimeLeft -= Waited;
  return Aged;
}

std::size_t readyEngines(const PlacerState &S, const ServiceId &Service) {
  std::size_t Count = 0;
  for (const auto &[Id, E] : S.Engines)
    Count += E.Service == Service && E.Ready ? 1 : 0;
  return Count;
}

/// Time that the request can still wait and be in time; negative if it is late.
Duration slackOf(const PlacerState &S, const EngineProfile &F,
                 const PlacementRequest &Spec) {
  std::size_t Engines = readyEngines(S, Spec.Service);
  return Spec.Objective - minTimeToFirstEvent(F, Spec, Engines) - WaitMargin;
}

/// Utility of the request's answer per second of its prefill.
double utilityRate(const EngineProfile &F, const PlacementRequest &Spec) {
  constexpr double MinSeconds = 1e-4;
  double Seconds = toSeconds(prefillTime(F, Spec.PromptTokens));
  return utilityOf(Spec) / std::max(MinSeconds, Seconds);
}

/// Finds the highest utility rates of the requests in \p Queue that can still
/// be in time.
void updateOnTimeRates(PlacerState &S, const std::deque<WaitingRequest> &Queue,
                       TimePoint Now) {
  S.OnTimeRates.clear();
  for (const WaitingRequest &W : Queue) {
    auto Profile = S.Profiles.find(W.Spec.Service);
    if (Profile == S.Profiles.end())
      continue;
    PlacementRequest Aged = requestAfterWait(W.Spec, Now - W.Since);
    if (slackOf(S, Profile->second, Aged) <= Duration::zero())
      continue;
    double &Rate = S.OnTimeRates[Aged.Service];
    Rate = std::max(Rate, utilityRate(Profile->second, Aged));
  }
}

/// Whether a waiting request that can still be in time would earn more with the
/// same engine time than this one, which is late. Under overload, engines that
/// serve late requests first make all others late as well.
bool yieldsToOthers(const PlacerState &S, const EngineProfile &F,
                    const PlacementRequest &Spec) {
  auto Others = S.OnTimeRates.find(Spec.Service);
  return Others != S.OnTimeRates.end() &&
         utilityRate(F, Spec) * (1 - LateUtilityLoss) < Others->second;
}

/// Whether to accept the plan instead of waiting for a better one. The penalty
/// accepted for other requests grows while the request waits. \p Slack: time
/// that it can still wait and be in time.
bool isAcceptable(const Plan &Found, const PlacementRequest &Spec,
                  Duration Slack) {
  double Utility = utilityOf(Spec);
  if (Slack <= Duration::zero())
    return Found.Penalty <
           Utility * (Found.OnTime ? MaxPenaltyShare : LatePenaltyShare);
  if (!Found.OnTime)
    return false;
  double Waited = 1 - toSeconds(Slack) / toSeconds(Slack + Spec.Waited);
  double Share = MinPenaltyShare + (MaxPenaltyShare - MinPenaltyShare) * Waited;
  return Found.Penalty <= Utility * Share;
}

/// Time at which the next search for a waiting request is due. Requests with
/// short objectives are searched for more often.
TimePoint nextSearch(const PlacementRequest &Spec, TimePoint Now) {
  return Now + fromSeconds(toSeconds(Spec.Objective) * SearchShare);
}

/// Expected wait for an engine if all of the service named limits or are cold;
/// nothing if one has no limit.
std::optional<Duration> waitForLimits(const PlacerState &S,
                                      const PlacementRequest &Spec,
                                      TimePoint Now) {
  double PerSecond = 0;
  double Tokens = 0;
  TimePoint EndsAt = TimePoint::max();
  for (const auto &[Id, E] : S.Engines) {
    if (E.Service != Spec.Service || !E.Ready)
      continue;
    auto Limit = S.Limits.find(Id);
    if (Limit == S.Limits.end())
      return std::nullopt;
    PerSecond += Limit->second.PerSecond;
    Tokens += std::max(0.0, tokensAt(Limit->second, Now));
    EndsAt = std::min(EndsAt, Limit->second.EndsAt);
  }
  auto GoesBefore = [&](const WaitingRequest &W) {
    return W.Spec.Service == Spec.Service && W.Spec.Priority <= Spec.Priority;
  };
  auto Ahead = std::count_if(S.Queue.begin(), S.Queue.end(), GoesBefore);
  double Missing = static_cast<double>(Ahead) + 1 - Tokens;
  return waitForTokens(Missing, PerSecond, EndsAt, Now);
}

PlacementReply limitRefusal(const PlacerState &S, std::uint64_t Ticket,
                            const ServiceId &Service, Duration Wait) {
  PlacementReply Reply = refusal(S, Ticket, Service, Code::QueueFull);
  Reply.RetryAfter = std::clamp(Wait, MinRefusalRetryAfter, MaxLimitRetryAfter);
  return Reply;
}

} // namespace

PlacementOutcome decide(PlacerState &S, const PlacementKey &Key,
                        const PlacementRequest &Spec, bool MaySearch,
                        TimePoint Now) {
  auto Profile = S.Profiles.find(Spec.Service);
  std::size_t Engines = readyEngines(S, Spec.Service);
  if (Profile == S.Profiles.end() || Engines == 0)
    return {PlacementVerdict::Refused,
            refusal(S, Key.second, Spec.Service, Code::NoBackend)};
  Duration Least = minTimeToFirstEvent(Profile->second, Spec, Engines);
  if (Spec.EventTimeLeft < Least)
    return {PlacementVerdict::Refused,
            refusal(S, Key.second, Spec.Service, Code::DeadlineUnreachable)};
  std::optional<Duration> LimitWait = waitForLimits(S, Spec, Now);
  if (LimitWait && Spec.EventTimeLeft < *LimitWait + Least)
    return {PlacementVerdict::Refused,
            limitRefusal(S, Key.second, Spec.Service, *LimitWait)};
  if (Now < S.PlacementPausedUntil)
    return {PlacementVerdict::Waiting, {}};
  std::optional<Plan> Found;
  if (MaySearch)
    Found = findPlan(S, Spec, Now);
  Duration Slack = slackOf(S, Profile->second, Spec);
  bool Yields = Slack <= Duration::zero() && Found && !Found->OnTime &&
                yieldsToOthers(S, Profile->second, Spec);
  if (Found && Found->Forecast < Spec.EventTimeLeft && !Yields &&
      isAcceptable(*Found, Spec, Slack)) {
    PlacementBasis Basis = basisOf(S, Spec, Found, Now);
    PlacementReply Reply = place(S, Key, Spec, std::move(*Found), Now);
    Reply.Basis = Basis;
    return {PlacementVerdict::Placed, std::move(Reply)};
  }
  // A late request waits for a while; then a retry by its caller is better.
  Duration Room =
      Spec.EventTimeLeft - std::max(Spec.Objective, Duration::zero());
  if (Slack <= Duration::zero() && -Spec.Objective > Room * LateWaitShare) {
    PlacementReply Reply =
        refusal(S, Key.second, Spec.Service, Code::QueueFull);
    Reply.Basis = basisOf(S, Spec, Found, Now);
    return {PlacementVerdict::Refused, std::move(Reply)};
  }
  return {PlacementVerdict::Waiting, {}};
}

void enqueue(PlacerState &S, const PlacementKey &Key,
             const PlacementRequest &Spec, TimePoint Now) {
  S.Queue.push_back({Key, Spec, Now, /*Searches=*/1, nextSearch(Spec, Now)});
}

void withdraw(PlacerState &S, const PlacementKey &Key) {
  auto Is = [&](const WaitingRequest &W) { return W.Key == Key; };
  S.Queue.erase(std::remove_if(S.Queue.begin(), S.Queue.end(), Is),
                S.Queue.end());
}

} // namespace placer

using namespace placer;

std::vector<std::pair<PlacementKey, PlacementReply>> tickPlacer(PlacerState &S,
                                                                TimePoint Now) {
  advance(S, Now);
  expire(S, Now);
  std::vector<std::pair<PlacementKey, PlacementReply>> Answers;
  std::deque<WaitingRequest> Queue = std::move(S.Queue);
  S.Queue.clear();
  // Highest priority first, then the one whose next search is due first.
  std::stable_sort(Queue.begin(), Queue.end(),
                   [](const WaitingRequest &A, const WaitingRequest &B) {
                     if (A.Spec.Priority != B.Spec.Priority)
                       return A.Spec.Priority < B.Spec.Priority;
                     return A.SearchAt < B.SearchAt;
                   });
  updateOnTimeRates(S, Queue, Now);
  std::size_t Searches = 0;
  for (WaitingRequest &W : Queue) {
    bool MaySearch = Searches++ < MaxSearchesPerTick;
    if (MaySearch) {
      W.Searches += 1;
      W.SearchAt = nextSearch(W.Spec, Now);
    }
    PlacementOutcome Outcome = decide(
        S, W.Key, requestAfterWait(W.Spec, Now - W.Since), MaySearch, Now);
    Outcome.Reply.Basis.Searches = W.Searches;
    if (Outcome.Verdict == PlacementVerdict::Waiting)
      S.Queue.push_back(std::move(W));
    else
      Answers.emplace_back(W.Key, std::move(Outcome.Reply));
  }
  return Answers;
}

TimePoint nextPlacerTick(const PlacerState &S, TimePoint Now) {
  return S.Queue.empty() ? TimePoint::max() : Now + QueueInterval;
}

} // namespace pimento
