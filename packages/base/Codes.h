//===- Codes.h - Numbered result codes --------------------------*- C++ -*-===//
//
// Every refusal and failure that a caller, an operator or a log sees has one
// number. docs/ERRORS.md explains each of them.
//
//===----------------------------------------------------------------------===//
#pragma once

#include <cstdint>
#include <ostream>

namespace pimento {

/// What a final answer says about whether the request ran.
enum class Outcome : std::uint8_t {
  Answered, // The whole answer was delivered.
  NotRun,   // Proved not to have run: safe to send again.
  Unknown,  // A call that may not be repeated; it may have run.
  Failed,   // A repeatable request that was tried and did not finish.
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
  const char *Name = ""; // As in the enum.
  int HttpStatus = 0;    // Status of the problem reply.
  Outcome Result = Outcome::Answered;
  const char *Meaning = ""; // One sentence without its full stop.
};

/// The row of \p C. A number that is not in the table gives BackendFailed.
const CodeInfo &info(Code C);

/// All rows, by number; ends with a row whose Name is null.
const CodeInfo *codeTable();

/// The code with this number; false where the table has none.
bool codeFromNumber(std::uint16_t Number, Code &C);

/// "answered", "not_run", "unknown" or "failed", as problem replies say it.
const char *toString(Outcome O);
/// The name of the code as in the enum.
inline const char *toString(Code C) { return info(C).Name; }

inline std::ostream &operator<<(std::ostream &OS, Code C) {
  return OS << toString(C);
}
inline std::ostream &operator<<(std::ostream &OS, Outcome O) {
  return OS << toString(O);
}

} // namespace pimento
