#include "orders/Book.h"

#include "wire/Fields.h"

#include <algorithm>

namespace pimento {

namespace {

// Edits of documents have version 1. A replica that knows only edits skips
// commands of any other version.
constexpr std::uint64_t CommandVersion = 2;
constexpr std::uint64_t SnapshotVersion = 1;
constexpr JsonLimits CommandLimits = {64U << 10U, /*Depth=*/4, /*Values=*/64};
constexpr JsonLimits SnapshotLimits = {256U << 20U, /*Depth=*/8,
                                       /*Values=*/1U << 24U};

struct CommandRecord {
  std::uint64_t Version = CommandVersion;
  OrderCommandKind Kind = OrderCommandKind::Begin;
  BackendId Backend;
  std::int64_t AtMs = 0; // Wall clock, since 1970.
  ModelName Base;
  std::string Role;
  std::uint64_t Revision = 0;
  TargetReason Reason = TargetReason::Document;
  IncarnationNumber Incarnation = 0;
  OrderKind Order = OrderKind::Load;
  std::string Name;
  std::uint64_t Replaces = 0;
  std::uint64_t Floor = 0;
  std::uint32_t LoadLimit = 0;
  std::uint64_t Fence = 0;
  OrderEnd Result = OrderEnd::Done;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Version, M.Kind, M.Backend, M.AtMs, M.Base, M.Role, M.Revision,
          M.Reason, M.Incarnation, M.Order, M.Name, M.Replaces, M.Floor,
          M.LoadLimit, M.Fence, M.Result);
  }
};

struct OpenRecord {
  std::uint64_t Fence = 0;
  OrderKind Kind = OrderKind::Load;
  std::string Name;
  IncarnationNumber Incarnation = 0;
  bool HoldsShare = false;
  std::int64_t AtMs = 0;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Fence, M.Kind, M.Name, M.Incarnation, M.HoldsShare, M.AtMs);
  }
};

struct EngineRecord {
  BackendId Backend;
  ModelName Base;
  std::string Role;
  std::int64_t TargetAtMs = 0;
  std::uint64_t Revision = 0;
  std::optional<OpenRecord> Open;
  IncarnationNumber Incarnation = 0;
  std::vector<ModelName> Loaded;
  std::vector<ModelName> Unloaded;
  std::string KnownRole;
  std::int64_t EndedAtMs = 0;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Backend, M.Base, M.Role, M.TargetAtMs, M.Revision, M.Open,
          M.Incarnation, M.Loaded, M.Unloaded, M.KnownRole, M.EndedAtMs);
  }
};

struct BookRecord {
  std::uint64_t Version = SnapshotVersion;
  std::uint64_t LastFence = 0;
  std::vector<EngineRecord> Engines;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Version, M.LastFence, M.Engines);
  }
};

struct VersionOnly {
  std::uint64_t Version = 0;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Version);
  }
};

bool isLoad(const OpenOrder &O) {
  return O.Kind == OrderKind::Load || O.HoldsShare;
}

OrderOutcome refuse(const char *Why) { return {false, Why, 0, false}; }

OrderOutcome setTarget(EngineBook &E, const OrderCommand &C) {
  E.Base = C.Base;
  E.Role = C.Role;
  E.TargetAt = std::max(E.TargetAt, C.At);
  E.Revision = std::max(E.Revision, C.Revision);
  return {true, "", 0, false};
}

OrderOutcome begin(OrderBook &B, EngineBook &E, const OrderCommand &C) {
  bool Replaces = E.Open && C.Replaces == E.Open->Fence;
  if (E.Open && !Replaces)
    return refuse("the engine has an open order");
  if (!E.Open && C.Replaces != 0)
    return refuse("the order to be replaced has ended");
  bool HasShare = Replaces && isLoad(*E.Open);
  if (C.Order == OrderKind::Load && !HasShare && openLoads(B) >= C.LoadLimit)
    return refuse("the limit of open loads is reached");
  B.LastFence = std::max(B.LastFence, C.Floor) + 1;
  bool OfLoad = HasShare && C.Order != OrderKind::Load;
  E.Open = OpenOrder{B.LastFence, C.Order, C.Name, C.Incarnation, OfLoad, C.At};
  return {true, "", B.LastFence, OfLoad};
}

void noteDone(EngineBook &E, const OpenOrder &O,
              IncarnationNumber Incarnation) {
  if (Incarnation != E.Incarnation) {
    E.Incarnation = Incarnation;
    E.Changed.clear();
    E.KnownRole.clear();
  }
  if (O.Kind == OrderKind::Role)
    E.KnownRole = O.Name;
  else
    E.Changed[ModelName(O.Name)] = O.Kind == OrderKind::Load;
}

OrderOutcome end(EngineBook &E, const OrderCommand &C) {
  if (!E.Open || E.Open->Fence != C.Fence)
    return refuse("no order with this fencing number is open");
  if (C.Result == OrderEnd::Done || C.Result == OrderEnd::Undone)
    noteDone(E, *E.Open, C.Incarnation);
  E.EndedAt = std::max(E.EndedAt, C.At);
  E.Open.reset();
  return {true, "", 0, false};
}

OrderOutcome forget(OrderBook &B, const BackendId &Id) {
  auto Found = B.Engines.find(Id);
  if (Found == B.Engines.end() || Found->second.Open)
    return refuse("the engine has an open order or no entry");
  B.Engines.erase(Found);
  return {true, "", 0, false};
}

EngineRecord recordOf(const BackendId &Id, const EngineBook &E) {
  EngineRecord R;
  R.Backend = Id;
  R.Base = E.Base;
  R.Role = E.Role;
  R.TargetAtMs = toMilliseconds(E.TargetAt);
  R.Revision = E.Revision;
  if (E.Open)
    R.Open = OpenRecord{E.Open->Fence,      E.Open->Kind,
                        E.Open->Name,       E.Open->Incarnation,
                        E.Open->HoldsShare, toMilliseconds(E.Open->At)};
  R.Incarnation = E.Incarnation;
  for (const auto &[Name, Loaded] : E.Changed)
    (Loaded ? R.Loaded : R.Unloaded).push_back(Name);
  R.KnownRole = E.KnownRole;
  R.EndedAtMs = toMilliseconds(E.EndedAt);
  return R;
}

EngineBook engineOf(const EngineRecord &R) {
  EngineBook E;
  E.Base = R.Base;
  E.Role = R.Role;
  E.TargetAt = milliseconds(R.TargetAtMs);
  E.Revision = R.Revision;
  if (R.Open)
    E.Open = OpenOrder{R.Open->Fence,      R.Open->Kind,
                       R.Open->Name,       R.Open->Incarnation,
                       R.Open->HoldsShare, milliseconds(R.Open->AtMs)};
  E.Incarnation = R.Incarnation;
  for (const ModelName &Name : R.Loaded)
    E.Changed[Name] = true;
  for (const ModelName &Name : R.Unloaded)
    E.Changed[Name] = false;
  E.KnownRole = R.KnownRole;
  E.EndedAt = milliseconds(R.EndedAtMs);
  return E;
}

bool changedTo(const EngineBook *E, IncarnationNumber Incarnation,
               const ModelName &Name, bool Loaded) {
  if (!E || E->Incarnation != Incarnation)
    return false;
  auto Found = E->Changed.find(Name);
  return Found != E->Changed.end() && Found->second == Loaded;
}

} // namespace

const char *toString(TargetReason R) {
  switch (R) {
  case TargetReason::Document:
    return "a document wants more engines of the model";
  case TargetReason::Spread:
    return "all engines of the model are in one data centre";
  case TargetReason::Demand:
    return "the model has had more queued requests than engines for too long";
  case TargetReason::LastCopy:
    return "the engine holds the only copy of its old model";
  }
  return "";
}

const char *toString(OrderEnd E) {
  switch (E) {
  case OrderEnd::Done:
    return "done";
  case OrderEnd::Fenced:
    return "fenced";
  case OrderEnd::Failed:
    return "failed";
  case OrderEnd::Undone:
    return "undone";
  case OrderEnd::Restarted:
    return "restarted";
  case OrderEnd::Gone:
    return "gone";
  }
  return "";
}

const char *toString(OrderKind K) {
  switch (K) {
  case OrderKind::Load:
    return "load";
  case OrderKind::Unload:
    return "unload";
  case OrderKind::Role:
    return "role";
  }
  return "";
}

OrderOutcome apply(OrderBook &B, const OrderCommand &C) {
  if (C.Backend.empty())
    return refuse("the command names no engine");
  if (C.Kind == OrderCommandKind::Forget)
    return forget(B, C.Backend);
  if (B.Engines.count(C.Backend) == 0 && B.Engines.size() >= MaxBookEngines)
    return refuse("the book has reached its limit of engines");
  EngineBook &E = B.Engines[C.Backend];
  switch (C.Kind) {
  case OrderCommandKind::Target:
    return setTarget(E, C);
  case OrderCommandKind::Begin:
    return begin(B, E, C);
  case OrderCommandKind::End:
    return end(E, C);
  case OrderCommandKind::Forget:
    break;
  }
  return refuse("the command's kind is unknown");
}

std::uint32_t openLoads(const OrderBook &B) {
  return static_cast<std::uint32_t>(
      std::count_if(B.Engines.begin(), B.Engines.end(), [](const auto &Entry) {
        return Entry.second.Open && isLoad(*Entry.second.Open);
      }));
}

const EngineBook *findEngine(const OrderBook &B, const BackendId &Id) {
  auto Found = B.Engines.find(Id);
  return Found == B.Engines.end() ? nullptr : &Found->second;
}

bool wasLoaded(const EngineBook *E, IncarnationNumber Incarnation,
               const ModelName &Name) {
  return changedTo(E, Incarnation, Name, true);
}

bool wasUnloaded(const EngineBook *E, IncarnationNumber Incarnation,
                 const ModelName &Name) {
  return changedTo(E, Incarnation, Name, false);
}

bool isOrderCommand(std::string_view Bytes) {
  Failure Why;
  VersionOnly Read = valueOr<VersionOnly>(
      [&] {
        return wire::fromBytes<VersionOnly>(Bytes, {4U << 20U, 4, 64});
      },
      VersionOnly(), Why);
  return Read.Version == CommandVersion;
}

std::string encodeCommand(const OrderCommand &C) {
  CommandRecord R;
  R.Kind = C.Kind;
  R.Backend = C.Backend;
  R.AtMs = toMilliseconds(C.At);
  R.Base = C.Base;
  R.Role = C.Role;
  R.Revision = C.Revision;
  R.Reason = C.Reason;
  R.Incarnation = C.Incarnation;
  R.Order = C.Order;
  R.Name = C.Name;
  R.Replaces = C.Replaces;
  R.Floor = C.Floor;
  R.LoadLimit = C.LoadLimit;
  R.Fence = C.Fence;
  R.Result = C.Result;
  return wire::toBytes(R);
}

Result<OrderCommand> decodeOrderCommand(std::string_view Bytes) {
  auto Read = wire::fromBytes<CommandRecord>(Bytes, CommandLimits);
  if (!Read)
    return Read.error();
  if (Read->Version != CommandVersion)
    return fail(Code::WireVersion, "the command's version is not known");
  OrderCommand C;
  C.Kind = Read->Kind;
  C.Backend = Read->Backend;
  C.At = milliseconds(Read->AtMs);
  C.Base = Read->Base;
  C.Role = Read->Role;
  C.Revision = Read->Revision;
  C.Reason = Read->Reason;
  C.Incarnation = Read->Incarnation;
  C.Order = Read->Order;
  C.Name = Read->Name;
  C.Replaces = Read->Replaces;
  C.Floor = Read->Floor;
  C.LoadLimit = Read->LoadLimit;
  C.Fence = Read->Fence;
  C.Result = Read->Result;
  return C;
}

std::string encodeBook(const OrderBook &B) {
  BookRecord R;
  R.LastFence = B.LastFence;
  for (const auto &[Id, Engine] : B.Engines)
    R.Engines.push_back(recordOf(Id, Engine));
  return wire::toBytes(R);
}

Result<OrderBook> decodeBook(std::string_view Bytes) {
  auto Read = wire::fromBytes<BookRecord>(Bytes, SnapshotLimits);
  if (!Read)
    return Read.error();
  if (Read->Version != SnapshotVersion)
    return fail(Code::WireVersion, "the snapshot's version is not known");
  OrderBook B;
  B.LastFence = Read->LastFence;
  for (const EngineRecord &R : Read->Engines)
    B.Engines[R.Backend] = engineOf(R);
  return B;
}

} // namespace pimento
