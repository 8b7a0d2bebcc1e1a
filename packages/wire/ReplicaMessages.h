//===- ReplicaMessages.h - The replicated logs ------------------*- C++ -*-===//
//
// A host runs several replicated logs, the groups: group 0 keeps the control
// state, the others the claims. Every message starts with a ReplicaHeader.
//
//   probe        ReplicaProbe, ReplicaProbeReply     after a start
//   election     VoteRequest, VoteReply, TimeoutNow
//   replication  AppendRequest, AppendReply          the leader's heartbeat
//   snapshots    SnapshotChunk, SnapshotReply        for who is far behind
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

/// Names a replicated log; zero is the control state.
using GroupId = std::uint32_t;

/// One start on one disk. The upper half counts the starts of the disk from 1,
/// the lower half is random, which tells two copies of a disk apart.
using DiskStart = std::uint64_t;

/// How often the disk had been started.
inline std::uint64_t startCount(DiskStart Start) { return Start >> 32U; }

/// A host that keeps a replicated log, by the disk that it keeps it on. The
/// same host with another disk is another member.
struct Member {
  HostId Host;
  IncarnationNumber Incarnation = 0; // Of the disk.
  bool Learner = false; // Receives the log, does not vote, does not count.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Host, M.Incarnation, M.Learner);
  }
  friend bool operator==(const Member &A, const Member &B) {
    return std::tie(A.Host, A.Incarnation, A.Learner) ==
           std::tie(B.Host, B.Incarnation, B.Learner);
  }
};

/// A disk that must never take part again.
struct RetiredDisk {
  HostId Host;
  IncarnationNumber Incarnation = 0;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Host, M.Incarnation);
  }
};

/// Who keeps a log; the payload of an entry of the kind Voters.
struct VoterSet {
  std::uint64_t LogId = 0;          // Random, drawn when the log was formed.
  std::vector<Member> Members;      // By host name; voters and learners.
  std::vector<RetiredDisk> Retired; // Newest last, a bounded number.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.LogId, M.Members, M.Retired);
  }
};

enum class EntryKind : std::uint8_t {
  Noop,    // A new leader's first entry.
  Command, // For the state machine.
  Voters,  // A VoterSet, in force from the moment it is in the log.
};

/// One entry of a replicated log.
struct LogEntry {
  std::uint64_t Index = 0; // From 1, without gaps.
  std::uint64_t Term = 0;  // Of the leader that made it.
  EntryKind Kind = EntryKind::Noop;
  Blob Payload;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Index, M.Term, M.Kind, M.Payload);
  }
};

/// What every message between replicas begins with.
struct ReplicaHeader {
  GroupId Group = 0;
  IncarnationNumber Incarnation = 0; // Of the sender's disk.
  DiskStart Start = 0;               // Of the sender.
  std::uint64_t LogId = 0; // Of the sender's log; zero: it has none yet.
  std::uint64_t Term = 0;  // The sender's.
  IncarnationNumber TargetIncarnation =
      0; // Of the disk that it is for; zero: whichever.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Group, M.Incarnation, M.Start, M.LogId, M.Term,
          M.TargetIncarnation);
  }
};

/// Sent after a start to every host: asks whether the disk is still the one
/// that the others know, and tells whether it is empty. Nobody takes any other
/// message of a start that has not asked him.
struct ReplicaProbe {
  static constexpr std::uint16_t WireType = 101;
  ReplicaHeader Header;
  bool Empty = false;          // Neither entries nor a snapshot.
  std::uint64_t LastIndex = 0; // Of the log, synced.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Header, M.Empty, M.LastIndex);
  }
};

enum class DiskVerdict : std::uint8_t {
  Good,       // Nothing speaks against it.
  Retired,    // Another disk has taken its place.
  RolledBack, // It once held more than it holds now.
  Copied,     // Another process started the same disk.
  OtherLog,   // It holds entries of another site's log.
  Unasked,    // This start has not asked here yet: it has to.
};

struct ReplicaProbeReply {
  static constexpr std::uint16_t WireType = 102;
  ReplicaHeader Header;
  bool Empty = false; // Of the answering host.
  DiskVerdict Verdict = DiskVerdict::Good;
  IncarnationNumber ProbedIncarnation =
      0; // Echoed, so that an old answer is told apart.
  DiskStart ProbedStart = 0;
  DiskStart KnownStart = 0; // Newest start of that disk known here.
  bool Idle = false; // It neither led nor heard a leader since its start.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Header, M.Empty, M.Verdict, M.ProbedIncarnation, M.ProbedStart,
          M.KnownStart, M.Idle);
  }
};

enum class VoteKind : std::uint8_t {
  Pre,       // Would you vote for me? Changes nothing at either side.
  Election,  // Binding.
  Formation, // Binding, and only given by an empty host to form the log.
};

struct VoteRequest {
  static constexpr std::uint16_t WireType = 103;
  ReplicaHeader Header;
  VoteKind Kind = VoteKind::Pre;
  std::uint64_t VoteTerm = 0; // For which the vote is asked.
  std::uint64_t LastIndex = 0;
  std::uint64_t LastTerm = 0;
  bool Transfer = false; // The leader itself asked for this election.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Header, M.Kind, M.VoteTerm, M.LastIndex, M.LastTerm, M.Transfer);
  }
};

struct VoteReply {
  static constexpr std::uint16_t WireType = 104;
  ReplicaHeader Header;
  VoteKind Kind = VoteKind::Pre;
  std::uint64_t VoteTerm = 0; // As asked.
  bool Granted = false;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Header, M.Kind, M.VoteTerm, M.Granted);
  }
};

/// What a leader knows that a member has acknowledged.
struct SyncedUpTo {
  DiskStart Start = 0;     // Of the member when it did.
  std::uint64_t Index = 0; // Zero: nothing in this term.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Start, M.Index);
  }
};

/// Entries, or none as a heartbeat.
struct AppendRequest {
  static constexpr std::uint16_t WireType = 105;
  ReplicaHeader Header;
  std::uint64_t PrevIndex = 0; // The entry before the first one.
  std::uint64_t PrevTerm = 0;
  std::uint64_t Commit = 0;       // The leader's.
  Duration SentAt = {};           // On the leader's clock; echoed.
  std::vector<LogEntry> Entries;  // Without gaps.
  std::uint64_t VotersIndex = 0;  // Of the set that Synced follows.
  std::vector<SyncedUpTo> Synced; // By member; empty: nothing new.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Header, M.PrevIndex, M.PrevTerm, M.Commit, M.SentAt, M.Entries,
          M.VotersIndex, M.Synced);
  }
};

struct AppendReply {
  static constexpr std::uint16_t WireType = 106;
  ReplicaHeader Header;
  Duration SentAt = {};        // Of the request.
  std::uint64_t PrevIndex = 0; // Of the request.
  bool Accepted = false;
  std::uint64_t Match = 0; // Accepted: synced and equal up to here.
  std::uint64_t Hint = 0;  // Not accepted: where the logs may still be equal.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Header, M.SentAt, M.PrevIndex, M.Accepted, M.Match, M.Hint);
  }
};

/// A piece of a snapshot, for a member whose next entry the leader no longer
/// holds. Serves as a heartbeat as well.
struct SnapshotChunk {
  static constexpr std::uint16_t WireType = 107;
  ReplicaHeader Header;
  Duration SentAt = {};       // On the leader's clock; echoed.
  std::uint64_t Index = 0;    // The last entry that the snapshot stands for.
  std::uint64_t LastTerm = 0; // Of that entry.
  VoterSet Voters;            // As of that entry.
  std::uint64_t Size = 0;     // Of the whole snapshot, in bytes.
  std::uint64_t Checksum = 0; // Of the whole snapshot.
  std::uint64_t Offset = 0;   // Of this piece.
  Blob Data;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Header, M.SentAt, M.Index, M.LastTerm, M.Voters, M.Size, M.Checksum,
          M.Offset, M.Data);
  }
};

struct SnapshotReply {
  static constexpr std::uint16_t WireType = 108;
  ReplicaHeader Header;
  Duration SentAt = {};       // Of the piece.
  std::uint64_t Index = 0;    // Of the piece's snapshot.
  std::uint64_t Checksum = 0; // Of the piece's snapshot.
  std::uint64_t Received = 0; // Bytes held without a gap: send from here.
  bool Installed = false;     // Synced; entries up to Index are held.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Header, M.SentAt, M.Index, M.Checksum, M.Received, M.Installed);
  }
};

/// The leader asks a voter to start an election at once.
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
