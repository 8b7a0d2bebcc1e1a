#include "storage/LogStore.h"

#include "storage/Files.h"
#include "storage/LogStoreInternal.h"
#include "storage/Segment.h"
#include "wire/Fields.h"

#include <algorithm>

namespace pimento {

namespace storage {

namespace {

/// The encoded records of one batch, to be appended to a segment.
struct BatchBuffer {
  std::string Bytes;
  std::uint64_t Offset = 0; // Offset of Bytes in the segment.
  std::uint64_t Segment = 0;
  std::uint64_t Batch = 0;
  std::uint64_t Left = 0; // Records left to add; the last one ends the batch.
};

void add(BatchBuffer &B, GroupId Group, RecordKind Kind,
         const std::string &Payload) {
  Record R;
  R.Batch = B.Batch;
  R.Group = Group;
  R.Kind = Kind;
  R.EndsBatch = --B.Left == 0;
  R.Payload = Payload;
  addRecord(B.Bytes, B.Offset, B.Segment, R);
}

std::uint64_t countRecords(const std::vector<DiskWrite> &Batch) {
  std::uint64_t Count = 0;
  for (const DiskWrite &W : Batch)
    Count += (W.Hard ? 1 : 0) + (W.NewSnapshot ? 1 : 0) + W.Entries.size();
  return Count;
}

std::string snapshotPayload(std::uint64_t Index, std::uint64_t Term,
                            bool Reset) {
  std::string Payload;
  putU64(Payload, Index);
  putU64(Payload, Term);
  putU64(Payload, Reset ? 1 : 0);
  return Payload;
}

void addWrite(BatchBuffer &B, SegmentInfo &Segment, const DiskWrite &W) {
  if (W.Hard)
    add(B, W.Group, RecordKind::Hard, wire::toBytes(*W.Hard));
  if (W.NewSnapshot)
    add(B, W.Group, RecordKind::Snapshot,
        snapshotPayload(W.NewSnapshot->Index, W.NewSnapshot->Term, W.ResetLog));
  for (const LogEntry &Entry : W.Entries) {
    add(B, W.Group, RecordKind::Entry, entryPayload(Entry));
    std::uint64_t &Last = Segment.LastIndex[W.Group];
    Last = std::max(Last, Entry.Index);
  }
}

/// Adds the first records of a segment. They repeat the hard state and snapshot
/// position of every group, so that older segments are needed only for entries.
void addSegmentStart(BatchBuffer &B, const LogStore &S) {
  std::string Payload;
  putU64(Payload, S.Self.Incarnation);
  add(B, 0, RecordKind::Start, Payload);
  for (const auto &Entry : S.Groups) {
    const GroupInfo &Group = Entry.second;
    add(B, Entry.first, RecordKind::Hard, wire::toBytes(Group.Hard));
    add(B, Entry.first, RecordKind::Snapshot,
        snapshotPayload(Group.SnapshotIndex, Group.SnapshotTerm, false));
  }
}

Result<void> syncFolder(LogStore &S) {
  if (int Error = S.Files.SyncFolder())
    return diskFailure("sync", "the folder", Error);
  return {};
}

Result<void> removeFile(LogStore &S, const std::string &Name) {
  if (int Error = S.Files.Remove(Name))
    return diskFailure("remove", Name, Error);
  return syncFolder(S);
}

Result<void> writeSnapshots(LogStore &S, const std::vector<DiskWrite> &Batch) {
  bool Any = false;
  for (const DiskWrite &W : Batch) {
    if (!W.NewSnapshot)
      continue;
    Any = true;
    auto Done = writeSnapshot(S.Files, W.Group, *W.NewSnapshot);
    if (!Done)
      return Done.error();
  }
  // The log may refer to a snapshot only after its file name is durable.
  if (Any)
    return syncFolder(S);
  return {};
}

Result<void> appendAndSync(LogStore &S, const std::string &Bytes,
                           bool NewSegment) {
  SegmentInfo &Segment = S.Segments.back();
  std::string Name = segmentName(Segment.Sequence);
  if (int Error = S.Files.Append(Name, Bytes))
    return diskFailure("write", Name, Error);
  if (int Error = S.Files.Sync(Name))
    return diskFailure("sync", Name, Error);
  ++S.Syncs;
  S.BytesWritten += Bytes.size();
  Segment.Size += Bytes.size();
  if (NewSegment)
    return syncFolder(S);
  return {};
}

Result<void> writeLog(LogStore &S, const std::vector<DiskWrite> &Batch) {
  bool NewSegment =
      S.Segments.empty() || S.Segments.back().Size >= S.Config.SegmentBytes;
  BatchBuffer B;
  B.Batch = S.Batch + 1;
  B.Left = countRecords(Batch);
  if (NewSegment) {
    std::uint64_t Last = S.Segments.empty() ? 0 : S.Segments.back().Sequence;
    S.Segments.emplace_back();
    S.Segments.back().Sequence = Last + 1;
    B.Left += 1 + 2 * S.Groups.size();
  }
  SegmentInfo &Segment = S.Segments.back();
  B.Segment = Segment.Sequence;
  B.Offset = Segment.Size;
  if (NewSegment)
    addSegmentStart(B, S);
  for (const DiskWrite &W : Batch)
    addWrite(B, Segment, W);
  auto Done = appendAndSync(S, B.Bytes, NewSegment);
  if (!Done)
    return Done.error();
  S.Batch = B.Batch;
  return {};
}

/// Returns a group that still needs entries of \p Segment, or nothing.
std::optional<GroupId> pinnedBy(const LogStore &S, const SegmentInfo &Segment) {
  for (const auto &Last : Segment.LastIndex) {
    auto Group = S.Groups.find(Last.first);
    if (Group == S.Groups.end() || Group->second.SnapshotIndex < Last.second)
      return Last.first;
  }
  return std::nullopt;
}

/// Removes the segments whose entries are all covered by snapshots, oldest
/// first, with a folder sync after each, so that a crash never leaves a gap.
Result<void> removeSegments(LogStore &S) {
  while (S.Segments.size() > 1 && !pinnedBy(S, S.Segments.front())) {
    auto Done = removeFile(S, segmentName(S.Segments.front().Sequence));
    if (!Done)
      return Done.error();
    S.Segments.erase(S.Segments.begin());
  }
  return {};
}

/// Updates the groups in memory and removes the files that the batch replaced.
Result<void> updateGroups(LogStore &S, const std::vector<DiskWrite> &Batch) {
  bool Snapshots = false;
  for (const DiskWrite &W : Batch) {
    GroupInfo &Group = S.Groups[W.Group];
    if (W.Hard)
      Group.Hard = *W.Hard;
    if (!W.NewSnapshot)
      continue;
    Snapshots = true;
    SnapshotName New{W.Group, W.NewSnapshot->Index, W.NewSnapshot->Term};
    std::string Old = Group.SnapshotFile;
    Group.SnapshotFile = toString(New);
    Group.SnapshotIndex = New.Index;
    Group.SnapshotTerm = New.Term;
    if (Old.empty() || Old == Group.SnapshotFile)
      continue;
    auto Done = removeFile(S, Old);
    if (!Done)
      return Done.error();
  }
  if (Snapshots)
    return removeSegments(S);
  return {};
}

} // namespace

Result<void> writeAll(LogStore &S, const std::vector<DiskWrite> &Batch) {
  auto Snapshots = writeSnapshots(S, Batch);
  if (!Snapshots)
    return Snapshots.error();
  auto Log = writeLog(S, Batch);
  if (!Log)
    return Log.error();
  return updateGroups(S, Batch);
}

} // namespace storage

Result<void> writeBatch(LogStore &S, const std::vector<DiskWrite> &Batch) {
  if (!S.Failed.empty())
    return fail(Code::StorageFailed, S.Failed);
  if (storage::countRecords(Batch) == 0)
    return {};
  Failure Why;
  bool Done = valueOr<bool>(
      [&]() -> Result<bool> {
        auto Written = storage::writeAll(S, Batch);
        if (!Written)
          return Written.error();
        return true;
      },
      false, Why);
  if (Done)
    return {};
  S.Failed = Why.Detail;
  return fail(Why.Number, Why.Detail);
}

std::optional<GroupId> pinningGroup(const LogStore &S) {
  if (S.Segments.size() <= S.Config.PinnedSegments)
    return std::nullopt;
  return storage::pinnedBy(S, S.Segments.front());
}

} // namespace pimento
