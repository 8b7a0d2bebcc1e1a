//===- Json.h - JSON within limits ------------------------------*- C++ -*-===//
//
// Everything that is read from outside goes through parseJson(), which refuses
// deep, long and crowded texts before they cost memory. This header is heavy:
// include it in .cpp files only.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Result.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string_view>

namespace pimento {

using Json = nlohmann::json;

/// Limits on one text.
struct JsonLimits {
  std::size_t Bytes = 1U << 20U;  // Length of the text.
  std::size_t Depth = 32;         // Arrays and objects within each other.
  std::size_t Values = 1U << 16U; // Values, keys included.
};

/// Parses \p Text. Fails with BodyTooLarge past Limits.Bytes, with BadRequest
/// for anything that is not JSON or passes another limit.
Result<Json> parseJson(std::string_view Text, const JsonLimits &Limits);

/// Parses CBOR under the same limits. Fails with WireMalformed or
/// WireTooLarge.
Result<Json> parseCbor(std::string_view Bytes, const JsonLimits &Limits);

} // namespace pimento
