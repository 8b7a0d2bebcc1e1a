//===- Problem.h - Problem replies ------------------------------*- C++ -*-===//
#pragma once

#include "base/Codes.h"
#include "base/Http.h"
#include "base/Ids.h"

#include <string>
#include <string_view>

namespace pimento {

/// Content type of every problem reply.
constexpr const char *ProblemContentType = "application/problem+json";

/// One refusal or failure, as callers and operators read it.
struct Problem {
  Code Number = Code::BackendFailed;
  std::string Detail;     // For people; never holds a token or a prompt.
  RequestId Request = {}; // Empty: not known.
  Duration RetryAfter = Duration::zero(); // Zero: no such header.
};

/// The whole reply: status, headers and JSON body.
HttpReply problemReply(const Problem &P);

/// A reply with JSON \p Body.
HttpReply jsonReply(int Status, std::string Body);

} // namespace pimento
