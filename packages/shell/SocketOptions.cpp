#include "shell/SocketOptions.h"

#include "base/Time.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace pimento {

namespace {

/// A path is considered dead if sent bytes stay unacknowledged for this long.
constexpr Duration UnacknowledgedTimeout = milliseconds(1500);
// Keepalive: idle time before the first probe, interval between probes, and
// number of unanswered probes after which the connection is closed.
constexpr Duration ProbeAfter = seconds(1);
constexpr Duration ProbeInterval = seconds(1);
constexpr int ProbeCount = 2;

void set(evutil_socket_t Socket, int Level, int Name, int Value) {
  setsockopt(Socket, Level, Name, &Value, sizeof(Value));
}

int wholeSeconds(Duration D) {
  return static_cast<int>(std::chrono::duration_cast<seconds>(D).count());
}

} // namespace

void setSocketOptions(evutil_socket_t Socket) {
  set(Socket, IPPROTO_TCP, TCP_NODELAY, 1);
  set(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
      static_cast<int>(toMilliseconds(UnacknowledgedTimeout)));
  set(Socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  set(Socket, IPPROTO_TCP, TCP_KEEPIDLE, wholeSeconds(ProbeAfter));
  set(Socket, IPPROTO_TCP, TCP_KEEPINTVL, wholeSeconds(ProbeInterval));
  set(Socket, IPPROTO_TCP, TCP_KEEPCNT, ProbeCount);
}

} // namespace pimento
