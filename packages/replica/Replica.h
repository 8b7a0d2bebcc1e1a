//===- Replica.h - One replicated log at one host ---------------*- C++ -*-===//
//
//   ReplicaState S = startReplica(Config, Recovered, Now);
//   ReplicaEffects E;
//   receive(S, From, Message, Now, E);    // for each message of the group
//   propose(S, Command, Now);             // at the leader
//   flush(S, Now, E);                     // once a turn, after proposals
//   tick(S, Now, E);                      // at nextTick(S), or more often
//   ... carry out E; diskWritten(S, Ticket, Now, E) once a write is synced
//
// Index
//   ReplicaConfig     who this is, timings, limits
//   ReplicaEffects    what the caller has to carry out, and in which order
//   ReplicaState      everything that a replica knows; no field is private
//   Events            startReplica(), tick(), receive(), diskWritten(), ...
//   Proposals         propose(), flush(), LostRange
//   Members           addMember(), removeMember(), transferLeadership()
//   Leases            holdsLease(), readBarrier()
//   Status            role(), leader(), members(), status()
//
// What a caller must get right
// * \p Now is read after the message or completion was taken in, never before:
//   a follower promises the leader not to vote for a while counted from it.
// * Writes of one group are carried out in the order of their tickets, and
//   diskWritten() is called only after the sync. After a failed write call
//   diskFailed(); the replica then does nothing any more.
// * A lease is asked for with holdsLease() and a fresh clock at the moment at
//   which an effect that needs it is carried out, not when it was decided.
// * An index that propose() gave is accepted once it comes out in
//   ReplicaEffects::Committed with the same term, and of unknown outcome once
//   it is in ReplicaEffects::Lost.
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
  IncarnationNumber Incarnation = 0; // Of the disk; never zero.
  DiskStart Start = 0;               // Of this start.
  std::uint64_t Seed = 1;

  Duration HeartbeatInterval = milliseconds(100);
  Duration ElectionTimeout = milliseconds(600); // Lower bound; jittered x2.
  Duration ProbeInterval = milliseconds(200);   // While not yet admitted.
  std::uint64_t ClockDriftPerMille = 10; // How far two clocks' rates differ.

  std::uint64_t SnapshotEntries = 4096; // Applied entries between snapshots.
  Duration SnapshotInterval =
      minutes(2); // Between snapshots of a log with few entries, so that they
                  // do not keep the disk's old segments. Zero: none.
  std::size_t BatchEntries = 1024;      // Most in one message.
  std::size_t BatchBytes = 512U << 10U; // Most in one message, but one entry.
  std::size_t CommandBytes = 2U << 20U; // Longest command.
  std::size_t WindowMessages = 16;      // Unanswered messages to one member.
  std::size_t PendingEntries = 65536;   // Uncommitted; propose() refuses more.
  std::size_t PendingBytes = 64U << 20U;
  std::size_t ChunkBytes = 256U << 10U;  // One piece of a snapshot.
  std::size_t SnapshotBytes = 1U << 30U; // Longest snapshot taken in.

  std::vector<HostId> FormationVoters; // Who forms the log, this host
                                       // included; by name.
};

//===----------------------------------------------------------------------===//
// Effects
//===----------------------------------------------------------------------===//

/// Proposals whose outcome is not known, since the leader that took them leads
/// no more. They may still be committed.
struct LostRange {
  std::uint64_t First = 0;
  std::uint64_t Last = 0;
  std::uint64_t Term = 0; // In which they were proposed.
};

/// Carry out Install before Committed; the rest in any order.
struct ReplicaEffects {
  std::vector<Outbound> Messages;
  std::vector<DiskWrite> Writes;   // In order.
  std::optional<Snapshot> Install; // Load it in place of the state.
  std::vector<LogEntry> Committed; // In order, each exactly once a start;
                                   // Noop and Voters among them.
  bool WantSnapshot = false;       // Call snapshotTaken() soon.
  std::vector<LostRange> Lost;
  std::vector<DecisionRecord> Decisions;
};

//===----------------------------------------------------------------------===//
// State
//===----------------------------------------------------------------------===//

enum class ReplicaRole : std::uint8_t {
  Follower,
  PreCandidate, // Asks whether an election would be won.
  Candidate,
  Forming, // Asks every configured host, all of them empty, to form the log.
  Leader,
};

const char *toString(ReplicaRole R);

/// A set of members and the entry since which it is in force.
struct VotersAt {
  std::uint64_t Index = 0;
  VoterSet Voters;
};

/// What the leader knows of one other member.
struct MemberProgress {
  HostId Host;
  IncarnationNumber Incarnation = 0;
  DiskStart Start = 0;     // Of its last answer.
  std::uint64_t Match = 0; // Synced and equal up to here.
  std::uint64_t Next = 1;  // Sent next.
  std::size_t Window = 0;  // Messages with entries not yet answered.
  bool Probing = true;     // Next is a guess; one message at a time.
  bool Snapshotting = false;
  Snapshot Sending;              // Snapshotting: kept until it is through.
  std::uint64_t Checksum = 0;    // Of Sending.
  std::uint64_t ChunkOffset = 0; // Of the piece sent next.
  TimePoint LastReply{};         // At the leader.
  TimePoint LastSent{};          // At the leader.
  TimePoint MarksSent{};         // When it was last told what others synced.
  TimePoint ConfirmedAt{}; // Newest request that it answered was sent then.
};

/// A message that must not leave before something is synced.
struct HeldMessage {
  std::uint64_t Ticket = 0; // Leaves once this write is synced.
  Outbound Content;
};

/// The write that the disk is busy with.
struct WriteInFlight {
  std::uint64_t Ticket = 0;    // Zero: none.
  std::uint64_t LastIndex = 0; // The log is synced up to here after it.
  bool Hard = false;           // The hard state is among it.
};

/// What a host told of its disk lately.
struct SeenDisk {
  HostId Host;
  IncarnationNumber Incarnation = 0;
  DiskStart Start = 0;
  bool Empty = false;
  std::uint64_t LogId = 0; // Of what it holds.
  std::uint64_t Term = 0;
  TimePoint At{};
  bool Good = false; // It found nothing against this replica's disk.
  bool Idle = false; // It neither led nor heard a leader since its start.
};

/// A snapshot that arrives in pieces.
struct PartialSnapshot {
  std::uint64_t Index = 0; // Zero: none arrives.
  std::uint64_t Checksum = 0;
  std::uint64_t Size = 0;
  std::string Data;
};

struct ReplicaState {
  ReplicaConfig Config;
  Random Rng;
  Code Halted = Code::Ok; // Else: it does nothing any more.
  std::string HaltReason;

  // Term and vote.
  ReplicaRole Role = ReplicaRole::Follower;
  HardState Hard;
  HostId LeaderHost;            // Of this term; empty: not known.
  std::vector<Member> Granted;  // Votes gathered, by the voters' disks.
  std::uint64_t VoteTicket = 0; // Its own vote counts once this is synced.

  // The log.
  Snapshot Base;
  std::deque<LogEntry> Log;      // Without gaps up to the last entry. May
                                 // begin before Base's last entry.
  std::vector<VotersAt> History; // Oldest first; the last one is in force.
  std::uint64_t Commit = 0;
  std::uint64_t Applied = 0; // Handed out.
  bool SnapshotWanted = false;
  TimePoint SnapshotAt{}; // The last one, or the start.

  // The disk.
  std::uint64_t Synced = 0;     // The log is synced up to here.
  std::uint64_t NextTicket = 1; // Of the next write.
  WriteInFlight InFlight;
  bool HardDirty = false;
  bool SnapshotDirty = false;
  bool ResetDirty = false; // The disk still holds entries of another log.
  std::uint64_t DirtyFrom =
      0; // First entry not handed to the disk; zero: none.
  std::vector<HeldMessage> Held;

  // Timers.
  TimePoint LastContact{};      // From a leader of this term, or the start.
  TimePoint ElectionDeadline{}; // Then an election starts.
  TimePoint NextHeartbeat{};
  TimePoint NextProbe{};

  // The start.
  std::vector<HostId> Contacts; // Hosts that may keep this log as well.
  bool Admitted = false;        // The others found this disk to be the newest.
  bool Contacted = false;       // It led or heard a leader since its start.
  bool Released = false; // Of the promise that an earlier start may have given.
  std::vector<SeenDisk> Seen;
  PartialSnapshot Incoming;

  // Leading.
  std::vector<MemberProgress> Progress;
  std::uint64_t TermStart = 0;  // Index of the leader's first entry.
  std::size_t PendingBytes = 0; // Of entries not yet committed.
  TimePoint LeadingSince{};
  HostId TransferTo; // Not empty: leadership is being handed over.
  TimePoint TransferDeadline{};
  bool Ceded = false; // A TimeoutNow left: no lease in this term any more.
};

//===----------------------------------------------------------------------===//
// Events
//===----------------------------------------------------------------------===//

/// The state after a start on what the disk held.
ReplicaState startReplica(const ReplicaConfig &Config, Recovered Found,
                          TimePoint Now);

/// When tick() is needed next at the latest.
TimePoint nextTick(const ReplicaState &S);

/// Elections, heartbeats, probes. Harmless at any time.
void tick(ReplicaState &S, TimePoint Now, ReplicaEffects &E);

/// The header of a message between replicas; null for any other message. Tells
/// the group that it is meant for.
const ReplicaHeader *replicaHeader(const Message &M);

/// Hosts that may keep this log, as discovery found them: a disk that belongs
/// to nothing yet tells them of itself.
void setContacts(ReplicaState &S, std::vector<HostId> Hosts);

/// The connection to \p Host broke, as it does when a process ends. A follower
/// of it stands as soon as the promise that it gave its leader is over, instead
/// of waiting for a longer silence.
void onLinkLost(ReplicaState &S, const HostId &Host);

/// A message from the host \p From. Messages of other kinds or groups are
/// ignored.
void receive(ReplicaState &S, const HostId &From, const Message &M,
             TimePoint Now, ReplicaEffects &E);

/// The write with this ticket is synced, and so are all before it.
void diskWritten(ReplicaState &S, std::uint64_t Ticket, TimePoint Now,
                 ReplicaEffects &E);

/// A write failed. The replica halts: it neither votes nor acknowledges nor
/// leads until the process starts again.
void diskFailed(ReplicaState &S, Code Reason, std::string Detail,
                ReplicaEffects &E);

/// The state machine's state after the entry \p Index, which must have been
/// handed out. Drops the entries that it stands for, but for a few that slow
/// members may still need.
void snapshotTaken(ReplicaState &S, std::uint64_t Index, std::string Data,
                   TimePoint Now, ReplicaEffects &E);

//===----------------------------------------------------------------------===//
// Proposals
//===----------------------------------------------------------------------===//

/// Where a proposal stands in the log.
struct Proposal {
  std::uint64_t Index = 0;
  std::uint64_t Term = 0;
};

/// Appends a command. Nothing where this replica does not lead, hands its
/// leadership over or has too much uncommitted. It is written and sent by the
/// next flush(), together with all others of the turn.
std::optional<Proposal> propose(ReplicaState &S, Blob Command);

/// Writes and sends what was proposed. Every other event does so as well.
void flush(ReplicaState &S, TimePoint Now, ReplicaEffects &E);

//===----------------------------------------------------------------------===//
// Members
//===----------------------------------------------------------------------===//

enum class MemberChange : std::uint8_t {
  Started,   // In the log; in force, and committed later.
  Done,      // It is so already.
  NotLeader, // Ask the leader.
  Busy,      // Another change is not committed yet, or nothing is in this term.
  Unseen,    // The host has not been heard of.
  Refused,   // It would leave no voter, or the disk is retired.
};

const char *toString(MemberChange C);
inline std::ostream &operator<<(std::ostream &OS, MemberChange C) {
  return OS << toString(C);
}

/// Makes \p Host, by the disk that it told of, a learner. The leader makes it a
/// voter once it has caught up and synced.
MemberChange addMember(ReplicaState &S, const HostId &Host, TimePoint Now,
                       ReplicaEffects &E);

/// Removes \p Host and retires its disk. A leader that removes itself steps
/// down once that is committed.
MemberChange removeMember(ReplicaState &S, const HostId &Host, TimePoint Now,
                          ReplicaEffects &E);

/// Hands the leadership to the voter that is furthest, or to \p To. False where
/// this replica does not lead or no voter could take over. From then on
/// propose() refuses. Once the voter has every entry it is asked to stand, and
/// this replica holds no lease any more. If it takes longer than an election
/// timeout, this replica leads on or, where it gave up its lease, steps down.
bool transferLeadership(ReplicaState &S, const HostId &To, TimePoint Now,
                        ReplicaEffects &E);

//===----------------------------------------------------------------------===//
// Leases
//===----------------------------------------------------------------------===//

/// Whether no other replica can lead at \p Now: a majority promised lately not
/// to vote, and an entry of this term is committed.
bool holdsLease(const ReplicaState &S, TimePoint Now);

/// When the lease ends unless renewed; the epoch of the clock without one.
TimePoint leaseEnd(const ReplicaState &S);

/// The entry after whose application a read is current; nothing where the lease
/// is not held.
std::optional<std::uint64_t> readBarrier(const ReplicaState &S, TimePoint Now);

//===----------------------------------------------------------------------===//
// Status
//===----------------------------------------------------------------------===//

/// The leader as far as this replica knows; empty: none known.
HostId leader(const ReplicaState &S);

inline ReplicaRole role(const ReplicaState &S) { return S.Role; }
inline std::uint64_t term(const ReplicaState &S) { return S.Hard.Term; }

/// The members in force here; without members where the log is not formed.
const VoterSet &members(const ReplicaState &S);

/// How one member stands, as the leader knows it.
struct MemberStatus {
  Member Who;
  std::uint64_t Synced = 0;
  Duration Silence = {}; // Since its last answer.
  bool CaughtUp = false; // A voter that could take the leadership over.
};

/// What an operator is shown of one group.
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
  std::uint64_t FirstIndex = 0; // Still in the log; zero: it is empty.
  std::uint64_t LastIndex = 0;
  std::uint64_t Commit = 0;
  std::uint64_t Applied = 0;
  std::uint64_t Synced = 0;
  std::uint64_t SnapshotIndex = 0;
  std::vector<MemberStatus> Members; // Synced and Silence at the leader only.
};

ReplicaStatus status(const ReplicaState &S, TimePoint Now);

} // namespace pimento
