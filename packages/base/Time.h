//===- Time.h - Times and durations -----------------------------*- C++ -*-===//
//
// All interfaces use these types for times. Reducers (the state machines of a
// host, which do no I/O) never read a clock: the caller passes the current
// time, which comes from the system's monotonic clock or from the virtual clock
// of a test.
//
//===----------------------------------------------------------------------===//
#pragma once

#include <chrono>
#include <cstdint>

namespace pimento {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock,
                                          std::chrono::nanoseconds>;

using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Converts \p D to milliseconds, rounded towards zero; may be negative.
inline std::int64_t toMilliseconds(Duration D) {
  return std::chrono::duration_cast<milliseconds>(D).count();
}

/// Converts \p D to microseconds, rounded towards zero; may be negative.
inline std::int64_t toMicroseconds(Duration D) {
  return std::chrono::duration_cast<microseconds>(D).count();
}

/// Converts \p D to seconds, for rates and logs.
inline double toSeconds(Duration D) {
  return std::chrono::duration<double>(D).count();
}

/// Converts \p Seconds to a duration; the inverse of toSeconds().
inline Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace pimento
