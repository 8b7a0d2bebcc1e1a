#include "replica/Internal.h"

#include <algorithm>

namespace pimento::replica {

ReplicaHeader header(const ReplicaState &S,
                     IncarnationNumber TargetIncarnation) {
  ReplicaHeader H;
  H.Group = S.Config.Group;
  H.Incarnation = S.Config.Incarnation;
  H.Start = S.Config.Start;
  H.LogId = members(S).LogId;
  H.Term = S.Hard.Term;
  H.TargetIncarnation = TargetIncarnation;
  return H;
}

void send(ReplicaEffects &E, const HostId &To, Message M) {
  E.Messages.push_back({To, std::move(M)});
}

void reportLost(ReplicaState &S, ReplicaEffects &E) {
  std::uint64_t First = std::max(S.Commit + 1, S.TermStart);
  if (First <= lastIndex(S))
    E.Lost.push_back({First, lastIndex(S), S.Hard.Term});
}

void halt(ReplicaState &S, Code Reason, std::string Detail, ReplicaEffects &E) {
  if (S.Halted != Code::Ok)
    return;
  decide(S, E, "halt", Detail).add("code", std::string(toString(Reason)));
  if (S.Role == ReplicaRole::Leader)
    reportLost(S, E);
  S.Halted = Reason;
  S.HaltReason = std::move(Detail);
  S.Role = ReplicaRole::Follower;
  S.LeaderHost = HostId();
  S.Progress.clear();
  S.HeldMessages.clear();
}

namespace {

void tickLeader(ReplicaState &S, TimePoint Now, ReplicaEffects &E) {
  TimePoint Confirmed = std::max(confirmedByMajority(S), S.LeadingSince);
  if (Confirmed != TimePoint::max() &&
      Now >= Confirmed + S.Config.ElectionTimeout) {
    becomeFollower(S, S.Hard.Term, Now, "no majority answers", E);
    return;
  }
  if (!S.TransferTo.empty() && Now >= S.TransferDeadline) {
    if (S.LeaseCeded) {
      becomeFollower(S, S.Hard.Term, Now, "the leadership transfer timed out",
                     E);
      return;
    }
    S.TransferTo = HostId();
  }
  maintainMembers(S, Now, E);
  if (Now < S.NextHeartbeat)
    return;
  S.NextHeartbeat = Now + S.Config.HeartbeatInterval;
  replicateAll(S, /*Heartbeat=*/true, Now, E);
}

void tickElection(ReplicaState &S, TimePoint Now, ReplicaEffects &E) {
  if (Now < S.ElectionDeadline)
    return;
  if (S.Role == ReplicaRole::Forming)
    S.Role = ReplicaRole::Follower;
  if (!S.Admitted || !isSelfVoter(S)) {
    resetElectionTimer(S, Now);
    return;
  }
  startPreVote(S, Now, E);
}

void tickSnapshot(ReplicaState &S, TimePoint Now, ReplicaEffects &E) {
  Duration Interval = S.Config.SnapshotInterval;
  if (S.SnapshotWanted || Interval == Duration::zero() ||
      S.Applied <= S.Base.Index || Now < S.SnapshotAt + Interval)
    return;
  S.SnapshotWanted = true;
  E.WantSnapshot = true;
}

struct Receiver {
  ReplicaState &S;
  const HostId &From;
  TimePoint Now;
  ReplicaEffects &E;

  void operator()(const ReplicaProbe &M) { onProbe(S, From, M, Now, E); }
  void operator()(const ReplicaProbeReply &M) {
    onProbeReply(S, From, M, Now, E);
  }
  void operator()(const VoteRequest &M) { onVoteRequest(S, From, M, Now, E); }
  void operator()(const VoteReply &M) { onVoteReply(S, From, M, Now, E); }
  void operator()(const AppendRequest &M) {
    onAppendRequest(S, From, M, Now, E);
  }
  void operator()(const AppendReply &M) { onAppendReply(S, From, M, Now, E); }
  void operator()(const SnapshotChunk &M) {
    onSnapshotChunk(S, From, M, Now, E);
  }
  void operator()(const SnapshotReply &M) {
    onSnapshotReply(S, From, M, Now, E);
  }
  void operator()(const TimeoutNow &M) { onTimeoutNow(S, From, M, Now, E); }
  template <class Other> void operator()(const Other & /*M*/) {}
};

struct HeaderOf {
  template <class M> const ReplicaHeader *operator()(const M &Content) const {
    if constexpr (M::WireType > 100 && M::WireType < 200)
      return &Content.Header;
    else
      return nullptr;
  }
};

/// Highest term accepted in a message. No replica reaches it; a corrupted
/// higher value would overflow when terms are incremented.
constexpr std::uint64_t MaxTerm = 1ULL << 60U;

/// Whether the message comes from another host, is for the group and the disk
/// of this replica, and has a valid term.
bool isAddressedToSelf(const ReplicaState &S, const HostId &From,
                       const Message &M) {
  const ReplicaHeader *H = replicaHeader(M);
  if (H == nullptr || H->Group != S.Config.Group || H->Incarnation == 0 ||
      From == S.Config.Self)
    return false;
  const auto *Vote = std::get_if<VoteRequest>(&M);
  if (H->Term > MaxTerm || (Vote != nullptr && Vote->VoteTerm > MaxTerm))
    return false;
  return H->TargetIncarnation == 0 ||
         H->TargetIncarnation == S.Config.Incarnation;
}

bool isProbeMessage(const Message &M) {
  return std::holds_alternative<ReplicaProbe>(M) ||
         std::holds_alternative<ReplicaProbeReply>(M);
}

} // namespace

} // namespace pimento::replica

namespace pimento {

ReplicaState startReplica(const ReplicaConfig &Config, Recovered Found,
                          TimePoint Now) {
  ReplicaState S;
  S.Config = Config;
  std::sort(S.Config.FormationVoters.begin(), S.Config.FormationVoters.end());
  S.Rng.seed(Config.Seed);
  S.Hard = std::move(Found.Hard);
  S.Base = std::move(Found.Base);
  if (!S.Base.Data)
    S.Base.Data = std::make_shared<const std::string>();
  S.History.push_back({S.Base.Index, S.Base.Voters});
  for (LogEntry &Entry : Found.Entries)
    replica::append(S, std::move(Entry));
  S.DirtyFrom = 0;
  S.Synced = replica::lastIndex(S);
  S.Commit = S.Base.Index;
  S.Applied = S.Base.Index;
  // Entries may be synced although the term in which they arrived is not.
  if (replica::lastTerm(S) > S.Hard.Term) {
    S.Hard.Term = replica::lastTerm(S);
    S.Hard.VotedFor = HostId();
    S.Hard.VotedIncarnation = 0;
    S.HardDirty = true;
  }
  // A vote promise given before the restart still holds.
  S.LastContact = Now;
  S.SnapshotAt = Now;
  S.NextProbe = Now;
  replica::resetElectionTimer(S, Now);
  bool Alone = replica::majority(members(S)) == 1 && replica::isSelfVoter(S);
  S.Admitted = replica::isEmpty(S) || Alone;
  return S;
}

TimePoint nextTick(const ReplicaState &S) {
  if (S.Halted != Code::Ok)
    return TimePoint::max();
  if (S.Role == ReplicaRole::Leader) {
    TimePoint Next = S.NextHeartbeat;
    return S.TransferTo.empty() ? Next : std::min(Next, S.TransferDeadline);
  }
  // Whether probes are needed can change with time alone, so wake up at each
  // probe interval.
  return std::min(S.ElectionDeadline, std::max(S.NextProbe, S.LastContact));
}

void tick(ReplicaState &S, TimePoint Now, ReplicaEffects &E) {
  if (S.Halted != Code::Ok)
    return;
  if (Now >= S.NextProbe) {
    if (replica::wantsProbe(S, Now))
      replica::sendProbes(S, Now, E);
    S.NextProbe = Now + S.Config.ProbeInterval;
  }
  replica::continueStart(S, Now, E);
  replica::tickSnapshot(S, Now, E);
  if (S.Role == ReplicaRole::Leader)
    replica::tickLeader(S, Now, E);
  else
    replica::tickElection(S, Now, E);
  flush(S, Now, E);
}

const ReplicaHeader *replicaHeader(const Message &M) {
  return std::visit(replica::HeaderOf(), M);
}

void onLinkLost(ReplicaState &S, const HostId &Host) {
  if (S.Role != ReplicaRole::Follower || Host != S.LeaderHost)
    return;
  // A quarter of the timeout is jitter, against split votes.
  constexpr int JitterDivisor = 4;
  Duration Low = S.Config.ElectionTimeout;
  TimePoint Earliest = S.LastContact + Low +
                       between(S.Rng, Duration::zero(), Low / JitterDivisor);
  S.ElectionDeadline = std::min(S.ElectionDeadline, Earliest);
}

void receive(ReplicaState &S, const HostId &From, const Message &M,
             TimePoint Now, ReplicaEffects &E) {
  if (S.Halted != Code::Ok || !replica::isAddressedToSelf(S, From, M))
    return;
  if (!replica::isProbeMessage(M) &&
      !replica::checkSender(S, From, *replicaHeader(M), E))
    return;
  std::visit(replica::Receiver{S, From, Now, E}, M);
  flush(S, Now, E);
}

void diskWritten(ReplicaState &S, std::uint64_t Ticket, TimePoint Now,
                 ReplicaEffects &E) {
  if (S.Halted != Code::Ok || Ticket == 0 || Ticket != S.InFlight.Ticket)
    return;
  S.Synced = std::max(S.Synced, S.InFlight.LastIndex);
  S.InFlight = WriteInFlight();
  replica::releaseHeld(S, Ticket, E);
  bool IsCandidate =
      S.Role == ReplicaRole::Candidate || S.Role == ReplicaRole::Forming;
  if (IsCandidate && Ticket >= S.VoteTicket) {
    replica::addVote(S, S.Config.Self, S.Config.Incarnation);
    replica::countVotes(S, Now, E);
  }
  if (S.Role == ReplicaRole::Leader)
    replica::advanceCommit(S, Now, E);
  if (S.Role == ReplicaRole::Leader)
    replica::continueTransfer(S, Now, E);
  flush(S, Now, E);
}

void diskFailed(ReplicaState &S, Code Reason, std::string Detail,
                ReplicaEffects &E) {
  replica::halt(S, Reason, std::move(Detail), E);
}

void snapshotTaken(ReplicaState &S, std::uint64_t Index, std::string Data,
                   TimePoint Now, ReplicaEffects &E) {
  if (S.Halted != Code::Ok)
    return;
  S.SnapshotWanted = false;
  S.SnapshotAt = Now;
  if (Index <= S.Base.Index || Index > S.Applied)
    return;
  Snapshot New;
  New.Index = Index;
  New.Term = replica::termAt(S, Index).value_or(0);
  New.Voters = replica::membersAt(S, Index);
  New.Data = std::make_shared<const std::string>(std::move(Data));
  replica::rebase(S, std::move(New), S.Config.SnapshotEntries / 4);
  flush(S, Now, E);
}

std::optional<Proposal> propose(ReplicaState &S, Blob Command) {
  if (S.Role != ReplicaRole::Leader || S.Halted != Code::Ok ||
      !S.TransferTo.empty() || Command.Data.size() > S.Config.CommandBytes)
    return std::nullopt;
  std::uint64_t Index = replica::lastIndex(S) + 1;
  if (Index - S.Commit > S.Config.PendingEntries ||
      S.PendingBytes + Command.Data.size() > S.Config.PendingBytes)
    return std::nullopt;
  S.PendingBytes += Command.Data.size();
  LogEntry Entry;
  Entry.Index = Index;
  Entry.Term = S.Hard.Term;
  Entry.Kind = EntryKind::Command;
  Entry.Payload = std::move(Command);
  replica::append(S, std::move(Entry));
  return Proposal{Index, S.Hard.Term};
}

void flush(ReplicaState &S, TimePoint Now, ReplicaEffects &E) {
  if (S.Halted != Code::Ok)
    return;
  if (S.Role == ReplicaRole::Leader)
    replica::replicateAll(S, /*Heartbeat=*/false, Now, E);
  replica::startWrite(S, E);
}

} // namespace pimento
