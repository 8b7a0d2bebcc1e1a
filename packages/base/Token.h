//===- Token.h - Bearer tokens and digests ----------------------*- C++ -*-===//
//
// Tokens are kept as SHA-256 digests and compared in constant time. No token
// is ever logged.
//
//===----------------------------------------------------------------------===//
#pragma once

#include <string>
#include <string_view>

namespace pimento {

/// SHA-256 of \p Text as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view Text);

/// HMAC-SHA-256 of \p Text under \p Key as 64 lower-case hexadecimal digits.
std::string hmacSha256Hex(std::string_view Key, std::string_view Text);

/// Whether both texts are equal, in a time that depends on the lengths only.
bool equalConstantTime(std::string_view A, std::string_view B);

/// The token of an `Authorization: Bearer` header; empty where \p Header is
/// null or of another kind.
std::string_view bearerToken(const char *Header);

} // namespace pimento
