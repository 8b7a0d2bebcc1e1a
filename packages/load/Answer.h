//===- Answer.h - Reads and checks the reply to a request -------*- C++ -*-===//
//
//   AnswerReader Reader = makeReader(Expected);
//   readHead(Reader, Status, Headers);
//   std::size_t Pieces = readData(Reader, Bytes);
//   Verdict V = evaluateReply(Reader, Delimited);
//
// Checks replies only by what a client can see. An answer is complete if it has
// an end marker and its token counts agree, and it belongs to the request if
// its ids agree.
//
// Index
//   ResultKind, Violation   how a request ended; which guarantee was violated
//   Verdict                 result of checking one reply
//   AnswerReader            parses one reply incrementally
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Codes.h"
#include "base/Http.h"
#include "load/Plan.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pimento::load {

/// How a request ended.
enum class ResultKind : std::uint8_t {
  Answered,    // A complete answer was received.
  Refused,     // A problem reply, or an error within a stream.
  Interrupted, // The connection failed after the request was sent.
  NoAnswer,    // No final reply within the time limit.
  Unreachable, // The connection failed before a byte was sent.
};
constexpr std::size_t ResultKinds = 5;

/// Violations of the site's guarantees that a client can detect.
enum class Violation : std::uint8_t {
  IncompleteAnswer, // An incomplete answer ended like a complete one.
  WrongRequest,     // An answer has ids or counts of another request.
  DifferentAnswers, // Answers for one idempotency key differ.
  NoAnswer,         // No final reply within the time limit.
  ConnectionLost,   // The connection failed before the end.
  InvalidRefusal,   // A refusal without a known code and its outcome.
};
constexpr std::size_t Violations = 6;

/// Returns the lower-case name for reports.
const char *toString(ResultKind K);
const char *toString(Violation V);

/// Result of checking one reply.
struct Verdict {
  ResultKind Kind = ResultKind::Answered;
  Code Number = Code::Ok; // Code of a refusal.
  std::optional<Violation> Broken;
  std::string Detail;             // Error message, or detail of a refusal.
  std::uint64_t PromptTokens = 0; // Prompt tokens as reported in the answer.
  std::uint64_t OutputTokens = 0;
  std::string AnswerId; // Id of a completion.
  std::string Content;  // Status and body of the answer to a plain call.
};

/// Properties of the expected answer, known from the request.
struct Expectation {
  RequestKind Kind = RequestKind::Completion;
  std::uint64_t PromptTokens = 0;
  std::uint64_t MaxTokens = 0;
  /// Token counts are checked exactly: the engines are stand-ins, which count
  /// one token for every four bytes of text.
  bool ExactCounts = false;
};

/// Parser state of one reply.
struct AnswerReader {
  Expectation Expected;
  int Status = 0;
  bool IsProblem = false;
  bool IsStream = false;
  std::string RequestId; // X-Request-Id header.
  /// Body received so far; for a stream, only the event not yet complete.
  std::string Buffer;
  bool Done = false; // The end marker [DONE] was received.
  bool HasUsage = false;
  std::string Finish;                 // finish_reason; empty before the end.
  std::optional<std::string> Problem; // Error that ended the stream, as JSON.
  std::uint64_t TextBytes = 0;
  std::string Fault;             // First error found in the stream's events.
  bool HasIdentityFault = false; // Fault is an id of another request.
  Verdict Found;
};

/// Returns a reader for a reply to which \p E applies.
AnswerReader makeReader(const Expectation &E);
/// Reads the status and headers. Call it before readData().
void readHead(AnswerReader &R, int Status,
              const std::vector<HttpHeader> &Headers);
/// Reads the next bytes of the body. Returns the number of events with
/// generated text that became complete.
std::size_t readData(AnswerReader &R, std::string_view Bytes);
/// Checks a reply that ended without a connection failure. \p Delimited: the
/// body had a length or chunked encoding.
Verdict evaluateReply(AnswerReader R, bool Delimited);
/// Checks a reply whose connection failed.
Verdict evaluateFailure(AnswerReader R, const UpstreamFailure &Why);

} // namespace pimento::load
