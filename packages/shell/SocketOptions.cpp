#include "shell/SocketOptions.h"

#include <arpa/inet.h>
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

evutil_socket_t socketBoundTo(const std::string &Ip) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  if (inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr) != 1)
    return -1;
  evutil_socket_t Socket = socket(AF_INET, SOCK_STREAM, 0);
  // The port is chosen on connecting, by both addresses.
  set(Socket, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1);
  bool IsBound = bind(Socket, reinterpret_cast<sockaddr *>(&Address),
                      sizeof(Address)) == 0 &&
                 evutil_make_socket_nonblocking(Socket) == 0;
  if (IsBound)
    return Socket;
  evutil_closesocket(Socket);
  return -1;
}

bool canConnectFrom(const std::string &Ip) {
  if (Ip.empty())
    return true;
  evutil_socket_t Socket = socketBoundTo(Ip);
  if (Socket < 0)
    return false;
  evutil_closesocket(Socket);
  return true;
}

void setSocketOptions(evutil_socket_t Socket, Duration Silence) {
  set(Socket, IPPROTO_TCP, TCP_NODELAY, 1);
  set(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
      static_cast<int>(toMilliseconds(Silence)));
  set(Socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  set(Socket, IPPROTO_TCP, TCP_KEEPIDLE, wholeSeconds(ProbeAfter));
  set(Socket, IPPROTO_TCP, TCP_KEEPINTVL, wholeSeconds(ProbeInterval));
}

} // namespace pimento
