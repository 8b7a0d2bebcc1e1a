#include "shell/SocketState.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cerrno>

namespace pimento {

namespace {

/// Bytes dropped in one call, so that a fast sender does not hold up the loop.
constexpr std::size_t MaxDiscardedBytes = 1U << 20U;
constexpr std::size_t ChunkBytes = 16U << 10U;

std::size_t queued(evutil_socket_t Socket, unsigned long Query) {
  int Bytes = 0;
  if (Socket < 0 || ::ioctl(Socket, Query, &Bytes) != 0 || Bytes < 0)
    return 0;
  return static_cast<std::size_t>(Bytes);
}

} // namespace

bool hasUnreadBytes(evutil_socket_t Socket) {
  return queued(Socket, SIOCINQ) > 0;
}

std::size_t unacknowledgedBytes(evutil_socket_t Socket) {
  return queued(Socket, SIOCOUTQ);
}

bool hasEndedInOrder(evutil_socket_t Socket) {
  tcp_info Info{};
  socklen_t Size = sizeof(Info);
  if (::getsockopt(Socket, IPPROTO_TCP, TCP_INFO, &Info, &Size) != 0)
    return false;
  return Info.tcpi_state == TCP_CLOSE_WAIT && unacknowledgedBytes(Socket) == 0;
}

ConnectionEnd endOf(evutil_socket_t Socket) {
  int Error = 0;
  socklen_t Size = sizeof(Error);
  if (::getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Size) != 0)
    return ConnectionEnd::Host;
  if (Error != 0)
    return endOfError(Error);
  tcp_info Info{};
  Size = sizeof(Info);
  if (::getsockopt(Socket, IPPROTO_TCP, TCP_INFO, &Info, &Size) != 0)
    return ConnectionEnd::Host;
  switch (Info.tcpi_state) {
  case TCP_CLOSE: // Its error was read already.
    return ConnectionEnd::Reset;
  case TCP_CLOSE_WAIT:
  case TCP_LAST_ACK:
  case TCP_CLOSING:
  case TCP_TIME_WAIT:
    return ConnectionEnd::Close;
  default:
    return ConnectionEnd::Host;
  }
}

ConnectionEnd endOfError(int Error) {
  bool IsSilence =
      Error == ETIMEDOUT || Error == EHOSTUNREACH || Error == ENETUNREACH;
  return IsSilence ? ConnectionEnd::Silence : ConnectionEnd::Reset;
}

bool discardInput(evutil_socket_t Socket) {
  char Chunk[ChunkBytes];
  for (std::size_t Read = 0; Read < MaxDiscardedBytes; Read += ChunkBytes) {
    ssize_t Size = ::recv(Socket, Chunk, sizeof(Chunk), MSG_DONTWAIT);
    if (Size == 0)
      return false;
    if (Size < 0)
      return errno == EAGAIN || errno == EINTR;
  }
  return true;
}

} // namespace pimento
