//===- Libevent.h - Owners of libevent's objects ----------------*- C++ -*-===//
#pragma once

#include "base/Time.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <functional>
#include <list>
#include <memory>

namespace pimento::fakes {

struct LibeventDeleter {
  void operator()(event_base *Base) const { event_base_free(Base); }
  void operator()(event *Event) const { event_free(Event); }
  void operator()(evbuffer *Buffer) const { evbuffer_free(Buffer); }
  void operator()(evhttp *Http) const { evhttp_free(Http); }
};

using BasePtr = std::unique_ptr<event_base, LibeventDeleter>;
using EventPtr = std::unique_ptr<event, LibeventDeleter>;
using BufferPtr = std::unique_ptr<evbuffer, LibeventDeleter>;
using HttpPtr = std::unique_ptr<evhttp, LibeventDeleter>;

/// The monotonic clock that the servers run on.
TimePoint now();

/// \p D as libevent takes it; a negative duration becomes zero.
timeval toTimeval(Duration D);

/// Calls a function when it is due. Must not move once it has been armed.
struct Timer {
  Timer(event_base *Base, std::function<void()> OnDue);
  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;

  /// Replaces the time that was set before.
  void arm(Duration In);
  void disarm();

private:
  std::function<void()> OnDue;
  EventPtr Event;
};

/// Calls functions later. What is still due when it goes is dropped.
struct Delays {
  explicit Delays(event_base *Base) : Base(Base) {}
  Delays(const Delays &) = delete;
  Delays &operator=(const Delays &) = delete;

  /// Calls \p F once from the loop, after \p In.
  void after(Duration In, std::function<void()> F);

private:
  struct Entry {
    Delays *Owner = nullptr;
    std::function<void()> F;
    EventPtr Event;
    std::list<Entry>::iterator Self;
  };
  static void onDue(evutil_socket_t Socket, short What, void *Arg);

  event_base *Base;
  std::list<Entry> Entries;
};

} // namespace pimento::fakes
