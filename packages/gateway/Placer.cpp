#include "gateway/Placer.h"

#include "gateway/EngineCost.h"
#include "gateway/EngineSpeed.h"
#include "gateway/PlacerSearch.h"

#include <algorithm>

namespace pimento {

namespace {

/// Interval between attempts to place waiting requests.
constexpr Duration QueueInterval = milliseconds(25);
/// Limit of searches in one tick, since a search takes processor time.
constexpr std::size_t MaxSearchesPerTick = 6;
/// Share of its objective after which a waiting request is searched for again.
constexpr double SearchShare = 0.1;
/// A placed request is dropped this long after its deadline.
constexpr Duration ForgetAfter = seconds(2);
/// Time for which a failed engine is avoided; doubles with each failure in a
/// row.
constexpr Duration InitialAvoidance = milliseconds(300);
constexpr Duration MaxAvoidance = seconds(5);
constexpr std::uint32_t MaxDoublings = 5;
/// Cost of one rank in a host's preferences, for hosts that place
/// independently.
constexpr double CostPerRank = 2;
/// Bounds of the retry delay sent with a refusal.
constexpr Duration MinRefusalRetryAfter = milliseconds(250);
constexpr Duration MaxRefusalRetryAfter = seconds(2);
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

Duration shorterGap(Duration A, Duration B) {
  if (A == Duration::zero() || B == Duration::zero())
    return std::max(A, B);
  return std::min(A, B);
}

/// Recomputes an engine's totals from its shares.
void updateTotals(PlacerEngine &E) {
  E.DecodingCount = 0;
  E.PrefillingCount = 0;
  E.HelperPartCount = 0;
  E.DecodingContext = 0;
  E.MemoryTokens = 0;
  E.MaxEventGap = Duration::zero();
  for (const EngineShare &Share : E.Shares) {
    E.MemoryTokens += Share.MemoryTokens;
    if (!Share.IsFirstPart) {
      E.HelperPartCount += Share.Decoding ? 0 : 1;
      continue;
    }
    (Share.Decoding ? E.DecodingCount : E.PrefillingCount) += 1;
    E.DecodingContext += Share.Decoding ? Share.Context : 0;
    E.MaxEventGap = shorterGap(E.MaxEventGap, Share.MaxEventGap);
  }
}

void addShares(PlacerState &S, const PlacementKey &Key,
               const PlacedRequest &Request) {
  bool First = true;
  for (const PlacedPart &Part : Request.Parts) {
    auto Found = S.Engines.find(Part.Engine);
    bool IsFirst = First;
    First = false;
    if (Found == S.Engines.end())
      continue;
    EngineShare Share;
    Share.Key = Key;
    Share.MemoryTokens = Part.MemoryTokens;
    Share.Context = Request.Spec.PromptTokens;
    Share.MaxEventGap = Request.Spec.InterEventObjective;
    Share.Utility = Request.Utility;
    Share.IsFirstPart = IsFirst;
    Share.IsOnlyPart = Request.Parts.size() == 1;
    Share.FirstEventForecast = Request.FirstEventForecast;
    Share.DoubtAt = doubtAt(Request.Since, Request.FirstEventForecast);
    Share.Decoding = Request.Decoding;
    if (!Share.Decoding)
      S.SpeedCheckAt = std::min(S.SpeedCheckAt, Share.DoubtAt);
    Found->second.Shares.push_back(std::move(Share));
    updateTotals(Found->second);
  }
}

/// Removes the request's parts and their prefills from its engines.
void dropParts(PlacerState &S, const PlacementKey &Key,
               const PlacedRequest &Request) {
  for (const PlacedPart &Part : Request.Parts) {
    auto Found = S.Engines.find(Part.Engine);
    if (Found == S.Engines.end())
      continue;
    auto &Shares = Found->second.Shares;
    auto Is = [&](const EngineShare &Share) { return Share.Key == Key; };
    Shares.erase(std::remove_if(Shares.begin(), Shares.end(), Is),
                 Shares.end());
    removePrefill(Found->second.Prefills, Key);
    updateTotals(Found->second);
  }
}

/// Marks the request as decoding and removes its prefills.
void setDecoding(PlacerState &S, const PlacementKey &Key,
                 PlacedRequest &Request) {
  Request.Decoding = true;
  dropParts(S, Key, Request);
  addShares(S, Key, Request);
}

/// Rebuilds the shares of all engines after the list of engines changed.
void addAllShares(PlacerState &S) {
  for (auto &[Id, E] : S.Engines) {
    E.Shares.clear();
    updateTotals(E);
  }
  for (const auto &[Key, Request] : S.Placed)
    addShares(S, Key, Request);
}

/// Advances the estimated prefill queues of all engines to \p Now.
void advance(PlacerState &S, TimePoint Now) {
  Duration Elapsed = Now - S.PrefillsAt;
  S.PrefillsAt = Now;
  for (auto &[Id, E] : S.Engines) {
    auto Profile = S.Profiles.find(E.Service);
    if (E.Prefills.Items.empty() || Profile == S.Profiles.end())
      continue;
    // Decode steps of other requests take a share of the time.
    Duration Slowed = prefillTimeWhileDecoding(
        Profile->second, Elapsed, E.DecodingCount, E.DecodingContext);
    double Share = toSeconds(Elapsed) / std::max(1e-9, toSeconds(Slowed));
    advancePrefills(E.Prefills, fromSeconds(toSeconds(Elapsed) * Share));
  }
}

PlacementReply replyOf(std::uint64_t Ticket, const PlacedRequest &Request,
                       TimePoint Now) {
  PlacementReply Reply;
  Reply.Ticket = Ticket;
  Reply.Forecast = std::max(Duration::zero(), Request.FirstEventForecast - Now);
  bool First = true;
  for (const PlacedPart &Part : Request.Parts) {
    EnginePart Out{Part.Engine, Part.MemoryTokens};
    if (First)
      Reply.First = std::move(Out);
    else
      Reply.Helpers.push_back(std::move(Out));
    First = false;
  }
  Reply.First.MemoryTokens = 0; // The first engine needs no reservation.
  return Reply;
}

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
                       const std::optional<placer::Plan> &Plan, TimePoint Now) {
  PlacementBasis Basis;
  Basis.Backlog = meanBacklog(S, Spec.Service);
  for (const auto &[Id, E] : S.Engines)
    Basis.SlowEngines += E.Service == Spec.Service && E.Slowness > 1 ? 1 : 0;
  if (!Plan)
    return Basis;
  Basis.BestForecast = Plan->Forecast;
  Basis.PenaltyShare = Plan->Penalty / placer::utilityOf(Spec);
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

PlacementReply place(PlacerState &S, const PlacementKey &Key,
                     const PlacementRequest &Spec, placer::Plan Found,
                     TimePoint Now) {
  PlacedRequest Request;
  Request.Spec = Spec;
  Request.Utility = placer::utilityOf(Spec);
  Request.Parts = std::move(Found.Parts);
  Request.Since = Now;
  Request.FirstEventForecast = Now + Found.Forecast;
  Request.Expires = Now + Spec.TimeLeft + ForgetAfter;
  bool IsSplit = Request.Parts.size() > 1;
  for (const PlacedPart &Part : Request.Parts)
    pushPrefill(S.Engines.at(Part.Engine).Prefills, Key, Part.PrefillTime,
                IsSplit);
  PlacementReply Reply = replyOf(Key.second, Request, Now);
  addShares(S, Key, Request);
  S.Placed[Key] = std::move(Request);
  return Reply;
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
  return Spec.Objective - placer::minTimeToFirstEvent(F, Spec, Engines) -
         WaitMargin;
}

/// Utility of the request's answer per second of its prefill.
double utilityRate(const EngineProfile &F, const PlacementRequest &Spec) {
  constexpr double MinSeconds = 1e-4;
  double Seconds = toSeconds(prefillTime(F, Spec.PromptTokens));
  return placer::utilityOf(Spec) / std::max(MinSeconds, Seconds);
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
         utilityRate(F, Spec) * (1 - placer::LateUtilityLoss) < Others->second;
}

/// Whether to accept the plan instead of waiting for a better one. The penalty
/// accepted for other requests grows while the request waits. \p Slack: time
/// that it can still wait and be in time.
bool isAcceptable(const placer::Plan &Found, const PlacementRequest &Spec,
                  Duration Slack) {
  double Utility = placer::utilityOf(Spec);
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

/// Places the request, lets it wait or refuses it. \p Spec contains the times
/// that remain now. Without \p MaySearch, the request is not placed.
PlacementOutcome decide(PlacerState &S, const PlacementKey &Key,
                        const PlacementRequest &Spec, bool MaySearch,
                        TimePoint Now) {
  auto Profile = S.Profiles.find(Spec.Service);
  std::size_t Engines = readyEngines(S, Spec.Service);
  if (Profile == S.Profiles.end() || Engines == 0)
    return {PlacementVerdict::Refused,
            refusal(S, Key.second, Spec.Service, Code::NoBackend)};
  Duration Least = placer::minTimeToFirstEvent(Profile->second, Spec, Engines);
  if (Spec.EventTimeLeft < Least)
    return {PlacementVerdict::Refused,
            refusal(S, Key.second, Spec.Service, Code::DeadlineUnreachable)};
  if (Now < S.PlacementPausedUntil)
    return {PlacementVerdict::Waiting, {}};
  std::optional<placer::Plan> Found;
  if (MaySearch)
    Found = placer::findPlan(S, Spec, Now);
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

/// Adds a running request's remaining prefill, as given by its entry host's
/// forecast, to its engines' queues.
void recordPrefills(PlacerState &S, const PlacementKey &Key,
                    PlacedRequest &Request) {
  auto Profile = S.Profiles.find(Request.Spec.Service);
  if (Profile == S.Profiles.end() || Request.Parts.empty())
    return;
  auto Count = static_cast<std::int64_t>(Request.Parts.size());
  Duration PromptPrefill =
      prefillTime(Profile->second, Request.Spec.PromptTokens);
  Duration PrefillTime =
      std::min(PromptPrefill / Count, Request.Spec.PrefillTimeLeft);
  for (PlacedPart &Part : Request.Parts) {
    auto Engine = S.Engines.find(Part.Engine);
    if (Engine == S.Engines.end())
      continue;
    Part.PrefillTime = PrefillTime;
    pushPrefill(Engine->second.Prefills, Key, PrefillTime, /*Ahead=*/Count > 1);
  }
}

/// Records a request that another placer has already placed.
PlacementOutcome record(PlacerState &S, const PlacementKey &Key,
                        const PlacementRequest &Spec, TimePoint Now) {
  PlacedRequest Request;
  Request.Spec = Spec;
  Request.Utility = placer::utilityOf(Spec);
  Request.Since = Now;
  Request.FirstEventForecast = Now + Spec.PrefillTimeLeft;
  Request.Expires = Now + Spec.TimeLeft + ForgetAfter;
  Request.Decoding = Spec.Decoding;
  for (const EnginePart &Part : Spec.RunningOn)
    Request.Parts.push_back({Part.Engine, {}, Part.MemoryTokens});
  if (!Request.Parts.empty() && Request.Parts.front().MemoryTokens == 0)
    Request.Parts.front().MemoryTokens = Spec.PromptTokens + Spec.AnswerTokens;
  auto Known = S.Placed.find(Key);
  if (Known != S.Placed.end())
    dropParts(S, Key, Known->second);
  if (Spec.PrefillTimeLeft > Duration::zero())
    recordPrefills(S, Key, Request);
  addShares(S, Key, Request);
  PlacementReply Reply = replyOf(Key.second, Request, Now);
  S.Placed[Key] = std::move(Request);
  return {PlacementVerdict::Placed, Reply};
}

void recordEngineFailure(PlacerState &S, const BackendId &FaultyServer,
                         TimePoint Now) {
  auto Found = S.Engines.find(FaultyServer);
  if (Found == S.Engines.end())
    return;
  PlacerEngine &E = Found->second;
  Duration Time =
      InitialAvoidance * (1LL << std::min(E.Failures, MaxDoublings));
  E.AvoidUntil = Now + std::min(Time, MaxAvoidance);
  E.Failures += 1;
}

void resetFailures(PlacerState &S, const PlacedRequest &Request) {
  auto Found = S.Engines.find(Request.Parts.front().Engine);
  if (Found != S.Engines.end())
    Found->second.Failures = 0;
}

void withdraw(PlacerState &S, const PlacementKey &Key) {
  auto Is = [&](const WaitingRequest &W) { return W.Key == Key; };
  S.Queue.erase(std::remove_if(S.Queue.begin(), S.Queue.end(), Is),
                S.Queue.end());
}

void expire(PlacerState &S, TimePoint Now) {
  for (auto It = S.Placed.begin(); It != S.Placed.end();) {
    bool Old = Now > It->second.Expires;
    if (Old)
      dropParts(S, It->first, It->second);
    It = Old ? S.Placed.erase(It) : std::next(It);
  }
}

} // namespace

void setEngines(PlacerState &S, const RouteTable &Routes,
                const ServerRegistry &Servers) {
  S.Profiles.clear();
  for (const auto &[Name, Service] : Routes.ByService) {
    if (Service->Engine)
      S.Profiles[Name] = *Service->Engine;
  }
  std::map<BackendId, PlacerEngine> Next;
  for (const auto &[Id, Known] : Servers.Servers) {
    const ServerReport &R = Known.Report;
    if (S.Profiles.count(R.Service) == 0 || R.Phase == ServerPhase::Gone)
      continue;
    auto Old = S.Engines.find(Id);
    PlacerEngine E;
    if (Old != S.Engines.end() && Old->second.Incarnation == R.Incarnation)
      E = Old->second;
    E.Service = R.Service;
    E.Incarnation = R.Incarnation;
    E.Address = R.Address;
    E.DataCentre = R.DataCentre;
    E.Ready = R.Phase == ServerPhase::Ready;
    Next.emplace(Id, std::move(E));
  }
  S.Engines = std::move(Next);
  addAllShares(S);
}

void setIndependentPlacement(PlacerState &S, const HostId &Self,
                             bool Independent) {
  constexpr std::size_t Ranks = 32;
  for (auto &[Id, E] : S.Engines) {
    std::size_t Rank = std::hash<std::string>()(Self.Value + Id.Value) % Ranks;
    E.Bias = Independent ? static_cast<double>(Rank) * CostPerRank : 0;
  }
}

PlacementOutcome placeRequest(PlacerState &S, const PlacementKey &Key,
                              const PlacementRequest &Spec, TimePoint Now) {
  advance(S, Now);
  if (!Spec.RunningOn.empty())
    return record(S, Key, Spec, Now);
  auto Known = S.Placed.find(Key);
  if (Known != S.Placed.end())
    return {PlacementVerdict::Placed, replyOf(Key.second, Known->second, Now)};
  for (const WaitingRequest &W : S.Queue) {
    if (W.Key == Key)
      return {PlacementVerdict::Waiting, {}};
  }
  PlacementOutcome Outcome = decide(S, Key, Spec, /*MaySearch=*/true, Now);
  Outcome.Reply.Basis.Searches = 1;
  if (Outcome.Verdict == PlacementVerdict::Waiting)
    S.Queue.push_back({Key, Spec, Now, /*Searches=*/1, nextSearch(Spec, Now)});
  return Outcome;
}

void updateStage(PlacerState &S, const PlacementKey &Key, PlacementStage Stage,
                 const BackendId &FaultyServer, TimePoint Now) {
  advance(S, Now);
  withdraw(S, Key);
  if (Stage == PlacementStage::Failed)
    recordEngineFailure(S, FaultyServer, Now);
  auto Found = S.Placed.find(Key);
  if (Found == S.Placed.end())
    return;
  if (Stage == PlacementStage::Decoding) {
    setDecoding(S, Key, Found->second);
    return;
  }
  if (Stage == PlacementStage::Ended && Found->second.Decoding)
    resetFailures(S, Found->second);
  dropParts(S, Key, Found->second);
  S.Placed.erase(Found);
}

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

void dropHost(PlacerState &S, const HostId &Host) {
  for (auto It = S.Placed.begin(); It != S.Placed.end();) {
    bool Is = It->first.first == Host;
    if (Is)
      dropParts(S, It->first, It->second);
    It = Is ? S.Placed.erase(It) : std::next(It);
  }
  auto Is = [&](const WaitingRequest &W) { return W.Key.first == Host; };
  S.Queue.erase(std::remove_if(S.Queue.begin(), S.Queue.end(), Is),
                S.Queue.end());
}

} // namespace pimento
