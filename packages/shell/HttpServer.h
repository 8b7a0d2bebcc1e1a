//===- HttpServer.h - evhttp towards callers and operators ------*- C++ -*-===//
//
//   HttpServer Server(Base, Limits, Hooks, NextExchange);
//   if (!Server.listen("127.0.0.1:7001")) ...
//
// Each whole request becomes Hooks.Request with a new exchange id; the reply
// comes later through reply() or startStream(). Whatever evhttp itself refuses
// (too large, malformed) and what arrives too slowly gets a problem reply too.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Codes.h"
#include "base/Http.h"
#include "shell/EventLoop.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace pimento {

struct HttpServerLimits {
  std::size_t BodyBytes = 1U << 20U;
  std::size_t HeaderBytes = 16U << 10U;
  std::size_t Connections = 1024;
  Duration ReadTimeout = seconds(30); // From first byte to whole request.
  Duration IdleTimeout = minutes(2);  // Of a connection between requests.
};

struct HttpServerHooks {
  std::function<void(ExchangeId, HttpRequest)> Request;
  /// The caller closed; the id is dead afterwards.
  std::function<void(ExchangeId)> Left;
  /// Bytes of a reply or a stream went out; so many still wait. After its end
  /// zero says that all were written; the id is dead afterwards.
  std::function<void(ExchangeId, std::size_t)> Drained;
  /// A request was refused before it became an exchange.
  std::function<void(Code)> Refused;
};

class HttpServer {
public:
  HttpServer(event_base *Base, HttpServerLimits Limits, HttpServerHooks Hooks,
             std::uint64_t &NextExchange);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Listens on ip:port. False where the system refuses.
  bool listen(const std::string &Address);
  /// Closes the listener; open exchanges go on.
  void stopListening();

  /// Whether this server holds the exchange: until all bytes were written.
  bool holds(ExchangeId Id) const;
  /// Each of these does nothing for an exchange that has ended.
  void reply(ExchangeId Id, const HttpReply &Reply);
  void startStream(ExchangeId Id, int Status,
                   const std::vector<HttpHeader> &Headers);
  void sendChunk(ExchangeId Id, std::string_view Bytes);
  void endStream(ExchangeId Id);
  /// Breaks the connection, so that the caller sees a cut answer; also while
  /// the last bytes of a reply go out.
  void abort(ExchangeId Id);

  std::size_t connections() const;
  std::size_t exchanges() const;
  /// Bytes that wait in all connections' output.
  std::size_t pendingBytes() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Data;
};

} // namespace pimento
