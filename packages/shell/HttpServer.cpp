// Set-up of the server, replies, and the exchanges in progress.

#include "shell/HttpServer.h"

#include "shell/Address.h"
#include "shell/EvhttpMessages.h"
#include "shell/HttpServerImpl.h"
#include "shell/SocketState.h"

#include <event2/keyvalq_struct.h>

#include <algorithm>

namespace pimento {

namespace {

/// evhttp's own timeouts would interrupt a long answer; this server enforces
/// its own timeouts instead.
constexpr Duration NoTimeout = hours(24 * 365);

} // namespace

/// Whether the caller sent more behind the request that is being answered.
bool HttpServer::Impl::hasMoreRequests(const Connection &Link) {
  return evbuffer_get_length(bufferevent_get_input(Link.Stream)) > 0 ||
         hasUnreadBytes(bufferevent_getfd(Link.Stream));
}

HttpServer::Impl::Exchange *HttpServer::Impl::find(ExchangeId Id) {
  auto Found = Exchanges.find(static_cast<std::uint64_t>(Id));
  return Found == Exchanges.end() ? nullptr : &Found->second;
}

/// Returns the exchange, or null if it is unknown or its reply has ended.
HttpServer::Impl::Exchange *HttpServer::Impl::findOpen(ExchangeId Id) {
  Exchange *Found = find(Id);
  return Found && !Found->Ended ? Found : nullptr;
}

/// Marks the reply as complete; its output may still be pending.
void HttpServer::Impl::finish(Exchange &E) {
  E.Ended = true;
  E.Link->IdleSince = steadyNow();
  evhttp_request_set_on_complete_cb(E.Request, &Impl::onReplied, E.Link);
}

void HttpServer::Impl::forget(ExchangeId Id) {
  Connection &Link = *find(Id)->Link;
  chargeHead(Link, 0);
  Exchanges.erase(static_cast<std::uint64_t>(Id));
  Link.CurrentExchange = ExchangeId{};
}

void HttpServer::Impl::closeConnection(ExchangeId Id) {
  Exchange *Found = find(Id);
  evhttp_connection *Evcon = evhttp_request_get_connection(Found->Request);
  Found->Link->Closing = true;
  noteEnd(*Found->Link, ConnectionEnd::Host);
  forget(Id);
  evhttp_connection_free(Evcon);
}

HttpServer::HttpServer(event_base *Base, HttpServerLimits Limits,
                       HttpServerHooks Hooks, std::uint64_t &NextExchange,
                       HttpIntake *Intake)
    : Data(std::make_unique<Impl>(Base, Limits, std::move(Hooks), NextExchange,
                                  Intake)) {
  Data->Intake.Servers.push_back(Data.get());
  Data->Http = evhttp_new(Base);
  evhttp_set_max_body_size(Data->Http,
                           static_cast<ev_ssize_t>(Limits.BodyBytes));
  evhttp_set_max_headers_size(Data->Http,
                              static_cast<ev_ssize_t>(Limits.HeaderBytes));
  evhttp_set_allowed_methods(Data->Http,
                             EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                 EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH);
  timeval Never = toTimeval(NoTimeout);
  evhttp_set_timeout_tv(Data->Http, &Never);
  // Replies carry only the headers passed to reply() or startStream().
  evhttp_set_default_content_type(Data->Http, nullptr);
  evhttp_set_bevcb(Data->Http, &Impl::accept, Data.get());
  evhttp_set_gencb(Data->Http, &Impl::onRequest, Data.get());
  Data->Sweep = std::make_unique<Timer>(Base, [this] { Data->sweep(); });
  Data->Sweep->start(Impl::SweepInterval);
}

HttpServer::~HttpServer() {
  Data->Hooks.Left = [](ExchangeId, ConnectionEnd) {};
  Data->Hooks.Ended = nullptr;
  Data->Sweep.reset();
  auto &Servers = Data->Intake.Servers;
  Servers.erase(std::remove(Servers.begin(), Servers.end(), Data.get()),
                Servers.end());
  evhttp_free(Data->Http);
  for (auto &[Stream, Link] : Data->Connections) {
    Impl::charge(*Link, 0);
    Impl::chargeHead(*Link, 0);
    bufferevent_decref(Stream);
  }
}

bool HttpServer::listen(const std::string &Address) {
  IpPort Target;
  if (!splitAddress(Address, Target))
    return false;
  Data->Listener = evhttp_bind_socket_with_handle(Data->Http, Target.Ip.c_str(),
                                                  Target.Port);
  return Data->Listener != nullptr;
}

void HttpServer::stopListening() {
  if (Data->Listener)
    evhttp_del_accept_socket(Data->Http, Data->Listener);
  Data->Listener = nullptr;
}

bool HttpServer::holds(ExchangeId Id) const { return Data->find(Id); }

namespace {

/// Adds the headers of a reply; returns whether they close the connection. It
/// stays open, whatever they say, if \p HasMore requests follow on it: the
/// reply to the last one closes it.
bool addHeaders(evhttp_request *Request, const std::vector<HttpHeader> &Headers,
                bool HasMore) {
  evkeyvalq *Output = evhttp_request_get_output_headers(Request);
  bool Closes = false;
  for (const HttpHeader &Header : Headers) {
    bool IsClose = sameHeaderName(Header.Name, "Connection");
    if (IsClose && HasMore)
      continue;
    Closes = Closes || IsClose;
    evhttp_add_header(Output, Header.Name.c_str(), Header.Value.c_str());
  }
  return Closes;
}

struct BufferDeleter {
  void operator()(evbuffer *Buffer) const { evbuffer_free(Buffer); }
};
using BufferPtr = std::unique_ptr<evbuffer, BufferDeleter>;

BufferPtr bufferOf(std::string_view Bytes) {
  BufferPtr Buffer(evbuffer_new());
  evbuffer_add(Buffer.get(), Bytes.data(), Bytes.size());
  return Buffer;
}

} // namespace

void HttpServer::Impl::reply(ExchangeId Id, const HttpReply &Reply) {
  Exchange *Open = findOpen(Id);
  if (!Open || Open->Streaming)
    return;
  evhttp_request *Request = Open->Request;
  finish(*Open);
  Connection &Link = *Open->Link;
  Link.ClosesAfterReply = addHeaders(Request, Reply.Headers,
                                     !Link.EndsHere && hasMoreRequests(Link));
  evhttp_send_reply(Request, Reply.Status, nullptr, bufferOf(Reply.Body).get());
}

void HttpServer::reply(ExchangeId Id, const HttpReply &Reply) {
  Data->reply(Id, Reply);
}

void HttpServer::startStream(ExchangeId Id, int Status,
                             const std::vector<HttpHeader> &Headers) {
  Impl::Exchange *Exchange = Data->findOpen(Id);
  if (!Exchange || Exchange->Streaming)
    return;
  Exchange->Streaming = true;
  Exchange->Link->ClosesAfterReply = addHeaders(
      Exchange->Request, Headers, Impl::hasMoreRequests(*Exchange->Link));
  evhttp_send_reply_start(Exchange->Request, Status, nullptr);
}

void HttpServer::sendChunk(ExchangeId Id, std::string_view Bytes) {
  Impl::Exchange *Exchange = Data->findOpen(Id);
  if (!Exchange || !Exchange->Streaming || Bytes.empty())
    return;
  evhttp_send_reply_chunk_with_cb(Exchange->Request, bufferOf(Bytes).get(),
                                  &Impl::onFlushed, Data.get());
}

void HttpServer::endStream(ExchangeId Id) {
  Impl::Exchange *Exchange = Data->findOpen(Id);
  if (!Exchange || !Exchange->Streaming)
    return;
  evhttp_request *Request = Exchange->Request;
  Impl::finish(*Exchange);
  evhttp_send_reply_end(Request);
}

void HttpServer::breakStream(ExchangeId Id) {
  Impl::Exchange *Exchange = Data->findOpen(Id);
  if (!Exchange)
    return;
  Exchange->Ended = true;
  Exchange->Breaking = true;
  Exchange->Link->IdleSince = steadyNow();
  bufferevent *Stream = Exchange->Link->Stream;
  if (evbuffer_get_length(bufferevent_get_output(Stream)) == 0)
    Data->closeConnection(Id);
}

void HttpServer::abort(ExchangeId Id) {
  if (Data->find(Id))
    Data->closeConnection(Id);
}

std::size_t HttpServer::connections() const { return Data->Connections.size(); }

std::size_t HttpServer::exchanges() const { return Data->Exchanges.size(); }

std::size_t HttpServer::pendingBytes() const { return Data->OutputBytes; }

bool HttpServer::isBusy() const {
  auto IsBusy = [](const auto &Entry) {
    const Impl::Connection &Link = *Entry.second;
    return Link.ReadingSince != Duration::zero() ||
           unacknowledgedBytes(bufferevent_getfd(Link.Stream)) > 0;
  };
  return Data->OutputBytes > 0 || std::any_of(Data->Connections.begin(),
                                              Data->Connections.end(), IsBusy);
}

std::size_t HttpServer::heldBytes() const {
  return connectionBytes(Data->Intake.Account);
}

} // namespace pimento
