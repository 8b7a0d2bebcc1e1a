//===- PlacerSearch.h - The best engines for one request --------*- C++ -*-===//
//
// Internal to the placer: weighs plans against each other. A plan is worth
// what its request gains by it, less what the requests lose whose next event
// it makes late.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "gateway/Placer.h"

#include <optional>

namespace pimento::placer {

struct Plan {
  std::vector<PlacedPart> Parts; // The first one writes the answer.
  Duration Forecast = {};        // Until the first event.
  double Penalty = 0;            // Utility of the requests made late.
  double ExpectedPenalty = 0;    // Utility that others may lose by waiting.
  double OnTimeProbability = 0;  // That the first event comes in time.
  bool OnTime = false;           // Of the request itself.
};

/// What a request is worth to its caller, by its size; in no unit.
double utilityOf(const PlacementRequest &Spec);

/// The plan that is worth most; nothing where no engine can take the request.
std::optional<Plan> findPlan(const PlacerState &S, const PlacementRequest &Spec,
                             TimePoint Now);

/// Time to the first event on \p Engines engines with nothing else to do.
Duration minTimeToFirstEvent(const EngineProfile &F,
                             const PlacementRequest &Spec, std::size_t Engines);

/// Part of a late request's worth that is lost.
constexpr double LateUtilityLoss = 0.75;

/// Helpers that one request may have, the first engine included.
constexpr std::size_t MaxParts = 17;

} // namespace pimento::placer
