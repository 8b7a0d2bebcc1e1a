//===- WebSocket.h - websocketpp over a bufferevent -------------*- C++ -*-===//
//
// One connection between two hosts. websocketpp does the framing and the
// protocol checks; libevent does the I/O. Frames are binary and hold one
// message each.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/ConnectionEnd.h"
#include "shell/EventLoop.h"

#include <event2/util.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace pimento {

struct WebSocketHooks {
  std::function<void()> Open;
  std::function<void(std::string_view)> Frame;
  /// The connection is closed. The WebSocket may be destroyed afterwards, but
  /// not within this hook.
  std::function<void(ConnectionEnd)> Closed;
};

class WebSocket {
public:
  /// Takes ownership of an accepted socket.
  static std::unique_ptr<WebSocket>
  accepted(event_base *Base, evutil_socket_t Socket, WebSocketHooks Hooks);
  /// Connects to ip:port. Returns null if the address is invalid or the
  /// connection attempt fails at once.
  static std::unique_ptr<WebSocket>
  dial(event_base *Base, const std::string &Address, WebSocketHooks Hooks);
  ~WebSocket();
  WebSocket(const WebSocket &) = delete;
  WebSocket &operator=(const WebSocket &) = delete;

  /// Sends one binary frame. Returns false if the connection is not open.
  bool send(std::string_view Bytes);
  /// Stops the connection immediately; no hook is called afterwards. The socket
  /// is closed by the destructor.
  void close();
  /// Number of bytes in the output buffer.
  std::size_t pendingBytes() const;

private:
  struct Impl;
  explicit WebSocket(std::unique_ptr<Impl> TheData);
  std::unique_ptr<Impl> Data;
};

} // namespace pimento
