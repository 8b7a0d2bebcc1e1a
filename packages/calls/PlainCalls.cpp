#include "calls/CallsInternal.h"

#include <algorithm>

namespace pimento::calls {

namespace {

constexpr std::size_t MaxClaimSendRecords = 8;

ClaimKey keyOf(const Request &R) {
  return {R.Service, R.Account, R.Call->Params.Key};
}

/// Whether \p Path is \p Prefix or below it, in whole segments.
bool isBelow(std::string_view Path, std::string_view Prefix) {
  if (Path.substr(0, Prefix.size()) != Prefix)
    return false;
  return Prefix.empty() || Prefix.back() == '/' ||
         Path.size() == Prefix.size() || Path[Prefix.size()] == '/';
}

/// Returns when the claim request that a reply cites was sent; nullopt if the
/// request is too old to be recorded.
std::optional<TimePoint> claimSentAt(const CallPart &Call,
                                     std::uint64_t Sequence) {
  for (const ClaimSendRecord &Send : Call.ClaimSends) {
    if (Send.Sequence == Sequence)
      return Send.At;
  }
  return std::nullopt;
}

UpstreamRequest requestOf(const Context &C, const Request &R,
                          const PlainServer &Server) {
  const CallPart &Call = *R.Call;
  UpstreamRequest Upstream;
  Upstream.Address = Server.Address;
  Upstream.Method = Call.Params.Method;
  Upstream.Target = Call.Params.Target;
  Upstream.Headers = {{"X-Request-Id", toString(R.Id)},
                      {"X-Client-Account", R.Account.Value},
                      {"X-Request-Timeout-Ms",
                       std::to_string(toMilliseconds(timeLeft(R, C.Now)))}};
  if (!Call.Params.ContentType.empty())
    Upstream.Headers.push_back({"Content-Type", Call.Params.ContentType});
  if (!Call.Params.Key.empty())
    Upstream.Headers.push_back({"Idempotency-Key", Call.Params.Key});
  Upstream.Body = Call.Params.Body;
  Upstream.MayReuse = Call.MayReuseConnection;
  return Upstream;
}

/// Whether the claim is durable and belongs to this request, not to another
/// request with the same key.
bool ownsClaim(const CallPart &Call) { return Call.Queued && !Call.Joined; }

void answerRecorded(Context &C, Request &R, const ClaimReply &Reply) {
  releaseTurn(C, R);
  if (Reply.Truncated) {
    answerProblem(C, R,
                  {Code::OutcomeUnknown,
                   "the call ran with status " + std::to_string(Reply.Status) +
                       "; its answer was too large to be recorded",
                   {}});
    return;
  }
  HttpReply Answer;
  Answer.Status = Reply.Status;
  Answer.Headers = {{"Content-Type", Reply.ContentType},
                    {"X-Request-Id", toString(R.Id)},
                    {"X-Recorded-Answer", "1"}};
  Answer.Body = Reply.Body.Data;
  answerReply(C, R, std::move(Answer));
}

void answerRefused(Context &C, Request &R, Code Number) {
  releaseTurn(C, R);
  answerProblem(C, R, {Number, "", {}});
}

void useSendPermit(Context &C, Request &R, const ClaimReply &Reply) {
  CallPart &Call = *R.Call;
  Call.Queued = true;
  Call.Joined = false;
  std::optional<TimePoint> SentAt = claimSentAt(Call, Reply.Sequence);
  if (!SentAt || C.Now >= *SentAt + Reply.Lease) {
    decide(C, "claim", R.Id, "the permit to send arrived after its lease")
        .add("sequence", static_cast<std::int64_t>(Reply.Sequence));
    count(C, "pimento_stale_claims_total");
  } else {
    Call.SendBy = *SentAt + Reply.Lease;
  }
  sendNextClaim(C, {R.Service, R.Account});
  if (Call.SendBy)
    sendCall(C, R);
}

/// The servers that a call may be sent to next: those without a late call of
/// this request.
std::vector<PlainServer> serversWithoutLateCall(const Context &C,
                                                const Request &R) {
  std::vector<PlainServer> Servers;
  for (const PlainServer &Server : serversOf(C, R)) {
    if (!hasLateCall(R, Server.Backend))
      Servers.push_back(Server);
  }
  return Servers;
}

} // namespace

const std::vector<PlainServer> &serversOf(const Context &C, const Request &R) {
  static const std::vector<PlainServer> None;
  auto Found = C.Dir.Servers.find(R.Service);
  return Found == C.Dir.Servers.end() ? None : Found->second;
}

const CallRule *callRule(const ServiceRule &Service, std::string_view Method,
                         std::string_view Path) {
  const CallRule *Best = nullptr;
  for (const CallRule &Rule : Service.Calls) {
    const std::vector<std::string> &Methods = Rule.Methods;
    bool Listed =
        std::find(Methods.begin(), Methods.end(), Method) != Methods.end();
    if (!Listed || !isBelow(Path, Rule.Path))
      continue;
    if (Best == nullptr || Rule.Path.size() > Best->Path.size())
      Best = &Rule;
  }
  return Best;
}

void startCall(Context &C, Request &R) {
  if (R.Call->Repeatable) {
    sendCall(C, R);
    return;
  }
  R.State = Phase::Claiming;
  R.Wake = TimePoint::max();
  TurnQueue Queue{R.Service, R.Account};
  C.S.Turns[Queue].push_back(R.Id);
  sendNextClaim(C, Queue);
}

void sendClaim(Context &C, Request &R) {
  CallPart &Call = *R.Call;
  ClaimRequest Content;
  Content.Request = R.Id;
  Content.Key = keyOf(R);
  Content.BodySha256 = Call.Params.BodySha256;
  Content.Incarnation = C.S.Incarnation;
  Content.TimeLeft = timeLeft(R, C.Now);
  Content.Retention = Call.Retention;
  Content.Sequence = ++Call.Sequence;
  Content.Sent = Call.Sent;
  Call.ClaimSends.push_back({Call.Sequence, C.Now});
  if (Call.ClaimSends.size() > MaxClaimSendRecords)
    Call.ClaimSends.pop_front();
  C.Out.List.emplace_back(SendClaim{std::move(Content)});
}

// Only one claim of an account is in flight at a time, so that claims become
// durable in the order in which the calls arrived at this host.
void sendNextClaim(Context &C, const TurnQueue &Queue) {
  auto Found = C.S.Turns.find(Queue);
  if (Found == C.S.Turns.end())
    return;
  for (const RequestId &Id : Found->second) {
    Request &R = C.S.Requests.at(Id);
    if (R.Call->Queued)
      continue;
    if (R.Call->Sequence == 0) {
      sendClaim(C, R);
      R.Wake = C.Now + C.S.Times.ClaimRepeatInterval;
      reindex(C, R);
    }
    return;
  }
}

void releaseTurn(Context &C, const Request &R) {
  TurnQueue Name{R.Service, R.Account};
  auto Found = C.S.Turns.find(Name);
  if (Found == C.S.Turns.end())
    return;
  auto &Queue = Found->second;
  Queue.erase(std::remove(Queue.begin(), Queue.end(), R.Id), Queue.end());
  if (Queue.empty())
    C.S.Turns.erase(Found);
  else
    sendNextClaim(C, Name);
}

void endClaim(Context &C, Request &R, ClaimOutcome End) {
  const CallPart &Call = *R.Call;
  releaseTurn(C, R);
  if (Call.Sequence == 0)
    return; // No claim request was sent.
  PendingClaimResult PendingResult;
  PendingResult.Result.Request = R.Id;
  PendingResult.Result.Key = keyOf(R);
  PendingResult.Result.End = End;
  if (End == ClaimOutcome::Answered) {
    PendingResult.Result.Status = Call.Status;
    PendingResult.Result.ContentType =
        headerValue(Call.Headers, "Content-Type");
    PendingResult.Result.Truncated =
        Call.Answer.size() > C.S.Limits.RecordedAnswerBytes;
    if (!PendingResult.Result.Truncated)
      PendingResult.Result.Body.Data = Call.Answer;
  }
  PendingResult.Next = C.Now + C.S.Times.ClaimRepeatInterval;
  PendingResult.Until = C.Now + C.S.Times.ResultTime;
  C.S.NextFollowUp = std::min(C.S.NextFollowUp, PendingResult.Next);
  C.Out.List.emplace_back(SendClaimResult{PendingResult.Result});
  C.S.Results[R.Id] = std::move(PendingResult);
}

void sendCall(Context &C, Request &R) {
  CallPart &Call = *R.Call;
  std::vector<PlainServer> Others;
  if (!Call.Late.empty())
    Others = serversWithoutLateCall(C, R);
  const std::vector<PlainServer> &Servers =
      Call.Late.empty() ? serversOf(C, R) : Others;
  ServerChoice Choice =
      chooseServer(C.S.Health, Servers, R.Avoid, C.S.Rng, C.Now);
  decide(C, "route", R.Id, toString(Choice.Reason))
      .add("backend",
           Choice.Server ? Choice.Server->Backend.Value : std::string())
      .add("healthy", static_cast<std::int64_t>(Choice.Healthy))
      .add("candidates", static_cast<std::int64_t>(Choice.Candidates));
  if (Choice.Server == nullptr) {
    if (resumeLateCall(C, R))
      return;
    if (!Call.Repeatable)
      endClaim(C, R, ClaimOutcome::NotRun);
    answerProblem(
        C, R, {codeByProof(R, Code::NoBackend, Code::BackendFailed), "", {}});
    return;
  }
  const PlainServer &Server = *Choice.Server;
  onCallStarted(C.S.Health, Server, C.Now);
  ++R.Attempts;
  R.AttemptServer = Server.Backend;
  R.AttemptStarted = C.Now;
  Call.Server = Server.Backend;
  Call.Sent = false;
  Call.Status = 0;
  Call.Answer.clear();
  Call.WasLate = false;
  // An idle connection may be half closed, so a call that may run only once
  // never uses one. Servers that don't echo request ids don't get one either,
  // because an answer could not be matched to its request.
  Call.MayReuseConnection =
      Call.Repeatable && C.S.Health.Servers.at(Server.Backend).EchoesIds;
  R.State = Phase::Calling;
  R.Wake = C.Now + (Call.Repeatable ? C.S.Times.LookupTimeout
                                    : C.S.Times.ClaimRenewalInterval);
  openUpstream(C, R, requestOf(C, R, Server),
               Call.Repeatable ? std::nullopt : Call.SendBy);
}

void useClaimReply(Context &C, Request &R, const Event &E) {
  const ClaimReply &Reply = *E.Claimed;
  decide(C, "claim", R.Id, "the claim partition replied")
      .add("state", static_cast<std::int64_t>(Reply.State))
      .add("joined", Reply.Joined)
      .add("waited_ms", toMilliseconds(C.Now - R.Arrived));
  switch (Reply.State) {
  case ClaimState::Waiting:
    R.Call->Queued = true;
    R.Call->Joined = Reply.Joined;
    sendNextClaim(C, {R.Service, R.Account});
    return;
  case ClaimState::Granted:
    useSendPermit(C, R, Reply);
    return;
  case ClaimState::Recorded:
    answerRecorded(C, R, Reply);
    return;
  case ClaimState::Unknown:
    answerRefused(C, R, Code::OutcomeUnknown);
    return;
  case ClaimState::OtherBody:
    answerRefused(C, R, Code::IdempotencyKeyReused);
    return;
  case ClaimState::Expired:
    answerRefused(C, R, Code::IdempotencyKeyExpired);
    return;
  case ClaimState::Refused:
    break;
  }
  bool IsNotRunCode = info(Reply.Reason).Result == Outcome::NotRun;
  answerRefused(C, R, IsNotRunCode ? Reply.Reason : Code::Overloaded);
}

void repeatClaim(Context &C, Request &R, const Event & /*E*/) {
  R.Wake = C.Now + C.S.Times.ClaimRepeatInterval;
  if (R.Call->Sequence != 0)
    sendClaim(C, R);
}

void leaveClaim(Context &C, Request &R, const Event & /*E*/) {
  endClaim(C, R, ClaimOutcome::NotRun);
  decide(C, "cancel", R.Id, "the caller left before the call was sent");
  count(C, "pimento_callers_left_total");
  R.State = Phase::Ended;
}

// Without a reply of the partition this host doesn't know whether another
// request with the same key ran, so it must not answer "not run".
void expireClaim(Context &C, Request &R, const Event &E) {
  bool OwnsClaim = ownsClaim(*R.Call);
  bool HasRequested = R.Call->Sequence != 0;
  endClaim(C, R, ClaimOutcome::NotRun);
  Code NotRun = E.Kind == EventKind::Cut ? Code::Draining : Code::ClaimTimeout;
  if (OwnsClaim) {
    answerProblem(C, R, {NotRun, "", {}});
    return;
  }
  answerProblem(C, R,
                {Code::OutcomeUnknown,
                 HasRequested
                     ? "this request was not sent; an earlier one with the "
                       "same key may have run"
                     : "this request was not sent: earlier calls of the "
                       "account hold it up; one with the same key may have "
                       "run",
                 {}});
}

void detachCaller(Context &C, Request &R) {
  C.S.Exchanges.erase(static_cast<std::uint64_t>(R.Exchange));
  R.Exchange = ExchangeId();
  R.State = Phase::Settling;
  R.Deadline = C.Now + timeLeft(R, C.Now) + C.S.Times.SettleTime;
}

} // namespace pimento::calls
