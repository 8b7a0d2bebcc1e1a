// Placement of requests on engines, by the site's placer or by this host, and
// memory reservations at helpers.

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
constexpr Duration OrderConnectTime = milliseconds(300);
/// Timeout of an order. An engine answers orders at once, so a later answer is
/// taken as lost.
constexpr Duration OrderTimeout = milliseconds(300);
constexpr Duration OrderRetryDelay = milliseconds(100);
/// An order without an answer may take effect up to this time later, and then
/// creates or renews a reservation that is no longer needed.
constexpr Duration MaxOrderDelay = seconds(13);
constexpr Duration ReleaseRepeatInterval = milliseconds(1000);
/// Engines free reserved memory after this time without a renewal. This limits
/// how long the memory of a dead host stays reserved, for which platforms allow
/// a few seconds, and the effect of an order that is executed late.
constexpr Duration ReservationLease = milliseconds(3000);
/// Short enough for several renewals within a lease, since some may be lost.
constexpr Duration RenewInterval = milliseconds(700);

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

const PlacerEngine *engineOf(const Gateway &S, const BackendId &Id) {
  auto Found = S.Engines.Engines.find(Id);
  return Found == S.Engines.Engines.end() ? nullptr : &Found->second;
}

std::vector<HelperInfo> helpersOf(const GatewayTurn &T, const GatewayCall &C) {
  std::vector<HelperInfo> Helpers;
  for (const EnginePart &Part : C.Placement.Helpers) {
    const PlacerEngine *E = engineOf(T.S, Part.Engine);
    if (E == nullptr)
      continue;
    HelperInfo Helper;
    Helper.Address = E->Address;
    for (const Reservation &R : C.Reserved) {
      if (R.Engine == Part.Engine)
        Helper.Ticket = R.Ticket;
    }
    Helpers.push_back(std::move(Helper));
  }
  return Helpers;
}

UpstreamRequest orderRequest(const std::string &Address, EngineOrder Order) {
  UpstreamRequest Request;
  Request.Address = Address;
  Request.Method = Order.Method;
  Request.Target = std::move(Order.Target);
  Request.Headers = std::move(Order.Headers);
  Request.Body = std::move(Order.Body);
  Request.MayReuse = true; // Orders with the same ticket are idempotent.
  Request.ConnectTimeout = OrderConnectTime;
  return Request;
}

Duration leaseOf(const Gateway &S) {
  return std::min(ReservationLease, S.Config.Schedule.ReservationLimit);
}

/// Returns a reservation name that is unique in the site. Engines distinguish
/// reservations only by name, and hosts that start at the same moment have
/// equal counters.
std::string reservationName(const Gateway &S) {
  return "r" + S.Self.Value + "-" + std::to_string(S.Incarnation) + "-" +
         std::to_string(S.NextUpstream);
}

/// Sends an order that creates or renews a reservation.
void orderMemory(GatewayTurn &T, GatewayCall &C, Reservation &R) {
  Gateway &S = T.S;
  R.Order = UpstreamId{S.NextUpstream++};
  R.Expires = T.Now + leaseOf(S);
  S.ByUpstream[R.Order] = C.Ticket;
  T.Out.push_back(calls::OpenUpstream{
      R.Order,
      orderRequest(R.Address,
                   S.Platform.EncodeReserve(R.Ticket, R.Tokens, leaseOf(S))),
      C.Deadline});
}

void reserve(GatewayTurn &T, GatewayCall &C) {
  for (const EnginePart &Part : C.Placement.Helpers) {
    const PlacerEngine *E = engineOf(T.S, Part.Engine);
    if (Part.MemoryTokens == 0 || E == nullptr)
      continue;
    Reservation R;
    R.Engine = Part.Engine;
    R.Address = E->Address;
    R.Ticket = reservationName(T.S);
    R.Tokens = Part.MemoryTokens;
    orderMemory(T, C, R);
    C.Reserved.push_back(std::move(R));
  }
  C.RenewAt = T.Now + RenewInterval;
}

void dropOrder(GatewayTurn &T, Reservation &R) {
  if (R.Order == UpstreamId{})
    return;
  T.S.ByUpstream.erase(R.Order);
  T.Out.push_back(calls::AbortUpstream{R.Order});
  R.Order = UpstreamId{};
  R.IsUnconfirmed = true;
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

/// Reserves memory at the helpers of the placement, or sends the request if no
/// reservation is needed.
void startPlacedCall(GatewayTurn &T, GatewayCall &C, const PlacementReply &M) {
  C.Placement = M;
  C.Placed = true;
  const PlacerEngine *E = engineOf(T.S, M.First.Engine);
  C.Attempt.Server = M.First.Engine;
  C.Attempt.Forecast = M.Forecast;
  if (E == nullptr) {
    attemptFailed(T, C, false, Code::NoBackend,
                  "the placement names an engine unknown to this host");
    return;
  }
  C.Attempt.Address = E->Address;
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
  checkAt(T, C, std::min(C.Deadline, T.Now + OrderTimeout));
}

void placeLocally(GatewayTurn &T, GatewayCall &C) {
  C.IsRemotePlacement = false;
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

/// Handles the result of a reservation order. Sends the request once all its
/// reservations are granted.
void reservationAnswered(GatewayTurn &T, GatewayCall &C, Reservation &R,
                         bool Granted) {
  T.S.ByUpstream.erase(R.Order);
  R.Order = UpstreamId{};
  if (C.Stage != CallStage::Reserving)
    return; // Result of a renewal; the next renewal follows in any case.
  R.Granted = Granted;
  if (!Granted) {
    C.FaultyServer = R.Engine;
    attemptFailed(T, C, false, Code::RefusedByBackend,
                  "an engine refused or did not answer a memory reservation");
    return;
  }
  for (const Reservation &Other : C.Reserved) {
    if (!Other.Granted)
      return;
  }
  sendAttempt(T, C, helpersOf(T, C));
}

/// Sends an order that releases a reservation.
void sendRelease(GatewayTurn &T, PendingRelease &Release) {
  Gateway &S = T.S;
  Release.Order = UpstreamId{S.NextUpstream++};
  Release.NextAt = T.Now + OrderTimeout;
  T.Out.push_back(calls::OpenUpstream{
      Release.Order,
      orderRequest(Release.Address, S.Platform.EncodeRelease(Release.Ticket)),
      std::nullopt});
}

/// Processes an event of a release order. Returns false for any other event.
bool releaseEvent(GatewayTurn &T, const Event &E, UpstreamId Order) {
  for (PendingRelease &Release : T.S.Releases) {
    if (Release.Order != Order)
      continue;
    if (std::holds_alternative<UpstreamEnd>(E)) {
      Release.Order = UpstreamId{};
      Release.Confirmed = true;
      Release.NextAt = T.Now + ReleaseRepeatInterval;
    } else if (std::holds_alternative<UpstreamFailed>(E)) {
      Release.Order = UpstreamId{};
      Release.NextAt = T.Now + OrderRetryDelay;
    }
    return true;
  }
  return false;
}

void tickReleases(GatewayTurn &T) {
  auto IsOver = [&](const PendingRelease &R) {
    bool Free = R.Confirmed || T.Now >= R.ExpiresAt;
    return R.Order == UpstreamId{} && Free && T.Now >= R.RepeatUntil;
  };
  auto &Releases = T.S.Releases;
  for (PendingRelease &R : Releases) {
    if (T.Now < R.NextAt)
      continue;
    if (R.Order != UpstreamId{})
      T.Out.push_back(calls::AbortUpstream{R.Order});
    R.Order = UpstreamId{};
    if (!IsOver(R))
      sendRelease(T, R);
  }
  Releases.erase(std::remove_if(Releases.begin(), Releases.end(), IsOver),
                 Releases.end());
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

bool placesHere(const Gateway &S, TimePoint Now) {
  return S.Link.Placer.empty() || S.Link.Placer == S.Self ||
         Now < S.PlacerAvoidedUntil;
}

void requestPlacement(GatewayTurn &T, GatewayCall &C) {
  C.Stage = CallStage::Placing;
  C.PlacementRequestedAt = T.Now;
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
    Known->second = Incarnation;
  }
  setIndependentPlacement(T.S.Engines, T.S.Self, false);
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
}

void reportStage(GatewayTurn &T, GatewayCall &C, PlacementStage Stage,
                 const BackendId &FaultyServer) {
  updateStage(T.S.Engines, {T.S.Self, C.Ticket}, Stage, FaultyServer, T.Now);
  if (!T.S.Link.Placer.empty() && T.S.Link.Placer != T.S.Self)
    send(T, T.S.Link.Placer, PlacementUpdate{C.Ticket, Stage, FaultyServer});
  if (Stage != PlacementStage::Decoding)
    C.Placed = false;
}

bool reservationEvent(GatewayTurn &T, const Event &E) {
  UpstreamId Order = upstreamOf(E);
  if (releaseEvent(T, E, Order))
    return true;
  auto Found = T.S.ByUpstream.find(Order);
  if (Found == T.S.ByUpstream.end())
    return false;
  GatewayCall &C = *findCall(T, Found->second);
  for (Reservation &R : C.Reserved) {
    if (R.Order != Order)
      continue;
    constexpr int StatusOk = 200;
    if (const auto *Head = std::get_if<UpstreamHead>(&E))
      R.Status = Head->Status;
    else if (std::holds_alternative<UpstreamFailed>(E)) {
      R.IsUnconfirmed = true;
      reservationAnswered(T, C, R, false);
    } else if (std::holds_alternative<UpstreamEnd>(E))
      reservationAnswered(T, C, R, R.Status == StatusOk);
    return true;
  }
  return false;
}

void freeReservations(GatewayTurn &T, GatewayCall &C) {
  for (Reservation &R : C.Reserved) {
    dropOrder(T, R);
    PendingRelease Release;
    Release.Address = R.Address;
    Release.Ticket = R.Ticket;
    Release.ExpiresAt = R.Expires;
    if (R.IsUnconfirmed)
      Release.RepeatUntil = T.Now + MaxOrderDelay;
    sendRelease(T, Release);
    T.S.Releases.push_back(std::move(Release));
  }
  C.Reserved.clear();
}

void renewReservations(GatewayTurn &T, GatewayCall &C) {
  if (C.Reserved.empty() || T.Now < C.RenewAt)
    return;
  C.RenewAt = T.Now + RenewInterval;
  for (Reservation &R : C.Reserved) {
    if (!R.Granted)
      continue;
    dropOrder(T, R);
    orderMemory(T, C, R);
  }
}

/// Fails the attempt if a reservation order got no answer in time; the engine
/// may not have reserved the memory.
void checkReserving(GatewayTurn &T, GatewayCall &C) {
  for (Reservation &R : C.Reserved) {
    if (R.Order == UpstreamId{})
      continue;
    T.Out.push_back(calls::AbortUpstream{R.Order});
    reservationAnswered(T, C, R, false);
    return;
  }
}

void checkPlacing(GatewayTurn &T, GatewayCall &C) {
  PlacementRequest Spec = makePlacementRequest(T, C);
  if (Spec.EventTimeLeft <= Duration::zero()) {
    if (C.IsRemotePlacement)
      send(T, T.S.Link.Placer,
           PlacementUpdate{C.Ticket, PlacementStage::Ended, {}});
    updateStage(T.S.Engines, {T.S.Self, C.Ticket}, PlacementStage::Ended, {},
                T.Now);
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
  if (!C.Acknowledged) {
    DecisionRecord Record{
        "placer_silent", {}, "no reply to a placement request in time", {}};
    Record.add("placer", T.S.Link.Placer.Value);
    Record.add("waited_ms", toMilliseconds(T.Now - C.PlacementRequestedAt));
    log(T, std::move(Record));
    T.S.PlacerAvoidedUntil = T.Now + PlacerAvoidance;
  }
  placeLocally(T, C);
}

void tickPlacing(GatewayTurn &T) {
  tickReleases(T);
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
