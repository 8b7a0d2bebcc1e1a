//===- LineWriter.h - Lines to a descriptor that may block ------*- C++ -*-===//
//
// Writes lines without ever waiting for their reader: what the descriptor does
// not take is kept up to a bound, and dropped past it. Whole lines only.
//
//===----------------------------------------------------------------------===//
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace pimento {

struct LineWriter {
  int Descriptor = -1;
  std::size_t MaxBufferedBytes = 256U << 10U; // Bytes.
  std::string Buffer;
  std::uint64_t DroppedLines = 0; // Lines.
};

/// Takes over \p Descriptor, which does not block from then on.
LineWriter makeLineWriter(int Descriptor);

/// Adds a line; its end is added. Dropped where too much waits. An urgent line
/// may use the last quarter of the room.
void addLine(LineWriter &W, std::string_view Line, bool Urgent);

/// Writes what the descriptor takes now.
void flushLines(LineWriter &W);

} // namespace pimento
