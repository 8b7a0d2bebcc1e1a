//===- Messages.h - All messages between hosts ------------------*- C++ -*-===//
//
//   std::string Bytes = encode(Message(Ping{7, {}, {}}));
//   Result<Message> M = decode(Bytes);
//
// One frame is a CBOR array of the wire version, the type's number and the
// fields. docs/WIRE.md lists the numbers. See Fields.h for how a message may
// change over time.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Result.h"
#include "wire/CallMessages.h"
#include "wire/DocumentMessages.h"
#include "wire/ForwardMessages.h"
#include "wire/LinkMessages.h"
#include "wire/MembershipMessages.h"
#include "wire/MessageList.h"
#include "wire/OperatorMessages.h"
#include "wire/OrderMessages.h"
#include "wire/ReplicaMessages.h"
#include "wire/ScheduleMessages.h"
#include "wire/SiteMessages.h"

#include <string>
#include <string_view>
#include <variant>

namespace pimento {

/// Each part lists its messages in its header.
using MessageVariant =
    JoinedMessages<LinkMessages, ForwardMessages, ReplicaMessages,
                   MembershipMessages, ScheduleMessages, CallMessages,
                   DocumentMessages, OperatorMessages, OrderMessages,
                   SiteMessages>::Variant;

/// Every message. A type of its own, so that the code that copies, moves and
/// destroys each kind is compiled once, in Messages.cpp.
struct Message : MessageVariant {
  using MessageVariant::MessageVariant;
  Message();
  Message(const Message &Other);
  Message(Message &&Other) noexcept;
  Message &operator=(const Message &Other);
  Message &operator=(Message &&Other) noexcept;
  ~Message();
};

/// A message and the host it goes to.
struct Outbound {
  HostId To;
  Message Content;
};

/// Raised when a frame can no longer be read by older hosts.
constexpr std::uint64_t WireVersion = 1;

/// Longest frame, in bytes.
constexpr std::size_t MaxFrameBytes = 4U << 20U;

/// The frame of \p M.
std::string encode(const Message &M);

/// The message in \p Frame. Fails with WireMalformed, WireTooLarge or
/// WireVersion.
Result<Message> decode(std::string_view Frame);

} // namespace pimento
