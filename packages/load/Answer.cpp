#include "load/Answer.h"

#include "base/Json.h"
#include "base/Problem.h"

#include <algorithm>

namespace pimento::load {

namespace {

constexpr std::size_t MaxReplyBytes = 1U << 20U; // Limit for one event or body.

Json parseOrNull(std::string_view Text) {
  JsonLimits Limits;
  Limits.Bytes = MaxReplyBytes;
  Failure Why;
  return valueOr([&] { return parseJson(Text, Limits); }, Json(), Why);
}

std::string textOf(const Json &Object, const char *Name) {
  auto Found = Object.find(Name);
  return Found != Object.end() && Found->is_string() ? Found->get<std::string>()
                                                     : std::string();
}

std::optional<std::uint64_t> countOf(const Json &Object, const char *Name) {
  auto Found = Object.find(Name);
  if (Found == Object.end() || !Found->is_number_unsigned())
    return std::nullopt;
  return Found->get<std::uint64_t>();
}

void recordFault(AnswerReader &R, std::string Detail,
                 bool IsIdentityFault = false) {
  if (!R.Fault.empty())
    return;
  R.Fault = std::move(Detail);
  R.HasIdentityFault = IsIdentityFault;
}

void checkId(AnswerReader &R, const std::string &Id) {
  if (R.Found.AnswerId.empty())
    R.Found.AnswerId = Id;
  bool MatchesRequest = Id.size() > R.RequestId.size() &&
                        Id.compare(Id.size() - R.RequestId.size(),
                                   std::string::npos, R.RequestId) == 0;
  if (Id != R.Found.AnswerId)
    recordFault(R, "event has id " + Id + ", expected " + R.Found.AnswerId,
                true);
  else if (!MatchesRequest)
    recordFault(
        R, "answer id " + Id + " does not belong to request " + R.RequestId,
        true);
}

void readUsage(AnswerReader &R, const Json &Event) {
  auto Usage = Event.find("usage");
  if (Usage == Event.end() || !Usage->is_object())
    return;
  auto Prompt = countOf(*Usage, "prompt_tokens");
  auto Output = countOf(*Usage, "completion_tokens");
  R.HasUsage = Prompt && Output;
  R.Found.PromptTokens = Prompt.value_or(0);
  R.Found.OutputTokens = Output.value_or(0);
}

/// Returns whether the event contains generated text.
bool readChoice(AnswerReader &R, const Json &Event) {
  auto Choices = Event.find("choices");
  if (Choices == Event.end() || !Choices->is_array() || Choices->empty() ||
      !Choices->front().is_object()) {
    recordFault(R, "event has no choices");
    return false;
  }
  const Json &Choice = Choices->front();
  std::string Finish = textOf(Choice, "finish_reason");
  std::string Text = textOf(Choice, "text");
  if (!R.Finish.empty() && !Text.empty())
    recordFault(R, "event has text after the finish reason");
  if (!Finish.empty())
    R.Finish = Finish;
  R.TextBytes += Text.size();
  return !Text.empty();
}

bool readEvent(AnswerReader &R, std::string_view Event) {
  constexpr std::string_view Prefix = "data: ";
  if (Event.substr(0, Prefix.size()) != Prefix)
    return false; // An SSE comment or an empty line.
  Event.remove_prefix(Prefix.size());
  if (R.Done || R.Problem)
    recordFault(R, "event received after the end of the stream");
  if (Event == "[DONE]") {
    R.Done = true;
    return false;
  }
  Json Parsed = parseOrNull(Event);
  if (!Parsed.is_object()) {
    recordFault(R, "event is not a JSON object");
    return false;
  }
  auto Error = Parsed.find("error");
  if (Error != Parsed.end()) {
    R.Problem = Error->dump();
    return false;
  }
  checkId(R, textOf(Parsed, "id"));
  readUsage(R, Parsed);
  return readChoice(R, Parsed);
}

std::size_t readEvents(AnswerReader &R) {
  constexpr std::string_view End = "\n\n";
  std::size_t Pieces = 0;
  std::size_t From = 0;
  for (;;) {
    std::size_t To = R.Buffer.find(End, From);
    if (To == std::string::npos)
      break;
    std::string_view Event(R.Buffer.data() + From, To - From);
    if (readEvent(R, Event))
      ++Pieces;
    From = To + End.size();
  }
  R.Buffer.erase(0, From);
  return Pieces;
}

Verdict violated(AnswerReader &R, Violation V, std::string Detail) {
  R.Found.Broken = V;
  R.Found.Detail = std::move(Detail);
  return std::move(R.Found);
}

/// A refusal is valid if its code is listed in Codes.def and its outcome is the
/// one listed there.
Verdict evaluateProblem(AnswerReader &R, const std::string &Body) {
  R.Found.Kind = ResultKind::Refused;
  R.Found.Number = Code::BackendFailed;
  Json Problem = parseOrNull(Body);
  if (!Problem.is_object())
    return violated(R, Violation::InvalidRefusal,
                    "problem is not a JSON object");
  auto Number = countOf(Problem, "code");
  bool Known =
      Number && *Number <= UINT16_MAX &&
      codeFromNumber(static_cast<std::uint16_t>(*Number), R.Found.Number);
  if (!Known)
    return violated(R, Violation::InvalidRefusal, "problem has no known code");
  const char *Outcome = toString(info(R.Found.Number).Result);
  if (textOf(Problem, "outcome") != Outcome)
    return violated(R, Violation::InvalidRefusal,
                    "code " + std::to_string(*Number) + " with the outcome '" +
                        textOf(Problem, "outcome") + "'");
  R.Found.Detail = textOf(Problem, "detail");
  return std::move(R.Found);
}

Verdict checkTokenCounts(AnswerReader &R) {
  const Expectation &E = R.Expected;
  std::uint64_t Output = R.Found.OutputTokens;
  bool AtLimit = Output >= E.MaxTokens;
  if (Output > E.MaxTokens || (R.Finish == "length") != AtLimit)
    return violated(R, Violation::IncompleteAnswer,
                    std::to_string(Output) + " of " +
                        std::to_string(E.MaxTokens) +
                        " tokens, finish reason " + R.Finish);
  if (!E.ExactCounts)
    return std::move(R.Found);
  if (R.Found.PromptTokens != E.PromptTokens)
    return violated(R, Violation::WrongRequest,
                    "answers a prompt of " +
                        std::to_string(R.Found.PromptTokens) + " tokens, not " +
                        std::to_string(E.PromptTokens));
  if (R.TextBytes != Output * BytesPerToken)
    return violated(R, Violation::IncompleteAnswer,
                    std::to_string(R.TextBytes) + " bytes of text for " +
                        std::to_string(Output) + " tokens");
  return std::move(R.Found);
}

Verdict evaluateStream(AnswerReader &R) {
  if (!R.Fault.empty())
    return violated(R,
                    R.HasIdentityFault ? Violation::WrongRequest
                                       : Violation::IncompleteAnswer,
                    R.Fault);
  if (!R.Done || R.Finish.empty() || !R.HasUsage)
    return violated(R, Violation::IncompleteAnswer,
                    "the stream ended without its end marker");
  return checkTokenCounts(R);
}

} // namespace

const char *toString(ResultKind K) {
  switch (K) {
  case ResultKind::Answered:
    return "answered";
  case ResultKind::Refused:
    return "refused";
  case ResultKind::Interrupted:
    return "cut";
  case ResultKind::NoAnswer:
    return "no answer";
  case ResultKind::Unreachable:
    break;
  }
  return "unreachable";
}

const char *toString(Violation V) {
  switch (V) {
  case Violation::IncompleteAnswer:
    return "answer looks whole and is not";
  case Violation::WrongRequest:
    return "answer of another request";
  case Violation::DifferentAnswers:
    return "different answers for one key";
  case Violation::NoAnswer:
    return "no answer within the limit";
  case Violation::ConnectionLost:
    return "connection broke before the end";
  case Violation::InvalidRefusal:
    break;
  }
  return "refusal without a known code";
}

AnswerReader makeReader(const Expectation &E) {
  AnswerReader R;
  R.Expected = E;
  return R;
}

void readHead(AnswerReader &R, int Status,
              const std::vector<HttpHeader> &Headers) {
  R.Status = Status;
  R.RequestId = headerValue(Headers, "X-Request-Id");
  std::string_view Type = headerValue(Headers, "Content-Type");
  R.IsProblem = Type == ProblemContentType;
  R.IsStream = R.Expected.Kind == RequestKind::Completion && !R.IsProblem;
}

std::size_t readData(AnswerReader &R, std::string_view Bytes) {
  if (R.Buffer.size() + Bytes.size() > MaxReplyBytes) {
    recordFault(R, "reply or event is larger than 1 MiB");
    return 0;
  }
  R.Buffer += Bytes;
  return R.IsStream && R.Status == 200 ? readEvents(R) : 0;
}

Verdict evaluateReply(AnswerReader R, bool Delimited) {
  if (R.IsProblem)
    return evaluateProblem(R, R.Buffer);
  if (R.Problem)
    return evaluateProblem(R, *R.Problem);
  if (R.IsStream && R.Status != 200)
    return violated(R, Violation::InvalidRefusal,
                    "status " + std::to_string(R.Status) +
                        " without a problem");
  if (R.IsStream)
    return evaluateStream(R);
  if (!Delimited)
    return violated(R, Violation::IncompleteAnswer,
                    "reply has neither a length nor chunked encoding");
  R.Found.Content = std::to_string(R.Status) + "\n" + R.Buffer;
  return std::move(R.Found);
}

Verdict evaluateFailure(AnswerReader R, const UpstreamFailure &Why) {
  if (R.Problem)
    return evaluateProblem(R, *R.Problem);
  if (!Why.BytesSent) {
    R.Found.Kind = ResultKind::Unreachable;
    R.Found.Detail = Why.Detail;
    return std::move(R.Found);
  }
  // The answer is complete at [DONE], even if the connection fails afterwards.
  if (R.Done)
    return evaluateStream(R);
  R.Found.Kind = ResultKind::Interrupted;
  return violated(R, Violation::ConnectionLost, Why.Detail);
}

} // namespace pimento::load
