#include "placement/Placer.h"

#include "evacuation/Evacuation.h"
#include "placement/EngineCost.h"
#include "placement/EngineSpeed.h"
#include "placement/PlacerInternal.h"

#include <algorithm>

namespace pimento {

namespace {

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
    Share.SuspectAt = suspectAt(Request.Since, Request.FirstEventForecast);
    Share.Decoding = Request.Decoding;
    if (!Share.Decoding)
      S.SpeedCheckAt = std::min(S.SpeedCheckAt, Share.SuspectAt);
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

} // namespace

namespace placer {

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

PlacementReply place(PlacerState &S, const PlacementKey &Key,
                     const PlacementRequest &Spec, Plan Found, TimePoint Now) {
  PlacedRequest Request;
  Request.Spec = Spec;
  Request.Utility = utilityOf(Spec);
  Request.Parts = std::move(Found.Parts);
  Request.Since = Now;
  Request.FirstEventForecast = Now + Found.Forecast;
  Request.Expires = Now + Spec.TimeLeft + ForgetAfter;
  auto Limit = S.Limits.find(Request.Parts.front().Engine);
  if (Limit != S.Limits.end())
    takeToken(Limit->second, Now);
  bool IsSplit = Request.Parts.size() > 1;
  for (const PlacedPart &Part : Request.Parts)
    pushPrefill(S.Engines.at(Part.Engine).Prefills, Key, Part.PrefillTime,
                IsSplit);
  PlacementReply Reply = replyOf(Key.second, Request, Now);
  addShares(S, Key, Request);
  S.Placed[Key] = std::move(Request);
  return Reply;
}

void expire(PlacerState &S, TimePoint Now) {
  for (auto It = S.Placed.begin(); It != S.Placed.end();) {
    bool Old = Now > It->second.Expires;
    if (Old)
      dropParts(S, It->first, It->second);
    It = Old ? S.Placed.erase(It) : std::next(It);
  }
}

} // namespace placer

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
    E.Ready = R.Phase == ServerPhase::Ready &&
              !isEvacuated(S.Evacuation, R.DataCentre);
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
  placer::advance(S, Now);
  if (!Spec.RunningOn.empty())
    return record(S, Key, Spec, Now);
  auto Known = S.Placed.find(Key);
  if (Known != S.Placed.end())
    return {PlacementVerdict::Placed, replyOf(Key.second, Known->second, Now)};
  for (const WaitingRequest &W : S.Queue) {
    if (W.Key == Key)
      return {PlacementVerdict::Waiting, {}};
  }
  PlacementOutcome Outcome =
      placer::decide(S, Key, Spec, /*MaySearch=*/true, Now);
  Outcome.Reply.Basis.Searches = 1;
  if (Outcome.Verdict == PlacementVerdict::Waiting)
    placer::enqueue(S, Key, Spec, Now);
  return Outcome;
}

void updateStage(PlacerState &S, const PlacementKey &Key, PlacementStage Stage,
                 const BackendId &FaultyServer, TimePoint Now) {
  placer::advance(S, Now);
  placer::withdraw(S, Key);
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
