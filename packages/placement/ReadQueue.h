//===- ReadQueue.h - Estimated prefill queue of an engine -------*- C++ -*-===//
//
// An engine prefills one prompt at a time. A part of a prompt that is split
// over several engines goes ahead of all other prompts, including the one that
// is being prefilled; a whole prompt goes to the end. Times are the remaining
// prefill times on an otherwise idle engine.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace pimento {

/// Identifies a request by its entry host and the host's ticket.
using PlacementKey = std::pair<HostId, std::uint64_t>;

struct PrefillItem {
  PlacementKey Key;
  Duration Left = {};
};

struct PrefillQueue {
  std::vector<PrefillItem> Items; // In the order in which they are prefilled.
};

/// Adds an item at the head (\p Ahead) or at the end of the queue.
void pushPrefill(PrefillQueue &Queue, const PlacementKey &Key,
                 Duration PrefillTime, bool Ahead);
/// Advances the queue by \p Elapsed of prefill and removes finished items.
void advancePrefills(PrefillQueue &Queue, Duration Elapsed);
/// Removes all items of a request.
void removePrefill(PrefillQueue &Queue, const PlacementKey &Key);
/// Remaining prefill time of all items.
Duration prefillBacklog(const PrefillQueue &Queue);

} // namespace pimento
