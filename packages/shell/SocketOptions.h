//===- SocketOptions.h - What every TCP connection is set to ----*- C++ -*-===//
#pragma once

#include <event2/util.h>

namespace pimento {

/// Small writes leave at once, and a path that went silent is found: by bytes
/// that nobody acknowledges, or by probes while there are none.
void setSocketOptions(evutil_socket_t Socket);

} // namespace pimento
