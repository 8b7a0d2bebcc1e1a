//===- Present.h - Output and exit status of a command ----------*- C++ -*-===//
//
// Formats replies of the hosts for the operator and derives the exit status.
// These functions have no side effects.
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

/// Formats the result \p E of command \p C. \p EditId is the id of an edit and
/// unused otherwise. Does not compare the reply with files of the command.
Output present(const Command &C, const std::string &EditId, bool Json,
               const Exchange &E);

/// Formats a failure that has no problem reply. \p Outcome has the values of
/// problem replies; \p Advice is omitted from JSON.
Output failure(ExitCode Exit, bool Json, const char *Outcome,
               const std::string &Title, const std::string &Detail = "",
               const std::string &Advice = "");

/// If \p E has no successful reply, formats the failure into \p O and returns
/// true. Otherwise returns false and leaves \p O unchanged.
bool presentFailure(const std::string &EditId, bool Json, const Exchange &E,
                    Output &O);

/// Returns the exit status for a problem with code \p Number.
ExitCode exitCodeOf(Code Number);

} // namespace pimento::ctl
