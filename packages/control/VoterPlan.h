//===- VoterPlan.h - Who should vote next -----------------------*- C++ -*-===//
//
// The leader of a site whose hosts nobody lists asks this now and then. One
// change at a time, so that a set that stood one loss before stands it still:
// first a host takes the place of one that is silent, then that one is removed.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstddef>
#include <vector>

namespace pimento {

/// A control host as the leader sees it.
struct VoterCandidate {
  HostId Host;
  bool Member = false;  // Of the log; else it only lives.
  bool Learner = false; // A member that does not vote yet.
  bool Leaving = false; // It said that it stops.
  Duration Silence = {};
};

struct VoterTarget {
  std::size_t Voters = 3;                     // 2f + 1 for the loss of f.
  Duration ReplaceAfter = milliseconds(1500); // Silence of a member.
  Duration AliveWithin = milliseconds(1200);  // Silence of a newcomer.
};

enum class VoterStep : std::uint8_t { None, Add, Remove };

struct VoterChange {
  VoterStep Step = VoterStep::None;
  HostId Host;
  const char *Reason = "";
};

/// The next step, seen by the leader \p Self.
VoterChange planVoters(const std::vector<VoterCandidate> &Hosts,
                       const HostId &Self, const VoterTarget &Target);

} // namespace pimento
