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

/// The monotonic clock of the servers.
TimePoint now();

/// Converts \p D for libevent; a negative duration becomes zero.
timeval toTimeval(Duration D);

/// One-shot timer. Must not be moved once it has been armed.
struct Timer {
  Timer(event_base *Base, std::function<void()> OnDue);
  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;

  /// Replaces an earlier due time.
  void arm(Duration In);
  void disarm();

private:
  std::function<void()> OnDue;
  EventPtr Event;
};

/// Calls functions after a delay. The destructor drops pending calls.
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
