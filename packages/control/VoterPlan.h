//===- VoterPlan.h - Choice of the log's voters -----------------*- C++ -*-===//
//
// The leader of the replicated log calls planVoters() regularly to add and
// remove voters, since the site has no configured list of them. Each step
// changes one member, so that a voter set that tolerates the loss of one host
// tolerates it during the change as well: a new host is added first, then the
// silent one is removed.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstddef>
#include <vector>

namespace pimento {

/// A control host as known to the leader.
struct VoterCandidate {
  HostId Host;
  bool Member = false;   // The host is a member of the log.
  bool Learner = false;  // A member that does not vote yet.
  bool Leaving = false;  // The host announced that it is stopping.
  Duration Silence = {}; // Time since its last message.
};

/// Size of the voter set and limits on the silence of hosts.
struct VoterTarget {
  std::size_t Voters = 3; // 2f + 1 voters tolerate the loss of f.
  /// A member that has been silent for longer counts as lost.
  Duration ReplaceAfter = milliseconds(1500);
  /// A host that has been silent for so long is not added.
  Duration NewcomerTimeout = milliseconds(1200);
};

enum class VoterStep : std::uint8_t { None, Add, Remove };

/// A change of one member, with the reason for the decision record.
struct VoterChange {
  VoterStep Step = VoterStep::None;
  HostId Host;
  const char *Reason = "";
};

/// Returns the next change for the leader \p Self; None if nothing is to be
/// done.
VoterChange planVoters(const std::vector<VoterCandidate> &Hosts,
                       const HostId &Self, const VoterTarget &Target);

} // namespace pimento
