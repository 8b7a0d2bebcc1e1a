//===- RequestDigest.h - What a caller asked for ----------------*- C++ -*-===//
//
//   RequestDigest D = digestOf(Account, Target, Body);
//   Record.add("request_digest", toString(D));
//
// A request that is sent again has another attempt id, another time limit and
// maybe other headers, and is still the same request. Its digest is equal.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace pimento {

/// Half of a SHA-256 digest: nobody can make two requests with equal digests.
struct RequestDigest {
  std::uint64_t Hi = 0;
  std::uint64_t Lo = 0; // Both zero: none.

  bool empty() const { return Hi == 0 && Lo == 0; }

  friend bool operator==(const RequestDigest &A, const RequestDigest &B) {
    return A.Hi == B.Hi && A.Lo == B.Lo;
  }
  friend bool operator!=(const RequestDigest &A, const RequestDigest &B) {
    return !(A == B);
  }
  friend bool operator<(const RequestDigest &A, const RequestDigest &B) {
    return std::tie(A.Hi, A.Lo) < std::tie(B.Hi, B.Lo);
  }
};

/// Returns the digest of a request of the account. \p Target is its path with
/// the query. Reads each byte once.
RequestDigest digestOf(const AccountId &Account, std::string_view Target,
                       std::string_view Body);

/// Formats the digest as 32 lower-case hexadecimal digits.
std::string toString(const RequestDigest &Digest);
/// Parses the output of toString(). Returns false, and leaves \p Digest
/// unchanged, for any other text.
bool parseRequestDigest(std::string_view Text, RequestDigest &Digest);

} // namespace pimento
