//===- Libevent.h - Owners of libevent's objects ----------------*- C++ -*-===//
#pragma once

#include "base/Time.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <functional>
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

/// Calls \p F once from the loop, after \p In.
void later(event_base *Base, Duration In, std::function<void()> F);

} // namespace pimento::fakes
