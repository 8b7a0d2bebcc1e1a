//===- Token.h - Bearer tokens and digests ----------------------*- C++ -*-===//
//
// Tokens of operators and backend servers are stored as SHA-256 digests and
// compared in constant time. Tokens are never logged.
//
//===----------------------------------------------------------------------===//
#pragma once

#include <string>
#include <string_view>

namespace pimento {

/// Returns the SHA-256 of \p Text as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view Text);

/// Returns the HMAC-SHA-256 of \p Text with \p Key as 64 lower-case hexadecimal
/// digits.
std::string hmacSha256Hex(std::string_view Key, std::string_view Text);

/// Compares two texts in a time that depends only on their lengths.
bool equalConstantTime(std::string_view A, std::string_view B);

/// Returns the token in \p Header, the value of an Authorization header; empty
/// if \p Header is null or has another scheme than Bearer.
std::string_view bearerToken(const char *Header);

} // namespace pimento
