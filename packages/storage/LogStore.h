//===- LogStore.h - Logs and snapshots in one data folder ----------*- C++
//-*-===//
//
//   Disk D;
//   openPosixDisk(Path, D);
//   std::map<GroupId, Recovered> Found;
//   Result<LogStore> S = openStore(D, Config, Found);
//   Result<void> Done = writeBatch(*S, Writes);   // one sync for all groups
//
// Index
//   Identity       which disk this is, and which start of it
//   LogStore       the open folder
//   openStore()    reads everything, repairs a torn tail, counts the start
//   writeBatch()   returns once everything is synced
//   pinningGroup() whose snapshot would free the most space
//
// A folder holds
//   identity                      text; rewritten at each start
//   wal-SEQUENCE                  segments of the one log that all groups share
//   snapshot-GROUP-INDEX-TERM     the newest snapshot of each group
//   *.tmp                         left by a crash; removed at the next start
//
// All functions block. A store belongs to one thread at a time; the caller may
// keep it on a thread of its own, since it takes and gives plain data.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Result.h"
#include "storage/Disk.h"
#include "storage/Records.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pimento {

struct StoreConfig {
  HostId Host;
  std::uint64_t Nonce = 0; // Fresh random bits for each start; never zero.
  std::size_t SegmentBytes = 16U << 20U; // A segment ends past this size.
  std::size_t PinnedSegments = 4; // More than this: pinningGroup() speaks up.
};

/// Which disk this is. A wiped disk gets another life.
struct Identity {
  HostId Host;
  IncarnationNumber Incarnation = 0; // Drawn when the folder was first used.
  DiskStart Start = 0;               // Of this start.
};

/// One file of the log.
struct SegmentInfo {
  std::uint64_t Sequence = 0;
  std::uint64_t Size = 0;                     // Bytes.
  std::map<GroupId, std::uint64_t> LastIndex; // Highest entry in it, by group.
};

/// What the store has to know of one group while it runs.
struct GroupInfo {
  HardState Hard;
  std::uint64_t SnapshotIndex = 0;
  std::uint64_t SnapshotTerm = 0;
  std::string SnapshotFile; // Empty: none.
};

struct LogStore {
  Disk Files;
  StoreConfig Config;
  Identity Self;
  std::vector<SegmentInfo> Segments; // Oldest first; the last is written to.
  std::map<GroupId, GroupInfo> Groups;
  std::uint64_t Batch = 0; // Of the newest batch.
  std::string Failed;      // Not empty: it takes no more writes.

  std::uint64_t Syncs = 0;        // Of the log's files.
  std::uint64_t BytesWritten = 0; // To the log.
};

/// Opens the folder. Fails with
///   StorageFailed      the disk failed or is full
///   StorageCorrupt     something that was synced does not read back; nothing
///                      was changed
///   IdentityMismatch   the folder is another host's, or lost its identity
Result<LogStore> openStore(const Disk &Files, const StoreConfig &Config,
                           std::map<GroupId, Recovered> &Found);

/// Writes and syncs. After a failure nothing of the batch may be relied on, and
/// every later call fails as well: only a new start tells what the disk holds.
Result<void> writeBatch(LogStore &S, const std::vector<DiskWrite> &Batch);

/// The group whose entries keep the oldest segment, where there are more
/// segments than configured. A snapshot of it lets them go.
std::optional<GroupId> pinningGroup(const LogStore &S);

} // namespace pimento
