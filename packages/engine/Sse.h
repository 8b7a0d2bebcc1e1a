//===- Sse.h - Incremental parser of server-sent events ---------*- C++ -*-===//
//
//   SseReader Reader;
//   std::vector<SseLine> Lines;
//   bool Valid = feed(Reader, Bytes, Lines); // For each piece of the stream.
//
// The reader buffers at most one incomplete line.
//
//===----------------------------------------------------------------------===//
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pimento {

enum class SseKind : std::uint8_t { Data, Comment };

/// One line of a stream. Each event has one data line.
struct SseLine {
  SseKind Kind = SseKind::Data;
  std::string Text; // Text after "data: " or ": ".
};

struct SseReader {
  std::size_t MaxLine = 64U << 10U; // Longest line, in bytes.
  std::string Partial;              // Start of an incomplete line.
  bool Broken = false;              // A line was too long; input is ignored.
};

/// Reads \p Bytes and appends every completed line to \p Lines; fields other
/// than data are skipped. Returns false once a line exceeds MaxLine; all later
/// input is ignored.
bool feed(SseReader &Reader, std::string_view Bytes,
          std::vector<SseLine> &Lines);

} // namespace pimento
