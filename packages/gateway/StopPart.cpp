// A planned stop: the host becomes unready, then refuses requests, finishes
// what it has taken, delivers its answers also to slow callers, and ends. It
// has the time of [drain] limit, after which it is killed.

#include "gateway/GatewayTurn.h"

#include <algorithm>

namespace pimento::gateway {

namespace {

/// Time between becoming unready and refusing requests. The load balancer
/// probes once a second and stops sending callers after two failed probes.
constexpr Duration UnreadyTime = milliseconds(2900);
/// Time reserved before the limit to send the last answers.
constexpr Duration StopReserve = milliseconds(900);
/// Time reserved before the limit for the end of the process.
constexpr Duration ExitReserve = milliseconds(100);
/// Time reserved before the end of the process to send the end of an answer,
/// and to tell a control host what servers may still be at work on.
constexpr Duration EndReserve = milliseconds(400);
/// Time for an answer after its first event. A request that is sent later than
/// this before the end of all calls would be cut.
constexpr Duration AnswerTime = milliseconds(1000);
constexpr Duration TickInterval = milliseconds(50);

bool isAtServer(const GatewayCall &C) {
  return C.Stage == CallStage::Sent || C.Stage == CallStage::Answering ||
         C.Stage == CallStage::Confirming;
}

/// Whether the caller of the call, or of the one that it hedges, has all that
/// its server sent, and only waits for the end.
bool mayStillEnd(GatewayTurn &T, const GatewayCall &C) {
  const GatewayCall *Hedged = &C;
  while (Hedged != nullptr && Hedged->HedgeOf != 0)
    Hedged = findCall(T, Hedged->HedgeOf);
  return Hedged != nullptr && Hedged->Stage == CallStage::Confirming &&
         T.Now < T.S.ExitBy - EndReserve;
}

/// Ends all open calls with an error answer, but for those whose end can still
/// be sent. No report comes any more: the connection that an engine has taken
/// decides whether its stream is whole.
void failOpenCalls(GatewayTurn &T) {
  std::vector<std::uint64_t> Tickets;
  for (const auto &[Ticket, C] : T.S.Calls) {
    if (!mayStillEnd(T, C))
      Tickets.push_back(Ticket);
  }
  for (std::uint64_t Ticket : Tickets) {
    GatewayCall *C = findCall(T, Ticket);
    if (C == nullptr)
      continue; // A hedge ended with its call.
    if (mayBeWhole(T, *C)) {
      completeStream(T, *C);
      continue;
    }
    bool Ran = C->MayHaveRun || C->Attempt.BytesSent;
    Code Number = Ran ? Code::StreamCut : Code::Draining;
    if (Ran && C->Path->Kind == CallKind::Once)
      Number = Code::OutcomeUnknown;
    fail(T, *C, Number, "this host is shutting down");
  }
}

/// Refuses the calls that wait to be sent and could no longer be finished.
void refuseWaiting(GatewayTurn &T) {
  std::vector<std::uint64_t> Tickets;
  for (const auto &[Ticket, C] : T.S.Calls) {
    if (!isAtServer(C) && isTooLateToSend(T, C))
      Tickets.push_back(Ticket);
  }
  for (std::uint64_t Ticket : Tickets) {
    if (GatewayCall *C = findCall(T, Ticket))
      refuseLate(T, *C);
  }
}

} // namespace

bool isTooLateToSend(const GatewayTurn &T, const GatewayCall &C) {
  const Gateway &S = T.S;
  bool IsBound = S.Stopping && T.Now >= S.RefuseAt && !C.MayHaveRun;
  // A call whose time is up before then is not cut by the stop.
  if (!IsBound || C.Deadline <= S.StopAt)
    return false;
  bool IsOnce = C.Path->Kind == CallKind::Once;
  return IsOnce || T.Now + C.Attempt.Forecast + AnswerTime > S.StopAt;
}

void refuseLate(GatewayTurn &T, GatewayCall &C) {
  if (C.Stage == CallStage::Placing)
    withdrawPlacement(T, C);
  fail(T, C, Code::Draining, "this host stops before it could be finished",
       StopRetryAfter);
}

void tickStop(GatewayTurn &T) {
  Gateway &S = T.S;
  if (!S.Stopping || T.Now < S.StopListeningAt)
    return;
  T.Out.push_back(StopAcceptingCallers{});
  bool LimitPassed = T.Now >= S.StopAt;
  if (LimitPassed)
    failOpenCalls(T);
  else
    refuseWaiting(T);
  if (S.Calls.empty() && S.Relays.Taken.empty() && hasHandedOver(T))
    T.Out.push_back(Exit{LimitPassed ? 1 : 0,
                         std::max(Duration::zero(), S.ExitBy - T.Now)});
  S.StopListeningAt = T.Now + TickInterval;
}

void stopRequested(GatewayTurn &T) {
  Gateway &S = T.S;
  if (S.Stopping)
    return;
  S.Stopping = true;
  Duration Limit = S.Config.Drain.Limit;
  S.RefuseAt = T.Now + std::min(UnreadyTime, Limit / 2);
  S.StopListeningAt = S.RefuseAt;
  S.StopAt = T.Now + std::max(Limit - StopReserve, Limit / 2);
  S.ExitBy = T.Now + std::max(Limit - ExitReserve, Limit / 2);
  syncSoon(S.Link, T.Now);
  DecisionRecord Record{
      "stop_requested", {}, "this host is not ready from now on", {}};
  Record.add("calls", static_cast<std::int64_t>(S.Calls.size()));
  Record.add("limit_ms", toMilliseconds(Limit));
  log(T, std::move(Record));
}

} // namespace pimento::gateway
