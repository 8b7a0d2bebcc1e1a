//===- OrdersInternal.h - Parts of the issuer that its files share -------===//
#pragma once

#include "orders/Orders.h"

namespace pimento::orders {

/// One call of tickOrders().
struct IssuerTurn {
  OrderIssuer &I;
  const OrderInput &In;
  TimePoint Now;
  OrderEffects &Out;
};

/// The engine's record; null where it is gone.
const BackendRecord *findRecord(const OrderInput &In, const BackendId &Id);

bool offers(const BackendRecord &Engine, const ModelName &Name);

/// Whether the engine does not refuse old numbers.
bool ignoresFence(const OrderInput &In, const BackendRecord &Engine);

/// Puts a command on its way; the engine has none other in flight.
void proposeCommand(IssuerTurn &T, OrderCommand Command);

/// Whether an unload of \p Name at \p Engine leaves another copy, or no
/// document wants one.
bool mayUnload(const OrderIssuer &I, const OrderInput &In,
               const BackendRecord &Engine, const ModelName &Name);

/// Whether \p Name belongs to what \p Engine is to serve.
bool wantedHere(const OrderInput &In, const BackendRecord &Engine,
                const ModelName &Name);

/// Follows the open order of one engine by one step.
void stepOrder(IssuerTurn &T, const BackendId &Id, const OpenOrder &Open);

} // namespace pimento::orders
