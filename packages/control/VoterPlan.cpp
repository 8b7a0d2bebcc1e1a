#include "control/VoterPlan.h"

namespace pimento {

namespace {

/// Whether the host is silent or announced that it is stopping.
bool isUnavailable(const VoterCandidate &C, const HostId &Self,
                   const VoterTarget &Target) {
  return C.Host != Self && (C.Leaving || C.Silence > Target.ReplaceAfter);
}

/// A reachable host that is no member; null if there is none.
const VoterCandidate *findNewcomer(const std::vector<VoterCandidate> &Hosts,
                                   const VoterTarget &Target) {
  for (const VoterCandidate &C : Hosts) {
    if (!C.Member && !C.Leaving && C.Silence < Target.NewcomerTimeout)
      return &C;
  }
  return nullptr;
}

/// The unavailable member that has been silent for longest; null if there is
/// none.
const VoterCandidate *findLostMember(const std::vector<VoterCandidate> &Hosts,
                                     const HostId &Self,
                                     const VoterTarget &Target, bool Learner) {
  const VoterCandidate *Worst = nullptr;
  for (const VoterCandidate &C : Hosts) {
    if (!C.Member || C.Learner != Learner || !isUnavailable(C, Self, Target))
      continue;
    if (Worst == nullptr || C.Silence > Worst->Silence)
      Worst = &C;
  }
  return Worst;
}

/// A voter other than the leader \p Self; null if there is none.
const VoterCandidate *findSurplus(const std::vector<VoterCandidate> &Hosts,
                                  const HostId &Self) {
  for (const VoterCandidate &C : Hosts) {
    if (C.Member && !C.Learner && C.Host != Self)
      return &C;
  }
  return nullptr;
}

} // namespace

VoterChange planVoters(const std::vector<VoterCandidate> &Hosts,
                       const HostId &Self, const VoterTarget &Target) {
  std::size_t Voters = 0;
  std::size_t Learners = 0;
  for (const VoterCandidate &C : Hosts) {
    Voters += C.Member && !C.Learner ? 1 : 0;
    Learners += C.Member && C.Learner ? 1 : 0;
  }
  const VoterCandidate *LostLearner = findLostMember(Hosts, Self, Target, true);
  if (LostLearner != nullptr)
    return {VoterStep::Remove, LostLearner->Host,
            "a learner is silent or stopping"};
  if (Learners > 0)
    return {}; // The learner becomes a voter soon.
  const VoterCandidate *Lost = findLostMember(Hosts, Self, Target, false);
  if (Voters > Target.Voters) {
    if (Lost != nullptr)
      return {VoterStep::Remove, Lost->Host,
              "a voter beyond the needed number is silent or stopping"};
    if (const VoterCandidate *Surplus = findSurplus(Hosts, Self))
      return {VoterStep::Remove, Surplus->Host,
              "there are more voters than needed"};
    return {};
  }
  const VoterCandidate *Newcomer = findNewcomer(Hosts, Target);
  if (Newcomer == nullptr)
    return {};
  if (Voters < Target.Voters)
    return {VoterStep::Add, Newcomer->Host,
            "there are fewer voters than needed"};
  if (Lost != nullptr)
    return {VoterStep::Add, Newcomer->Host, "a voter is silent or stopping"};
  return {};
}

} // namespace pimento
