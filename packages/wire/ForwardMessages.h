//===- ForwardMessages.h - Messages forwarded to the leader -----*- C++ -*-===//
#pragma once

#include "base/Ids.h"
#include "wire/Blob.h"
#include "wire/MessageList.h"

#include <cstdint>

namespace pimento {

/// A request that a voter forwards to the leader of a replicated log. The
/// leader handles it as if Origin had sent it and replies to Origin directly.
/// A forwarded request is not forwarded again.
struct Forwarded {
  static constexpr std::uint16_t WireType = 3;
  HostId Origin;
  Blob Frame; // The message, encoded by encode().

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Origin, M.Frame);
  }
};

using ForwardMessages = MessageList<Forwarded>;

} // namespace pimento
