#include "engine/Stream.h"

#include "base/Json.h"

#include <charconv>

namespace pimento {

namespace {

constexpr JsonLimits EventLimits = {64U << 10U, /*Depth=*/4, /*Values=*/64};

bool readNumber(const Json &Object, const char *Name, std::uint64_t &Value) {
  auto Found = Object.find(Name);
  if (Found == Object.end() || !Found->is_number_unsigned())
    return false;
  Value = Found->get<std::uint64_t>();
  return true;
}

bool readAttempt(const Json &Object, AttemptId &Attempt) {
  auto Found = Object.find("attempt");
  return Found != Object.end() && Found->is_string() &&
         parseAttemptId(Found->get_ref<const std::string &>(), Attempt);
}

bool readEnd(const Json &Object, EndEvent &End) {
  auto Finish = Object.find("finish");
  End.LengthLimit = Finish != Object.end() && *Finish == "length";
  return readAttempt(Object, End.Attempt) &&
         readNumber(Object, "prompt_tokens", End.PromptTokens) &&
         readNumber(Object, "cached_tokens", End.CachedTokens) &&
         readNumber(Object, "output_tokens", End.OutputTokens);
}

bool readToken(Json &Object, TokenEvent &Token) {
  auto Text = Object.find("text");
  if (Text == Object.end() || !Text->is_string())
    return false;
  Token.Text = std::move(Text->get_ref<std::string &>());
  return readAttempt(Object, Token.Attempt) &&
         readNumber(Object, "offset", Token.Offset);
}

bool readData(Json &Object, EngineEvent &Event) {
  if (!Object.is_object())
    return false;
  auto Error = Object.find("error");
  if (Error != Object.end()) {
    constexpr std::size_t MaxDetailBytes = 200;
    ErrorEvent Read;
    if (Error->is_string())
      Read.Detail = Error->get<std::string>().substr(0, MaxDetailBytes);
    bool Valid = readAttempt(Object, Read.Attempt);
    Event = std::move(Read);
    return Valid;
  }
  if (Object.contains("end")) {
    EndEvent Read;
    bool Valid = Object["end"] == true && readEnd(Object, Read);
    Event = Read;
    return Valid;
  }
  TokenEvent Read;
  bool Valid = readToken(Object, Read);
  Event = std::move(Read);
  return Valid;
}

/// Reads the comment "prefill DONE/TOTAL". Returns false for other comments,
/// which are not events.
bool readComment(std::string_view Text, PrefillEvent &Event) {
  constexpr std::string_view Word = "prefill ";
  if (Text.substr(0, Word.size()) != Word)
    return false;
  const char *End = Text.data() + Text.size();
  auto Done = std::from_chars(Text.data() + Word.size(), End, Event.Done);
  if (Done.ec != std::errc() || Done.ptr == End || *Done.ptr != '/')
    return false;
  auto Total = std::from_chars(Done.ptr + 1, End, Event.Total);
  return Total.ec == std::errc() && Total.ptr == End;
}

void reportProtocolError(EngineStream &Stream, const char *Detail,
                         std::vector<EngineEvent> &Events) {
  Stream.ProtocolViolated = true;
  Events.emplace_back(ProtocolErrorEvent{Detail});
}

void readLine(EngineStream &Stream, const SseLine &Line,
              std::vector<EngineEvent> &Events) {
  if (Line.Kind == SseKind::Comment) {
    PrefillEvent Prefill;
    if (readComment(Line.Text, Prefill))
      Events.emplace_back(Prefill);
    return;
  }
  Failure Why;
  Json Object = valueOr<Json>([&] { return parseJson(Line.Text, EventLimits); },
                              Json(), Why);
  EngineEvent Event;
  if (readData(Object, Event))
    Events.push_back(std::move(Event));
  else
    reportProtocolError(Stream,
                        "an event of the engine's stream violates the protocol",
                        Events);
}

} // namespace

void feed(EngineStream &Stream, std::string_view Bytes,
          std::vector<EngineEvent> &Events) {
  if (Stream.ProtocolViolated)
    return;
  std::vector<SseLine> Lines;
  bool Valid = feed(Stream.Reader, Bytes, Lines);
  for (const SseLine &Line : Lines) {
    if (Stream.ProtocolViolated)
      return;
    readLine(Stream, Line, Events);
  }
  if (!Valid && !Stream.ProtocolViolated)
    reportProtocolError(Stream, "a line of the engine's stream is too long",
                        Events);
}

} // namespace pimento
