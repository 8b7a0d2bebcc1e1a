//===- HttpServerImpl.h - State of the HTTP server --------------*- C++ -*-===//
//
// Not for users of HttpServer. By source file:
//   HttpServer.cpp        set-up, replies and exchanges in progress
//   HttpServerEvents.cpp  callbacks of libevent: connections that are accepted,
//                         requests that are read, replies that are written
//   HttpServerEnds.cpp    connections that end
//   HttpServerIntake.cpp  bytes that arrive, and what they are charged
//   HttpServerSweep.cpp   timeouts and limits of connections
//
//===----------------------------------------------------------------------===//
#pragma once

#include "intake/RequestScan.h"
#include "shell/HangupWatch.h"
#include "shell/HttpIntake.h"
#include "shell/HttpServer.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

#include <optional>
#include <unordered_map>
#include <vector>

namespace pimento {

inline Duration steadyNow() {
  return std::chrono::steady_clock::now().time_since_epoch();
}

struct HttpServer::Impl {
  static constexpr Duration SweepInterval = milliseconds(100);
  /// Bytes that are read of the requests behind one in progress.
  static constexpr std::size_t SentAheadBytes = 4U << 10U;

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
    EventPtr ErrorPageEvent;      // Replaces an error page written by evhttp.
    ExchangeId CurrentExchange{}; // Exchange in progress; zero: none.
    Duration ReadingSince = Duration::zero(); // Zero: no request is being read.
    Duration IdleSince = Duration::zero();
    Duration LastInput = Duration::zero(); // Time of the latest bytes.
    RequestScan Scan;                      // The request that is being read.
    std::size_t Charged = 0;               // To the account, for it.
    std::size_t HeadCharged = 0;    // For the head of the request in progress.
    std::size_t Unacknowledged = 0; // Of a released connection's output.
    std::optional<ConnectionEnd> End; // None: it has not ended.
    bool Watched = false;             // Its end will be reported.
    bool OptionsSet = false;          // The socket options are set.
    bool Replying = false; // Output comes from this server, not from evhttp.
    bool Closing = false;
    bool ClosesAfterReply = false; // As the reply announced.
    bool EndsHere = false; // Nothing behind the request in progress is read.
    bool Released = false; // By evhttp; its buffers are empty.

    /// Whether a request is being read that can still be refused.
    bool isUnfinished() const {
      return !Closing && ReadingSince != Duration::zero();
    }
  };

  event_base *Base;
  HttpServerLimits Limits;
  HttpServerHooks Hooks;
  std::uint64_t &NextExchange;
  evhttp *Http = nullptr;
  evhttp_bound_socket *Listener = nullptr;
  std::unordered_map<bufferevent *, std::unique_ptr<Connection>> Connections;
  std::unordered_map<std::uint64_t, Exchange> Exchanges;
  std::size_t OutputBytes = 0; // In the output buffers of all connections.
  std::unique_ptr<HttpIntake> OwnIntake; // Null: shared with other servers.
  HttpIntake &Intake;
  std::unique_ptr<Timer> Sweep;
  HangupWatch Watch;
  std::vector<Connection *> Accepted; // In this turn; not watched yet.
  EventPtr AcceptedEvent;

  Impl(event_base *TheBase, HttpServerLimits TheLimits,
       HttpServerHooks TheHooks, std::uint64_t &Next, HttpIntake *Shared)
      : Base(TheBase), Limits(TheLimits), Hooks(std::move(TheHooks)),
        NextExchange(Next),
        OwnIntake(Shared ? nullptr
                         : std::make_unique<HttpIntake>(Limits.HeldBytes,
                                                        Hooks.OtherHeldBytes)),
        Intake(Shared ? *Shared : *OwnIntake), Watch(Base, &Impl::onHangup),
        AcceptedEvent(event_new(Base, -1, 0, &Impl::watchAccepted, this)) {
    event_priority_set(AcceptedEvent.get(), HighPriority);
  }

  // HttpServerEvents.cpp

  static bufferevent *accept(event_base *Base, void *Self);
  static void onRequest(evhttp_request *Request, void *Self);
  static void onFlushed(evhttp_connection *Link, void *Self);
  static void onInput(evbuffer *, const evbuffer_cb_info *Info, void *Link);
  static void onOutput(evbuffer *, const evbuffer_cb_info *Info, void *Link);
  static void onReplied(evhttp_request *, void *Link);
  static void replaceErrorPage(evutil_socket_t, short, void *Link);

  Connection *connectionOf(evhttp_connection *Link);
  std::size_t maxInputBytes() const;
  static void beginReading(Connection &Link);
  static bool agreesOnEnd(const Connection &Link, const HttpRequest &Read);
  static void scanInput(Connection &Link, std::size_t Offset);
  static void charge(Connection &Link, std::size_t Bytes);
  static void chargeHead(Connection &Link, std::size_t Bytes);
  static void setMaxInput(Connection &Link, std::size_t Bytes);
  static void dropInput(Connection &Link);
  static void endReading(Connection &Link);
  void countOutput(std::size_t Added, std::size_t Deleted);

  // HttpServerEnds.cpp

  static void watchAccepted(evutil_socket_t, short, void *Self);
  static void onHangup(void *Link);
  static void onClosed(evhttp_connection *Link, void *Self);
  void watch(Connection &Link);
  ConnectionUse useOf(const Connection &Link);
  void noteEnd(Connection &Link, ConnectionEnd End);

  // HttpServerSweep.cpp

  /// Enforces the timeouts and limits of all connections. Starts the timer of
  /// its next call.
  void sweep();
  bool expire(Connection &Link, Duration Now);
  void refuseConnection(Connection &Link, Code Number, const char *Detail);
  std::size_t closeUnread(std::size_t Bytes, Duration UnreadSince);
  void reportProgress(Connection &Link, Exchange &E, Duration Now);
  static bool isReleased(Connection &Link);
  static void release(Connection &Link);
  static bool canClose(Connection &Link, Duration Now);

  // HttpServer.cpp

  void reply(ExchangeId Id, const HttpReply &Reply);
  Exchange *find(ExchangeId Id);
  Exchange *findOpen(ExchangeId Id);
  void forget(ExchangeId Id);
  void closeConnection(ExchangeId Id);
  static bool hasMoreRequests(const Connection &Link);
  static void finish(Exchange &E);
};

} // namespace pimento
