//===- Sse.h - Server-sent events, incrementally ----------------*- C++ -*-===//
//
//   SseReader Reader;
//   std::vector<SseLine> Lines;
//   bool Good = feed(Reader, Bytes, Lines); // As often as bytes come.
//
// Holds the one line that is not whole yet and nothing else.
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
  std::string Text; // Behind "data: " or ": ".
};

struct SseReader {
  std::size_t MaxLine = 64U << 10U; // Longest line, in bytes.
  std::string Partial;              // The line that is not whole yet.
  bool Broken = false;              // A line was too long; reads no more.
};

/// Reads \p Bytes and appends every line that became whole; fields other than
/// data are left out. False once a line passes MaxLine; nothing is read from
/// then on.
bool feed(SseReader &Reader, std::string_view Bytes,
          std::vector<SseLine> &Lines);

} // namespace pimento
