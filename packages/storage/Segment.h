//===- Segment.h - Records of the write-ahead log ---------------*- C++ -*-===//
//
// Internal. A segment is one file of the log: a sequence of records, each
// aligned to 8 bytes:
//
//   magic 4, payload length 4, batch 8, group 4, kind 2, flags 2, checksum 8,
//   payload, zero padding to a multiple of 8 bytes
//
// The figures are sizes in bytes; numbers are little-endian. The checksum
// covers the header fields before it and the payload, and is seeded with the
// segment's number and the record's offset.
//
// The records of one write form a batch. Batches are numbered, and a batch is
// written only after the previous one was synced. A valid record of a batch
// therefore proves that all earlier batches were synced, and damage to an
// earlier batch is corruption, not a torn tail. An incomplete batch is
// discarded as a whole.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Result.h"
#include "storage/Records.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace pimento::storage {

enum class RecordKind : std::uint16_t {
  Start = 1,    // First record of a segment: incarnation of the disk.
  Hard = 2,     // HardState as CBOR.
  Snapshot = 3, // Index, term, whether the log was reset.
  Entry = 4,    // Index, term, kind and payload of a log entry.
};

struct Record {
  std::uint64_t Batch = 0;
  GroupId Group = 0;
  RecordKind Kind = RecordKind::Start;
  bool EndsBatch = false;
  std::string_view Payload;
};

constexpr std::size_t RecordHeaderBytes = 32;
constexpr std::size_t MaxRecordBytes = 16U << 20U; // Payload of one record.

/// Appends a record to \p Buffer, which will be written at \p BufferOffset in
/// the segment with the number \p Segment.
void addRecord(std::string &Buffer, std::uint64_t BufferOffset,
               std::uint64_t Segment, const Record &R);

/// Result of reading one segment.
struct SegmentScan {
  std::uint64_t ValidBytes = 0; // Up to the end of the last complete batch.
  std::uint64_t LastBatch = 0;  // Number of that batch.
  std::string Corrupt;          // Not empty: describes damage to synced data.
};

/// Processes one valid record. Returns an error text, empty on success.
using RecordHandler = std::function<std::string(const Record &)>;

/// Passes the records of all complete batches to \p Handle. \p LastBatch is the
/// number of the last batch in the previous segment.
SegmentScan scanSegment(std::string_view Data, std::uint64_t Segment,
                        std::uint64_t LastBatch, const RecordHandler &Handle);

/// Write and read a 64-bit little-endian number in a payload.
void putU64(std::string &Buffer, std::uint64_t Value);
std::uint64_t getU64(std::string_view Bytes, std::size_t Offset);

std::string entryPayload(const LogEntry &Entry);
/// Returns false if \p Payload is not a valid entry.
bool readEntry(std::string_view Payload, LogEntry &Entry);

} // namespace pimento::storage
