//===- RawServer.h - A server that sends what a test writes -----*- C++ -*-===//
#pragma once

#include "shell/tests/Socket.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <arpa/inet.h>

#include <list>
#include <string>

namespace pimento::test {

/// Server that sends exactly the bytes that the test writes.
class RawServer {
public:
  struct Connection {
    bufferevent *Stream = nullptr;
    std::string Received;
    bool Closed = false;
    std::string From; // IP address of the other side.
    ~Connection() {
      if (Stream)
        bufferevent_free(Stream);
    }
    void write(const std::string &Bytes) const {
      bufferevent_write(Stream, Bytes.data(), Bytes.size());
    }
    /// Ends the connection from this side.
    void end(ConnectionEnd How) {
      if (How == ConnectionEnd::Silence) {
        dropArrivals(bufferevent_getfd(Stream));
        return;
      }
      if (How == ConnectionEnd::Reset)
        resetOnClose(bufferevent_getfd(Stream));
      bufferevent_free(Stream);
      Stream = nullptr;
    }
  };

  std::string Address = freeAddress();
  std::list<Connection> Connections;

  explicit RawServer(event_base *TheBase) : Base(TheBase) {
    sockaddr_storage Target{};
    int Size = sizeof(Target);
    evutil_parse_sockaddr_port(Address.c_str(),
                               reinterpret_cast<sockaddr *>(&Target), &Size);
    Listener =
        evconnlistener_new_bind(Base, &RawServer::onAccept, this,
                                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16,
                                reinterpret_cast<sockaddr *>(&Target), Size);
  }
  ~RawServer() { evconnlistener_free(Listener); }
  RawServer(const RawServer &) = delete;
  RawServer &operator=(const RawServer &) = delete;

private:
  static void onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *From,
                       int, void *Self) {
    auto &Server = *static_cast<RawServer *>(Self);
    Connection &C = Server.Connections.emplace_back();
    char Text[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, &reinterpret_cast<sockaddr_in *>(From)->sin_addr, Text,
              sizeof(Text));
    C.From = Text;
    C.Stream =
        bufferevent_socket_new(Server.Base, Socket, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(C.Stream, &RawServer::onRead, nullptr,
                      &RawServer::onEvent, &C);
    bufferevent_enable(C.Stream, EV_READ | EV_WRITE);
  }
  static void onRead(bufferevent *Stream, void *Self) {
    auto &C = *static_cast<Connection *>(Self);
    evbuffer *Input = bufferevent_get_input(Stream);
    std::string Bytes(evbuffer_get_length(Input), '\0');
    evbuffer_remove(Input, Bytes.data(), Bytes.size());
    C.Received += Bytes;
  }
  static void onEvent(bufferevent *, short, void *Self) {
    static_cast<Connection *>(Self)->Closed = true;
  }

  event_base *Base;
  evconnlistener *Listener = nullptr;
};

} // namespace pimento::test
