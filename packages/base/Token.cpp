#include "base/Token.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace pimento {

std::string sha256Hex(std::string_view Text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Digest{};
  SHA256(reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
         Digest.data());
  constexpr char Digits[] = "0123456789abcdef";
  std::string Hex;
  Hex.reserve(2 * Digest.size());
  for (unsigned char Byte : Digest) {
    Hex.push_back(Digits[Byte >> 4U]);
    Hex.push_back(Digits[Byte & 15U]);
  }
  return Hex;
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
