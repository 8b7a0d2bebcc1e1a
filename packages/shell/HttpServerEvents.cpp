// Callbacks of libevent: connections that are accepted, requests that are read,
// and replies that are written.

#include "shell/HttpServerImpl.h"

#include "base/Problem.h"
#include "shell/EvhttpMessages.h"
#include "shell/SocketOptions.h"

#include <cstdlib>

namespace pimento {

namespace {

HttpReply uncertainReply() {
  HttpReply Reply =
      problemReply({Code::BadRequest,
                    "the end of the request's body is not certain",
                    {},
                    {}});
  Reply.Headers.push_back({"Connection", "close"});
  return Reply;
}

HttpReply overloadedReply() {
  constexpr Duration RetryAfter = seconds(1);
  return problemReply({Code::Overloaded,
                       "the host holds too many bytes of requests and answers",
                       {},
                       RetryAfter});
}

} // namespace

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
  setMaxInput(*Link, Server.maxInputBytes());
  Server.Accepted.push_back(Link.get());
  event_active(Server.AcceptedEvent.get(), 0, 0);
  Server.Connections.emplace(Stream, std::move(Link));
  return Stream;
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
  setMaxInput(Link, Server.maxInputBytes());
  if (evbuffer_get_length(bufferevent_get_input(Link.Stream)) > 0)
    beginReading(Link);
}

void HttpServer::Impl::onOutput(evbuffer *, const evbuffer_cb_info *Info,
                                void *Self) {
  auto &Link = *static_cast<Connection *>(Self);
  Link.Server->countOutput(Info->n_added, Info->n_deleted);
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
      Link.Scan.HeadBytes > Link.Server->Limits.HeaderBytes)
    Number = Code::HeaderTooLarge;
  std::string Text = formatProblemReply(Number, "");
  Link.Closing = true;
  Link.Server->noteEnd(Link, ConnectionEnd::Host);
  evbuffer_unfreeze(Output, 1);
  evbuffer_drain(Output, evbuffer_get_length(Output));
  evbuffer_add(Output, Text.data(), Text.size());
  evbuffer_freeze(Output, 1);
  Link.Server->Hooks.Refused(Number);
  // The rest of the request is dropped as it comes.
  charge(Link, 0);
  dropInput(Link);
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
  charge(*Link, 0);
  chargeHead(*Link, headCost(Link->Scan));
  setMaxInput(*Link, SentAheadBytes);
  if (!Link->OptionsSet)
    setSocketOptions(bufferevent_getfd(Link->Stream), CallerSilence);
  Link->OptionsSet = true;
  ExchangeId Id{Server.NextExchange++};
  Link->CurrentExchange = Id;
  Link->Replying = true;
  Server.Exchanges[static_cast<std::uint64_t>(Id)] = {Request, Link};
  evhttp_connection_set_closecb(Evcon, &Impl::onClosed, &Server);
  // An end that was reported before is one of this request as well.
  if (!Link->Watched)
    Server.watch(*Link);
  HttpRequest Read = convert(Request, Link->Scan.HeadFields);
  if (!agreesOnEnd(*Link, Read)) {
    Link->EndsHere = true;
    dropInput(*Link);
    Server.Hooks.Refused(Code::BadRequest);
    Server.reply(Id, uncertainReply());
    return;
  }
  if (!Server.Intake.admit(Read.Body.size())) {
    Server.Hooks.Refused(Code::Overloaded);
    Server.reply(Id, overloadedReply());
    return;
  }
  Server.Hooks.Request(Id, std::move(Read));
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

} // namespace pimento
