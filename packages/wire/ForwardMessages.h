//===- ForwardMessages.h - A message handed on for another host -*- C++ -*-===//
#pragma once

#include "base/Ids.h"
#include "wire/Blob.h"
#include "wire/MessageList.h"

#include <cstdint>

namespace pimento {

/// A voter that does not lead hands a request on to the leader. The leader
/// treats it as if Origin had sent it and answers Origin itself. It is not
/// handed on a second time.
struct Forwarded {
  static constexpr std::uint16_t WireType = 3;
  HostId Origin;
  Blob Frame; // encode() of the message.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Origin, M.Frame);
  }
};

using ForwardMessages = MessageList<Forwarded>;

} // namespace pimento
