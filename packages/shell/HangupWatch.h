//===- HangupWatch.h - Connections that end while nobody reads --*- C++ -*-===//
//
//   HangupWatch Watch(Base, [](void *Owner) { ... });
//   Watch.add(Socket, Owner);   // Once for each end that is to be reported.
//   Watch.remove(Socket);       // Before the owner goes.
//
// libevent reports a connection that was reset, or that timed out, as readable
// and writable only. An event that waits for the close alone is not called
// then, and the error, which stays, wakes the loop again at once. This watch
// therefore has a set of sockets of its own, in which each one is asleep once
// its end was reported, and unread bytes report nothing.
//
// Ends are reported before other events, a few in one turn of the loop: the
// rest of a crowd that leaves at once waits behind what is ready then.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "shell/EventLoop.h"

#include <event2/util.h>

#include <functional>

namespace pimento {

class HangupWatch {
public:
  /// Ends that are reported in one turn of the loop.
  static constexpr int EndsPerTurn = 16;

  /// \p Ended gets the owner of a socket whose other side closed or reset the
  /// connection, sends no more, or was silent for too long.
  HangupWatch(event_base *Base, std::function<void(void *)> Ended);
  ~HangupWatch();
  HangupWatch(const HangupWatch &) = delete;
  HangupWatch &operator=(const HangupWatch &) = delete;

  /// Reports the end of the connection once, also one that came before. Returns
  /// false if the system refuses.
  bool add(evutil_socket_t Socket, void *Owner);
  /// Forgets a socket before its owner goes. Its close may come later: libevent
  /// closes the sockets of its bufferevents in a later turn.
  void remove(evutil_socket_t Socket);

private:
  static void onReady(evutil_socket_t, short, void *Self);
  void report();

  std::function<void(void *)> Ended;
  int Queue = -1; // Of epoll.
  EventPtr Ready;
  Timer Rest; // Reports what one turn left over.
};

} // namespace pimento
