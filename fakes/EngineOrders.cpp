#include "fakes/EngineOrders.h"

#include <algorithm>

namespace pimento::fakes {

namespace {

Duration loadTime(const OrderConfig &Config) {
  return Config.LoadTime +
         fromSeconds(static_cast<double>(Config.ModelBytes) / Config.StoreRate);
}

OrderOutcome load(Engine &E, OrderBook &Book, const std::string &Name,
                  TimePoint Now) {
  if (E.Models.count(Name) > 0)
    return OrderOutcome::Done;
  auto &Loads = Book.Loading;
  if (std::find(Loads.begin(), Loads.end(), Name) != Loads.end())
    return OrderOutcome::Running;
  if (Loads.size() >= MaxLoads)
    return OrderOutcome::Busy;
  if (Loads.empty())
    Book.LoadedAt = Now + loadTime(Book.Config);
  Loads.push_back(Name);
  return OrderOutcome::Running;
}

OrderOutcome unload(Engine &E, OrderBook &Book, const std::string &Name,
                    TimePoint Now) {
  E.Models.erase(Name);
  auto &Loads = Book.Loading;
  auto It = std::find(Loads.begin(), Loads.end(), Name);
  if (It == Loads.end())
    return OrderOutcome::Done;
  bool First = It == Loads.begin();
  Loads.erase(It);
  if (First)
    Book.LoadedAt = Loads.empty() ? Never : Now + loadTime(Book.Config);
  return OrderOutcome::Done;
}

OrderOutcome changeRole(Engine &E, const std::string &Name) {
  for (EngineRole Role :
       {EngineRole::Both, EngineRole::Prefill, EngineRole::Decode}) {
    if (Name != toString(Role))
      continue;
    E.Role = Role;
    return OrderOutcome::Done;
  }
  return OrderOutcome::Unknown;
}

} // namespace

OrderOutcome apply(Engine &E, OrderBook &Book, const Order &O, TimePoint Now) {
  advanceOrders(E, Book, Now);
  if (Book.Config.ChecksFence) {
    if (O.Fence < Book.Fence)
      return OrderOutcome::Stale;
    Book.Fence = O.Fence;
  }
  switch (O.Kind) {
  case OrderKind::Load:
    return load(E, Book, O.Name, Now);
  case OrderKind::Unload:
    return unload(E, Book, O.Name, Now);
  case OrderKind::Role:
    return changeRole(E, O.Name);
  }
  return OrderOutcome::Unknown;
}

bool advanceOrders(Engine &E, OrderBook &Book, TimePoint Now) {
  bool Changed = false;
  while (!Book.Loading.empty() && Book.LoadedAt <= Now) {
    E.Models.insert(Book.Loading.front());
    Book.Loading.pop_front();
    Book.LoadedAt =
        Book.Loading.empty() ? Never : Book.LoadedAt + loadTime(Book.Config);
    Changed = true;
  }
  return Changed;
}

bool parseOrderKind(const std::string &Text, OrderKind &Kind) {
  if (Text == "load")
    Kind = OrderKind::Load;
  else if (Text == "unload")
    Kind = OrderKind::Unload;
  else if (Text == "role")
    Kind = OrderKind::Role;
  else
    return false;
  return true;
}

} // namespace pimento::fakes
