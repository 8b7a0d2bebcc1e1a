#include "wire/LinkMessages.h"

#include "base/Token.h"

namespace pimento {

std::string linkProof(const std::string &Token, const std::string &Nonce,
                      const HostId &Sender, IncarnationNumber Incarnation) {
  return hmacSha256Hex(Token, Nonce + "\n" + Sender.Value + "\n" +
                                  std::to_string(Incarnation));
}

} // namespace pimento
