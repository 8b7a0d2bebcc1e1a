//===- Random.h - Seeded random numbers -------------------------*- C++ -*-===//
//
// Reducers hold one of these in their state, so that a session is repeated
// exactly from its seed. The shell draws the seed from the system.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <random>

namespace pimento {

using Random = std::mt19937_64;

/// A number in [0, \p Bound). \p Bound must be above zero. The same on every
/// standard library, unlike std::uniform_int_distribution.
inline std::uint64_t below(Random &R, std::uint64_t Bound) {
  return R() % Bound;
}

/// A number in [0, 1).
inline double uniform(Random &R) {
  constexpr double Scale = 1.0 / 9007199254740992.0; // 2^-53
  return static_cast<double>(R() >> 11) * Scale;
}

/// A duration in [\p Low, \p High); \p Low where the range is empty.
inline Duration between(Random &R, Duration Low, Duration High) {
  if (High <= Low)
    return Low;
  auto Span = static_cast<std::uint64_t>((High - Low).count());
  return Low + Duration(static_cast<std::int64_t>(below(R, Span)));
}

} // namespace pimento
