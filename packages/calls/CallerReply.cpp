#include "calls/CallerApi.h"

#include "base/Json.h"

namespace pimento::calls {

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

/// Builds an event of a streamed answer with one choice.
std::string chunk(const CompletionHead &Head, const std::string &Choice,
                  const std::string &Rest) {
  return event("{\"id\":\"" + answerName(Head) + "\",\"object\":\"" +
               (Head.Chat ? "chat.completion.chunk" : "text_completion") +
               "\",\"model\":" + dump(Json(Head.Model.Value)) +
               ",\"choices\":[{\"index\":0," + Choice + "}]" + Rest + "}");
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

std::string chunkProblem(const Problem &Why) {
  // The error object is the same as the body of a problem reply.
  HttpReply Reply = problemReply(Why);
  while (!Reply.Body.empty() && Reply.Body.back() == '\n')
    Reply.Body.pop_back();
  return event("{\"error\":" + Reply.Body + "}");
}

} // namespace pimento::calls
