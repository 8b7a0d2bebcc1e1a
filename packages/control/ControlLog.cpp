// The control host's part of the replicated log: proposals, commits, voters,
// and answers to operators.

#include "control/ControlTurn.h"

#include "base/Problem.h"
#include "wire/Fields.h"

#include <algorithm>

namespace pimento::control {

namespace {

/// Silence of the leader after which a follower may lack newer entries.
constexpr Duration LeaderTimeout = milliseconds(1200);
/// Time after which an operator is told that the outcome of an uncommitted
/// proposal is unknown.
constexpr Duration ProposalTimeout = milliseconds(3000);
/// Time for the entry hosts to put a committed configuration in force, or to
/// stop serving without it; after it the operator is told that the outcome is
/// unknown and asks again. The time limit of an operator's call is four seconds
/// or more.
constexpr Duration InForceTimeout = milliseconds(3000);
/// Time within which every running entry host has sent a new leader a message.
constexpr Duration EntryReportTime = milliseconds(700);
constexpr JsonLimits StoredLimits = {/*Bytes=*/16U << 20U, /*Depth=*/4,
                                     /*Values=*/16};

ReplicaConfig replicaConfig(const ControlHost &S, const ControlStart &Start) {
  const ControlSettings &C = S.Config.Control;
  ReplicaConfig R;
  R.Self = S.Self;
  R.Incarnation = Start.DiskIncarnation;
  R.Start = Start.Start;
  R.Seed = Start.Seed;
  R.HeartbeatInterval = C.HeartbeatInterval;
  R.ElectionTimeout = C.ElectionTimeout;
  R.ClockDriftPerMille = C.ClockDriftPerMille;
  R.SnapshotEntries = C.SnapshotEntries;
  R.CommandBytes = 8U << 20U;
  bool IsSeed =
      std::find(S.Seeds.begin(), S.Seeds.end(), S.Self) != S.Seeds.end();
  if (S.Config.Join.First == 1 && IsSeed) {
    R.FormationVoters = S.Seeds;
    std::sort(R.FormationVoters.begin(), R.FormationVoters.end());
  }
  return R;
}

/// Makes the text of a stored configuration. \p Routing is the newest one
/// before and is replaced. Returns an error text; empty: done.
std::string restoreText(StoredRouting Stored, RoutingVersion &Routing) {
  if (Stored.Update.Number == 0) {
    Routing = {Stored.Number, std::move(Stored.Text.Data)};
    return "";
  }
  UpdateFault Fault = applyUpdate(Stored.Update, Routing);
  return Fault == UpdateFault::None ? "" : toString(Fault);
}

void storeRouting(ControlTurn &T, StoredRouting Stored, std::size_t Bytes) {
  std::uint64_t Before = T.S.NewestRouting.Number;
  if (Stored.Number <= Before)
    return;
  RoutingVersion Next = T.S.NewestRouting;
  std::string Fault = restoreText(std::move(Stored), Next);
  if (!Fault.empty()) {
    log(T, {"routing_unreadable", {}, Fault, {}});
    return;
  }
  DecisionRecord Record{"routing_stored", {}, "committed by the log", {}};
  Record.add("number", static_cast<std::int64_t>(Next.Number));
  Record.add("before", static_cast<std::int64_t>(Before));
  Record.add("bytes", static_cast<std::int64_t>(Next.Text.size()));
  Record.add("logged_bytes", static_cast<std::int64_t>(Bytes));
  log(T, std::move(Record));
  replaceNewest(T, std::move(Next));
}

void storeRoutingBytes(ControlTurn &T, std::string_view Bytes) {
  Failure Why;
  StoredRouting Stored = valueOr<StoredRouting>(
      [&] { return wire::fromBytes<StoredRouting>(Bytes, StoredLimits); },
      StoredRouting(), Why);
  if (!Why.Detail.empty())
    log(T, {"routing_unreadable", {}, Why.Detail, {}});
  storeEvacuation(T, Stored.Evacuation.Data);
  storeRouting(T, std::move(Stored), Bytes.size());
}

void markPutsCommitted(ControlTurn &T, const LogEntry &Entry) {
  for (PendingRouting &Put : T.S.PendingPuts) {
    if (Put.Index == Entry.Index && Put.Term == Entry.Term &&
        Put.CommittedAt == TimePoint())
      Put.CommittedAt = T.Now;
  }
}

void failLostPuts(ControlTurn &T, const LostRange &Lost) {
  auto IsLost = [&](const PendingRouting &Put) {
    return Put.CommittedAt == TimePoint() && Put.Term == Lost.Term &&
           Put.Index >= Lost.First && Put.Index <= Lost.Last;
  };
  auto &Puts = T.S.PendingPuts;
  for (const PendingRouting &Put : Puts) {
    if (IsLost(Put))
      refuse(T, Put.Exchange, Code::EditUnknown,
             "this host lost the leadership before the commit was confirmed");
  }
  Puts.erase(std::remove_if(Puts.begin(), Puts.end(), IsLost), Puts.end());
}

void executeReplicaEffects(ControlTurn &T, ReplicaEffects E) {
  for (Outbound &M : E.Messages)
    send(T, M.To, std::move(M.Content));
  for (DecisionRecord &D : E.Decisions)
    log(T, std::move(D));
  for (DiskWrite &Write : E.Writes)
    T.Out.push_back(WriteDisk{std::move(Write)});
  if (E.Install)
    storeRoutingBytes(T, *E.Install->Data);
  for (const LogEntry &Entry : E.Committed) {
    if (Entry.Kind == EntryKind::Command)
      storeRoutingBytes(T, Entry.Payload.Data);
    markPutsCommitted(T, Entry);
    markEvacuationsCommitted(T, Entry);
  }
  for (const LostRange &Lost : E.Lost) {
    failLostPuts(T, Lost);
    failLostEvacuations(T, Lost);
  }
  if (!E.WantSnapshot)
    return;
  ReplicaEffects More;
  StoredRouting Whole;
  Whole.Number = T.S.NewestRouting.Number;
  Whole.Update = wholeUpdate(T.S.NewestRouting);
  if (T.S.Evacuation.Revision > 0)
    Whole.Evacuation.Data = encodeState(T.S.Evacuation);
  snapshotTaken(T.S.Log, T.S.Log.Applied, wire::toBytes(Whole), T.Now, More);
  executeReplicaEffects(T, std::move(More));
}

std::vector<VoterCandidate> candidates(const ControlTurn &T) {
  const ControlHost &S = T.S;
  std::vector<VoterCandidate> List;
  for (const MemberStatus &M : status(S.Log, T.Now).Members) {
    VoterCandidate C;
    C.Host = M.Who.Host;
    C.Member = true;
    C.Learner = M.Who.Learner;
    C.Silence = M.Silence;
    auto Peer = S.Controls.find(C.Host);
    C.Leaving = Peer != S.Controls.end() && Peer->second.Leaving;
    List.push_back(std::move(C));
  }
  for (const auto &[Host, Peer] : S.Controls) {
    auto IsSameHost = [&, Name = &Host](const VoterCandidate &C) {
      return C.Host == *Name;
    };
    if (Peer.LastSeen == TimePoint() ||
        std::any_of(List.begin(), List.end(), IsSameHost))
      continue;
    VoterCandidate C;
    C.Host = Host;
    C.Leaving = Peer.Leaving;
    C.Silence = T.Now - Peer.LastSeen;
    List.push_back(std::move(C));
  }
  return List;
}

void maintainVoters(ControlTurn &T) {
  if (!isLeader(T.S, T.Now))
    return;
  VoterChange Change = planVoters(candidates(T), T.S.Self, T.S.Voters);
  if (Change.Step == VoterStep::None)
    return;
  ReplicaEffects E;
  bool Adds = Change.Step == VoterStep::Add;
  MemberChange Done = Adds ? addMember(T.S.Log, Change.Host, T.Now, E)
                           : removeMember(T.S.Log, Change.Host, T.Now, E);
  DecisionRecord Record{
      Adds ? "add_voter" : "remove_voter", {}, Change.Reason, {}};
  Record.add("member", Change.Host.Value);
  Record.add("result", std::string(toString(Done)));
  log(T, std::move(Record));
  executeReplicaEffects(T, std::move(E));
}

/// The newest configuration when all entries of the log are committed; a
/// proposal starts from it.
const RoutingVersion &newestInLog(const ControlHost &S) {
  bool IsAhead = S.Proposed.Term == term(S.Log) &&
                 S.Proposed.Newest.Number > S.NewestRouting.Number;
  return IsAhead ? S.Proposed.Newest : S.NewestRouting;
}

/// Whether every entry host in contact has the configuration in force or does
/// not serve. False at a new leader, which has not received a message from all
/// of them yet.
bool isInForce(const ControlTurn &T, std::uint64_t Number) {
  if (!haveEntriesReported(T.S, T.Now))
    return false;
  return hostsBehind(T.S, Number, T.Now).empty();
}

/// The HTTP status of the answer; zero while the operator has to wait.
int putStatus(const ControlTurn &T, const PendingRouting &Put) {
  constexpr int Accepted = 200;
  constexpr int Unknown = 503;
  if (Put.CommittedAt != TimePoint()) {
    if (isInForce(T, Put.Number))
      return Accepted;
    return T.Now >= Put.CommittedAt + InForceTimeout ? Unknown : 0;
  }
  return T.Now >= Put.RequestedAt + ProposalTimeout ? Unknown : 0;
}

void logAnswer(ControlTurn &T, const PendingRouting &Put, int Status) {
  std::vector<HostId> Behind = hostsBehind(T.S, Put.Number, T.Now);
  constexpr std::size_t MaxNamed = 8;
  std::string Names;
  for (std::size_t I = 0; I < std::min(Behind.size(), MaxNamed); ++I)
    Names += (I == 0 ? "" : " ") + Behind[I].Value;
  DecisionRecord Record{"routing_answered",
                        {},
                        Behind.empty() ? "in force at every host in contact"
                                       : "hosts in contact have an older one",
                        {}};
  Record.add("number", static_cast<std::int64_t>(Put.Number));
  Record.add("status", static_cast<std::int64_t>(Status));
  Record.add("waited_ms", toMilliseconds(T.Now - Put.RequestedAt));
  Record.add("hosts_behind", static_cast<std::int64_t>(Behind.size()));
  Record.add("behind", Names);
  log(T, std::move(Record));
}

} // namespace

bool isLeader(const ControlHost &S, TimePoint Now) {
  return holdsLease(S.Log, Now) && S.Log.Applied >= S.Log.TermStart;
}

bool haveEntriesReported(const ControlHost &S, TimePoint Now) {
  return Now >= S.LeadershipChangedAt + EntryReportTime;
}

OperatorTimeouts operatorTimeouts() {
  return {ProposalTimeout, InForceTimeout};
}

bool isCurrent(const ControlHost &S, TimePoint Now) {
  if (role(S.Log) == ReplicaRole::Leader)
    return isLeader(S, Now);
  return S.Log.Halted == Code::Ok && !leader(S.Log).empty() &&
         Now < S.Log.LastContact + LeaderTimeout &&
         S.Log.Applied >= S.Log.Commit;
}

void startLog(ControlHost &S, const ControlStart &Start, TimePoint Now) {
  auto Found = Start.Found.find(0);
  Recovered Known = Found == Start.Found.end() ? Recovered() : Found->second;
  std::shared_ptr<const std::string> Base = Known.Base.Data;
  S.Log = startReplica(replicaConfig(S, Start), std::move(Known), Now);
  if (!Base)
    return;
  Failure Why;
  auto Stored = valueOr<StoredRouting>(
      [&] { return wire::fromBytes<StoredRouting>(*Base, StoredLimits); },
      StoredRouting(), Why);
  if (!Stored.Evacuation.Data.empty())
    valueOr<bool>(
        [&] { return applyStored(S.Evacuation, Stored.Evacuation.Data); },
        false, Why);
  restoreText(std::move(Stored), S.NewestRouting);
}

void tickLog(ControlTurn &T) {
  if (T.Now < nextTick(T.S.Log))
    return;
  setContacts(T.S.Log, liveControlHosts(T.S, T.Now));
  ReplicaEffects E;
  tick(T.S.Log, T.Now, E);
  executeReplicaEffects(T, std::move(E));
  maintainVoters(T);
}

void onLogMessage(ControlTurn &T, const HostId &From, const Message &M) {
  if (replicaHeader(M) == nullptr) {
    count(T, "pimento_unexpected_messages_total");
    return;
  }
  ReplicaEffects E;
  receive(T.S.Log, From, M, T.Now, E);
  executeReplicaEffects(T, std::move(E));
}

void onLogWritten(ControlTurn &T, std::uint64_t Ticket) {
  ReplicaEffects E;
  diskWritten(T.S.Log, Ticket, T.Now, E);
  executeReplicaEffects(T, std::move(E));
  answerPendingPuts(T);
  answerPendingEvacuations(T);
}

void onLogDiskFailed(ControlTurn &T, const DiskFailed &E) {
  ReplicaEffects Out;
  diskFailed(T.S.Log, E.Reason, E.Detail, Out);
  executeReplicaEffects(T, std::move(Out));
}

void flushLog(ControlTurn &T) {
  ReplicaEffects E;
  flush(T.S.Log, T.Now, E);
  executeReplicaEffects(T, std::move(E));
  bool Leads = isLeader(T.S, T.Now);
  if (Leads == T.S.WasLeading)
    return;
  T.S.WasLeading = Leads;
  T.S.LeadershipChangedAt = T.Now;
  updateHosts(T);
  DecisionRecord Record{Leads ? "leads" : "leads_no_more", {}, "", {}};
  Record.add("term", static_cast<std::int64_t>(term(T.S.Log)));
  Record.add("leader", leader(T.S.Log).Value);
  log(T, std::move(Record));
}

void proposeRouting(ControlTurn &T, ExchangeId Exchange, std::uint64_t Number,
                    const std::string &Text) {
  RoutingVersion Next = {Number, Text};
  StoredRouting Stored;
  Stored.Number = Number;
  Stored.Update = deltaUpdate(newestInLog(T.S), Next);
  std::optional<Proposal> At = propose(T.S.Log, Blob{wire::toBytes(Stored)});
  if (!At) {
    refuse(T, Exchange, Code::NoLeader, "the log did not accept the proposal");
    return;
  }
  if (Number > newestInLog(T.S).Number)
    T.S.Proposed = {At->Term, std::move(Next)};
  PendingRouting Put;
  Put.Exchange = Exchange;
  Put.Number = Number;
  Put.Index = At->Index;
  Put.Term = At->Term;
  Put.RequestedAt = T.Now;
  T.S.PendingPuts.push_back(Put);
}

void transferLogLeadership(ControlTurn &T) {
  ReplicaEffects E;
  transferLeadership(T.S.Log, HostId(), T.Now, E);
  executeReplicaEffects(T, std::move(E));
}

void answerPendingPuts(ControlTurn &T) {
  auto Settle = [&](const PendingRouting &Put) {
    int Status = putStatus(T, Put);
    if (Status == 0)
      return false;
    logAnswer(T, Put, Status);
    constexpr int Accepted = 200;
    if (Status == Accepted)
      reply(T, Put.Exchange, jsonReply(Accepted, "{}"));
    else
      refuse(T, Put.Exchange, Code::EditUnknown,
             Put.CommittedAt == TimePoint()
                 ? "the commit of the configuration was not confirmed in time"
                 : "committed, but not yet in force at every host in contact");
    return true;
  };
  auto &Puts = T.S.PendingPuts;
  Puts.erase(std::remove_if(Puts.begin(), Puts.end(), Settle), Puts.end());
}

} // namespace pimento::control
