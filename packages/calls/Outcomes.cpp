#include "calls/CallsInternal.h"

#include <algorithm>

namespace pimento::calls {

namespace {

constexpr std::uint64_t RequestUpstreamBit = 1ULL << 63U;

bool isRequestUpstream(UpstreamId Upstream) {
  return (static_cast<std::uint64_t>(Upstream) & RequestUpstreamBit) != 0;
}

double retryShare(const Context &C, const Request &R) {
  auto Service = C.Dir.Services.find(R.Service);
  if (Service == C.Dir.Services.end() || Service->second.RetryShare < 0)
    return C.S.Retries.BudgetShare;
  return Service->second.RetryShare;
}

/// Enters Delivering: the request ends once the caller has read its answer.
void deliver(Context &C, Request &R, std::uint64_t Bytes) {
  R.State = Phase::Delivering;
  R.Deadline = TimePoint::max();
  R.Wake = C.Now + C.S.Times.DeliveryIdleTimeout;
  R.Pending += Bytes;
  dropKept(C, R);
  R.Generation.reset();
  dropLateCalls(C, R);
  R.Call.reset();
}

void recordOutcome(Context &C, const Request &R, Code Number, int Status) {
  decide(C, "answer", R.Id, info(Number).Meaning)
      .add("code", static_cast<std::int64_t>(Number))
      .add("outcome", std::string(toString(info(Number).Result)))
      .add("status", static_cast<std::int64_t>(Status))
      .add("tries", static_cast<std::int64_t>(R.Attempts))
      .add("elapsed_ms", toMilliseconds(C.Now - R.Arrived))
      .add("left_ms", toMilliseconds(timeLeft(R, C.Now)));
  count(C, "pimento_requests_total",
        std::string("outcome=\"") + toString(info(Number).Result) + "\"");
}

} // namespace

bool ownsUpstream(UpstreamId Upstream) { return isRequestUpstream(Upstream); }

DecisionRecord &decide(Context &C, const char *Kind, const RequestId &Id,
                       std::string Reason) {
  DecisionRecord Record;
  Record.Kind = Kind;
  Record.Request = Id;
  Record.Reason = std::move(Reason);
  return C.Out.Decisions.emplace_back(std::move(Record));
}

void count(Context &C, const char *Name, std::string Label, double Value) {
  C.Out.Samples.push_back({SampleKind::Counter, Name, std::move(Label), Value});
}

void setHeldBytes(Context &C, Request &R, std::uint64_t Bytes) {
  C.S.Bytes = C.S.Bytes - R.Held + Bytes;
  R.Held = Bytes;
}

std::uint64_t bufferedBytes(const Request &R) {
  std::uint64_t Bytes = 0;
  if (R.Generation) {
    Bytes += R.Generation->Params.Prompt.size() + R.Generation->Text.size() +
             R.Generation->CurrentAttempt.Refusal.size() +
             R.Generation->CurrentAttempt.Stream.Reader.Partial.size() +
             R.Generation->CurrentAttempt.Silent.Stream.Reader.Partial.size();
    for (const KeptAttempt &Kept : R.Generation->Kept)
      Bytes +=
          Kept.Text.size() + Kept.Attempt.Silent.Stream.Reader.Partial.size();
  }
  if (!R.Call)
    return Bytes;
  Bytes += R.Call->Params.Body.size() + R.Call->Answer.size();
  for (const LateCall &Late : R.Call->Late)
    Bytes += Late.Answer.size();
  return Bytes;
}

UpstreamId openUpstreamFor(Context &C, UpstreamRequest Upstream,
                           UpstreamOwner Owner) {
  std::uint64_t Id = RequestUpstreamBit | C.S.NextUpstream++;
  C.S.Upstreams[Id] = Owner;
  C.Out.List.emplace_back(
      OpenUpstream{UpstreamId(Id), std::move(Upstream), std::nullopt});
  return UpstreamId(Id);
}

void openUpstream(Context &C, Request &R, UpstreamRequest Upstream,
                  std::optional<TimePoint> SendBy) {
  R.Upstream =
      openUpstreamFor(C, std::move(Upstream), {UpstreamUse::Main, R.Id, {}});
  std::get<OpenUpstream>(C.Out.List.back()).SendBy = SendBy;
  R.Paused = false;
}

void abortUpstream(Context &C, Request &R) {
  if (R.Upstream == UpstreamId())
    return;
  C.S.Upstreams.erase(static_cast<std::uint64_t>(R.Upstream));
  C.Out.List.emplace_back(AbortUpstream{R.Upstream});
  R.Upstream = UpstreamId();
  R.Paused = false;
}

Duration timeLeft(const Request &R, TimePoint Now) {
  if (R.Deadline == TimePoint::max())
    return Duration::zero();
  return std::max(R.Deadline - Now, Duration::zero());
}

Code codeByProof(const Request &R, Code NotRun, Code Failed) {
  return R.MayHaveRun ? Failed : NotRun;
}

void answerReply(Context &C, Request &R, HttpReply Reply) {
  recordOutcome(C, R, Code::Ok, Reply.Status);
  std::uint64_t Bytes = Reply.Body.size();
  C.Out.List.emplace_back(SendReply{R.Exchange, std::move(Reply)});
  deliver(C, R, Bytes);
}

void answerStreamEnd(Context &C, Request &R, std::string Last, bool Complete) {
  if (Complete)
    recordOutcome(C, R, Code::Ok, 200);
  std::uint64_t Bytes = Last.size();
  C.Out.List.emplace_back(StreamBytes{R.Exchange, std::move(Last)});
  C.Out.List.emplace_back(EndStream{R.Exchange, Complete});
  deliver(C, R, Bytes);
}

void answerProblem(Context &C, Request &R, Problem Why) {
  constexpr Duration DefaultRetryAfter = seconds(1);
  if (Why.RetryAfter <= Duration::zero() && info(Why.Number).HttpStatus == 503)
    Why.RetryAfter = DefaultRetryAfter;
  recordOutcome(C, R, Why.Number, info(Why.Number).HttpStatus);
  Why.Request = R.Id;
  if (R.Streaming) {
    answerStreamEnd(C, R, chunkProblem(Why), /*Complete=*/false);
    return;
  }
  HttpReply Reply = problemReply(Why);
  std::uint64_t Bytes = Reply.Body.size();
  C.Out.List.emplace_back(SendReply{R.Exchange, std::move(Reply)});
  deliver(C, R, Bytes);
}

bool acquireRetry(Context &C, Request &R) {
  const RetrySettings &Limits = C.S.Retries;
  if (R.Attempts >= Limits.Attempts || R.Streaming)
    return false;
  if (timeLeft(R, C.Now) <= Limits.BackoffLimit)
    return false;
  bool Free = !R.AttemptServer.empty() &&
              startedBeforeFailures(C.S.Episodes, R.AttemptServer,
                                    R.AttemptStarted, C.Now);
  bool Taken = Free || consumeRetry(C.S.Budgets[R.Service]);
  if (!Taken)
    count(C, "pimento_retries_refused_total");
  return Taken;
}

void backOff(Context &C, Request &R) {
  Duration Wait = backoff(C.S.Retries, R.Attempts + 1, C.S.Rng);
  R.State = Phase::BackingOff;
  R.Wake = C.Now + Wait;
  decide(C, "retry", R.Id, R.LastFailure.Detail)
      .add("code", static_cast<std::int64_t>(R.LastFailure.Number))
      .add("try", static_cast<std::int64_t>(R.Attempts) + 1)
      .add("wait_ms", toMilliseconds(Wait))
      .add("left_ms", toMilliseconds(timeLeft(R, C.Now)))
      .add("budget", C.S.Budgets[R.Service].Tokens)
      .add("share", retryShare(C, R));
  count(C, "pimento_retries_total");
}

void countFirstAttempt(Context &C, const Request &R) {
  onFirstAttempt(C.S.Budgets[R.Service], retryShare(C, R));
}

void leaveBackoff(Context & /*C*/, Request &R, const Event & /*E*/) {
  R.State = Phase::Ended;
}

void expireBackoff(Context &C, Request &R, const Event &E) {
  if (E.Kind == EventKind::Cut)
    R.LastFailure = {codeByProof(R, Code::Draining, Code::DrainCut), "", {}};
  answerProblem(C, R, R.LastFailure);
}

void leaveDelivery(Context & /*C*/, Request &R, const Event & /*E*/) {
  R.State = Phase::Ended;
}

void drainDelivery(Context &C, Request &R, const Event &E) {
  if (E.Pending < R.Pending)
    R.Wake = C.Now + C.S.Times.DeliveryIdleTimeout;
  R.Pending = E.Pending;
  if (E.Pending == 0)
    R.State = Phase::Ended;
}

void stallDelivery(Context &C, Request &R, const Event &E) {
  decide(C, "close", R.Id,
         E.Kind == EventKind::Cut ? "the host is stopping"
                                  : "the caller stopped reading its answer")
      .add("pending_bytes", static_cast<std::int64_t>(R.Pending));
  C.Out.List.emplace_back(CloseExchange{R.Exchange});
  R.State = Phase::Ended;
}

void ignore(Context &C, Request & /*R*/, const Event &E) {
  count(C, "pimento_late_events_total",
        std::string("event=\"") + toString(E.Kind) + "\"");
}

} // namespace pimento::calls
