//===- RoutingUpdate.h - Differences between configurations -----*- C++ -*-===//
//
//   RoutingUpdate U = deltaUpdate(Base, Next);   // At the sender.
//   RoutingVersion Have = InForce;
//   UpdateFault Fault = applyUpdate(U, Have);    // At the receiver.
//
// A change of a large configuration is sent as the difference to one that the
// receiver has, so that its cost grows with the change and not with the table.
// A digest of the whole text proves that the result is what the operator sent.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "wire/SiteMessages.h"

#include <cstdint>
#include <string>

namespace pimento {

/// The text of a configuration as sent by the operator.
struct RoutingVersion {
  std::uint64_t Number = 0; // Of the configuration; zero: none.
  std::string Text;
};

/// Limit of a configuration's text, in bytes.
constexpr std::size_t MaxRoutingBytes = std::size_t{8} << 20U;

/// Why an update could not be applied.
enum class UpdateFault : std::uint8_t {
  None,
  BaseMissing,    // The receiver does not have the update's base.
  Unreadable,     // The update is damaged.
  DigestMismatch, // The result is not the text that the operator sent.
};

const char *toString(UpdateFault Fault);

/// Returns an update that contains the whole text.
RoutingUpdate wholeUpdate(const RoutingVersion &Next);

/// Returns an update that turns \p Base into \p Next, or one with the whole
/// text if that is smaller.
RoutingUpdate deltaUpdate(const RoutingVersion &Base,
                          const RoutingVersion &Next);

/// Replaces \p Have by the configuration of \p Update; leaves it unchanged on a
/// fault.
UpdateFault applyUpdate(const RoutingUpdate &Update, RoutingVersion &Have);

} // namespace pimento
