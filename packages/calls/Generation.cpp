#include "calls/CallsInternal.h"

#include "engine/Adapter.h"
#include "engine/Replies.h"

#include <algorithm>

namespace pimento::calls {

namespace {

GrantRequest askOf(const Request &R, TimePoint Now) {
  const GenerationPart &G = *R.Generation;
  GrantRequest Content;
  Content.Attempt = G.Try.Attempt;
  Content.Account = R.Account;
  Content.Service = R.Service;
  Content.Model = G.Wanted.Model;
  Content.PromptTokens = G.PromptTokens;
  Content.OutputTokens = G.Wanted.MaxTokens;
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
  EngineTry &T = R.Generation->Try;
  const GrantedEngine &Member = T.Leave.Engines[T.Reserved + 1];
  T.Status = 0;
  T.Refusal.clear();
  openUpstream(C, R,
               reserveRequest(Member.Address, T.Attempt, Member.Tokens,
                              C.S.Times.ReservationLease));
  R.Wake = C.Now + C.S.Times.ReservationLease;
}

Release reportOf(const Context &C, const Request &R, AttemptEnd End) {
  const EngineTry &T = R.Generation->Try;
  Release Report;
  Report.Attempt = T.Attempt;
  Report.End = End;
  Report.OutputTokens = T.Next;
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

void startGeneration(Context &C, Request &R) { askAgain(C, R); }

void askAgain(Context &C, Request &R) {
  GenerationPart &G = *R.Generation;
  G.Try = EngineTry();
  G.Text.clear();
  G.Try.Attempt = {R.Id, ++R.Tries};
  R.State = Phase::Asking;
  R.Wake = TimePoint::max();
  C.Out.List.emplace_back(SendGrantRequest{askOf(R, C.Now)});
}

void endTry(Context &C, Request &R, AttemptEnd End, bool Cancel) {
  EngineTry &T = R.Generation->Try;
  abortUpstream(C, R);
  R.MayHaveRun = R.MayHaveRun || T.SentAt != TimePoint();
  if (T.Leave.Engines.empty()) {
    withdraw(C, T.Attempt);
    return;
  }
  Release Report = reportOf(C, R, End);
  if (!Cancel) {
    C.Out.List.emplace_back(SendRelease{Report});
    return;
  }
  Cleanup Work;
  Work.Report = Report;
  Work.Engines = T.Leave.Engines;
  startCleanup(C, std::move(Work));
}

void failTry(Context &C, Request &R, const TryFailure &Why) {
  EngineTry &T = R.Generation->Try;
  if (Why.ProvedNotRun)
    T.SentAt = TimePoint();
  bool HoldsNothing = !isGroup(T.Leave) && T.SentAt == TimePoint();
  if (!T.Leave.Engines.empty())
    R.Avoid.push_back(T.Leave.Engines[0].Backend);
  endTry(C, R, HoldsNothing ? AttemptEnd::Unused : AttemptEnd::Cancelled,
         !HoldsNothing);
  Code Number = R.Streaming ? Code::StreamCut
                            : honest(R, Why.NotRun, Code::BackendFailed);
  R.LastFailure = {Number, Why.Detail, {}};
  if (takeTry(C, R))
    backOff(C, R);
  else
    answerProblem(C, R, R.LastFailure);
}

void sendGenerate(Context &C, Request &R) {
  GenerationPart &G = *R.Generation;
  EngineTry &T = G.Try;
  GenerateOrder Order;
  Order.Attempt = T.Attempt;
  Order.Model = G.Wanted.Model;
  Order.Prompt = G.Wanted.Prompt;
  Order.MaxTokens = G.Wanted.MaxTokens;
  Order.Weight = T.Leave.Priority;
  Order.Epoch = T.Leave.Epoch;
  for (std::size_t I = 1; I < T.Leave.Engines.size(); ++I)
    Order.Members.push_back(T.Leave.Engines[I].Address);
  T.Status = 0;
  T.Refusal.clear();
  T.LastByte = C.Now;
  T.ReserveAgain = C.Now + C.S.Times.ReservationLease / 3;
  R.State = Phase::Generating;
  R.Wake =
      C.Now + std::min(C.S.Times.StreamSilence, C.S.Times.ReservationLease / 3);
  // A host that was frozen wakes with a grant that may be another's by now.
  std::optional<TimePoint> SendBy;
  if (T.Leave.Lease > Duration::zero())
    SendBy = T.GrantedAt + T.Leave.Lease;
  openUpstream(C, R, generateRequest(T.Leave.Engines[0].Address, Order),
               SendBy);
}

void useGrant(Context &C, Request &R, const Event &E) {
  EngineTry &T = R.Generation->Try;
  T.Leave = *E.Granted;
  T.GrantedAt = C.Now;
  R.TryServer =
      T.Leave.Engines.empty() ? BackendId() : T.Leave.Engines[0].Backend;
  R.TryBegan = C.Now;
  decide(C, "granted", R.Id, "the scheduler gave engines")
      .add("backend", firstServer(T.Leave))
      .add("engines", static_cast<std::int64_t>(T.Leave.Engines.size()))
      .add("epoch", static_cast<std::int64_t>(T.Leave.Epoch))
      .add("waited_ms", toMilliseconds(C.Now - R.Arrived));
  if (T.Leave.Engines.empty()) {
    failTry(C, R, {Code::NoBackend, "the grant names no engine", false});
    return;
  }
  if (isGroup(T.Leave)) {
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
  Problem Why{E.Refused->Reason, "", R.Id, E.Refused->RetryAfter};
  if (info(Why.Number).Result != Outcome::NotRun)
    Why.Number = Code::NoBackend;
  // An earlier try may have run: then "not run" would be a lie.
  if (R.MayHaveRun)
    Why.Number = R.LastFailure.Number;
  Why.Detail = "refused by the scheduler";
  answerProblem(C, R, Why);
}

void leaveAsking(Context &C, Request &R, const Event & /*E*/) {
  withdraw(C, R.Generation->Try.Attempt);
  decide(C, "cancel", R.Id, "the caller left while waiting for a grant");
  R.State = Phase::Ended;
}

void leaveTry(Context &C, Request &R, const Event & /*E*/) {
  endTry(C, R, AttemptEnd::Cancelled, /*Cancel=*/true);
  decide(C, "cancel", R.Id, "the caller left")
      .add("tokens", static_cast<std::int64_t>(R.Generation->Try.Next));
  count(C, "pimento_callers_left_total");
  R.State = Phase::Ended;
}

void expireAsking(Context &C, Request &R, const Event &E) {
  withdraw(C, R.Generation->Try.Attempt);
  Problem Why{honest(R, Code::DeadlineUnreachable, Code::DeadlineExceeded),
              "no engine was granted within the time limit",
              {}};
  if (E.Kind == EventKind::Cut)
    Why = {honest(R, Code::Draining, Code::DrainCut), "", {}};
  answerProblem(C, R, Why);
}

void expireTry(Context &C, Request &R, const Event &E) {
  endTry(C, R, AttemptEnd::Cancelled, /*Cancel=*/true);
  Problem Why{
      honest(R, Code::DeadlineUnreachable, Code::DeadlineExceeded), "", {}};
  if (E.Kind == EventKind::Cut)
    Why.Number = honest(R, Code::Draining, Code::DrainCut);
  answerProblem(C, R, Why);
}

void readReserveHead(Context & /*C*/, Request &R, const Event &E) {
  R.Generation->Try.Status = E.Status;
  R.Generation->Try.Headers = *E.Headers;
}

void readReserveData(Context & /*C*/, Request &R, const Event &E) {
  constexpr std::size_t KeptBytes = 4096;
  std::string &Kept = R.Generation->Try.Refusal;
  Kept += E.Bytes.substr(0, KeptBytes - std::min(KeptBytes, Kept.size()));
}

void endReserve(Context &C, Request &R, const Event & /*E*/) {
  EngineTry &T = R.Generation->Try;
  R.Upstream = UpstreamId();
  if (T.Status != 200) {
    EngineRefusal Why = readRefusal({T.Status, T.Headers, T.Refusal});
    failTry(C, R,
            {Code::RefusedByBackend,
             "a member of the group did not reserve: " + Why.Detail, false});
    return;
  }
  ++T.Reserved;
  if (T.Reserved + 1 < T.Leave.Engines.size())
    reserveNext(C, R);
  else
    sendGenerate(C, R);
}

void failReserve(Context &C, Request &R, const Event &E) {
  R.Upstream = UpstreamId();
  failTry(C, R,
          {Code::RefusedByBackend,
           "a member of the group failed: " + E.Failure->Detail, false});
}

void stallReserve(Context &C, Request &R, const Event & /*E*/) {
  failTry(C, R,
          {Code::RefusedByBackend, "a member of the group is silent", false});
}

void keepReservations(Context &C, Request &R) {
  EngineTry &T = R.Generation->Try;
  if (!isGroup(T.Leave) || C.Now < T.ReserveAgain)
    return;
  T.ReserveAgain = C.Now + C.S.Times.ReservationLease / 3;
  for (std::size_t I = 1; I < T.Leave.Engines.size(); ++I) {
    const GrantedEngine &Member = T.Leave.Engines[I];
    openOther(C,
              reserveRequest(Member.Address, T.Attempt, Member.Tokens,
                             C.S.Times.ReservationLease),
              {UpstreamUse::KeepReserved, R.Id, T.Attempt});
  }
}

void tryAgain(Context &C, Request &R, const Event & /*E*/) {
  R.Wake = TimePoint::max();
  if (R.Generation)
    askAgain(C, R);
  else
    sendCall(C, R);
}

} // namespace pimento::calls
