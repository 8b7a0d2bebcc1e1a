//===- PlacerSearch.h - Search for the engines of a request -----*- C++ -*-===//
//
// Internal to the placer. Compares plans by their net utility: the expected
// utility of the request's answer, less the utility that other requests lose
// because the plan delays their events, less a cost for each engine used.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "placement/Placer.h"

#include <optional>

namespace pimento::placer {

struct Plan {
  std::vector<PlacedPart> Parts; // The first part's engine decodes the answer.
  Duration Forecast = {};        // Forecast time to the first event.
  double Penalty =
      0; // Utility lost by decoding requests whose events are late.
  double ExpectedPenalty = 0;   // Expected utility lost by delayed prefills.
  double OnTimeProbability = 0; // Probability that the first event is in time.
  bool OnTime = false;          // OnTimeProbability is high enough.
};

/// Utility of a request's answer to its caller, by prompt length;
/// dimensionless.
double utilityOf(const PlacementRequest &Spec);

/// Returns the plan with the highest net utility, or nothing if no engine can
/// take the request. Engines that are avoided are used only if no others can.
std::optional<Plan> findPlan(const PlacerState &S, const PlacementRequest &Spec,
                             TimePoint Now);

/// Time to the first event if \p Engines idle engines share the prefill.
Duration minTimeToFirstEvent(const EngineProfile &F,
                             const PlacementRequest &Spec, std::size_t Engines);

/// Share of its utility that a request loses when it is late.
constexpr double LateUtilityLoss = 0.75;

/// Most engines that one request may use, the first one included.
constexpr std::size_t MaxParts = 17;

} // namespace pimento::placer
