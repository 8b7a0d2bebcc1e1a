// Forwards backend servers' answers and streams to callers.

#include "gateway/GatewayTurn.h"

#include "answer/AnswerEnd.h"
#include "answer/AnswerStatus.h"

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

/// Whether the call's answer may be given to a caller: a hedge takes over,
/// unless its answer is no continuation of what the caller has. It is then
/// invalid.
bool haveCaller(GatewayTurn &T, GatewayCall &C, const char *Reason) {
  while (C.HedgeOf != 0 && mayTakeOver(C))
    takeOver(T, C, Reason);
  if (C.HedgeOf == 0)
    return true;
  attemptFailed(T, C, true, Code::BackendFailed,
                "the answer is of another kind than the one that was begun");
  return false;
}

void forwardEvents(GatewayTurn &T, GatewayCall &C, std::string_view Bytes) {
  if (!C.Attempt.HasEvents && goesOn(C.Events, Bytes) == false) {
    C.Attempt.Fault = FaultSide::Server;
    attemptFailed(T, C, true, Code::BackendFailed,
                  "the stream does not go on after the last event");
    return;
  }
  std::string Events = takeEvents(C.Events, Bytes);
  if (isOverlong(C.Events)) {
    attemptFailed(T, C, true, Code::StreamCut,
                  "an event of the backend server's stream does not end");
    return;
  }
  if (Events.empty())
    return;
  if (!haveCaller(T, C, "another server went on first"))
    return;
  dropHedge(T, C, "the server that was late went on");
  if (C.FirstEventAt == TimePoint())
    C.FirstEventAt = T.Now;
  else
    C.LongestEventGap = std::max(C.LongestEventGap, T.Now - C.LastEventAt);
  C.LastEventAt = T.Now;
  if (C.Placed && C.Attempt.Forecast >= Duration::zero() &&
      C.Attempt.LastBytes == C.Attempt.Began)
    reportStage(T, C, PlacementStage::Decoding);
  if (!C.Attempt.HasEvents && C.OnEngine)
    noteAnswerTime(T, C);
  C.Attempt.HasEvents = true;
  C.Attempt.LastBytes = T.Now;
  C.UnreadBytes += Events.size();
  T.Out.push_back(calls::StreamBytes{C.Exchange, std::move(Events)});
  if (!isRelayed(C.Exchange))
    followReader(T, C);
}

void streamCut(GatewayTurn &T, GatewayCall &C, const char *Reason) {
  attemptFailed(T, C, true, Code::StreamCut, Reason);
}

void streamBroken(GatewayTurn &T, GatewayCall &C, const char *Reason) {
  checkCrash(T, C);
  streamCut(T, C, Reason);
}

bool isEventStream(const GatewayCall &C) {
  return C.Attempt.Answer.Events || C.OnEngine || C.Events.Events > 0 ||
         !C.Events.LastId.empty();
}

EndedAnswer endedAnswer(const GatewayCall &C, bool IsDelimited) {
  EndedAnswer A;
  A.IsDelimited = IsDelimited;
  A.IsEvents = C.Attempt.IsForwarded && isEventStream(C);
  A.IsWithinEvent = isWithinEvent(C.Events);
  A.HasEvents = C.Attempt.HasEvents;
  A.IsRest = !C.Events.LastId.empty() && !C.Attempt.HasEvents;
  A.IsEngine = C.OnEngine;
  return A;
}

/// Handles a stream of which no more bytes will come. The connection of a
/// server that crashes ends as well, but none that crashes marks the end.
void endStream(GatewayTurn &T, GatewayCall &C, bool IsDelimited) {
  const char *Reason = "the backend server's stream ended too early";
  EndedAnswer Answer = endedAnswer(C, IsDelimited);
  switch (judgeEnd(Answer)) {
  case AnswerEnd::Complete:
    completeStream(T, C);
    return;
  case AnswerEnd::Unconfirmed:
    confirmEnd(T, C);
    return;
  case AnswerEnd::BrokenOff:
    // Nothing may be left of the stream. A crash is found by its query.
    if (Answer.IsRest && !Answer.IsWithinEvent)
      C.Attempt.Fault = FaultSide::Nobody;
    if (IsDelimited)
      streamCut(T, C, Reason);
    else
      streamBroken(T, C, Reason);
    return;
  }
}

void recordCallSuccess(GatewayTurn &T, GatewayCall &C) {
  if (C.OnEngine || !C.Attempt.Relay.empty())
    return;
  onCallEnded(T.S.Health, C.Attempt.Server, true, plainServers(T.S, C.Service),
              T.Now);
}

void deliver(GatewayTurn &T, GatewayCall &C) {
  if (!haveCaller(T, C, "another server answered first"))
    return;
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
  // On a kept connection a refusal without the request's id may belong to an
  // earlier request.
  bool IsOwnRefusal =
      !C.Attempt.IsKept || !C.Attempt.Answer.ClientAttemptId.empty();
  if (C.Attempt.Answer.NotRun && IsOwnRefusal) {
    findFaultyServer(T, C);
    closeAttempt(T, C, false);
    attemptFailed(T, C, false, Code::RefusedByBackend,
                  "the backend server refused the request without running it");
    return;
  }
  bool Matches = matchesRequest(C) && !C.Attempt.Answer.NotRun;
  bool Failed = C.Attempt.Status >= FirstServerErrorStatus;
  bool IsHedged = C.Hedge != 0 || C.HedgeOf != 0;
  bool MayRetry = IsHedged || (mayRunAgain(C) && maySendAgain(T, C));
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

void beginStream(GatewayTurn &T, GatewayCall &C) {
  C.Attempt.IsForwarded = true;
  if (C.Replying || C.HedgeOf != 0)
    return;
  C.Replying = true;
  C.IsEventStream = C.Attempt.Answer.Events;
  T.Out.push_back(calls::StartStream{C.Exchange, headFor(T, C.Attempt)});
  replyBegan(T, C);
}

void completeStream(GatewayTurn &T, GatewayCall &C) {
  if (!haveCaller(T, C, "another server ended the stream first"))
    return;
  closeAttempt(T, C, false);
  recordCallSuccess(T, C);
  if (!C.Events.Partial.empty())
    T.Out.push_back(
        calls::StreamBytes{C.Exchange, std::move(C.Events.Partial)});
  T.Out.push_back(calls::EndStream{C.Exchange, true});
  noteComplete(T, C);
  finish(T, C, StatusOk, Code::Ok, "");
}

void upstreamHead(GatewayTurn &T, const UpstreamHead &E) {
  GatewayCall *C = callOf(T, E.Call);
  if (C == nullptr)
    return;
  if (!isFinalStatus(E.Status)) {
    attemptFailed(T, *C, true, Code::BackendFailed,
                  "the answer has no status of HTTP");
    return;
  }
  C->Attempt.Status = E.Status;
  C->Attempt.HeadAt = T.Now;
  C->Attempt.Headers = E.Headers;
  C->Attempt.Answer = T.S.Platform.DecodeAnswer(E.Status, E.Headers);
  C->Stage = CallStage::Answering;
  heardFrom(T, *C);
  noteAnswer(T, *C);
  if (C->Attempt.Status < FirstErrorStatus && !C->OnEngine)
    noteAnswerTime(T, *C);
  bool Streams = C->Path->Kind == CallKind::Stream && E.Status == StatusOk;
  // Another kind of answer is no continuation of the stream that was begun.
  bool GoesOn = !C->Replying || C->Attempt.Answer.Events == C->IsEventStream;
  if (Streams && GoesOn && matchesRequest(*C))
    beginStream(T, *C);
}

void upstreamData(GatewayTurn &T, const UpstreamData &E) {
  GatewayCall *C = callOf(T, E.Call);
  if (C == nullptr)
    return;
  heardFrom(T, *C);
  C->Attempt.IsDoubted = false;
  if (C->Attempt.IsForwarded) {
    forwardEvents(T, *C, E.Bytes);
    return;
  }
  C->Attempt.LastBytes = T.Now;
  C->Attempt.Body += E.Bytes;
  if (C->Attempt.Body.size() > T.S.Config.Limits.AnswerBytes)
    attemptFailed(T, *C, true, Code::AnswerTooLarge,
                  "the answer exceeds the size limit");
  else
    boundAnswers(T, C->Attempt.Body.size(), E.Bytes.size());
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
