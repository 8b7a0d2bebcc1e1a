//===- Json.h - JSON within limits ------------------------------*- C++ -*-===//
//
// Untrusted input is parsed with parseJson() and parseCbor(), which stop as
// soon as the input exceeds a limit on size, nesting depth or number of values.
// This bounds the memory that one input can take. Include this header in .cpp
// files only, because it is slow to compile.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Result.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string_view>

namespace pimento {

using Json = nlohmann::json;

/// Limits on one JSON text or CBOR message.
struct JsonLimits {
  std::size_t Bytes = 1U << 20U;  // Length of the input.
  std::size_t Depth = 32;         // Nesting depth of arrays and objects.
  std::size_t Values = 1U << 16U; // Number of values, including keys.
};

/// Parses \p Text. Fails with BodyTooLarge if it is longer than Limits.Bytes,
/// and with BadRequest if it is not JSON or exceeds another limit.
Result<Json> parseJson(std::string_view Text, const JsonLimits &Limits);

/// Parses CBOR \p Bytes. Fails with WireTooLarge if they exceed any limit, and
/// with WireMalformed if they are not CBOR.
Result<Json> parseCbor(std::string_view Bytes, const JsonLimits &Limits);

} // namespace pimento
