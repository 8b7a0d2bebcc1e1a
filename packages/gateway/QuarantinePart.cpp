// Requests, and parts of prompts, that crash backend servers: refusal of such
// requests, and evidence for the control hosts, which judge it.

#include "gateway/GatewayTurn.h"

#include <algorithm>

namespace pimento::gateway {

namespace {

/// A crash is part of each message to control hosts for this time, so that it
/// arrives although messages or control hosts are lost.
constexpr Duration ReportTime = seconds(3);
/// Delay of a report, so that one message carries all calls that an engine's
/// crash broke off.
constexpr Duration ReportDelay = milliseconds(10);
/// Delay of a report of answers to watched suspects.
constexpr Duration WatchReportDelay = milliseconds(200);
/// A request that was answered within this time is no suspect because it is
/// watched.
constexpr Duration SoundTime = seconds(60);
/// Parts of a prompt whose answers are recorded, the first ones.
constexpr std::size_t MaxRecordedParts = 32;
/// Crashes after which a request is sent to no other server by itself.
constexpr std::size_t CrashesUntilSuspect = 2;
/// A complete answer is reported if it is not older.
constexpr Duration ProofRetention = std::chrono::minutes(10);
/// Retry-After while no trial is planned.
constexpr Duration UntilOperatorActs = std::chrono::hours(1);
constexpr Duration MinRetryAfter = seconds(1);

/// The suspects of a crash that cut the request off.
std::vector<Suspect> suspectsOf(const AccountId &Account,
                                const RequestDigest &Digest,
                                const std::vector<PartId> &Parts) {
  std::vector<Suspect> List;
  if (!Digest.empty())
    List.push_back(suspectOf(Account, Digest));
  std::size_t Count = std::min(Parts.size(), MaxRecordedParts);
  for (std::size_t I = 0; I < Count; ++I)
    List.push_back(suspectOf(Account, Parts[I]));
  return List;
}

/// Parts of the call's prompt that can crash its engine; none on plain servers.
const std::vector<PartId> &partsOf(const GatewayCall &C) {
  static const std::vector<PartId> None;
  return C.OnEngine ? C.Info.Parts : None;
}

QuarantineMatch findQuarantine(const GatewayTurn &T, const GatewayCall &C) {
  return pimento::findQuarantine(T.S.Quarantine, C.Account, C.Digest,
                                 partsOf(C));
}

/// When the suspect was last answered completely, if that is known and proves
/// anything yet.
std::optional<TimePoint> provenAt(const GatewayTurn &T, const Suspect &What) {
  std::optional<TimePoint> At = answeredAt(T.S.Quarantine.Answered, What);
  return At && T.Now < *At + ProofRetention ? At : std::nullopt;
}

bool isInQuarantine(const GatewayTurn &T, const Suspect &What) {
  std::vector<PartId> Parts;
  if (!What.isRequest())
    Parts = {What.Part};
  return pimento::findQuarantine(T.S.Quarantine, What.Account, What.Request,
                                 Parts)
             .Entry != nullptr;
}

/// Records that a request with the suspect was answered completely.
void noteAnswer(GatewayTurn &T, const Suspect &What) {
  bool IsWatched = T.S.Quarantine.Watched.count(What) > 0;
  bool IsQuarantined = isInQuarantine(T, What);
  addClearance(T.S.Quarantine, {What, Duration::zero(), 1}, T.Now);
  if (!IsWatched && !IsQuarantined)
    return;
  T.S.Clearances[What] += 1;
  Duration Delay = IsQuarantined ? ReportDelay : WatchReportDelay;
  T.S.Link.NextSyncAt = std::min(T.S.Link.NextSyncAt, T.Now + Delay);
}

/// Adds the latest answers to suspects that a control host has begun to watch,
/// and those to others since the last report.
void addClearances(GatewayTurn &T, QuarantineUpdate &M) {
  const AnswerHistory &H = T.S.Quarantine.Answered;
  auto Add = [&](const Suspect &What, TimePoint At, std::uint64_t Count) {
    M.Clearances.push_back({What, T.Now - At, Count});
  };
  for (const Suspect &What : T.S.NewlyWatched) {
    T.S.Clearances.erase(What); // Counted here.
    if (std::optional<TimePoint> At = provenAt(T, What))
      Add(What, *At, 0);
    for (const CountedAnswers &Answers : recentAnswers(H, What))
      Add(What, Answers.Latest, Answers.Count);
  }
  for (const auto &[What, Count] : T.S.Clearances) {
    if (std::optional<TimePoint> At = answeredAt(H, What))
      Add(What, *At, Count);
  }
  T.S.NewlyWatched.clear();
  T.S.Clearances.clear();
}

/// Takes over which suspects a control host watches.
void watch(GatewayTurn &T, const HostId &From,
           const std::vector<Suspect> &Watched) {
  CrashQuarantine &Q = T.S.Quarantine;
  std::map<Suspect, TimePoint> Before = std::move(Q.Watched);
  Q.Watched.clear();
  if (From != T.S.WatchSource)
    Before.clear(); // What another control host was told is not known here.
  T.S.WatchSource = From;
  for (const Suspect &What : Watched) {
    Q.Watched.emplace(What, T.Now);
    if (Before.count(What) == 0)
      T.S.NewlyWatched.insert(What);
  }
  if (!T.S.NewlyWatched.empty())
    reportEvidenceSoon(T);
}

/// Whether this host may send a trial: only the placer does, so that there is
/// one at a time.
bool maySendTrial(const GatewayTurn &T, const GatewayCall &C,
                  const QuarantineMatch &Match) {
  return Match.Count == 1 && T.Now >= Match.Entry->TrialAt &&
         C.AttemptCount == 0 && T.S.Link.Placer == T.S.Self;
}

void logQuarantine(GatewayTurn &T, const GatewayCall &C, const char *PartKind,
                   const char *RequestKind, const char *Reason,
                   const QuarantineMatch &Match) {
  const Suspect &What = Match.Scope.What;
  DecisionRecord Record =
      record(T, C, What.isRequest() ? RequestKind : PartKind, Reason);
  Record.add("account", C.Account.Value);
  Record.add(What.isRequest() ? "request_digest" : "part", toString(What));
  Record.add("all_accounts", Match.Scope.AllAccounts);
  Record.add("since_ms", toMilliseconds(T.Now - Match.Entry->Since));
  Record.add("crashes", static_cast<std::int64_t>(Match.Entry->Crashes));
  Record.add("trials", static_cast<std::int64_t>(Match.Entry->Trials));
  log(T, std::move(Record));
}

/// Whether a call that is under way may be ended: it has no answer yet, and no
/// effect that its caller must learn of.
bool mayWithdraw(const GatewayCall &C) {
  bool IsAnswered =
      C.Stage == CallStage::Answering || C.Stage == CallStage::Confirming;
  bool MayTakeEffect = C.Path->Kind == CallKind::Once && C.Attempt.BytesSent;
  return !C.IsTrial && !IsAnswered && !MayTakeEffect;
}

/// Ends calls in quarantine that have no answer yet. A server that has not
/// begun to run them is spared the crash.
void withdrawCalls(GatewayTurn &T) {
  std::vector<std::uint64_t> Tickets;
  for (const auto &[Ticket, C] : T.S.Calls) {
    if (mayWithdraw(C))
      Tickets.push_back(Ticket);
  }
  for (std::uint64_t Ticket : Tickets) {
    if (GatewayCall *C = findCall(T, Ticket))
      refuseQuarantined(T, *C);
  }
}

Code refusalCode(const GatewayCall &C, const QuarantineMatch &Match) {
  if (C.Replying)
    return Code::StreamCut;
  if (C.MayHaveRun || C.Attempt.BytesSent)
    return Code::BackendFailed;
  return Match.Scope.What.isRequest() ? Code::RequestQuarantined
                                      : Code::PartQuarantined;
}

} // namespace

void reportEvidenceSoon(GatewayTurn &T) {
  T.S.Link.NextSyncAt = std::min(T.S.Link.NextSyncAt, T.Now + ReportDelay);
}

bool refuseQuarantined(GatewayTurn &T, GatewayCall &C) {
  QuarantineMatch Match = findQuarantine(T, C);
  if (Match.Entry == nullptr)
    return false;
  if (maySendTrial(T, C, Match)) {
    C.IsTrial = true;
    beginTrial(T.S.Quarantine, Match.Scope, T.Now);
    logQuarantine(T, C, "part_trial", "request_trial",
                  "sent once to see whether servers still crash", Match);
    reportEvidenceSoon(T);
    return false;
  }
  const char *Reason = Match.Scope.What.isRequest()
                           ? "the request is in quarantine"
                           : "a part of the prompt is in quarantine";
  logQuarantine(T, C, "part_refused", "request_refused", Reason, Match);
  TimePoint TrialAt = Match.Entry->TrialAt;
  Duration RetryAfter = TrialAt == TimePoint::max()
                            ? UntilOperatorActs
                            : std::max(MinRetryAfter, TrialAt - T.Now);
  if (C.Stage == CallStage::Placing)
    reportStage(T, C, PlacementStage::Ended);
  fail(T, C, refusalCode(C, Match), Reason, RetryAfter);
  return true;
}

bool isSuspectOfCrashes(const GatewayTurn &T, const GatewayCall &C) {
  Suspect Request = suspectOf(C.Account, C.Digest);
  std::optional<TimePoint> At = answeredAt(T.S.Quarantine.Answered, Request);
  bool IsSound = At && T.Now < *At + SoundTime;
  return (T.S.Quarantine.Watched.count(Request) > 0 && !IsSound) ||
         unansweredCrashes(T.S.Quarantine, Request) >= CrashesUntilSuspect;
}

void reportCrash(GatewayTurn &T, const ServerCrash &Crash) {
  addCrash(T.S.Quarantine, Crash, T.Now);
  for (const CrashedRequest &R : Crash.Requests) {
    for (const Suspect &What : suspectsOf(R.Account, R.Request, R.Parts)) {
      if (provenAt(T, What))
        T.S.Clearances.emplace(What, 0);
    }
  }
  reportEvidenceSoon(T);
}

void noteComplete(GatewayTurn &T, const GatewayCall &C) {
  if (!C.Attempt.Relay.empty())
    return; // The relay notes it.
  for (const Suspect &What : suspectsOf(C.Account, C.Digest, partsOf(C)))
    noteAnswer(T, What);
}

QuarantineUpdate quarantineReport(GatewayTurn &T) {
  Gateway &S = T.S;
  const CrashQuarantine &Q = S.Quarantine;
  QuarantineUpdate M;
  M.Digest = quarantineDigest(Q);
  if (M.Digest != S.ControlQuarantineDigest)
    M.Records = quarantineRecords(Q, T.Now);
  M.Crashes = crashesSince(Q, T.Now - ReportTime, T.Now);
  addClearances(T, M);
  std::vector<Suspect> Watched;
  for (const auto &[What, Since] : Q.Watched)
    Watched.push_back(What);
  // A control host that has not named them has no answers to them yet.
  if (S.Link.ActiveControl == S.WatchSource)
    M.WatchDigest = watchDigest(Watched);
  if (S.HandsOver)
    M.Unfinished = unfinishedRuns(S, T.Now);
  return M;
}

void onQuarantineUpdate(GatewayTurn &T, const HostId &From,
                        const QuarantineUpdate &M) {
  CrashQuarantine &Q = T.S.Quarantine;
  T.S.ControlQuarantineDigest = M.Digest;
  bool Changed = false;
  for (const QuarantineRecord &Record : M.Records)
    Changed = applyRecord(Q, Record, T.Now) || Changed;
  if (Changed) {
    DecisionRecord Record{
        "quarantine_changed", {}, "a control host reported a change", {}};
    std::size_t Requests = quarantinedRequests(Q);
    Record.add("parts",
               static_cast<std::int64_t>(activeQuarantines(Q) - Requests));
    Record.add("requests", static_cast<std::int64_t>(Requests));
    log(T, std::move(Record));
    withdrawCalls(T);
  }
  // What this host knows of the servers' work is asked for.
  for (const ServerCrash &Crash : M.Crashes) {
    if (addCrash(Q, Crash, T.Now) &&
        hasRuns(Q.Unfinished, Crash.Server, Crash.Incarnation))
      reportEvidenceSoon(T);
  }
  if (M.WatchDigest == 0)
    Q.Watched.clear();
  if (!M.Watched.empty())
    watch(T, From, M.Watched);
}

} // namespace pimento::gateway
