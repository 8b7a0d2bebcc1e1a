//===- Checksum.h - Checksums of records and snapshots ----------*- C++ -*-===//
#pragma once

#include <cstdint>
#include <string_view>

namespace pimento {

/// xxHash64 of \p Bytes. Seeding it with a record's position makes the checksum
/// of a record fail at any other position.
std::uint64_t checksum(std::string_view Bytes, std::uint64_t Seed = 0);

} // namespace pimento
