//===- Time.h - Times and durations -----------------------------*- C++ -*-===//
//
// Every signature that holds a time uses these types. The reducers never read
// a clock: the shell, or a test's virtual clock, passes the time in.
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

/// Whole milliseconds of \p D, rounded towards zero; may be negative.
inline std::int64_t toMilliseconds(Duration D) {
  return std::chrono::duration_cast<milliseconds>(D).count();
}

/// Whole microseconds of \p D, rounded towards zero; may be negative.
inline std::int64_t toMicroseconds(Duration D) {
  return std::chrono::duration_cast<microseconds>(D).count();
}

/// Seconds of \p D as a floating-point number, for rates and logs.
inline double toSeconds(Duration D) {
  return std::chrono::duration<double>(D).count();
}

/// The duration of \p Seconds; the inverse of toSeconds().
inline Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace pimento
