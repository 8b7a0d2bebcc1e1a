//===- Random.h - Seeded random numbers -------------------------*- C++ -*-===//
//
// Reducers (the state machines of a host, which do no I/O) keep a generator in
// their state, so that a run can be reproduced exactly from its seed. In
// production the shell takes the seed from the operating system.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <random>

namespace pimento {

using Random = std::mt19937_64;

/// Returns a number in [0, \p Bound). \p Bound must be above zero. The sequence
/// is the same with every standard library, which std::uniform_int_distribution
/// does not guarantee.
inline std::uint64_t below(Random &R, std::uint64_t Bound) {
  return R() % Bound;
}

/// Returns a number in [0, 1).
inline double uniform(Random &R) {
  constexpr double Scale = 1.0 / 9007199254740992.0; // 2^-53
  return static_cast<double>(R() >> 11) * Scale;
}

/// Returns a duration in [\p Low, \p High), or \p Low if the range is empty.
inline Duration between(Random &R, Duration Low, Duration High) {
  if (High <= Low)
    return Low;
  auto Span = static_cast<std::uint64_t>((High - Low).count());
  return Low + Duration(static_cast<std::int64_t>(below(R, Span)));
}

} // namespace pimento
