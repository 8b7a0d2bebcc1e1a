#include "shell/tests/LoopTurns.h"

#include <sys/epoll.h>

namespace {

std::uint64_t Ready = 0;

} // namespace

/// Takes the place of the system's function, also for libevent.
extern "C" int epoll_wait(int Queue, epoll_event *Events, int Room,
                          int Timeout) {
  int Count = epoll_pwait(Queue, Events, Room, Timeout, nullptr);
  Ready += Count > 0 ? static_cast<std::uint64_t>(Count) : 0;
  return Count;
}

namespace pimento::test {

std::uint64_t readyDescriptors() { return Ready; }

} // namespace pimento::test
