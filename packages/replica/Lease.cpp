#include "replica/Internal.h"

namespace pimento {

namespace {

/// The voter with the most entries among those that replied within an election
/// timeout; only \p To is considered if it is not empty.
const MemberProgress *chooseSuccessor(const ReplicaState &S, const HostId &To,
                                      TimePoint Now) {
  const MemberProgress *Best = nullptr;
  for (const MemberProgress &P : S.Progress) {
    if (!replica::isVoter(members(S), P.Host, P.Incarnation))
      continue;
    if (!To.empty() && P.Host != To)
      continue;
    if (P.LastReply + S.Config.ElectionTimeout < Now)
      continue;
    if (Best == nullptr || P.Match > Best->Match)
      Best = &P;
  }
  return Best;
}

} // namespace

bool transferLeadership(ReplicaState &S, const HostId &To, TimePoint Now,
                        ReplicaEffects &E) {
  if (S.Role != ReplicaRole::Leader || S.Halted != Code::Ok ||
      !S.TransferTo.empty())
    return false;
  const MemberProgress *Best = chooseSuccessor(S, To, Now);
  if (Best == nullptr)
    return false;
  S.TransferTo = Best->Host;
  S.TransferDeadline = Now + S.Config.ElectionTimeout;
  flush(S, Now, E);
  replica::continueTransfer(S, Now, E);
  return true;
}

bool holdsLease(const ReplicaState &S, TimePoint Now) {
  return S.Role == ReplicaRole::Leader && S.Halted == Code::Ok &&
         !S.LeaseCeded && S.Commit >= S.TermStart && Now < leaseEnd(S);
}

TimePoint leaseEnd(const ReplicaState &S) {
  if (S.Role != ReplicaRole::Leader)
    return TimePoint();
  TimePoint Confirmed = replica::confirmedByMajority(S);
  if (Confirmed == TimePoint() || Confirmed == TimePoint::max())
    return Confirmed;
  auto Drift = static_cast<std::int64_t>(S.Config.ClockDriftPerMille);
  // The voters' clocks may run faster than this one, so that their vote
  // promises expire earlier.
  return Confirmed + S.Config.ElectionTimeout * 1000 / (1000 + Drift);
}

std::optional<std::uint64_t> readBarrier(const ReplicaState &S, TimePoint Now) {
  if (!holdsLease(S, Now))
    return std::nullopt;
  return S.Commit;
}

} // namespace pimento
