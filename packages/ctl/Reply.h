//===- Reply.h - Replies of the operators' port -----------------*- C++ -*-===//
#pragma once

#include "base/Codes.h"
#include "base/Http.h"

#include <string>

namespace pimento::ctl {

/// A problem reply as it came. A reply of another kind has Known false.
struct ProblemView {
  bool Known = false;     // A problem with a number of docs/ERRORS.md.
  Code Number = Code::Ok; // Only where Known.
  std::string Name;       // As in docs/ERRORS.md.
  std::string Title;
  std::string Detail;
  std::string Outcome;    // "not_run", "unknown" or "failed".
  std::string RetryAfter; // Seconds; empty: none was given.
};

ProblemView problemOf(const HttpReply &Reply);

} // namespace pimento::ctl
