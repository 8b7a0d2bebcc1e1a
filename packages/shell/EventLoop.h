//===- EventLoop.h - RAII wrappers for libevent -----------------*- C++ -*-===//
#pragma once

#include "base/Time.h"

#include <event2/event.h>

#include <functional>
#include <memory>

namespace pimento {

struct EventBaseDeleter {
  void operator()(event_base *Base) const { event_base_free(Base); }
};
using EventBasePtr = std::unique_ptr<event_base, EventBaseDeleter>;

struct EventDeleter {
  void operator()(event *Event) const { event_free(Event); }
};
using EventPtr = std::unique_ptr<event, EventDeleter>;

/// Priority of events that run before all other ready events.
constexpr int HighPriority = 0;
constexpr int PriorityCount = 2;

/// Creates an event base with two priorities. Returns null if libevent cannot
/// create one.
inline EventBasePtr makeEventBase() {
  EventBasePtr Base(event_base_new());
  if (Base)
    event_base_priority_init(Base.get(), PriorityCount);
  return Base;
}

inline timeval toTimeval(Duration D) {
  constexpr std::int64_t MicrosecondsPerSecond = 1000000;
  std::int64_t Microseconds = toMicroseconds(D);
  timeval Value{};
  Value.tv_sec = static_cast<time_t>(Microseconds / MicrosecondsPerSecond);
  Value.tv_usec =
      static_cast<suseconds_t>(Microseconds % MicrosecondsPerSecond);
  return Value;
}

/// One-shot timer that calls a function. Destroying the timer cancels it.
class Timer {
public:
  Timer(event_base *Base, std::function<void()> Function)
      : Action(std::move(Function)),
        Event(event_new(Base, -1, 0, &Timer::fire, this)) {}
  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;

  /// Fires once after \p Delay. Replaces a pending expiry.
  void start(Duration Delay) {
    timeval After = toTimeval(Delay);
    event_add(Event.get(), &After);
  }
  void stop() { event_del(Event.get()); }
  bool pending() const {
    return event_pending(Event.get(), EV_TIMEOUT, nullptr) != 0;
  }

private:
  static void fire(evutil_socket_t, short, void *Self) {
    static_cast<Timer *>(Self)->Action();
  }

  std::function<void()> Action;
  EventPtr Event;
};

} // namespace pimento
