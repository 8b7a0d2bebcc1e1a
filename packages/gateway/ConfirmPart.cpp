// Streams without a length that ended with their connection: whether they are
// whole.

#include "gateway/GatewayTurn.h"

#include <algorithm>

namespace pimento::gateway {

namespace {

constexpr int StatusOk = 200;
/// Time in which an engine answers that it still runs.
constexpr Duration ConfirmationTimeout = milliseconds(400);
constexpr std::size_t MaxReportBytes = 64U << 10U;

void streamCut(GatewayTurn &T, GatewayCall &C, const char *Reason) {
  attemptFailed(T, C, true, Code::StreamCut, Reason);
}

/// The engine that gave the call's stream has ended, so that the stream may
/// have been broken off.
void engineEnded(GatewayTurn &T, GatewayCall &C, bool IsUnreached) {
  recordCrash(T, C, IsUnreached);
  streamCut(T, C, "the engine ended with its stream");
}

/// Whether the answer to a load query is a load report of the engine that was
/// asked, as far as its head tells.
bool isFromEngine(const GatewayTurn &T, const GatewayCall &C,
                  const UpstreamHead &E) {
  AnswerInfo Answer = T.S.Platform.DecodeAnswer(E.Status, E.Headers);
  bool IsOther = !Answer.Server.empty() && Answer.Server != C.Attempt.Server;
  return E.Status == StatusOk && !IsOther;
}

/// The same as far as the report tells. An engine may start again with its id.
bool isReportOf(const GatewayTurn &T, const GatewayCall &C,
                const std::string &Report) {
  IncarnationNumber Incarnation = T.S.Platform.DecodeReportIncarnation(Report);
  constexpr IncarnationNumber NotGiven = 0;
  return Incarnation == NotGiven || C.Attempt.ServerIncarnation == NotGiven ||
         Incarnation == C.Attempt.ServerIncarnation;
}

} // namespace

void confirmEnd(GatewayTurn &T, GatewayCall &C) {
  closeAttempt(T, C, false);
  UpstreamId Id = queryLoad(T, C.Attempt.Address, C.Attempt.Server);
  C.Stage = CallStage::Confirming;
  C.Attempt.EndQuery = Id;
  T.S.EndQueries[Id].Ticket = C.Ticket;
  count(T, "pimento_end_queries_total");
  checkAt(T, C, std::min(C.Deadline, T.Now + ConfirmationTimeout));
}

bool confirmationEvent(GatewayTurn &T, const Event &E) {
  auto Found = T.S.EndQueries.find(upstreamOf(E));
  if (Found == T.S.EndQueries.end())
    return false;
  EndQuery &Query = Found->second;
  GatewayCall &C = *findCall(T, Query.Ticket);
  if (const auto *Failed = std::get_if<UpstreamFailed>(&E)) {
    T.S.EndQueries.erase(Found);
    C.Attempt.EndQuery = UpstreamId{};
    engineEnded(T, C, /*IsUnreached=*/!Failed->Why.BytesSent);
  } else if (const auto *Head = std::get_if<UpstreamHead>(&E)) {
    if (!isFromEngine(T, C, *Head))
      engineEnded(T, C, /*IsUnreached=*/false);
  } else if (const auto *Data = std::get_if<UpstreamData>(&E)) {
    if (Query.Report.size() + Data->Bytes.size() <= MaxReportBytes)
      Query.Report += Data->Bytes;
  } else if (std::holds_alternative<UpstreamEnd>(E)) {
    std::string Report = std::move(Query.Report);
    T.S.EndQueries.erase(Found);
    C.Attempt.EndQuery = UpstreamId{};
    if (isReportOf(T, C, Report))
      completeStream(T, C);
    else
      engineEnded(T, C, /*IsUnreached=*/false);
  }
  return true;
}

void dropConfirmation(GatewayTurn &T, GatewayCall &C) {
  if (C.Attempt.EndQuery == UpstreamId{})
    return;
  T.S.EndQueries.erase(C.Attempt.EndQuery);
  T.Out.push_back(calls::AbortUpstream{C.Attempt.EndQuery});
  C.Attempt.EndQuery = UpstreamId{};
}

void checkConfirming(GatewayTurn &T, GatewayCall &C) {
  recordCrash(T, C, /*IsUnreached=*/false);
  streamCut(T, C, "the engine is silent after the end of its stream");
}

} // namespace pimento::gateway
