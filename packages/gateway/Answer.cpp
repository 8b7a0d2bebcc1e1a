// Forwards backend servers' answers and streams to callers.

#include "gateway/GatewayTurn.h"

#include <algorithm>

namespace pimento::gateway {

namespace {

constexpr int StatusOk = 200;
constexpr int FirstErrorStatus = 400;
constexpr int FirstServerErrorStatus = 500;

GatewayCall *callOf(GatewayTurn &T, UpstreamId Upstream) {
  auto Found = T.S.ByUpstream.find(Upstream);
  return Found == T.S.ByUpstream.end() ? nullptr : findCall(T, Found->second);
}

/// Whether a header is forwarded: neither set by this host nor specific to one
/// connection.
bool isForCaller(const HttpHeader &Header) {
  for (const char *Name :
       {"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding",
        "Content-Length", "Trailer", "TE", "Upgrade"}) {
    if (sameHeaderName(Header.Name, Name))
      return false;
  }
  return true;
}

HttpReply headFor(const GatewayTurn &T, const CallAttempt &Attempt) {
  HttpReply Reply;
  Reply.Status = Attempt.Status;
  for (const HttpHeader &Header : Attempt.Headers) {
    if (isForCaller(Header))
      Reply.Headers.push_back(Header);
  }
  if (T.S.Stopping)
    Reply.Headers.push_back({"Connection", "close"});
  return Reply;
}

bool matchesRequest(const GatewayCall &C) {
  const AnswerInfo &Answer = C.Attempt.Answer;
  bool Succeeded = C.Attempt.Status < FirstErrorStatus;
  if (!Answer.ClientAttemptId.empty() &&
      Answer.ClientAttemptId != C.Info.ClientAttemptId)
    return false;
  return !Succeeded ||
         (Answer.Stamped && Answer.ClientAttemptId == C.Info.ClientAttemptId);
}

void beginStream(GatewayTurn &T, GatewayCall &C) {
  C.Attempt.IsForwarded = true;
  if (C.Replying)
    return;
  C.Replying = true;
  T.Out.push_back(calls::StartStream{C.Exchange, headFor(T, C.Attempt)});
}

void forwardEvents(GatewayTurn &T, GatewayCall &C, std::string_view Bytes) {
  std::string Events = takeEvents(C.Events, Bytes);
  if (Events.empty())
    return;
  if (C.FirstEventAt == TimePoint())
    C.FirstEventAt = T.Now;
  else
    C.LongestEventGap = std::max(C.LongestEventGap, T.Now - C.LastEventAt);
  C.LastEventAt = T.Now;
  if (C.Placed && C.Attempt.Forecast >= Duration::zero() &&
      C.Attempt.LastBytes == C.Attempt.Began)
    reportStage(T, C, PlacementStage::Decoding);
  C.Attempt.LastBytes = T.Now;
  T.Out.push_back(calls::StreamBytes{C.Exchange, std::move(Events)});
}

void endStream(GatewayTurn &T, GatewayCall &C, bool Delimited) {
  if (!Delimited && !C.Events.Partial.empty()) {
    noteCrash(T, C);
    attemptFailed(T, C, true, Code::StreamCut,
                  "the backend server's stream ended within an event");
    return;
  }
  closeAttempt(T, C, false);
  if (!C.Events.Partial.empty())
    T.Out.push_back(
        calls::StreamBytes{C.Exchange, std::move(C.Events.Partial)});
  T.Out.push_back(calls::EndStream{C.Exchange, true});
  noteComplete(T, C);
  finish(T, C, StatusOk, Code::Ok, "");
}

void recordCallSuccess(GatewayTurn &T, GatewayCall &C) {
  if (C.OnEngine)
    return;
  auto Servers = T.S.PlainServers.find(C.Service);
  static const std::vector<calls::PlainServer> None;
  onCallEnded(T.S.Health, C.Attempt.Server, true,
              Servers == T.S.PlainServers.end() ? None : Servers->second,
              T.Now);
}

void deliver(GatewayTurn &T, GatewayCall &C) {
  closeAttempt(T, C, false);
  recordCallSuccess(T, C);
  HttpReply Reply = headFor(T, C.Attempt);
  Reply.Body = std::move(C.Attempt.Body);
  int Status = C.Attempt.Status;
  if (C.Exchange != ExchangeId{})
    T.Out.push_back(calls::SendReply{C.Exchange, std::move(Reply)});
  bool Succeeded = Status < FirstServerErrorStatus;
  if (Status < FirstErrorStatus)
    noteComplete(T, C);
  finish(T, C, Status, Succeeded ? Code::Ok : Code::BackendFailed,
         Succeeded ? "" : "the backend server answered with a failure");
}

/// Sets the call's faulty server if an engine's refusal names another engine as
/// the cause.
void findFaultyServer(const GatewayTurn &T, GatewayCall &C) {
  const std::string &Address = C.Attempt.Answer.FaultyServer;
  if (Address.empty())
    return;
  for (const auto &[Id, E] : T.S.Engines.Engines) {
    if (E.Address == Address)
      C.FaultyServer = Id;
  }
}

void endBufferedAnswer(GatewayTurn &T, GatewayCall &C) {
  if (C.Attempt.Answer.NotRun) {
    findFaultyServer(T, C);
    closeAttempt(T, C, false);
    attemptFailed(T, C, false, Code::RefusedByBackend,
                  "the backend server refused the request without running it");
    return;
  }
  bool Matches = matchesRequest(C);
  bool Failed = C.Attempt.Status >= FirstServerErrorStatus;
  bool MayRetry = mayRunAgain(C) && maySendAgain(T, C);
  if (!Matches || (Failed && MayRetry) || C.Replying) {
    closeAttempt(T, C, false);
    attemptFailed(T, C, true, Code::BackendFailed,
                  Matches
                      ? "the backend server answered with a failure"
                      : "the answer lacks this request's id or a server stamp");
    return;
  }
  deliver(T, C);
}

} // namespace

void upstreamHead(GatewayTurn &T, const UpstreamHead &E) {
  GatewayCall *C = callOf(T, E.Call);
  if (C == nullptr)
    return;
  C->Attempt.Status = E.Status;
  C->Attempt.HeadAt = T.Now;
  C->Attempt.Headers = E.Headers;
  C->Attempt.Answer = T.S.Platform.DecodeAnswer(E.Status, E.Headers);
  C->Stage = CallStage::Answering;
  bool Streams = C->Path->Kind == CallKind::Stream && E.Status == StatusOk;
  if (Streams && matchesRequest(*C))
    beginStream(T, *C);
}

void upstreamData(GatewayTurn &T, const UpstreamData &E) {
  GatewayCall *C = callOf(T, E.Call);
  if (C == nullptr)
    return;
  if (C->Attempt.IsForwarded) {
    forwardEvents(T, *C, E.Bytes);
    return;
  }
  C->Attempt.LastBytes = T.Now;
  C->Attempt.Body += E.Bytes;
  if (C->Attempt.Body.size() > T.S.Config.Limits.AnswerBytes)
    attemptFailed(T, *C, true, Code::AnswerTooLarge,
                  "the answer exceeds the size limit");
}

void upstreamEnd(GatewayTurn &T, const UpstreamEnd &E) {
  GatewayCall *C = callOf(T, E.Call);
  if (C == nullptr)
    return;
  if (C->Attempt.IsForwarded)
    endStream(T, *C, E.Delimited);
  else
    endBufferedAnswer(T, *C);
}

} // namespace pimento::gateway
