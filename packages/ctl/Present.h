//===- Present.h - From replies to text and exit code -----------*- C++ -*-===//
//
// Pure: what a command shows and how it exits follows from the command and
// from what the hosts answered.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Codes.h"
#include "ctl/Command.h"
#include "ctl/Exchange.h"

#include <string>

namespace pimento::ctl {

struct Output {
  std::string Out; // Standard output.
  std::string Err; // Standard error.
  ExitCode Exit = ExitCode::Ok;
};

/// What \p C shows once the hosts have been asked. \p EditId is that of an
/// edit. Files that a command compares with the reply are no part of it.
Output present(const Command &C, const std::string &EditId, bool Json,
               const Exchange &E);

/// A failure that no reply describes. \p Outcome is as in problem replies;
/// \p Advice is for people only.
Output failure(ExitCode Exit, bool Json, const char *Outcome,
               const std::string &Title, const std::string &Detail = "",
               const std::string &Advice = "");

/// What is shown where \p E brought no answer that can be used. False where it
/// brought one: \p O is left as it is.
bool presentFailure(const std::string &EditId, bool Json, const Exchange &E,
                    Output &O);

/// The exit code of a problem with this number.
ExitCode exitCodeOf(Code Number);

} // namespace pimento::ctl
