//===- LineWriter.h - Non-blocking line output ------------------*- C++ -*-===//
//
// Writes lines to a file descriptor without blocking on its reader. Output that
// the descriptor does not accept is buffered up to a limit; lines beyond it are
// dropped as a whole, never in part.
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
  std::size_t MaxBufferedBytes = 256U << 10U;
  std::string Buffer;
  std::uint64_t DroppedLines = 0;
};

/// Makes \p Descriptor non-blocking and returns a writer for it. The descriptor
/// stays open after the writer.
LineWriter makeLineWriter(int Descriptor);

/// Appends \p Line and a newline to the buffer, or drops the line if the buffer
/// is full. The last quarter of the buffer is reserved for urgent lines.
void addLine(LineWriter &W, std::string_view Line, bool Urgent);

/// Writes as much of the buffer as the descriptor accepts without blocking.
void flushLines(LineWriter &W);

} // namespace pimento
