#include "calls/CallerApi.h"

#include "base/Json.h"

namespace pimento {

namespace {

std::string dump(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string answerName(const CompletionHead &Head) {
  return (Head.Chat ? "chatcmpl-" : "cmpl-") + toString(Head.Request);
}

const char *finishReason(const CompletionEnd &End) {
  return End.LengthLimit ? "length" : "stop";
}

Json usage(const CompletionEnd &End) {
  return {{"prompt_tokens", End.PromptTokens},
          {"completion_tokens", End.OutputTokens},
          {"total_tokens", End.PromptTokens + End.OutputTokens},
          {"prompt_tokens_details", {{"cached_tokens", End.CachedTokens}}}};
}

std::string event(const std::string &Data) { return "data: " + Data + "\n\n"; }

/// An event of a streamed answer around one choice.
std::string chunk(const CompletionHead &Head, const std::string &Choice,
                  const std::string &Rest) {
  return event("{\"id\":\"" + answerName(Head) + "\",\"object\":\"" +
               (Head.Chat ? "chat.completion.chunk" : "text_completion") +
               "\",\"model\":" + dump(Json(Head.Model.Value)) +
               ",\"choices\":[{\"index\":0," + Choice + "}]" + Rest + "}");
}

std::int64_t wholeSeconds(Duration D) {
  auto Whole = std::chrono::duration_cast<seconds>(D);
  if (Whole < D)
    ++Whole;
  return Whole.count();
}

Json problemBody(const RequestId &Request, const Problem &Why) {
  const CodeInfo &Row = info(Why.Number);
  Json Body = {{"type", "about:blank"},
               {"title", Row.Meaning},
               {"status", Row.HttpStatus},
               {"code", static_cast<std::uint16_t>(Row.Number)},
               {"name", Row.Name},
               {"outcome", toString(Row.Result)},
               {"request", toString(Request)}};
  if (!Why.Detail.empty())
    Body["detail"] = Why.Detail;
  if (Why.RetryAfter > Duration::zero())
    Body["retry_after_ms"] = toMilliseconds(Why.RetryAfter);
  return Body;
}

} // namespace

HttpReply completionReply(const CompletionHead &Head, std::string_view Text,
                          const CompletionEnd &End) {
  Json Choice = {{"index", 0}, {"finish_reason", finishReason(End)}};
  if (Head.Chat)
    Choice["message"] = {{"role", "assistant"}, {"content", Text}};
  else
    Choice["text"] = Text;
  Json Body = {{"id", answerName(Head)},
               {"object", Head.Chat ? "chat.completion" : "text_completion"},
               {"model", Head.Model.Value},
               {"choices", Json::array({std::move(Choice)})},
               {"usage", usage(End)}};
  HttpReply Reply;
  Reply.Headers = {{"Content-Type", "application/json"},
                   {"X-Request-Id", toString(Head.Request)}};
  Reply.Body = dump(Body);
  return Reply;
}

HttpReply streamHead(const RequestId &Request) {
  HttpReply Head;
  Head.Headers = {{"Content-Type", "text/event-stream"},
                  {"Cache-Control", "no-store"},
                  {"X-Request-Id", toString(Request)}};
  return Head;
}

std::string chunkText(const CompletionHead &Head, std::string_view Text) {
  std::string Quoted = dump(Json(Text));
  if (Head.Chat)
    return chunk(
        Head, "\"delta\":{\"content\":" + Quoted + "},\"finish_reason\":null",
        "");
  return chunk(Head, "\"text\":" + Quoted + ",\"finish_reason\":null", "");
}

std::string chunkEnd(const CompletionHead &Head, const CompletionEnd &End) {
  std::string Finish =
      std::string("\"finish_reason\":\"") + finishReason(End) + "\"";
  std::string Empty = Head.Chat ? "\"delta\":{}," : "\"text\":\"\",";
  return chunk(Head, Empty + Finish, ",\"usage\":" + dump(usage(End))) +
         event("[DONE]");
}

HttpReply problemReply(const RequestId &Request, const Problem &Why) {
  HttpReply Reply;
  Reply.Status = info(Why.Number).HttpStatus;
  Reply.Headers = {{"Content-Type", "application/problem+json"},
                   {"X-Request-Id", toString(Request)}};
  if (Why.RetryAfter > Duration::zero())
    Reply.Headers.push_back(
        {"Retry-After", std::to_string(wholeSeconds(Why.RetryAfter))});
  Reply.Body = dump(problemBody(Request, Why));
  return Reply;
}

std::string chunkProblem(const RequestId &Request, const Problem &Why) {
  return event(dump(Json({{"error", problemBody(Request, Why)}})));
}

} // namespace pimento
