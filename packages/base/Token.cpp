#include "base/Token.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

#include <array>

namespace pimento {

namespace {

using Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

std::string toHex(const Digest &Bytes) {
  constexpr char Digits[] = "0123456789abcdef";
  std::string Hex;
  Hex.reserve(2 * Bytes.size());
  for (unsigned char Byte : Bytes) {
    Hex.push_back(Digits[Byte >> 4U]);
    Hex.push_back(Digits[Byte & 15U]);
  }
  return Hex;
}

const unsigned char *bytesOf(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

} // namespace

std::string sha256Hex(std::string_view Text) {
  Digest Bytes{};
  SHA256(bytesOf(Text), Text.size(), Bytes.data());
  return toHex(Bytes);
}

std::string hmacSha256Hex(std::string_view Key, std::string_view Text) {
  Digest Bytes{};
  unsigned Size = 0;
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()), bytesOf(Text),
       Text.size(), Bytes.data(), &Size);
  return toHex(Bytes);
}

bool equalConstantTime(std::string_view A, std::string_view B) {
  if (A.size() != B.size())
    return false;
  return CRYPTO_memcmp(A.data(), B.data(), A.size()) == 0;
}

std::string_view bearerToken(const char *Header) {
  constexpr std::string_view Scheme = "Bearer ";
  if (!Header)
    return {};
  std::string_view Value(Header);
  if (Value.substr(0, Scheme.size()) != Scheme)
    return {};
  return Value.substr(Scheme.size());
}

} // namespace pimento
