//===- Problem.h - HTTP problem replies -------------------------*- C++ -*-===//
#pragma once

#include "base/Codes.h"
#include "base/Http.h"
#include "base/Ids.h"

#include <string>
#include <string_view>

namespace pimento {

/// Content type of every problem reply.
constexpr const char *ProblemContentType = "application/problem+json";

/// One refusal or failure that is reported to a caller or an operator.
struct Problem {
  Code Number = Code::BackendFailed;
  // Readable text; never contains a bearer token or a prompt.
  std::string Detail;
  RequestId Request = {};                 // Empty: unknown.
  Duration RetryAfter = Duration::zero(); // Zero: no Retry-After header.
};

/// Builds the reply to \p P: status, headers and a problem+json body.
HttpReply problemReply(const Problem &P);

/// Builds a reply with \p Body, which must be JSON.
HttpReply jsonReply(int Status, std::string Body);

} // namespace pimento
