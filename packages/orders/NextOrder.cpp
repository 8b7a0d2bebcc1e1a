// The next order of one engine: from what it offers to what it is to offer.

#include "orders/OrdersInternal.h"

#include <algorithm>

namespace pimento {

using namespace orders;

namespace {

/// One engine on its way to its target.
struct TargetDiff {
  const OrderIssuer &I;
  const OrderInput &In;
  const BackendRecord &Engine;
  const EngineBook *Book;

  bool settling() const {
    return Book && In.Wall < Book->EndedAt + I.Config.Settle;
  }

  /// The registry lags behind the orders that have ended.
  bool has(const ModelName &Name) const {
    if (settling() && wasLoaded(Book, Engine.Incarnation, Name))
      return true;
    if (settling() && wasUnloaded(Book, Engine.Incarnation, Name))
      return false;
    return offers(Engine, Name);
  }

  /// Whether the engine offers the target's names and nothing else, as nearly
  /// all do at any time.
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

/// Whether another engine serves \p Name and nothing is under way that could
/// take it away. What an order unloaded never counts, however late the
/// registry hears of it.
bool TargetDiff::isSafeCopyAt(const BackendRecord &Other,
                              const ModelName &Name) const {
  if (Other.Id == Engine.Id || Other.Kind != BackendKind::Engine ||
      Other.Status != BackendStatus::Serving || !offers(Other, Name))
    return false;
  const EngineBook *E = findEngine(In.Book, Other.Id);
  // Another load leaves it alone; a load of it may still be undone.
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

/// What no document wants may go at once. \p MustWait: another copy must come
/// up first.
std::optional<NextOrder> TargetDiff::unloadOf(const ModelName &Name,
                                              bool &MustWait) const {
  NextOrder Order;
  Order.Kind = OrderKind::Unload;
  Order.Name = Name.Value;
  const WantedModel *Model = modelOf(In.Wanted, Name);
  if (!Model || Model->Replicas == 0) {
    Order.Reason = "no document wants it";
    return Order;
  }
  Order.Reason = "the engine is to serve another model";
  Order.OtherCopies = otherCopies(Name);
  if (Order.OtherCopies > 0)
    return Order;
  MustWait = true;
  return std::nullopt;
}

/// Adapters and versions go before their model.
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
    // What neither a document nor an order brought here is left alone.
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
  Order.Reason = "the engine lacks it";
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
  Order.Reason = "the engine is to have this role";
  return Order;
}

} // namespace pimento
