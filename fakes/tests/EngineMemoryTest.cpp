#include <boost/test/unit_test.hpp>

#include "fakes/AnswerText.h"
#include "fakes/EngineModel.h"

using namespace pimento;
using namespace pimento::fakes;

namespace {

const TimePoint Start{hours(1)};

GenerateOrder orderFor(const std::string &Id, const std::string &Prompt,
                       std::uint64_t Max) {
  GenerateOrder O;
  O.Id = Id;
  O.Model = "base";
  O.PromptHash = promptHash(Prompt);
  O.PromptTokens = tokensOf(Prompt);
  O.Prefixes = prefixHashes(Prompt);
  O.MaxTokens = Max;
  return O;
}

void setUp(Engine &E) {
  E.Config.MemoryTokens = 10000;
  E.Config.PrefillRate = 1000;
  E.Models = {"base"};
}

/// Runs one prompt to its end and returns how much of it was cached.
std::uint64_t runPrompt(Engine &E, const std::string &Id,
                        const std::string &Prompt, TimePoint &Now) {
  BOOST_TEST_REQUIRE(
      (generate(E, orderFor(Id, Prompt, 1), Now) == Refusal::None));
  attach(E, Id);
  Now += minutes(1);
  advance(E, Now);
  BOOST_TEST_REQUIRE((E.Attempts.at(Id).State == AttemptState::Done));
  std::uint64_t Cached = E.Attempts.at(Id).CachedTokens;
  detach(E, Id, Now);
  return Cached;
}

} // namespace

BOOST_AUTO_TEST_CASE(PrefixesDoubleFrom4096Bytes) {
  BOOST_TEST(prefixHashes(std::string(4095, 'x')).empty());
  BOOST_TEST(prefixHashes(std::string(4096, 'x')).size() == 1U);
  BOOST_TEST(prefixHashes(std::string(16384, 'x')).size() == 3U);
  BOOST_TEST(prefixTokens(0) == 1024U);
  BOOST_TEST(prefixTokens(2) == 4096U);
}

BOOST_AUTO_TEST_CASE(ASharedPrefixIsNotPrefilledAgain) {
  Engine E;
  setUp(E);
  TimePoint Now = Start;
  std::string Common(8192, 'c');
  BOOST_TEST(runPrompt(E, "a", Common + std::string(100, 'a'), Now) == 0U);
  BOOST_TEST(runPrompt(E, "b", Common + std::string(8192, 'b'), Now) == 2048U);
  BOOST_TEST(runPrompt(E, "c", std::string(8192, 'z'), Now) == 0U);
  BOOST_TEST(E.UsedTokens == 0U);
  // A fully cached prompt produces its first token at once.
  generate(E, orderFor("d", Common, 2), Now);
  advance(E, Now + microseconds(10));
  BOOST_TEST(E.Attempts.at("d").Produced == 1U);
}

BOOST_AUTO_TEST_CASE(IdlePrefixesAreEvictedLeastRecentlyUsedFirst) {
  Engine E;
  setUp(E);
  TimePoint Now = Start;
  std::string Old(16384, 'o');
  std::string New(16384, 'n');
  runPrompt(E, "a", Old, Now);
  runPrompt(E, "b", New, Now);
  BOOST_TEST(E.Cache.IdleTokens == 8192U);
  E.Cache.Events.clear();
  // 3000 tokens fit only if 1192 idle ones are evicted: the longest old prefix.
  BOOST_TEST((generate(E, orderFor("c", std::string(4000, 'x'), 2000), Now) ==
              Refusal::None));
  BOOST_TEST(E.Cache.IdleTokens + E.UsedTokens <= E.Config.MemoryTokens);
  BOOST_TEST_REQUIRE(E.Cache.Events.size() == 1U);
  BOOST_TEST(E.Cache.Events[0].Hash == prefixHashes(Old).back());
  BOOST_TEST(!E.Cache.Events[0].Added);
  BOOST_TEST(cachedPrefixes(E.Cache, prefixHashes(New)) == 3U);
}

BOOST_AUTO_TEST_CASE(UsedPrefixesAreNotEvicted) {
  Engine E;
  setUp(E);
  TimePoint Now = Start;
  std::string Prompt(16384, 'p');
  runPrompt(E, "a", Prompt, Now);
  generate(E, orderFor("b", Prompt, 1000), Now);
  BOOST_TEST(E.Cache.IdleTokens == 0U);
  generate(E, orderFor("c", "x", 4900), Now);
  BOOST_TEST(E.UsedTokens == 9997U);
  BOOST_TEST(cachedPrefixes(E.Cache, prefixHashes(Prompt)) == 3U);
}

BOOST_AUTO_TEST_CASE(APrefillIsExportedAndDecodedElsewhere) {
  Engine From;
  Engine To;
  setUp(From);
  setUp(To);
  From.Role = EngineRole::Prefill;
  To.Role = EngineRole::Decode;
  TimePoint Now = Start;
  std::string Prompt(4000, 'p');
  BOOST_TEST((generate(From, orderFor("a", Prompt, 5), Now) == Refusal::Role));
  BOOST_TEST((generate(To, orderFor("a", Prompt, 5), Now) == Refusal::Role));
  generate(From, orderFor("a", Prompt, 0), Now);
  attach(From, "a");
  Now += milliseconds(1001);
  advance(From, Now);
  BOOST_TEST((From.Attempts.at("a").State == AttemptState::Done));
  std::string Handle;
  BOOST_TEST((exportAttempt(From, "a", Now, Handle) == Refusal::None));
  BOOST_TEST(From.UsedTokens == 1000U);
  const Export &X = From.Exports.at(Handle);
  BOOST_TEST((importAttempt(To, "a", X, Now) == Refusal::None));
  BOOST_TEST(To.UsedTokens == 1000U);
  BOOST_TEST((generate(To, orderFor("a", Prompt, 5), Now) == Refusal::None));
  BOOST_TEST(To.UsedTokens == 1005U);
  advance(To, Now + microseconds(10));
  BOOST_TEST(To.Attempts.at("a").Produced == 1U);
  BOOST_TEST(dropExport(From, Handle));
  BOOST_TEST(!dropExport(From, Handle));
  BOOST_TEST(From.UsedTokens == 0U);
}

BOOST_AUTO_TEST_CASE(AnImportOfAnotherPromptSavesNothing) {
  Engine E;
  setUp(E);
  Export X{"other", "base", 1, 500, Start};
  BOOST_TEST((importAttempt(E, "a", X, Start) == Refusal::None));
  BOOST_TEST((generate(E, orderFor("a", std::string(4000, 'p'), 5), Start) ==
              Refusal::None));
  BOOST_TEST(E.Attempts.at("a").CachedTokens == 0U);
  BOOST_TEST(E.UsedTokens == 1005U);
}

BOOST_AUTO_TEST_CASE(UnusedImportIsFreed) {
  Engine E;
  setUp(E);
  Export X{"a", "base", 1, 500, Start};
  importAttempt(E, "a", X, Start);
  BOOST_TEST(E.UsedTokens == 500U);
  advance(E, Start + E.Config.ResumeTime + milliseconds(1));
  BOOST_TEST(E.UsedTokens == 0U);
}

BOOST_AUTO_TEST_CASE(CancelEndsTheExports) {
  Engine E;
  setUp(E);
  generate(E, orderFor("a", std::string(400, 'p'), 50), Start);
  attach(E, "a");
  advance(E, Start + milliseconds(150));
  std::string Handle;
  BOOST_TEST((exportAttempt(E, "a", Start + milliseconds(150), Handle) ==
              Refusal::None));
  BOOST_TEST(E.UsedTokens > 250U);
  CancelResult R = cancel(E, "a", Start + milliseconds(160));
  BOOST_TEST((R.Outcome == CancelOutcome::Freed));
  BOOST_TEST(R.Tokens > 250U);
  BOOST_TEST(E.UsedTokens == 0U);
  BOOST_TEST(E.Exports.empty());
}

BOOST_AUTO_TEST_CASE(ExportOfARunningAttemptNeedsItsOwnMemory) {
  Engine E;
  setUp(E);
  generate(E, orderFor("a", std::string(24000, 'p'), 50), Start);
  std::string Handle;
  BOOST_TEST((exportAttempt(E, "a", Start, Handle) == Refusal::Missing));
  BOOST_TEST((exportAttempt(E, "a", Start + milliseconds(6100), Handle) ==
              Refusal::Memory));
  BOOST_TEST(E.UsedTokens == 6050U);
}
