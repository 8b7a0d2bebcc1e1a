// Connections that end: each one is watched from its first turn on, since
// evhttp does not read, and notices nothing, while a reply is pending.

#include "shell/HttpServerImpl.h"

#include "shell/SocketState.h"

namespace pimento {

/// Watches the connections that were accepted in this turn; their sockets were
/// not known yet when accept() was called.
void HttpServer::Impl::watchAccepted(evutil_socket_t, short, void *Self) {
  auto &Server = *static_cast<Impl *>(Self);
  for (Connection *Link : Server.Accepted)
    Server.watch(*Link);
  Server.Accepted.clear();
}

void HttpServer::Impl::watch(Connection &Link) {
  Link.Watched = Watch.add(bufferevent_getfd(Link.Stream), &Link);
}

ConnectionUse HttpServer::Impl::useOf(const Connection &Link) {
  if (const Exchange *Open = find(Link.CurrentExchange))
    return Open->Streaming || Open->Ended ? ConnectionUse::Answering
                                          : ConnectionUse::Waiting;
  if (Link.ReadingSince == Duration::zero())
    return ConnectionUse::Idle;
  return Link.Scan.Part == RequestPart::Head ? ConnectionUse::Head
                                             : ConnectionUse::Body;
}

/// Notes and counts how the connection ended; its first end counts.
void HttpServer::Impl::noteEnd(Connection &Link, ConnectionEnd End) {
  if (Link.End)
    return;
  Link.End = End;
  if (Hooks.Ended)
    Hooks.Ended(End, useOf(Link));
}

/// Called when the caller has closed or reset the connection, or was silent for
/// too long. A caller that closes only its sending side counts as disconnected
/// too, while its request is in progress: both look the same until bytes are
/// written to it, and servers must not work on for callers that have left
/// (docs/design/platform.md). It may still read an answer that has ended. Where
/// no request is in progress, evhttp reads and sees the end itself.
void HttpServer::Impl::onHangup(void *Owner) {
  auto &Link = *static_cast<Connection *>(Owner);
  Impl &Server = *Link.Server;
  Link.Watched = false;
  ConnectionEnd End = endOf(bufferevent_getfd(Link.Stream));
  Exchange *Open = Server.find(Link.CurrentExchange);
  if (Open && Open->Ended && End == ConnectionEnd::Close)
    return;
  Server.noteEnd(Link, End);
  if (Open)
    evhttp_connection_free(evhttp_request_get_connection(Open->Request));
}

/// Called by evhttp before it releases a connection that has had a request.
void HttpServer::Impl::onClosed(evhttp_connection *Evcon, void *Self) {
  auto &Server = *static_cast<Impl *>(Self);
  Connection *Link = Server.connectionOf(Evcon);
  if (!Link)
    return;
  Server.noteEnd(*Link, endOf(bufferevent_getfd(Link->Stream)));
  ExchangeId Id = Link->CurrentExchange;
  if (Id == ExchangeId{})
    return;
  Server.forget(Id);
  Server.Hooks.Left(Id, *Link->End);
}

} // namespace pimento
