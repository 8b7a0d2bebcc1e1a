//===- EngineSpeed.h - How slow each engine is ------------------*- C++ -*-===//
//
// An engine may need longer than its data sheet says. A late first event alone
// does not tell which engine is slow: other prompts may have been ahead, and a
// split prompt waits for the slowest of its engines. So a late first event only
// raises a doubt, and each engine in doubt is asked for its load report, which
// says how slow it is:
//
//   for (const BackendId &Id : takeSpeedQueries(S, Now))
//     ...                                   // Asks the engine for its report.
//   recordSlowness(S, Id, Slowness, Now);   // From the answer.
//
// An engine that is known as slow is asked again at intervals until it reports
// the speed of its data sheet. Engines that keep their forecasts are never
// asked.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "gateway/Placer.h"

namespace pimento {

/// Returns the engines to ask for their load reports now and counts them as
/// asked. Few are returned at a time; the rest follow at the next calls.
std::vector<BackendId> takeSpeedQueries(PlacerState &S, TimePoint Now);

/// Returns the time by which takeSpeedQueries() must be called next;
/// TimePoint::max() if no engine is in doubt.
TimePoint nextSpeedQuery(const PlacerState &S);

/// Records an engine's own report of its slowness, the time of its work
/// relative to the data sheet, and corrects the estimated prefills there.
/// Returns the slowness that was believed before.
double recordSlowness(PlacerState &S, const BackendId &Id, double Slowness,
                      TimePoint Now);

/// Time from which a first event that was forecast for \p Forecast, at a
/// request placed at \p Since, is so late that its engines are in doubt;
/// TimePoint::max() without a forecast.
TimePoint doubtAt(TimePoint Since, TimePoint Forecast);

} // namespace pimento
