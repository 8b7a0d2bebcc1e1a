//===- ClaimLeader.h - The leader of a claim partition ----------*- C++ -*-===//
//
// Answers the claim requests of entry hosts and proposes commands to the
// partition's log. The state is volatile: a new leader starts empty and
// rebuilds it from the applied state and from entry hosts, which repeat every
// request and result until it is answered.
//
//   ClaimLeader Leader;
//   becomeLeader(Leader, Applied, Now); // Once earlier entries are applied.
//   onClaimRequest(Leader, Applied, From, Request, Now, Out);
//   ... append each ProposeClaims to the log; once its entry is applied ...
//   onClaimsApplied(Leader, Applied, Ticket, Changes, Now, Out);
//
// A send permit allows an entry host to send a call within a lease. A leader
// grants one only after an entry that it proposed itself was committed, never
// from memory alone: a deposed leader commits nothing, so it grants no permit.
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
  // Longest time from sending the claim request to sending the first byte of
  // the call.
  Duration SendLease = seconds(2);
  // Largest difference between the rates of two hosts' clocks.
  std::uint64_t DriftPerMille = 10;
  // An owner silent this long past the call's deadline counts as lost.
  Duration OwnerTimeout = seconds(10);
  // Interval of clock entries while there are no other commands.
  Duration ClockInterval = seconds(10);
  std::size_t BatchCommands = 256; // Commands in one entry.
  // Size of the answers in one entry; the last one may exceed the limit.
  std::size_t BatchBytes = 512U << 10U;
  std::size_t EntriesInFlight = 2; // Entries proposed and not yet applied.
  // New claims are not proposed while this many commands are pending.
  std::size_t PendingCommands = 20000;
};

/// An entry for the log of the partition.
struct ProposeClaims {
  std::uint64_t Ticket = 0; // Identifies the proposal in onClaimsApplied().
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

/// A request that waits for the partition's reply.
struct ClaimWaiter {
  HostId Host;
  ClaimRequest Last;     // Most recent repeat.
  TimePoint ReceivedAt;  // When Last arrived.
  bool Proposed = false; // A Claim or Turn is pending or proposed.
};

/// A send permit granted by this leader.
struct ClaimSendPermit {
  // Claim request at whose sending the lease starts; zero: not known.
  std::uint64_t Sequence = 0;
  TimePoint Until; // The entry host can't begin to send after this time.
};

struct ClaimLeader {
  ClaimLeaderSettings Settings;
  bool Leading = false;
  TimePoint Since;                       // When this host became leader.
  Duration ClockBase = Duration::zero(); // The partition's clock at Since.
  std::map<ClaimKey, std::map<RequestId, ClaimWaiter>> Waiters;
  // Permits for records whose phase is Turn.
  std::map<RequestId, ClaimSendPermit> SendPermits;
  std::map<RequestId, HostId> Acks; // To send once the outcome is applied.
  // When the entry host of a live claim last repeated its request.
  std::map<RequestId, TimePoint> OwnerLastSeen;
  std::map<HostId, IncarnationNumber> NewestIncarnations;
  std::set<HostId> DeadHosts;
  // Owners of claims for which a Lost command is pending or proposed.
  std::set<RequestId> ProposedLost;
  std::deque<ClaimCommand> Pending;            // Commands not proposed yet.
  std::map<std::uint64_t, TimePoint> InFlight; // Time of proposal, by ticket.
  std::uint64_t NextTicket = 1;
  TimePoint NextSweep;
  TimePoint LastProposal;
};

/// Starts to lead with empty volatile state. All entries of earlier leaders
/// must be in \p Applied.
void becomeLeader(ClaimLeader &Leader, const ClaimsState &Applied,
                  TimePoint Now);
void stopLeading(ClaimLeader &Leader);

void onClaimRequest(ClaimLeader &Leader, const ClaimsState &Applied,
                    const HostId &From, const ClaimRequest &Received,
                    TimePoint Now, ClaimEffects &Out);
void onClaimResult(ClaimLeader &Leader, const ClaimsState &Applied,
                   const HostId &From, const ClaimResult &Ended, TimePoint Now,
                   ClaimEffects &Out);

/// Must be called when an entry proposed by this leader was applied; \p Changes
/// is the result of applyClaims().
void onClaimsApplied(ClaimLeader &Leader, const ClaimsState &Applied,
                     std::uint64_t Ticket,
                     const std::vector<ClaimChange> &Changes, TimePoint Now,
                     ClaimEffects &Out);

/// The log rejected a proposal. Its commands are dropped, because entry hosts
/// repeat every request and result that is not answered.
void onClaimsRefused(ClaimLeader &Leader, std::uint64_t Ticket);

/// Updates what membership knows of an entry host: its newest incarnation
/// (higher after each restart) and whether it is dead. Older incarnations are
/// ignored.
void onHostIncarnation(ClaimLeader &Leader, const HostId &Host,
                       IncarnationNumber Incarnation, bool Dead);

/// Proposes to end claims whose entry host is dead, restarted or silent past
/// the deadline; proposes a clock entry while idle. Does nothing before
/// nextClaimWakeup().
void tickClaims(ClaimLeader &Leader, const ClaimsState &Applied, TimePoint Now,
                ClaimEffects &Out);
/// When tickClaims() has work to do next; TimePoint::max() if this host does
/// not lead.
TimePoint nextClaimWakeup(const ClaimLeader &Leader);

} // namespace pimento::calls
