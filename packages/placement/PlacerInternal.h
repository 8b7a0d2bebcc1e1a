//===- PlacerInternal.h - Internal interface of the placer ------*- C++ -*-===//
//
// Functions shared by the source files of the placer. Placer.cpp keeps what
// runs on each engine; PlacerQueue.cpp decides which requests get engines now,
// wait or are refused.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "placement/PlacerSearch.h"

namespace pimento::placer {

// Placer.cpp
/// Advances the estimated prefill queues of all engines to \p Now.
void advance(PlacerState &S, TimePoint Now);
/// Drops placed requests that are long past their deadline.
void expire(PlacerState &S, TimePoint Now);
/// Records the request on the engines of the plan and returns the reply.
PlacementReply place(PlacerState &S, const PlacementKey &Key,
                     const PlacementRequest &Spec, Plan Found, TimePoint Now);

// PlacerQueue.cpp
/// Places the request, lets it wait or refuses it. \p Spec contains the times
/// that remain now. Without \p MaySearch, the request is not placed.
PlacementOutcome decide(PlacerState &S, const PlacementKey &Key,
                        const PlacementRequest &Spec, bool MaySearch,
                        TimePoint Now);
/// Adds a request to the queue after its first search.
void enqueue(PlacerState &S, const PlacementKey &Key,
             const PlacementRequest &Spec, TimePoint Now);
/// Removes a request from the queue, if it is there.
void withdraw(PlacerState &S, const PlacementKey &Key);

} // namespace pimento::placer
