// Streams without a length that ended with their connection: whether they are
// whole. The engine that gave the stream is asked for its load report. Its
// answer, a refused connection, or another server at its address decide; that
// it is late says nothing.

#include "gateway/GatewayTurn.h"

#include <algorithm>

namespace pimento::gateway {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusTooManyRequests = 429;
constexpr int FirstServerErrorStatus = 500;
/// An engine usually answers within this time. Afterwards another server is
/// asked for the rest of the stream as well.
constexpr Duration ConfirmationTimeout = milliseconds(400);
/// Without an answer another query is sent after this time over a new
/// connection, since the open one may have fallen silent. Each later query has
/// twice the time of the one before; the first answer to any of them counts.
constexpr Duration FirstQueryLimit = milliseconds(1200);
constexpr Duration MaxQueryLimit = seconds(10);
/// Interval at which an engine that does not answer is looked at.
constexpr Duration CheckInterval = milliseconds(400);
constexpr std::size_t MaxReportBytes = 64U << 10U;

/// Sends the query. \p MayReuse: over an open connection, if there is one.
void askEngine(GatewayTurn &T, GatewayCall &C, Duration Limit, bool MayReuse) {
  UpstreamId Id = queryLoad(T, C.Attempt.Address, C.Attempt.Server, MayReuse);
  C.Attempt.EndQueries.push_back(Id);
  C.Attempt.EndQueryLimit = Limit;
  C.Attempt.NextEndQueryAt = T.Now + Limit;
  T.S.EndQueries[Id].Ticket = C.Ticket;
  count(T, "pimento_end_queries_total");
}

/// The engine that gave the call's stream has ended, so that the stream may
/// have been broken off.
void engineEnded(GatewayTurn &T, GatewayCall &C, bool IsUnreached) {
  recordCrash(T, C, IsUnreached);
  attemptFailed(T, C, true, Code::StreamCut,
                "the engine ended with its stream");
}

/// Whether the answer to a load query is one of another server, as far as its
/// head tells.
bool isFromOther(const GatewayCall &C, const AnswerInfo &Answer, int Status) {
  if (!Answer.Server.empty() && Answer.Server != C.Attempt.Server)
    return true;
  bool IsBusy =
      Status == StatusTooManyRequests || Status >= FirstServerErrorStatus;
  return Status != StatusOk && !IsBusy;
}

/// The same as far as the report tells. An engine may start again with its id.
bool isReportOf(const GatewayTurn &T, const GatewayCall &C,
                const std::string &Report) {
  IncarnationNumber Incarnation = T.S.Platform.DecodeReportIncarnation(Report);
  constexpr IncarnationNumber NotGiven = 0;
  return Incarnation == NotGiven || C.Attempt.ServerIncarnation == NotGiven ||
         Incarnation == C.Attempt.ServerIncarnation;
}

/// Whether the query failed in a way that says nothing of the engine. A kept
/// connection may have been closed for being idle.
bool saysNothing(const UpstreamFailure &Why) {
  return Why.TimedOut || Why.IsLocal || Why.Malformed ||
         (Why.IsKept && Why.BytesSent);
}

/// Forgets a query that has ended, or will not be answered.
void forgetQuery(GatewayTurn &T, GatewayCall &C, UpstreamId Query) {
  T.S.EndQueries.erase(Query);
  std::vector<UpstreamId> &Pending = C.Attempt.EndQueries;
  Pending.erase(std::remove(Pending.begin(), Pending.end(), Query),
                Pending.end());
}

/// A query ended in a way that says nothing; another one is sent.
void askAgainAfter(GatewayTurn &T, GatewayCall &C, Duration Wait) {
  C.Attempt.NextEndQueryAt = T.Now + Wait;
  checkBy(T, C, C.Attempt.NextEndQueryAt);
}

void endQueryFailed(GatewayTurn &T, GatewayCall &C,
                    const UpstreamFailure &Why) {
  bool IsUnreached = !Why.BytesSent;
  if (!saysNothing(Why)) {
    engineEnded(T, C, IsUnreached);
    return;
  }
  if (IsUnreached && !Why.IsLocal)
    pathFailed(T, C.Attempt.Server);
  askAgainAfter(T, C, Why.IsKept ? Duration::zero() : CheckInterval);
}

void endQueryHead(GatewayTurn &T, GatewayCall &C, const UpstreamHead &E) {
  AnswerInfo Answer = T.S.Platform.DecodeAnswer(E.Status, E.Headers);
  if (isFromOther(C, Answer, E.Status)) {
    engineEnded(T, C, /*IsUnreached=*/false);
  } else if (E.Status != StatusOk) {
    forgetQuery(T, C, E.Call);
    T.Out.push_back(calls::AbortUpstream{E.Call});
    askAgainAfter(T, C, CheckInterval);
  }
}

void endQueryAnswered(GatewayTurn &T, GatewayCall &C,
                      const std::string &Report) {
  if (isReportOf(T, C, Report))
    completeStream(T, C);
  else
    engineEnded(T, C, /*IsUnreached=*/false);
}

} // namespace

void confirmEnd(GatewayTurn &T, GatewayCall &C) {
  closeAttempt(T, C, false);
  // The engine has ended its run, whole or not.
  freeReservations(T, C);
  C.Stage = CallStage::Confirming;
  C.Attempt.EndedAt = T.Now;
  C.NextHedgeAt = std::max(C.NextHedgeAt, T.Now + ConfirmationTimeout);
  askEngine(T, C, FirstQueryLimit, /*MayReuse=*/true);
  checkAt(T, C, std::min(C.Deadline, T.Now + ConfirmationTimeout));
}

bool confirmationEvent(GatewayTurn &T, const Event &E) {
  auto Found = T.S.EndQueries.find(upstreamOf(E));
  if (Found == T.S.EndQueries.end())
    return false;
  EndQuery &Query = Found->second;
  GatewayCall &C = *findCall(T, Query.Ticket);
  if (const auto *Failed = std::get_if<UpstreamFailed>(&E)) {
    forgetQuery(T, C, Failed->Call);
    endQueryFailed(T, C, Failed->Why);
  } else if (const auto *Head = std::get_if<UpstreamHead>(&E)) {
    endQueryHead(T, C, *Head);
  } else if (const auto *Data = std::get_if<UpstreamData>(&E)) {
    if (Query.Report.size() + Data->Bytes.size() <= MaxReportBytes)
      Query.Report += Data->Bytes;
  } else if (const auto *End = std::get_if<UpstreamEnd>(&E)) {
    std::string Report = std::move(Query.Report);
    forgetQuery(T, C, End->Call);
    endQueryAnswered(T, C, Report);
  }
  return true;
}

bool mayBeWhole(const GatewayTurn &T, const GatewayCall &C) {
  if (C.Stage != CallStage::Confirming || isAddressTaken(T.S, C.Attempt))
    return false;
  const auto &Paths = T.S.Relays.Paths.Servers;
  auto Path = Paths.find(C.Attempt.Server);
  return Path != Paths.end() && Path->second.ReachedAt > C.Attempt.EndedAt;
}

void dropConfirmation(GatewayTurn &T, GatewayCall &C) {
  for (UpstreamId Query : C.Attempt.EndQueries) {
    T.S.EndQueries.erase(Query);
    T.Out.push_back(calls::AbortUpstream{Query});
  }
  C.Attempt.EndQueries.clear();
}

void checkConfirming(GatewayTurn &T, GatewayCall &C) {
  if (isAddressTaken(T.S, C.Attempt)) {
    engineEnded(T, C, /*IsUnreached=*/false);
    return;
  }
  if (T.Now >= C.Attempt.NextEndQueryAt)
    askEngine(T, C, std::min(2 * C.Attempt.EndQueryLimit, MaxQueryLimit),
              /*MayReuse=*/false);
  probePath(T, C.Attempt.Server, /*IsForOthers=*/false);
  std::uint64_t Ticket = C.Ticket;
  if (T.Now >= C.NextHedgeAt)
    startHedge(T, C, "the engine is silent after the end of its stream");
  if (GatewayCall *Open = findCall(T, Ticket))
    checkAt(T, *Open, std::min(Open->Deadline, T.Now + CheckInterval));
}

} // namespace pimento::gateway
