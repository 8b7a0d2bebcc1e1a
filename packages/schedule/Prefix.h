//===- Prefix.h - Hints on which engine caches which prefix -----*- C++ -*-===//
//
// Cache events come late and with gaps. A gap drops everything that is known
// of that engine's cache, since removals may have been missed. A wrong hint
// makes a placement worse and nothing else.
//
// Memory is bounded: one entry for each hash, with one bit for each engine of
// the cell; the entries used least recently go first.
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

/// Tokens covered by the first hash; each further one covers twice as many.
constexpr std::uint64_t FirstPrefixTokens = 1024;

/// Engines that have hints at a time. More engines have none.
constexpr unsigned PrefixSlots = 64;
constexpr unsigned NoPrefixSlot = PrefixSlots;

/// Bytes that one entry takes, list and hash node included.
constexpr std::uint64_t PrefixEntryBytes = 96;

struct PrefixEntry {
  std::uint64_t Hash = 0;
  std::uint64_t Engines = 0; // One bit for each slot.
};

/// What is known of one engine's events.
struct PrefixSource {
  IncarnationNumber Incarnation = 0;
  std::uint64_t NextSequence = 0; // Expected next; zero: no event yet.
  std::uint64_t Gaps = 0;         // Times that trust was dropped.
};

struct PrefixIndex {
  std::uint64_t MaxEntries = 0;  // From the memory budget.
  std::list<PrefixEntry> Recent; // Newest first.
  std::unordered_map<std::uint64_t, std::list<PrefixEntry>::iterator> ByHash;
  std::vector<PrefixSource> Sources; // By slot.
  std::uint64_t UsedSlots = 0;       // One bit for each slot.
};

PrefixIndex makePrefixIndex(std::uint64_t BudgetBytes);

/// A slot for a new engine, or NoPrefixSlot. Frees forget all about it.
unsigned takePrefixSlot(PrefixIndex &Index);
void freePrefixSlot(PrefixIndex &Index, unsigned Slot);

/// Takes an engine's cache events in. Returns false where a gap or a new life
/// of the engine dropped what was known.
bool applyCacheEvents(PrefixIndex &Index, unsigned Slot, const LoadReport &R);

/// Notes that an engine has prefilled a prompt, ahead of its own events.
void notePrefill(PrefixIndex &Index, unsigned Slot,
                 const std::vector<std::uint64_t> &Prefixes);

/// For each slot the tokens of the prompt that its engine is thought to hold.
/// \p Tokens must have PrefixSlots elements at least; further ones become 0.
void cachedTokens(const PrefixIndex &Index,
                  const std::vector<std::uint64_t> &Prefixes,
                  std::uint64_t PromptTokens,
                  std::vector<std::uint64_t> &Tokens);

} // namespace pimento
