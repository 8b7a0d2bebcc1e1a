#include "shell/HangupWatch.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace pimento {

HangupWatch::HangupWatch(event_base *Base, std::function<void(void *)> TheEnded)
    : Ended(std::move(TheEnded)), Queue(::epoll_create1(EPOLL_CLOEXEC)),
      Ready(event_new(Base, Queue, EV_READ, &HangupWatch::onReady, this)),
      Rest(Base, [this] { report(); }) {
  event_priority_set(Ready.get(), HighPriority);
  if (Queue >= 0)
    event_add(Ready.get(), nullptr);
}

HangupWatch::~HangupWatch() {
  Ready.reset();
  if (Queue >= 0)
    ::close(Queue);
}

bool HangupWatch::add(evutil_socket_t Socket, void *Owner) {
  epoll_event Wanted{};
  Wanted.events = EPOLLRDHUP | EPOLLONESHOT;
  Wanted.data.ptr = Owner;
  if (::epoll_ctl(Queue, EPOLL_CTL_MOD, Socket, &Wanted) == 0)
    return true;
  return errno == ENOENT &&
         ::epoll_ctl(Queue, EPOLL_CTL_ADD, Socket, &Wanted) == 0;
}

void HangupWatch::remove(evutil_socket_t Socket) {
  ::epoll_ctl(Queue, EPOLL_CTL_DEL, Socket, nullptr);
}

void HangupWatch::onReady(evutil_socket_t, short, void *Self) {
  static_cast<HangupWatch *>(Self)->report();
}

/// Reports the ends of one turn. While events of high priority are ready,
/// libevent runs no others, so the next turn begins as an ordinary event.
void HangupWatch::report() {
  std::array<epoll_event, EndsPerTurn> Ends{};
  int Count = ::epoll_wait(Queue, Ends.data(), EndsPerTurn, 0);
  for (int I = 0; I < Count; ++I)
    Ended(Ends[static_cast<std::size_t>(I)].data.ptr);
  if (Count == EndsPerTurn)
    Rest.start(Duration::zero());
  else
    event_add(Ready.get(), nullptr);
}

} // namespace pimento
