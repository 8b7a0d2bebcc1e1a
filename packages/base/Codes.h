//===- Codes.h - Numbered result codes --------------------------*- C++ -*-===//
//
// Each refusal and failure that is reported to a caller, to an operator or in a
// log has a number. docs/ERRORS.md describes all of them.
//
//===----------------------------------------------------------------------===//
#pragma once

#include <cstdint>
#include <ostream>

namespace pimento {

/// Whether a request ran, as reported in its final answer.
enum class Outcome : std::uint8_t {
  Answered, // The answer was delivered completely.
  NotRun,   // The request certainly did not run; it is safe to send again.
  Unknown,  // A call that must not be repeated may have run.
  Failed,   // A repeatable request was attempted and did not finish.
};

enum class Code : std::uint16_t {
#define PIMENTO_CODE(Number, Name, HttpStatus, OutcomeName, Meaning)           \
  Name = Number,
#include "base/Codes.def"
#undef PIMENTO_CODE
};

/// One row of the table of codes.
struct CodeInfo {
  Code Number = Code::Ok;
  const char *Name = ""; // Name of the enumerator.
  int HttpStatus = 0;    // HTTP status of the problem reply.
  Outcome Result = Outcome::Answered;
  const char *Meaning = ""; // One sentence, without a full stop.
};

/// Returns the row of \p C, or that of BackendFailed if the table has no such
/// number.
const CodeInfo &info(Code C);

/// Returns all rows, ordered by number. The last row has a null Name.
const CodeInfo *codeTable();

/// Stores the code with this number in \p C. Returns false, and leaves \p C as
/// it is, if the table has no such number.
bool codeFromNumber(std::uint16_t Number, Code &C);

/// Returns "answered", "not_run", "unknown" or "failed", as in problem replies.
const char *toString(Outcome O);
/// Returns the name of the enumerator.
inline const char *toString(Code C) { return info(C).Name; }

inline std::ostream &operator<<(std::ostream &OS, Code C) {
  return OS << toString(C);
}
inline std::ostream &operator<<(std::ostream &OS, Outcome O) {
  return OS << toString(O);
}

} // namespace pimento
