//===- SocketOptions.h - Options of all TCP connections ---------*- C++ -*-===//
#pragma once

#include "base/Time.h"

#include <event2/util.h>

#include <string>

namespace pimento {

/// How long the other side of a connection may be silent, as sent bytes stay
/// unacknowledged or keep-alive probes unanswered. On Linux this limit also
/// decides when probes give up, whatever their number: an idle connection
/// survives a silence that is one probe interval shorter.
constexpr Duration HostSilence = milliseconds(1500);
/// A caller that pauses while it reads is silent, too: its window stays closed,
/// and Linux counts that time although it acknowledges each probe.
constexpr Duration CallerSilence = seconds(15);
/// A sound backend server may be silent for a second or so; a lost path is
/// found by other means (relay/PathWatch.h).
constexpr Duration ServerSilence = seconds(3);

/// Returns a socket that connects from \p Ip, or -1 if the address is invalid
/// or not one of this host.
evutil_socket_t socketBoundTo(const std::string &Ip);

/// Whether connections can be made from the address; true if it is empty.
bool canConnectFrom(const std::string &Ip);

/// Sends small writes without delay, and closes the connection after \p
/// Silence.
void setSocketOptions(evutil_socket_t Socket, Duration Silence);

} // namespace pimento
