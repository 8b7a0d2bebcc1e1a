#include "calls/CallerApi.h"

#include "base/Json.h"
#include "base/Token.h"

#include <algorithm>
#include <charconv>

namespace pimento::calls {

namespace {

constexpr std::string_view CompletionPath = "/v1/completions";
constexpr std::string_view ChatPath = "/v1/chat/completions";
constexpr std::string_view ServicesPath = "/v1/services/";
constexpr std::string_view CallsPart = "/calls/";

constexpr JsonLimits BodyLimits = {64U << 20U, /*Depth=*/16,
                                   /*Values=*/1U << 16U};
constexpr std::uint64_t MostTokens = 1ULL << 32U;
constexpr std::size_t MaxModelBytes = 256;

bool startsWith(std::string_view Text, std::string_view Start) {
  return Text.substr(0, Start.size()) == Start;
}

boost::leaf::error_id bad(std::string Detail) {
  return fail(Code::BadRequest, std::move(Detail));
}

Result<std::uint64_t> readCount(const Json &Body, const char *Name,
                                std::uint64_t Otherwise) {
  auto Found = Body.find(Name);
  if (Found == Body.end() || Found->is_null())
    return Otherwise;
  if (!Found->is_number_unsigned() || Found->get<std::uint64_t>() == 0 ||
      Found->get<std::uint64_t>() > MostTokens)
    return bad(std::string(Name) + ": expected a whole number from 1 on");
  return Found->get<std::uint64_t>();
}

Result<bool> readFlag(const Json &Body, const char *Name) {
  auto Found = Body.find(Name);
  if (Found == Body.end() || Found->is_null())
    return false;
  if (!Found->is_boolean())
    return bad(std::string(Name) + ": expected true or false");
  return Found->get<bool>();
}

/// A text, or a list of one text.
Result<std::string> takePrompt(Json &Body) {
  auto Found = Body.find("prompt");
  if (Found != Body.end() && Found->is_array() && Found->size() == 1)
    Found = Found->begin();
  if (Found == Body.end() || !Found->is_string())
    return bad("prompt: expected a text");
  return std::move(Found->get_ref<std::string &>());
}

/// A text, or a list of parts of which each is a text.
Result<std::string> takeContent(Json &Message) {
  auto Content = Message.find("content");
  if (Content == Message.end())
    return bad("messages: a message has no content");
  if (Content->is_string())
    return std::move(Content->get_ref<std::string &>());
  if (!Content->is_array())
    return bad("messages: expected content to be a text or a list of parts");
  std::string Whole;
  for (Json &Part : *Content) {
    auto Text = Part.is_object() ? Part.find("text") : Part.end();
    if (!Part.is_object() || Text == Part.end() || !Text->is_string())
      return bad("messages: only parts of type text are served");
    Whole += Text->get_ref<const std::string &>();
  }
  return Whole;
}

/// Each message as "role: content" and a line break; the answer follows.
Result<std::string> takeMessages(Json &Body) {
  auto Messages = Body.find("messages");
  if (Messages == Body.end() || !Messages->is_array() || Messages->empty())
    return bad("messages: expected a list with at least one message");
  std::string Prompt;
  for (Json &Message : *Messages) {
    if (!Message.is_object())
      return bad("messages: expected objects");
    auto Role = Message.find("role");
    if (Role == Message.end() || !Role->is_string())
      return bad("messages: a message has no role");
    BOOST_LEAF_AUTO(Content, takeContent(Message));
    Prompt += Role->get_ref<const std::string &>() + ": ";
    Prompt += Content;
    Prompt += '\n';
  }
  Prompt += "assistant:";
  return Prompt;
}

Result<std::uint64_t> readMaxTokens(const Json &Body) {
  BOOST_LEAF_AUTO(Newer, readCount(Body, "max_completion_tokens", 0));
  if (Newer != 0)
    return Newer;
  return readCount(Body, "max_tokens", DefaultMaxTokens);
}

Result<void> readModel(const Json &Body, ModelName &Model) {
  auto Found = Body.find("model");
  if (Found == Body.end() || !Found->is_string() ||
      Found->get_ref<const std::string &>().empty() ||
      Found->get_ref<const std::string &>().size() > MaxModelBytes)
    return bad("model: expected a name of up to 256 bytes");
  Model = ModelName(Found->get<std::string>());
  return {};
}

constexpr bool isPlainInPath(char C) {
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
         (C >= '0' && C <= '9') || C == '-' || C == '.' || C == '_' ||
         C == '~' || C == '/' || C == ':' || C == '@' || C == '+' || C == ',' ||
         C == '=' || C == '!' || C == '$' || C == '*';
}

std::string encodePath(std::string_view Path) {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string Encoded;
  for (char C : Path) {
    if (isPlainInPath(C)) {
      Encoded += C;
      continue;
    }
    auto Byte = static_cast<unsigned char>(C);
    Encoded += '%';
    Encoded += Digits[Byte >> 4U];
    Encoded += Digits[Byte & 15U];
  }
  return Encoded;
}

/// Whether a segment of the path would lead out of where it begins.
bool hasDotSegment(std::string_view Path) {
  while (!Path.empty()) {
    std::size_t End = Path.find('/');
    std::string_view Segment = Path.substr(0, End);
    if (Segment == "." || Segment == "..")
      return true;
    if (End == std::string_view::npos)
      return false;
    Path.remove_prefix(End + 1);
  }
  return false;
}

bool isPrintable(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(),
                     [](char C) { return C > ' ' && C <= '~'; });
}

Result<void> splitCallPath(std::string_view Path, PlainCall &Call) {
  Path.remove_prefix(ServicesPath.size());
  std::size_t Part = Path.find(CallsPart);
  if (Part == std::string_view::npos || Part == 0)
    return fail(Code::NotFound, "expected /v1/services/{service}/calls/{path}");
  Call.Service = ServiceId(std::string(Path.substr(0, Part)));
  Call.Path = std::string(Path.substr(Part + CallsPart.size()));
  if (Call.Path.empty() || hasDotSegment(Call.Path))
    return fail(Code::NotFound, "the path below calls/ is empty or has dots");
  return {};
}

} // namespace

bool isCompletionPath(std::string_view Path) {
  return Path == CompletionPath || Path == ChatPath;
}

bool isPlainCallPath(std::string_view Path) {
  return startsWith(Path, ServicesPath) &&
         Path.find(CallsPart) != std::string_view::npos;
}

Result<Completion> readCompletion(const HttpRequest &Request) {
  if (Request.Method != HttpMethod::Post)
    return fail(Code::MethodNotAllowed, "expected POST");
  BOOST_LEAF_AUTO(Body, parseJson(Request.Body, BodyLimits));
  if (!Body.is_object())
    return bad("the body is no JSON object");
  Completion Wanted;
  Wanted.Chat = Request.Path == ChatPath;
  BOOST_LEAF_CHECK(readModel(Body, Wanted.Model));
  BOOST_LEAF_ASSIGN(Wanted.Stream, readFlag(Body, "stream"));
  BOOST_LEAF_ASSIGN(Wanted.MaxTokens, readMaxTokens(Body));
  BOOST_LEAF_AUTO(Answers, readCount(Body, "n", 1));
  if (Answers != 1)
    return bad("n: only one answer a request is served");
  if (Wanted.Chat) {
    BOOST_LEAF_ASSIGN(Wanted.Prompt, takeMessages(Body));
  } else {
    BOOST_LEAF_ASSIGN(Wanted.Prompt, takePrompt(Body));
  }
  return Wanted;
}

Result<PlainCall> readPlainCall(HttpRequest &Request) {
  PlainCall Call;
  BOOST_LEAF_CHECK(splitCallPath(Request.Path, Call));
  if (Request.Method == HttpMethod::Other)
    return fail(Code::MethodNotAllowed,
                "expected GET, POST, PUT, PATCH or DELETE");
  Call.Method = Request.Method;
  Call.Target = "/" + encodePath(Call.Path);
  if (!isPrintable(Request.Query))
    return bad("the query has characters that must be encoded");
  if (!Request.Query.empty())
    Call.Target += "?" + Request.Query;
  Call.ContentType = headerValue(Request.Headers, "Content-Type");
  Call.Key = headerValue(Request.Headers, "Idempotency-Key");
  if (Call.Key.size() > MaxKeyBytes || !isPrintable(Call.Key))
    return bad("Idempotency-Key: expected up to 255 printable characters");
  Call.Body = std::move(Request.Body);
  std::string Digested = toString(Call.Method);
  Digested += "\n" + Call.Target + "\n" + Call.Body;
  Call.BodySha256 = sha256Hex(Digested);
  return Call;
}

Result<std::optional<Duration>> readTimeLimit(const HttpRequest &Request) {
  std::string_view Text = headerValue(Request.Headers, "X-Request-Timeout-Ms");
  if (Text.empty())
    return std::optional<Duration>();
  constexpr std::uint64_t MostMs = 1000ULL * 86400 * 365;
  std::uint64_t Count = 0;
  auto Read = std::from_chars(Text.data(), Text.data() + Text.size(), Count);
  if (Read.ec != std::errc() || Read.ptr != Text.data() + Text.size() ||
      Count == 0)
    return bad("X-Request-Timeout-Ms: expected whole milliseconds from 1 on");
  return std::optional<Duration>(milliseconds(std::min(Count, MostMs)));
}

} // namespace pimento::calls
