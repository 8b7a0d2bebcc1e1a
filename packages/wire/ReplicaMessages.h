//===- ReplicaMessages.h - Messages of the replicated logs ------*- C++ -*-===//
//
// A host runs several replicated logs, called groups: group 0 keeps the control
// state, the others keep the claims of calls that may run at most once.
// Every message starts with a ReplicaHeader.
//
//   probe        ReplicaProbe, ReplicaProbeReply     checks a disk at a start
//   election     VoteRequest, VoteReply, TimeoutNow
//   replication  AppendRequest, AppendReply          entries and heartbeats
//   snapshots    SnapshotChunk, SnapshotReply        for members far behind
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "wire/Blob.h"
#include "wire/MessageList.h"

#include <cstdint>
#include <tuple>
#include <vector>

namespace pimento {

/// Identifies a replicated log; zero is the log of the control state.
using GroupId = std::uint32_t;

/// Identifies one start on one disk. The upper half counts the starts of the
/// disk from 1; the lower half is random, which distinguishes copies of a disk.
using DiskStart = std::uint64_t;

/// Number of starts of the disk so far.
inline std::uint64_t startCount(DiskStart Start) { return Start >> 32U; }

/// A host that keeps a replicated log, together with the disk that holds the
/// log. The same host with another disk is another member.
struct Member {
  HostId Host;
  IncarnationNumber Incarnation = 0; // Incarnation of the disk.
  bool Learner = false; // Receives the log but is not part of any majority.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Host, M.Incarnation, M.Learner);
  }
  friend bool operator==(const Member &A, const Member &B) {
    return std::tie(A.Host, A.Incarnation, A.Learner) ==
           std::tie(B.Host, B.Incarnation, B.Learner);
  }
};

/// A disk that must never be a member again.
struct RetiredDisk {
  HostId Host;
  IncarnationNumber Incarnation = 0; // Incarnation of the disk.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Host, M.Incarnation);
  }
};

/// The members of a log; payload of an entry of the kind Voters.
struct VoterSet {
  std::uint64_t LogId = 0;          // Random number drawn at the formation.
  std::vector<Member> Members;      // Voters and learners, by host name.
  std::vector<RetiredDisk> Retired; // Newest last; bounded in number.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.LogId, M.Members, M.Retired);
  }
};

enum class EntryKind : std::uint8_t {
  Noop,    // First entry of a new leader.
  Command, // Command for the state machine.
  Voters,  // A VoterSet, in force as soon as the entry is in the log.
};

/// One entry of a replicated log.
struct LogEntry {
  std::uint64_t Index = 0; // Counts from 1 without gaps.
  std::uint64_t Term = 0;  // Term of the leader that appended the entry.
  EntryKind Kind = EntryKind::Noop;
  Blob Payload;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Index, M.Term, M.Kind, M.Payload);
  }
};

/// First field of every message between replicas.
struct ReplicaHeader {
  GroupId Group = 0;
  IncarnationNumber Incarnation = 0; // Incarnation of the sender's disk.
  DiskStart Start = 0;               // Disk start of the sender.
  std::uint64_t LogId = 0;           // Log of the sender; zero: none yet.
  std::uint64_t Term = 0;            // Term of the sender.
  /// Incarnation of the disk that the message is for; zero: any.
  IncarnationNumber TargetIncarnation = 0;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Group, M.Incarnation, M.Start, M.LogId, M.Term,
          M.TargetIncarnation);
  }
};

/// Sent to every host after a start: asks whether the disk is still the one
/// known to the receiver, and reports whether it is empty. A host ignores all
/// other messages of a start from which it has received no probe.
struct ReplicaProbe {
  static constexpr std::uint16_t WireType = 101;
  ReplicaHeader Header;
  bool Empty = false;          // The disk holds neither entries nor a snapshot.
  std::uint64_t LastIndex = 0; // Last synced entry of the log.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Header, M.Empty, M.LastIndex);
  }
};

enum class DiskVerdict : std::uint8_t {
  Accepted,      // Nothing known contradicts the disk.
  Retired,       // Another disk replaced it, or its host was removed.
  RolledBack,    // The disk held more or newer state before.
  Copied,        // Another process started on a copy of the disk.
  OtherLog,      // The disk holds the log of another site.
  ProbeRequired, // No probe of this start arrived; the sender has to probe.
};

/// Answer to a ReplicaProbe, or to any message of a disk that is refused.
struct ReplicaProbeReply {
  static constexpr std::uint16_t WireType = 102;
  ReplicaHeader Header;
  bool Empty = false; // The disk of the replying host is empty.
  DiskVerdict Verdict = DiskVerdict::Accepted;
  /// Echo of the probing disk, by which the receiver drops outdated replies.
  IncarnationNumber ProbedIncarnation = 0;
  DiskStart ProbedStart = 0; // Echo of the probing start.
  DiskStart KnownStart = 0;  // Newest start of that disk known to the sender.
  bool Idle = false;         // The sender has had no leader since its start.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Header, M.Empty, M.Verdict, M.ProbedIncarnation, M.ProbedStart,
          M.KnownStart, M.Idle);
  }
};

enum class VoteKind : std::uint8_t {
  Pre,       // Pre-vote: asks for the likely outcome and changes no state.
  Election,  // Binding vote in an election.
  Formation, // Binding vote to form the log; only hosts with empty disks vote.
};

/// Asks a host for its vote.
struct VoteRequest {
  static constexpr std::uint16_t WireType = 103;
  ReplicaHeader Header;
  VoteKind Kind = VoteKind::Pre;
  std::uint64_t VoteTerm = 0;  // Term for which the vote is requested.
  std::uint64_t LastIndex = 0; // Last entry of the candidate's log.
  std::uint64_t LastTerm = 0;  // Term of that entry.
  bool Transfer = false;       // The leader requested the election.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Header, M.Kind, M.VoteTerm, M.LastIndex, M.LastTerm, M.Transfer);
  }
};

struct VoteReply {
  static constexpr std::uint16_t WireType = 104;
  ReplicaHeader Header;
  VoteKind Kind = VoteKind::Pre;
  std::uint64_t VoteTerm = 0; // Echo of the request.
  bool Granted = false;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Header, M.Kind, M.VoteTerm, M.Granted);
  }
};

/// How far a member has synced the log, as acknowledged to the leader.
struct SyncedUpTo {
  DiskStart Start = 0;     // Disk start of the member at that time.
  std::uint64_t Index = 0; // Last synced entry; zero: none in this term.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Start, M.Index);
  }
};

/// Entries for a follower; without entries a heartbeat.
struct AppendRequest {
  static constexpr std::uint16_t WireType = 105;
  ReplicaHeader Header;
  std::uint64_t PrevIndex = 0;   // Index of the entry before Entries.
  std::uint64_t PrevTerm = 0;    // Term of that entry.
  std::uint64_t Commit = 0;      // Last committed index of the leader.
  Duration SentAt = {};          // Sending time on the leader's clock; echoed.
  std::vector<LogEntry> Entries; // Entries without gaps.
  /// Index of the log entry or snapshot with the VoterSet that orders Synced.
  std::uint64_t VotersIndex = 0;
  std::vector<SyncedUpTo> Synced; // One per member; empty: not included.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Header, M.PrevIndex, M.PrevTerm, M.Commit, M.SentAt, M.Entries,
          M.VotersIndex, M.Synced);
  }
};

struct AppendReply {
  static constexpr std::uint16_t WireType = 106;
  ReplicaHeader Header;
  Duration SentAt = {};        // Echo of the request.
  std::uint64_t PrevIndex = 0; // Echo of the request.
  bool Accepted = false;
  std::uint64_t Match = 0; // Accepted: last entry that is synced and equal.
  std::uint64_t Hint = 0;  // Not accepted: last entry that may still be equal.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Header, M.SentAt, M.PrevIndex, M.Accepted, M.Match, M.Hint);
  }
};

/// A chunk of a snapshot, for a member whose next entry the leader no longer
/// holds. Serves as a heartbeat as well.
struct SnapshotChunk {
  static constexpr std::uint16_t WireType = 107;
  ReplicaHeader Header;
  Duration SentAt = {};       // Sending time on the leader's clock; echoed.
  std::uint64_t Index = 0;    // Last entry that the snapshot covers.
  std::uint64_t LastTerm = 0; // Term of that entry.
  VoterSet Voters;            // Members as of that entry.
  std::uint64_t Size = 0;     // Size of the whole snapshot in bytes.
  std::uint64_t Checksum = 0; // Checksum of the whole snapshot.
  std::uint64_t Offset = 0;   // Offset of this chunk in bytes.
  Blob Data;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Header, M.SentAt, M.Index, M.LastTerm, M.Voters, M.Size, M.Checksum,
          M.Offset, M.Data);
  }
};

/// Answer to a SnapshotChunk.
struct SnapshotReply {
  static constexpr std::uint16_t WireType = 108;
  ReplicaHeader Header;
  Duration SentAt = {};       // Echo of the chunk.
  std::uint64_t Index = 0;    // Echo of the chunk.
  std::uint64_t Checksum = 0; // Echo of the chunk.
  std::uint64_t Received = 0; // Bytes received without a gap; next offset.
  bool Installed = false;     // Everything up to Index is held and synced.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Header, M.SentAt, M.Index, M.Checksum, M.Received, M.Installed);
  }
};

/// Sent by the leader: the receiving voter starts an election at once.
struct TimeoutNow {
  static constexpr std::uint16_t WireType = 109;
  ReplicaHeader Header;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Header);
  }
};

using ReplicaMessages =
    MessageList<ReplicaProbe, ReplicaProbeReply, VoteRequest, VoteReply,
                AppendRequest, AppendReply, SnapshotChunk, SnapshotReply,
                TimeoutNow>;

} // namespace pimento
