#include "fakes/Http.h"

#include "fakes/SwitchReader.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <charconv>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <utility>

namespace pimento::fakes {

namespace {

constexpr std::size_t MaxHeaderBytes = 64U << 10U;
constexpr unsigned AllMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
                                EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH;

std::uint16_t boundPort(evhttp_bound_socket *Socket) {
  sockaddr_in Address{};
  socklen_t Size = sizeof(Address);
  auto *Raw = reinterpret_cast<sockaddr *>(&Address);
  if (getsockname(evhttp_bound_socket_get_fd(Socket), Raw, &Size) != 0)
    return 0;
  return ntohs(Address.sin_port);
}

} // namespace

bool parseEndpoint(std::string_view Text, Endpoint &E) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return false;
  Endpoint Parsed;
  Parsed.Ip = Text.substr(0, Colon);
  std::string_view Port = Text.substr(Colon + 1);
  const char *End = Port.data() + Port.size();
  auto [Stop, Error] = std::from_chars(Port.data(), End, Parsed.Port);
  in_addr Ignored{};
  if (Error != std::errc() || Stop != End ||
      inet_pton(AF_INET, Parsed.Ip.c_str(), &Ignored) != 1)
    return false;
  E = std::move(Parsed);
  return true;
}

Listener listenHttp(event_base *Base, const std::string &Address,
                    HttpHandler Handler, void *Arg) {
  Listener L;
  Endpoint E;
  if (!parseEndpoint(Address, E))
    return L;
  HttpPtr Http(evhttp_new(Base));
  evhttp_set_max_body_size(Http.get(), MaxBodyBytes);
  evhttp_set_max_headers_size(Http.get(), MaxHeaderBytes);
  evhttp_set_allowed_methods(Http.get(), AllMethods);
  evhttp_set_gencb(Http.get(), Handler, Arg);
  evhttp_bound_socket *Socket =
      evhttp_bind_socket_with_handle(Http.get(), E.Ip.c_str(), E.Port);
  if (!Socket)
    return L;
  L.Address = E.Ip + ":" + std::to_string(boundPort(Socket));
  L.Http = std::move(Http);
  return L;
}

std::string_view bodyOf(evhttp_request *Req) {
  evbuffer *Buffer = evhttp_request_get_input_buffer(Req);
  std::size_t Size = evbuffer_get_length(Buffer);
  const unsigned char *Data = evbuffer_pullup(Buffer, -1);
  return {reinterpret_cast<const char *>(Data), Data ? Size : 0};
}

std::string headerOf(evhttp_request *Req, const char *Name) {
  const char *Value =
      evhttp_find_header(evhttp_request_get_input_headers(Req), Name);
  return Value ? Value : "";
}

std::string pathOf(evhttp_request *Req) {
  const evhttp_uri *Uri = evhttp_request_get_evhttp_uri(Req);
  const char *Path = Uri ? evhttp_uri_get_path(Uri) : nullptr;
  return Path ? Path : "";
}

std::string queryOf(evhttp_request *Req, const char *Name) {
  const evhttp_uri *Uri = evhttp_request_get_evhttp_uri(Req);
  const char *Query = Uri ? evhttp_uri_get_query(Uri) : nullptr;
  if (!Query)
    return "";
  evkeyvalq Pairs{};
  if (evhttp_parse_query_str(Query, &Pairs) != 0)
    return "";
  const char *Found = evhttp_find_header(&Pairs, Name);
  std::string Value = Found ? Found : "";
  evhttp_clear_headers(&Pairs);
  return Value;
}

void replyJson(evhttp_request *Req, int Status, const Json &Body,
               const std::vector<Header> &Headers) {
  evkeyvalq *Out = evhttp_request_get_output_headers(Req);
  evhttp_add_header(Out, "Content-Type", "application/json");
  for (const Header &H : Headers)
    evhttp_add_header(Out, H.Name, H.Value.c_str());
  std::string Text = Body.dump();
  BufferPtr Buffer(evbuffer_new());
  evbuffer_add(Buffer.get(), Text.data(), Text.size());
  evhttp_send_reply(Req, Status, nullptr, Buffer.get());
}

void watchForClose(evhttp_request *Req,
                   void (*OnClose)(evhttp_connection *, void *), void *Arg) {
  evhttp_connection *Connection = evhttp_request_get_connection(Req);
  evhttp_connection_set_closecb(Connection, OnClose, Arg);
  bufferevent *Stream = evhttp_connection_get_bufferevent(Connection);
  bufferevent_data_cb OnRead = nullptr;
  bufferevent_data_cb OnWrite = nullptr;
  bufferevent_event_cb OnEvent = nullptr;
  void *Owner = nullptr;
  bufferevent_getcb(Stream, &OnRead, &OnWrite, &OnEvent, &Owner);
  bufferevent_setcb(Stream, nullptr, OnWrite, OnEvent, Owner);
  bufferevent_enable(Stream, EV_READ);
}

void cutConnection(evhttp_request *Req) {
  evhttp_connection *Connection = evhttp_request_get_connection(Req);
  if (!Connection) {
    evhttp_request_free(Req);
    return;
  }
  evhttp_connection_set_closecb(Connection, nullptr, nullptr);
  evhttp_connection_free(Connection);
}

HttpCaller::~HttpCaller() {
  for (Pending &Call : Calls) {
    if (Call.Connection)
      evhttp_connection_free(Call.Connection);
  }
}

void HttpCaller::finish(Pending &Call, const HttpReply &Reply) {
  auto OnReply = std::move(Call.OnReply);
  // libevent still uses the connection during this call; it is freed later.
  DelayedCalls.after(Duration::zero(), [this, Self = Call.Self] {
    if (Self->Connection)
      evhttp_connection_free(Self->Connection);
    Calls.erase(Self);
  });
  OnReply(Reply);
}

void HttpCaller::onDone(evhttp_request *Req, void *Arg) {
  auto &Call = *static_cast<Pending *>(Arg);
  HttpReply Reply;
  if (Req && evhttp_request_get_response_code(Req) != 0) {
    Reply.Status = evhttp_request_get_response_code(Req);
    Reply.Body = bodyOf(Req);
  }
  Call.Owner->finish(Call, Reply);
}

bool HttpCaller::start(Pending &Call, const HttpCall &What) {
  Endpoint E;
  if (!parseEndpoint(What.Address, E))
    return false;
  Call.Connection = evhttp_connection_base_new(Call.Owner->Base, nullptr,
                                               E.Ip.c_str(), E.Port);
  if (!Call.Connection)
    return false;
  timeval Timeout = toTimeval(What.Timeout);
  evhttp_connection_set_timeout_tv(Call.Connection, &Timeout);
  evhttp_request *Req = evhttp_request_new(onDone, &Call);
  evkeyvalq *Headers = evhttp_request_get_output_headers(Req);
  evhttp_add_header(Headers, "Host", What.Address.c_str());
  evhttp_add_header(Headers, "Connection", "close");
  for (const Header &H : What.Headers)
    evhttp_add_header(Headers, H.Name, H.Value.c_str());
  evbuffer_add(evhttp_request_get_output_buffer(Req), What.Body.data(),
               What.Body.size());
  return evhttp_make_request(Call.Connection, Req, What.Method,
                             What.Path.c_str()) == 0;
}

void HttpCaller::call(const HttpCall &What,
                      std::function<void(const HttpReply &)> OnReply) {
  Pending &Call = Calls.emplace_back();
  Call.Owner = this;
  Call.OnReply = std::move(OnReply);
  Call.Self = std::prev(Calls.end());
  if (!start(Call, What))
    DelayedCalls.after(Duration::zero(),
                       [this, &Call] { finish(Call, HttpReply()); });
}

bool readCount(const Json &Object, const char *Key, std::uint64_t &Value) {
  auto It = Object.find(Key);
  return It != Object.end() && readCount(*It, Value);
}

bool readText(const Json &Object, const char *Key, std::string &Value) {
  auto It = Object.find(Key);
  if (It == Object.end() || !It->is_string())
    return false;
  Value = It->get<std::string>();
  return true;
}

bool publishReady(const std::string &File, const Json &Line) {
  std::string Text = Line.dump() + "\n";
  std::fputs(Text.c_str(), stdout);
  std::fflush(stdout);
  if (File.empty())
    return true;
  std::string Partial = File + ".partial";
  std::ofstream Out(Partial);
  Out << Text;
  Out.close();
  return Out && std::rename(Partial.c_str(), File.c_str()) == 0;
}

} // namespace pimento::fakes
