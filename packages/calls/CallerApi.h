//===- CallerApi.h - HTTP interface for callers -----------------*- C++ -*-===//
//
// Translates HTTP requests into typed requests, and typed answers into HTTP
// replies. All functions are pure.
//
// Index
//   readCompletion()      POST /v1/completions and /v1/chat/completions
//   readPlainCall()       /v1/services/{service}/calls/{path}
//   completionReply()     a complete answer as JSON
//   chunkText() ...       a streamed answer as server-sent events
//   chunkProblem()        the error event that ends a failed stream
//   base/Problem.h        problem replies
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Codes.h"
#include "base/Http.h"
#include "base/Ids.h"
#include "base/Problem.h"
#include "base/Result.h"
#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pimento::calls {

/// Limit of the answer in tokens if the request has no max_tokens.
constexpr std::uint64_t DefaultMaxTokens = 256;

/// A request for generated text.
struct Completion {
  ModelName Model;
  std::string Prompt; // For chats, the concatenated messages.
  std::uint64_t MaxTokens = DefaultMaxTokens;
  bool Stream = false;
  bool Chat = false; // Chat completion; the answer has the same format.
};

/// A call of a plain service.
struct PlainCall {
  ServiceId Service;
  std::string Path; // Path below .../calls/, decoded, without leading '/'.
  HttpMethod Method = HttpMethod::Post;
  std::string Target; // Encoded path and query of the upstream request.
  std::string ContentType;
  std::string Body;
  std::string Key;        // Idempotency-Key; may be empty.
  std::string BodySha256; // Hash of method, path, query and body; hexadecimal.
};

/// Longest Idempotency-Key, in bytes.
constexpr std::size_t MaxKeyBytes = 255;

/// Whether \p Path is a path of readCompletion() or of readPlainCall().
bool isCompletionPath(std::string_view Path);
bool isPlainCallPath(std::string_view Path);

/// Reads a completion or chat completion. Fails with MethodNotAllowed, or with
/// BadRequest and a description of the first error. The prompt of the result
/// is valid UTF-8.
Result<Completion> readCompletion(const HttpRequest &Request);

/// Reads a call of a plain service and moves the body out of \p Request. Fails
/// with BadRequest, NotFound or MethodNotAllowed.
Result<PlainCall> readPlainCall(HttpRequest &Request);

/// Reads the time limit in the X-Request-Timeout-Ms header; nullopt without the
/// header. Fails with BadRequest.
Result<std::optional<Duration>> readTimeLimit(const HttpRequest &Request);

/// Finish reason and token counts of an answer.
struct CompletionEnd {
  bool LengthLimit = false; // The answer reached max_tokens.
  std::uint64_t PromptTokens = 0;
  std::uint64_t CachedTokens = 0; // Prompt tokens found in the prefix cache.
  std::uint64_t OutputTokens = 0;
};

/// Identity and format of an answer.
struct CompletionHead {
  RequestId Request;
  ModelName Model;
  bool Chat = false;
};

/// The complete answer as one JSON reply.
HttpReply completionReply(const CompletionHead &Head, std::string_view Text,
                          const CompletionEnd &End);

/// The head of a streamed answer; the body is empty.
HttpReply streamHead(const RequestId &Request);
/// One event with a part of the answer's text.
std::string chunkText(const CompletionHead &Head, std::string_view Text);
/// The last two events of a complete answer: the finish reason, and [DONE].
std::string chunkEnd(const CompletionHead &Head, const CompletionEnd &End);

/// The error event that ends a failed stream; no [DONE] follows.
std::string chunkProblem(const Problem &Why);

} // namespace pimento::calls
