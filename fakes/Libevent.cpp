#include "fakes/Libevent.h"

#include <algorithm>
#include <utility>

namespace pimento::fakes {

namespace {

void onTimer(evutil_socket_t /*Socket*/, short /*What*/, void *Arg) {
  (*static_cast<std::function<void()> *>(Arg))();
}

void onLater(evutil_socket_t /*Socket*/, short /*What*/, void *Arg) {
  std::unique_ptr<std::function<void()>> F(
      static_cast<std::function<void()> *>(Arg));
  (*F)();
}

} // namespace

TimePoint now() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

timeval toTimeval(Duration D) {
  std::int64_t Micros = std::max<std::int64_t>(0, toMicroseconds(D));
  constexpr std::int64_t MicrosPerSecond = 1000000;
  timeval Tv{};
  Tv.tv_sec = Micros / MicrosPerSecond;
  Tv.tv_usec = Micros % MicrosPerSecond;
  return Tv;
}

Timer::Timer(event_base *Base, std::function<void()> OnDue)
    : OnDue(std::move(OnDue)),
      Event(event_new(Base, -1, 0, onTimer, &this->OnDue)) {}

void Timer::arm(Duration In) {
  // A microsecond more, as the conversion rounds down and an early timer
  // would find nothing due.
  timeval Tv = toTimeval(In + microseconds(1));
  event_add(Event.get(), &Tv);
}

void Timer::disarm() { event_del(Event.get()); }

void later(event_base *Base, Duration In, std::function<void()> F) {
  auto Owned = std::make_unique<std::function<void()>>(std::move(F));
  timeval Tv = toTimeval(In);
  if (event_base_once(Base, -1, EV_TIMEOUT, onLater, Owned.get(), &Tv) == 0)
    (void)Owned.release();
}

} // namespace pimento::fakes
