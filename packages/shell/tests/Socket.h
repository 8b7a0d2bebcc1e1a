//===- Socket.h - Sockets and event loops for tests -------------*- C++ -*-===//
#pragma once

#include "base/ConnectionEnd.h"
#include "shell/EventLoop.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <string>

namespace pimento::test {

inline sockaddr_in loopback(std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(Port);
  return Address;
}

/// Returns a loopback address with a free port chosen by the system.
inline std::string freeAddress() {
  int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address = loopback(0);
  socklen_t Size = sizeof(Address);
  if (::bind(Socket, reinterpret_cast<sockaddr *>(&Address), Size) != 0 ||
      ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size) != 0)
    return "";
  ::close(Socket);
  return "127.0.0.1:" + std::to_string(ntohs(Address.sin_port));
}

/// Runs the loop until \p Done holds. Returns false after \p MaxWait.
template <class F> bool runUntil(event_base *Base, Duration MaxWait, F Done) {
  auto End = std::chrono::steady_clock::now() + MaxWait;
  while (!Done()) {
    if (std::chrono::steady_clock::now() > End)
      return false;
    timeval Pause = toTimeval(milliseconds(2));
    event_base_loopexit(Base, &Pause);
    event_base_dispatch(Base);
  }
  return true;
}

/// Lets the socket reset its connection when it is closed.
inline void resetOnClose(int Socket) {
  linger Now{1, 0};
  ::setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
}

/// Drops all that arrives at the socket, acknowledgements too, so that its side
/// is silent, as one whose host has lost its power.
inline void dropArrivals(int Socket) {
  sock_filter Drop[] = {{BPF_RET | BPF_K, 0, 0, 0}};
  sock_fprog Program{1, Drop};
  ::setsockopt(Socket, SOL_SOCKET, SO_ATTACH_FILTER, &Program, sizeof(Program));
}

/// Blocking TCP connection with non-blocking reads.
class RawSocket {
public:
  /// \p ReceiveBytes is the size of the receive buffer; 0: the system's.
  explicit RawSocket(const std::string &Address, int ReceiveBytes = 0)
      : Socket(::socket(AF_INET, SOCK_STREAM, 0)) {
    if (ReceiveBytes > 0)
      ::setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &ReceiveBytes,
                   sizeof(ReceiveBytes));
    auto Port = static_cast<std::uint16_t>(
        std::stoul(Address.substr(Address.rfind(':') + 1)));
    sockaddr_in Target = loopback(Port);
    Connected = ::connect(Socket, reinterpret_cast<sockaddr *>(&Target),
                          sizeof(Target)) == 0;
  }
  ~RawSocket() {
    if (Socket >= 0)
      ::close(Socket);
  }
  RawSocket(const RawSocket &) = delete;
  RawSocket &operator=(const RawSocket &) = delete;

  void write(const std::string &Bytes) const {
    ::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  }

  /// Ends the connection from this side.
  void end(ConnectionEnd How) {
    if (How == ConnectionEnd::Silence) {
      dropArrivals(Socket);
      return;
    }
    if (How == ConnectionEnd::Reset)
      resetOnClose(Socket);
    ::close(Socket);
    Socket = -1;
  }
  /// Closes the sending side alone.
  void endOutput() const { ::shutdown(Socket, SHUT_WR); }

  /// Appends the available bytes to Received. Returns true once the other side
  /// has closed the connection.
  bool readAvailable() {
    char Chunk[4096];
    for (;;) {
      ssize_t Size = ::recv(Socket, Chunk, sizeof(Chunk), MSG_DONTWAIT);
      if (Size == 0)
        return true;
      if (Size < 0)
        return errno != EAGAIN;
      Received.append(Chunk, static_cast<std::size_t>(Size));
    }
  }

  std::string Received;
  bool Connected = false;

private:
  int Socket;
};

} // namespace pimento::test
