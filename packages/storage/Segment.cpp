#include "storage/Segment.h"

#include "storage/Checksum.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace pimento::storage {

namespace {

constexpr std::uint32_t RecordMagic = 0x7061676CU;
constexpr std::size_t Alignment = 8;
constexpr std::size_t ChecksumOffset = 24;
constexpr std::uint16_t EndsBatchFlag = 1;
constexpr std::size_t EntryHeaderBytes = 24;

void putNumber(std::string &Buffer, std::uint64_t Value, std::size_t Bytes) {
  for (std::size_t I = 0; I < Bytes; ++I)
    Buffer += static_cast<char>((Value >> (8 * I)) & 0xFFU);
}

std::uint64_t getNumber(std::string_view Bytes, std::size_t Offset,
                        std::size_t Count) {
  std::uint64_t Value = 0;
  for (std::size_t I = Count; I > 0; --I)
    Value = (Value << 8U) | static_cast<unsigned char>(Bytes[Offset + I - 1]);
  return Value;
}

std::size_t paddedSize(std::size_t Bytes) {
  return (Bytes + Alignment - 1) / Alignment * Alignment;
}

std::uint64_t recordSum(std::string_view Header, std::string_view Payload,
                        std::uint64_t Segment, std::uint64_t Offset) {
  std::uint64_t Seed = checksum(Header, Segment ^ (Offset << 20U));
  return checksum(Payload, Seed);
}

/// Returns the record at \p Offset if it is complete and its checksum matches.
std::optional<Record> readRecord(std::string_view Data, std::uint64_t Offset,
                                 std::uint64_t Segment) {
  if (Offset >= Data.size() || Data.size() - Offset < RecordHeaderBytes)
    return std::nullopt;
  std::string_view Header = Data.substr(Offset, RecordHeaderBytes);
  if (getNumber(Header, 0, 4) != RecordMagic)
    return std::nullopt;
  std::size_t Length = getNumber(Header, 4, 4);
  std::size_t Left = Data.size() - Offset - RecordHeaderBytes;
  if (Length > MaxRecordBytes || paddedSize(Length) > Left)
    return std::nullopt;
  Record R;
  R.Batch = getNumber(Header, 8, 8);
  R.Group = static_cast<GroupId>(getNumber(Header, 16, 4));
  R.Kind = static_cast<RecordKind>(getNumber(Header, 20, 2));
  R.EndsBatch = (getNumber(Header, 22, 2) & EndsBatchFlag) != 0;
  R.Payload = Data.substr(Offset + RecordHeaderBytes, Length);
  std::uint64_t Sum =
      recordSum(Header.substr(0, ChecksumOffset), R.Payload, Segment, Offset);
  if (Sum != getNumber(Header, ChecksumOffset, 8))
    return std::nullopt;
  return R;
}

/// Whether there is a valid record of a batch after \p Batch at or after
/// \p Offset.
bool hasLaterBatch(std::string_view Data, std::uint64_t Offset,
                   std::uint64_t Segment, std::uint64_t Batch) {
  for (std::uint64_t I = Offset; I + RecordHeaderBytes <= Data.size();
       I += Alignment) {
    auto R = readRecord(Data, I, Segment);
    if (R && R->Batch > Batch)
      return true;
  }
  return false;
}

} // namespace

void putU64(std::string &Buffer, std::uint64_t Value) {
  putNumber(Buffer, Value, 8);
}

std::uint64_t getU64(std::string_view Bytes, std::size_t Offset) {
  return getNumber(Bytes, Offset, 8);
}

void addRecord(std::string &Buffer, std::uint64_t BufferOffset,
               std::uint64_t Segment, const Record &R) {
  std::string Header;
  putNumber(Header, RecordMagic, 4);
  putNumber(Header, R.Payload.size(), 4);
  putNumber(Header, R.Batch, 8);
  putNumber(Header, R.Group, 4);
  putNumber(Header, static_cast<std::uint64_t>(R.Kind), 2);
  putNumber(Header, R.EndsBatch ? EndsBatchFlag : 0, 2);
  std::uint64_t Offset = BufferOffset + Buffer.size();
  putNumber(Header, recordSum(Header, R.Payload, Segment, Offset), 8);
  Buffer += Header;
  Buffer += R.Payload;
  Buffer.append(paddedSize(R.Payload.size()) - R.Payload.size(), '\0');
}

namespace {

/// Passes the records of a complete batch to \p Handle and clears the list.
/// Returns the first error text, empty on success.
std::string handleBatch(std::vector<Record> &Batch,
                        const RecordHandler &Handle) {
  for (const Record &R : Batch) {
    std::string Error = Handle(R);
    if (!Error.empty())
      return Error;
  }
  Batch.clear();
  return "";
}

} // namespace

SegmentScan scanSegment(std::string_view Data, std::uint64_t Segment,
                        std::uint64_t LastBatch, const RecordHandler &Handle) {
  SegmentScan Scan;
  Scan.LastBatch = LastBatch;
  std::vector<Record> Batch; // Records of the batch being read.
  std::uint64_t Offset = 0;
  while (auto R = readRecord(Data, Offset, Segment)) {
    bool InOrder = Batch.empty() ? R->Batch > Scan.LastBatch
                                 : R->Batch == Batch.front().Batch;
    if (!InOrder) {
      Scan.Corrupt = "batches are out of order";
      return Scan;
    }
    Batch.push_back(*R);
    Offset += RecordHeaderBytes + paddedSize(R->Payload.size());
    if (!R->EndsBatch)
      continue;
    Scan.Corrupt = handleBatch(Batch, Handle);
    if (!Scan.Corrupt.empty())
      return Scan;
    Scan.LastBatch = R->Batch;
    Scan.ValidBytes = Offset;
  }
  std::uint64_t Torn = Batch.empty() ? Scan.LastBatch + 1 : Batch[0].Batch;
  if (hasLaterBatch(Data, Offset, Segment, Torn))
    Scan.Corrupt = "a synced record at byte " + std::to_string(Offset) +
                   " does not match its checksum";
  return Scan;
}

std::string entryPayload(const LogEntry &Entry) {
  std::string Payload;
  Payload.reserve(EntryHeaderBytes + Entry.Payload.Data.size());
  putU64(Payload, Entry.Index);
  putU64(Payload, Entry.Term);
  putU64(Payload, static_cast<std::uint64_t>(Entry.Kind));
  Payload += Entry.Payload.Data;
  return Payload;
}

bool readEntry(std::string_view Payload, LogEntry &Entry) {
  if (Payload.size() < EntryHeaderBytes)
    return false;
  std::uint64_t Kind = getU64(Payload, 16);
  if (Kind > static_cast<std::uint64_t>(EntryKind::Voters))
    return false;
  Entry.Index = getU64(Payload, 0);
  Entry.Term = getU64(Payload, 8);
  Entry.Kind = static_cast<EntryKind>(Kind);
  Entry.Payload.Data = std::string(Payload.substr(EntryHeaderBytes));
  return true;
}

} // namespace pimento::storage
