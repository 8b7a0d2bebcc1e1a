//===- Delta.h - Binary deltas between two texts ----------------*- C++ -*-===//
//
// Edits change little of a long document, so hosts exchange deltas. A delta is
// a list of pieces; each copies a range of the older text and then inserts new
// bytes.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "wire/DocumentMessages.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pimento {

/// Computes the delta that turns \p Old into \p New. Deterministic.
std::vector<DeltaPiece> makeDelta(std::string_view Old, std::string_view New);

/// Applies \p Delta to \p Old. Returns false and leaves \p New unspecified if a
/// piece lies outside \p Old or the result exceeds \p MaxBytes.
bool applyDelta(std::string_view Old, const std::vector<DeltaPiece> &Delta,
                std::size_t MaxBytes, std::string &New);

/// Approximate size of \p Delta on the wire, in bytes.
std::size_t deltaBytes(const std::vector<DeltaPiece> &Delta);

/// Returns the xxHash64 of \p Text with seed 0.
std::uint64_t textDigest(std::string_view Text);

} // namespace pimento
