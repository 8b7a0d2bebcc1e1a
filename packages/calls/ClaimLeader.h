//===- ClaimLeader.h - The leader of a claim partition ----------*- C++ -*-===//
//
// Volatile: a new leader starts empty and learns the rest from the applied
// state and from entry hosts, which repeat every request and result until it
// is answered.
//
//   ClaimLeader Leader;
//   becomeLeader(Leader, Applied, Now); // Once all earlier entries applied.
//   onClaimRequest(Leader, Applied, From, Request, Now, Out);
//   ... each ProposeClaims goes to the log; once its entry is applied ...
//   onClaimsApplied(Leader, Applied, Ticket, Changes, Now, Out);
//
// Permit to send a call follows only from an entry that this leader proposed
// and saw committed, never from memory alone: a deposed leader commits
// nothing, so it gives no new leave.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Decision.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "calls/Claims.h"
#include "wire/CallMessages.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <variant>
#include <vector>

namespace pimento::calls {

struct ClaimLeaderSettings {
  Duration SendLease = seconds(2);      // From the ask to the first byte.
  std::uint64_t DriftPerMille = 10;     // How far two clocks' rates may differ.
  Duration OwnerTimeout = seconds(10);  // Past the deadline: counts as lost.
  Duration ClockInterval = seconds(10); // Between two entries without work.
  std::size_t BatchCommands = 256;      // Of one entry.
  std::size_t BatchBytes = 512U << 10U; // Of one entry; the last may pass it.
  std::size_t EntriesInFlight = 2;      // Proposed and not applied.
  std::size_t PendingCommands = 20000;  // Above: requests are refused.
};

/// An entry for the log of the partition.
struct ProposeClaims {
  std::uint64_t Ticket = 0; // Names the proposal.
  Blob Entry;
};
struct SendClaimReply {
  HostId To;
  ClaimReply Content;
};
struct SendClaimAck {
  HostId To;
  ClaimResultAck Content;
};
using ClaimEffect = std::variant<ProposeClaims, SendClaimReply, SendClaimAck>;

struct ClaimEffects {
  std::vector<ClaimEffect> List;
  std::vector<DecisionRecord> Decisions;
  std::vector<MetricSample> Samples;
};

/// A request that waits for an answer of the partition.
struct ClaimWaiter {
  HostId Host;
  ClaimRequest Last;     // The newest repeat.
  TimePoint ReceivedAt;  // Of Last.
  bool Proposed = false; // A Claim or Turn for it is on its way.
};

/// Permit to send that this leader gave.
struct ClaimSendPermit {
  std::uint64_t Sequence = 0; // That the lease counts from; zero: not known.
  TimePoint Until;            // The entry host can't begin to send after it.
};

struct ClaimLeader {
  ClaimLeaderSettings Settings;
  bool Leading = false;
  TimePoint Since;                       // When it became leader.
  Duration ClockBase = Duration::zero(); // The partition's clock at Since.
  std::map<ClaimKey, std::map<RequestId, ClaimWaiter>> Waiters;
  std::map<RequestId, ClaimSendPermit>
      SendPermits;                  // Of records whose phase is Turn.
  std::map<RequestId, HostId> Acks; // Owed once the outcome is applied.
  std::map<RequestId, TimePoint> OwnerLastSeen; // Last sign of a claim's owner.
  std::map<HostId, IncarnationNumber> NewestIncarnations; // Newest known.
  std::set<HostId> DeadHosts;
  std::set<RequestId> ProposedLost;            // A Lost for it is on its way.
  std::deque<ClaimCommand> Pending;            // Not proposed yet.
  std::map<std::uint64_t, TimePoint> InFlight; // Ticket to proposal's time.
  std::uint64_t NextTicket = 1;
  TimePoint NextSweep;
  TimePoint LastProposal;
};

void becomeLeader(ClaimLeader &Leader, const ClaimsState &Applied,
                  TimePoint Now);
void stopLeading(ClaimLeader &Leader);

void onClaimRequest(ClaimLeader &Leader, const ClaimsState &Applied,
                    const HostId &From, const ClaimRequest &Received,
                    TimePoint Now, ClaimEffects &Out);
void onClaimResult(ClaimLeader &Leader, const ClaimsState &Applied,
                   const HostId &From, const ClaimResult &Ended, TimePoint Now,
                   ClaimEffects &Out);

/// An entry of this leader was applied; \p Changes are what applyClaims()
/// returned.
void onClaimsApplied(ClaimLeader &Leader, const ClaimsState &Applied,
                     std::uint64_t Ticket,
                     const std::vector<ClaimChange> &Changes, TimePoint Now,
                     ClaimEffects &Out);

/// The log did not take a proposal. What it held comes again: entry hosts
/// repeat what is not answered.
void onClaimsRefused(ClaimLeader &Leader, std::uint64_t Ticket);

/// What membership knows of an entry host: its newest life, and whether it is
/// dead. A restarted host has a higher life.
void onHostIncarnation(ClaimLeader &Leader, const HostId &Host,
                       IncarnationNumber Incarnation, bool Dead);

void tickClaims(ClaimLeader &Leader, const ClaimsState &Applied, TimePoint Now,
                ClaimEffects &Out);
TimePoint nextClaimWakeup(const ClaimLeader &Leader);

} // namespace pimento::calls
