//===- HttpServer.h - HTTP server on evhttp ---------------------*- C++ -*-===//
//
//   HttpServer Server(Base, Limits, Hooks, NextExchange);
//   if (!Server.listen("127.0.0.1:7001")) ...
//
// Serves callers and operators. Each complete request is passed to
// Hooks.Request with a new exchange id (one request and its reply); the reply
// follows through reply() or startStream(). Requests that evhttp itself refuses
// (too large, malformed), those whose end is not certain (intake/RequestScan.h)
// and those that arrive too slowly get a problem reply
// (application/problem+json) as well.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Codes.h"
#include "base/ConnectionEnd.h"
#include "base/Http.h"
#include "shell/EventLoop.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace pimento {

struct HttpServerLimits {
  std::size_t BodyBytes = 1U << 20U;
  std::size_t HeaderBytes = 16U << 10U;
  std::size_t Connections = 1024;
  Duration ReadTimeout = seconds(30); // First byte to complete request.
  Duration IdleTimeout = minutes(2);  // For a connection between requests.
  /// Bytes of all requests and replies, for a server that shares no HttpIntake.
  /// While there are more, unfinished requests are refused.
  std::size_t HeldBytes = SIZE_MAX;
  /// Whether a header, named in lower case, may not stand in a trailer, besides
  /// those of the framing. Null: none.
  bool (*IsReservedField)(std::string_view Name) = nullptr;
};

struct HttpServerHooks {
  std::function<void(ExchangeId, HttpRequest)> Request;
  /// The connection ended before its reply was written. The id is invalid
  /// afterwards.
  std::function<void(ExchangeId, ConnectionEnd)> Left;
  /// A connection ended, with or without a request. Empty: not reported.
  std::function<void(ConnectionEnd, ConnectionUse)> Ended;
  /// Part of a reply was written to the socket; the argument is the number of
  /// bytes still pending. If it is 0 and the reply has ended, the id is invalid
  /// afterwards.
  std::function<void(ExchangeId, std::size_t)> Drained;
  /// A request was refused before it got an exchange id.
  std::function<void(Code)> Refused;
  /// For a server that shares no HttpIntake: bytes of requests and replies that
  /// the process holds besides those of heldBytes(). Empty: none.
  std::function<std::size_t()> OtherHeldBytes;
};

struct HttpIntake;

class HttpServer {
public:
  struct Impl; // Internal; see HttpServerImpl.h.

  /// \p NextExchange is the id of the next exchange. Servers that share this
  /// counter use distinct ids; it must outlive them. \p Intake is the account
  /// of the process's memory, and outlives the server; null: one of its own.
  HttpServer(event_base *Base, HttpServerLimits Limits, HttpServerHooks Hooks,
             std::uint64_t &NextExchange, HttpIntake *Intake = nullptr);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Listens on ip:port. Returns false if the address is invalid or cannot be
  /// bound.
  bool listen(const std::string &Address);
  /// Closes the listener. Open exchanges continue.
  void stopListening();

  /// Whether the exchange belongs to this server and its reply is not fully
  /// written.
  bool holds(ExchangeId Id) const;
  /// Each of the following functions does nothing for an exchange whose reply
  /// has ended, except abort(), which has an effect until the reply is written.
  void reply(ExchangeId Id, const HttpReply &Reply);
  void startStream(ExchangeId Id, int Status,
                   const std::vector<HttpHeader> &Headers);
  void sendChunk(ExchangeId Id, std::string_view Bytes);
  void endStream(ExchangeId Id);
  /// Writes the chunks sent so far, then closes the connection without the end
  /// of the stream. The caller sees a truncated answer and the reason in its
  /// last chunk.
  void breakStream(ExchangeId Id);
  /// Closes the connection immediately. Pending output is lost.
  void abort(ExchangeId Id);

  std::size_t connections() const;
  std::size_t exchanges() const;
  /// Whether a request is being read, or a caller has not acknowledged the
  /// whole of its reply yet.
  bool isBusy() const;
  /// Unsent bytes in the output buffers of all connections.
  std::size_t pendingBytes() const;
  /// Bytes of requests that are being read and of replies that are being
  /// written, at all servers that share the account.
  std::size_t heldBytes() const;

private:
  std::unique_ptr<Impl> Data;
};

} // namespace pimento
