//===- Book.h - The replicated record of orders -----------------*- C++ -*-===//
//
// The control log carries OrderCommands beside the edits of documents, and
// every replica applies them to the same OrderBook. An order is in the book
// before its first byte leaves, and stays there until its engine is known to
// have carried it out or never to do so. So a successor finds what its
// predecessor left behind, however that ended.
//
//   OrderOutcome O = apply(Book, Command);
//   if (O.Accepted)
//     ... O.Fence is the order's fencing number
//
// Index
//   OrderCommand    what the log carries; encodeCommand(), isOrderCommand()
//   OrderBook       targets, open orders and what ended orders have changed
//   apply()         the only way to change a book
//   encodeBook()    snapshots
//
// Invariants that apply() keeps, whoever proposes
//   An engine has one open order at most.
//   Loads that are open, or being undone, never exceed the limit that the
//   command names.
//   Fencing numbers rise from one order to the next.
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

/// Why an engine's target was changed.
enum class TargetReason : std::uint8_t {
  Document, // A model has fewer engines than its document wants.
  Spread,   // All engines of a model stand in one data centre.
  Demand,   // Requests of a model have been waiting.
  LastCopy, // The engine turned out to hold the only copy of its old model.
};
const char *toString(TargetReason R);

/// How an order ended.
enum class OrderEnd : std::uint8_t {
  Done,
  Fenced,    // The engine has seen a higher number.
  Failed,    // The engine did not carry it out in time; it is as before.
  Undone,    // A load that took too long was ended by an unload.
  Restarted, // The engine has a new life, without the order's effect.
  Gone,      // The engine has been away for too long.
};
const char *toString(OrderEnd E);

const char *toString(OrderKind K);

enum class OrderCommandKind : std::uint8_t { Target, Begin, End, Forget };

struct OrderCommand {
  OrderCommandKind Kind = OrderCommandKind::Begin;
  BackendId Backend;
  Duration At = Duration::zero(); // Leader's wall clock, since 1970.

  // Target.
  ModelName Base;             // Model that the engine is to serve.
  std::string Role;           // Empty: its role is left alone.
  std::uint64_t Revision = 0; // Of the documents that it follows from.
  TargetReason Reason = TargetReason::Document;

  // Begin and End.
  IncarnationNumber Incarnation =
      0; // Of the engine: meant for it; found at the end.

  // Begin.
  OrderKind Order = OrderKind::Load;
  std::string Name;            // Of the order: model or role.
  std::uint64_t Replaces = 0;  // Open order whose place it takes; zero: none.
  std::uint64_t Floor = 0;     // The order's number is to be above it.
  std::uint32_t LoadLimit = 0; // Loads open at once.

  // End.
  std::uint64_t Fence = 0; // Of the order that ended.
  OrderEnd Result = OrderEnd::Done;
};

/// An order that may be under way.
struct OpenOrder {
  std::uint64_t Fence = 0;
  OrderKind Kind = OrderKind::Load;
  std::string Name;
  IncarnationNumber Incarnation = 0; // Of the engine.
  bool HoldsShare = false;        // Takes the place of a load, with its share.
  Duration At = Duration::zero(); // Since 1970.
};

struct EngineBook {
  // The target.
  ModelName Base;                       // Empty: none was ever set.
  std::string Role;                     // Empty: left alone.
  Duration TargetAt = Duration::zero(); // Since 1970.
  std::uint64_t Revision = 0;

  std::optional<OpenOrder> Open;

  // What ended orders have changed in this life of the engine.
  IncarnationNumber Incarnation = 0;
  std::map<ModelName, bool> Changed;   // True: loaded; false: unloaded.
  std::string KnownRole;               // Empty: no order has changed it.
  Duration EndedAt = Duration::zero(); // Of the last order; since 1970.
};

struct OrderBook {
  std::map<BackendId, EngineBook> Engines;
  std::uint64_t LastFence = 0;
};

struct OrderOutcome {
  bool Accepted = false;
  const char *Refusal = ""; // Why not.
  std::uint64_t Fence = 0;  // Of Begin; else zero.
  bool HoldsShare = false;  // Of Begin: it takes the place of a load.
};

/// Applies one command. Deterministic.
OrderOutcome apply(OrderBook &B, const OrderCommand &C);

/// Loads that are open or being undone.
std::uint32_t openLoads(const OrderBook &B);

/// The engine's entry; null where the book has none.
const EngineBook *findEngine(const OrderBook &B, const BackendId &Id);

/// Whether an order of this life of the engine loaded (or unloaded) \p Name
/// and no later one undid it.
bool wasLoaded(const EngineBook *E, IncarnationNumber Incarnation,
               const ModelName &Name);
bool wasUnloaded(const EngineBook *E, IncarnationNumber Incarnation,
                 const ModelName &Name);

/// Whether a command of the control log is one of these; else it is an edit.
bool isOrderCommand(std::string_view Bytes);
std::string encodeCommand(const OrderCommand &C);
/// Fails with WireMalformed or WireVersion.
Result<OrderCommand> decodeOrderCommand(std::string_view Bytes);

std::string encodeBook(const OrderBook &B);
/// Fails with WireMalformed, WireTooLarge or WireVersion.
Result<OrderBook> decodeBook(std::string_view Bytes);

} // namespace pimento
