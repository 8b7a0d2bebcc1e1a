// Requests, and parts of prompts, that crash backend servers: evidence of the
// entry hosts, judgement, spread, and operators' calls.

#include "control/ControlTurn.h"

#include "base/Json.h"
#include "base/Problem.h"

#include <algorithm>
#include <charconv>

namespace pimento::control {

namespace {

/// Evidence of this age is sent with each heartbeat to the other control hosts,
/// so that a new leader has it. Longer than two heartbeats.
constexpr Duration EvidenceRelayTime = milliseconds(1200);
/// Delay of a judgement at a host that does not judge, since another one leads.
constexpr Duration NotJudgingDelay = milliseconds(500);
constexpr std::size_t MaxClearances = 256;
/// Entry hosts are told of a crash for this time, so that they report what else
/// its server may have been at work on.
constexpr Duration CrashNoticeTime = milliseconds(1200);
/// Longest time for which the server of a handed over run may be at work.
constexpr Duration MaxRunTime = std::chrono::minutes(10);
constexpr const char *QuarantinePath = "/v1/quarantine";
constexpr int HexBase = 16;

/// Starts a decision record about a suspect, which names what it is.
DecisionRecord recordAbout(const Suspect &What, const char *PartKind,
                           const char *RequestKind, const char *Reason) {
  DecisionRecord Record{
      What.isRequest() ? RequestKind : PartKind, {}, Reason, {}};
  Record.add(What.isRequest() ? "request_digest" : "part", toString(What));
  Record.add("account", What.Account.Value);
  return Record;
}

DecisionRecord recordOf(const char *PartKind, const char *RequestKind,
                        const char *Reason, const QuarantineScope &Scope,
                        const Quarantined &Q) {
  DecisionRecord Record =
      recordAbout(Scope.What, PartKind, RequestKind, Reason);
  Record.add("all_accounts", Scope.AllAccounts);
  Record.add("crashes", static_cast<std::int64_t>(Q.Crashes));
  Record.add("answers", static_cast<std::int64_t>(Q.Answers));
  Record.add("requests", static_cast<std::int64_t>(Q.Requests));
  Record.add("trials", static_cast<std::int64_t>(Q.Trials));
  Record.add("version", static_cast<std::int64_t>(Q.Version));
  return Record;
}

/// Adds the crashes that accused what is released.
void addEvidence(DecisionRecord &Record, const CrashQuarantine &S,
                 const Suspect &What) {
  std::uint64_t Crashes = 0;
  for (bool AllAccounts : {false, true}) {
    auto Found = S.Entries.find(scopeOf(What, AllAccounts));
    if (Found != S.Entries.end())
      Crashes = std::max(Crashes, Found->second.Crashes);
  }
  Record.add("crashes", static_cast<std::int64_t>(Crashes));
}

std::vector<Suspect> watchedSuspects(const CrashQuarantine &S) {
  std::vector<Suspect> List;
  for (const auto &[What, Since] : S.Watched)
    List.push_back(What);
  return List;
}

/// Replaces bytes that are no UTF-8: names of accounts also come from other
/// hosts.
std::string textOf(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

/// Whether this host judges: exactly one host does while a leader is known.
bool judges(const ControlHost &S, TimePoint Now) {
  return isLeader(S, Now) || leader(S.Log).empty();
}

void rememberClearance(ControlHost &S, const SuspectClearance &Clearance,
                       TimePoint Now) {
  TimePoint Limit = Now - EvidenceRelayTime;
  for (auto It = S.Clearances.begin(); It != S.Clearances.end();)
    It = It->second < Limit ? S.Clearances.erase(It) : std::next(It);
  if (S.Clearances.size() < MaxClearances)
    S.Clearances[Clearance.Cleared] = Now;
}

/// A run that an entry host handed over before it stopped.
UnfinishedRun runOf(const ServerRun &M, TimePoint Now) {
  UnfinishedRun Run;
  Run.Server = M.Server;
  Run.Incarnation = M.Incarnation;
  Run.Request = M.Request;
  Run.Began = Now - M.Request.RanFor;
  Run.Until = Now + std::min(M.TimeLeft, MaxRunTime);
  return Run;
}

Json describe(const QuarantineScope &Scope, const Quarantined &Q,
              TimePoint Now) {
  const Suspect &What = Scope.What;
  Json Entry = {{What.isRequest() ? "request" : "part", toString(What)},
                {"all_accounts", Scope.AllAccounts},
                {"since_ms", toMilliseconds(Now - Q.Since)},
                {"crashes", Q.Crashes},
                {"answers", Q.Answers},
                {"requests", Q.Requests},
                {"trials", Q.Trials}};
  if (!Scope.AllAccounts)
    Entry["account"] = What.Account.Value;
  if (Q.TrialAt != TimePoint::max())
    Entry["next_trial_ms"] = toMilliseconds(Q.TrialAt - Now);
  return Entry;
}

void listQuarantine(ControlTurn &T, ExchangeId Exchange) {
  Json Parts = Json::array();
  for (const auto &[Scope, Q] : T.S.Quarantine.Entries) {
    if (Q.Active)
      Parts.push_back(describe(Scope, Q, T.Now));
  }
  reply(T, Exchange, jsonReply(200, textOf({{"parts", Parts}})));
}

/// Reads a part of prompts, or a request's digest with all its digits. Returns
/// false for any other text.
bool readSuspect(std::string_view Text, Suspect &What) {
  if (parseRequestDigest(Text, What.Request))
    return true;
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  auto [Last, Error] = std::from_chars(Text.data(), End, Number, HexBase);
  What.Part = PartId{Number};
  return Error == std::errc() && Last == End;
}

/// Lifts the quarantines of the part, for all accounts, or of the request that
/// the last segment of the path names.
void lift(ControlTurn &T, ExchangeId Exchange, std::string_view Text) {
  Suspect Named;
  if (!readSuspect(Text, Named)) {
    refuse(T, Exchange, Code::BadRequest,
           "the path does not end with a part or a request in hexadecimal");
    return;
  }
  std::int64_t Lifted = 0;
  for (auto &[Scope, Q] : T.S.Quarantine.Entries) {
    bool IsNamed =
        Scope.What.Part == Named.Part && Scope.What.Request == Named.Request;
    if (!IsNamed || !liftQuarantine(T.S.Quarantine, Scope, T.Now))
      continue;
    ++Lifted;
    log(T, recordOf("part_released", "request_released",
                    "an operator lifted the quarantine", Scope, Q));
  }
  if (Lifted == 0) {
    refuse(T, Exchange, Code::NotFound,
           "no such part or request is in quarantine");
    return;
  }
  updateHosts(T);
  reply(T, Exchange, jsonReply(200, textOf({{"lifted", Lifted}})));
}

} // namespace

void onQuarantineUpdate(ControlTurn &T, const HostId &From, SenderRole Role,
                        const QuarantineUpdate &M) {
  CrashQuarantine &Q = T.S.Quarantine;
  bool Changed = false;
  for (const ServerRun &Run : M.Unfinished)
    addRun(Q, runOf(Run, T.Now), T.Now);
  for (const ServerCrash &Crash : M.Crashes) {
    bool IsNew = Q.Crashes.count({Crash.Server, Crash.Incarnation}) == 0;
    if (!addCrash(Q, Crash, T.Now))
      continue;
    if (IsNew)
      updateHosts(T);
    DecisionRecord Record{
        "engine_crash", {}, "a backend server broke off answers of a host", {}};
    Record.add("server", Crash.Server.Value);
    Record.add("incarnation", static_cast<std::int64_t>(Crash.Incarnation));
    Record.add("reporter", From.Value);
    Record.add("requests", static_cast<std::int64_t>(Crash.Requests.size()));
    Record.add("age_ms", toMilliseconds(Crash.Age));
    log(T, std::move(Record));
  }
  for (const SuspectClearance &Clearance : M.Clearances) {
    rememberClearance(T.S, Clearance, T.Now);
    if (!addClearance(Q, Clearance, T.Now))
      continue;
    Changed = true;
    DecisionRecord Record =
        recordAbout(Clearance.Cleared, "part_released", "request_released",
                    "it was answered completely");
    Record.add("reporter", From.Value);
    addEvidence(Record, Q, Clearance.Cleared);
    log(T, std::move(Record));
  }
  // After the answers, which may end a quarantine here as well.
  for (const QuarantineRecord &Record : M.Records) {
    bool IsContested = Role == SenderRole::EntryHost && contestEnd(Q, Record);
    Changed = IsContested || applyRecord(Q, Record, T.Now) || Changed;
  }
  if (Changed)
    updateHosts(T);
}

QuarantineUpdate quarantineUpdateFor(const ControlTurn &T,
                                     std::uint64_t KnownDigest,
                                     std::uint64_t KnownWatchDigest) {
  const CrashQuarantine &Q = T.S.Quarantine;
  QuarantineUpdate M;
  M.Digest = quarantineDigest(Q);
  if (M.Digest != KnownDigest)
    M.Records = quarantineRecords(Q, T.Now);
  M.Crashes = endedServers(Q, T.Now - CrashNoticeTime, T.Now);
  std::vector<Suspect> Watched = watchedSuspects(Q);
  M.WatchDigest = watchDigest(Watched);
  if (M.WatchDigest != KnownWatchDigest)
    M.Watched = std::move(Watched);
  return M;
}

QuarantineUpdate quarantineUpdateFor(const ControlTurn &T,
                                     const ControlPeer &Peer) {
  const CrashQuarantine &Q = T.S.Quarantine;
  QuarantineUpdate M;
  M.Digest = quarantineDigest(Q);
  if (M.Digest != Peer.QuarantineDigest)
    M.Records = quarantineRecords(Q, T.Now);
  M.Crashes = crashesSince(Q, T.Now - EvidenceRelayTime, T.Now);
  for (const auto &[What, ReceivedAt] : T.S.Clearances) {
    std::optional<TimePoint> At = answeredAt(Q.Answered, What);
    if (At && T.Now < ReceivedAt + EvidenceRelayTime)
      M.Clearances.push_back({What, T.Now - *At, std::uint64_t(0)});
  }
  return M;
}

void tickQuarantine(ControlTurn &T) {
  CrashQuarantine &Q = T.S.Quarantine;
  if (T.Now < Q.JudgeAt)
    return;
  if (!judges(T.S, T.Now)) {
    Q.JudgeAt = T.Now + NotJudgingDelay;
    return;
  }
  std::uint64_t WatchBefore = watchDigest(watchedSuspects(Q));
  for (const QuarantineScope &Scope : judgeCrashes(Q, T.Now)) {
    log(T, recordOf("part_quarantined", "request_quarantined",
                    "crashes of servers have this in common", Scope,
                    Q.Entries.at(Scope)));
    count(T, Scope.What.isRequest() ? "pimento_requests_quarantined_total"
                                    : "pimento_parts_quarantined_total");
    updateHosts(T);
  }
  if (watchDigest(watchedSuspects(Q)) != WatchBefore)
    updateHosts(T);
}

bool quarantineCall(ControlTurn &T, ExchangeId Exchange, const HttpRequest &R) {
  std::string_view Path = R.Path;
  std::string_view Prefix = QuarantinePath;
  if (Path == Prefix && R.Method == HttpMethod::Get) {
    listQuarantine(T, Exchange);
    return true;
  }
  bool IsLift = R.Method == HttpMethod::Delete && Path.size() > Prefix.size() &&
                Path.substr(0, Prefix.size()) == Prefix &&
                Path[Prefix.size()] == '/';
  if (IsLift)
    lift(T, Exchange, Path.substr(Prefix.size() + 1));
  return IsLift;
}

} // namespace pimento::control
