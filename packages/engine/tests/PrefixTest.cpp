#include <boost/test/unit_test.hpp>

#include "engine/Prefix.h"

#include <string>

#include <xxhash.h>

using namespace pimento;

BOOST_AUTO_TEST_CASE(PrefixHashesCoverDoublingLengths) {
  std::string Prompt;
  for (int I = 0; Prompt.size() < 20000; ++I)
    Prompt += std::to_string(I) + " ";
  std::vector<std::uint64_t> Hashes = prefixHashes(Prompt);
  BOOST_REQUIRE(Hashes.size() == 3U);
  BOOST_TEST(Hashes[0] == XXH64(Prompt.data(), 4096, 0));
  BOOST_TEST(Hashes[1] == XXH64(Prompt.data(), 8192, 0));
  BOOST_TEST(Hashes[2] == XXH64(Prompt.data(), 16384, 0));
  BOOST_TEST(prefixHashes(std::string(4095, 'a')).empty());
  BOOST_TEST(prefixHashes(std::string(4096, 'a')).size() == 1U);
}

BOOST_AUTO_TEST_CASE(TokenEstimatesFollowObservedCounts) {
  TokenRatio Ratio;
  BOOST_TEST(estimateTokens(Ratio, 0) == 0U);
  BOOST_TEST(estimateTokens(Ratio, 1) == 1U);
  BOOST_TEST(estimateTokens(Ratio, 4096) == 1024U);
  for (int I = 0; I < 200; ++I)
    learn(Ratio, 3000, 1000);
  BOOST_TEST(estimateTokens(Ratio, 3000) == 1000U);
  TokenRatio Before = Ratio;
  learn(Ratio, 0, 5);
  learn(Ratio, 5, 0);
  learn(Ratio, 1000000, 1);
  BOOST_TEST(Ratio.BytesPerToken == Before.BytesPerToken);
}
