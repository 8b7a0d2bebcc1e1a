#include "calls/CallsInternal.h"

#include "base/SettingText.h"

#include "engine/Adapter.h"
#include "engine/Replies.h"

#include <algorithm>

namespace pimento::calls {

namespace {

GrantRequest grantRequestFor(const Request &R, TimePoint Now) {
  const GenerationPart &G = *R.Generation;
  GrantRequest Content;
  Content.Attempt = G.CurrentAttempt.Id;
  Content.Account = R.Account;
  Content.Service = R.Service;
  Content.Model = G.Params.Model;
  Content.PromptTokens = G.PromptTokens;
  Content.OutputTokens = G.Params.MaxTokens;
  Content.Weight = G.Weight;
  Content.TimeLeft = timeLeft(R, Now);
  Content.Prefixes = G.Prefixes;
  Content.Avoid = R.Avoid;
  return Content;
}

void withdraw(Context &C, const AttemptId &Attempt) {
  C.Out.List.emplace_back(SendWithdraw{Attempt});
}

bool isGroup(const Grant &G) { return G.Engines.size() > 1; }

void reserveNext(Context &C, Request &R) {
  EngineAttempt &T = R.Generation->CurrentAttempt;
  const GrantedEngine &Member = T.CurrentGrant.Engines[T.Reserved + 1];
  T.Status = 0;
  T.Refusal.clear();
  openUpstream(C, R,
               reserveRequest(Member.Address, T.Id, Member.Tokens,
                              C.S.Times.ReservationLease));
  R.Wake = C.Now + C.S.Times.ReservationLease;
}

Release reportOf(const Context &C, const EngineAttempt &T, AttemptEnd End) {
  Release Report;
  Report.Attempt = T.Id;
  Report.End = End;
  Report.OutputTokens = T.NextOffset;
  if (T.FirstTokenAt != TimePoint())
    Report.FirstToken = T.FirstTokenAt - T.SentAt;
  if (T.SentAt != TimePoint())
    Report.Total = C.Now - T.SentAt;
  return Report;
}

std::string firstServer(const Grant &G) {
  return G.Engines.empty() ? std::string() : G.Engines[0].Backend.Value;
}

} // namespace

void startGeneration(Context &C, Request &R) { requestNextGrant(C, R); }

void requestNextGrant(Context &C, Request &R) {
  GenerationPart &G = *R.Generation;
  G.CurrentAttempt = EngineAttempt();
  G.Text.clear();
  G.CurrentAttempt.Id = {R.Id, ++R.Attempts};
  R.State = Phase::Asking;
  R.Wake = TimePoint::max();
  C.Out.List.emplace_back(SendGrantRequest{grantRequestFor(R, C.Now)});
}

void concludeAttempt(Context &C, Request &R, AttemptEnd End, bool Cancel) {
  EngineAttempt &T = R.Generation->CurrentAttempt;
  dropSilentCall(C, T.Silent);
  abortUpstream(C, R);
  if (T.CurrentGrant.Engines.empty())
    withdraw(C, T.Id);
  else
    releaseEngines(C, R, T, End, Cancel);
}

void releaseEngines(Context &C, Request &R, const EngineAttempt &T,
                    AttemptEnd End, bool Cancel) {
  R.MayHaveRun = R.MayHaveRun || T.SentAt != TimePoint();
  Release Report = reportOf(C, T, End);
  if (!Cancel) {
    C.Out.List.emplace_back(SendRelease{Report});
    return;
  }
  Cleanup Work;
  Work.Report = Report;
  Work.Engines = T.CurrentGrant.Engines;
  startCleanup(C, std::move(Work));
}

bool holdsNothing(const EngineAttempt &T) {
  return !isGroup(T.CurrentGrant) && T.SentAt == TimePoint();
}

void avoidEngine(Request &R, const EngineAttempt &T) {
  if (T.CurrentGrant.Engines.empty())
    return;
  const BackendId &Engine = T.CurrentGrant.Engines[0].Backend;
  if (std::find(R.Avoid.begin(), R.Avoid.end(), Engine) == R.Avoid.end())
    R.Avoid.push_back(Engine);
}

namespace {

/// Ends the attempt as failed and frees its engines.
void endFailedAttempt(Context &C, Request &R, const AttemptFailure &Why) {
  EngineAttempt &T = R.Generation->CurrentAttempt;
  if (Why.ProvedNotRun)
    T.SentAt = TimePoint();
  bool HoldsNothing = holdsNothing(T);
  avoidEngine(R, T);
  concludeAttempt(C, R,
                  HoldsNothing ? AttemptEnd::Unused : AttemptEnd::Cancelled,
                  !HoldsNothing);
  Code Number = R.Streaming ? Code::StreamCut
                            : codeByProof(R, Why.NotRun, Code::BackendFailed);
  R.LastFailure = {Number, Why.Detail, {}};
}

} // namespace

void failAttempt(Context &C, Request &R, const AttemptFailure &Why) {
  endFailedAttempt(C, R, Why);
  if (acquireRetry(C, R))
    backOff(C, R);
  else if (!resumeKept(C, R))
    answerProblem(C, R, R.LastFailure);
}

void sendGenerate(Context &C, Request &R) {
  GenerationPart &G = *R.Generation;
  EngineAttempt &T = G.CurrentAttempt;
  GenerateOrder Order;
  Order.Attempt = T.Id;
  Order.Model = G.Params.Model;
  Order.Prompt = G.Params.Prompt;
  Order.MaxTokens = G.Params.MaxTokens;
  Order.Weight = T.CurrentGrant.Priority;
  Order.Epoch = T.CurrentGrant.Epoch;
  for (std::size_t I = 1; I < T.CurrentGrant.Engines.size(); ++I)
    Order.Members.push_back(T.CurrentGrant.Engines[I].Address);
  T.Status = 0;
  T.Refusal.clear();
  T.LastByte = C.Now;
  T.NextReservation = C.Now + C.S.Times.ReservationLease / 3;
  R.State = Phase::Generating;
  R.Wake = C.Now + std::min(C.S.Times.StreamIdleTimeout,
                            C.S.Times.ReservationLease / 3);
  // After a freeze of this process the grant may have expired and its engines
  // may be granted to another request.
  std::optional<TimePoint> SendBy;
  if (T.CurrentGrant.Lease > Duration::zero())
    SendBy = T.GrantedAt + T.CurrentGrant.Lease;
  openUpstream(C, R, generateRequest(T.CurrentGrant.Engines[0].Address, Order),
               SendBy);
}

void useGrant(Context &C, Request &R, const Event &E) {
  EngineAttempt &T = R.Generation->CurrentAttempt;
  T.CurrentGrant = *E.Granted;
  T.GrantedAt = C.Now;
  R.AttemptServer = T.CurrentGrant.Engines.empty()
                        ? BackendId()
                        : T.CurrentGrant.Engines[0].Backend;
  R.AttemptStarted = C.Now;
  decide(C, "granted", R.Id, "the scheduler granted engines")
      .add("backend", firstServer(T.CurrentGrant))
      .add("engines", static_cast<std::int64_t>(T.CurrentGrant.Engines.size()))
      .add("epoch", static_cast<std::int64_t>(T.CurrentGrant.Epoch))
      .add("waited_ms", toMilliseconds(C.Now - R.Arrived));
  if (T.CurrentGrant.Engines.empty()) {
    failAttempt(C, R, {Code::NoBackend, "the grant names no engine", false});
    return;
  }
  if (isGroup(T.CurrentGrant)) {
    R.State = Phase::Reserving;
    reserveNext(C, R);
    return;
  }
  sendGenerate(C, R);
}

void returnGrant(Context &C, Request & /*R*/, const Event &E) {
  withdraw(C, E.Granted->Attempt);
}

void useRefusal(Context &C, Request &R, const Event &E) {
  if (resumeKept(C, R))
    return;
  Problem Why{E.Refused->Reason, "", R.Id, E.Refused->RetryAfter};
  if (info(Why.Number).Result != Outcome::NotRun)
    Why.Number = Code::NoBackend;
  // After an attempt that may have run, "not run" would be false.
  if (R.MayHaveRun)
    Why.Number = R.LastFailure.Number;
  Why.Detail = "refused by the scheduler";
  answerProblem(C, R, Why);
}

void leaveAsking(Context &C, Request &R, const Event & /*E*/) {
  withdraw(C, R.Generation->CurrentAttempt.Id);
  decide(C, "cancel", R.Id, "the caller left while waiting for a grant");
  R.State = Phase::Ended;
}

void leaveTry(Context &C, Request &R, const Event & /*E*/) {
  concludeAttempt(C, R, AttemptEnd::Cancelled, /*Cancel=*/true);
  decide(C, "cancel", R.Id, "the caller left")
      .add("tokens",
           static_cast<std::int64_t>(R.Generation->CurrentAttempt.NextOffset));
  count(C, "pimento_callers_left_total");
  R.State = Phase::Ended;
}

void expireAsking(Context &C, Request &R, const Event &E) {
  withdraw(C, R.Generation->CurrentAttempt.Id);
  Problem Why{codeByProof(R, Code::DeadlineUnreachable, Code::DeadlineExceeded),
              "no engine was granted within the time limit",
              {}};
  if (E.Kind == EventKind::Cut)
    Why = {codeByProof(R, Code::Draining, Code::DrainCut), "", {}};
  answerProblem(C, R, Why);
}

void expireTry(Context &C, Request &R, const Event &E) {
  concludeAttempt(C, R, AttemptEnd::Cancelled, /*Cancel=*/true);
  Problem Why{codeByProof(R, Code::DeadlineUnreachable, Code::DeadlineExceeded),
              "",
              {}};
  if (E.Kind == EventKind::Cut)
    Why.Number = codeByProof(R, Code::Draining, Code::DrainCut);
  answerProblem(C, R, Why);
}

void readReserveHead(Context &C, Request &R, const Event &E) {
  if (handleKept(C, R, E))
    return;
  R.Generation->CurrentAttempt.Status = E.Status;
  R.Generation->CurrentAttempt.Headers = *E.Headers;
}

void readReserveData(Context &C, Request &R, const Event &E) {
  if (handleKept(C, R, E))
    return;
  constexpr std::size_t KeptBytes = 4096;
  std::string &Kept = R.Generation->CurrentAttempt.Refusal;
  Kept += E.Bytes.substr(0, KeptBytes - std::min(KeptBytes, Kept.size()));
}

void endReserve(Context &C, Request &R, const Event &E) {
  if (handleKept(C, R, E))
    return;
  EngineAttempt &T = R.Generation->CurrentAttempt;
  R.Upstream = UpstreamId();
  if (T.Status != 200) {
    EngineRefusal Why = readRefusal({T.Status, T.Headers, T.Refusal});
    failAttempt(C, R,
                {Code::RefusedByBackend,
                 "a member of the group refused the reservation: " + Why.Detail,
                 false});
    return;
  }
  ++T.Reserved;
  if (T.Reserved + 1 < T.CurrentGrant.Engines.size())
    reserveNext(C, R);
  else
    sendGenerate(C, R);
}

void failReserve(Context &C, Request &R, const Event &E) {
  if (handleKept(C, R, E))
    return;
  R.Upstream = UpstreamId();
  failAttempt(
      C, R,
      {Code::RefusedByBackend,
       "the reservation at a member of the group failed: " + E.Failure->Detail,
       false});
}

void stallReserve(Context &C, Request &R, const Event & /*E*/) {
  failAttempt(C, R,
              {Code::RefusedByBackend,
               "a member of the group did not answer the reservation", false});
}

void keepReservations(Context &C, const RequestId &Id, EngineAttempt &T) {
  if (!isGroup(T.CurrentGrant) || C.Now < T.NextReservation)
    return;
  T.NextReservation = C.Now + C.S.Times.ReservationLease / 3;
  for (std::size_t I = 1; I < T.CurrentGrant.Engines.size(); ++I) {
    const GrantedEngine &Member = T.CurrentGrant.Engines[I];
    openUpstreamFor(C,
                    reserveRequest(Member.Address, T.Id, Member.Tokens,
                                   C.S.Times.ReservationLease),
                    {UpstreamUse::KeepReserved, Id, T.Id});
  }
}

void tryAgain(Context &C, Request &R, const Event & /*E*/) {
  R.Wake = TimePoint::max();
  if (R.Generation)
    requestNextGrant(C, R);
  else
    sendCall(C, R);
}

} // namespace pimento::calls
