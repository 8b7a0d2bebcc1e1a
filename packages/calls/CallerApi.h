//===- CallerApi.h - What callers send and hear -----------------*- C++ -*-===//
//
// Pure translation between HTTP exchanges and typed requests and answers.
//
// Index
//   readCompletion()      POST /v1/completions and /v1/chat/completions
//   readPlainCall()       /v1/services/{service}/calls/{path}
//   completionReply()     a whole answer as JSON
//   chunkText() ...       a streamed answer as server-sent events
//   chunkProblem()        the end of a stream that failed
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

/// Where callers leave max_tokens out.
constexpr std::uint64_t DefaultMaxTokens = 256;

/// A request for generated text.
struct Completion {
  ModelName Model;
  std::string Prompt; // Chats: the messages, one after the other.
  std::uint64_t MaxTokens = DefaultMaxTokens;
  bool Stream = false;
  bool Chat = false; // It came as a chat; answered in that form.
};

/// A call of a plain service.
struct PlainCall {
  ServiceId Service;
  std::string Path; // Below .../calls/, decoded, without a leading '/'.
  HttpMethod Method = HttpMethod::Post;
  std::string Target; // Path and query as the server gets them, encoded.
  std::string ContentType;
  std::string Body;
  std::string Key;        // Idempotency-Key; may be empty.
  std::string BodySha256; // Of method, path, query and body; hexadecimal.
};

/// Longest Idempotency-Key, in bytes.
constexpr std::size_t MaxKeyBytes = 255;

/// Whether \p Path is one that readCompletion() or readPlainCall() takes.
bool isCompletionPath(std::string_view Path);
bool isPlainCallPath(std::string_view Path);

/// Fails with BadRequest and the first thing that is wrong, or with
/// MethodNotAllowed. The prompt is valid UTF-8.
Result<Completion> readCompletion(const HttpRequest &Request);

/// Fails with BadRequest, NotFound or MethodNotAllowed. Takes the body out of
/// \p Request.
Result<PlainCall> readPlainCall(HttpRequest &Request);

/// The time limit that the caller states in X-Request-Timeout-Ms; none where
/// there is no such header. Fails with BadRequest.
Result<std::optional<Duration>> readTimeLimit(const HttpRequest &Request);

/// How an answer ended and what it took.
struct CompletionEnd {
  bool LengthLimit = false; // It ended because of max_tokens.
  std::uint64_t PromptTokens = 0;
  std::uint64_t CachedTokens = 0; // Of these, found in the prefix cache.
  std::uint64_t OutputTokens = 0;
};

/// What names an answer.
struct CompletionHead {
  RequestId Request;
  ModelName Model;
  bool Chat = false;
};

/// The whole answer.
HttpReply completionReply(const CompletionHead &Head, std::string_view Text,
                          const CompletionEnd &End);

/// The head of a streamed answer, without a body.
HttpReply streamHead(const RequestId &Request);
/// One event with a piece of the answer.
std::string chunkText(const CompletionHead &Head, std::string_view Text);
/// The last two events: why it ended, and [DONE].
std::string chunkEnd(const CompletionHead &Head, const CompletionEnd &End);

/// The event that ends a stream which can't go on; no [DONE] follows.
std::string chunkProblem(const Problem &Why);

} // namespace pimento::calls
