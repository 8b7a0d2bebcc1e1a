//===- Book.h - The replicated record of orders -----------------*- C++ -*-===//
//
// An order tells an engine to load or unload a model or to change its role. The
// control log carries OrderCommands besides edits of documents, and every
// replica applies them to the same OrderBook. An order is in the book before it
// is sent, and stays there until its engine is known to have executed it or
// never to execute it. A new leader thus finds all open orders of the previous
// one, however that one ended.
//
//   OrderOutcome O = apply(Book, Command);
//   if (O.Accepted)
//     ... O.Fence is the order's fencing number
//
// Index
//   OrderCommand    log entry; encodeCommand(), isOrderCommand()
//   OrderBook       targets, open orders and effects of ended orders
//   apply()         the only way to change a book
//   encodeBook()    snapshots
//
// Invariants that apply() keeps for any sequence of commands
//   An engine has at most one open order.
//   The number of loads that are open or being undone never exceeds the limit
//   that the command names.
//   Fencing numbers increase from one order to the next.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "base/Result.h"
#include "base/Time.h"
#include "engine/Adapter.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace pimento {

constexpr std::size_t MaxBookEngines = 100000;

/// Reason for a change of an engine's target.
enum class TargetReason : std::uint8_t {
  Document, // The model has fewer engines than its document wants.
  Spread,   // All engines of the model are in one data centre.
  Demand,   // The model has had more queued requests than engines for too long.
  LastCopy, // The engine holds the only copy of its previous model.
};
const char *toString(TargetReason R);

/// Outcome of an order.
enum class OrderEnd : std::uint8_t {
  Done,
  Fenced,    // The engine has seen a higher fencing number.
  Failed,    // The engine did not execute the order in time; its state is
             // unchanged.
  Undone,    // An unload replaced a load that took too long or was no longer
             // wanted.
  Restarted, // The engine restarted without the order's effect.
  Gone,      // The engine has been missing from the registry for too long.
};
const char *toString(OrderEnd E);

const char *toString(OrderKind K);

enum class OrderCommandKind : std::uint8_t { Target, Begin, End, Forget };

struct OrderCommand {
  OrderCommandKind Kind = OrderCommandKind::Begin;
  BackendId Backend;
  Duration At = Duration::zero(); // Wall clock of the leader, since 1970.

  // Fields of Target.
  ModelName Base;   // Model that the engine shall serve.
  std::string Role; // Role that the engine shall have; empty: unchanged.
  // Revision of the documents that led to the target.
  std::uint64_t Revision = 0;
  TargetReason Reason = TargetReason::Document;

  // Field of Begin and End.
  IncarnationNumber Incarnation = 0; // Incarnation of the engine: the expected
                                     // one in Begin, the observed one in End.

  // Fields of Begin.
  OrderKind Order = OrderKind::Load;
  std::string Name; // Model to load or unload, or role to set.
  // Fencing number of the open order to replace; zero: none.
  std::uint64_t Replaces = 0;
  std::uint64_t Floor = 0;     // The new fencing number must exceed this.
  std::uint32_t LoadLimit = 0; // Most loads open at once.

  // Fields of End.
  std::uint64_t Fence = 0; // Fencing number of the order that ended.
  OrderEnd Result = OrderEnd::Done;
};

/// An order that has been committed and has not ended.
struct OpenOrder {
  std::uint64_t Fence = 0;
  OrderKind Kind = OrderKind::Load;
  std::string Name;
  // Incarnation of the engine when the order began.
  IncarnationNumber Incarnation = 0;
  // Replaces a load and keeps its share of the load limit.
  bool HoldsShare = false;
  Duration At = Duration::zero(); // Wall clock, since 1970.
};

struct EngineBook {
  // Target of the engine.
  ModelName Base;   // Model that the engine shall serve; empty: never set.
  std::string Role; // Role that the engine shall have; empty: unchanged.
  Duration TargetAt = Duration::zero(); // Wall clock, since 1970.
  std::uint64_t Revision = 0;

  std::optional<OpenOrder> Open;

  // Effects of ended orders in this incarnation of the engine.
  IncarnationNumber Incarnation = 0;
  // True: loaded by an order; false: unloaded by one.
  std::map<ModelName, bool> Changed;
  std::string KnownRole;               // Role set by an order; empty: none.
  Duration EndedAt = Duration::zero(); // End of the last order, since 1970.
};

struct OrderBook {
  std::map<BackendId, EngineBook> Engines;
  std::uint64_t LastFence = 0;
};

struct OrderOutcome {
  bool Accepted = false;
  const char *Refusal = ""; // Reason if not accepted.
  std::uint64_t Fence = 0;  // Fencing number assigned by Begin; else zero.
  bool HoldsShare = false;  // Set by Begin if the order replaces a load.
};

/// Applies one command. Deterministic. A refused command changes no order.
OrderOutcome apply(OrderBook &B, const OrderCommand &C);

/// Returns the number of loads that are open or being undone.
std::uint32_t openLoads(const OrderBook &B);

/// Returns the engine's entry, or null if the book has none.
const EngineBook *findEngine(const OrderBook &B, const BackendId &Id);

/// Returns true if an order loaded (or unloaded) \p Name in this incarnation of
/// the engine and no later order reversed it.
bool wasLoaded(const EngineBook *E, IncarnationNumber Incarnation,
               const ModelName &Name);
bool wasUnloaded(const EngineBook *E, IncarnationNumber Incarnation,
                 const ModelName &Name);

/// Returns true if a command of the control log is an order command. All other
/// commands are edits of documents.
bool isOrderCommand(std::string_view Bytes);
std::string encodeCommand(const OrderCommand &C);
/// Fails with WireMalformed or WireVersion.
Result<OrderCommand> decodeOrderCommand(std::string_view Bytes);

std::string encodeBook(const OrderBook &B);
/// Fails with WireMalformed, WireTooLarge or WireVersion.
Result<OrderBook> decodeBook(std::string_view Bytes);

} // namespace pimento
