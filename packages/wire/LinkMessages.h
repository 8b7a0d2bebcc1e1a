//===- LinkMessages.h - Opening a link between two hosts --------*- C++ -*-===//
//
// Both sides send a Challenge at once, and answer the other's with a Hello.
// The shared secret never travels. No other message is taken before a Hello
// with the right proof.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "wire/MessageList.h"

#include <cstdint>
#include <string>

namespace pimento {

struct Challenge {
  static constexpr std::uint16_t WireType = 1;
  std::string Nonce; // Drawn anew for each link.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Nonce);
  }
};

struct Hello {
  static constexpr std::uint16_t WireType = 2;
  HostId Host;
  IncarnationNumber Incarnation = 0; // Of the sender's process.
  std::string Proof;                 // linkProof() of the other side's nonce.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Host, M.Incarnation, M.Proof);
  }
};

/// Shows that the sender knows \p Token: HMAC-SHA-256 over the receiver's
/// nonce, and the sender's name and life.
std::string linkProof(const std::string &Token, const std::string &Nonce,
                      const HostId &Sender, IncarnationNumber Incarnation);

using LinkMessages = MessageList<Challenge, Hello>;

} // namespace pimento
