// Parts of prompts that crash engines: refusal of requests with such parts, and
// evidence for the control hosts, which judge it.

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
/// Time in which an engine answers that it still runs. A connection may break
/// although its engine runs.
constexpr Duration CrashCheckTimeout = milliseconds(400);
/// Parts of a prompt that are reported, the first ones.
constexpr std::size_t MaxReportedParts = 32;
/// A complete answer is reported if it is not older.
constexpr Duration ProofRetention = std::chrono::minutes(10);
/// Retry-After while no trial of the part is planned.
constexpr Duration UntilOperatorActs = std::chrono::hours(1);
constexpr Duration MinRetryAfter = seconds(1);

void reportSoon(GatewayTurn &T) {
  T.S.Link.NextSyncAt = std::min(T.S.Link.NextSyncAt, T.Now + ReportDelay);
}

std::vector<PartId> reportedParts(const GatewayCall &C) {
  const std::vector<PartId> &Parts = C.Info.Parts;
  std::size_t Count = std::min(Parts.size(), MaxReportedParts);
  return {Parts.begin(), Parts.begin() + static_cast<std::ptrdiff_t>(Count)};
}

/// Reports the latest complete answer with the part, if one is known.
void reportAnswered(GatewayTurn &T, const Suspect &Part) {
  std::optional<TimePoint> At =
      answeredAt(T.S.Quarantine.Answered, Part.Account, Part.Part);
  if (At && T.Now < *At + ProofRetention)
    T.S.Clearances.insert(Part);
}

CrashedRequest suspectOf(const GatewayCall &C) {
  CrashedRequest Request;
  Request.Account = C.Account;
  Request.Request = std::hash<std::string>()(C.Info.ClientAttemptId);
  Request.Parts = reportedParts(C);
  return Request;
}

ServerCrash crashOf(const GatewayCall &C) {
  ServerCrash Crash;
  Crash.Server = C.Attempt.Server;
  Crash.Incarnation = C.Attempt.ServerIncarnation;
  Crash.Requests = {suspectOf(C)};
  return Crash;
}

/// Reports a crash with what is known of its suspects.
void reportCrash(GatewayTurn &T, const ServerCrash &Crash) {
  addCrash(T.S.Quarantine, Crash, T.Now);
  for (const CrashedRequest &Request : Crash.Requests) {
    for (PartId Part : Request.Parts)
      reportAnswered(T, {Request.Account, Part});
  }
  count(T, "pimento_engine_crashes_total");
  reportSoon(T);
}

void crashConfirmed(GatewayTurn &T, CrashCheck &Check) {
  Check.Crash.Age = T.Now - Check.CrashedAt;
  reportCrash(T, Check.Crash);
}

bool isWatched(const GatewayTurn &T, const Suspect &Part) {
  const CrashQuarantine &Q = T.S.Quarantine;
  return Q.Watched.count(Part) > 0 ||
         findQuarantine(Q, Part.Account, {Part.Part}).Part != nullptr;
}

/// Whether this host may send a trial: only the placer does, so that there is
/// one at a time.
bool maySendTrial(const GatewayTurn &T, const GatewayCall &C,
                  const QuarantineMatch &Match) {
  return Match.Count == 1 && T.Now >= Match.Part->TrialAt &&
         C.AttemptCount == 0 && T.S.Link.Placer == T.S.Self;
}

void logQuarantine(GatewayTurn &T, const GatewayCall &C, const char *Kind,
                   const char *Reason, const QuarantineMatch &Match) {
  DecisionRecord Record = record(T, C, Kind, Reason);
  Record.add("account", C.Account.Value);
  Record.add("part", toString(Match.Scope.Part));
  Record.add("all_accounts", Match.Scope.AllAccounts);
  Record.add("since_ms", toMilliseconds(T.Now - Match.Part->Since));
  Record.add("crashes", static_cast<std::int64_t>(Match.Part->Crashes));
  Record.add("trials", static_cast<std::int64_t>(Match.Part->Trials));
  log(T, std::move(Record));
}

/// Ends calls with a quarantined part that have no answer yet. The engine has
/// not begun to write and is spared the crash.
void withdrawCalls(GatewayTurn &T) {
  std::vector<std::uint64_t> Tickets;
  for (const auto &[Ticket, C] : T.S.Calls) {
    bool IsAnswered =
        C.Stage == CallStage::Answering || C.Stage == CallStage::Confirming;
    if (C.OnEngine && !C.IsTrial && !IsAnswered)
      Tickets.push_back(Ticket);
  }
  for (std::uint64_t Ticket : Tickets) {
    if (GatewayCall *C = findCall(T, Ticket))
      refuseQuarantined(T, *C);
  }
}

} // namespace

bool refuseQuarantined(GatewayTurn &T, GatewayCall &C) {
  if (!C.OnEngine)
    return false;
  QuarantineMatch Match =
      findQuarantine(T.S.Quarantine, C.Account, C.Info.Parts);
  if (Match.Part == nullptr)
    return false;
  if (maySendTrial(T, C, Match)) {
    C.IsTrial = true;
    beginTrial(T.S.Quarantine, Match.Scope, T.Now);
    logQuarantine(T, C, "part_trial",
                  "sent once to see whether engines still crash", Match);
    reportSoon(T);
    return false;
  }
  const char *Reason = "a part of the prompt is in quarantine";
  logQuarantine(T, C, "part_refused", Reason, Match);
  bool Ran = C.MayHaveRun || C.Attempt.BytesSent;
  Code Number = C.Replying ? Code::StreamCut
                : Ran      ? Code::BackendFailed
                           : Code::PartQuarantined;
  TimePoint TrialAt = Match.Part->TrialAt;
  Duration RetryAfter = TrialAt == TimePoint::max()
                            ? UntilOperatorActs
                            : std::max(MinRetryAfter, TrialAt - T.Now);
  if (C.Stage == CallStage::Placing)
    reportStage(T, C, PlacementStage::Ended);
  fail(T, C, Number, Reason, RetryAfter);
  return true;
}

void checkCrash(GatewayTurn &T, const GatewayCall &C) {
  if (!C.OnEngine || C.Info.Parts.empty())
    return;
  for (auto &[Upstream, Check] : T.S.CrashChecks) {
    bool IsSame = Check.Crash.Server == C.Attempt.Server &&
                  Check.Crash.Incarnation == C.Attempt.ServerIncarnation;
    if (!IsSame)
      continue;
    Check.Crash.Requests.push_back(suspectOf(C));
    return;
  }
  CrashCheck Check;
  Check.Crash = crashOf(C);
  Check.CrashedAt = T.Now;
  Check.ExpiresAt = T.Now + CrashCheckTimeout;
  T.S.CrashChecks.emplace(queryLoad(T, C.Attempt.Address), std::move(Check));
}

void recordCrash(GatewayTurn &T, const GatewayCall &C) {
  if (C.OnEngine && !C.Info.Parts.empty())
    reportCrash(T, crashOf(C));
}

bool crashCheckEvent(GatewayTurn &T, const Event &E) {
  auto Found = T.S.CrashChecks.find(upstreamOf(E));
  if (Found == T.S.CrashChecks.end())
    return false;
  if (std::holds_alternative<UpstreamSent>(E))
    return true;
  if (std::holds_alternative<UpstreamFailed>(E))
    crashConfirmed(T, Found->second);
  else
    T.Out.push_back(calls::AbortUpstream{Found->first});
  T.S.CrashChecks.erase(Found);
  return true;
}

void tickCrashChecks(GatewayTurn &T) {
  auto &Checks = T.S.CrashChecks;
  for (auto It = Checks.begin(); It != Checks.end();) {
    if (T.Now < It->second.ExpiresAt) {
      ++It;
      continue;
    }
    T.Out.push_back(calls::AbortUpstream{It->first});
    crashConfirmed(T, It->second);
    It = Checks.erase(It);
  }
}

void noteComplete(GatewayTurn &T, const GatewayCall &C) {
  if (!C.OnEngine)
    return;
  for (PartId Part : reportedParts(C)) {
    Suspect Key{C.Account, Part};
    bool Watched = isWatched(T, Key);
    addClearance(T.S.Quarantine, {Key, Duration::zero()}, T.Now);
    if (!Watched)
      continue;
    T.S.Clearances.insert(Key);
    reportSoon(T);
  }
}

QuarantineUpdate quarantineReport(GatewayTurn &T) {
  Gateway &S = T.S;
  const CrashQuarantine &Q = S.Quarantine;
  QuarantineUpdate M;
  M.Digest = quarantineDigest(Q);
  if (M.Digest != S.ControlQuarantineDigest)
    M.Records = quarantineRecords(Q, T.Now);
  M.Crashes = crashesSince(Q, T.Now - ReportTime, T.Now);
  // Sent once: while a part is watched, later answers clear it as well.
  for (const Suspect &Part : S.Clearances) {
    std::optional<TimePoint> At =
        answeredAt(Q.Answered, Part.Account, Part.Part);
    if (At)
      M.Clearances.push_back({Part, T.Now - *At});
  }
  S.Clearances.clear();
  std::vector<Suspect> Watched;
  for (const auto &[Part, Since] : Q.Watched)
    Watched.push_back(Part);
  M.WatchDigest = watchDigest(Watched);
  return M;
}

void onQuarantineUpdate(GatewayTurn &T, const QuarantineUpdate &M) {
  CrashQuarantine &Q = T.S.Quarantine;
  T.S.ControlQuarantineDigest = M.Digest;
  bool Changed = false;
  for (const QuarantineRecord &Record : M.Records)
    Changed = applyRecord(Q, Record, T.Now) || Changed;
  if (Changed) {
    DecisionRecord Record{
        "quarantine_changed", {}, "a control host reported a change", {}};
    Record.add("parts", static_cast<std::int64_t>(activeQuarantines(Q)));
    log(T, std::move(Record));
    withdrawCalls(T);
  }
  if (M.WatchDigest == 0)
    Q.Watched.clear();
  if (M.Watched.empty())
    return;
  Q.Watched.clear();
  for (const Suspect &Part : M.Watched) {
    Q.Watched.emplace(Part, T.Now);
    reportAnswered(T, Part);
  }
  if (!T.S.Clearances.empty())
    reportSoon(T);
}

} // namespace pimento::gateway
