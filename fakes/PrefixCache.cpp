#include "fakes/PrefixCache.h"

#include "fakes/AnswerText.h"

namespace pimento::fakes {

namespace {

/// Tokens that the prefix at \p Index has beyond the next shorter prefix.
std::uint64_t costAt(std::size_t Index) {
  std::uint64_t Shorter = Index == 0 ? 0 : prefixTokens(Index - 1);
  return prefixTokens(Index) - Shorter;
}

void useOne(PrefixCache &Cache, std::uint64_t Hash, std::uint64_t Cost) {
  auto [It, New] = Cache.Entries.try_emplace(Hash);
  CachedPrefix &Entry = It->second;
  if (New) {
    Entry.Cost = Cost;
    Cache.Events.push_back({Hash, true});
  } else if (Entry.Users == 0) {
    Cache.IdleTokens -= Entry.Cost;
  }
  ++Entry.Users;
}

/// The least recently used idle entry, or end() if all entries are in use.
auto oldestIdle(PrefixCache &Cache) {
  auto Oldest = Cache.Entries.end();
  for (auto It = Cache.Entries.begin(); It != Cache.Entries.end(); ++It) {
    if (It->second.Users > 0)
      continue;
    if (Oldest == Cache.Entries.end() ||
        It->second.LastUsed < Oldest->second.LastUsed)
      Oldest = It;
  }
  return Oldest;
}

} // namespace

std::vector<std::uint64_t> prefixHashes(std::string_view Prompt) {
  std::vector<std::uint64_t> Hashes;
  for (std::size_t Bytes = ShortestPrefixBytes; Bytes <= Prompt.size();
       Bytes *= 2)
    Hashes.push_back(XXH64(Prompt.data(), Bytes, 0));
  return Hashes;
}

std::uint64_t prefixTokens(std::size_t Index) {
  return (ShortestPrefixBytes << Index) / BytesPerToken;
}

std::size_t cachedPrefixes(const PrefixCache &Cache,
                           const std::vector<std::uint64_t> &Hashes) {
  std::size_t Count = 0;
  while (Count < Hashes.size() && Cache.Entries.count(Hashes[Count]) > 0)
    ++Count;
  return Count;
}

void useSome(PrefixCache &Cache, const std::vector<std::uint64_t> &Hashes,
             std::size_t Count) {
  for (std::size_t I = 0; I < Count; ++I)
    useOne(Cache, Hashes[I], costAt(I));
}

void unuse(PrefixCache &Cache, const std::vector<std::uint64_t> &Hashes,
           std::size_t Count) {
  // The longest prefix is released first, so it gets the lowest LastUsed and is
  // the first of them to be evicted when memory is needed.
  for (std::size_t I = Count; I-- > 0;) {
    auto It = Cache.Entries.find(Hashes[I]);
    if (It == Cache.Entries.end())
      continue;
    CachedPrefix &Entry = It->second;
    Entry.LastUsed = ++Cache.Uses;
    if (--Entry.Users == 0)
      Cache.IdleTokens += Entry.Cost;
  }
}

void shrinkTo(PrefixCache &Cache, std::uint64_t Tokens) {
  while (Cache.IdleTokens > Tokens) {
    auto Oldest = oldestIdle(Cache);
    if (Oldest == Cache.Entries.end())
      return;
    Cache.IdleTokens -= Oldest->second.Cost;
    Cache.Events.push_back({Oldest->first, false});
    Cache.Entries.erase(Oldest);
  }
}

} // namespace pimento::fakes
