//===- Evacuation.h - Data centres whose servers get nothing ----*- C++ -*-===//
//
//   EvacuationState S;
//   applyOrder(S, {DataCentreId("north"), /*Start=*/true});
//   if (isEvacuated(S, DataCentreId("north"))) ...
//
// Answers an operator's order that the backend servers of a data centre get
// nothing more, for example before work on its power supply. The control hosts
// keep the state in the replicated log, as orders, and in its snapshots; entry
// hosts merge what control hosts send them. Performs no I/O.
//
// Index
//   EvacuationOrder     what an operator orders
//   applyOrder()        at control hosts, for each committed order
//   applyState()        at entry hosts, for each state received
//   isInForce()         whether an entry host has a revision in force
//   checkOrder()        whether an order can be accepted
//   encode, applyStored the form in the log and its snapshots
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Decision.h"
#include "base/Ids.h"
#include "base/Result.h"
#include "wire/SiteMessages.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace pimento {

/// Limit of the data centres that are evacuated at the same time.
constexpr std::size_t MaxEvacuated = 64;

/// An operator's order about the backend servers of a data centre.
struct EvacuationOrder {
  DataCentreId DataCentre;
  bool Start = true; // False: the servers are used again.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.DataCentre, M.Start);
  }
};

/// Applies an order. Returns whether the state changed; its revision then rises
/// by one. Orders may be repeated.
bool applyOrder(EvacuationState &S, const EvacuationOrder &Order);

/// Replaces the state by one with a higher revision. Returns false, and leaves
/// it as it is, if \p Other has no higher one.
bool applyState(EvacuationState &S, const EvacuationState &Other);

bool isEvacuated(const EvacuationState &S, const DataCentreId &DataCentre);

/// Whether an entry host that reported \p Reported has \p Wanted in force.
/// \p Newest is the newest revision of the log; a host that reports a higher
/// one has the state of another log.
bool isInForce(std::uint64_t Reported, std::uint64_t Wanted,
               std::uint64_t Newest);

/// Returns the names, separated by spaces, for logs.
std::string namesOf(const EvacuationState &S);
/// Starts a decision record about a change of the state.
DecisionRecord recordOf(const EvacuationState &S, const char *Kind,
                        const char *Reason);

/// What a control host knows of the site's data centres.
struct KnownDataCentres {
  std::set<DataCentreId> Names;
  bool IsComplete = false; // The host has run for long enough to have heard of
                           // all; other names are then refused.
};

/// Why an order cannot be accepted.
enum class OrderFault : std::uint8_t {
  None,
  UnknownDataCentre,
  TooMany, // MaxEvacuated are evacuated already.
};

/// Checks an order against the state and the known data centres. An order for a
/// data centre that is evacuated is never refused.
OrderFault checkOrder(const EvacuationState &S, const KnownDataCentres &Known,
                      const EvacuationOrder &Order);

/// Returns the bytes of an order for the log.
std::string encodeOrder(const EvacuationOrder &Order);
/// Returns the bytes of a state for a snapshot.
std::string encodeState(const EvacuationState &S);
/// Applies what encodeOrder() or encodeState() returned. Returns whether the
/// state changed. Fails with WireMalformed or WireTooLarge, and leaves the
/// state as it is, if the bytes cannot be read.
Result<bool> applyStored(EvacuationState &S, std::string_view Bytes);

} // namespace pimento
