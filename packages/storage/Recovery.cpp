#include "storage/Files.h"
#include "storage/LogStore.h"
#include "storage/LogStoreInternal.h"
#include "storage/Segment.h"
#include "wire/Fields.h"

#include <algorithm>
#include <set>

namespace pimento {

namespace storage {

namespace {

constexpr JsonLimits HardLimits = {MaxRecordBytes, /*Depth=*/6,
                                   /*Values=*/1U << 16U};

/// State of one group according to the log, before it is checked against the
/// snapshot file.
struct GroupLog {
  HardState Hard;
  std::uint64_t BaseIndex = 0; // Newest snapshot that the log refers to.
  std::uint64_t BaseTerm = 0;
  std::vector<LogEntry> Entries;
};

/// State of a recovery in progress.
struct Recovery {
  LogStore S;
  std::set<std::string> Names;
  std::map<GroupId, SnapshotName> Newest;
  std::map<GroupId, GroupLog> Logs;
  std::map<GroupId, Recovered> Found;
  std::vector<std::string> ObsoleteFiles; // Files to remove.
  std::string TornSegment;                // Name; empty: no torn tail.
  std::uint64_t TornOffset = 0;           // Valid bytes of TornSegment.
  std::vector<DiskWrite> Repair;          // Records to write after reading.
};

boost::leaf::error_id corrupt(const std::string &Detail) {
  return fail(Code::StorageCorrupt, Detail);
}

Result<void> listFiles(Recovery &R) {
  // A file name created by a killed process may be listed but not yet durable.
  if (int Error = R.S.Files.SyncFolder())
    return diskFailure("sync", "the folder", Error);
  std::vector<std::string> Names;
  if (int Error = R.S.Files.List(Names))
    return diskFailure("list", "the folder", Error);
  R.Names.insert(Names.begin(), Names.end());
  return {};
}

bool endsWith(const std::string &Text, const std::string &End) {
  return Text.size() >= End.size() &&
         Text.compare(Text.size() - End.size(), End.size(), End) == 0;
}

void classifyNames(Recovery &R) {
  for (const std::string &Name : R.Names) {
    if (endsWith(Name, TemporarySuffix))
      R.ObsoleteFiles.push_back(Name);
    if (auto Sequence = parseSegmentName(Name)) {
      SegmentInfo Segment;
      Segment.Sequence = *Sequence;
      R.S.Segments.push_back(Segment);
    }
    auto Snapshot = parseSnapshotName(Name);
    if (!Snapshot)
      continue;
    auto Known = R.Newest.find(Snapshot->Group);
    if (Known == R.Newest.end()) {
      R.Newest[Snapshot->Group] = *Snapshot;
      continue;
    }
    // Names are sorted by index, so the later one is the newer snapshot.
    R.ObsoleteFiles.push_back(toString(Known->second));
    Known->second = *Snapshot;
  }
}

Result<void> readOwnIdentity(Recovery &R) {
  LogStore &S = R.S;
  if (R.Names.count(IdentityName) == 0) {
    if (!S.Segments.empty() || !R.Newest.empty())
      return fail(Code::IdentityMismatch,
                  "the folder holds a log but no identity file");
    S.Self.Host = S.Config.Host;
    S.Self.Incarnation = S.Config.Nonce | 1U;
    return {};
  }
  auto Read = readIdentity(S.Files);
  if (!Read)
    return Read.error();
  S.Self = *Read;
  if (S.Self.Host != S.Config.Host)
    return fail(Code::IdentityMismatch, "the folder belongs to the host " +
                                            S.Self.Host.Value + ", not to " +
                                            S.Config.Host.Value);
  return {};
}

/// Adds an entry, which replaces all entries from its index on. Returns an
/// error text, empty on success.
std::string applyEntry(GroupLog &Log, LogEntry Entry) {
  auto &Entries = Log.Entries;
  if (!Entries.empty() && Entry.Index > Entries.back().Index + 1)
    return "an entry before " + std::to_string(Entry.Index) + " is missing";
  while (!Entries.empty() && Entries.back().Index >= Entry.Index)
    Entries.pop_back();
  Entries.push_back(std::move(Entry));
  return "";
}

void dropCovered(GroupLog &Log, std::uint64_t Index) {
  auto Covered = [&](const LogEntry &Entry) { return Entry.Index <= Index; };
  auto &Entries = Log.Entries;
  Entries.erase(std::remove_if(Entries.begin(), Entries.end(), Covered),
                Entries.end());
}

std::string applySnapshot(GroupLog &Log, std::string_view Payload) {
  if (Payload.size() != 24)
    return "a snapshot record is not 24 bytes long";
  Log.BaseIndex = getU64(Payload, 0);
  Log.BaseTerm = getU64(Payload, 8);
  if (getU64(Payload, 16) != 0)
    Log.Entries.clear();
  dropCovered(Log, Log.BaseIndex);
  return "";
}

std::string applyHardState(GroupLog &Log, std::string_view Payload) {
  Failure Why;
  Log.Hard = valueOr<HardState>(
      [&] { return wire::fromBytes<HardState>(Payload, HardLimits); },
      HardState(), Why);
  return Why.Detail;
}

std::string applyRecord(Recovery &R, SegmentInfo &Segment, const Record &Rec) {
  if (Rec.Kind == RecordKind::Start) {
    bool SameDisk = Rec.Payload.size() == 8 &&
                    getU64(Rec.Payload, 0) == R.S.Self.Incarnation;
    return SameDisk ? "" : "the segment belongs to another disk incarnation";
  }
  GroupLog &Log = R.Logs[Rec.Group];
  if (Rec.Kind == RecordKind::Hard)
    return applyHardState(Log, Rec.Payload);
  if (Rec.Kind == RecordKind::Snapshot)
    return applySnapshot(Log, Rec.Payload);
  LogEntry Entry;
  if (Rec.Kind != RecordKind::Entry || !readEntry(Rec.Payload, Entry))
    return "a record has an unknown kind or is malformed";
  std::uint64_t &Last = Segment.LastIndex[Rec.Group];
  Last = std::max(Last, Entry.Index);
  return applyEntry(Log, std::move(Entry));
}

Result<void> readSegments(Recovery &R) {
  LogStore &S = R.S;
  SegmentScan Scan;
  std::uint64_t Next = S.Segments.empty() ? 0 : S.Segments.front().Sequence;
  for (SegmentInfo &Segment : S.Segments) {
    std::string Name = segmentName(Segment.Sequence);
    bool Newest = &Segment == &S.Segments.back();
    if (Segment.Sequence != Next++)
      return corrupt("a segment before " + Name + " is missing");
    // Data written by a killed process may be readable but not yet durable.
    if (int Error = Newest ? S.Files.Sync(Name) : 0)
      return diskFailure("sync", Name, Error);
    std::string Data;
    if (int Error = S.Files.Read(Name, Data))
      return diskFailure("read", Name, Error);
    auto Handle = [&](const Record &Rec) {
      return applyRecord(R, Segment, Rec);
    };
    Scan = scanSegment(Data, Segment.Sequence, Scan.LastBatch, Handle);
    bool IsComplete = Scan.ValidBytes == Data.size() && !Data.empty();
    if (Scan.Corrupt.empty() && !Newest && !IsComplete)
      Scan.Corrupt = "a record at byte " + std::to_string(Scan.ValidBytes) +
                     " of a finished segment does not match its checksum";
    if (!Scan.Corrupt.empty())
      return corrupt(Name + ": " + Scan.Corrupt);
    Segment.Size = Scan.ValidBytes;
    if (IsComplete)
      continue;
    R.TornSegment = Name;
    R.TornOffset = Scan.ValidBytes;
  }
  S.Batch = Scan.LastBatch;
  return {};
}

/// Returns the write that adds the missing record of a snapshot whose file was
/// written before a crash. Drops the entries that the snapshot replaces from
/// \p Log.
DiskWrite recordSnapshot(GroupId Group, const Snapshot &Base, GroupLog &Log) {
  bool LogHasBase = false;
  for (const LogEntry &Entry : Log.Entries)
    LogHasBase |= Entry.Index == Base.Index && Entry.Term == Base.Term;
  if (!LogHasBase)
    Log.Entries.clear();
  dropCovered(Log, Base.Index);
  DiskWrite W;
  W.Group = Group;
  W.NewSnapshot = Base;
  W.ResetLog = !LogHasBase;
  return W;
}

/// Checks the log of a group against its newest snapshot file and combines
/// both.
Result<void> recoverGroup(Recovery &R, GroupId Group) {
  GroupLog &Log = R.Logs[Group];
  Recovered &Found = R.Found[Group];
  auto Newest = R.Newest.find(Group);
  if (Newest != R.Newest.end()) {
    auto Read = readSnapshot(R.S.Files, Newest->second);
    if (!Read)
      return Read.error();
    Found.Base = std::move(*Read);
  }
  if (Found.Base.Index < Log.BaseIndex)
    return corrupt("the snapshot of group " + std::to_string(Group) +
                   " at entry " + std::to_string(Log.BaseIndex) +
                   " is missing");
  std::uint64_t Expected = Log.BaseIndex + 1;
  if (!Log.Entries.empty() && Log.Entries.front().Index != Expected)
    return corrupt("entries of group " + std::to_string(Group) + " from " +
                   std::to_string(Expected) + " on are missing");
  if (Found.Base.Index > Log.BaseIndex)
    R.Repair.push_back(recordSnapshot(Group, Found.Base, Log));
  Found.Hard = Log.Hard;
  Found.Entries = std::move(Log.Entries);
  GroupInfo &Info = R.S.Groups[Group];
  Info.Hard = Found.Hard;
  Info.SnapshotIndex = Found.Base.Index;
  Info.SnapshotTerm = Found.Base.Term;
  if (Found.Base.Index != 0)
    Info.SnapshotFile = toString(Newest->second);
  return {};
}

Result<void> recoverGroups(Recovery &R) {
  for (const auto &Newest : R.Newest)
    R.Logs[Newest.first];
  for (const auto &Log : R.Logs) {
    auto Done = recoverGroup(R, Log.first);
    if (!Done)
      return Done.error();
  }
  return {};
}

Result<void> repairTail(Recovery &R) {
  if (R.TornSegment.empty())
    return {};
  Disk &Files = R.S.Files;
  if (R.TornOffset == 0) {
    if (int Error = Files.Remove(R.TornSegment))
      return diskFailure("remove", R.TornSegment, Error);
    R.S.Segments.pop_back();
    return {};
  }
  if (int Error = Files.Truncate(R.TornSegment, R.TornOffset))
    return diskFailure("truncate", R.TornSegment, Error);
  if (int Error = Files.Sync(R.TornSegment))
    return diskFailure("sync", R.TornSegment, Error);
  return {};
}

Result<void> cleanFolder(Recovery &R) {
  for (const std::string &Name : R.ObsoleteFiles) {
    if (int Error = R.S.Files.Remove(Name))
      return diskFailure("remove", Name, Error);
  }
  return {};
}

Result<void> readAll(Recovery &R) {
  auto Listed = listFiles(R);
  if (!Listed)
    return Listed.error();
  classifyNames(R);
  auto Self = readOwnIdentity(R);
  if (!Self)
    return Self.error();
  auto Segments = readSegments(R);
  if (!Segments)
    return Segments.error();
  return recoverGroups(R);
}

Result<void> repairAll(Recovery &R) {
  auto Tail = repairTail(R);
  if (!Tail)
    return Tail.error();
  auto Clean = cleanFolder(R);
  if (!Clean)
    return Clean.error();
  // Counts the start. Writing the identity also syncs the folder after all
  // earlier renames and removals.
  std::uint64_t Count = startCount(R.S.Self.Start) + 1;
  R.S.Self.Start = (Count << 32U) | (R.S.Config.Nonce >> 32U);
  auto Counted = writeIdentity(R.S.Files, R.S.Self);
  if (!Counted)
    return Counted.error();
  if (R.Repair.empty())
    return {};
  return writeAll(R.S, R.Repair);
}

} // namespace

} // namespace storage

Result<LogStore> openStore(const Disk &Files, const StoreConfig &Config,
                           std::map<GroupId, Recovered> &Found) {
  storage::Recovery R;
  R.S.Files = Files;
  R.S.Config = Config;
  auto Read = storage::readAll(R);
  if (!Read)
    return Read.error();
  auto Repaired = storage::repairAll(R);
  if (!Repaired)
    return Repaired.error();
  Found = std::move(R.Found);
  return std::move(R.S);
}

} // namespace pimento
