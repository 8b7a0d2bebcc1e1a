//===- PrefillQueue.h - The order in which an engine reads ---------*- C++
//-*-===//
//
// An engine reads one prompt at a time. Part of a prompt that is spread over
// several engines goes ahead of everything that waits or is being read there;
// a whole prompt goes behind everything. Lengths are the reading time that is
// left, were nothing else to do.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace pimento {

/// A request, by the host that holds it.
using PlacementKey = std::pair<HostId, std::uint64_t>;

struct PrefillItem {
  PlacementKey Key;
  Duration Left = {};
};

struct PrefillQueue {
  std::vector<PrefillItem> Items; // In the order in which they are read.
};

void pushPrefill(PrefillQueue &Queue, const PlacementKey &Key,
                 Duration PrefillTime, bool Ahead);
/// \p Elapsed of reading was done.
void advancePrefills(PrefillQueue &Queue, Duration Elapsed);
void removePrefill(PrefillQueue &Queue, const PlacementKey &Key);
/// All that is left to read.
Duration prefillBacklog(const PrefillQueue &Queue);

} // namespace pimento
