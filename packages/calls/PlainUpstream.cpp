#include "calls/CallsInternal.h"

#include "engine/Replies.h"

#include <algorithm>
#include <charconv>

namespace pimento::calls {

namespace {

const std::vector<PlainServer> &serversOf(const Context &C, const Request &R) {
  static const std::vector<PlainServer> None;
  auto Found = C.Dir.Servers.find(R.Service);
  return Found == C.Dir.Servers.end() ? None : Found->second;
}

void endServerCall(Context &C, Request &R, bool Succeeded) {
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
/// retry or sends the final answer.
void failRepeatableCall(Context &C, Request &R, Problem Why) {
  abortUpstream(C, R);
  R.LastFailure = std::move(Why);
  if (acquireRetry(C, R))
    backOff(C, R);
  else
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

bool lengthFits(const CallPart &Call) {
  std::string_view Text = headerValue(Call.Headers, "Content-Length");
  if (Text.empty())
    return true;
  std::size_t Length = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Length);
  return Length == Call.Answer.size();
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
  }
  if (!R.Call->Repeatable)
    endClaim(C, R, ClaimOutcome::Answered);
  if (R.State == Phase::Settling)
    R.State = Phase::Ended;
  else
    answerReply(C, R, replyOf(R));
}

} // namespace

void noteCallSent(Context & /*C*/, Request &R, const Event & /*E*/) {
  R.Call->Sent = true;
}

void readCallHead(Context &C, Request &R, const Event &E) {
  CallPart &Call = *R.Call;
  Call.Sent = true;
  Call.Status = E.Status;
  Call.Headers = *E.Headers;
  std::string_view Echo = headerValue(Call.Headers, "X-Request-Id");
  auto Server = C.S.Health.Servers.find(Call.Server);
  if (Server != C.S.Health.Servers.end())
    Server->second.EchoesIds = !Echo.empty();
  if (Echo == toString(R.Id) || (Echo.empty() && !Call.MayReuseConnection))
    return;
  count(C, "pimento_crossed_answers_total");
  failWithoutAnswer(C, R, "the answer has another request id or none");
}

void readCallData(Context &C, Request &R, const Event &E) {
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

void endCall(Context &C, Request &R, const Event & /*E*/) {
  forgetUpstream(C, R);
  const CallPart &Call = *R.Call;
  if (Call.Status == 0 || !lengthFits(Call))
    failWithoutAnswer(C, R, "the answer is truncated");
  else if (provesNotRun(Call.Status, Call.Headers))
    refusedByServer(C, R);
  else
    endWithAnswer(C, R);
}

void failCall(Context &C, Request &R, const Event &E) {
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
  bool HasOtherServer = R.Avoid.size() + 1 < serversOf(C, R).size();
  if (Call.Status != 0 || !HasOtherServer || !acquireRetry(C, R))
    return;
  endServerCall(C, R, /*Succeeded=*/false);
  abortUpstream(C, R);
  R.MayHaveRun = R.MayHaveRun || Call.Sent;
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
