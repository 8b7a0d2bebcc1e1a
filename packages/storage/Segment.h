//===- Segment.h - Records of the write-ahead log ---------------*- C++ -*-===//
//
// Internal. A segment is a run of records, each aligned to 8 bytes:
//
//   magic 4, payload length 4, batch 8, group 4, kind 2, flags 2, checksum 8,
//   payload, zeros up to 8 bytes
//
// Numbers are little endian. The checksum covers everything before it and the
// payload, and is seeded with the segment and the place in it.
//
// Batches are numbered, and one is written only once the one before it is
// synced. So a valid record of a batch proves that all batches before it were
// synced, and damage in one of those is corruption and not a torn tail. A batch
// counts whole or not at all.
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
  Start = 1,    // First of a segment: the life of the disk.
  Hard = 2,     // HardState as CBOR.
  Snapshot = 3, // Index, term, whether the log was reset.
  Entry = 4,    // Index, term, kind, payload.
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

/// Adds a record to \p Buffer, which will be written at \p BufferOffset of the
/// segment.
void addRecord(std::string &Buffer, std::uint64_t BufferOffset,
               std::uint64_t Segment, const Record &R);

/// What was found in a segment.
struct SegmentScan {
  std::uint64_t ValidBytes = 0; // Up to the end of the last whole batch.
  std::uint64_t LastBatch = 0;  // The number of that batch.
  std::string Corrupt;          // Not empty: damage to what was synced.
};

/// Takes one good record in; returns what is wrong with it, or nothing.
using RecordHandler = std::function<std::string(const Record &)>;

/// Hands the records of all whole batches to \p Handle. \p LastBatch is the
/// last batch of the segment before.
SegmentScan scanSegment(std::string_view Data, std::uint64_t Segment,
                        std::uint64_t LastBatch, const RecordHandler &Handle);

/// Numbers within a payload.
void putU64(std::string &Buffer, std::uint64_t Value);
std::uint64_t getU64(std::string_view Bytes, std::size_t Offset);

std::string entryPayload(const LogEntry &Entry);
/// False where \p Payload is no entry.
bool readEntry(std::string_view Payload, LogEntry &Entry);

} // namespace pimento::storage
