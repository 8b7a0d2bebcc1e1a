//===- ControlSnapshot.h - The control group's state as bytes ---*- C++ -*-===//
//
// A snapshot of the control log holds documents and orders. Snapshots of an
// earlier version hold only documents and are decoded as well.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Result.h"
#include "document/Store.h"
#include "orders/Book.h"

#include <string>
#include <string_view>

namespace pimento {

struct ControlSnapshot {
  Store Documents;
  OrderBook Orders;
};

std::string encodeControlSnapshot(const Store &Documents,
                                  const OrderBook &Orders);
/// Fails with WireMalformed, WireTooLarge or WireVersion.
Result<ControlSnapshot> decodeControlSnapshot(std::string_view Bytes);

} // namespace pimento
