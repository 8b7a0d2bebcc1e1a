#include "load/Answer.h"

#include "base/Json.h"
#include "base/Problem.h"

#include <algorithm>

namespace pimento::load {

namespace {

constexpr std::size_t MaxReplyBytes = 1U << 20U; // Of one event or body.

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

void fault(AnswerReader &R, std::string Detail, bool OfIdentity = false) {
  if (!R.Fault.empty())
    return;
  R.Fault = std::move(Detail);
  R.FaultOfIdentity = OfIdentity;
}

void checkId(AnswerReader &R, const std::string &Id) {
  if (R.Found.AnswerId.empty())
    R.Found.AnswerId = Id;
  bool Named = Id.size() > R.RequestId.size() &&
               Id.compare(Id.size() - R.RequestId.size(), std::string::npos,
                          R.RequestId) == 0;
  if (Id != R.Found.AnswerId)
    fault(R, "an event is of " + Id + ", not of " + R.Found.AnswerId, true);
  else if (!Named)
    fault(R, "answer " + Id + " of request " + R.RequestId, true);
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

/// Whether the event holds a piece of generated text.
bool readChoice(AnswerReader &R, const Json &Event) {
  auto Choices = Event.find("choices");
  if (Choices == Event.end() || !Choices->is_array() || Choices->empty() ||
      !Choices->front().is_object()) {
    fault(R, "an event has no choices");
    return false;
  }
  const Json &Choice = Choices->front();
  std::string Finish = textOf(Choice, "finish_reason");
  std::string Text = textOf(Choice, "text");
  if (!R.Finish.empty() && !Text.empty())
    fault(R, "text came after the finish reason");
  if (!Finish.empty())
    R.Finish = Finish;
  R.TextBytes += Text.size();
  return !Text.empty();
}

bool readEvent(AnswerReader &R, std::string_view Event) {
  constexpr std::string_view Prefix = "data: ";
  if (Event.substr(0, Prefix.size()) != Prefix)
    return false; // A comment or an empty line.
  Event.remove_prefix(Prefix.size());
  if (R.Done || R.Problem)
    fault(R, "an event came after the end");
  if (Event == "[DONE]") {
    R.Done = true;
    return false;
  }
  Json Parsed = parseOrNull(Event);
  if (!Parsed.is_object()) {
    fault(R, "an event is no JSON object");
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

Verdict broken(AnswerReader &R, Breach B, std::string Detail) {
  R.Found.Broken = B;
  R.Found.Detail = std::move(Detail);
  return std::move(R.Found);
}

/// A refusal is honest if its code is in the table and says what the table
/// says.
Verdict judgeProblem(AnswerReader &R, const std::string &Body) {
  R.Found.End = Ending::Refused;
  R.Found.Number = Code::BackendFailed;
  Json Problem = parseOrNull(Body);
  if (!Problem.is_object())
    return broken(R, Breach::BadRefusal, "the problem is no JSON object");
  auto Number = countOf(Problem, "code");
  bool Known =
      Number && *Number <= UINT16_MAX &&
      codeFromNumber(static_cast<std::uint16_t>(*Number), R.Found.Number);
  if (!Known)
    return broken(R, Breach::BadRefusal, "the problem has no known code");
  const char *Outcome = toString(info(R.Found.Number).Result);
  if (textOf(Problem, "outcome") != Outcome)
    return broken(R, Breach::BadRefusal,
                  "code " + std::to_string(*Number) + " with the outcome '" +
                      textOf(Problem, "outcome") + "'");
  R.Found.Detail = textOf(Problem, "detail");
  return std::move(R.Found);
}

Verdict judgeCounts(AnswerReader &R) {
  const Expectation &E = R.Expected;
  std::uint64_t Output = R.Found.OutputTokens;
  bool AtLimit = Output >= E.MaxTokens;
  if (Output > E.MaxTokens || (R.Finish == "length") != AtLimit)
    return broken(R, Breach::LooksWhole,
                  std::to_string(Output) + " of " +
                      std::to_string(E.MaxTokens) + " tokens, finish reason " +
                      R.Finish);
  if (!E.ExactCounts)
    return std::move(R.Found);
  if (R.Found.PromptTokens != E.PromptTokens)
    return broken(R, Breach::NotOwn,
                  "answers a prompt of " +
                      std::to_string(R.Found.PromptTokens) + " tokens, not " +
                      std::to_string(E.PromptTokens));
  if (R.TextBytes != Output * BytesPerToken)
    return broken(R, Breach::LooksWhole,
                  std::to_string(R.TextBytes) + " bytes of text for " +
                      std::to_string(Output) + " tokens");
  return std::move(R.Found);
}

Verdict judgeStream(AnswerReader &R) {
  if (!R.Fault.empty())
    return broken(R, R.FaultOfIdentity ? Breach::NotOwn : Breach::LooksWhole,
                  R.Fault);
  if (!R.Done || R.Finish.empty() || !R.HasUsage)
    return broken(R, Breach::LooksWhole,
                  "the stream ended without its end marker");
  return judgeCounts(R);
}

} // namespace

const char *toString(Ending E) {
  switch (E) {
  case Ending::Answered:
    return "answered";
  case Ending::Refused:
    return "refused";
  case Ending::Cut:
    return "cut";
  case Ending::NoAnswer:
    return "no answer";
  case Ending::Unreachable:
    break;
  }
  return "unreachable";
}

const char *toString(Breach B) {
  switch (B) {
  case Breach::LooksWhole:
    return "answer looks whole and is not";
  case Breach::NotOwn:
    return "answer of another request";
  case Breach::DifferentAnswers:
    return "different answers for one key";
  case Breach::NoAnswer:
    return "no answer within the limit";
  case Breach::CutOff:
    return "connection broke before the end";
  case Breach::BadRefusal:
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
    fault(R, "a reply or event is too long");
    return 0;
  }
  R.Buffer += Bytes;
  return R.IsStream && R.Status == 200 ? readEvents(R) : 0;
}

Verdict judge(AnswerReader R, bool Delimited) {
  if (R.IsProblem)
    return judgeProblem(R, R.Buffer);
  if (R.Problem)
    return judgeProblem(R, *R.Problem);
  if (R.IsStream && R.Status != 200)
    return broken(R, Breach::BadRefusal,
                  "status " + std::to_string(R.Status) + " without a problem");
  if (R.IsStream)
    return judgeStream(R);
  if (!Delimited)
    return broken(R, Breach::LooksWhole, "a reply without its length");
  R.Found.Content = std::to_string(R.Status) + "\n" + R.Buffer;
  return std::move(R.Found);
}

Verdict judgeFailure(AnswerReader R, const UpstreamFailure &Why) {
  if (R.Problem)
    return judgeProblem(R, *R.Problem);
  if (!Why.BytesSent) {
    R.Found.End = Ending::Unreachable;
    R.Found.Detail = Why.Detail;
    return std::move(R.Found);
  }
  // Whoever stops reading at [DONE] holds a whole answer.
  if (R.Done)
    return judgeStream(R);
  R.Found.End = Ending::Cut;
  return broken(R, Breach::CutOff, Why.Detail);
}

} // namespace pimento::load
