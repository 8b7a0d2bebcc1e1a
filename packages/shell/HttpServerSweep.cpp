// Timeouts and limits of connections, enforced at intervals: callers that send
// too slowly or stay idle, too many connections, too many bytes held.
// Connections that evhttp has released are closed here.

#include "shell/HttpServerImpl.h"

#include "shell/EvhttpMessages.h"
#include "shell/SocketOptions.h"
#include "shell/SocketState.h"

#include <sys/socket.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace pimento {

/// Sends a problem reply directly to the socket and shuts the socket down, so
/// that evhttp sees the end of the connection and releases it.
void HttpServer::Impl::refuseConnection(Connection &Link, Code Number,
                                        const char *Detail) {
  Link.Closing = true;
  noteEnd(Link, ConnectionEnd::Host);
  evutil_socket_t Socket = bufferevent_getfd(Link.Stream);
  std::string Text = formatProblemReply(Number, Detail);
  if (::send(Socket, Text.data(), Text.size(), MSG_NOSIGNAL | MSG_DONTWAIT) < 0)
    Hooks.Refused(Code::CallerLeft);
  else
    Hooks.Refused(Number);
  ::shutdown(Socket, SHUT_RDWR);
  charge(Link, 0);
  dropInput(Link);
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
  bool EndedByHost = Link.ClosesAfterReply || Link.Closing;
  Link.Server->noteEnd(Link, EndedByHost
                                 ? ConnectionEnd::Host
                                 : endOf(bufferevent_getfd(Link.Stream)));
  Link.Released = true;
  Link.ReadingSince = Duration::zero();
  charge(Link, 0);
  chargeHead(Link, 0);
  evbuffer *Input = bufferevent_get_input(Link.Stream);
  evbuffer *Output = bufferevent_get_output(Link.Stream);
  Link.Server->countOutput(0, evbuffer_get_length(Output));
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
    noteEnd(Link, ConnectionEnd::Host);
    ::shutdown(bufferevent_getfd(Link.Stream), SHUT_RDWR);
  } else if (!Open && Connections.size() > Limits.Connections)
    refuseConnection(Link, Code::Overloaded, "too many connections");
  return false;
}

/// Closes connections whose callers have taken nothing of a whole answer since
/// \p UnreadSince, those with the longest first, until \p Bytes are free.
/// Returns how many are.
std::size_t HttpServer::Impl::closeUnread(std::size_t Bytes,
                                          Duration UnreadSince) {
  std::vector<std::pair<std::size_t, std::uint64_t>> Unread;
  for (const auto &[Id, E] : Exchanges) {
    if (!E.Ended || E.Link->IdleSince > UnreadSince)
      continue;
    evbuffer *Output = bufferevent_get_output(E.Link->Stream);
    Unread.emplace_back(evbuffer_get_length(Output), Id);
  }
  std::sort(Unread.rbegin(), Unread.rend());
  std::size_t Freed = 0;
  for (const auto &[Size, Id] : Unread) {
    if (Freed >= Bytes)
      break;
    Freed += Size;
    Intake.Counters.Answers += 1;
    Exchange &E = Exchanges.at(Id);
    noteEnd(*E.Link, ConnectionEnd::Host);
    evhttp_connection_free(evhttp_request_get_connection(E.Request));
  }
  return Freed;
}

void HttpServer::Impl::sweep() {
  Duration Now = steadyNow();
  for (auto It = Connections.begin(); It != Connections.end();) {
    if (!expire(*It->second, Now)) {
      ++It;
      continue;
    }
    Watch.remove(bufferevent_getfd(It->second->Stream));
    bufferevent_decref(It->second->Stream);
    It = Connections.erase(It);
  }
  // One of the servers that share an account looks after it.
  if (Intake.Servers.front() == this)
    Intake.sweep();
  Sweep->start(SweepInterval);
}

} // namespace pimento
