//===- Replica.h - Replica of a replicated log ------------------*- C++ -*-===//
//
// One replica of a Raft log, as a state machine without I/O: every function
// takes the state, an event and the time, and returns effects for the caller.
//
//   ReplicaState S = startReplica(Config, Recovered, Now);
//   ReplicaEffects E;
//   receive(S, From, Message, Now, E);    // for each message of the group
//   propose(S, Command, Now);             // at the leader
//   flush(S, Now, E);                     // once a turn, after proposals
//   tick(S, Now, E);                      // at nextTick(S), or more often
//   ... execute E; call diskWritten(S, Ticket, Now, E) after each sync
//
// Concepts
//   group        one replicated log; a host runs several
//   member       a host together with the disk on which it keeps the log; a
//                voter counts for majorities, a learner only receives the log
//   incarnation  number of a disk; a new disk of a host has a new one
//   disk start   one start of the process on a disk, with a start counter
//   admission    after a start, a replica takes part only once other hosts have
//                found that its disk is neither rolled back, copied nor retired
//   vote promise a follower votes for no other host during one election timeout
//                after its leader's last message; the lease depends on it
//   ticket       number of a disk write
//
// Index
//   ReplicaConfig     identity, timings, limits
//   ReplicaEffects    what the caller has to execute, and in which order
//   ReplicaState      the whole state of a replica; no field is private
//   Events            startReplica(), tick(), receive(), diskWritten(), ...
//   Proposals         propose(), flush(), LostRange
//   Members           addMember(), removeMember(), transferLeadership()
//   Leases            holdsLease(), readBarrier()
//   Status            role(), leader(), members(), status()
//
// What a caller must get right
// * \p Now is read after the message or completion was received, never before:
//   a follower's vote promise to the leader is counted from it.
// * Writes of one group are executed in the order of their tickets, and
//   diskWritten() is called only after the sync. After a failed write, call
//   diskFailed(); the replica then halts.
// * Call holdsLease() with a fresh clock when an effect that needs the lease is
//   executed, not when the effect was decided.
// * An index returned by propose() is accepted once it appears in
//   ReplicaEffects::Committed with the same term. Its outcome is unknown once
//   it appears in ReplicaEffects::Lost.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Codes.h"
#include "base/Decision.h"
#include "base/Ids.h"
#include "base/Random.h"
#include "base/Time.h"
#include "storage/Records.h"
#include "wire/Messages.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pimento {

//===----------------------------------------------------------------------===//
// Configuration
//===----------------------------------------------------------------------===//

struct ReplicaConfig {
  GroupId Group = 0;
  HostId Self;
  IncarnationNumber Incarnation = 0; // Incarnation of the disk; never zero.
  DiskStart Start = 0;               // Identifies this start on the disk.
  std::uint64_t Seed = 1;

  Duration HeartbeatInterval = milliseconds(100);
  Duration ElectionTimeout = milliseconds(600); // Jittered up to twice this.
  Duration ProbeInterval = milliseconds(200);   // Between probes of a start.
  std::uint64_t ClockDriftPerMille = 10; // Bound on how far clock rates differ.

  std::uint64_t SnapshotEntries = 4096; // Applied entries between snapshots.
  /// Time after which a log with few new entries takes a snapshot as well, so
  /// that its entries do not keep old segments on the disk. Zero: never.
  Duration SnapshotInterval = minutes(2);
  std::size_t BatchEntries = 1024; // Entries in one message at most.
  /// Payload bytes in one message at most; a single entry may exceed it.
  std::size_t BatchBytes = 512U << 10U;
  std::size_t CommandBytes = 2U << 20U;  // Command size accepted by propose().
  std::size_t WindowMessages = 16;       // Unanswered messages per member.
  std::size_t PendingEntries = 65536;    // Uncommitted entries at most.
  std::size_t PendingBytes = 64U << 20U; // Uncommitted payload bytes at most.
  std::size_t ChunkBytes = 256U << 10U;  // Size of one chunk of a snapshot.
  std::size_t SnapshotBytes = 1U << 30U; // Snapshot size accepted at most.

  /// Hosts that form the log at the site's first start, sorted by name and
  /// including this host.
  std::vector<HostId> FormationVoters;
};

//===----------------------------------------------------------------------===//
// Effects
//===----------------------------------------------------------------------===//

/// Proposals whose outcome is unknown because the leader that accepted them
/// stepped down. They may still be committed.
struct LostRange {
  std::uint64_t First = 0; // Index of the first proposal.
  std::uint64_t Last = 0;  // Index of the last proposal.
  std::uint64_t Term = 0;  // Term in which the entries were proposed.
};

/// Execute Install before Committed; the order is free otherwise.
struct ReplicaEffects {
  std::vector<Outbound> Messages;
  std::vector<DiskWrite> Writes; // To be executed in this order.
  /// Snapshot that replaces the state machine's state.
  std::optional<Snapshot> Install;
  /// Newly committed entries in order, including those of the kinds Noop and
  /// Voters. Each entry is delivered exactly once per start.
  std::vector<LogEntry> Committed;
  bool WantSnapshot = false; // The caller should call snapshotTaken() soon.
  std::vector<LostRange> Lost;
  std::vector<DecisionRecord> Decisions;
};

//===----------------------------------------------------------------------===//
// State
//===----------------------------------------------------------------------===//

enum class ReplicaRole : std::uint8_t {
  Follower,
  PreCandidate, // Asks the voters whether it would win an election.
  Candidate,
  Forming, // Asks the configured hosts, all with empty disks, to form the log.
  Leader,
};

const char *toString(ReplicaRole R);

/// A set of members, with the index from which on it is in force.
struct VotersAt {
  std::uint64_t Index = 0; // Index of its log entry, or of the snapshot.
  VoterSet Voters;
};

/// Replication state of one other member, kept by the leader.
struct MemberProgress {
  HostId Host;
  IncarnationNumber Incarnation = 0;
  DiskStart Start = 0;     // Newest disk start among the member's replies.
  std::uint64_t Match = 0; // Last index known to be synced and equal there.
  std::uint64_t Next = 1;  // Index of the next entry to send.
  std::size_t Window = 0;  // Unanswered messages that carry entries.
  bool Probing = true;     // Next is a guess; one message in flight at most.
  bool SendingSnapshot = false;
  Snapshot OutgoingSnapshot;     // Kept until the member has installed it.
  std::uint64_t Checksum = 0;    // Checksum of OutgoingSnapshot.
  std::uint64_t ChunkOffset = 0; // Offset of the next chunk to send.
  TimePoint LastReply{}; // Time of the last reply, on the leader's clock.
  TimePoint LastSent{};  // Time of the last entries or chunk sent.
  TimePoint MarksSent{}; // Time of the last message with AppendRequest::Synced.
  /// When the newest request that the member answered was sent; its vote
  /// promise holds for at least one election timeout from then.
  TimePoint ConfirmedAt{};
};

/// A message that is sent only after a disk write is synced.
struct HeldMessage {
  std::uint64_t Ticket = 0; // Ticket of that write.
  Outbound Content;
};

/// The disk write in flight.
struct WriteInFlight {
  std::uint64_t Ticket = 0;    // Zero: none.
  std::uint64_t LastIndex = 0; // Last entry that is synced after the write.
  bool HasHardState = false;   // The write includes the hard state.
};

/// What a host last reported about its disk.
struct SeenDisk {
  HostId Host;
  IncarnationNumber Incarnation = 0;
  DiskStart Start = 0;
  bool Empty = false;
  std::uint64_t LogId = 0; // Log that the disk holds; zero: none.
  std::uint64_t Term = 0;
  TimePoint SeenAt{};     // When the report arrived.
  bool Confirmed = false; // The host accepted this replica's disk.
  bool Idle = false;      // The host has had no leader since its start.
};

/// A snapshot of which some chunks have been received.
struct PartialSnapshot {
  std::uint64_t Index = 0; // Last entry that it covers; zero: none in progress.
  std::uint64_t Checksum = 0;
  std::uint64_t Size = 0;
  std::string Data;
};

struct ReplicaState {
  ReplicaConfig Config;
  Random Rng;
  Code Halted = Code::Ok; // Any other code: the replica ignores all events.
  std::string HaltReason;

  // Term and vote.
  ReplicaRole Role = ReplicaRole::Follower;
  HardState Hard;                   // Term and vote, as stored on the disk.
  HostId LeaderHost;                // Leader of this term; empty: unknown.
  std::vector<Member> VotesGranted; // Disks that voted for this replica.
  std::uint64_t VoteTicket = 0;     // Write that stores its own vote.

  // The log.
  Snapshot Base;
  /// Entries without gaps up to the last one. The first entries may be covered
  /// by Base already; slow members may still need them.
  std::deque<LogEntry> Log;
  std::vector<VotersAt> History; // Oldest first; the last one is in force.
  std::uint64_t Commit = 0;      // Last committed index known here.
  std::uint64_t Applied = 0;     // Last index delivered in Committed.
  bool SnapshotWanted = false;
  TimePoint SnapshotAt{}; // Time of the last snapshot, or of the start.

  // The disk.
  std::uint64_t Synced = 0;     // Last entry that is synced to the disk.
  std::uint64_t NextTicket = 1; // Ticket of the next write.
  WriteInFlight InFlight;
  bool HardDirty = false;
  bool SnapshotDirty = false;
  bool ResetDirty = false; // The entries on the disk are to be discarded.
  /// First entry that no write contains yet; zero: none.
  std::uint64_t DirtyFrom = 0;
  std::vector<HeldMessage> HeldMessages;

  // Timers.
  TimePoint LastContact{};      // Last message of a leader, or the start.
  TimePoint ElectionDeadline{}; // When an election starts.
  TimePoint NextHeartbeat{};
  TimePoint NextProbe{};

  // The start.
  std::vector<HostId> Contacts; // Further hosts that may keep this log.
  bool Admitted = false;        // Takes part in the log; see admission above.
  bool HadLeader = false;       // Led, or followed a leader, since its start.
  bool PromiseReleased = false; // A vote promise of an earlier start is void.
  std::vector<SeenDisk> Seen;
  PartialSnapshot Incoming;

  // Leading.
  std::vector<MemberProgress> Progress;
  std::uint64_t TermStart = 0;  // Index of the leader's first entry.
  std::size_t PendingBytes = 0; // Payload bytes not yet committed.
  TimePoint LeadingSince{};
  HostId TransferTo; // Target of a leadership transfer; empty: none.
  TimePoint TransferDeadline{};
  bool LeaseCeded = false; // TimeoutNow was sent: no lease in this term.
};

//===----------------------------------------------------------------------===//
// Events
//===----------------------------------------------------------------------===//

/// Returns the state after a start with what was recovered from the disk.
ReplicaState startReplica(const ReplicaConfig &Config, Recovered Found,
                          TimePoint Now);

/// The latest time at which tick() has to be called next.
TimePoint nextTick(const ReplicaState &S);

/// Runs elections, heartbeats and probes that are due. May be called at any
/// time.
void tick(ReplicaState &S, TimePoint Now, ReplicaEffects &E);

/// Returns the header of a message between replicas, which names the group;
/// null for any other message.
const ReplicaHeader *replicaHeader(const Message &M);

/// Sets the hosts found by discovery that may keep this log. They are probed in
/// addition to the members, so that an empty disk becomes known to the leader.
void setContacts(ReplicaState &S, std::vector<HostId> Hosts);

/// Handles a lost connection to \p Host, as it occurs when a process ends. A
/// follower of that host starts an election soon after its vote promise has
/// expired, instead of waiting for the jittered timeout.
void onLinkLost(ReplicaState &S, const HostId &Host);

/// Handles a message from the host \p From. Messages of other kinds or groups
/// are ignored.
void receive(ReplicaState &S, const HostId &From, const Message &M,
             TimePoint Now, ReplicaEffects &E);

/// Reports that the write with this ticket and all earlier ones are synced.
void diskWritten(ReplicaState &S, std::uint64_t Ticket, TimePoint Now,
                 ReplicaEffects &E);

/// Reports a failed write. The replica halts: until the process restarts it
/// neither votes nor acknowledges entries nor leads.
void diskFailed(ReplicaState &S, Code Reason, std::string Detail,
                ReplicaEffects &E);

/// Takes the state machine's state after the entry \p Index as the new
/// snapshot. The entry must have been delivered in Committed. Drops the entries
/// that the snapshot covers, except the last SnapshotEntries / 4, which slow
/// members may still need.
void snapshotTaken(ReplicaState &S, std::uint64_t Index, std::string Data,
                   TimePoint Now, ReplicaEffects &E);

//===----------------------------------------------------------------------===//
// Proposals
//===----------------------------------------------------------------------===//

/// Position of a proposal in the log.
struct Proposal {
  std::uint64_t Index = 0;
  std::uint64_t Term = 0;
};

/// Appends a command, which the next flush() writes and sends together with the
/// other proposals of the turn. Returns nothing if this replica does not lead,
/// is transferring its leadership or holds too many uncommitted entries, or if
/// the command is too large.
std::optional<Proposal> propose(ReplicaState &S, Blob Command);

/// Writes and sends the proposals. Every other event does so as well.
void flush(ReplicaState &S, TimePoint Now, ReplicaEffects &E);

//===----------------------------------------------------------------------===//
// Members
//===----------------------------------------------------------------------===//

enum class MemberChange : std::uint8_t {
  Started,   // The change is in the log and in force, but not yet committed.
  Done,      // The members are as requested already.
  NotLeader, // Only the leader changes members.
  Busy,      // A change or the first entry of this term is uncommitted, or a
             // leadership transfer is in progress.
  Unseen,    // No report about the host's disk arrived lately.
  Refused,   // No voter would remain, or the disk may not become a learner.
};

const char *toString(MemberChange C);
inline std::ostream &operator<<(std::ostream &OS, MemberChange C) {
  return OS << toString(C);
}

/// Adds \p Host as a learner, with the disk that it last reported. The leader
/// promotes it to a voter once it has synced all committed entries.
MemberChange addMember(ReplicaState &S, const HostId &Host, TimePoint Now,
                       ReplicaEffects &E);

/// Removes \p Host and retires its disk, which can never be a member again. A
/// leader that removes itself steps down once the removal is committed.
MemberChange removeMember(ReplicaState &S, const HostId &Host, TimePoint Now,
                          ReplicaEffects &E);

/// Starts a transfer of the leadership to \p To or, if that is empty, to the
/// voter with the most entries. Returns false if this replica does not lead or
/// no voter can take over. propose() refuses commands during the transfer. Once
/// the voter has every entry, it receives TimeoutNow and this replica gives up
/// its lease. After an election timeout without success, this replica continues
/// to lead or, if it has given up its lease, steps down.
bool transferLeadership(ReplicaState &S, const HostId &To, TimePoint Now,
                        ReplicaEffects &E);

//===----------------------------------------------------------------------===//
// Leases
//===----------------------------------------------------------------------===//

/// Whether this replica leads and no other replica can lead at \p Now: the vote
/// promises of a majority have not expired, and an entry of this term is
/// committed.
bool holdsLease(const ReplicaState &S, TimePoint Now);

/// When the vote promises of a majority to this leader expire unless they are
/// renewed. The clock's epoch if this replica does not lead or no majority has
/// confirmed it yet; TimePoint::max() if this replica alone is a majority.
TimePoint leaseEnd(const ReplicaState &S);

/// The index up to which entries must be applied before a read is linearizable;
/// nothing if this replica does not hold the lease.
std::optional<std::uint64_t> readBarrier(const ReplicaState &S, TimePoint Now);

//===----------------------------------------------------------------------===//
// Status
//===----------------------------------------------------------------------===//

/// The leader known to this replica; empty: none.
HostId leader(const ReplicaState &S);

inline ReplicaRole role(const ReplicaState &S) { return S.Role; }
inline std::uint64_t term(const ReplicaState &S) { return S.Hard.Term; }

/// The members in force at this replica; empty before the log is formed.
const VoterSet &members(const ReplicaState &S);

/// State of one member, as known to this replica.
struct MemberStatus {
  Member Who;
  std::uint64_t Synced = 0; // Last entry known to be synced there.
  Duration Silence = {};    // Time since the last reply.
  bool CaughtUp = false;    // A voter that could take over the leadership.
};

/// State of one group, for operators.
struct ReplicaStatus {
  GroupId Group = 0;
  ReplicaRole Role = ReplicaRole::Follower;
  Code Halted = Code::Ok;
  std::string HaltReason;
  bool Formed = false;
  bool Admitted = false;
  bool Lease = false;
  HostId Leader;
  std::uint64_t Term = 0;
  std::uint64_t FirstIndex = 0; // First entry held; zero: none.
  std::uint64_t LastIndex = 0;
  std::uint64_t Commit = 0;
  std::uint64_t Applied = 0;
  std::uint64_t Synced = 0;
  std::uint64_t SnapshotIndex = 0;
  /// Synced and Silence of other members are known to the leader only.
  std::vector<MemberStatus> Members;
};

ReplicaStatus status(const ReplicaState &S, TimePoint Now);

} // namespace pimento
