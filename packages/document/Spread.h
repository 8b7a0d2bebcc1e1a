//===- Spread.h - Dissemination of documents to all hosts -------*- C++ -*-===//
//
// Spreads accepted edits of documents to all hosts by epidemic dissemination.
// Each host runs one SpreadState. On voters of the replicated log, onStored()
// adds the edits that the log applied; all other hosts pull edits from peers.
//
//   leader    stamp ->  notice to a few hosts   (again every StampInterval,
//                                                at once after an edit)
//   host      notice -> pull from its sender -> reply with stamp and edits;
//             then sends notices to a few hosts, and an acknowledgement to
//             its parent, the host that it pulled the stamp from. The
//             acknowledgement counts the hosts in its subtree.
//   host      without a new stamp for a while: pulls from a random host
//
// A stamp is the leader's statement which revision was the newest accepted one;
// see Freshness.h. The revision counts the edits of all services, so that two
// hosts compare a single number. A reply holds deltas where the sender still
// has them, else whole texts, in parts of bounded size.
//
// Index
//   SpreadConfig, SpreadState, SpreadOutputs
//   onTick() onMessage() onStored() onLeadership() onHosts()   inputs
//   verdict() acceptsEdits() isAccepted() documentInForce()    queries
//   queryInForce()                      asks all hosts what they have in force
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Decision.h"
#include "base/Ids.h"
#include "base/Random.h"
#include "base/Time.h"
#include "document/Freshness.h"
#include "document/Store.h"
#include "wire/Messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace pimento {

struct SpreadConfig {
  HostId Self;
  std::vector<HostId> Hosts; // All configured hosts, this one included.
  /// Interval between the leader's stamps while there are no edits.
  Duration StampInterval = milliseconds(500);
  /// Longest wait for one reply; see makeSpread().
  Duration PullTimeout = milliseconds(200);
  /// Longest interval between pulls without new stamps; see makeSpread().
  Duration IdlePullInterval = milliseconds(250);
  /// How long a host is avoided after it left a pull unanswered.
  Duration AvoidTime = seconds(5);
  /// Delay of an acknowledgement per level of the tree below this host:
  /// AckDelay while an edit waits to be accepted, else LazyAckDelay.
  Duration AckDelay = milliseconds(15);
  Duration LazyAckDelay = milliseconds(40);
  std::uint32_t Fanout = 3;     // Notices that a host sends at a time.
  std::uint32_t EditFanout = 8; // Notices that the leader sends after an edit.
  /// Approximate limit of the documents in one reply, in bytes.
  std::size_t ReplyBytes = 256U << 10U;
  /// Limit of the deltas kept per service, in bytes.
  std::size_t DeltaBytes = 512U << 10U;
  std::size_t InForceParts = 8; // Subranges of an in-force query.
  FreshnessConfig Freshness;    // makeSpread() sets Self and Hosts.
};

/// One edit of a service whose delta is still kept.
struct KnownEdit {
  std::uint64_t Number = 0;
  std::uint64_t Revision = 0;
  std::uint64_t BaseRevision = 0; // Revision of the document Number - 1.
  std::uint64_t Digest = 0;       // xxHash64 of the text.
  std::vector<DeltaPiece> Delta;  // From the text of Number - 1.
  std::size_t Bytes = 0;          // Size of Delta on the wire, about.
};

/// A document in force.
struct HeldDocument {
  ServiceId Service;
  std::uint64_t Number = 0;
  std::uint64_t Revision = 0;
  std::uint64_t Digest = 0;    // xxHash64 of Text.
  std::string Text;            // JSON
  std::deque<KnownEdit> Edits; // Oldest first, without a gap, up to Number.
  std::size_t EditBytes = 0;   // Size of the deltas of all Edits.
};

/// A pull whose reply is awaited.
struct PendingPull {
  std::uint64_t Request = 0; // Zero: no pull in flight.
  HostId From;
  TimePoint SentAt;
  std::uint64_t Have = 0;  // Field of the SpreadPull sent.
  std::uint64_t After = 0; // Field of the SpreadPull sent.
  bool FullText = false;   // Field of the SpreadPull sent.
};

/// A host that announced a newer stamp or revision; the next pull goes to it.
struct SpreadHint {
  HostId From; // Empty: none.
  Stamp Newest;
  std::uint64_t Complete = 0;
};

/// Aggregation of the acknowledgements of one stamp at this host. The hosts
/// form a tree: the parent of a host is the one that it pulled the stamp from.
struct AckProgress {
  Stamp Held;
  HostId Parent;          // Empty: this host issued the stamp.
  std::uint32_t Hops = 0; // Tree depth of this host; leader: zero.
  std::map<HostId, std::uint32_t> Below; // Hosts in each child's subtree.
  std::uint32_t Sent = 0;                // Last count sent to Parent.

  Duration Delay;                   // Before the next acknowledgement; doubles.
  TimePoint Due = TimePoint::max(); // Time of the next acknowledgement.
};

/// An in-force query that waits for replies.
struct InForceWait {
  std::uint64_t Query = 0;    // Number chosen by the requester.
  HostId Requester;           // Empty: a query by queryInForce().
  std::uint64_t OwnQuery = 0; // Number in the queries sent to other hosts.
  TimePoint Until;            // When the query ends with what has arrived.
  TimePoint QueryMissingAt = TimePoint::max(); // When to query the missing
                                               // hosts directly.
  std::uint32_t Expected = 0;                  // Hosts in the queried range.
  std::map<std::uint32_t, HostInForce> Hosts;  // Answers by host index.
};

struct SpreadState {
  SpreadConfig Config;
  Random Rng;
  FreshnessState Freshness;
  std::map<ServiceId, HeldDocument> Documents;
  std::vector<HostId> Peers; // All configured hosts except this one.
  std::vector<HostId> Alive; // Live peers, to which pulls and notices go.
  PendingPull Pull;
  std::map<HostId, TimePoint> UnansweredPulls; // Time of the last pull timeout.
  SpreadHint Hint;
  std::uint64_t NextRequest = 1;
  TimePoint LastStampTime; // When the last new stamp arrived.
  TimePoint NextIdlePull;
  TimePoint NextStamp;               // Next regular stamp while leading.
  std::uint64_t StampedRevision = 0; // Revision in the last stamp issued.
  std::vector<AckProgress> Acks;     // For the last few stamps, oldest first.
  std::map<std::uint64_t, InForceWait> InForceWaits; // By OwnQuery.
  std::uint64_t NextQuery = 1;
  std::uint64_t AcceptedRevision = 0; // Last value of SpreadOutputs::Accepted.
  ServeReason LastReason = ServeReason::Joining; // To record changes only.
};

/// The answer to a query started by queryInForce().
struct InForceAnswer {
  std::uint64_t Query = 0;        // As queryInForce() returned it.
  std::vector<HostInForce> Hosts; // Without hosts that did not answer.
};

struct SpreadOutputs {
  std::vector<Outbound> Messages;
  std::vector<ServiceId> InForce; // Services with a new document in force.
  std::uint64_t Accepted = 0;     // Not zero: a majority of hosts knows of all
                                  // edits up to this revision, so they may be
                                  // answered as accepted.
  std::vector<InForceAnswer> Answers;
  std::vector<DecisionRecord> Decisions;
};

/// Creates the state of one host. Limits IdlePullInterval to a twelfth and
/// PullTimeout to a sixth of the freshness bound, so that a host without new
/// stamps can collect reports of a majority of hosts within the bound. The cost
/// of a short bound therefore grows with the number of hosts; see
/// docs/design/documents.md for figures.
SpreadState makeSpread(const SpreadConfig &Config, std::uint64_t Seed,
                       TimePoint Now);

/// Runs all timers that are due. Call at nextDeadline(); calling more often is
/// harmless.
void onTick(SpreadState &S, TimePoint Now, SpreadOutputs &Out);
TimePoint nextDeadline(const SpreadState &S);

/// Processes \p M. Returns false if the message is not one of this module.
bool onMessage(SpreadState &S, const HostId &From, const Message &M,
               TimePoint Now, SpreadOutputs &Out);

/// Voters only: puts in force the edits in \p From that are new to \p S. Cheap
/// if there are none. Call after each batch of log entries and each snapshot.
void onStored(SpreadState &S, const Store &From, TimePoint Now,
              SpreadOutputs &Out);

/// Updates the term that this host leads, zero for none, and the end of its
/// lease; see setLeader().
void onLeadership(SpreadState &S, std::uint64_t Term, TimePoint LeaseUntil,
                  TimePoint Now, SpreadOutputs &Out);

/// Sets the hosts that membership considers alive; this host may be included.
void onHosts(SpreadState &S, const std::vector<HostId> &Alive);

/// Whether this host may serve at \p Now. Call it again at the moment when an
/// effect is executed.
inline ServeVerdict verdict(const SpreadState &S, TimePoint Now) {
  return mayServe(S.Freshness, Now);
}

/// Leader: whether an edit, or a cell's reassignment, may enter the log.
inline bool acceptsEdits(const SpreadState &S, TimePoint Now) {
  return acceptsEdits(S.Freshness, Now);
}

/// Leader: whether the edit with \p Revision may be answered as accepted.
inline bool isAccepted(const SpreadState &S, std::uint64_t Revision) {
  return knownToMajority(S.Freshness, Revision);
}

/// Returns the document of \p Service in force at this host, or null.
const HeldDocument *documentInForce(const SpreadState &S,
                                    const ServiceId &Service);

/// Starts a query to all hosts for the revision they have in force. The answer
/// follows as an InForceAnswer with the returned number, at \p Timeout at the
/// latest.
std::uint64_t queryInForce(SpreadState &S, Duration Timeout, TimePoint Now,
                           SpreadOutputs &Out);

} // namespace pimento
