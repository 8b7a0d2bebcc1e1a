//===- EngineOrders.h - Loads, unloads and changes of role ------*- C++ -*-===//
#pragma once

#include "fakes/EngineModel.h"

#include <deque>
#include <string>

namespace pimento::fakes {

struct OrderConfig {
  bool ChecksFence = true;               // Refuse outdated fencing numbers.
  Duration LoadTime = milliseconds(200); // For each load, of any size.
  std::uint64_t ModelBytes = 1U << 30U;
  double StoreRate = 4e9; // Bytes per second from the weight store.
};

enum class OrderKind : std::uint8_t { Load, Unload, Role };

struct Order {
  std::uint64_t Fence = 0;
  OrderKind Kind = OrderKind::Load;
  std::string Name; // Name of the model or the role.
};

struct OrderBook {
  OrderConfig Config;
  std::uint64_t Fence = 0;         // Highest seen; 0 if not checked.
  std::deque<std::string> Loading; // The front is being loaded.
  TimePoint LoadedAt = Never;      // Completion of the front.
};
constexpr std::size_t MaxLoads = 16;

enum class OrderOutcome : std::uint8_t {
  Running,
  Done,
  Stale,   // The fencing number is below the highest one seen.
  Busy,    // Too many loads are queued.
  Unknown, // Unknown role.
};

/// Executes or starts \p O. Repeating an order returns its progress.
OrderOutcome apply(Engine &E, OrderBook &Book, const Order &O, TimePoint Now);
/// Completes loads that are due. Returns whether the models have changed.
bool advanceOrders(Engine &E, OrderBook &Book, TimePoint Now);

/// Returns false, and leaves \p Kind unchanged, for an unknown text.
bool parseOrderKind(const std::string &Text, OrderKind &Kind);

} // namespace pimento::fakes
