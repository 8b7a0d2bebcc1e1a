//===- AnswerEnd.h - Whether an answer that ended is whole ------*- C++ -*-===//
//
//   EndedAnswer A;
//   A.IsDelimited = true;
//   if (judgeEnd(A) == AnswerEnd::BrokenOff) ...
//
// Decides for all framings of an answer (length, chunks, end of the connection)
// and all kinds (events, or one body) whether it may be given to the caller as
// complete. The end of the framing alone does not say so: a server may break
// off within an event and end its answer properly, and one that crashes closes
// its connections as one that has finished. An answer without a whole head does
// not get here (AnswerParser.h).
//
//===----------------------------------------------------------------------===//
#pragma once

#include <cstdint>

namespace pimento {

enum class AnswerEnd : std::uint8_t {
  Complete,
  BrokenOff,
  Unconfirmed, // Complete if the server that gave it still runs.
};

/// What is known of an answer of which no more bytes will come.
struct EndedAnswer {
  bool IsDelimited = false;   // A length or the last chunk marked its end.
  bool IsEvents = false;      // Its body is a stream of events.
  bool IsWithinEvent = false; // Its last event has no end.
  bool HasEvents = false;     // It has a whole event.
  bool IsRest = false;   // It goes on after the last event that the caller has,
                         // which may have been the stream's last.
  bool IsEngine = false; // It is from a model engine, which can be asked
                         // whether it still runs.
};

/// Whether the answer is whole.
AnswerEnd judgeEnd(const EndedAnswer &A);

} // namespace pimento
