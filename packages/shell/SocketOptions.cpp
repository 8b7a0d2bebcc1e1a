#include "shell/SocketOptions.h"

#include "base/Time.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace pimento {

namespace {

/// Bytes that go unacknowledged for so long mean that the path is dead.
constexpr Duration UnacknowledgedTimeout = milliseconds(1500);
// Probes of a silent connection: the first, the pause between, how many.
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
