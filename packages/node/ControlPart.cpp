// The replicated logs of a voter: leadership, disk writes, applied entries, and
// messages for the leader.

#include "node/ControlSnapshot.h"
#include "node/Turn.h"

#include <algorithm>

namespace pimento::node {

namespace {

ReplicaConfig replicaConfig(const NodeStart &Start, GroupId Group) {
  const ControlSettings &C = Start.Config.Control;
  ReplicaConfig R;
  R.Group = Group;
  R.Self = Start.Config.Host.Name;
  R.Incarnation = Start.DiskIncarnation;
  R.Start = Start.Start;
  R.Seed = Start.Seed + 16 + Group;
  R.HeartbeatInterval = C.HeartbeatInterval;
  R.ElectionTimeout = C.ElectionTimeout;
  R.ClockDriftPerMille = C.ClockDriftPerMille;
  R.SnapshotEntries = C.SnapshotEntries;
  for (const PeerSettings &Peer : Start.Config.Peers) {
    if (Peer.Voter)
      R.FormationVoters.push_back(Peer.Name);
  }
  return R;
}

void executeClaimEffects(Turn &T, GroupId Group, calls::ClaimEffects Out);

/// Proposes an entry of a claim partition and remembers its ticket.
void proposeClaims(Turn &T, GroupId Group, calls::ProposeClaims E) {
  ClaimPartition &Partition = T.S.Control.Claims[Group];
  auto At = propose(T.S.Control.Logs.at(Group), std::move(E.Entry));
  if (At)
    Partition.Tickets[At->Index] = E.Ticket;
  else
    stopLeading(Partition.Leader); // Entry hosts resend to the new leader.
}

void executeClaimEffects(Turn &T, GroupId Group, calls::ClaimEffects Out) {
  logAll(T, std::move(Out.Decisions));
  recordAll(T, std::move(Out.Samples));
  for (calls::ClaimEffect &E : Out.List) {
    if (auto *P = std::get_if<calls::ProposeClaims>(&E))
      proposeClaims(T, Group, std::move(*P));
    else if (auto *R = std::get_if<calls::SendClaimReply>(&E))
      send(T, R->To, std::move(R->Content));
    else if (auto *A = std::get_if<calls::SendClaimAck>(&E))
      send(T, A->To, A->Content);
  }
}

void applyClaimEntry(Turn &T, GroupId Group, const LogEntry &Entry) {
  ClaimPartition &Partition = T.S.Control.Claims[Group];
  std::vector<calls::ClaimChange> Changes =
      applyClaims(Partition.Applied, Entry.Payload);
  auto Found = Partition.Tickets.find(Entry.Index);
  std::uint64_t Ticket = 0;
  if (Found != Partition.Tickets.end()) {
    Ticket = Found->second;
    Partition.Tickets.erase(Found);
  }
  if (!Partition.Leader.Leading)
    return;
  calls::ClaimEffects Out;
  onClaimsApplied(Partition.Leader, Partition.Applied, Ticket, Changes, T.Now,
                  Out);
  executeClaimEffects(T, Group, std::move(Out));
}

void installSnapshot(Turn &T, GroupId Group, const Snapshot &Base) {
  Failure Why;
  if (Group == ControlGroup) {
    ControlSnapshot Read = valueOr<ControlSnapshot>(
        [&] { return decodeControlSnapshot(*Base.Data); },
        ControlSnapshot{T.S.Control.Documents, T.S.Control.Orders}, Why);
    T.S.Control.Documents = std::move(Read.Documents);
    T.S.Control.Orders = std::move(Read.Orders);
  } else {
    calls::ClaimsState &Applied = T.S.Control.Claims[Group].Applied;
    Applied = valueOr<calls::ClaimsState>(
        [&] { return decodeClaims(Blob{*Base.Data}, Applied.Limits); }, Applied,
        Why);
  }
  if (!Why.Detail.empty())
    T.Out.push_back(LogDecision{{"snapshot_unreadable", {}, Why.Detail, {}}});
}

std::string takeSnapshot(const NodeState &S, GroupId Group) {
  if (Group == ControlGroup)
    return encodeControlSnapshot(S.Control.Documents, S.Control.Orders);
  return encodeClaims(S.Control.Claims.at(Group).Applied).Data;
}

void executeReplicaEffects(Turn &T, GroupId Group, ReplicaEffects E) {
  sendAll(T, std::move(E.Messages));
  logAll(T, std::move(E.Decisions));
  for (DiskWrite &Write : E.Writes)
    T.Out.push_back(WriteDisk{std::move(Write)});
  if (E.Install)
    installSnapshot(T, Group, *E.Install);
  for (const LogEntry &Entry : E.Committed) {
    if (Entry.Kind != EntryKind::Command)
      continue;
    if (Group == ControlGroup)
      applyControl(T, Entry);
    else
      applyClaimEntry(T, Group, Entry);
  }
  for (const LostRange &Lost : E.Lost) {
    if (Group == ControlGroup)
      answerLostEdits(T, Lost);
  }
  if (Group == ControlGroup && (E.Install || !E.Committed.empty())) {
    SpreadOutputs Out;
    onStored(T.S.Spread, T.S.Control.Documents, T.Now, Out);
    executeSpreadOutputs(T, std::move(Out));
  }
  if (!E.WantSnapshot)
    return;
  ReplicaState &Log = T.S.Control.Logs.at(Group);
  ReplicaEffects More;
  snapshotTaken(Log, Log.Applied, takeSnapshot(T.S, Group), T.Now, More);
  executeReplicaEffects(T, Group, std::move(More));
}

/// Starts and stops leadership in the document and claim packages. A claim
/// leader starts only once it has applied all entries committed before its
/// term.
void updateLeadership(Turn &T) {
  ControlState &C = T.S.Control;
  for (auto &[Group, Log] : C.Logs) {
    bool Leads = holdsLease(Log, T.Now) && Log.Applied >= Log.TermStart;
    if (Group == ControlGroup) {
      SpreadOutputs Out;
      onLeadership(T.S.Spread, Leads ? term(Log) : 0,
                   Leads ? leaseEnd(Log) : T.Now, T.Now, Out);
      executeSpreadOutputs(T, std::move(Out));
      continue;
    }
    ClaimPartition &Partition = C.Claims[Group];
    if (Leads && !Partition.Leader.Leading) {
      Partition.Tickets.clear();
      becomeLeader(Partition.Leader, Partition.Applied, T.Now);
    }
    if (role(Log) != ReplicaRole::Leader && Partition.Leader.Leading)
      stopLeading(Partition.Leader);
  }
}

void tickPartitions(Turn &T) {
  for (auto &[Group, Partition] : T.S.Control.Claims) {
    if (!Partition.Leader.Leading || T.Now < nextClaimWakeup(Partition.Leader))
      continue;
    calls::ClaimEffects Out;
    tickClaims(Partition.Leader, Partition.Applied, T.Now, Out);
    executeClaimEffects(T, Group, std::move(Out));
  }
}

/// Whether this host leads the group. Otherwise forwards the message to the
/// leader, unless it was forwarded before.
bool leadsOrForwards(Turn &T, GroupId Group, const HostId &From,
                     const Message &M, bool MayForward) {
  auto Log = T.S.Control.Logs.find(Group);
  if (Log == T.S.Control.Logs.end())
    return false;
  if (role(Log->second) == ReplicaRole::Leader)
    return true;
  HostId Leader = leader(Log->second);
  if (MayForward && !Leader.empty() && Leader != T.S.Self)
    send(T, Leader, Forwarded{From, Blob{encode(M)}});
  return false;
}

/// Messages to the leader of a replicated log.
struct ToLeader {
  Turn &T;
  const HostId &From;
  const Message &Original;
  bool MayForward;

  bool operator()(const PutDocument &M) const {
    if (leadsOrForwards(T, ControlGroup, From, Original, MayForward))
      onPutDocument(T, From, M);
    return true;
  }
  bool operator()(const DemandReport &M) const {
    if (leadsOrForwards(T, ControlGroup, From, Original, MayForward))
      onDemandReport(T, M);
    return true;
  }
  bool operator()(const ClaimRequest &M) const {
    claim(M.Key, [&](ClaimPartition &P, calls::ClaimEffects &Out) {
      onClaimRequest(P.Leader, P.Applied, From, M, T.Now, Out);
    });
    return true;
  }
  bool operator()(const ClaimResult &M) const {
    claim(M.Key, [&](ClaimPartition &P, calls::ClaimEffects &Out) {
      onClaimResult(P.Leader, P.Applied, From, M, T.Now, Out);
    });
    return true;
  }
  template <class Other> bool operator()(const Other &) const { return false; }

  template <class F> void claim(const ClaimKey &Key, F Function) const {
    GroupId Group = claimGroup(T.S, Key);
    if (!leadsOrForwards(T, Group, From, Original, MayForward))
      return;
    ClaimPartition &Partition = T.S.Control.Claims[Group];
    if (!Partition.Leader.Leading)
      return; // No lease yet; the entry host resends the request.
    calls::ClaimEffects Out;
    Function(Partition, Out);
    executeClaimEffects(T, Group, std::move(Out));
  }
};

bool forwardedMessage(Turn &T, const Forwarded &M) {
  Failure Why;
  Message Inner =
      valueOr<Message>([&] { return decode(M.Frame.Data); }, Message(), Why);
  if (Why.Detail.empty())
    std::visit(ToLeader{T, M.Origin, Inner, false}, Inner);
  return true;
}

bool replicaMessage(Turn &T, const HostId &From, const Message &M) {
  const ReplicaHeader *Header = replicaHeader(M);
  if (!Header)
    return false;
  auto Log = T.S.Control.Logs.find(Header->Group);
  if (Log == T.S.Control.Logs.end())
    return true;
  ReplicaEffects E;
  receive(Log->second, From, M, T.Now, E);
  executeReplicaEffects(T, Header->Group, std::move(E));
  return true;
}

std::vector<HostId> voters(const NodeState &S) {
  std::vector<HostId> Hosts;
  for (const PeerSettings &Peer : S.Config.Peers) {
    if (Peer.Voter)
      Hosts.push_back(Peer.Name);
  }
  return Hosts;
}

} // namespace

GroupId claimGroup(const NodeState &S, const ClaimKey &Key) {
  auto Partitions =
      static_cast<std::uint32_t>(S.Config.Control.ClaimPartitions);
  return 1 + calls::claimPartition(Key.Service, Key.Account, Partitions);
}

void startControl(NodeState &S, const NodeStart &Start, TimePoint Now) {
  if (Start.DiskIncarnation == 0)
    return;
  auto Groups = static_cast<GroupId>(1 + Start.Config.Control.ClaimPartitions);
  for (GroupId Group = 0; Group < Groups; ++Group) {
    auto Found = Start.Found.find(Group);
    Recovered Known = Found == Start.Found.end() ? Recovered() : Found->second;
    S.Control.Logs.emplace(
        Group, startReplica(replicaConfig(Start, Group), Known, Now));
    if (Group != ControlGroup)
      S.Control.Claims.emplace(Group, ClaimPartition());
  }
}

void tickControl(Turn &T) {
  for (auto &[Group, Log] : T.S.Control.Logs) {
    if (T.Now < nextTick(Log))
      continue;
    ReplicaEffects E;
    tick(Log, T.Now, E);
    executeReplicaEffects(T, Group, std::move(E));
  }
  updateLeadership(T);
  tickPartitions(T);
  planCellTable(T);
}

bool controlMessage(Turn &T, const HostId &From, const Message &M) {
  if (const auto *F = std::get_if<Forwarded>(&M))
    return forwardedMessage(T, *F);
  if (const auto *R = std::get_if<HistoryRequest>(&M))
    return historyRequested(T, From, *R);
  if (replicaMessage(T, From, M)) {
    updateLeadership(T);
    return true;
  }
  return std::visit(ToLeader{T, From, M, true}, M);
}

void diskWritten(Turn &T, const DiskWritten &E) {
  ReplicaEffects Out;
  diskWritten(T.S.Control.Logs.at(E.Group), E.Ticket, T.Now, Out);
  executeReplicaEffects(T, E.Group, std::move(Out));
}

void diskFailed(Turn &T, const DiskFailed &E) {
  for (auto &[Group, Log] : T.S.Control.Logs) {
    ReplicaEffects Out;
    diskFailed(Log, E.Reason, E.Detail, Out);
    executeReplicaEffects(T, Group, std::move(Out));
  }
}

void sendToLeader(Turn &T, GroupId Group, Message M) {
  auto Log = T.S.Control.Logs.find(Group);
  if (Log != T.S.Control.Logs.end()) {
    HostId Leader = leader(Log->second);
    if (!Leader.empty()) {
      send(T, Leader, std::move(M));
      return;
    }
  }
  std::vector<HostId> Voters = voters(T.S);
  std::size_t &Next = T.S.Control.NextVoter[Group];
  for (std::size_t I = 0; I < Voters.size(); ++I) {
    const HostId &Voter = Voters[(Next + I) % Voters.size()];
    if (Voter == T.S.Self || !isAlive(T.S.Members, Voter))
      continue;
    // Rotates, so that the next message avoids a voter that does not respond.
    Next = (Next + I + 1) % Voters.size();
    send(T, Voter, std::move(M));
    return;
  }
}

void flushControl(Turn &T) {
  for (auto &[Group, Log] : T.S.Control.Logs) {
    ReplicaEffects E;
    flush(Log, T.Now, E);
    executeReplicaEffects(T, Group, std::move(E));
  }
}

void handOverLeadership(Turn &T) {
  for (auto &[Group, Log] : T.S.Control.Logs) {
    ReplicaEffects E;
    transferLeadership(Log, HostId(), T.Now, E);
    executeReplicaEffects(T, Group, std::move(E));
  }
}

} // namespace pimento::node
