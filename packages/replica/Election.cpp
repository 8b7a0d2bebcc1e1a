#include "replica/Internal.h"

#include <algorithm>

namespace pimento::replica {

namespace {

/// Whether a vote promise of this replica to a leader holds.
bool hasPromised(const ReplicaState &S, TimePoint Now) {
  return S.Role == ReplicaRole::Leader ||
         Now < S.LastContact + S.Config.ElectionTimeout;
}

bool isUpToDate(const ReplicaState &S, const VoteRequest &M) {
  if (M.LastTerm != lastTerm(S))
    return M.LastTerm > lastTerm(S);
  return M.LastIndex >= lastIndex(S);
}

bool mayVoteFor(const ReplicaState &S, const HostId &Host,
                IncarnationNumber Incarnation) {
  if (S.Hard.VotedFor.empty())
    return true;
  return S.Hard.VotedFor == Host && S.Hard.VotedIncarnation == Incarnation;
}

void adoptTerm(ReplicaState &S, std::uint64_t Term) {
  S.Hard.Term = Term;
  S.Hard.VotedFor = HostId();
  S.Hard.VotedIncarnation = 0;
  S.LeaderHost = HostId();
  S.HardDirty = true;
}

void voteFor(ReplicaState &S, const HostId &Host,
             IncarnationNumber Incarnation) {
  S.Hard.VotedFor = Host;
  S.Hard.VotedIncarnation = Incarnation;
  S.HardDirty = true;
}

VoteRequest voteRequest(const ReplicaState &S, VoteKind Kind) {
  VoteRequest M;
  M.Header = header(S);
  M.Kind = Kind;
  M.VoteTerm = S.Hard.Term + (Kind == VoteKind::Pre ? 1 : 0);
  M.LastIndex = lastIndex(S);
  M.LastTerm = lastTerm(S);
  return M;
}

void sendToVoters(ReplicaState &S, std::uint64_t Ticket, VoteRequest M,
                  ReplicaEffects &E) {
  for (const Member &Who : members(S).Members) {
    if (Who.Learner || Who.Host == S.Config.Self)
      continue;
    M.Header.TargetIncarnation = Who.Incarnation;
    sendAfter(S, Ticket, Who.Host, M, E);
  }
}

void becomeLeader(ReplicaState &S, TimePoint Now, ReplicaEffects &E) {
  bool IsFormation = S.Role == ReplicaRole::Forming;
  S.Role = ReplicaRole::Leader;
  S.HadLeader = true;
  S.LeaderHost = S.Config.Self;
  S.LeadingSince = Now;
  S.NextHeartbeat = Now;
  S.LeaseCeded = false;
  S.TransferTo = HostId();
  S.TermStart = lastIndex(S) + 1;
  S.PendingBytes = 0;
  S.Progress.clear();
  LogEntry First;
  First.Index = S.TermStart;
  First.Term = S.Hard.Term;
  if (IsFormation) {
    VoterSet Voters;
    Voters.LogId = S.Rng() | 1U;
    Voters.Members = S.VotesGranted;
    std::sort(Voters.Members.begin(), Voters.Members.end(),
              [](const Member &A, const Member &B) { return A.Host < B.Host; });
    First.Kind = EntryKind::Voters;
    First.Payload.Data = encodeVoters(Voters);
  }
  append(S, std::move(First));
  updateProgress(S, Now);
  decide(S, E, "lead", IsFormation ? "formed the log" : "won the election")
      .add("votes", static_cast<std::int64_t>(S.VotesGranted.size()))
      .add("index", static_cast<std::int64_t>(S.TermStart));
}

std::size_t countedVotes(const ReplicaState &S) {
  std::size_t Count = 0;
  for (const Member &Who : S.VotesGranted)
    Count += isVoter(members(S), Who.Host, Who.Incarnation) ? 1 : 0;
  return Count;
}

bool hasAllFormationVotes(const ReplicaState &S) {
  for (const HostId &Host : S.Config.FormationVoters) {
    auto IsVoteOfHost = [&](const Member &Who) { return Who.Host == Host; };
    if (std::count_if(S.VotesGranted.begin(), S.VotesGranted.end(),
                      IsVoteOfHost) != 1)
      return false;
  }
  return true;
}

} // namespace

void addVote(ReplicaState &S, const HostId &Host,
             IncarnationNumber Incarnation) {
  Member Voter{Host, Incarnation, false};
  if (std::find(S.VotesGranted.begin(), S.VotesGranted.end(), Voter) ==
      S.VotesGranted.end())
    S.VotesGranted.push_back(Voter);
}

void resetElectionTimer(ReplicaState &S, TimePoint Now) {
  Duration MinTimeout = S.Config.ElectionTimeout;
  S.ElectionDeadline = Now + between(S.Rng, MinTimeout, 2 * MinTimeout);
}

void becomeFollower(ReplicaState &S, std::uint64_t Term, TimePoint Now,
                    const char *Reason, ReplicaEffects &E) {
  bool WasLeader = S.Role == ReplicaRole::Leader;
  if (WasLeader) {
    decide(S, E, "step_down", Reason)
        .add("new_term", static_cast<std::int64_t>(Term));
    reportLost(S, E);
    S.Progress.clear();
    S.TransferTo = HostId();
    S.LeaderHost = HostId();
    resetElectionTimer(S, Now);
  }
  if (Term > S.Hard.Term)
    adoptTerm(S, Term);
  S.Role = ReplicaRole::Follower;
  S.VotesGranted.clear();
}

void onLeaderContact(ReplicaState &S, const HostId &From, TimePoint Now,
                     ReplicaEffects &E) {
  if (S.LeaderHost != From)
    decide(S, E, "follow", "heard a leader of this term")
        .add("leader", From.Value);
  S.LeaderHost = From;
  S.LastContact = Now;
  S.HadLeader = true;
  resetElectionTimer(S, Now);
}

void startPreVote(ReplicaState &S, TimePoint Now, ReplicaEffects &E) {
  S.Role = ReplicaRole::PreCandidate;
  S.LeaderHost = HostId();
  S.VotesGranted.clear();
  addVote(S, S.Config.Self, S.Config.Incarnation);
  // The other voters' promises to the leader may expire a little later, so
  // retry soon.
  Duration Retry = S.Config.HeartbeatInterval;
  S.ElectionDeadline = Now + between(S.Rng, Retry, 2 * Retry);
  sendToVoters(S, 0, voteRequest(S, VoteKind::Pre), E);
  countVotes(S, Now, E);
}

void startElection(ReplicaState &S, bool Transfer, TimePoint Now,
                   ReplicaEffects &E) {
  adoptTerm(S, S.Hard.Term + 1);
  voteFor(S, S.Config.Self, S.Config.Incarnation);
  S.Role = ReplicaRole::Candidate;
  S.VotesGranted.clear();
  S.VoteTicket = ticketForAll(S);
  Duration Limit = S.Config.ElectionTimeout;
  S.ElectionDeadline = Now + between(S.Rng, Limit / 2, Limit);
  VoteRequest M = voteRequest(S, VoteKind::Election);
  M.Transfer = Transfer;
  sendToVoters(S, S.VoteTicket, M, E);
  decide(S, E, "stand",
         Transfer ? "the leader transfers its leadership" : "no leader")
      .add("last_index", static_cast<std::int64_t>(lastIndex(S)));
}

void startFormation(ReplicaState &S, std::uint64_t Term, TimePoint Now,
                    ReplicaEffects &E) {
  adoptTerm(S, Term);
  voteFor(S, S.Config.Self, S.Config.Incarnation);
  S.Role = ReplicaRole::Forming;
  S.VotesGranted.clear();
  S.VoteTicket = ticketForAll(S);
  Duration Limit = S.Config.ElectionTimeout;
  S.ElectionDeadline = Now + between(S.Rng, Limit / 2, Limit);
  VoteRequest M = voteRequest(S, VoteKind::Formation);
  for (const HostId &Host : S.Config.FormationVoters) {
    if (Host != S.Config.Self)
      sendAfter(S, S.VoteTicket, Host, M, E);
  }
  decide(S, E, "form", "the disk of every configured voter is empty");
}

void countVotes(ReplicaState &S, TimePoint Now, ReplicaEffects &E) {
  if (S.Role == ReplicaRole::PreCandidate) {
    if (countedVotes(S) >= majority(members(S)))
      startElection(S, /*Transfer=*/false, Now, E);
  } else if (S.Role == ReplicaRole::Candidate) {
    if (countedVotes(S) >= majority(members(S)))
      becomeLeader(S, Now, E);
  } else if (S.Role == ReplicaRole::Forming) {
    if (hasAllFormationVotes(S))
      becomeLeader(S, Now, E);
  }
}

namespace {

VoteReply voteReply(const ReplicaState &S, const VoteRequest &M, bool Granted) {
  VoteReply Reply;
  Reply.Header = header(S);
  Reply.Kind = M.Kind;
  Reply.VoteTerm = M.VoteTerm;
  Reply.Granted = Granted;
  return Reply;
}

void onPreVote(ReplicaState &S, const HostId &From, const VoteRequest &M,
               TimePoint Now, ReplicaEffects &E) {
  bool NewTerm =
      M.VoteTerm > S.Hard.Term ||
      (M.VoteTerm == S.Hard.Term && mayVoteFor(S, From, M.Header.Incarnation));
  bool Granted = !hasPromised(S, Now) && NewTerm && isUpToDate(S, M);
  sendAfter(S, ticketForHard(S), From, voteReply(S, M, Granted), E);
}

/// Resolves a split vote between two candidates of one term: the first by name
/// starts its next election soon, well before the other one does.
void retryAfterTie(ReplicaState &S, const HostId &From, const VoteRequest &M,
                   TimePoint Now) {
  if (S.Role != ReplicaRole::Candidate || M.VoteTerm != S.Hard.Term ||
      From < S.Config.Self)
    return;
  Duration Delay =
      between(S.Rng, Duration::zero(), S.Config.HeartbeatInterval / 2);
  S.ElectionDeadline = std::min(S.ElectionDeadline, Now + Delay);
}

void onBindingVote(ReplicaState &S, const HostId &From, const VoteRequest &M,
                   TimePoint Now, ReplicaEffects &E) {
  if (M.VoteTerm > S.Hard.Term)
    becomeFollower(S, M.VoteTerm, Now, "a candidate has a newer term", E);
  bool IsFormation = M.Kind == VoteKind::Formation;
  bool Granted = M.VoteTerm == S.Hard.Term &&
                 mayVoteFor(S, From, M.Header.Incarnation) &&
                 (IsFormation ? isEmpty(S) : isUpToDate(S, M));
  if (!Granted) {
    retryAfterTie(S, From, M, Now);
    sendAfter(S, ticketForHard(S), From, voteReply(S, M, false), E);
    return;
  }
  if (S.Hard.VotedFor.empty())
    voteFor(S, From, M.Header.Incarnation);
  resetElectionTimer(S, Now);
  sendAfter(S, ticketForAll(S), From, voteReply(S, M, true), E);
  decide(S, E, "vote",
         IsFormation ? "the candidate forms the log, and this log is empty"
                     : "the candidate's log is "
                       "as new as this one")
      .add("candidate", From.Value);
}

} // namespace

void onVoteRequest(ReplicaState &S, const HostId &From, const VoteRequest &M,
                   TimePoint Now, ReplicaEffects &E) {
  if (!S.Admitted)
    return;
  if (M.Kind == VoteKind::Pre) {
    onPreVote(S, From, M, Now, E);
    return;
  }
  if (M.Kind == VoteKind::Formation && !isEmpty(S))
    return;
  // The vote promise to the leader excludes every candidate except the one to
  // which the leader transfers its leadership, having given up its lease.
  if (!M.Transfer && M.Kind == VoteKind::Election && hasPromised(S, Now))
    return;
  onBindingVote(S, From, M, Now, E);
}

void onVoteReply(ReplicaState &S, const HostId &From, const VoteReply &M,
                 TimePoint Now, ReplicaEffects &E) {
  if (M.Header.Term > S.Hard.Term && !M.Granted) {
    becomeFollower(S, M.Header.Term, Now, "a voter has a newer term", E);
    return;
  }
  if (!M.Granted)
    return;
  std::uint64_t RequestedTerm = S.Hard.Term + (M.Kind == VoteKind::Pre ? 1 : 0);
  if (M.VoteTerm != RequestedTerm)
    return;
  bool Expected =
      (S.Role == ReplicaRole::PreCandidate && M.Kind == VoteKind::Pre) ||
      (S.Role == ReplicaRole::Candidate && M.Kind == VoteKind::Election) ||
      (S.Role == ReplicaRole::Forming && M.Kind == VoteKind::Formation);
  if (!Expected)
    return;
  if (M.Kind != VoteKind::Pre)
    markDisk(S, From, M.Header.Incarnation, M.Header.Start, M.VoteTerm, 0);
  addVote(S, From, M.Header.Incarnation);
  countVotes(S, Now, E);
}

void onTimeoutNow(ReplicaState &S, const HostId &From, const TimeoutNow &M,
                  TimePoint Now, ReplicaEffects &E) {
  if (!S.Admitted || M.Header.Term != S.Hard.Term || !isSelfVoter(S))
    return;
  if (S.Role != ReplicaRole::Follower || S.LeaderHost != From)
    return;
  startElection(S, /*Transfer=*/true, Now, E);
}

void continueTransfer(ReplicaState &S, TimePoint Now, ReplicaEffects &E) {
  if (S.TransferTo.empty() || S.LeaseCeded)
    return;
  for (const MemberProgress &P : S.Progress) {
    if (P.Host != S.TransferTo || P.Match != lastIndex(S))
      continue;
    S.LeaseCeded = true;
    S.TransferDeadline = Now + S.Config.ElectionTimeout;
    send(E, P.Host, TimeoutNow{header(S, P.Incarnation)});
    decide(S, E, "hand_over", "the voter has every entry")
        .add("to", P.Host.Value);
  }
}

TimePoint confirmedByMajority(const ReplicaState &S) {
  std::vector<TimePoint> Times;
  for (const Member &Who : members(S).Members) {
    if (Who.Learner)
      continue;
    if (Who.Host == S.Config.Self && Who.Incarnation == S.Config.Incarnation)
      Times.push_back(TimePoint::max());
  }
  for (const MemberProgress &P : S.Progress) {
    if (isVoter(members(S), P.Host, P.Incarnation))
      Times.push_back(P.ConfirmedAt);
  }
  std::size_t Needed = majority(members(S));
  if (Needed == 0 || Times.size() < Needed)
    return TimePoint();
  std::sort(Times.rbegin(), Times.rend());
  return Times[Needed - 1];
}

} // namespace pimento::replica
