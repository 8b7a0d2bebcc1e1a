#include "calls/CallerApi.h"

#include "base/Token.h"

#include <algorithm>
#include <charconv>
#include <new>

#include <boost/json.hpp>

namespace pimento::calls {

namespace {

namespace json = boost::json;

constexpr std::string_view CompletionPath = "/v1/completions";
constexpr std::string_view ChatPath = "/v1/chat/completions";
constexpr std::string_view ServicesPath = "/v1/services/";
constexpr std::string_view CallsPart = "/calls/";

constexpr std::size_t MaxDepth = 16;
constexpr std::size_t ParseMemoryFactor = 5; // Bytes per byte of the body.
constexpr std::size_t ParseMemoryReserve = 64U << 10U;
constexpr std::uint64_t MaxTokenCount = 1ULL << 32U;
constexpr std::size_t MaxModelBytes = 256;

bool startsWith(std::string_view Text, std::string_view Start) {
  return Text.substr(0, Start.size()) == Start;
}

boost::leaf::error_id badRequest(std::string Detail) {
  return fail(Code::BadRequest, std::move(Detail));
}

/// Memory for parsing one body, with a limit. Bounds bodies with many small
/// values, whose parsed form takes many times the memory of their text.
class BoundedMemory final : public json::memory_resource {
public:
  explicit BoundedMemory(std::size_t Bytes) : Left(Bytes) {}

private:
  std::size_t Left;

  // Boost.JSON frees keys with another alignment than it requested; plain new
  // is sufficiently aligned for all its values.
  void *do_allocate(std::size_t Bytes, std::size_t /*Alignment*/) override {
    if (Bytes > Left)
      throw std::bad_alloc();
    Left -= Bytes;
    return ::operator new(Bytes);
  }
  void do_deallocate(void *Memory, std::size_t Bytes,
                     std::size_t /*Alignment*/) override {
    Left += Bytes;
    ::operator delete(Memory);
  }
  bool do_is_equal(const memory_resource &Other) const noexcept override {
    return this == &Other;
  }
};

/// Parses a body; returns false if it is not JSON or exceeds a limit.
bool parseBody(std::string_view Text, json::value &Body,
               json::storage_ptr Memory) {
  json::parse_options Options;
  Options.max_depth = MaxDepth;
  json::error_code Error;
  try {
    Body = json::parse({Text.data(), Text.size()}, Error, std::move(Memory),
                       Options);
  } catch (const std::bad_alloc &) {
    return false;
  }
  return !Error;
}

std::string toText(const json::string &Text) {
  return {Text.data(), Text.size()};
}

/// Returns the field; null if it is absent or JSON null.
const json::value *findField(const json::object &Body, const char *Name) {
  const json::value *Found = Body.if_contains(Name);
  return Found == nullptr || Found->is_null() ? nullptr : Found;
}

Result<std::uint64_t> readCount(const json::object &Body, const char *Name,
                                std::uint64_t Default) {
  const json::value *Found = findField(Body, Name);
  if (Found == nullptr)
    return Default;
  const std::int64_t *Count = Found->if_int64();
  if (Count == nullptr || *Count < 1 ||
      static_cast<std::uint64_t>(*Count) > MaxTokenCount)
    return badRequest(std::string(Name) +
                      ": expected an integer from 1 to 2^32");
  return static_cast<std::uint64_t>(*Count);
}

Result<bool> readFlag(const json::object &Body, const char *Name) {
  const json::value *Found = findField(Body, Name);
  if (Found == nullptr)
    return false;
  if (!Found->is_bool())
    return badRequest(std::string(Name) + ": expected true or false");
  return Found->get_bool();
}

/// Reads a prompt: a string, or an array of one string.
Result<std::string> readPrompt(const json::object &Body) {
  const json::value *Found = findField(Body, "prompt");
  if (Found != nullptr && Found->is_array() && Found->get_array().size() == 1)
    Found = &Found->get_array().front();
  if (Found == nullptr || !Found->is_string())
    return badRequest("prompt: expected a string or an array of one string");
  return toText(Found->get_string());
}

/// Reads a message's content: a string, or an array of text parts.
Result<std::string> readContent(const json::object &Message) {
  const json::value *Content = findField(Message, "content");
  if (Content == nullptr)
    return badRequest("messages: a message has no content");
  if (Content->is_string())
    return toText(Content->get_string());
  if (!Content->is_array())
    return badRequest(
        "messages: expected content to be a string or an array of parts");
  std::string Combined;
  for (const json::value &Part : Content->get_array()) {
    const json::value *Text =
        Part.is_object() ? findField(Part.get_object(), "text") : nullptr;
    if (Text == nullptr || !Text->is_string())
      return badRequest("messages: only parts of type text are served");
    Combined += toText(Text->get_string());
  }
  return Combined;
}

/// Builds the prompt of a chat: each message as "role: content" and a line
/// break, then "assistant:".
Result<std::string> readMessages(const json::object &Body) {
  const json::value *Messages = findField(Body, "messages");
  if (Messages == nullptr || !Messages->is_array() ||
      Messages->get_array().empty())
    return badRequest("messages: expected an array with at least one message");
  std::string Prompt;
  for (const json::value &Message : Messages->get_array()) {
    if (!Message.is_object())
      return badRequest("messages: a message is not a JSON object");
    const json::value *Role = findField(Message.get_object(), "role");
    if (Role == nullptr || !Role->is_string())
      return badRequest(
          "messages: a message's role is missing or not a string");
    BOOST_LEAF_AUTO(Content, readContent(Message.get_object()));
    Prompt += toText(Role->get_string()) + ": ";
    Prompt += Content;
    Prompt += '\n';
  }
  Prompt += "assistant:";
  return Prompt;
}

Result<std::uint64_t> readMaxTokens(const json::object &Body) {
  BOOST_LEAF_AUTO(Newer, readCount(Body, "max_completion_tokens", 0));
  if (Newer != 0)
    return Newer;
  return readCount(Body, "max_tokens", DefaultMaxTokens);
}

Result<ModelName> readModel(const json::object &Body) {
  const json::value *Found = findField(Body, "model");
  if (Found == nullptr || !Found->is_string() || Found->get_string().empty() ||
      Found->get_string().size() > MaxModelBytes)
    return badRequest("model: expected a name of up to 256 bytes");
  return ModelName(toText(Found->get_string()));
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

/// Whether a segment of the path is "." or "..", which could leave the prefix.
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
    return fail(Code::NotFound,
                "the path below calls/ is empty or has a dot segment");
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
  BoundedMemory Memory(ParseMemoryFactor * Request.Body.size() +
                       ParseMemoryReserve);
  json::value Parsed(&Memory);
  if (!parseBody(Request.Body, Parsed, &Memory))
    return badRequest(
        "the body is not JSON, nests deeper than 16 levels or has too "
        "many values");
  if (!Parsed.is_object())
    return badRequest("the body is not a JSON object");
  const json::object &Body = Parsed.get_object();
  Completion Params;
  Params.Chat = Request.Path == ChatPath;
  BOOST_LEAF_ASSIGN(Params.Model, readModel(Body));
  BOOST_LEAF_ASSIGN(Params.Stream, readFlag(Body, "stream"));
  BOOST_LEAF_ASSIGN(Params.MaxTokens, readMaxTokens(Body));
  BOOST_LEAF_AUTO(Answers, readCount(Body, "n", 1));
  if (Answers != 1)
    return badRequest("n: only one answer per request is supported");
  if (Params.Chat) {
    BOOST_LEAF_ASSIGN(Params.Prompt, readMessages(Body));
  } else {
    BOOST_LEAF_ASSIGN(Params.Prompt, readPrompt(Body));
  }
  return Params;
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
    return badRequest("the query has characters that must be percent-encoded");
  if (!Request.Query.empty())
    Call.Target += "?" + Request.Query;
  Call.ContentType = headerValue(Request.Headers, "Content-Type");
  Call.Key = headerValue(Request.Headers, "Idempotency-Key");
  if (Call.Key.size() > MaxKeyBytes || !isPrintable(Call.Key))
    return badRequest("Idempotency-Key: expected at most 255 printable ASCII "
                      "characters without spaces");
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
  constexpr std::uint64_t MaxMilliseconds = 1000ULL * 86400 * 365;
  std::uint64_t Count = 0;
  auto Read = std::from_chars(Text.data(), Text.data() + Text.size(), Count);
  if (Read.ec != std::errc() || Read.ptr != Text.data() + Text.size() ||
      Count == 0)
    return badRequest("X-Request-Timeout-Ms: expected a positive integer of "
                      "milliseconds");
  return std::optional<Duration>(
      milliseconds(std::min(Count, MaxMilliseconds)));
}

} // namespace pimento::calls
