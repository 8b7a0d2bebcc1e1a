//===- RequestInfo.h - Head of a caller's request ---------------*- C++ -*-===//
#pragma once

#include "base/Http.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pimento {

/// Information from the head of a caller's request.
struct RequestInfo {
  std::string ClientAttemptId; // Id of the caller's attempt; empty: none.
  std::string Host; // Host name in the request, with or without a port.
  std::string Key;  // API key of a client account; empty: none.
  std::optional<Duration> TimeLimit; // The caller gives up after this time.
  std::string LastEvent; // Id of the event after which a stream resumes; empty:
                         // the stream starts at its beginning.
  std::uint64_t PromptTokens = 0;   // Zero: the request has no prompt.
  std::uint64_t AnswerTokens = 0;   // Longest answer that the caller accepts.
  std::uint64_t ExpectedTokens = 0; // Caller's estimate; zero: none.
  std::vector<PartId> Parts;        // Parts of the prompt, in their order.
  std::vector<HttpHeader> ForwardedHeaders; // Headers for the backend server.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.ClientAttemptId, M.Host, M.Key, M.TimeLimit, M.LastEvent,
          M.PromptTokens, M.AnswerTokens, M.ExpectedTokens, M.Parts,
          M.ForwardedHeaders);
  }
};

} // namespace pimento
