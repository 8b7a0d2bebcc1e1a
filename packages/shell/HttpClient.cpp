#include "shell/HttpClient.h"

#include "shell/Address.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <unordered_map>
#include <vector>

namespace pimento {

namespace {

/// The reducers bound every call in time; evhttp's own timeouts stay out.
constexpr Duration NoTimeout = hours(24 * 365);
constexpr std::size_t MaxAnswerHeaderBytes = 64U << 10U;

evhttp_cmd_type commandOf(HttpMethod M) {
  switch (M) {
  case HttpMethod::Post:
    return EVHTTP_REQ_POST;
  case HttpMethod::Put:
    return EVHTTP_REQ_PUT;
  case HttpMethod::Delete:
    return EVHTTP_REQ_DELETE;
  case HttpMethod::Patch:
    return EVHTTP_REQ_PATCH;
  default:
    return EVHTTP_REQ_GET;
  }
}

std::vector<HttpHeader> inputHeaders(evhttp_request *Request) {
  std::vector<HttpHeader> Headers;
  const evkeyvalq *List = evhttp_request_get_input_headers(Request);
  for (const evkeyval *Entry = List->tqh_first; Entry;
       Entry = Entry->next.tqe_next)
    Headers.push_back({Entry->key, Entry->value});
  return Headers;
}

const char *describe(evhttp_request_error Error) {
  switch (Error) {
  case EVREQ_HTTP_TIMEOUT:
    return "timeout";
  case EVREQ_HTTP_EOF:
    return "connection closed";
  case EVREQ_HTTP_INVALID_HEADER:
    return "invalid header";
  case EVREQ_HTTP_BUFFER_ERROR:
    return "buffer error";
  case EVREQ_HTTP_REQUEST_CANCEL:
    return "cancelled";
  case EVREQ_HTTP_DATA_TOO_LONG:
    return "answer too long";
  }
  return "broken";
}

} // namespace

struct HttpClient::Impl {
  struct Call {
    Impl *Client = nullptr;
    UpstreamId Id{};
    evhttp_connection *Link = nullptr;
    std::unique_ptr<Timer> ConnectTimer;
    bool Sent = false;
    bool Ended = false; // No hook is called any more.
    const char *Error = nullptr;
  };

  event_base *Base;
  HttpClientHooks Hooks;
  std::unordered_map<std::uint64_t, std::unique_ptr<Call>> Calls;
  std::vector<std::unique_ptr<Call>> Ended; // Freed outside callbacks.
  std::unique_ptr<Timer> Reaper;

  static void onSent(evbuffer *, const evbuffer_cb_info *Info, void *Self);
  static int onHead(evhttp_request *Request, void *Self);
  static void onData(evhttp_request *Request, void *Self);
  static void onError(evhttp_request_error Error, void *Self);
  static void onDone(evhttp_request *Request, void *Self);

  void start(Call &C, const UpstreamRequest &Request);
  void end(Call &C);
  void fail(Call &C, bool TimedOut, const char *Detail);
  Call *find(UpstreamId Id);
};

void HttpClient::Impl::onSent(evbuffer *, const evbuffer_cb_info *Info,
                              void *Self) {
  auto &C = *static_cast<Call *>(Self);
  if (Info->n_deleted == 0 || C.Sent || C.Ended)
    return;
  C.Sent = true;
  C.ConnectTimer->stop();
  C.Client->Hooks.Sent(C.Id);
}

int HttpClient::Impl::onHead(evhttp_request *Request, void *Self) {
  auto &C = *static_cast<Call *>(Self);
  if (!C.Ended)
    C.Client->Hooks.Head(C.Id, evhttp_request_get_response_code(Request),
                         inputHeaders(Request));
  return 0;
}

void HttpClient::Impl::onData(evhttp_request *Request, void *Self) {
  auto &C = *static_cast<Call *>(Self);
  evbuffer *Input = evhttp_request_get_input_buffer(Request);
  std::string Bytes(evbuffer_get_length(Input), '\0');
  evbuffer_remove(Input, Bytes.data(), Bytes.size());
  if (!C.Ended && !Bytes.empty())
    C.Client->Hooks.Data(C.Id, std::move(Bytes));
}

void HttpClient::Impl::onError(evhttp_request_error Error, void *Self) {
  static_cast<Call *>(Self)->Error = describe(Error);
}

void HttpClient::Impl::onDone(evhttp_request *Request, void *Self) {
  auto &C = *static_cast<Call *>(Self);
  if (C.Ended)
    return;
  bool Answered = Request && evhttp_request_get_response_code(Request) != 0;
  if (!Answered || C.Error) {
    C.Client->fail(C, false, C.Error ? C.Error : "no connection");
    return;
  }
  onData(Request, Self);
  const evkeyvalq *Headers = evhttp_request_get_input_headers(Request);
  bool Delimited = evhttp_find_header(Headers, "Content-Length") ||
                   evhttp_find_header(Headers, "Transfer-Encoding");
  UpstreamId Id = C.Id;
  Impl &Client = *C.Client;
  Client.end(C);
  Client.Hooks.End(Id, Delimited);
}

HttpClient::Impl::Call *HttpClient::Impl::find(UpstreamId Id) {
  auto Found = Calls.find(static_cast<std::uint64_t>(Id));
  return Found == Calls.end() ? nullptr : Found->second.get();
}

/// evhttp may still stand on the call's stack: it is freed a little later.
void HttpClient::Impl::end(Call &C) {
  C.Ended = true;
  auto Found = Calls.find(static_cast<std::uint64_t>(C.Id));
  Ended.push_back(std::move(Found->second));
  Calls.erase(Found);
  Reaper->start(Duration::zero());
}

void HttpClient::Impl::fail(Call &C, bool TimedOut, const char *Detail) {
  UpstreamFailure Why;
  Why.BytesSent = C.Sent;
  Why.TimedOut = TimedOut;
  Why.Detail = Detail;
  UpstreamId Id = C.Id;
  end(C);
  Hooks.Failed(Id, std::move(Why));
}

void HttpClient::Impl::start(Call &C, const UpstreamRequest &Request) {
  IpPort Target;
  if (!splitAddress(Request.Address, Target)) {
    fail(C, false, "the address is not ip:port");
    return;
  }
  C.Link =
      evhttp_connection_base_new(Base, nullptr, Target.Ip.c_str(), Target.Port);
  timeval Never = toTimeval(NoTimeout);
  evhttp_connection_set_timeout_tv(C.Link, &Never);
  evhttp_connection_set_max_headers_size(
      C.Link, static_cast<ev_ssize_t>(MaxAnswerHeaderBytes));
  bufferevent *Stream = evhttp_connection_get_bufferevent(C.Link);
  evbuffer_add_cb(bufferevent_get_output(Stream), &Impl::onSent, &C);
  evhttp_request *Call = evhttp_request_new(&Impl::onDone, &C);
  evhttp_request_set_header_cb(Call, &Impl::onHead);
  evhttp_request_set_chunked_cb(Call, &Impl::onData);
  evhttp_request_set_error_cb(Call, &Impl::onError);
  evkeyvalq *Output = evhttp_request_get_output_headers(Call);
  evhttp_add_header(Output, "Host", Request.Address.c_str());
  evhttp_add_header(Output, "Connection", "close");
  for (const HttpHeader &Header : Request.Headers)
    evhttp_add_header(Output, Header.Name.c_str(), Header.Value.c_str());
  evbuffer_add(evhttp_request_get_output_buffer(Call), Request.Body.data(),
               Request.Body.size());
  C.ConnectTimer->start(Request.ConnectTimeout);
  // A request that evhttp refuses at once is reported through onDone.
  if (evhttp_make_request(C.Link, Call, commandOf(Request.Method),
                          Request.Target.c_str()) != 0 &&
      !C.Ended)
    fail(C, false, "no connection");
}

HttpClient::HttpClient(event_base *Base, HttpClientHooks Hooks)
    : Data(std::make_unique<Impl>()) {
  Data->Base = Base;
  Data->Hooks = std::move(Hooks);
  Data->Reaper = std::make_unique<Timer>(Base, [this] {
    for (auto &Call : Data->Ended) {
      if (Call->Link)
        evhttp_connection_free(Call->Link);
    }
    Data->Ended.clear();
  });
}

HttpClient::~HttpClient() {
  for (auto &[Id, Call] : Data->Calls) {
    Call->Ended = true;
    if (Call->Link)
      evhttp_connection_free(Call->Link);
  }
  for (auto &Call : Data->Ended) {
    if (Call->Link)
      evhttp_connection_free(Call->Link);
  }
}

void HttpClient::open(UpstreamId Id, const UpstreamRequest &Request) {
  auto Owned = std::make_unique<Impl::Call>();
  Impl::Call &C = *Owned;
  C.Client = Data.get();
  C.Id = Id;
  C.ConnectTimer = std::make_unique<Timer>(Data->Base, [this, Id] {
    if (Impl::Call *Waiting = Data->find(Id))
      Data->fail(*Waiting, true, "connect timeout");
  });
  Data->Calls[static_cast<std::uint64_t>(Id)] = std::move(Owned);
  Data->start(C, Request);
}

void HttpClient::abort(UpstreamId Id) {
  if (Impl::Call *C = Data->find(Id))
    Data->end(*C);
}

void HttpClient::pause(UpstreamId Id) {
  if (Impl::Call *C = Data->find(Id))
    bufferevent_disable(evhttp_connection_get_bufferevent(C->Link), EV_READ);
}

void HttpClient::resume(UpstreamId Id) {
  if (Impl::Call *C = Data->find(Id))
    bufferevent_enable(evhttp_connection_get_bufferevent(C->Link), EV_READ);
}

std::size_t HttpClient::calls() const { return Data->Calls.size(); }

} // namespace pimento
