//===- SocketOptions.h - Options of all TCP connections ---------*- C++ -*-===//
#pragma once

#include <event2/util.h>

namespace pimento {

/// Sends small writes without delay and detects a dead path: by a timeout of
/// unacknowledged bytes, or by keepalive probes while the connection is idle.
void setSocketOptions(evutil_socket_t Socket);

} // namespace pimento
