//===- Messages.h - All messages between hosts ------------------*- C++ -*-===//
//
//   std::string Bytes = encode(Message(Ping{7, {}, {}}));
//   Result<Message> M = decode(Bytes);
//
// A frame is a CBOR array of the wire version, the number of the message type
// (WireType) and the array of the message's fields. docs/WIRE.md lists the
// numbers. Fields.h describes which changes of a message are compatible.
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
#include "wire/RelayMessages.h"
#include "wire/ReplicaMessages.h"
#include "wire/ScheduleMessages.h"
#include "wire/SiteMessages.h"

#include <string>
#include <string_view>
#include <variant>

namespace pimento {

/// All message types. Each *Messages.h header lists its own.
using MessageVariant =
    JoinedMessages<LinkMessages, ForwardMessages, ReplicaMessages,
                   MembershipMessages, ScheduleMessages, CallMessages,
                   DocumentMessages, OperatorMessages, OrderMessages,
                   SiteMessages, RelayMessages>::Variant;

/// A message of any type. This is a class rather than an alias so that the code
/// that copies, moves and destroys the variant is compiled once, in
/// Messages.cpp.
struct Message : MessageVariant {
  using MessageVariant::MessageVariant;
  Message();
  Message(const Message &Other);
  Message(Message &&Other) noexcept;
  Message &operator=(const Message &Other);
  Message &operator=(Message &&Other) noexcept;
  ~Message();
};

/// A message and the host to which it is sent.
struct Outbound {
  HostId To;
  Message Content;
};

/// The kind of link between two hosts that carries the message.
LinkLane laneOf(const Message &M);

/// Version of the frame format. Increased when older hosts can no longer read
/// the frames; a host rejects every other version.
constexpr std::uint64_t WireVersion = 1;

/// Maximum length of a frame in bytes.
constexpr std::size_t MaxFrameBytes = 4U << 20U;

/// Encodes \p M as a frame.
std::string encode(const Message &M);

/// Decodes the message in \p Frame. Fails with WireTooLarge if a limit is
/// exceeded, with WireVersion if the frame has another version, and with
/// WireMalformed for any other error.
Result<Message> decode(std::string_view Frame);

} // namespace pimento
