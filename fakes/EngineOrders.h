//===- EngineOrders.h - Loads, unloads and changes of role ------*- C++ -*-===//
#pragma once

#include "fakes/EngineModel.h"

#include <deque>
#include <string>

namespace pimento::fakes {

struct OrderConfig {
  bool ChecksFence = true;               // Whether an old number is refused.
  Duration LoadTime = milliseconds(200); // Of each load, whatever its size.
  std::uint64_t ModelBytes = 1U << 30U;
  double StoreRate = 4e9; // Bytes a second from the weight store.
};

enum class OrderKind : std::uint8_t { Load, Unload, Role };

struct Order {
  std::uint64_t Fence = 0;
  OrderKind Kind = OrderKind::Load;
  std::string Name; // Model, or role.
};

struct OrderBook {
  OrderConfig Config;
  std::uint64_t Fence = 0;         // Highest seen; stays 0 unless it checks.
  std::deque<std::string> Loading; // The first is being loaded.
  TimePoint LoadedAt = Never;      // When the first one is there.
};
constexpr std::size_t MaxLoads = 16;

enum class OrderOutcome : std::uint8_t {
  Running,
  Done,
  Stale,   // Its number is below the highest one seen.
  Busy,    // Too many loads wait.
  Unknown, // No such role.
};

/// Carries out \p O, or begins to. The same order again tells how far it is.
OrderOutcome apply(Engine &E, OrderBook &Book, const Order &O, TimePoint Now);
/// Ends loads that are due. True where the models have changed.
bool advanceOrders(Engine &E, OrderBook &Book, TimePoint Now);

/// False, and \p Kind untouched, for any other text.
bool parseOrderKind(const std::string &Text, OrderKind &Kind);

} // namespace pimento::fakes
