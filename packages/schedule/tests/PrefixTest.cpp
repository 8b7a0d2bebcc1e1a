#include <boost/test/unit_test.hpp>

#include "schedule/Prefix.h"

using namespace pimento;

namespace {

LoadReport events(std::uint64_t Sequence, std::vector<std::uint64_t> Added,
                  std::vector<std::uint64_t> Removed = {},
                  IncarnationNumber Incarnation = 1) {
  LoadReport R;
  R.Incarnation = Incarnation;
  R.CacheSequence = Sequence;
  R.CacheAdded = std::move(Added);
  R.CacheRemoved = std::move(Removed);
  return R;
}

std::uint64_t cachedAt(const PrefixIndex &Index, unsigned Slot,
                       const std::vector<std::uint64_t> &Prefixes) {
  std::vector<std::uint64_t> Tokens(PrefixSlots);
  cachedTokens(Index, Prefixes, /*PromptTokens=*/1000000, Tokens);
  return Tokens[Slot];
}

} // namespace

BOOST_AUTO_TEST_CASE(LongestCachedPrefixCounts) {
  PrefixIndex Index = makePrefixIndex(1U << 20U);
  const unsigned A = takePrefixSlot(Index);
  const unsigned B = takePrefixSlot(Index);
  BOOST_TEST(applyCacheEvents(Index, A, events(1, {10, 20, 30})));
  BOOST_TEST(applyCacheEvents(Index, B, events(1, {10})));
  BOOST_TEST(cachedAt(Index, A, {10, 20, 30, 40}) == 4 * FirstPrefixTokens);
  BOOST_TEST(cachedAt(Index, B, {10, 20, 30, 40}) == FirstPrefixTokens);
  BOOST_TEST(applyCacheEvents(Index, A, events(4, {}, {30})));
  BOOST_TEST(cachedAt(Index, A, {10, 20, 30, 40}) == 2 * FirstPrefixTokens);
}

// A gap may hide removals, and a restarted engine has an empty cache. Outdated
// hints would send prompts to engines that no longer cache them.
BOOST_AUTO_TEST_CASE(SequenceGapOrNewIncarnationDropsHints) {
  PrefixIndex Index = makePrefixIndex(1U << 20U);
  const unsigned A = takePrefixSlot(Index);
  const unsigned B = takePrefixSlot(Index);
  applyCacheEvents(Index, A, events(1, {10}));
  applyCacheEvents(Index, B, events(1, {10}));
  BOOST_TEST(!applyCacheEvents(Index, A, events(3, {20})));
  BOOST_TEST(cachedAt(Index, A, {10}) == 0U);
  BOOST_TEST(cachedAt(Index, A, {20}) == FirstPrefixTokens);
  BOOST_TEST(cachedAt(Index, B, {10}) == FirstPrefixTokens);
  BOOST_TEST(
      !applyCacheEvents(Index, B, events(1, {30}, {}, /*Incarnation=*/2)));
  BOOST_TEST(cachedAt(Index, B, {10}) == 0U);
  // A report that was overtaken changes nothing.
  BOOST_TEST(applyCacheEvents(Index, A, events(1, {10})));
  BOOST_TEST(cachedAt(Index, A, {10}) == 0U);
}

BOOST_AUTO_TEST_CASE(MemoryIsBoundedAndOldestEntriesAreEvicted) {
  PrefixIndex Index = makePrefixIndex(100 * PrefixEntryBytes);
  const unsigned A = takePrefixSlot(Index);
  for (std::uint64_t Hash = 1; Hash <= 1000; ++Hash)
    notePrefill(Index, A, {Hash});
  BOOST_TEST(Index.ByHash.size() == 100U);
  BOOST_TEST(Index.Recent.size() == 100U);
  BOOST_TEST(cachedAt(Index, A, {900}) == 0U);
  BOOST_TEST(cachedAt(Index, A, {1000}) == FirstPrefixTokens);
  freePrefixSlot(Index, A);
  BOOST_TEST(Index.ByHash.empty());
}
