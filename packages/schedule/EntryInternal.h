//===- EntryInternal.h - Placement without a scheduler ----------*- C++ -*-===//
//
// Internal; Entry.h is the manual.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "schedule/Entry.h"

namespace pimento {

/// Grants the asks of a cell that has had no holder for long enough, by two
/// random choices over the last reports.
void placeWithoutHolder(EntryState &E, CellId Id, TimePoint Now,
                        EntryEffects &Out);

} // namespace pimento
