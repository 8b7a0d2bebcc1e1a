// The replicated log of configurations: commits, voters, acknowledgements.

#include "control/ControlTurn.h"

#include "base/Problem.h"
#include "wire/Fields.h"

#include <algorithm>

namespace pimento::control {

namespace {

/// Silence of the leader after which a follower may have missed something.
constexpr Duration LeaderSilence = milliseconds(1200);
/// An operator hears the outcome of a proposal within it, or that nobody knows.
constexpr Duration ProposalTime = milliseconds(3000);
/// Entry hosts have so long to put a committed configuration in force before
/// the operator is answered all the same.
constexpr Duration InForceTime = milliseconds(1000);
/// Longer with the bytes of all copies, by what a small host's link and
/// processor pass on.
constexpr double SpreadBytesPerSecond = 12e6;
/// Operators are owed an answer within four seconds or more.
constexpr Duration LongestInForceTime = milliseconds(3000);
/// Silence after which an entry host is not waited for.
constexpr Duration EntrySilence = milliseconds(1500);
/// Within so long each entry host that lives has asked the leader.
constexpr Duration HearingTime = milliseconds(700);
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

void adopt(ControlTurn &T, StoredRouting Stored) {
  if (Stored.Number <= T.S.Newest.Number)
    return;
  DecisionRecord Record{"routing_stored", {}, "committed by the log", {}};
  Record.add("number", static_cast<std::int64_t>(Stored.Number));
  Record.add("before", static_cast<std::int64_t>(T.S.Newest.Number));
  Record.add("bytes", static_cast<std::int64_t>(Stored.Text.Data.size()));
  log(T, std::move(Record));
  T.S.Newest = std::move(Stored);
  T.S.NewestAt = T.Now;
}

void adoptBytes(ControlTurn &T, std::string_view Bytes) {
  Failure Why;
  StoredRouting Stored = valueOr<StoredRouting>(
      [&] { return wire::fromBytes<StoredRouting>(Bytes, StoredLimits); },
      StoredRouting(), Why);
  if (!Why.Detail.empty())
    log(T, {"routing_unreadable", {}, Why.Detail, {}});
  adopt(T, std::move(Stored));
}

void commitPuts(ControlTurn &T, const LogEntry &Entry) {
  for (PendingRouting &Put : T.S.Puts) {
    if (Put.Index == Entry.Index && Put.Term == Entry.Term &&
        Put.Committed == TimePoint())
      Put.Committed = T.Now;
  }
}

void losePuts(ControlTurn &T, const LostRange &Lost) {
  auto IsLost = [&](const PendingRouting &Put) {
    return Put.Committed == TimePoint() && Put.Term == Lost.Term &&
           Put.Index >= Lost.First && Put.Index <= Lost.Last;
  };
  auto &Puts = T.S.Puts;
  for (const PendingRouting &Put : Puts) {
    if (IsLost(Put))
      refuse(T, Put.Exchange, Code::EditUnknown, "the leader changed");
  }
  Puts.erase(std::remove_if(Puts.begin(), Puts.end(), IsLost), Puts.end());
}

void take(ControlTurn &T, ReplicaEffects E) {
  for (Outbound &M : E.Messages)
    send(T, M.To, std::move(M.Content));
  for (DecisionRecord &D : E.Decisions)
    log(T, std::move(D));
  for (DiskWrite &Write : E.Writes)
    T.Out.push_back(WriteDisk{std::move(Write)});
  if (E.Install)
    adoptBytes(T, *E.Install->Data);
  for (const LogEntry &Entry : E.Committed) {
    if (Entry.Kind == EntryKind::Command)
      adoptBytes(T, Entry.Payload.Data);
    commitPuts(T, Entry);
  }
  for (const LostRange &Lost : E.Lost)
    losePuts(T, Lost);
  if (!E.WantSnapshot)
    return;
  ReplicaEffects More;
  snapshotTaken(T.S.Log, T.S.Log.Applied, wire::toBytes(T.S.Newest), T.Now,
                More);
  take(T, std::move(More));
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
    auto Is = [&, Name = &Host](const VoterCandidate &C) {
      return C.Host == *Name;
    };
    if (Peer.Heard == TimePoint() || std::any_of(List.begin(), List.end(), Is))
      continue;
    VoterCandidate C;
    C.Host = Host;
    C.Leaving = Peer.Leaving;
    C.Silence = T.Now - Peer.Heard;
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
  take(T, std::move(E));
}

/// Whether every entry host that answers has the configuration in force. A new
/// leader cannot tell, since it has not heard all of them.
bool isInForce(const ControlTurn &T, std::uint64_t Number) {
  if (T.Now < T.S.LeadsSince + HearingTime)
    return false;
  for (const auto &[Host, Entry] : T.S.Entries) {
    if (T.Now < Entry.Heard + EntrySilence && Entry.Config < Number)
      return false;
  }
  return true;
}

/// For how long an operator waits until all entry hosts have the configuration
/// in force: a large one for many hosts takes the leader's link for a while.
Duration inForceTime(const ControlHost &S) {
  auto Bytes = static_cast<double>(S.Newest.Text.Data.size()) *
               static_cast<double>(S.Entries.size());
  return std::min(InForceTime + fromSeconds(Bytes / SpreadBytesPerSecond),
                  LongestInForceTime);
}

/// Zero while the operator has to wait, else the status of the answer.
int statusOf(const ControlTurn &T, const PendingRouting &Put) {
  constexpr int Accepted = 200;
  constexpr int Unknown = 503;
  if (Put.Committed != TimePoint()) {
    TimePoint Since = Put.Number == T.S.Newest.Number
                          ? std::max(T.S.NewestAt, T.S.LeadsSince)
                          : Put.Committed;
    bool Due = isInForce(T, Put.Number) || T.Now >= Since + inForceTime(T.S);
    return Due ? Accepted : 0;
  }
  return T.Now >= Put.Asked + ProposalTime ? Unknown : 0;
}

} // namespace

bool isLeader(const ControlHost &S, TimePoint Now) {
  return holdsLease(S.Log, Now) && S.Log.Applied >= S.Log.TermStart;
}

bool isCurrent(const ControlHost &S, TimePoint Now) {
  if (role(S.Log) == ReplicaRole::Leader)
    return isLeader(S, Now);
  return S.Log.Halted == Code::Ok && !leader(S.Log).empty() &&
         Now < S.Log.LastContact + LeaderSilence &&
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
  S.Newest = valueOr<StoredRouting>(
      [&] { return wire::fromBytes<StoredRouting>(*Base, StoredLimits); },
      StoredRouting(), Why);
}

void tickLog(ControlTurn &T) {
  if (T.Now < nextTick(T.S.Log))
    return;
  setContacts(T.S.Log, livingControls(T.S, T.Now));
  ReplicaEffects E;
  tick(T.S.Log, T.Now, E);
  take(T, std::move(E));
  maintainVoters(T);
}

void logMessage(ControlTurn &T, const HostId &From, const Message &M) {
  if (replicaHeader(M) == nullptr) {
    count(T, "pimento_unexpected_messages_total");
    return;
  }
  ReplicaEffects E;
  receive(T.S.Log, From, M, T.Now, E);
  take(T, std::move(E));
}

void logWritten(ControlTurn &T, std::uint64_t Ticket) {
  ReplicaEffects E;
  diskWritten(T.S.Log, Ticket, T.Now, E);
  take(T, std::move(E));
  settlePuts(T);
}

void logFailed(ControlTurn &T, const DiskFailed &E) {
  ReplicaEffects Out;
  diskFailed(T.S.Log, E.Reason, E.Detail, Out);
  take(T, std::move(Out));
}

void flushLog(ControlTurn &T) {
  ReplicaEffects E;
  flush(T.S.Log, T.Now, E);
  take(T, std::move(E));
  bool Leads = isLeader(T.S, T.Now);
  if (Leads == T.S.WasLeader)
    return;
  T.S.WasLeader = Leads;
  T.S.LeadsSince = T.Now;
  T.S.NewsDue = true;
  DecisionRecord Record{Leads ? "leads" : "leads_no_more", {}, "", {}};
  Record.add("term", static_cast<std::int64_t>(term(T.S.Log)));
  Record.add("leader", leader(T.S.Log).Value);
  log(T, std::move(Record));
}

void proposeRouting(ControlTurn &T, ExchangeId Exchange, std::uint64_t Number,
                    const std::string &Text) {
  StoredRouting Stored;
  Stored.Number = Number;
  Stored.Text.Data = Text;
  std::optional<Proposal> At = propose(T.S.Log, Blob{wire::toBytes(Stored)});
  if (!At) {
    refuse(T, Exchange, Code::NoLeader, "the log takes nothing now");
    return;
  }
  T.S.HighestProposed = std::max(T.S.HighestProposed, Number);
  PendingRouting Put;
  Put.Exchange = Exchange;
  Put.Number = Number;
  Put.Index = At->Index;
  Put.Term = At->Term;
  Put.Asked = T.Now;
  T.S.Puts.push_back(Put);
}

void handLeadershipOver(ControlTurn &T) {
  ReplicaEffects E;
  transferLeadership(T.S.Log, HostId(), T.Now, E);
  take(T, std::move(E));
}

void settlePuts(ControlTurn &T) {
  auto Settle = [&](const PendingRouting &Put) {
    int Status = statusOf(T, Put);
    if (Status == 0)
      return false;
    DecisionRecord Record{"routing_answered", {}, "", {}};
    Record.add("number", static_cast<std::int64_t>(Put.Number));
    Record.add("status", static_cast<std::int64_t>(Status));
    Record.add("waited_ms", toMilliseconds(T.Now - Put.Asked));
    log(T, std::move(Record));
    constexpr int Accepted = 200;
    if (Status == Accepted)
      reply(T, Put.Exchange, jsonReply(Accepted, "{}"));
    else
      refuse(T, Put.Exchange, Code::EditUnknown,
             "no majority answered in time");
    return true;
  };
  auto &Puts = T.S.Puts;
  Puts.erase(std::remove_if(Puts.begin(), Puts.end(), Settle), Puts.end());
}

} // namespace pimento::control
