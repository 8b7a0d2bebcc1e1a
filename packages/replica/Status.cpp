#include "replica/Internal.h"

namespace pimento::replica {

DecisionRecord &decide(const ReplicaState &S, ReplicaEffects &E,
                       const char *Kind, std::string Reason) {
  E.Decisions.emplace_back();
  DecisionRecord &Record = E.Decisions.back();
  Record.Kind = Kind;
  Record.Reason = std::move(Reason);
  Record.Fields.resize(2);
  Record.Fields[0].Name = "group";
  Record.Fields[0].Value = static_cast<std::int64_t>(S.Config.Group);
  Record.Fields[1].Name = "term";
  Record.Fields[1].Value = static_cast<std::int64_t>(S.Hard.Term);
  return Record;
}

} // namespace pimento::replica

namespace pimento {

const char *toString(ReplicaRole R) {
  switch (R) {
  case ReplicaRole::Follower:
    return "follower";
  case ReplicaRole::PreCandidate:
    return "pre_candidate";
  case ReplicaRole::Candidate:
    return "candidate";
  case ReplicaRole::Forming:
    return "forming";
  case ReplicaRole::Leader:
    return "leader";
  }
  return "unknown";
}

HostId leader(const ReplicaState &S) { return S.LeaderHost; }

const VoterSet &members(const ReplicaState &S) {
  return S.History.back().Voters;
}

namespace {

MemberStatus memberStatus(const ReplicaState &S, const Member &Who,
                          TimePoint Now) {
  MemberStatus M;
  M.Who = Who;
  if (Who.Host == S.Config.Self && Who.Incarnation == S.Config.Incarnation) {
    M.Synced = S.Synced;
    M.CaughtUp = !Who.Learner && S.Synced >= S.Commit;
    return M;
  }
  for (const MemberProgress &P : S.Progress) {
    if (P.Host != Who.Host || P.Incarnation != Who.Incarnation)
      continue;
    M.Synced = P.Match;
    M.Silence = Now - P.LastReply;
    M.CaughtUp = !Who.Learner && P.Match >= S.Commit &&
                 M.Silence < S.Config.ElectionTimeout;
  }
  return M;
}

} // namespace

ReplicaStatus status(const ReplicaState &S, TimePoint Now) {
  ReplicaStatus R;
  R.Group = S.Config.Group;
  R.Role = S.Role;
  R.Halted = S.Halted;
  R.HaltReason = S.HaltReason;
  R.Formed = !replica::isEmpty(S);
  R.Admitted = S.Admitted;
  R.Lease = holdsLease(S, Now);
  R.Leader = S.LeaderHost;
  R.Term = S.Hard.Term;
  R.FirstIndex = S.Log.empty() ? 0 : S.Log.front().Index;
  R.LastIndex = replica::lastIndex(S);
  R.Commit = S.Commit;
  R.Applied = S.Applied;
  R.Synced = S.Synced;
  R.SnapshotIndex = S.Base.Index;
  for (const Member &Who : members(S).Members)
    R.Members.push_back(memberStatus(S, Who, Now));
  return R;
}

} // namespace pimento
