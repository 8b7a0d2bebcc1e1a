// Computes the next order of one engine from the difference between the models
// that it offers and its target.

#include "orders/OrdersInternal.h"

#include <algorithm>

namespace pimento {

using namespace orders;

namespace {

/// The difference between an engine's models and its target.
struct TargetDiff {
  const OrderIssuer &I;
  const OrderInput &In;
  const BackendRecord &Engine;
  const EngineBook *Book;

  bool settling() const {
    return Book && In.Wall < Book->EndedAt + I.Config.Settle;
  }

  /// Returns true if the engine has \p Name. The registry lags behind orders
  /// that have ended, so their effects take precedence for a while.
  bool has(const ModelName &Name) const {
    if (settling() && wasLoaded(Book, Engine.Incarnation, Name))
      return true;
    if (settling() && wasUnloaded(Book, Engine.Incarnation, Name))
      return false;
    return offers(Engine, Name);
  }

  /// Returns true if the engine offers exactly the target's names. A quick
  /// check, since nearly all engines do at any time.
  bool isAtTarget(const WantedModel &Target) const {
    if (settling() || Engine.Models.size() != Target.Extras.size() + 1)
      return false;
    return std::all_of(
        Engine.Models.begin(), Engine.Models.end(), [&](const ModelName &Name) {
          return Name == Target.Name || Target.Extras.count(Name) > 0;
        });
  }

  bool isSafeCopyAt(const BackendRecord &Other, const ModelName &Name) const;
  std::size_t otherCopies(const ModelName &Name) const;
  std::optional<NextOrder> unloadOf(const ModelName &Name,
                                    bool &MustWait) const;
  std::optional<NextOrder> firstUnload(const WantedModel *Target,
                                       bool &MustWait) const;
  std::optional<NextOrder> firstLoad(const WantedModel &Target) const;
};

/// Returns true if \p Other serves \p Name and no order in progress can remove
/// it. A model that an order has unloaded does not count, even if the registry
/// still lists it.
bool TargetDiff::isSafeCopyAt(const BackendRecord &Other,
                              const ModelName &Name) const {
  if (Other.Id == Engine.Id || Other.Kind != BackendKind::Engine ||
      Other.Status != BackendStatus::Serving || !offers(Other, Name))
    return false;
  const EngineBook *E = findEngine(In.Book, Other.Id);
  // A load of another model does not affect Name; a load of Name itself may
  // still be undone.
  bool Safe = !E || !E->Open ||
              (E->Open->Kind == OrderKind::Load && E->Open->Name != Name.Value);
  if (!Safe)
    return false;
  auto Issue = I.Engines.find(Other.Id);
  if (Issue != I.Engines.end() && Issue->second.Ticket != 0)
    return false;
  return !wasUnloaded(E, Other.Incarnation, Name);
}

std::size_t TargetDiff::otherCopies(const ModelName &Name) const {
  return static_cast<std::size_t>(std::count_if(
      In.Engines.begin(), In.Engines.end(),
      [&](const BackendRecord *Other) { return isSafeCopyAt(*Other, Name); }));
}

/// Returns an unload of \p Name. A model that no document wants may be unloaded
/// at once. Otherwise another copy is required; if there is none yet, sets \p
/// MustWait.
std::optional<NextOrder> TargetDiff::unloadOf(const ModelName &Name,
                                              bool &MustWait) const {
  NextOrder Order;
  Order.Kind = OrderKind::Unload;
  Order.Name = Name.Value;
  const WantedModel *Model = modelOf(In.Wanted, Name);
  if (!Model || Model->Replicas == 0) {
    Order.Reason = "no document wants the model";
    return Order;
  }
  Order.Reason = "the engine's target is another model";
  Order.OtherCopies = otherCopies(Name);
  if (Order.OtherCopies > 0)
    return Order;
  MustWait = true;
  return std::nullopt;
}

/// Returns the first unload that is due. Adapters and versions are unloaded
/// before their model.
std::optional<NextOrder> TargetDiff::firstUnload(const WantedModel *Target,
                                                 bool &MustWait) const {
  std::vector<ModelName> Names = Engine.Models;
  std::stable_partition(Names.begin(), Names.end(), [&](const ModelName &Name) {
    return In.Wanted.count(Name) == 0;
  });
  for (const ModelName &Name : Names) {
    if (Target && (Name == Target->Name || Target->Extras.count(Name) > 0))
      continue;
    const WantedModel *Model = modelOf(In.Wanted, Name);
    // Keep models that no document names and no order has loaded.
    if (!Model && !wasLoaded(Book, Engine.Incarnation, Name))
      continue;
    if (!has(Name) || (!Target && Model && Model->Replicas > 0))
      continue;
    if (auto Order = unloadOf(Name, MustWait))
      return Order;
  }
  return std::nullopt;
}

std::optional<NextOrder>
TargetDiff::firstLoad(const WantedModel &Target) const {
  NextOrder Order;
  Order.Reason = "the engine does not offer the model yet";
  if (!has(Target.Name)) {
    Order.Name = Target.Name.Value;
    return Order;
  }
  for (const ModelName &Name : Target.Extras) {
    if (has(Name))
      continue;
    Order.Name = Name.Value;
    return Order;
  }
  return std::nullopt;
}

} // namespace

namespace orders {

bool mayUnload(const OrderIssuer &I, const OrderInput &In,
               const BackendRecord &Engine, const ModelName &Name) {
  const EngineBook *Book = findEngine(In.Book, Engine.Id);
  bool MustWait = false;
  return TargetDiff{I, In, Engine, Book}.unloadOf(Name, MustWait).has_value();
}

bool wantedHere(const OrderInput &In, const BackendRecord &Engine,
                const ModelName &Name) {
  auto Target = In.Wanted.find(servedModel(In.Wanted, In.Book, Engine));
  if (Target == In.Wanted.end())
    return false;
  return Target->first == Name || Target->second.Extras.count(Name) > 0;
}

} // namespace orders

std::optional<NextOrder> nextOrder(const OrderIssuer &I, const OrderInput &In,
                                   const BackendRecord &Engine) {
  const EngineBook *Book = findEngine(In.Book, Engine.Id);
  TargetDiff D{I, In, Engine, Book};
  auto Wanted = In.Wanted.find(servedModel(In.Wanted, In.Book, Engine));
  const WantedModel *Target =
      Wanted == In.Wanted.end() ? nullptr : &Wanted->second;
  if (!Target || !D.isAtTarget(*Target)) {
    bool MustWait = false;
    if (auto Order = D.firstUnload(Target, MustWait))
      return Order;
    if (MustWait || !Target)
      return std::nullopt;
    if (auto Order = D.firstLoad(*Target))
      return Order;
  }
  bool RoleKnown = Book && Book->Incarnation == Engine.Incarnation &&
                   Book->KnownRole == Book->Role;
  if (!Book || Book->Role.empty() || RoleKnown)
    return std::nullopt;
  NextOrder Order;
  Order.Kind = OrderKind::Role;
  Order.Name = Book->Role;
  Order.Reason = "the target names this role";
  return Order;
}

} // namespace pimento
