//===- WebSocket.h - websocketpp over a bufferevent -------------*- C++ -*-===//
//
// One connection between two hosts. websocketpp frames and checks; libevent
// moves the bytes. Frames are binary and hold one message each.
//
//===----------------------------------------------------------------------===//
#pragma once

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
  /// The connection is dead; may be destroyed, but not within this hook.
  std::function<void()> Closed;
};

class WebSocket {
public:
  /// Takes over an accepted socket.
  static std::unique_ptr<WebSocket>
  accepted(event_base *Base, evutil_socket_t Socket, WebSocketHooks Hooks);
  /// Connects to ip:port. Null where the address is not one.
  static std::unique_ptr<WebSocket>
  dial(event_base *Base, const std::string &Address, WebSocketHooks Hooks);
  ~WebSocket();
  WebSocket(const WebSocket &) = delete;
  WebSocket &operator=(const WebSocket &) = delete;

  /// Sends one binary frame; false where the connection is not open.
  bool send(std::string_view Bytes);
  /// Closes at once; no hook is called afterwards.
  void close();
  /// Bytes that have not gone out yet.
  std::size_t pendingBytes() const;

private:
  struct Impl;
  explicit WebSocket(std::unique_ptr<Impl> TheData);
  std::unique_ptr<Impl> Data;
};

} // namespace pimento
