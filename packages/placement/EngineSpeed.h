//===- EngineSpeed.h - How slow each engine is ------------------*- C++ -*-===//
//
// An engine may need longer than its data sheet says. A late first event alone
// does not tell which engine is slow: other prompts may have been ahead, and a
// split prompt waits for the slowest of its engines. So a late first event only
// makes its engines suspect, and each of them is queried for its load report,
// which says how slow it is:
//
//   for (const BackendId &Id : takeSpeedQueries(S, Now))
//     ...                                   // Queries the engine's report.
//   recordSlowness(S, Id, Slowness, Now);   // From the answer.
//
// An engine that is known as slow is queried again at intervals until it
// reports the speed of its data sheet. Engines that keep their forecasts are
// never queried.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "placement/Placer.h"

namespace pimento {

/// Returns the engines whose load reports are to be queried now and counts them
/// as queried. Few are returned at a time; the rest follow at the next calls.
std::vector<BackendId> takeSpeedQueries(PlacerState &S, TimePoint Now);

/// Returns the time by which takeSpeedQueries() must be called next;
/// TimePoint::max() if no engine is suspected.
TimePoint nextSpeedQuery(const PlacerState &S);

/// Records an engine's own report of its slowness, the time of its work
/// relative to the data sheet, and corrects the estimated prefills there.
/// Returns the slowness that was believed before.
double recordSlowness(PlacerState &S, const BackendId &Id, double Slowness,
                      TimePoint Now);

/// Time from which a first event that was forecast for \p Forecast, at a
/// request placed at \p Since, is so late that its engines are suspected;
/// TimePoint::max() without a forecast.
TimePoint suspectAt(TimePoint Since, TimePoint Forecast);

} // namespace pimento
