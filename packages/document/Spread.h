//===- Spread.h - Documents on their way to all hosts -----------*- C++ -*-===//
//
// Each host runs one SpreadState. Voters of the replicated log feed it what
// the log applied; every other host learns from its peers.
//
//   leader    stamp ->  notice to a few hosts   (again every StampInterval,
//                                                at once after an edit)
//   host      notice -> pull from its sender -> reply with stamp and edits
//             then notices to a few hosts of its own, and an acknowledgement
//             up the tree, with the hosts below it counted in
//   host      without news for a while: pulls from any host
//
// A reply holds differences where the sender still has them, else whole texts,
// in parts of bounded size. The revision, one number for all services, is all
// that two hosts compare.
//
// Index
//   SpreadConfig, SpreadState, SpreadOutputs
//   onTick() onMessage() onStored() onLeadership() onHosts()   inputs
//   verdict() acceptsEdits() isAccepted() documentInForce()    questions
//   queryInForce()                                               operators
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
  Duration StampInterval = milliseconds(500); // Between two stamps at rest.
  Duration PullTimeout = milliseconds(200);   // For one reply, at most.
  Duration IdlePullInterval =
      milliseconds(250);                    // Between pulls while without news,
                                            // at most; see makeSpread().
  Duration AvoidTime = seconds(5);          // After a pull without a reply.
  Duration AckDelay = milliseconds(15);     // A level, where an edit waits.
  Duration LazyAckDelay = milliseconds(40); // A level, where none does.
  std::uint32_t Fanout = 3;                 // Notices that a host sends on.
  std::uint32_t EditFanout = 8;         // Notices of the leader after an edit.
  std::size_t ReplyBytes = 256U << 10U; // Documents in one reply, about.
  std::size_t DeltaBytes = 512U << 10U; // Differences kept, of a service.
  std::size_t InForceParts = 8;         // Parts of one in-force question.
  FreshnessConfig Freshness;            // Self and Hosts are filled in.
};

/// One edit of a service whose difference is still known.
struct KnownEdit {
  std::uint64_t Number = 0;
  std::uint64_t Revision = 0;
  std::uint64_t BaseRevision = 0; // Of Number - 1.
  std::uint64_t Digest = 0;
  std::vector<DeltaPiece> Delta; // From Number - 1.
  std::size_t Bytes = 0;         // Of Delta.
};

/// A document in force.
struct HeldDocument {
  ServiceId Service;
  std::uint64_t Number = 0;
  std::uint64_t Revision = 0;
  std::uint64_t Digest = 0;    // xxHash64 of Text.
  std::string Text;            // JSON
  std::deque<KnownEdit> Edits; // Oldest first, without a gap, up to Number.
  std::size_t EditBytes = 0;   // Of all differences.
};

/// A pull whose reply is awaited.
struct PendingPull {
  std::uint64_t Request = 0; // Zero: none.
  HostId From;
  TimePoint SentAt;
  std::uint64_t Have = 0;  // As sent.
  std::uint64_t After = 0; // As sent.
  bool FullText = false;   // As sent.
};

/// Somebody who has more than this host; pulled from next.
struct SpreadHint {
  HostId From; // Empty: none.
  Stamp Newest;
  std::uint64_t Complete = 0;
};

/// How one stamp is acknowledged up the tree.
struct AckProgress {
  Stamp Held;
  HostId Parent;                         // Empty: this host issued it.
  std::uint32_t Hops = 0;                // From the leader to this host.
  std::map<HostId, std::uint32_t> Below; // Hosts counted by each child.
  std::uint32_t Sent = 0;                // Last count sent.

  Duration Delay;                   // Before the next one; grows.
  TimePoint Due = TimePoint::max(); // Of the next one.
};

/// An in-force question that waits for answers.
struct InForceWait {
  std::uint64_t Query = 0;    // As the asker numbered it.
  HostId Requester;           // Empty: an operator at this host.
  std::uint64_t OwnQuery = 0; // As this host numbers it towards others.
  TimePoint Until;
  TimePoint QueryMissingAt =
      TimePoint::max(); // Asks the missing ones directly.
  std::uint32_t Expected = 0;
  std::map<std::uint32_t, HostInForce> Hosts; // By index.
};

struct SpreadState {
  SpreadConfig Config;
  Random Rng;
  FreshnessState Freshness;
  std::map<ServiceId, HeldDocument> Documents;
  std::vector<HostId> Peers; // All configured hosts but this one.
  std::vector<HostId> Alive; // Of these, those that pulls and notices go to.
  PendingPull Pull;
  std::map<HostId, TimePoint> UnansweredPulls; // When a pull got no reply.
  SpreadHint Hint;
  std::uint64_t NextRequest = 1;
  TimePoint LastStampTime; // When a new stamp came.
  TimePoint NextIdlePull;
  TimePoint NextStamp;               // While leading.
  std::uint64_t StampedRevision = 0; // Of the last stamp issued.
  std::vector<AckProgress> Acks;     // Of the last few stamps, oldest first.
  std::map<std::uint64_t, InForceWait> InForceWaits; // By OwnQuery.
  std::uint64_t NextQuery = 1;
  std::uint64_t AcceptedRevision = 0; // Newest told in Outputs.Accepted.
  ServeReason LastReason = ServeReason::Joining; // For decisions on change.
};

/// The answer to an operator's in-force question.
struct InForceAnswer {
  std::uint64_t Query = 0;        // As queryInForce() returned it.
  std::vector<HostInForce> Hosts; // Hosts that did not answer are absent.
};

struct SpreadOutputs {
  std::vector<Outbound> Messages;
  std::vector<ServiceId> InForce; // Services whose document changed here.
  std::uint64_t Accepted = 0;     // Not zero: edits up to here are known to a
                              // majority of hosts; their operators may hear.
  std::vector<InForceAnswer> Answers;
  std::vector<DecisionRecord> Decisions;
};

/// Pulls while without news are made often enough to hear from a majority of
/// hosts within the freshness bound: at least twelve times in it, and a reply
/// is waited for a sixth of it. A short bound therefore costs more, the more
/// hosts there are; docs/design/documents.md has figures.
SpreadState makeSpread(const SpreadConfig &Config, std::uint64_t Seed,
                       TimePoint Now);

/// Call when nextDeadline() has come; calling more often is harmless.
void onTick(SpreadState &S, TimePoint Now, SpreadOutputs &Out);
TimePoint nextDeadline(const SpreadState &S);

/// False where \p M is not of this part.
bool onMessage(SpreadState &S, const HostId &From, const Message &M,
               TimePoint Now, SpreadOutputs &Out);

/// Voters only: the log applied edits to \p From. Takes in what is new; cheap
/// where nothing is. Call after each batch of entries and each snapshot.
void onStored(SpreadState &S, const Store &From, TimePoint Now,
              SpreadOutputs &Out);

/// The replicated log's view of itself; see setLeader().
void onLeadership(SpreadState &S, std::uint64_t Term, TimePoint LeaseUntil,
                  TimePoint Now, SpreadOutputs &Out);

/// Hosts that membership holds for alive; this one may be among them.
void onHosts(SpreadState &S, const std::vector<HostId> &Alive);

/// Whether this host may serve at \p Now. Ask again at the moment an effect is
/// carried out.
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

/// The document in force here; null for none.
const HeldDocument *documentInForce(const SpreadState &S,
                                    const ServiceId &Service);

/// Starts to ask all hosts what they have in force. The answer comes as an
/// InForceAnswer with the number returned here, within \p Timeout.
std::uint64_t queryInForce(SpreadState &S, Duration Timeout, TimePoint Now,
                           SpreadOutputs &Out);

} // namespace pimento
