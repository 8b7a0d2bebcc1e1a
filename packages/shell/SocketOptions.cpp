#include "shell/SocketOptions.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace pimento {

namespace {

// Keep-alive: idle time before the first probe, and interval between probes.
// Their number is not set, since the user timeout decides.
constexpr Duration ProbeAfter = seconds(1);
constexpr Duration ProbeInterval = seconds(1);

void set(evutil_socket_t Socket, int Level, int Name, int Value) {
  setsockopt(Socket, Level, Name, &Value, sizeof(Value));
}

int wholeSeconds(Duration D) {
  return static_cast<int>(std::chrono::duration_cast<seconds>(D).count());
}

} // namespace

void setSocketOptions(evutil_socket_t Socket, Duration Silence) {
  set(Socket, IPPROTO_TCP, TCP_NODELAY, 1);
  set(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
      static_cast<int>(toMilliseconds(Silence)));
  set(Socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  set(Socket, IPPROTO_TCP, TCP_KEEPIDLE, wholeSeconds(ProbeAfter));
  set(Socket, IPPROTO_TCP, TCP_KEEPINTVL, wholeSeconds(ProbeInterval));
}

} // namespace pimento
