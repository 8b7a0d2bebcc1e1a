//===- Blob.h - Bytes on the wire -------------------------------*- C++ -*-===//
#pragma once

#include <string>

namespace pimento {

/// Arbitrary bytes, encoded as a CBOR byte string.
struct Blob {
  std::string Data;

  friend bool operator==(const Blob &A, const Blob &B) {
    return A.Data == B.Data;
  }
};

} // namespace pimento
