//===- Reply.h - Replies of the operators' interface ------------*- C++ -*-===//
#pragma once

#include "base/Codes.h"
#include "base/Http.h"

#include <string>

namespace pimento::ctl {

/// Fields of a problem reply, made printable. Known is false for other replies.
struct ProblemView {
  bool Known = false;     // A problem with a code listed in docs/ERRORS.md.
  Code Number = Code::Ok; // Valid if Known.
  std::string Name;       // Name of the code, as in docs/ERRORS.md.
  std::string Title;
  std::string Detail;
  std::string Outcome;    // "not_run", "unknown" or "failed".
  std::string RetryAfter; // Retry-After header, in seconds; may be empty.
};

ProblemView problemOf(const HttpReply &Reply);

} // namespace pimento::ctl
