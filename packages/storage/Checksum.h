//===- Checksum.h - Checksums of records and snapshots ----------*- C++ -*-===//
#pragma once

#include <cstdint>
#include <string_view>

namespace pimento {

/// xxHash64 of \p Bytes. Another \p Seed gives another sum, so that a record
/// does not match at a place that it was not written for.
std::uint64_t checksum(std::string_view Bytes, std::uint64_t Seed = 0);

} // namespace pimento
