#include "shell/EvhttpMessages.h"

#include "base/Problem.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <cstdlib>

namespace pimento {

namespace {

/// Retry-After of requests that are refused for lack of room.
constexpr const char *OverloadedRetryAfter = "Retry-After: 1\r\n";

HttpMethod methodOf(evhttp_cmd_type Type) {
  switch (Type) {
  case EVHTTP_REQ_GET:
    return HttpMethod::Get;
  case EVHTTP_REQ_POST:
    return HttpMethod::Post;
  case EVHTTP_REQ_PUT:
    return HttpMethod::Put;
  case EVHTTP_REQ_DELETE:
    return HttpMethod::Delete;
  case EVHTTP_REQ_PATCH:
    return HttpMethod::Patch;
  default:
    return HttpMethod::Other;
  }
}

std::string drainBuffer(evbuffer *Buffer) {
  std::string Bytes(evbuffer_get_length(Buffer), '\0');
  evbuffer_remove(Buffer, Bytes.data(), Bytes.size());
  return Bytes;
}

} // namespace

HttpRequest convert(evhttp_request *Request, std::size_t HeadFields) {
  HttpRequest Result;
  Result.Method = methodOf(evhttp_request_get_command(Request));
  const evhttp_uri *Uri = evhttp_request_get_evhttp_uri(Request);
  if (const char *Path = Uri ? evhttp_uri_get_path(Uri) : nullptr) {
    std::size_t Size = 0;
    char *Decoded = evhttp_uridecode(Path, 0, &Size);
    if (Decoded)
      Result.Path.assign(Decoded, Size);
    std::free(Decoded);
  }
  if (const char *Query = Uri ? evhttp_uri_get_query(Uri) : nullptr)
    Result.Query = Query;
  if (const char *Target = evhttp_request_get_uri(Request))
    Result.Target = Target;
  const evkeyvalq *Headers = evhttp_request_get_input_headers(Request);
  for (const evkeyval *Entry = Headers->tqh_first;
       Entry && Result.Headers.size() < HeadFields;
       Entry = Entry->next.tqe_next)
    Result.Headers.push_back({Entry->key, Entry->value});
  Result.Body = drainBuffer(evhttp_request_get_input_buffer(Request));
  return Result;
}

Code codeFromStatus(int Status) {
  switch (Status) {
  case 413:
    return Code::BodyTooLarge;
  case 404:
    return Code::NotFound;
  case 405:
  case 501:
    return Code::MethodNotAllowed;
  default:
    return Code::BadRequest;
  }
}

std::string formatProblemReply(Code Number, std::string Detail) {
  Problem P;
  P.Number = Number;
  P.Detail = std::move(Detail);
  HttpReply Reply = problemReply(P);
  std::string Text = "HTTP/1.1 " + std::to_string(Reply.Status) + " " +
                     toString(Number) + "\r\nConnection: close\r\n" +
                     "Content-Length: " + std::to_string(Reply.Body.size()) +
                     "\r\n";
  if (Number == Code::Overloaded)
    Text += OverloadedRetryAfter;
  for (const HttpHeader &Header : Reply.Headers)
    Text += Header.Name + ": " + Header.Value + "\r\n";
  return Text + "\r\n" + Reply.Body;
}

} // namespace pimento
