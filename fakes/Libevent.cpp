#include "fakes/Libevent.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pimento::fakes {

namespace {

void onTimer(evutil_socket_t /*Socket*/, short /*What*/, void *Arg) {
  (*static_cast<std::function<void()> *>(Arg))();
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
  // The delay is one microsecond longer, because toTimeval() rounds down and a
  // timer that fires early would find nothing due.
  timeval Tv = toTimeval(In + microseconds(1));
  event_add(Event.get(), &Tv);
}

void Timer::disarm() { event_del(Event.get()); }

void Delays::after(Duration In, std::function<void()> F) {
  Entry &E = Entries.emplace_back();
  E.Owner = this;
  E.F = std::move(F);
  E.Self = std::prev(Entries.end());
  E.Event.reset(event_new(Base, -1, 0, onDue, &E));
  timeval Tv = toTimeval(In);
  event_add(E.Event.get(), &Tv);
}

void Delays::onDue(evutil_socket_t /*Socket*/, short /*What*/, void *Arg) {
  auto &E = *static_cast<Entry *>(Arg);
  // The function may destroy the owner, so the entry is erased before the call
  // and neither of them is used after it.
  std::function<void()> F = std::move(E.F);
  E.Owner->Entries.erase(E.Self);
  F();
}

} // namespace pimento::fakes
