#include "schedule/Prefix.h"

#include <algorithm>

namespace pimento {

namespace {

constexpr std::uint64_t bit(unsigned Slot) { return std::uint64_t(1) << Slot; }

void dropSlot(PrefixIndex &Index, unsigned Slot) {
  for (auto It = Index.Recent.begin(); It != Index.Recent.end();) {
    It->Engines &= ~bit(Slot);
    if (It->Engines != 0) {
      ++It;
      continue;
    }
    Index.ByHash.erase(It->Hash);
    It = Index.Recent.erase(It);
  }
}

void addHash(PrefixIndex &Index, unsigned Slot, std::uint64_t Hash) {
  auto Found = Index.ByHash.find(Hash);
  if (Found != Index.ByHash.end()) {
    Found->second->Engines |= bit(Slot);
    Index.Recent.splice(Index.Recent.begin(), Index.Recent, Found->second);
    return;
  }
  if (Index.MaxEntries == 0)
    return;
  while (Index.ByHash.size() >= Index.MaxEntries) {
    Index.ByHash.erase(Index.Recent.back().Hash);
    Index.Recent.pop_back();
  }
  Index.Recent.push_front({Hash, bit(Slot)});
  Index.ByHash.emplace(Hash, Index.Recent.begin());
}

void removeHash(PrefixIndex &Index, unsigned Slot, std::uint64_t Hash) {
  auto Found = Index.ByHash.find(Hash);
  if (Found == Index.ByHash.end())
    return;
  Found->second->Engines &= ~bit(Slot);
  if (Found->second->Engines != 0)
    return;
  Index.Recent.erase(Found->second);
  Index.ByHash.erase(Found);
}

} // namespace

PrefixIndex makePrefixIndex(std::uint64_t BudgetBytes) {
  PrefixIndex Index;
  Index.MaxEntries = BudgetBytes / PrefixEntryBytes;
  Index.Sources.resize(PrefixSlots);
  return Index;
}

unsigned takePrefixSlot(PrefixIndex &Index) {
  for (unsigned Slot = 0; Slot < PrefixSlots; ++Slot) {
    if (Index.UsedSlots & bit(Slot))
      continue;
    Index.UsedSlots |= bit(Slot);
    Index.Sources[Slot] = {};
    return Slot;
  }
  return NoPrefixSlot;
}

void freePrefixSlot(PrefixIndex &Index, unsigned Slot) {
  if (Slot >= PrefixSlots)
    return;
  dropSlot(Index, Slot);
  Index.UsedSlots &= ~bit(Slot);
}

bool applyCacheEvents(PrefixIndex &Index, unsigned Slot, const LoadReport &R) {
  const std::uint64_t Count = R.CacheAdded.size() + R.CacheRemoved.size();
  if (Slot >= PrefixSlots || (Count == 0 && R.CacheSequence == 0))
    return true;
  PrefixSource &Source = Index.Sources[Slot];
  bool Contiguous = true;
  if (Source.NextSequence != 0 && (R.Incarnation != Source.Incarnation ||
                                   R.CacheSequence > Source.NextSequence)) {
    dropSlot(Index, Slot);
    ++Source.Gaps;
    Contiguous = false;
  }
  if (Contiguous && R.CacheSequence + Count < Source.NextSequence)
    return true; // The report was overtaken by a newer one; its events are
                 // already known.
  Source.Incarnation = R.Incarnation;
  Source.NextSequence = R.CacheSequence + Count;
  for (std::uint64_t Hash : R.CacheAdded)
    addHash(Index, Slot, Hash);
  for (std::uint64_t Hash : R.CacheRemoved)
    removeHash(Index, Slot, Hash);
  return Contiguous;
}

void notePrefill(PrefixIndex &Index, unsigned Slot,
                 const std::vector<std::uint64_t> &Prefixes) {
  if (Slot >= PrefixSlots)
    return;
  for (std::uint64_t Hash : Prefixes)
    addHash(Index, Slot, Hash);
}

void cachedTokens(const PrefixIndex &Index,
                  const std::vector<std::uint64_t> &Prefixes,
                  std::uint64_t PromptTokens,
                  std::vector<std::uint64_t> &Tokens) {
  std::fill(Tokens.begin(), Tokens.end(), 0);
  std::uint64_t Open = Index.UsedSlots;
  for (std::size_t K = Prefixes.size(); K > 0 && Open != 0; --K) {
    auto Found = Index.ByHash.find(Prefixes[K - 1]);
    if (Found == Index.ByHash.end() || K > 40)
      continue;
    const std::uint64_t Covered =
        std::min(FirstPrefixTokens << (K - 1), PromptTokens);
    const std::uint64_t Hits = Found->second->Engines & Open;
    Open &= ~Hits;
    for (unsigned Slot = 0; Slot < PrefixSlots; ++Slot)
      if (Hits & bit(Slot))
        Tokens[Slot] = Covered;
  }
}

} // namespace pimento
