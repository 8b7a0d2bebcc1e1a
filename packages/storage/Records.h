//===- Records.h - What is kept on disk and found again ---------*- C++ -*-===//
//
//   DiskWrite   what one replica wants to be synced, with the ticket under
//               which it hears that it is
//   Recovered   what a start finds of one group
//
// A group's writes are carried out in the order of their tickets.
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

/// The newest that a replica knows of another one's disk. A disk that comes
/// back with less than this was rolled back or copied.
struct DiskMark {
  HostId Host;
  IncarnationNumber Incarnation = 0;
  DiskStart Start = 0;      // Newest start.
  std::uint64_t Term = 0;   // Newest term that it acted in.
  std::uint64_t Synced = 0; // Last entry that it acknowledged in that term.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Host, M.Incarnation, M.Start, M.Term, M.Synced);
  }
};

/// What a replica must never forget, apart from the log.
struct HardState {
  std::uint64_t Term = 0;
  HostId VotedFor; // In that term; empty: nobody.
  IncarnationNumber VotedIncarnation = 0;
  std::vector<DiskMark> Marks; // Of the other members.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Term, M.VotedFor, M.VotedIncarnation, M.Marks);
  }
};

/// A state machine's whole state.
struct Snapshot {
  std::uint64_t Index = 0; // The last entry that it stands for; zero: none.
  std::uint64_t Term = 0;  // Of that entry.
  VoterSet Voters;         // As of that entry.
  std::shared_ptr<const std::string> Data; // Shared, since it may be large.
};

/// Parts are carried out in the order in which they stand here. Nothing of it
/// may be relied on before the whole of it is synced.
struct DiskWrite {
  GroupId Group = 0;
  std::uint64_t Ticket = 0; // From 1 in one start of one group.
  std::optional<HardState> Hard;
  std::optional<Snapshot> NewSnapshot; // Drops the entries that it covers.
  bool ResetLog = false; // With a snapshot: drops all other entries too.
  std::vector<LogEntry> Entries; // Without gaps; they replace everything from
                                 // the first one's index on.
};

/// What a start finds of one group.
struct Recovered {
  HardState Hard;
  Snapshot Base;                 // Index zero: no snapshot.
  std::vector<LogEntry> Entries; // After the snapshot, without gaps.
};

} // namespace pimento
