//===- Delta.h - The difference between two texts ---------------*- C++ -*-===//
//
// Edits change little of a long document, so hosts exchange differences. A
// delta copies runs of the older text and inserts what is new.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "wire/DocumentMessages.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pimento {

/// What makes \p New out of \p Old. Deterministic.
std::vector<DeltaPiece> makeDelta(std::string_view Old, std::string_view New);

/// Applies \p Delta to \p Old. False, and \p New undefined, where a piece lies
/// outside \p Old or the result passes \p MaxBytes.
bool applyDelta(std::string_view Old, const std::vector<DeltaPiece> &Delta,
                std::size_t MaxBytes, std::string &New);

/// About the bytes that \p Delta takes on the wire.
std::size_t deltaBytes(const std::vector<DeltaPiece> &Delta);

/// xxHash64 of \p Text, seed 0.
std::uint64_t textDigest(std::string_view Text);

} // namespace pimento
