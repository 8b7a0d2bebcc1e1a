// Hedged requests: while an attempt is late, another server is tried, and the
// attempt goes on. A server's silence does not tell whether it has failed, so
// nothing that may still be answered is given up before another server has
// answered. The hedge is a call of its own without a caller. It replaces the
// call that it hedges, and gets its caller, once its server has answered, or
// once the late attempt has failed.

#include "gateway/GatewayTurn.h"

#include <algorithm>

namespace pimento::gateway {

namespace {

/// Time from the beginning of a hedge, or from its end, to the next one.
constexpr Duration HedgeInterval = milliseconds(500);

GatewayCall *hedgeOf(GatewayTurn &T, const GatewayCall &C) {
  return C.Hedge == 0 ? nullptr : findCall(T, C.Hedge);
}

void logHedge(GatewayTurn &T, const GatewayCall &C, const char *Kind,
              const GatewayCall &H, const char *Reason) {
  DecisionRecord Record = record(T, C, Kind, Reason);
  Record.add("hedge", static_cast<std::int64_t>(H.Ticket));
  Record.add("server", C.Attempt.Server.Value);
  Record.add("relay", C.Attempt.Relay.Value);
  Record.add("stage", std::string(toString(C.Stage)));
  Record.add("events", static_cast<std::int64_t>(C.Events.Events));
  Record.add("since_bytes_ms", toMilliseconds(T.Now - C.Attempt.LastBytes));
  Record.add("hedge_server", H.Attempt.Server.Value);
  Record.add("hedge_stage", std::string(toString(H.Stage)));
  Record.add("hedge_sends", static_cast<std::int64_t>(H.Sends));
  Record.add("hedge_ms", toMilliseconds(T.Now - H.HedgedAt));
  log(T, std::move(Record));
}

/// Sends of the call, with that of an attempt that has no connection yet.
std::uint32_t sendsWithOpen(const GatewayCall &C) {
  bool IsUnsent = C.Attempt.Upstream != UpstreamId{} && !C.Attempt.BytesSent;
  return C.Sends + (IsUnsent ? 1 : 0);
}

/// Whether a hedge of the call may begin. One that is a hedge itself, and late,
/// may have another, but not once it has used its sends.
bool mayHaveHedge(const GatewayCall &C) {
  bool IsLast = C.HedgeOf != 0 && sendsWithOpen(C) >= C.MaxSends;
  return mayRunAgain(C) && C.Hedge == 0 && !IsLast;
}

void countHedge(GatewayTurn &T, const char *Result) {
  count(T, "pimento_hedges_total", std::string("result=\"") + Result + "\"");
}

/// Logs once for each attempt that no other server is tried beside it.
void logNoHedge(GatewayTurn &T, GatewayCall &C, const char *Reason) {
  countHedge(T, "not_allowed");
  if (C.Attempt.HasNoHedge)
    return;
  C.Attempt.HasNoHedge = true;
  DecisionRecord Record = record(T, C, "hedge_not_started", Reason);
  Record.add("server", C.Attempt.Server.Value);
  Record.add("sends", static_cast<std::int64_t>(C.Sends));
  Record.add("sends_allowed", static_cast<std::int64_t>(C.MaxSends));
  Record.add("tries", static_cast<std::int64_t>(C.AttemptCount));
  Record.add("retries_left",
             siteRetriesLeft(T.S.Retries, C.Service, T.S.RetryRules,
                             T.S.Link.Entries, T.Now));
  Record.add("trial", C.IsTrial);
  Record.add("suspect", isSuspectOfCrashes(T, C));
  log(T, std::move(Record));
}

/// The hedge of \p C, which goes on after the last event that the caller has.
GatewayCall hedgeFor(GatewayTurn &T, const GatewayCall &C) {
  GatewayCall H;
  H.Ticket = T.S.NextTicket++;
  H.HedgeOf = C.Ticket;
  H.HedgedAt = T.Now;
  H.Info = C.Info;
  H.Method = C.Method;
  H.Target = C.Target;
  H.Body = C.Body;
  H.Digest = C.Digest;
  H.Table = C.Table;
  H.Path = C.Path;
  H.Service = C.Service;
  H.OnEngine = C.OnEngine;
  H.Account = C.Account;
  H.Priority = C.Priority;
  H.Arrived = C.Arrived;
  H.Deadline = C.Deadline;
  H.IsRelayed = C.IsRelayed;
  H.MaxSends = C.MaxSends - sendsWithOpen(C);
  H.AttemptCount = C.AttemptCount;
  H.MayHaveRun = true;
  H.IsRetryDue = true;
  H.TriedServers = C.TriedServers;
  if (!C.Attempt.Server.empty())
    H.TriedServers.push_back(C.Attempt.Server);
  H.Replying = C.Replying;
  H.IsEventStream = C.IsEventStream;
  H.Events = C.Events;
  H.Events.Partial.clear();
  return H;
}

/// Counts what the hedge did as done by \p C. One that reached no server leaves
/// its tries to the next.
void addSends(GatewayCall &C, const GatewayCall &H) {
  if (H.Sends == 0)
    return;
  C.Sends += H.Sends;
  C.MayHaveRun = C.MayHaveRun || H.Sends > 0;
  C.AttemptCount = H.AttemptCount;
  for (const BackendId &Server : H.TriedServers) {
    bool IsKnown = std::find(C.TriedServers.begin(), C.TriedServers.end(),
                             Server) != C.TriedServers.end();
    if (!IsKnown && Server != C.Attempt.Server)
      C.TriedServers.push_back(Server);
  }
}

hedge::RouteAtService routeOf(const GatewayCall &C) {
  return {C.Path->Name, C.Service, C.Path->Objective};
}

void countSlow(GatewayTurn &T, const char *Result) {
  count(T, "pimento_slow_answer_hedges_total",
        std::string("result=\"") + Result + "\"");
}

/// Counts the end of a hedge of a slow attempt that did not win.
void slowHedgeEnded(GatewayTurn &T, const GatewayCall &H) {
  if (!H.IsForSlow)
    return;
  if (sendsWithOpen(H) == 0)
    hedge::giveBack(T.S.SlowAnswers, H.Path->Name);
  countSlow(T, sendsWithOpen(H) == 0 ? "not_sent" : "wasted");
}

hedge::SlowAttempt describe(GatewayTurn &T, const GatewayCall &C) {
  hedge::SlowAttempt A;
  A.At = routeOf(C);
  A.MayRepeat =
      mayHaveHedge(C) && maySendAgain(T, C) && sendsWithOpen(C) < C.MaxSends;
  A.IsStopping = T.S.Stopping;
  A.IsSuspect = C.IsTrial || isSuspectOfCrashes(T, C);
  for (const calls::PlainServer &Server : plainServers(T.S, C.Service)) {
    SendBlock Block =
        blockOf(T.S, Server.Backend, Server.Incarnation, C.Ticket, T.Now);
    bool WantsLess = Block == SendBlock::Paused || Block == SendBlock::Probed ||
                     needsPermit(T.S, Server);
    A.WantsLess = A.WantsLess || WantsLess;
  }
  // The placer says whether another engine has room.
  A.QuietServers = C.OnEngine ? 1 : 0;
  for (const calls::PlainServer &Server : nearServers(T, C))
    A.QuietServers += Server.Backend == C.Attempt.Server ? 0 : 1;
  A.RetriesLeft = siteRetriesLeft(T.S.Retries, C.Service, T.S.RetryRules,
                                  T.S.Link.Entries, T.Now);
  return A;
}

void logSlow(GatewayTurn &T, const GatewayCall &C, const hedge::SlowAttempt &A,
             hedge::HoldBack Why) {
  const hedge::SlowAnswers &S = T.S.SlowAnswers;
  const hedge::AnswerTimes &Times = S.Times.at(A.At);
  DecisionRecord Record = record(T, C, "slow_attempt", toString(Why));
  Record.add("route", A.At.Route);
  Record.add("server", C.Attempt.Server.Value);
  Record.add("attempt_ms", toMilliseconds(T.Now - C.Attempt.Began));
  Record.add("usual_ms", toMilliseconds(Times.Usual));
  Record.add("slow_share", Times.SlowShare);
  Record.add("tokens", S.All.Tokens);
  Record.add("retries_left", A.RetriesLeft);
  Record.add("quiet_servers", static_cast<std::int64_t>(A.QuietServers));
  log(T, std::move(Record));
}

/// Ends the hedge and lets its call, which goes on, wait for its server.
void endHedge(GatewayTurn &T, GatewayCall &C, GatewayCall &H,
              const char *Result, const char *Reason) {
  dropHedge(T, H, Reason);
  logHedge(T, C, "hedge_ended", H, Reason);
  countHedge(T, Result);
  slowHedgeEnded(T, H);
  addSends(C, H);
  C.Hedge = 0;
  C.NextHedgeAt = T.Now + HedgeInterval;
  checkBy(T, C, C.NextHedgeAt);
  removeCall(T, H);
}

} // namespace

TimePoint hedgeAt(const GatewayCall &C) {
  if (!mayHaveHedge(C))
    return TimePoint::max();
  return std::max(overdueAt(C), C.NextHedgeAt);
}

TimePoint slowAt(const GatewayTurn &T, const GatewayCall &C) {
  bool HasNothing = C.Stage == CallStage::Sent ||
                    (C.Stage == CallStage::Answering && C.OnEngine);
  bool MayBeSlow = HasNothing && !C.Attempt.HasEvents && !C.IsRelayed &&
                   C.Attempt.Relay.empty() && C.HedgeOf == 0 && C.Hedge == 0 &&
                   !C.Attempt.IsSlow && C.Reserved.empty();
  return MayBeSlow ? hedge::slowAt(T.S.SlowAnswers, routeOf(C),
                                   C.Attempt.Began + C.Attempt.Forecast)
                   : TimePoint::max();
}

void hedgeSlowAttempt(GatewayTurn &T, GatewayCall &C) {
  C.Attempt.IsSlow = true;
  hedge::SlowAttempt A = describe(T, C);
  hedge::HoldBack Why = hedge::judge(T.S.SlowAnswers, A);
  logSlow(T, C, A, Why);
  countSlow(T, Why == hedge::HoldBack::None ? "started" : toString(Why));
  if (Why == hedge::HoldBack::None)
    startHedge(T, C, "the answer is slower than most of its route",
               /*IsForSlow=*/true);
}

void noteAnswerTime(GatewayTurn &T, const GatewayCall &C) {
  Duration Took = T.Now - C.Attempt.Began - C.Attempt.Forecast;
  if (C.Attempt.Relay.empty())
    hedge::onAnswer(T.S.SlowAnswers, routeOf(C),
                    std::max(Took, Duration::zero()), T.Now);
}

void startHedge(GatewayTurn &T, GatewayCall &C, const char *Reason,
                bool IsForSlow) {
  C.NextHedgeAt = T.Now + HedgeInterval;
  if (!mayHaveHedge(C))
    return;
  bool IsOver = T.S.Stopping && T.Now >= T.S.StopAt;
  bool IsAllowed = maySendAgain(T, C) && sendsWithOpen(C) < C.MaxSends;
  if (IsOver || C.IsTrial || !IsAllowed || isSuspectOfCrashes(T, C)) {
    logNoHedge(T, C, Reason);
    return;
  }
  GatewayCall New = hedgeFor(T, C);
  GatewayCall &H = T.S.Calls[New.Ticket];
  H = std::move(New);
  H.IsForSlow = IsForSlow;
  C.Hedge = H.Ticket;
  logHedge(T, C, "hedge_started", H, Reason);
  countHedge(T, "started");
  startAttempt(T, H);
}

void serverIsDead(GatewayTurn &T, GatewayCall &C) {
  // Memory at helpers is of no use without the engine.
  freeReservations(T, C);
  if (C.Hedge == 0 && T.Now >= C.NextHedgeAt)
    startHedge(T, C, "the engine is silent and takes no connection");
}

void replyBegan(GatewayTurn &T, const GatewayCall &C) {
  GatewayCall *H = hedgeOf(T, C);
  if (H == nullptr)
    return;
  H->Replying = true;
  H->IsEventStream = C.IsEventStream;
  replyBegan(T, *H);
}

bool mayTakeOver(const GatewayCall &H) {
  return !H.Replying || !H.Attempt.IsForwarded ||
         H.Attempt.Answer.Events == H.IsEventStream;
}

void takeOver(GatewayTurn &T, GatewayCall &H, const char *Reason) {
  GatewayCall &C = *findCall(T, H.HedgeOf);
  logHedge(T, C, "hedge_took_over", H, Reason);
  countHedge(T, "took_over");
  if (H.IsForSlow) {
    countSlow(T, "won");
    noteAnswerTime(T, C);
  }
  C.Hedge = 0;
  H.HedgeOf = C.HedgeOf;
  if (GatewayCall *Hedged = findCall(T, H.HedgeOf))
    Hedged->Hedge = H.Ticket;
  std::swap(H.Exchange, C.Exchange);
  if (H.Exchange != ExchangeId{})
    T.S.ByExchange[H.Exchange] = H.Ticket;
  H.Sends += C.Sends;
  H.MaxSends = C.MaxSends;
  H.LastFailure = C.LastFailure;
  H.LastFailureReason = C.LastFailureReason;
  H.LastFailureAt = C.LastFailureAt;
  H.FirstEventAt = C.FirstEventAt;
  H.LastEventAt = C.LastEventAt;
  H.LongestEventGap = C.LongestEventGap;
  H.UnreadBytes = C.UnreadBytes;
  removeCall(T, C);
  if (H.Attempt.IsForwarded)
    beginStream(T, H);
  if (H.Stage == CallStage::Sent || H.Stage == CallStage::Answering)
    scheduleCheck(T, H);
}

bool continueWithHedge(GatewayTurn &T, GatewayCall &C) {
  GatewayCall *H = hedgeOf(T, C);
  if (H == nullptr)
    return false;
  if (!mayTakeOver(*H)) {
    dropHedge(T, C,
              "the answer is of another kind than the one that was begun");
    return false;
  }
  takeOver(T, *H, "the attempt that was late has failed");
  return true;
}

void dropHedge(GatewayTurn &T, GatewayCall &C, const char *Reason) {
  if (GatewayCall *H = hedgeOf(T, C))
    endHedge(T, C, *H, "not_needed", Reason);
}

void hedgeFailed(GatewayTurn &T, GatewayCall &H, const char *Reason) {
  GatewayCall *C = findCall(T, H.HedgeOf);
  endHedge(T, *C, H, "failed", Reason);
}

} // namespace pimento::gateway
