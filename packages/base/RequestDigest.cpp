#include "base/RequestDigest.h"

#include <openssl/evp.h>
#include <openssl/sha.h>

#include <array>
#include <memory>
#include <stdexcept>

namespace pimento {

namespace {

struct FreeContext {
  void operator()(EVP_MD_CTX *Context) const { EVP_MD_CTX_free(Context); }
};
using Context = std::unique_ptr<EVP_MD_CTX, FreeContext>;

/// Adds a length and the bytes, so that two fields never run together.
bool add(EVP_MD_CTX *C, std::string_view Text) {
  std::string Size = std::to_string(Text.size()) + ":";
  return EVP_DigestUpdate(C, Size.data(), Size.size()) == 1 &&
         EVP_DigestUpdate(C, Text.data(), Text.size()) == 1;
}

std::uint64_t read(const unsigned char *Bytes) {
  std::uint64_t Value = 0;
  for (std::size_t I = 0; I < sizeof(Value); ++I)
    Value = Value << 8U | Bytes[I];
  return Value;
}

} // namespace

RequestDigest digestOf(const AccountId &Account, std::string_view Target,
                       std::string_view Body) {
  // Kept, since a lookup of the algorithm takes longer than a short digest.
  static const EVP_MD *const Algorithm =
      EVP_MD_fetch(nullptr, "SHA256", nullptr);
  static const Context C(EVP_MD_CTX_new());
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Bytes{};
  bool Done = C && EVP_DigestInit_ex2(C.get(), Algorithm, nullptr) == 1 &&
              add(C.get(), Account.Value) && add(C.get(), Target) &&
              add(C.get(), Body) &&
              EVP_DigestFinal_ex(C.get(), Bytes.data(), nullptr) == 1;
  if (!Done)
    throw std::runtime_error("the SHA-256 digest of a request failed");
  return {read(Bytes.data()), read(Bytes.data() + sizeof(std::uint64_t))};
}

std::string toString(const RequestDigest &Digest) {
  return toString(RequestId{Digest.Hi, Digest.Lo});
}

bool parseRequestDigest(std::string_view Text, RequestDigest &Digest) {
  RequestId Parsed;
  if (!parseRequestId(Text, Parsed))
    return false;
  Digest = {Parsed.Hi, Parsed.Lo};
  return true;
}

} // namespace pimento
