//===- Records.h - Data written to disk and recovered from it ---*- C++ -*-===//
//
//   DiskWrite   data that a replica requests to be synced, with the ticket that
//               identifies the write when its completion is reported
//   Recovered   state of one group as found at a start
//
// The writes of a group are executed in the order of their tickets.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "wire/ReplicaMessages.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pimento {

/// The newest state that a replica knows of another replica's disk. A disk that
/// returns with an older state was rolled back or copied.
struct DiskMark {
  HostId Host;
  IncarnationNumber Incarnation = 0;
  DiskStart Start = 0;      // Newest start of that disk.
  std::uint64_t Term = 0;   // Newest term that the replica acted in.
  std::uint64_t Synced = 0; // Last entry acknowledged in that term.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Host, M.Incarnation, M.Start, M.Term, M.Synced);
  }
};

/// State of a replica, besides the log, that must survive a restart.
struct HardState {
  std::uint64_t Term = 0;
  HostId VotedFor; // Candidate voted for in Term; empty: none.
  IncarnationNumber VotedIncarnation = 0;
  std::vector<DiskMark> Marks; // One for each other member.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Term, M.VotedFor, M.VotedIncarnation, M.Marks);
  }
};

/// The complete state of a state machine.
struct Snapshot {
  std::uint64_t Index = 0; // Last entry included; zero: no snapshot.
  std::uint64_t Term = 0;  // Term of that entry.
  VoterSet Voters;         // Voters as of that entry.
  std::shared_ptr<const std::string> Data; // Shared, since it may be large.
};

/// A write for one group. Its parts take effect in the order of the fields. No
/// part may be relied on before the whole write is synced.
struct DiskWrite {
  GroupId Group = 0;
  std::uint64_t Ticket = 0; // Counts from 1 per group and start.
  std::optional<HardState> Hard;
  std::optional<Snapshot> NewSnapshot; // Drops the entries included in it.
  bool ResetLog = false;         // With a snapshot: drops all other entries.
  std::vector<LogEntry> Entries; // Without gaps; replace all entries from
                                 // the index of the first one on.
};

/// State of one group as found at a start.
struct Recovered {
  HardState Hard;
  Snapshot Base;                 // Index zero: no snapshot.
  std::vector<LogEntry> Entries; // Entries after the snapshot, without gaps.
};

} // namespace pimento
