//===- LogStore.h - Logs and snapshots in one data folder -------*- C++ -*-===//
//
//   Disk D;
//   openPosixDisk(Path, D);
//   std::map<GroupId, Recovered> Found;
//   Result<LogStore> S = openStore(D, Config, Found);
//   Result<void> Done = writeBatch(*S, Writes);   // one sync for all groups
//
// Durable storage of the replicated logs of one host. A group is one replicated
// log; all groups share one write-ahead log, split into segment files.
//
// Index
//   Identity       host, disk incarnation and number of the start
//   LogStore       the open folder
//   openStore()    reads the folder, repairs a torn tail, counts the start
//   writeBatch()   writes, and returns once everything is synced
//   pinningGroup() group whose entries keep the oldest segment
//
// A folder holds
//   identity                      text; rewritten at each start
//   wal-SEQUENCE                  segments of the one log that all groups share
//   snapshot-GROUP-INDEX-TERM     the newest snapshot of each group
//   *.tmp                         incomplete files; removed at the next start
//
// All functions block. A store must be used by one thread at a time. Inputs and
// outputs are plain data, so a store can run on a dedicated thread.
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
  std::uint64_t Nonce = 0; // Random bits drawn anew for each start; not zero.
  std::size_t SegmentBytes = 16U << 20U; // A new segment starts past this size.
  std::size_t PinnedSegments = 4; // Above this, pinningGroup() names a group.
};

/// Identifies a disk and one start on it. A wiped disk gets another
/// incarnation.
struct Identity {
  HostId Host;
  IncarnationNumber Incarnation = 0; // Drawn when the folder was first used.
  DiskStart Start = 0;               // Number and random bits of this start.
};

/// One file of the log.
struct SegmentInfo {
  std::uint64_t Sequence = 0;
  std::uint64_t Size = 0;                     // Bytes.
  std::map<GroupId, std::uint64_t> LastIndex; // Highest entry index, by group.
};

/// State of one group that the store keeps in memory.
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
  std::vector<SegmentInfo> Segments; // Oldest first; writes go to the last one.
  std::map<GroupId, GroupInfo> Groups;
  std::uint64_t Batch = 0; // Number of the newest batch.
  std::string Failed;      // Not empty: first failure; no further writes.

  std::uint64_t Syncs = 0;        // Syncs of segment files.
  std::uint64_t BytesWritten = 0; // Bytes written to segment files.
};

/// Opens the folder and fills \p Found with the state of each group. Fails with
///   StorageFailed      the disk failed or is full
///   StorageCorrupt     synced data is missing or damaged; nothing was changed
///   IdentityMismatch   the folder belongs to another host or has no identity
Result<LogStore> openStore(const Disk &Files, const StoreConfig &Config,
                           std::map<GroupId, Recovered> &Found);

/// Writes and syncs a batch. After a failure no part of the batch may be relied
/// on and every later call fails as well; openStore() at the next start finds
/// out what the disk holds.
Result<void> writeBatch(LogStore &S, const std::vector<DiskWrite> &Batch);

/// If there are more segments than StoreConfig::PinnedSegments, returns a group
/// whose entries keep the oldest segment. A snapshot of the group releases
/// them.
std::optional<GroupId> pinningGroup(const LogStore &S);

} // namespace pimento
