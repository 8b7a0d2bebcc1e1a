//===- SocketState.h - What a socket's own buffers hold ---------*- C++ -*-===//
//
// A socket that is closed while its input holds unread bytes resets the
// connection, and the output that the other side has not read yet is lost.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/ConnectionEnd.h"

#include <event2/util.h>

#include <cstddef>

namespace pimento {

/// Whether the socket has received bytes that were not read.
bool hasUnreadBytes(evutil_socket_t Socket);

/// Bytes of the output that the other side has not acknowledged. Those of a
/// connection that was reset never are.
std::size_t unacknowledgedBytes(evutil_socket_t Socket);

/// Whether the other side, which sends no more, has ended its output after it
/// had received all of this side's, and has not reset the connection since. A
/// reset that follows the end of the output is no error to a reader.
bool hasEndedInOrder(evutil_socket_t Socket);

/// How a connection ended, before this host shut anything down: Host, if the
/// other side has not ended it. Takes the socket's error away.
ConnectionEnd endOf(evutil_socket_t Socket);

/// How a connection ended whose read or write failed with \p Error, of errno.
ConnectionEnd endOfError(int Error);

/// Reads and drops what the socket has received. Returns whether the other side
/// may send more: it has neither closed the connection nor reset it.
bool discardInput(evutil_socket_t Socket);

} // namespace pimento
