// Memory reservations at helpers: the engines that prefill parts of a prompt
// which another engine answers.

#include "gateway/GatewayTurn.h"

#include <algorithm>

namespace pimento::gateway {

namespace {

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
      orderRequest(S, R.Address,
                   S.Platform.EncodeReserve(R.Ticket, R.Tokens, leaseOf(S))),
      C.Deadline});
}

void dropOrder(GatewayTurn &T, Reservation &R) {
  if (R.Order == UpstreamId{})
    return;
  T.S.ByUpstream.erase(R.Order);
  T.Out.push_back(calls::AbortUpstream{R.Order});
  R.Order = UpstreamId{};
  R.IsUnconfirmed = true;
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
    // An engine that did not answer may be one that this host lost.
    C.Attempt.Fault = R.Status == 0 ? FaultSide::Path : FaultSide::Server;
    C.Attempt.BytesSent = false;
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
      orderRequest(T.S, Release.Address,
                   S.Platform.EncodeRelease(Release.Ticket)),
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

} // namespace

UpstreamRequest orderRequest(const Gateway &S, const std::string &Address,
                             EngineOrder Order) {
  UpstreamRequest Request;
  Request.EchoHeader = {S.Platform.ClientAttemptIdHeader, ""};
  Request.Address = Address;
  Request.Method = Order.Method;
  Request.Target = std::move(Order.Target);
  Request.Headers = std::move(Order.Headers);
  Request.Body = std::move(Order.Body);
  Request.MayReuse = true; // Orders with the same ticket are idempotent.
  Request.ConnectTimeout = OrderConnectTime;
  return Request;
}

UpstreamId queryLoad(GatewayTurn &T, const std::string &Address,
                     const BackendId &Engine, bool MayReuse) {
  UpstreamId Id{T.S.NextUpstream++};
  UpstreamRequest Request =
      orderRequest(T.S, Address, T.S.Platform.EncodeLoadQuery(Engine));
  Request.MayReuse = MayReuse;
  T.Out.push_back(calls::OpenUpstream{Id, std::move(Request), std::nullopt});
  return Id;
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

void checkReservationsLater(GatewayTurn &T, GatewayCall &C) {
  checkAt(T, C, std::min(C.Deadline, T.Now + OrderTimeout));
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
    else if (const auto *Failed = std::get_if<UpstreamFailed>(&E)) {
      R.IsUnconfirmed = true;
      BackendId Engine = R.Engine;
      bool IsLost = !Failed->Why.BytesSent && !Failed->Why.IsLocal;
      reservationAnswered(T, C, R, false);
      if (IsLost)
        pathFailed(T, Engine);
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

void checkReserving(GatewayTurn &T, GatewayCall &C) {
  for (Reservation &R : C.Reserved) {
    if (R.Order == UpstreamId{})
      continue;
    T.Out.push_back(calls::AbortUpstream{R.Order});
    reservationAnswered(T, C, R, false);
    return;
  }
}

} // namespace pimento::gateway
