// Placement of requests on engines, by the site's placer or by this host.

#include "gateway/GatewayTurn.h"

#include <algorithm>

namespace pimento::gateway {

namespace {

/// Timeout of a placement request. The placer replies at once, also if the
/// request waits.
constexpr Duration PlacementReplyTimeout = milliseconds(120);
/// Interval at which a waiting request is sent again, in case the placer lost
/// it.
constexpr Duration PlacementResendInterval = milliseconds(300);
/// Time for which this host places its own requests after the placer did not
/// reply.
constexpr Duration PlacerAvoidance = milliseconds(1000);
/// Time within which all entry hosts report their running requests to a new
/// placer.
constexpr Duration PlacerHandoverTime = milliseconds(60);

PlacementRequest makePlacementRequest(const GatewayTurn &T,
                                      const GatewayCall &C) {
  const Route &R = *C.Path;
  PlacementRequest Spec;
  Spec.Ticket = C.Ticket;
  Spec.Service = C.Service;
  Spec.PromptTokens = C.Info.PromptTokens;
  Spec.AnswerTokens = C.Info.AnswerTokens;
  Duration Age = T.Now - C.Arrived;
  // A resumed stream has to meet its inter-event objective.
  Spec.Objective = C.Replying ? R.InterEventObjective : R.Objective - Age;
  Spec.InterEventObjective = R.InterEventObjective;
  Spec.Waited = Age;
  Duration EventTimeout =
      R.EventTimeout > Duration::zero() ? R.EventTimeout : R.TimeLimit;
  Spec.EventTimeLeft = C.Replying ? EventTimeout : EventTimeout - Age;
  Spec.TimeLeft = C.Deadline - T.Now;
  Spec.EventTimeLeft = std::min(Spec.EventTimeLeft, Spec.TimeLeft);
  Spec.Priority = C.Priority;
  Spec.Account = C.Account;
  Spec.DataCentre = T.S.Engines.Here;
  Spec.Avoid = C.TriedServers;
  for (BackendId &Blocked : blockedServers(T.S, C.Ticket, T.Now))
    Spec.Avoid.push_back(std::move(Blocked));
  return Spec;
}

/// Returns the request that reports a running call to a new placer.
PlacementRequest makeRunningRequest(const GatewayTurn &T,
                                    const GatewayCall &C) {
  PlacementRequest Spec = makePlacementRequest(T, C);
  Spec.RunningOn.push_back(C.Placement.First);
  for (const EnginePart &Helper : C.Placement.Helpers)
    Spec.RunningOn.push_back(Helper);
  Spec.Decoding = C.Attempt.LastBytes > C.Attempt.Began;
  Duration Running = C.Attempt.Began == TimePoint() ? Duration::zero()
                                                    : T.Now - C.Attempt.Began;
  // An overdue prefill is assumed to need its overdue time once more.
  Duration Overdue = Running - C.Attempt.Forecast;
  if (!Spec.Decoding)
    Spec.PrefillTimeLeft = std::max(Overdue, -Overdue);
  return Spec;
}

/// Adds what the placer believed of the engines it chose, or of the whole
/// service if it chose none.
void addBasis(DecisionRecord &Record, const PlacementBasis &Basis) {
  constexpr std::int64_t NoAge = -1;
  Record.add("slowness_max", Basis.MaxSlowness);
  Record.add("speeds_unknown", static_cast<std::int64_t>(Basis.UnknownSpeeds));
  Record.add("speed_age_ms",
             Basis.SpeedAge ? toMilliseconds(*Basis.SpeedAge) : NoAge);
  Record.add("engines_slow", static_cast<std::int64_t>(Basis.SlowEngines));
  Record.add("backlog_ms", toMilliseconds(Basis.Backlog));
  Record.add("penalty_share", Basis.PenaltyShare);
  Record.add("searches", static_cast<std::int64_t>(Basis.Searches));
}

void logPlaced(GatewayTurn &T, const GatewayCall &C) {
  DecisionRecord Record = record(T, C, "placed", "");
  Record.add("server", C.Placement.First.Engine.Value);
  std::string Helpers;
  for (const EnginePart &Part : C.Placement.Helpers)
    Helpers += (Helpers.empty() ? "" : " ") + Part.Engine.Value;
  Record.add("helpers", std::move(Helpers));
  Record.add("reserved", static_cast<std::int64_t>(C.Reserved.size()));
  Record.add("parts", partsText(C.Info.Parts));
  Record.add("prompt_tokens", static_cast<std::int64_t>(C.Info.PromptTokens));
  Record.add("forecast_ms", toMilliseconds(C.Placement.Forecast));
  Record.add("placer",
             C.IsRemotePlacement ? T.S.Link.Placer.Value : T.S.Self.Value);
  Record.add("asked_ms", toMilliseconds(T.Now - C.PlacementRequestedAt));
  addBasis(Record, C.Placement.Basis);
  log(T, std::move(Record));
}

/// Ends the call after the placer refused it.
void placementRefused(GatewayTurn &T, GatewayCall &C, const PlacementReply &M) {
  const char *Reason = "no engine can answer in time";
  DecisionRecord Record = record(T, C, "placement_refused", Reason);
  Record.add("code", static_cast<std::int64_t>(M.Result));
  Record.add("prompt_tokens", static_cast<std::int64_t>(C.Info.PromptTokens));
  Record.add("sends", static_cast<std::int64_t>(C.Sends));
  Record.add("placer",
             C.IsRemotePlacement ? T.S.Link.Placer.Value : T.S.Self.Value);
  Record.add("asked_ms", toMilliseconds(T.Now - C.PlacementRequestedAt));
  Record.add("best_forecast_ms", toMilliseconds(M.Basis.BestForecast));
  addBasis(Record, M.Basis);
  log(T, std::move(Record));
  fail(T, C, C.MayHaveRun ? Code::BackendFailed : M.Result, Reason,
       M.RetryAfter);
}

/// Ends a hedge of a slow attempt that would have to wait for an engine, or
/// would delay others there.
void failWithoutRoom(GatewayTurn &T, GatewayCall &C) {
  fail(T, C, Code::NoBackend, "no engine has room to spare");
}

/// Reserves memory at the helpers of the placement, or sends the request if no
/// reservation is needed.
void startPlacedCall(GatewayTurn &T, GatewayCall &C, const PlacementReply &M) {
  C.Placement = M;
  C.Placed = true;
  if (C.IsForSlow && !hedge::hasRoom(M.Basis.PenaltyShare, M.Helpers.size())) {
    failWithoutRoom(T, C);
    return;
  }
  const PlacerEngine *E = engineOf(T.S, M.First.Engine);
  C.Attempt.Server = M.First.Engine;
  C.Attempt.Forecast = M.Forecast;
  if (E == nullptr) {
    attemptFailed(T, C, false, Code::NoBackend,
                  "the placement names an engine unknown to this host");
    return;
  }
  C.Attempt.Address = E->Address;
  C.Attempt.ServerIncarnation = E->Incarnation;
  if (C.IsRemotePlacement)
    placeRequest(T.S.Engines, {T.S.Self, C.Ticket}, makeRunningRequest(T, C),
                 T.Now);
  reserve(T, C);
  logPlaced(T, C);
  if (C.Reserved.empty()) {
    sendAttempt(T, C, helpersOf(T, C));
    return;
  }
  C.Stage = CallStage::Reserving;
  checkReservationsLater(T, C);
}

void placeLocally(GatewayTurn &T, GatewayCall &C) {
  C.IsRemotePlacement = false;
  updateLimitRole(T);
  setIndependentPlacement(T.S.Engines, T.S.Self, T.S.Link.Placer != T.S.Self);
  PlacementOutcome Outcome = placeRequest(T.S.Engines, {T.S.Self, C.Ticket},
                                          makePlacementRequest(T, C), T.Now);
  switch (Outcome.Verdict) {
  case PlacementVerdict::Placed:
    startPlacedCall(T, C, Outcome.Reply);
    return;
  case PlacementVerdict::Refused:
    placementRefused(T, C, Outcome.Reply);
    return;
  case PlacementVerdict::Waiting:
    if (C.IsForSlow)
      failWithoutRoom(T, C);
    else
      checkAt(T, C, T.Now + PlacementResendInterval);
    return;
  }
}

void placeRemotely(GatewayTurn &T, GatewayCall &C) {
  C.IsRemotePlacement = true;
  C.Acknowledged = false;
  send(T, T.S.Link.Placer, makePlacementRequest(T, C));
  checkAt(T, C, T.Now + PlacementReplyTimeout);
}

/// Moves waiting requests to the current placer, since the previous one no
/// longer answers them.
void moveWaitingRequests(GatewayTurn &T, const HostId &Before) {
  std::vector<std::uint64_t> Waiting;
  for (const auto &[Ticket, C] : T.S.Calls) {
    if (C.Stage == CallStage::Placing)
      Waiting.push_back(Ticket);
  }
  for (std::uint64_t Ticket : Waiting) {
    GatewayCall *C = findCall(T, Ticket);
    if (C == nullptr)
      continue;
    if (C->IsRemotePlacement)
      send(T, Before, PlacementUpdate{Ticket, PlacementStage::Ended, {}});
    else
      updateStage(T.S.Engines, {T.S.Self, Ticket}, PlacementStage::Ended, {},
                  T.Now);
    requestPlacement(T, *C);
  }
}

} // namespace

const PlacerEngine *engineOf(const Gateway &S, const BackendId &Id) {
  auto Found = S.Engines.Engines.find(Id);
  return Found == S.Engines.Engines.end() ? nullptr : &Found->second;
}

bool placesHere(const Gateway &S, TimePoint Now) {
  return S.Link.Placer.empty() || S.Link.Placer == S.Self ||
         Now < S.PlacerAvoidedUntil;
}

void avoidPlacer(GatewayTurn &T, const GatewayCall &C) {
  DecisionRecord Record{
      "placer_silent", {}, "the placer did not reply in time", {}};
  Record.add("placer", T.S.Link.Placer.Value);
  Record.add("waited_ms", toMilliseconds(T.Now - C.PlacementRequestedAt));
  log(T, std::move(Record));
  T.S.PlacerAvoidedUntil = T.Now + PlacerAvoidance;
}

void requestPlacement(GatewayTurn &T, GatewayCall &C) {
  C.Stage = CallStage::Placing;
  C.PlacementRequestedAt = T.Now;
  if (std::optional<Duration> Wait = pauseOfAll(T, C)) {
    failPaused(T, C, *Wait);
    return;
  }
  if (placesHere(T.S, T.Now))
    placeLocally(T, C);
  else
    placeRemotely(T, C);
}

void onPlacementReply(GatewayTurn &T, const HostId &From,
                      const PlacementReply &M) {
  GatewayCall *C = findCall(T, M.Ticket);
  bool Expected = C != nullptr && C->Stage == CallStage::Placing &&
                  C->IsRemotePlacement && From == T.S.Link.Placer;
  if (!Expected) {
    bool Known = C != nullptr && C->Placed;
    if (!Known && !M.First.Engine.empty())
      send(T, From, PlacementUpdate{M.Ticket, PlacementStage::Ended, {}});
    return;
  }
  if (M.Result != Code::Ok) {
    placementRefused(T, *C, M);
    return;
  }
  if (M.First.Engine.empty() && C->IsForSlow) {
    failWithoutRoom(T, *C);
    return;
  }
  if (M.First.Engine.empty()) {
    C->Acknowledged = true;
    checkAt(T, *C, std::min(C->Deadline, T.Now + PlacementResendInterval));
    return;
  }
  startPlacedCall(T, *C, M);
}

void onPlacementRequest(GatewayTurn &T, const HostId &From,
                        IncarnationNumber Incarnation,
                        const PlacementRequest &M) {
  auto Known = T.S.RequesterIncarnations.emplace(From, Incarnation).first;
  if (Known->second != Incarnation) {
    // The host restarted and sends no updates about its earlier requests.
    dropHost(T.S.Engines, From);
    dropPermits(T.S.Permits, From);
    Known->second = Incarnation;
  }
  setIndependentPlacement(T.S.Engines, T.S.Self, false);
  updateLimitRole(T);
  PlacementOutcome Outcome =
      placeRequest(T.S.Engines, {From, M.Ticket}, M, T.Now);
  if (!M.RunningOn.empty())
    return;
  PlacementReply Reply = std::move(Outcome.Reply);
  // A reply without an engine means that the request waits.
  Reply.Ticket = M.Ticket;
  send(T, From, std::move(Reply));
}

void onPlacementUpdate(GatewayTurn &T, const HostId &From,
                       const PlacementUpdate &M) {
  updateStage(T.S.Engines, {From, M.Ticket}, M.Stage, M.FaultyServer, T.Now);
  pimento::withdrawPermit(T.S.Permits, {From, M.Ticket});
}

void reportStage(GatewayTurn &T, GatewayCall &C, PlacementStage Stage,
                 const BackendId &FaultyServer) {
  updateStage(T.S.Engines, {T.S.Self, C.Ticket}, Stage, FaultyServer, T.Now);
  if (!T.S.Link.Placer.empty() && T.S.Link.Placer != T.S.Self)
    send(T, T.S.Link.Placer, PlacementUpdate{C.Ticket, Stage, FaultyServer});
  if (Stage != PlacementStage::Decoding)
    C.Placed = false;
}

void withdrawPlacement(GatewayTurn &T, const GatewayCall &C) {
  if (C.IsRemotePlacement)
    send(T, T.S.Link.Placer,
         PlacementUpdate{C.Ticket, PlacementStage::Ended, {}});
  updateStage(T.S.Engines, {T.S.Self, C.Ticket}, PlacementStage::Ended, {},
              T.Now);
}

void checkPlacing(GatewayTurn &T, GatewayCall &C) {
  PlacementRequest Spec = makePlacementRequest(T, C);
  if (Spec.EventTimeLeft <= Duration::zero()) {
    withdrawPlacement(T, C);
    fail(T, C, C.MayHaveRun ? Code::BackendFailed : Code::DeadlineUnreachable,
         "no engine was free in time");
    return;
  }
  if (!C.IsRemotePlacement) {
    checkAt(T, C, T.Now + PlacementResendInterval);
    return;
  }
  if (C.Acknowledged && !placesHere(T.S, T.Now)) {
    placeRemotely(T, C);
    return;
  }
  if (!C.Acknowledged)
    avoidPlacer(T, C);
  placeLocally(T, C);
}

void tickPlacing(GatewayTurn &T) {
  for (auto &[Key, Reply] : tickPlacer(T.S.Engines, T.Now)) {
    if (Key.first != T.S.Self) {
      send(T, Key.first, std::move(Reply));
      continue;
    }
    GatewayCall *C = findCall(T, Key.second);
    if (C == nullptr || C->Stage != CallStage::Placing ||
        C->IsRemotePlacement) {
      updateStage(T.S.Engines, Key, PlacementStage::Ended, {}, T.Now);
      continue;
    }
    if (Reply.Result == Code::Ok)
      startPlacedCall(T, *C, Reply);
    else
      placementRefused(T, *C, Reply);
  }
}

void followPlacer(GatewayTurn &T) {
  Gateway &S = T.S;
  if (S.Placer == S.Link.Placer)
    return;
  DecisionRecord Record{"placer", {}, "the leader named another placer", {}};
  Record.add("placer", S.Link.Placer.Value);
  Record.add("before", S.Placer.Value);
  log(T, std::move(Record));
  HostId Before = S.Placer;
  bool PlacedHere = Before == S.Self;
  S.Placer = S.Link.Placer;
  S.PlacerAvoidedUntil = TimePoint();
  if (S.Placer == S.Self && !Before.empty())
    S.Engines.PlacementPausedUntil = T.Now + PlacerHandoverTime;
  moveWaitingRequests(T, Before);
  if (S.Placer == S.Self || S.Placer.empty())
    return;
  if (PlacedHere) {
    std::set<HostId> Others;
    for (const auto &[Key, Request] : S.Engines.Placed)
      Others.insert(Key.first);
    Others.erase(S.Self);
    for (const HostId &Other : Others)
      dropHost(S.Engines, Other);
  }
  for (auto &[Ticket, C] : S.Calls) {
    if (C.Placed)
      send(T, S.Placer, makeRunningRequest(T, C));
  }
}

} // namespace pimento::gateway
