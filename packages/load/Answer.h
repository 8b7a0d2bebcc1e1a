//===- Answer.h - What a caller makes of a reply ----------------*- C++ -*-===//
//
//   AnswerReader Reader = makeReader(Expected);
//   readHead(Reader, Status, Headers);
//   std::size_t Pieces = readData(Reader, Bytes);
//   Verdict V = judge(Reader, Delimited);
//
// A caller trusts nothing but what it hears: an answer is whole when it says
// so and its counts agree, and its own when its ids agree.
//
// Index
//   Ending, Breach    how a request ended, and which promise that broke
//   Verdict           the judgement of one reply
//   AnswerReader      reads one reply as it comes
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

enum class Ending : std::uint8_t {
  Answered,    // The whole answer came.
  Refused,     // A problem with a numbered code came.
  Cut,         // The connection broke after the request had been sent.
  NoAnswer,    // Nothing final came within the limit.
  Unreachable, // No byte was sent.
};
constexpr std::size_t Endings = 5;

/// The promises that a run can see broken.
enum class Breach : std::uint8_t {
  LooksWhole,       // An answer ended as if whole and is not.
  NotOwn,           // An answer carries ids or counts of another request.
  DifferentAnswers, // Two answers for one idempotency key differ.
  NoAnswer,         // No final answer within the limit.
  CutOff,           // The connection broke without a final answer.
  BadRefusal,       // A refusal without a known code and its outcome.
};
constexpr std::size_t Breaches = 6;

/// Names for reports, in lower case.
const char *toString(Ending E);
const char *toString(Breach B);

/// The judgement of one reply.
struct Verdict {
  Ending End = Ending::Answered;
  Code Number = Code::Ok; // Of a refusal.
  std::optional<Breach> Broken;
  std::string Detail;             // For people: what was wrong.
  std::uint64_t PromptTokens = 0; // As the answer counts them.
  std::uint64_t OutputTokens = 0;
  std::string AnswerId; // Of a completion.
  std::string Content;  // Status and body of a plain call's answer.
};

/// What is known of the answer beforehand.
struct Expectation {
  RequestKind Kind = RequestKind::Completion;
  std::uint64_t PromptTokens = 0;
  std::uint64_t MaxTokens = 0;
  bool ExactCounts = false; // Tokens are four bytes, as the stand-ins count.
};

/// One reply as it comes.
struct AnswerReader {
  Expectation Expected;
  int Status = 0;
  bool IsProblem = false;
  bool IsStream = false;
  std::string RequestId; // X-Request-Id.
  std::string Buffer;    // Of a stream: the event that is not yet whole.
  bool Done = false;     // [DONE] came.
  bool HasUsage = false;
  std::string Finish;                 // finish_reason.
  std::optional<std::string> Problem; // Body, or the stream's error.
  std::uint64_t TextBytes = 0;
  std::string Fault; // First thing that was wrong with the stream's events.
  bool FaultOfIdentity = false; // That thing is another request's id.
  Verdict Found;
};

AnswerReader makeReader(const Expectation &E);
void readHead(AnswerReader &R, int Status,
              const std::vector<HttpHeader> &Headers);
/// Takes bytes of the body. Returns how many pieces of generated text they
/// completed.
std::size_t readData(AnswerReader &R, std::string_view Bytes);
/// The verdict once the reply ended without a failure of its connection.
/// \p Delimited: by length or chunks.
Verdict judge(AnswerReader R, bool Delimited);
/// The verdict of a reply whose connection failed.
Verdict judgeFailure(AnswerReader R, const UpstreamFailure &Why);

} // namespace pimento::load
