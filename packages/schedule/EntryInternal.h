//===- EntryInternal.h - Placement without a scheduler ----------*- C++ -*-===//
//
// Internal; see Entry.h for the interface.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "schedule/Entry.h"

namespace pimento {

/// Places the pending requests of a cell that has had no lease holder for
/// LocalPlacementDelay. Takes the less used of two random engines, by their
/// last reports.
void placeWithoutHolder(EntryState &E, CellId Id, TimePoint Now,
                        EntryEffects &Out);

} // namespace pimento
