//===- LinkMessages.h - Opening a link between two hosts --------*- C++ -*-===//
//
// Mutual authentication by challenge and response. Each side sends a Challenge
// as soon as the connection is open and answers the other side's Challenge with
// a Hello. The shared secret is never sent. Any other message is rejected until
// a Hello with a valid proof has arrived.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "wire/MessageList.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace pimento {

/// Messages of different lanes between two hosts travel on links of their own.
enum class LinkLane : std::uint8_t {
  Site,  // Heartbeats, placement and all else that is short.
  Relay, // Requests that are handed over, with their bodies and answers.
};

constexpr std::size_t LinkLanes = 2;

struct Challenge {
  static constexpr std::uint16_t WireType = 1;
  std::string Nonce; // Random; a new one for each link.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Nonce);
  }
};

struct Hello {
  static constexpr std::uint16_t WireType = 2;
  HostId Host;
  IncarnationNumber Incarnation = 0; // Incarnation of the sender's process.
  std::string Proof;                 // linkProof() over the receiver's nonce.
  LinkLane Lane = LinkLane::Site; // What the link is for; its opener says it.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Host, M.Incarnation, M.Proof, M.Lane);
  }
};

/// Proves that the sender knows \p Token: HMAC-SHA-256 over the receiver's
/// nonce, the sender's name and its incarnation.
std::string linkProof(const std::string &Token, const std::string &Nonce,
                      const HostId &Sender, IncarnationNumber Incarnation);

using LinkMessages = MessageList<Challenge, Hello>;

} // namespace pimento
