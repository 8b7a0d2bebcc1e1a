//===- Hashing.h - Hash functions of membership -----------------*- C++ -*-===//
//
// Internal to the package. All hosts must compute the same values, because
// they compare digests and rank watchers with them.
//
//===----------------------------------------------------------------------===//
#pragma once

#include <cstdint>
#include <string_view>

namespace pimento {

/// xxHash64 of \p Text, seed 0.
std::uint64_t hashText(std::string_view Text);

/// Mixes the bits of \p X with the finalizer of SplitMix64.
inline std::uint64_t mix(std::uint64_t X) {
  X += 0x9E3779B97F4A7C15ULL;
  X = (X ^ (X >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  X = (X ^ (X >> 27U)) * 0x94D049BB133111EBULL;
  return X ^ (X >> 31U);
}

} // namespace pimento
