//===- Compress.h - Compression of texts ------------------------*- C++ -*-===//
//
//   std::string Packed = compress(Text);
//   std::optional<std::string> Read = decompress(Packed, MaxBytes);
//
// In the zlib format. Fast rather than small: configurations shrink to a tenth
// at the lowest level already.
//
//===----------------------------------------------------------------------===//
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace pimento {

/// Compresses \p Text.
std::string compress(std::string_view Text);

/// Decompresses \p Packed. Returns nothing if it is damaged or incomplete, or
/// if the text is longer than \p MaxBytes.
std::optional<std::string> decompress(std::string_view Packed,
                                      std::size_t MaxBytes);

} // namespace pimento
