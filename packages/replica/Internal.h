//===- Internal.h - Parts of a replica among each other ---------*- C++ -*-===//
//
// Not for users of the package. By file:
//   Log.cpp        entries, members in force, writes, held messages
//   Election.cpp   votes, becoming leader or follower, hand-over
//   Append.cpp     replication and commit
//   Chunks.cpp     snapshots in pieces
//   Members.cpp    change of members, wiped disks, promotion of learners
//   Start.cpp      probes, admission after a start, forming the log, marks
//   Replica.cpp    the events
//   Status.cpp     what operators see, decision records
//
//===----------------------------------------------------------------------===//
#pragma once

#include "replica/Replica.h"

namespace pimento::replica {

// Log.cpp

std::uint64_t lastIndex(const ReplicaState &S);
std::uint64_t lastTerm(const ReplicaState &S);
/// The term of an entry; nothing where it is no longer or not yet held.
std::optional<std::uint64_t> termAt(const ReplicaState &S, std::uint64_t Index);
const LogEntry &entryAt(const ReplicaState &S, std::uint64_t Index);
bool holdsEntry(const ReplicaState &S, std::uint64_t Index);
/// Neither entries nor a snapshot.
bool isEmpty(const ReplicaState &S);
/// Adds an entry after the last one. Its payload must be one of its kind.
void append(ReplicaState &S, LogEntry Entry);
/// Drops the entries from \p Index on.
void truncateFrom(ReplicaState &S, std::uint64_t Index);
/// Takes \p New as the base of the log; \p Keep entries before its last one
/// stay. Drops everything where its last entry is not the log's.
void rebase(ReplicaState &S, Snapshot New, std::uint64_t Keep);
/// The members as of an entry.
const VoterSet &membersAt(const ReplicaState &S, std::uint64_t Index);
/// Hands out what is committed and not yet handed out.
void apply(ReplicaState &S, ReplicaEffects &E);

/// Starts the next write unless one is under way.
void startWrite(ReplicaState &S, ReplicaEffects &E);
/// The ticket whose sync makes everything in memory durable; zero: it is.
std::uint64_t ticketForAll(const ReplicaState &S);
/// The ticket whose sync makes the hard state durable; zero: it is.
std::uint64_t ticketForHard(const ReplicaState &S);
/// Sends now, or once the write \p Ticket is synced.
void sendAfter(ReplicaState &S, std::uint64_t Ticket, const HostId &To,
               Message M, ReplicaEffects &E);
/// Sends what waited for the write, also where its term is over by now: it was
/// so when it was decided, and that is all that it says.
void releaseHeld(ReplicaState &S, std::uint64_t Ticket, ReplicaEffects &E);

// Members.cpp

std::string encodeVoters(const VoterSet &V);
std::optional<VoterSet> decodeVoters(std::string_view Bytes);
const Member *findMember(const VoterSet &V, const HostId &Host);
/// Whether \p Host votes by the disk \p Incarnation.
bool isVoter(const VoterSet &V, const HostId &Host,
             IncarnationNumber Incarnation);
bool isSelfVoter(const ReplicaState &S);
bool isRetired(const VoterSet &V, const HostId &Host,
               IncarnationNumber Incarnation);
/// Voters needed for a majority; zero where there are none.
std::size_t majority(const VoterSet &V);
/// Brings Progress in step with the members in force.
void updateProgress(ReplicaState &S, TimePoint Now);
/// The leader's upkeep: wiped disks become learners, learners voters.
void maintainMembers(ReplicaState &S, TimePoint Now, ReplicaEffects &E);

// Election.cpp

void resetElectionTimer(ReplicaState &S, TimePoint Now);
/// Adopts \p Term where it is newer and stops leading or standing.
void becomeFollower(ReplicaState &S, std::uint64_t Term, TimePoint Now,
                    const char *Reason, ReplicaEffects &E);
/// A leader of the current term was heard.
void heardLeader(ReplicaState &S, const HostId &From, TimePoint Now,
                 ReplicaEffects &E);
void startPreVote(ReplicaState &S, TimePoint Now, ReplicaEffects &E);
void startElection(ReplicaState &S, bool Transfer, TimePoint Now,
                   ReplicaEffects &E);
void startFormation(ReplicaState &S, std::uint64_t Term, TimePoint Now,
                    ReplicaEffects &E);
/// Notes a vote; the same voter's twice is one.
void addVote(ReplicaState &S, const HostId &Host,
             IncarnationNumber Incarnation);
/// Counts the votes, its own included once it is synced.
void countVotes(ReplicaState &S, TimePoint Now, ReplicaEffects &E);
void onVoteRequest(ReplicaState &S, const HostId &From, const VoteRequest &M,
                   TimePoint Now, ReplicaEffects &E);
void onVoteReply(ReplicaState &S, const HostId &From, const VoteReply &M,
                 TimePoint Now, ReplicaEffects &E);
void onTimeoutNow(ReplicaState &S, const HostId &From, const TimeoutNow &M,
                  TimePoint Now, ReplicaEffects &E);
/// Sends TimeoutNow once the chosen voter has everything.
void continueTransfer(ReplicaState &S, TimePoint Now, ReplicaEffects &E);
/// The newest time at which a majority is known to have followed this leader;
/// the epoch of the clock where there is none.
TimePoint confirmedByMajority(const ReplicaState &S);

// Append.cpp

MemberProgress *findProgress(ReplicaState &S, const HostId &Host,
                             IncarnationNumber Incarnation);
/// Sends what \p P lacks as far as its window allows; with \p Heartbeat at
/// least an empty message.
void replicate(ReplicaState &S, MemberProgress &P, bool Heartbeat,
               TimePoint Now, ReplicaEffects &E);
void replicateAll(ReplicaState &S, bool Heartbeat, TimePoint Now,
                  ReplicaEffects &E);
void advanceCommit(ReplicaState &S, TimePoint Now, ReplicaEffects &E);
void onAppendRequest(ReplicaState &S, const HostId &From,
                     const AppendRequest &M, TimePoint Now, ReplicaEffects &E);
void onAppendReply(ReplicaState &S, const HostId &From, const AppendReply &M,
                   TimePoint Now, ReplicaEffects &E);
/// Takes in that the member answered a request that was sent at \p SentAt.
void confirm(MemberProgress &P, const ReplicaHeader &H, Duration SentAt,
             TimePoint Now);

// Chunks.cpp

/// Sends the next piece; without data it is a heartbeat only.
void sendChunk(ReplicaState &S, MemberProgress &P, bool WithData, TimePoint Now,
               ReplicaEffects &E);
void onSnapshotChunk(ReplicaState &S, const HostId &From,
                     const SnapshotChunk &M, TimePoint Now, ReplicaEffects &E);
void onSnapshotReply(ReplicaState &S, const HostId &From,
                     const SnapshotReply &M, TimePoint Now, ReplicaEffects &E);

// Start.cpp

/// Whether this replica still asks the others about its disk.
bool wantsProbe(const ReplicaState &S, TimePoint Now);
void sendProbes(ReplicaState &S, TimePoint Now, ReplicaEffects &E);
/// Admits this replica where a majority found nothing against its disk, and
/// forms the log where every configured voter is empty.
void continueStart(ReplicaState &S, TimePoint Now, ReplicaEffects &E);
void onProbe(ReplicaState &S, const HostId &From, const ReplicaProbe &M,
             TimePoint Now, ReplicaEffects &E);
void onProbeReply(ReplicaState &S, const HostId &From,
                  const ReplicaProbeReply &M, TimePoint Now, ReplicaEffects &E);
/// Whether the sender's disk may take part; answers it where it may not.
bool checkSender(ReplicaState &S, const HostId &From, const ReplicaHeader &H,
                 ReplicaEffects &E);
/// Remembers what a disk is known to have synced.
void markDisk(ReplicaState &S, const HostId &Host,
              IncarnationNumber Incarnation, DiskStart Start,
              std::uint64_t Term, std::uint64_t Synced);
const SeenDisk *findSeen(const ReplicaState &S, const HostId &Host);

// Status.cpp

/// A decision record with the group, the term and the reason.
DecisionRecord &decide(const ReplicaState &S, ReplicaEffects &E,
                       const char *Kind, std::string Reason);

// Replica.cpp

ReplicaHeader header(const ReplicaState &S,
                     IncarnationNumber TargetIncarnation = 0);
void send(ReplicaEffects &E, const HostId &To, Message M);
/// Reports what this leader took and cannot tell the outcome of.
void reportLost(ReplicaState &S, ReplicaEffects &E);
void halt(ReplicaState &S, Code Reason, std::string Detail, ReplicaEffects &E);

} // namespace pimento::replica
