//===- Prefix.h - Index of prefixes cached by engines -----------*- C++ -*-===//
//
// Records which engine of a cell probably caches which prompt prefix, from the
// engines' cache events. The index gives hints only: a wrong one makes a
// placement slower and nothing else. Events may come late or be lost. A gap in
// their sequence drops all hints of that engine, since removals may have been
// missed.
//
// Memory is bounded: one entry for each hash, with one bit for each engine of
// the cell. The least recently used entries are evicted first.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "wire/MembershipMessages.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace pimento {

/// Tokens covered by the first hash of a prompt; each further hash covers twice
/// as many.
constexpr std::uint64_t FirstPrefixTokens = 1024;

/// Most engines with hints; further engines have none.
constexpr unsigned PrefixSlots = 64;
constexpr unsigned NoPrefixSlot = PrefixSlots;

/// Bytes per entry, including list and hash nodes.
constexpr std::uint64_t PrefixEntryBytes = 96;

struct PrefixEntry {
  std::uint64_t Hash = 0;
  std::uint64_t Engines = 0; // Bit set over slots.
};

/// Position in one engine's stream of cache events.
struct PrefixSource {
  IncarnationNumber Incarnation = 0;
  std::uint64_t NextSequence = 0; // Next expected event; zero: no event yet.
  // Number of gaps, each of which dropped all hints of the engine.
  std::uint64_t Gaps = 0;
};

struct PrefixIndex {
  std::uint64_t MaxEntries = 0;  // Bound that follows from the memory budget.
  std::list<PrefixEntry> Recent; // Most recently used first.
  std::unordered_map<std::uint64_t, std::list<PrefixEntry>::iterator> ByHash;
  std::vector<PrefixSource> Sources; // Indexed by slot.
  std::uint64_t UsedSlots = 0;       // Bit set over slots.
};

PrefixIndex makePrefixIndex(std::uint64_t BudgetBytes);

/// Allocates a slot for a new engine, or returns NoPrefixSlot if all are taken.
/// Freeing a slot drops all hints of its engine.
unsigned takePrefixSlot(PrefixIndex &Index);
void freePrefixSlot(PrefixIndex &Index, unsigned Slot);

/// Applies an engine's cache events. Returns false if a gap in the sequence or
/// a new incarnation of the engine dropped its earlier hints.
bool applyCacheEvents(PrefixIndex &Index, unsigned Slot, const LoadReport &R);

/// Records that an engine has prefilled a prompt, before its own cache events
/// arrive.
void notePrefill(PrefixIndex &Index, unsigned Slot,
                 const std::vector<std::uint64_t> &Prefixes);

/// Writes for each slot the estimated prompt tokens that its engine has cached.
/// \p Tokens must have at least PrefixSlots elements; further elements are set
/// to 0.
void cachedTokens(const PrefixIndex &Index,
                  const std::vector<std::uint64_t> &Prefixes,
                  std::uint64_t PromptTokens,
                  std::vector<std::uint64_t> &Tokens);

} // namespace pimento
