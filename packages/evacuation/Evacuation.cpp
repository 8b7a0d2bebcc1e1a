#include "evacuation/Evacuation.h"

#include "wire/Fields.h"

#include <algorithm>
#include <optional>

namespace pimento {

namespace {

constexpr JsonLimits StoredLimits = {/*Bytes=*/64U << 10U, /*Depth=*/8,
                                     /*Values=*/1024};

/// One entry of the log, or the whole state in a snapshot.
struct StoredEvacuation {
  std::optional<EvacuationOrder> Order; // Empty: State is used.
  EvacuationState State;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Order, M.State);
  }
};

} // namespace

bool applyOrder(EvacuationState &S, const EvacuationOrder &Order) {
  if (isEvacuated(S, Order.DataCentre) == Order.Start)
    return false;
  auto &List = S.DataCentres;
  auto At = std::lower_bound(List.begin(), List.end(), Order.DataCentre);
  if (Order.Start)
    List.insert(At, Order.DataCentre);
  else
    List.erase(At);
  S.Revision += 1;
  return true;
}

bool applyState(EvacuationState &S, const EvacuationState &Other) {
  if (Other.Revision <= S.Revision)
    return false;
  S = Other;
  // Lookups rely on the order, which a peer may not have kept.
  std::sort(S.DataCentres.begin(), S.DataCentres.end());
  return true;
}

bool isEvacuated(const EvacuationState &S, const DataCentreId &DataCentre) {
  return std::binary_search(S.DataCentres.begin(), S.DataCentres.end(),
                            DataCentre);
}

bool isInForce(std::uint64_t Reported, std::uint64_t Wanted,
               std::uint64_t Newest) {
  return Reported >= Wanted && Reported <= Newest;
}

std::string namesOf(const EvacuationState &S) {
  std::string Names;
  for (const DataCentreId &DataCentre : S.DataCentres)
    Names += (Names.empty() ? "" : " ") + DataCentre.Value;
  return Names;
}

DecisionRecord recordOf(const EvacuationState &S, const char *Kind,
                        const char *Reason) {
  DecisionRecord Record{Kind, {}, Reason, {}};
  Record.add("revision", static_cast<std::int64_t>(S.Revision));
  Record.add("evacuated", namesOf(S));
  return Record;
}

OrderFault checkOrder(const EvacuationState &S, const KnownDataCentres &Known,
                      const EvacuationOrder &Order) {
  if (isEvacuated(S, Order.DataCentre))
    return OrderFault::None;
  if (Known.IsComplete && Known.Names.count(Order.DataCentre) == 0)
    return OrderFault::UnknownDataCentre;
  if (Order.Start && S.DataCentres.size() >= MaxEvacuated)
    return OrderFault::TooMany;
  return OrderFault::None;
}

std::string encodeOrder(const EvacuationOrder &Order) {
  StoredEvacuation Stored;
  Stored.Order = Order;
  return wire::toBytes(Stored);
}

std::string encodeState(const EvacuationState &S) {
  StoredEvacuation Stored;
  Stored.State = S;
  return wire::toBytes(Stored);
}

Result<bool> applyStored(EvacuationState &S, std::string_view Bytes) {
  auto Stored = wire::fromBytes<StoredEvacuation>(Bytes, StoredLimits);
  if (!Stored)
    return Stored.error();
  return Stored->Order ? applyOrder(S, *Stored->Order)
                       : applyState(S, Stored->State);
}

} // namespace pimento
