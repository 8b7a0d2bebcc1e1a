#include "shell/HttpServer.h"

#include "base/Problem.h"
#include "shell/Address.h"
#include "shell/EvhttpMessages.h"
#include "shell/SocketOptions.h"
#include "shell/SocketState.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <sys/socket.h>

#include <algorithm>
#include <unordered_map>

namespace pimento {

namespace {

constexpr Duration SweepInterval = milliseconds(100);
/// A request of which fewer bytes were read is not refused for the memory that
/// it takes.
constexpr std::size_t MinShedBytes = 64U << 10U;
/// evhttp's own timeouts would interrupt a long answer; this server enforces
/// its own timeouts instead.
constexpr Duration NoTimeout = hours(24 * 365);

Duration steadyNow() {
  return std::chrono::steady_clock::now().time_since_epoch();
}

} // namespace

struct HttpServer::Impl {
  struct Connection;

  struct Exchange {
    evhttp_request *Request = nullptr;
    Connection *Link = nullptr;
    bool Streaming = false;
    bool Ended = false; // The reply is complete; its bytes are being written.
    bool Breaking = false; // Close the connection once the output is written.
    std::size_t Pending = SIZE_MAX; // Unsent reply bytes, as last reported.
  };

  /// One accepted connection. Holds a reference to the bufferevent, because
  /// evhttp does not report when it releases a connection that never sent a
  /// request.
  struct Connection {
    Impl *Server = nullptr;
    bufferevent *Stream = nullptr;
    EventPtr ErrorPageEvent; // Replaces an error page written by evhttp.
    EventPtr CloseEvent;     // Detects that the caller closed before its reply.
    ExchangeId CurrentExchange{}; // Exchange in progress; zero: none.
    Duration ReadingSince = Duration::zero(); // Zero: no request is being read.
    Duration IdleSince = Duration::zero();
    std::size_t ReadBytes = 0;      // Bytes read of the current request.
    std::size_t Unacknowledged = 0; // Of a released connection's output.
    bool OptionsSet = false;        // The socket options are set.
    bool Replying = false; // Output comes from this server, not from evhttp.
    bool Closing = false;
    bool ClosesAfterReply = false; // As the reply announced.
    bool Released = false;         // By evhttp; its buffers are empty.
  };

  event_base *Base;
  HttpServerLimits Limits;
  HttpServerHooks Hooks;
  std::uint64_t &NextExchange;
  evhttp *Http = nullptr;
  evhttp_bound_socket *Listener = nullptr;
  std::unordered_map<bufferevent *, std::unique_ptr<Connection>> Connections;
  std::unordered_map<std::uint64_t, Exchange> Exchanges;
  std::size_t ReadingBytes = 0; // Sum of ReadBytes.
  std::size_t OutputBytes = 0;  // In the output buffers of all connections.
  std::unique_ptr<Timer> Sweep;

  Impl(event_base *TheBase, HttpServerLimits TheLimits,
       HttpServerHooks TheHooks, std::uint64_t &Next)
      : Base(TheBase), Limits(TheLimits), Hooks(std::move(TheHooks)),
        NextExchange(Next) {}

  // Callbacks of libevent.
  static bufferevent *accept(event_base *Base, void *Self);
  static void onRequest(evhttp_request *Request, void *Self);
  static void onClosed(evhttp_connection *Link, void *Self);
  static void onFlushed(evhttp_connection *Link, void *Self);
  static void onInput(evbuffer *, const evbuffer_cb_info *Info, void *Link);
  static void onOutput(evbuffer *, const evbuffer_cb_info *Info, void *Link);
  static void onCallerClosed(evutil_socket_t, short, void *Link);
  static void onReplied(evhttp_request *, void *Link);
  static void replaceErrorPage(evutil_socket_t, short, void *Link);

  void sweep();
  void shedReaders();
  static void countRead(Connection &Link, std::size_t Bytes);
  static void dropRead(Connection &Link);
  void reportProgress(Connection &Link, Exchange &E, Duration Now);
  static bool isReleased(Connection &Link);
  static void release(Connection &Link);
  static bool canClose(Connection &Link, Duration Now);
  static bool hasMoreRequests(const Connection &Link);
  bool expire(Connection &Link, Duration Now);
  void refuseConnection(Connection &Link, Code Number, const char *Detail);
  Exchange *find(ExchangeId Id);
  Exchange *findOpen(ExchangeId Id);
  void forget(ExchangeId Id);
  void closeConnection(ExchangeId Id);
  void reply(ExchangeId Id, const HttpReply &Reply);
  Connection *connectionOf(evhttp_connection *Link);
  static void finish(Exchange &E);
};

bufferevent *HttpServer::Impl::accept(event_base *Base, void *Self) {
  auto &Server = *static_cast<Impl *>(Self);
  // The socket stays open until the last reference to the bufferevent is
  // released: if evhttp closed it while the bufferevent exists, it would
  // disturb the next socket with the same descriptor.
  bufferevent *Stream = bufferevent_socket_new(Base, -1, BEV_OPT_CLOSE_ON_FREE);
  if (!Stream)
    return nullptr;
  bufferevent_incref(Stream);
  auto Link = std::make_unique<Connection>();
  Link->Server = &Server;
  Link->Stream = Stream;
  Link->IdleSince = steadyNow();
  Link->ErrorPageEvent.reset(
      event_new(Base, -1, 0, &Impl::replaceErrorPage, Link.get()));
  event_priority_set(Link->ErrorPageEvent.get(), HighPriority);
  evbuffer_add_cb(bufferevent_get_input(Stream), &Impl::onInput, Link.get());
  evbuffer_add_cb(bufferevent_get_output(Stream), &Impl::onOutput, Link.get());
  Server.Connections.emplace(Stream, std::move(Link));
  return Stream;
}

void HttpServer::Impl::onInput(evbuffer *, const evbuffer_cb_info *Info,
                               void *Self) {
  auto &Link = *static_cast<Connection *>(Self);
  bool Begins = Info->n_added > 0 && Link.CurrentExchange == ExchangeId{} &&
                Link.ReadingSince == Duration::zero();
  if (Begins)
    dropRead(Link);
  countRead(Link, Info->n_added);
  if (!Begins)
    return;
  Link.ReadingSince = steadyNow();
  Link.Replying = false;
}

void HttpServer::Impl::countRead(Connection &Link, std::size_t Bytes) {
  Link.ReadBytes += Bytes;
  Link.Server->ReadingBytes += Bytes;
}

void HttpServer::Impl::dropRead(Connection &Link) {
  Link.Server->ReadingBytes -= Link.ReadBytes;
  Link.ReadBytes = 0;
}

/// Called when a reply is fully written. Part of the next request may have
/// arrived already.
void HttpServer::Impl::onReplied(evhttp_request *, void *Self) {
  auto &Link = *static_cast<Connection *>(Self);
  Link.Replying = false;
  Link.IdleSince = steadyNow();
  Impl &Server = *Link.Server;
  ExchangeId Id = Link.CurrentExchange;
  Server.forget(Id);
  Server.Hooks.Drained(Id, 0);
  if (evbuffer_get_length(bufferevent_get_input(Link.Stream)) > 0)
    Link.ReadingSince = steadyNow();
}

void HttpServer::Impl::onOutput(evbuffer *, const evbuffer_cb_info *Info,
                                void *Self) {
  auto &Link = *static_cast<Connection *>(Self);
  Link.Server->OutputBytes += Info->n_added;
  Link.Server->OutputBytes -= Info->n_deleted;
  if (Info->n_added > 0 && !Link.Replying && !Link.Closing)
    event_active(Link.ErrorPageEvent.get(), 0, 0);
}

/// Replaces an error page of evhttp by a problem reply. The page has not been
/// sent yet: evhttp writes from the event loop, and this event has a higher
/// priority.
void HttpServer::Impl::replaceErrorPage(evutil_socket_t, short, void *Self) {
  auto &Link = *static_cast<Connection *>(Self);
  if (Link.Replying || Link.Closing)
    return;
  evbuffer *Output = bufferevent_get_output(Link.Stream);
  constexpr std::size_t StatusLineBytes = 12; // "HTTP/1.1 413"
  char Start[StatusLineBytes + 1] = {};
  if (evbuffer_copyout(Output, Start, StatusLineBytes) !=
      static_cast<ev_ssize_t>(StatusLineBytes))
    return;
  int Status = std::atoi(Start + StatusLineBytes - 3);
  constexpr int FirstErrorStatus = 400;
  if (Status < FirstErrorStatus)
    return;
  Code Number = codeFromStatus(Status);
  // evhttp reports headers above its size limit as malformed.
  if (Number == Code::BadRequest &&
      Link.ReadBytes > Link.Server->Limits.HeaderBytes)
    Number = Code::HeaderTooLarge;
  std::string Text = formatProblemReply(Number, "");
  Link.Closing = true;
  evbuffer_unfreeze(Output, 1);
  evbuffer_drain(Output, evbuffer_get_length(Output));
  evbuffer_add(Output, Text.data(), Text.size());
  evbuffer_freeze(Output, 1);
  Link.Server->Hooks.Refused(Number);
}

HttpServer::Impl::Connection *
HttpServer::Impl::connectionOf(evhttp_connection *Link) {
  auto Found = Connections.find(evhttp_connection_get_bufferevent(Link));
  return Found == Connections.end() ? nullptr : Found->second.get();
}

void HttpServer::Impl::onRequest(evhttp_request *Request, void *Self) {
  auto &Server = *static_cast<Impl *>(Self);
  evhttp_connection *Evcon = evhttp_request_get_connection(Request);
  Connection *Link = Server.connectionOf(Evcon);
  if (!Link)
    return;
  Link->ReadingSince = Duration::zero();
  dropRead(*Link);
  if (!Link->OptionsSet)
    setSocketOptions(bufferevent_getfd(Link->Stream), CallerSilence);
  Link->OptionsSet = true;
  ExchangeId Id{Server.NextExchange++};
  Link->CurrentExchange = Id;
  Link->Replying = true;
  Server.Exchanges[static_cast<std::uint64_t>(Id)] = {Request, Link};
  evhttp_connection_set_closecb(Evcon, &Impl::onClosed, &Server);
  Link->CloseEvent.reset(event_new(Server.Base, bufferevent_getfd(Link->Stream),
                                   EV_CLOSED, &Impl::onCallerClosed, Link));
  event_add(Link->CloseEvent.get(), nullptr);
  HttpRequest Read = convert(Request);
  if (hasBlankName(Read)) {
    Server.Hooks.Refused(Code::BadRequest);
    Server.reply(
        Id,
        problemReply(
            {Code::BadRequest, "a header's name ends with a blank", {}, {}}));
    return;
  }
  Server.Hooks.Request(Id, std::move(Read));
}

/// Called when the caller closes the connection. evhttp does not read while a
/// reply is pending and would not notice the close. A caller that closes only
/// its sending side counts as disconnected too: both look the same until bytes
/// are written to it, and servers must not work on for callers that have left
/// (docs/design/platform.md).
void HttpServer::Impl::onCallerClosed(evutil_socket_t, short, void *Self) {
  auto &Link = *static_cast<Connection *>(Self);
  Exchange *Open = Link.Server->find(Link.CurrentExchange);
  if (Open)
    evhttp_connection_free(evhttp_request_get_connection(Open->Request));
}

void HttpServer::Impl::onClosed(evhttp_connection *Evcon, void *Self) {
  auto &Server = *static_cast<Impl *>(Self);
  Connection *Link = Server.connectionOf(Evcon);
  if (!Link || Link->CurrentExchange == ExchangeId{})
    return;
  ExchangeId Id = Link->CurrentExchange;
  Server.forget(Id);
  Server.Hooks.Left(Id);
}

void HttpServer::Impl::onFlushed(evhttp_connection *Evcon, void *Self) {
  auto &Server = *static_cast<Impl *>(Self);
  Connection *Link = Server.connectionOf(Evcon);
  if (!Link || Link->CurrentExchange == ExchangeId{})
    return;
  ExchangeId Id = Link->CurrentExchange;
  std::size_t Pending =
      evbuffer_get_length(bufferevent_get_output(Link->Stream));
  Server.Hooks.Drained(Id, Pending);
  Exchange *Written = Server.find(Id);
  if (Pending == 0 && Written && Written->Breaking)
    Server.closeConnection(Id);
}

/// Sends a problem reply directly to the socket and shuts the socket down, so
/// that evhttp sees the end of the connection and releases it.
void HttpServer::Impl::refuseConnection(Connection &Link, Code Number,
                                        const char *Detail) {
  Link.Closing = true;
  evutil_socket_t Socket = bufferevent_getfd(Link.Stream);
  std::string Text = formatProblemReply(Number, Detail);
  if (::send(Socket, Text.data(), Text.size(), MSG_NOSIGNAL | MSG_DONTWAIT) < 0)
    Hooks.Refused(Code::CallerLeft);
  else
    Hooks.Refused(Number);
  ::shutdown(Socket, SHUT_RDWR);
}

/// Reports progress of a reply that is being written, because evhttp reports
/// only its end. A caller that reads slowly counts as neither idle nor
/// disconnected.
void HttpServer::Impl::reportProgress(Connection &Link, Exchange &E,
                                      Duration Now) {
  std::size_t Pending =
      evbuffer_get_length(bufferevent_get_output(Link.Stream));
  if (Pending >= E.Pending || Pending == 0)
    return;
  E.Pending = Pending;
  Link.IdleSince = Now;
  Hooks.Drained(Link.CurrentExchange, Pending);
}

/// Whether evhttp has released the connection. Its buffers are emptied then.
bool HttpServer::Impl::isReleased(Connection &Link) {
  // evhttp keeps this callback set while it uses the connection.
  bufferevent_event_cb Callback = nullptr;
  bufferevent_getcb(Link.Stream, nullptr, nullptr, &Callback, nullptr);
  if (Callback)
    return false;
  if (!Link.Released)
    release(Link);
  return true;
}

void HttpServer::Impl::release(Connection &Link) {
  Link.Released = true;
  Link.ReadingSince = Duration::zero();
  dropRead(Link);
  evbuffer *Input = bufferevent_get_input(Link.Stream);
  evbuffer *Output = bufferevent_get_output(Link.Stream);
  Link.Server->OutputBytes -= evbuffer_get_length(Output);
  evbuffer_remove_cb(Input, &Impl::onInput, &Link);
  evbuffer_remove_cb(Output, &Impl::onOutput, &Link);
  evbuffer_unfreeze(Output, 1);
  evbuffer_drain(Output, evbuffer_get_length(Output));
  evbuffer_drain(Input, evbuffer_get_length(Input));
}

/// Whether a connection that evhttp has released can be closed: this server did
/// not announce that, or the caller has the whole last reply, takes no more of
/// it, or sends no more itself. What the caller still sends is dropped, since
/// bytes that come to a closed socket reset the connection, and the rest of the
/// reply is lost.
bool HttpServer::Impl::canClose(Connection &Link, Duration Now) {
  if (!Link.ClosesAfterReply)
    return true;
  evutil_socket_t Socket = bufferevent_getfd(Link.Stream);
  if (!discardInput(Socket))
    return true;
  std::size_t Bytes = unacknowledgedBytes(Socket);
  if (Bytes != Link.Unacknowledged)
    Link.IdleSince = Now;
  Link.Unacknowledged = Bytes;
  return Bytes == 0 || Now - Link.IdleSince > CallerSilence;
}

/// Whether the caller sent more behind the request that is being answered.
bool HttpServer::Impl::hasMoreRequests(const Connection &Link) {
  return evbuffer_get_length(bufferevent_get_input(Link.Stream)) > 0 ||
         hasUnreadBytes(bufferevent_getfd(Link.Stream));
}

/// Enforces timeouts and the connection limit. Returns true once the connection
/// can be closed.
bool HttpServer::Impl::expire(Connection &Link, Duration Now) {
  if (isReleased(Link))
    return canClose(Link, Now);
  Exchange *Open = find(Link.CurrentExchange);
  // evhttp does not report when a head without a chunk behind it is written.
  if (Open && Open->Breaking &&
      evbuffer_get_length(bufferevent_get_output(Link.Stream)) == 0) {
    closeConnection(Link.CurrentExchange);
    return false;
  }
  if (Link.Closing || (Open && !Open->Ended))
    return false;
  if (Open)
    reportProgress(Link, *Open, Now);
  bool Reading = Link.ReadingSince != Duration::zero();
  if (Reading && Now - Link.ReadingSince > Limits.ReadTimeout)
    refuseConnection(Link, Code::RequestTimeout, "");
  else if (!Reading && Now - Link.IdleSince > Limits.IdleTimeout) {
    Link.Closing = true;
    ::shutdown(bufferevent_getfd(Link.Stream), SHUT_RDWR);
  } else if (!Open && Connections.size() > Limits.Connections)
    refuseConnection(Link, Code::Overloaded, "too many connections");
  return false;
}

/// Refuses the long requests that began last, as long as the process holds too
/// many bytes: those that began first are the next to be whole, and served.
void HttpServer::Impl::shedReaders() {
  std::size_t Other = Hooks.OtherHeldBytes ? Hooks.OtherHeldBytes() : 0;
  while (ReadingBytes + OutputBytes + Other > Limits.HeldBytes) {
    Connection *Last = nullptr;
    for (const auto &[Stream, Link] : Connections) {
      if (Link->Closing || Link->ReadingSince == Duration::zero() ||
          Link->ReadBytes < MinShedBytes)
        continue;
      if (Last == nullptr || Link->ReadingSince > Last->ReadingSince)
        Last = Link.get();
    }
    if (Last == nullptr)
      return;
    refuseConnection(*Last, Code::Overloaded,
                     "the host holds too many bytes of requests and answers");
    dropRead(*Last);
  }
}

void HttpServer::Impl::sweep() {
  Duration Now = steadyNow();
  for (auto It = Connections.begin(); It != Connections.end();) {
    if (!expire(*It->second, Now)) {
      ++It;
      continue;
    }
    bufferevent_decref(It->second->Stream);
    It = Connections.erase(It);
  }
  shedReaders();
  Sweep->start(SweepInterval);
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
  Exchanges.erase(static_cast<std::uint64_t>(Id));
  Link.CurrentExchange = ExchangeId{};
  Link.CloseEvent.reset();
}

void HttpServer::Impl::closeConnection(ExchangeId Id) {
  Exchange *Found = find(Id);
  evhttp_connection *Evcon = evhttp_request_get_connection(Found->Request);
  Found->Link->Closing = true;
  forget(Id);
  evhttp_connection_free(Evcon);
}

HttpServer::HttpServer(event_base *Base, HttpServerLimits Limits,
                       HttpServerHooks Hooks, std::uint64_t &NextExchange)
    : Data(std::make_unique<Impl>(Base, Limits, std::move(Hooks),
                                  NextExchange)) {
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
  Data->Sweep->start(SweepInterval);
}

HttpServer::~HttpServer() {
  Data->Hooks.Left = [](ExchangeId) {};
  Data->Sweep.reset();
  evhttp_free(Data->Http);
  for (auto &[Stream, Link] : Data->Connections)
    bufferevent_decref(Stream);
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
  Open->Link->ClosesAfterReply =
      addHeaders(Request, Reply.Headers, hasMoreRequests(*Open->Link));
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
  return Data->ReadingBytes + Data->OutputBytes;
}

} // namespace pimento
