//===- Internal.h - Functions shared within the replica ---------*- C++ -*-===//
//
// Not for users of the package. By source file:
//   Log.cpp        entries, members in force, writes, held messages
//   Election.cpp   votes, changes of role, end of a leadership transfer
//   Append.cpp     replication and commit
//   Chunks.cpp     transfer of snapshots in chunks
//   Members.cpp    member changes, replaced disks, promotion of learners
//   Start.cpp      probes, admission after a start, formation of the log, disk
//                  marks (what each disk is known to have synced)
//   Replica.cpp    events
//   Status.cpp     status for operators, decision records
//   Lease.cpp      leases, start of a leadership transfer
//
//===----------------------------------------------------------------------===//
#pragma once

#include "replica/Replica.h"

namespace pimento::replica {

// Log.cpp

std::uint64_t lastIndex(const ReplicaState &S);
std::uint64_t lastTerm(const ReplicaState &S);
/// The term of an entry; nothing if the entry is not held.
std::optional<std::uint64_t> termAt(const ReplicaState &S, std::uint64_t Index);
const LogEntry &entryAt(const ReplicaState &S, std::uint64_t Index);
bool holdsEntry(const ReplicaState &S, std::uint64_t Index);
/// Whether there are neither entries nor a snapshot.
bool isEmpty(const ReplicaState &S);
/// Appends an entry. Its payload must be valid for its kind.
void append(ReplicaState &S, LogEntry Entry);
/// Drops the entries from \p Index on.
void truncateFrom(ReplicaState &S, std::uint64_t Index);
/// Makes \p New the base of the log. Keeps \p Keep of the entries that it
/// covers. Drops the whole log if the log does not hold the last entry of
/// \p New.
void rebase(ReplicaState &S, Snapshot New, std::uint64_t Keep);
/// The members in force as of an entry.
const VoterSet &membersAt(const ReplicaState &S, std::uint64_t Index);
/// Delivers committed entries that were not delivered yet.
void apply(ReplicaState &S, ReplicaEffects &E);

/// Starts the next write unless one is in flight.
void startWrite(ReplicaState &S, ReplicaEffects &E);
/// The ticket whose sync makes the whole state durable; zero: the state is
/// durable already.
std::uint64_t ticketForAll(const ReplicaState &S);
/// The ticket whose sync makes the hard state durable; zero: it is durable
/// already.
std::uint64_t ticketForHard(const ReplicaState &S);
/// Sends a message once the write \p Ticket is synced; zero: at once.
void sendAfter(ReplicaState &S, std::uint64_t Ticket, const HostId &To,
               Message M, ReplicaEffects &E);
/// Sends the messages held back for the write. A message of an earlier term is
/// sent as well: it states only what held when it was decided.
void releaseHeld(ReplicaState &S, std::uint64_t Ticket, ReplicaEffects &E);

// Members.cpp

std::string encodeVoters(const VoterSet &V);
std::optional<VoterSet> decodeVoters(std::string_view Bytes);
const Member *findMember(const VoterSet &V, const HostId &Host);
/// Whether \p Host with the disk \p Incarnation is a voter.
bool isVoter(const VoterSet &V, const HostId &Host,
             IncarnationNumber Incarnation);
bool isSelfVoter(const ReplicaState &S);
bool isRetired(const VoterSet &V, const HostId &Host,
               IncarnationNumber Incarnation);
/// Number of voters needed for a majority; zero if there are no voters.
std::size_t majority(const VoterSet &V);
/// Updates ReplicaState::Progress to the members in force.
void updateProgress(ReplicaState &S, TimePoint Now);
/// Replaces the disk of a member that came back with another one, and promotes
/// learners that have caught up. Called at the leader.
void maintainMembers(ReplicaState &S, TimePoint Now, ReplicaEffects &E);

// Election.cpp

void resetElectionTimer(ReplicaState &S, TimePoint Now);
/// Becomes a follower, and adopts \p Term if it is newer.
void becomeFollower(ReplicaState &S, std::uint64_t Term, TimePoint Now,
                    const char *Reason, ReplicaEffects &E);
/// Records a message from a leader of the current term.
void onLeaderContact(ReplicaState &S, const HostId &From, TimePoint Now,
                     ReplicaEffects &E);
void startPreVote(ReplicaState &S, TimePoint Now, ReplicaEffects &E);
void startElection(ReplicaState &S, bool Transfer, TimePoint Now,
                   ReplicaEffects &E);
void startFormation(ReplicaState &S, std::uint64_t Term, TimePoint Now,
                    ReplicaEffects &E);
/// Records a vote; a repeated vote of the same disk counts once.
void addVote(ReplicaState &S, const HostId &Host,
             IncarnationNumber Incarnation);
/// Counts the votes and takes the next step if they suffice. The own vote
/// counts once it is synced.
void countVotes(ReplicaState &S, TimePoint Now, ReplicaEffects &E);
void onVoteRequest(ReplicaState &S, const HostId &From, const VoteRequest &M,
                   TimePoint Now, ReplicaEffects &E);
void onVoteReply(ReplicaState &S, const HostId &From, const VoteReply &M,
                 TimePoint Now, ReplicaEffects &E);
void onTimeoutNow(ReplicaState &S, const HostId &From, const TimeoutNow &M,
                  TimePoint Now, ReplicaEffects &E);
/// Sends TimeoutNow once the target of the transfer has every entry.
void continueTransfer(ReplicaState &S, TimePoint Now, ReplicaEffects &E);
/// The newest time at which a majority is known to have followed this leader;
/// the clock's epoch if there is none, TimePoint::max() if this replica alone
/// is a majority.
TimePoint confirmedByMajority(const ReplicaState &S);

// Append.cpp

MemberProgress *findProgress(ReplicaState &S, const HostId &Host,
                             IncarnationNumber Incarnation);
/// Begins the handling of a member's reply to a request that this leader sent
/// at \p SentAt, and records that the member answered. Returns the member's
/// progress; null if the reply has no effect, since it is of another term or
/// disk. Steps down if the member has a newer term.
MemberProgress *acceptReply(ReplicaState &S, const HostId &From,
                            const ReplicaHeader &Header, Duration SentAt,
                            TimePoint Now, ReplicaEffects &E);
/// Sends the entries that \p P lacks, as far as its window allows. With
/// \p Heartbeat, sends at least one message, empty if necessary.
void replicate(ReplicaState &S, MemberProgress &P, bool Heartbeat,
               TimePoint Now, ReplicaEffects &E);
void replicateAll(ReplicaState &S, bool Heartbeat, TimePoint Now,
                  ReplicaEffects &E);
void advanceCommit(ReplicaState &S, TimePoint Now, ReplicaEffects &E);
void onAppendRequest(ReplicaState &S, const HostId &From,
                     const AppendRequest &M, TimePoint Now, ReplicaEffects &E);
void onAppendReply(ReplicaState &S, const HostId &From, const AppendReply &M,
                   TimePoint Now, ReplicaEffects &E);

// Chunks.cpp

/// Sends the next chunk of a snapshot; without data, a heartbeat only.
void sendChunk(ReplicaState &S, MemberProgress &P, bool WithData, TimePoint Now,
               ReplicaEffects &E);
void onSnapshotChunk(ReplicaState &S, const HostId &From,
                     const SnapshotChunk &M, TimePoint Now, ReplicaEffects &E);
void onSnapshotReply(ReplicaState &S, const HostId &From,
                     const SnapshotReply &M, TimePoint Now, ReplicaEffects &E);

// Start.cpp

/// Whether this replica still has to probe other hosts about its disk.
bool wantsProbe(const ReplicaState &S, TimePoint Now);
void sendProbes(ReplicaState &S, TimePoint Now, ReplicaEffects &E);
/// Admits this replica once enough hosts accepted its disk, and starts to form
/// the log if the disk of every configured voter is empty.
void continueStart(ReplicaState &S, TimePoint Now, ReplicaEffects &E);
void onProbe(ReplicaState &S, const HostId &From, const ReplicaProbe &M,
             TimePoint Now, ReplicaEffects &E);
void onProbeReply(ReplicaState &S, const HostId &From,
                  const ReplicaProbeReply &M, TimePoint Now, ReplicaEffects &E);
/// Whether a message of the sender's disk may be handled. Replies to a disk
/// that is refused or has to probe first.
bool checkSender(ReplicaState &S, const HostId &From, const ReplicaHeader &H,
                 ReplicaEffects &E);
/// Records what a disk is known to have synced.
void markDisk(ReplicaState &S, const HostId &Host,
              IncarnationNumber Incarnation, DiskStart Start,
              std::uint64_t Term, std::uint64_t Synced);
const SeenDisk *findSeen(const ReplicaState &S, const HostId &Host);

// Status.cpp

/// Adds a decision record with the group, the term and the reason.
DecisionRecord &decide(const ReplicaState &S, ReplicaEffects &E,
                       const char *Kind, std::string Reason);

// Replica.cpp

ReplicaHeader header(const ReplicaState &S,
                     IncarnationNumber TargetIncarnation = 0);
void send(ReplicaEffects &E, const HostId &To, Message M);
/// Reports the uncommitted proposals of this leader as of unknown outcome.
void reportLost(ReplicaState &S, ReplicaEffects &E);
void halt(ReplicaState &S, Code Reason, std::string Detail, ReplicaEffects &E);

} // namespace pimento::replica
