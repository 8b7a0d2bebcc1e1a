#include "calls/CallsInternal.h"

#include "engine/Replies.h"

#include <algorithm>
#include <charconv>

namespace pimento::calls {

namespace {

/// Counts the outcome of the call in flight for its server, unless the server's
/// silence was counted already.
void endServerCall(Context &C, Request &R, bool Succeeded) {
  if (R.Call->WasLate) {
    onCallDropped(C.S.Health, R.Call->Server);
    return;
  }
  onCallEnded(C.S.Health, R.Call->Server, Succeeded, serversOf(C, R), C.Now);
  if (!Succeeded)
    R.Avoid.push_back(R.Call->Server);
}

void forgetUpstream(Context &C, Request &R) {
  C.S.Upstreams.erase(static_cast<std::uint64_t>(R.Upstream));
  R.Upstream = UpstreamId();
}

/// Ends a claimed call that may have run but has no complete answer.
void endUnknown(Context &C, Request &R, const char *Why) {
  abortUpstream(C, R);
  endClaim(C, R, ClaimOutcome::Unknown);
  decide(C, "unknown", R.Id, Why).add("backend", R.Call->Server.Value);
  if (R.State == Phase::Settling) {
    R.State = Phase::Ended;
    return;
  }
  answerProblem(C, R, {Code::OutcomeUnknown, Why, {}});
}

/// Ends an attempt of a repeatable call without a usable answer: schedules a
/// retry, goes on with a late call or sends the final answer.
void failRepeatableCall(Context &C, Request &R, Problem Why) {
  abortUpstream(C, R);
  R.LastFailure = std::move(Why);
  if (acquireRetry(C, R))
    backOff(C, R);
  else if (!resumeLateCall(C, R))
    answerProblem(C, R, R.LastFailure);
}

void failWithoutAnswer(Context &C, Request &R, const char *Why) {
  endServerCall(C, R, /*Succeeded=*/false);
  if (!R.Call->Repeatable) {
    endUnknown(C, R, Why);
    return;
  }
  R.MayHaveRun = true;
  failRepeatableCall(C, R, {Code::BackendFailed, Why, {}});
}

HttpReply replyOf(const Request &R) {
  HttpReply Reply;
  Reply.Status = R.Call->Status;
  std::string_view Type = headerValue(R.Call->Headers, "Content-Type");
  if (!Type.empty())
    Reply.Headers.push_back({"Content-Type", std::string(Type)});
  Reply.Headers.push_back({"X-Request-Id", toString(R.Id)});
  Reply.Body = R.Call->Answer;
  return Reply;
}

/// Handles a claimed call of which no byte was sent. Within the lease another
/// server may be used; past it a new send permit is needed.
void failUnsentClaimedCall(Context &C, Request &R) {
  CallPart &Call = *R.Call;
  if (R.State == Phase::Settling) {
    endClaim(C, R, ClaimOutcome::NotRun);
    R.State = Phase::Ended;
    return;
  }
  if (C.Now >= *Call.SendBy) {
    Call.SendBy.reset();
    R.State = Phase::Claiming;
    R.Wake = C.Now + C.S.Times.ClaimRepeatInterval;
    sendClaim(C, R);
    return;
  }
  bool HasOtherServer = R.Avoid.size() < serversOf(C, R).size();
  if (HasOtherServer && R.Attempts < C.S.Retries.Attempts) {
    sendCall(C, R);
    return;
  }
  endClaim(C, R, ClaimOutcome::NotRun);
  answerProblem(C, R, {Code::ConnectFailed, "", {}});
}

void refusedByServer(Context &C, Request &R) {
  endServerCall(C, R, /*Succeeded=*/false);
  if (R.Call->Repeatable) {
    failRepeatableCall(
        C, R,
        {codeByProof(R, Code::RefusedByBackend, Code::BackendFailed),
         "the server refused the call",
         {}});
    return;
  }
  endClaim(C, R, ClaimOutcome::NotRun);
  if (R.State == Phase::Settling)
    R.State = Phase::Ended;
  else
    answerProblem(C, R, {Code::RefusedByBackend, "", {}});
}

void endWithAnswer(Context &C, Request &R) {
  bool Succeeded = R.Call->Status < 500;
  endServerCall(C, R, Succeeded);
  if (R.Call->Repeatable && !Succeeded) {
    R.MayHaveRun = true;
    R.LastFailure = {
        Code::BackendFailed, "status " + std::to_string(R.Call->Status), {}};
    if (acquireRetry(C, R)) {
      backOff(C, R);
      return;
    }
    if (resumeLateCall(C, R))
      return;
  }
  if (!R.Call->Repeatable)
    endClaim(C, R, ClaimOutcome::Answered);
  if (R.State == Phase::Settling)
    R.State = Phase::Ended;
  else
    answerCall(C, R);
}

} // namespace

void answerCall(Context &C, Request &R) { answerReply(C, R, replyOf(R)); }

bool lengthFits(const std::vector<HttpHeader> &Headers,
                const std::string &Answer) {
  std::string_view Text = headerValue(Headers, "Content-Length");
  if (Text.empty())
    return true;
  std::size_t Length = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Length);
  return Length == Answer.size();
}

bool acceptHead(Context &C, const Request &R, const BackendId &Server,
                const std::vector<HttpHeader> &Headers, bool ReusedConnection) {
  std::string_view Echo = headerValue(Headers, "X-Request-Id");
  auto Found = C.S.Health.Servers.find(Server);
  if (Found != C.S.Health.Servers.end())
    Found->second.EchoesIds = !Echo.empty();
  if (Echo == toString(R.Id) || (Echo.empty() && !ReusedConnection))
    return true;
  count(C, "pimento_crossed_answers_total");
  return false;
}

void noteCallSent(Context &C, Request &R, const Event &E) {
  if (isLate(R, E))
    noteLateSent(C, R, E);
  else
    R.Call->Sent = true;
}

void readCallHead(Context &C, Request &R, const Event &E) {
  if (isLate(R, E)) {
    readLateHead(C, R, E);
    return;
  }
  CallPart &Call = *R.Call;
  Call.Sent = true;
  Call.Status = E.Status;
  Call.Headers = *E.Headers;
  if (!acceptHead(C, R, Call.Server, Call.Headers, Call.MayReuseConnection))
    failWithoutAnswer(C, R, "the answer has another request id or none");
}

void readCallData(Context &C, Request &R, const Event &E) {
  if (isLate(R, E)) {
    readLateData(C, R, E);
    return;
  }
  CallPart &Call = *R.Call;
  Call.Answer += E.Bytes;
  if (Call.Answer.size() <= C.S.Limits.AnswerBytes)
    return;
  endServerCall(C, R, /*Succeeded=*/true);
  if (!Call.Repeatable) {
    endUnknown(C, R, "the answer is larger than the limit");
    return;
  }
  abortUpstream(C, R);
  answerProblem(C, R, {Code::AnswerTooLarge, "", {}});
}

void endCall(Context &C, Request &R, const Event &E) {
  if (isLate(R, E)) {
    endLate(C, R, E);
    return;
  }
  forgetUpstream(C, R);
  const CallPart &Call = *R.Call;
  if (Call.Status == 0 || !lengthFits(Call.Headers, Call.Answer))
    failWithoutAnswer(C, R, "the answer is truncated");
  else if (provesNotRun(Call.Status, Call.Headers))
    refusedByServer(C, R);
  else
    endWithAnswer(C, R);
}

void failCall(Context &C, Request &R, const Event &E) {
  if (isLate(R, E)) {
    failLate(C, R, E);
    return;
  }
  forgetUpstream(C, R);
  bool MayBeSent = E.Failure->BytesSent || R.Call->Sent;
  if (MayBeSent) {
    R.Call->Sent = true;
    failWithoutAnswer(C, R,
                      "the connection failed before the answer was complete");
    return;
  }
  endServerCall(C, R, /*Succeeded=*/false);
  if (!R.Call->Repeatable)
    failUnsentClaimedCall(C, R);
  else
    failRepeatableCall(
        C, R,
        {codeByProof(R, Code::ConnectFailed, Code::BackendFailed),
         "nothing was sent: " + E.Failure->Detail,
         {}});
}

void checkCall(Context &C, Request &R, const Event & /*E*/) {
  CallPart &Call = *R.Call;
  if (!Call.Repeatable) {
    R.Wake = C.Now + C.S.Times.ClaimRenewalInterval;
    sendClaim(C, R);
    return;
  }
  R.Wake = C.Now + C.S.Times.LookupTimeout;
  if (Call.Status != 0 || !hasUntriedServer(C, R) || !acquireRetry(C, R))
    return;
  if (!Call.WasLate) {
    recordOutcome(C.S.Health, Call.Server, /*Succeeded=*/false, serversOf(C, R),
                  C.Now);
    R.Avoid.push_back(Call.Server);
  }
  R.MayHaveRun = R.MayHaveRun || Call.Sent;
  keepLateCall(R);
  R.LastFailure = {codeByProof(R, Code::ConnectFailed, Code::BackendFailed),
                   "the server sent no reply head within the timeout",
                   {}};
  backOff(C, R);
}

void renewSettling(Context &C, Request &R, const Event & /*E*/) {
  R.Wake = C.Now + C.S.Times.ClaimRenewalInterval;
  sendClaim(C, R);
}

void leaveCall(Context &C, Request &R, const Event & /*E*/) {
  count(C, "pimento_callers_left_total");
  if (!R.Call->Repeatable) {
    decide(C, "settle", R.Id, "the caller left; the call continues");
    detachCaller(C, R);
    return;
  }
  onCallDropped(C.S.Health, R.Call->Server);
  abortUpstream(C, R);
  decide(C, "cancel", R.Id, "the caller left");
  R.State = Phase::Ended;
}

void expireCall(Context &C, Request &R, const Event &E) {
  bool Cut = E.Kind == EventKind::Cut;
  CallPart &Call = *R.Call;
  if (Call.Repeatable) {
    R.MayHaveRun = R.MayHaveRun || Call.Sent;
    endServerCall(C, R, /*Succeeded=*/Cut);
    abortUpstream(C, R);
    Code NotRun = Cut ? Code::Draining : Code::DeadlineUnreachable;
    Code Failed = Cut ? Code::DrainCut : Code::DeadlineExceeded;
    answerProblem(C, R, {codeByProof(R, NotRun, Failed), "", {}});
    return;
  }
  if (!Call.Sent) {
    endServerCall(C, R, /*Succeeded=*/Cut);
    abortUpstream(C, R);
    endClaim(C, R, ClaimOutcome::NotRun);
    answerProblem(C, R, {Cut ? Code::Draining : Code::ConnectFailed, "", {}});
    return;
  }
  if (Cut) {
    endServerCall(C, R, /*Succeeded=*/true);
    endUnknown(C, R, "the host is stopping");
    return;
  }
  Problem Why{Code::OutcomeUnknown, "the time limit passed", R.Id, {}};
  count(C, "pimento_requests_total", "outcome=\"unknown\"");
  decide(C, "settle", R.Id, "the time limit passed; the call continues");
  C.Out.List.emplace_back(SendReply{R.Exchange, problemReply(Why)});
  detachCaller(C, R);
}

void expireSettling(Context &C, Request &R, const Event & /*E*/) {
  endServerCall(C, R, /*Succeeded=*/false);
  endUnknown(C, R, "no complete answer arrived");
}

} // namespace pimento::calls
