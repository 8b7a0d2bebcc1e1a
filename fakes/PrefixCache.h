//===- PrefixCache.h - Cached prompt prefixes -------------------*- C++ -*-===//
//
// No I/O. The prefixes of a prompt are those of 4096 * 2^k bytes, identified by
// their hashes, shortest first. A longer prefix contains the shorter ones, so
// an entry costs only the tokens that it adds. Prefixes that a running attempt
// uses cost nothing here, as they are part of that attempt's memory.
//
//===----------------------------------------------------------------------===//
#pragma once

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pimento::fakes {

/// Bytes of the shortest prefix that is cached.
constexpr std::uint64_t ShortestPrefixBytes = 4096;

/// The hashes of the prefixes of \p Prompt, shortest first.
std::vector<std::uint64_t> prefixHashes(std::string_view Prompt);
/// Tokens of the prefix at \p Index of prefixHashes().
std::uint64_t prefixTokens(std::size_t Index);

/// A prefix that was added to the cache or removed.
struct CacheEvent {
  std::uint64_t Hash = 0;
  bool Added = false; // False: removed.
};

struct CachedPrefix {
  std::uint64_t Cost = 0;     // Tokens beyond the next shorter prefix.
  std::uint64_t Users = 0;    // Attempts that use it.
  std::uint64_t LastUsed = 0; // Counter of uses; higher is newer.
};

struct PrefixCache {
  std::unordered_map<std::uint64_t, CachedPrefix> Entries; // By hash.
  std::uint64_t IdleTokens = 0;   // Cost of entries without users.
  std::uint64_t Uses = 0;         // Counter for LastUsed.
  std::vector<CacheEvent> Events; // Until collected by the owner.
};

/// Number of leading \p Hashes that are cached, shortest first.
std::size_t cachedPrefixes(const PrefixCache &Cache,
                           const std::vector<std::uint64_t> &Hashes);
/// Marks the first \p Count of \p Hashes as used and adds missing entries.
void useSome(PrefixCache &Cache, const std::vector<std::uint64_t> &Hashes,
             std::size_t Count);
/// Ends one use of the first \p Count of \p Hashes.
void unuse(PrefixCache &Cache, const std::vector<std::uint64_t> &Hashes,
           std::size_t Count);
/// Evicts least recently used entries until at most \p Tokens are idle.
void shrinkTo(PrefixCache &Cache, std::uint64_t Tokens);

} // namespace pimento::fakes
