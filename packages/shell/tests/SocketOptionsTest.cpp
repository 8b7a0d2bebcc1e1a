#include <boost/test/unit_test.hpp>

#include "base/Time.h"
#include "shell/SocketOptions.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

using namespace pimento;

namespace {

/// A backend server may be silent for so long and is sound.
constexpr Duration SoundSilence = milliseconds(1500);
/// A path that is lost is found within this time.
constexpr Duration MaxDetection = seconds(5);

int option(int Socket, int Name) {
  int Value = 0;
  socklen_t Size = sizeof(Value);
  getsockopt(Socket, IPPROTO_TCP, Name, &Value, &Size);
  return Value;
}

/// When Linux closes an idle connection on which nothing arrives any more,
/// counted from the last byte: at the first probe that finds the user timeout
/// passed and an earlier probe unanswered, whatever the number of probes.
Duration closesAfter(int Socket) {
  Duration First = seconds(option(Socket, TCP_KEEPIDLE));
  Duration Interval = seconds(option(Socket, TCP_KEEPINTVL));
  Duration Limit = milliseconds(option(Socket, TCP_USER_TIMEOUT));
  Duration At = First + Interval;
  while (At < Limit)
    At += Interval;
  return At;
}

} // namespace

/// Guards against a connection to a sound server that is closed since the
/// server was silent for a second or so: TCP_USER_TIMEOUT decides when
/// keep-alive probes give up, not their count.
BOOST_AUTO_TEST_CASE(SilentServerKeepsItsConnections) {
  int Socket = socket(AF_INET, SOCK_STREAM, 0);
  setSocketOptions(Socket, ServerSilence);
  Duration First = seconds(option(Socket, TCP_KEEPIDLE));
  // The silence may begin right before the first probe.
  BOOST_TEST((closesAfter(Socket) - First > SoundSilence));
  BOOST_TEST((milliseconds(option(Socket, TCP_USER_TIMEOUT)) > SoundSilence));
  BOOST_TEST((closesAfter(Socket) <= MaxDetection));
  close(Socket);
}
