//===- OrdersInternal.h - Shared by the files of the issuer -----*- C++ -*-===//
//
// Internal; see Orders.h for the interface.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "orders/Orders.h"

namespace pimento::orders {

/// Arguments of one call of tickOrders().
struct IssuerTurn {
  OrderIssuer &I;
  const OrderInput &In;
  TimePoint Now;
  OrderEffects &Out;
};

/// Returns the engine's record, or null if the engine is gone.
const BackendRecord *findRecord(const OrderInput &In, const BackendId &Id);

bool offers(const BackendRecord &Engine, const ModelName &Name);

/// Returns true if the engine does not refuse outdated fencing numbers.
bool ignoresFence(const OrderInput &In, const BackendRecord &Engine);

/// Proposes a command. The engine must have no other command in flight.
void proposeCommand(IssuerTurn &T, OrderCommand Command);

/// Returns true if another engine keeps a copy when \p Engine unloads \p Name,
/// or if no document wants the model.
bool mayUnload(const OrderIssuer &I, const OrderInput &In,
               const BackendRecord &Engine, const ModelName &Name);

/// Returns true if \p Name belongs to the target of \p Engine.
bool wantedHere(const OrderInput &In, const BackendRecord &Engine,
                const ModelName &Name);

/// Advances the open order of one engine by one step.
void stepOrder(IssuerTurn &T, const BackendId &Id, const OpenOrder &Open);

} // namespace pimento::orders
