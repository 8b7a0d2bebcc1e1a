#include <boost/test/unit_test.hpp>

#include "fakes/EngineModel.h"

using namespace pimento;
using namespace pimento::fakes;

namespace {

const TimePoint Start{hours(1)};

/// One engine in virtual time: 1000 prompt tokens take a second.
struct Fixture {
  Engine E;
  TimePoint Now = Start;

  Fixture() {
    E.Config.MemoryTokens = 10000;
    E.Config.PrefillRate = 1000;
    E.Config.DecodeInterval = milliseconds(10);
    E.Config.BatchSize = 2;
    E.Models = {"base"};
  }

  static GenerateOrder order(const std::string &Id, std::uint64_t Prompt,
                             std::uint64_t Max) {
    GenerateOrder O;
    O.Id = Id;
    O.Model = "base";
    O.PromptHash = std::hash<std::string>()(Id);
    O.PromptTokens = Prompt;
    O.MaxTokens = Max;
    return O;
  }

  Refusal submit(const GenerateOrder &O) {
    Refusal R = generate(E, O, Now);
    if (R == Refusal::None)
      attach(E, O.Id);
    return R;
  }
  Refusal submit(const std::string &Id, std::uint64_t Prompt,
                 std::uint64_t Max) {
    return submit(order(Id, Prompt, Max));
  }

  void pass(Duration D) {
    Now += D;
    advance(E, Now);
  }

  std::uint64_t produced(const std::string &Id) const {
    return E.Attempts.at(Id).Produced;
  }
  AttemptState state(const std::string &Id) const {
    return E.Attempts.at(Id).State;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EngineModel, Fixture)

BOOST_AUTO_TEST_CASE(PrefillRunsAtItsRateBeforeTheFirstToken) {
  BOOST_TEST((submit("a", 1000, 3) == Refusal::None));
  pass(milliseconds(999));
  BOOST_TEST(produced("a") == 0U);
  pass(milliseconds(2));
  BOOST_TEST(produced("a") == 1U);
  pass(milliseconds(10));
  BOOST_TEST(produced("a") == 2U);
  pass(milliseconds(10));
  BOOST_TEST(produced("a") == 3U);
  BOOST_TEST((state("a") == AttemptState::Done));
  BOOST_TEST(E.UsedTokens == 0U);
}

BOOST_AUTO_TEST_CASE(OneLongStepEqualsManyShortOnes) {
  submit("a", 1000, 50);
  submit("b", 500, 50);
  pass(seconds(10));
  BOOST_TEST((state("a") == AttemptState::Done));
  BOOST_TEST((state("b") == AttemptState::Done));
  BOOST_TEST((nextEvent(E) == Never));
}

BOOST_AUTO_TEST_CASE(PrefillIsSharedByWeight) {
  GenerateOrder Heavy = order("heavy", 750, 1);
  Heavy.Weight = 3;
  submit(Heavy);
  submit("light", 750, 1);
  pass(milliseconds(1001)); // Three quarters of 1000 tokens.
  BOOST_TEST((state("heavy") == AttemptState::Done));
  BOOST_TEST((state("light") == AttemptState::Prefill));
  pass(milliseconds(500)); // The rest, alone.
  BOOST_TEST((state("light") == AttemptState::Done));
}

BOOST_AUTO_TEST_CASE(BatchIsBoundedAndHighestWeightRunsNext) {
  submit("a", 100, 1);
  submit("b", 1000, 1);
  submit("c", 100, 1);
  GenerateOrder Heavy = order("heavy", 100, 1);
  Heavy.Weight = 5;
  submit(Heavy);
  BOOST_TEST(E.Batch.size() == 2U);
  BOOST_TEST((state("c") == AttemptState::Waiting));
  pass(milliseconds(205)); // Only "a" has made room.
  BOOST_TEST((state("heavy") == AttemptState::Prefill));
  BOOST_TEST((state("c") == AttemptState::Waiting));
  pass(seconds(2));
  BOOST_TEST((state("c") == AttemptState::Done));
}

BOOST_AUTO_TEST_CASE(MemoryIsBounded) {
  BOOST_TEST((submit("a", 5000, 100) == Refusal::None));
  BOOST_TEST(E.UsedTokens == 5100U);
  BOOST_TEST((submit("b", 4000, 901) == Refusal::Memory));
  BOOST_TEST((submit("b", 4000, 900) == Refusal::None));
  BOOST_TEST(E.UsedTokens == E.Config.MemoryTokens);
  pass(minutes(1));
  BOOST_TEST(E.UsedTokens == 0U);
}

BOOST_AUTO_TEST_CASE(RefusalsNameTheirReason) {
  GenerateOrder Other = order("x", 1, 1);
  Other.Model = "other";
  BOOST_TEST((submit(Other) == Refusal::Model));
  BOOST_TEST((submit("a", 1, 1) == Refusal::None));
  BOOST_TEST((submit("a", 1, 1) == Refusal::Duplicate));
  E.Leaving = true;
  BOOST_TEST((submit("b", 1, 1) == Refusal::Leaving));
}

BOOST_AUTO_TEST_CASE(ABrokenConnectionKeepsTheAttemptForResumeTime) {
  submit("a", 100, 1000);
  pass(seconds(1));
  detach(E, "a", Now);
  pass(milliseconds(1999));
  BOOST_TEST(E.UsedTokens == 1100U);
  attach(E, "a");
  pass(seconds(3));
  BOOST_TEST((state("a") == AttemptState::Decode));
  BOOST_TEST(produced("a") > 300U);
  detach(E, "a", Now);
  pass(milliseconds(2001));
  BOOST_TEST(E.Attempts.count("a") == 0U);
  BOOST_TEST(E.UsedTokens == 0U);
  BOOST_TEST((submit("a", 100, 1000) == Refusal::Duplicate));
}

BOOST_AUTO_TEST_CASE(AFinishedAttemptCanBeReadAgainForAWhile) {
  submit("a", 100, 1);
  pass(seconds(1));
  detach(E, "a", Now);
  pass(seconds(1));
  BOOST_TEST(produced("a") == 1U);
  pass(milliseconds(1001));
  BOOST_TEST(E.Attempts.empty());
}

BOOST_AUTO_TEST_CASE(CancelFreesAndTheIdNeverRunsAgain) {
  submit("a", 100, 1000);
  submit("b", 100, 1000);
  submit("waiting", 100, 1000);
  CancelResult R = cancel(E, "waiting", Now);
  BOOST_TEST((R.Outcome == CancelOutcome::Freed));
  R = cancel(E, "a", Now);
  BOOST_TEST(R.Tokens == 1100U);
  BOOST_TEST(E.UsedTokens == 1100U);
  BOOST_TEST((cancel(E, "a", Now).Outcome == CancelOutcome::Forgotten));
  BOOST_TEST((submit("a", 100, 1000) == Refusal::Duplicate));
  pass(seconds(20));
  BOOST_TEST((state("b") == AttemptState::Done));
  BOOST_TEST(E.Batch.empty());
  BOOST_TEST(E.Queue.empty());
}

BOOST_AUTO_TEST_CASE(CancelBeforeItsRequestPreventsTheAttempt) {
  BOOST_TEST((cancel(E, "a", Now).Outcome == CancelOutcome::Forgotten));
  BOOST_TEST((submit("a", 1, 1) == Refusal::Duplicate));
  BOOST_TEST((reserve(E, "a", 1, seconds(1), Now) == Refusal::Duplicate));
}

BOOST_AUTO_TEST_CASE(EndedIdsAreBounded) {
  for (std::size_t I = 0; I < MaxEndedIds + 10; ++I)
    cancel(E, std::to_string(I), Now);
  BOOST_TEST(E.Ended.Ids.size() == MaxEndedIds);
  BOOST_TEST((submit(std::to_string(MaxEndedIds), 1, 1) == Refusal::Duplicate));
}

BOOST_AUTO_TEST_CASE(LeakedMemoryIsFreedByTheConfiguredNumberOfCancels) {
  E.LeakCancels = 3;
  submit("a", 100, 1000);
  reserve(E, "r", 500, milliseconds(100), Now);
  detach(E, "a", Now);
  pass(minutes(5));
  BOOST_TEST((state("a") == AttemptState::Orphan));
  BOOST_TEST(E.UsedTokens == 1600U);
  for (const char *Id : {"a", "r"}) {
    BOOST_TEST((cancel(E, Id, Now).Outcome == CancelOutcome::Held));
    BOOST_TEST((cancel(E, Id, Now).Outcome == CancelOutcome::Held));
    BOOST_TEST((cancel(E, Id, Now).Outcome == CancelOutcome::Freed));
  }
  BOOST_TEST(E.UsedTokens == 0U);
}

BOOST_AUTO_TEST_CASE(AReservationLastsAsLongAsItsLease) {
  BOOST_TEST((reserve(E, "r", 6000, milliseconds(500), Now) == Refusal::None));
  BOOST_TEST((submit("a", 4000, 1) == Refusal::Memory));
  pass(milliseconds(400));
  BOOST_TEST((reserve(E, "r", 6000, milliseconds(500), Now) == Refusal::None));
  pass(milliseconds(400));
  BOOST_TEST(E.UsedTokens == 6000U);
  pass(milliseconds(101));
  BOOST_TEST(E.UsedTokens == 0U);
  BOOST_TEST((reserve(E, "r", 10001, seconds(1), Now) == Refusal::Memory));
  BOOST_TEST(E.UsedTokens == 0U);
}

BOOST_AUTO_TEST_CASE(AGroupsLeaderHoldsWhatItsMembersDoNot) {
  GenerateOrder Long = order("long", 22000, 100);
  BOOST_TEST((submit(Long) == Refusal::Memory));
  Long.Group = true;
  BOOST_TEST((submit(Long) == Refusal::None));
  BOOST_TEST((state("long") == AttemptState::Checking));
  BOOST_TEST(E.UsedTokens == 0U);
  BOOST_TEST((confirmGroup(E, "long", 20000, Now) == Refusal::None));
  BOOST_TEST(E.UsedTokens == 2100U);
  pass(seconds(23));
  BOOST_TEST(produced("long") == 100U);
  BOOST_TEST(E.UsedTokens == 0U);
}

BOOST_AUTO_TEST_CASE(AGroupThatIsTooSmallNeverRuns) {
  GenerateOrder Long = order("long", 22000, 100);
  Long.Group = true;
  submit(Long);
  BOOST_TEST((confirmGroup(E, "long", 12000, Now) == Refusal::Memory));
  BOOST_TEST(E.Attempts.empty());
  BOOST_TEST((submit(Long) == Refusal::Duplicate));
}

BOOST_AUTO_TEST_CASE(ALostMemberFailsTheAttempt) {
  GenerateOrder Long = order("long", 22000, 100);
  Long.Group = true;
  submit(Long);
  confirmGroup(E, "long", 20000, Now);
  pass(seconds(1));
  loseGroup(E, "long", Now);
  BOOST_TEST((state("long") == AttemptState::Failed));
  BOOST_TEST(E.UsedTokens == 0U);
  BOOST_TEST(E.Batch.empty());
  detach(E, "long", Now);
  pass(seconds(3));
  BOOST_TEST(E.Attempts.empty());
}

BOOST_AUTO_TEST_CASE(CancelDuringTheGroupCheckEndsTheAttempt) {
  GenerateOrder Long = order("long", 22000, 100);
  Long.Group = true;
  submit(Long);
  cancel(E, "long", Now);
  BOOST_TEST((confirmGroup(E, "long", 20000, Now) == Refusal::Duplicate));
  BOOST_TEST(E.UsedTokens == 0U);
}

BOOST_AUTO_TEST_CASE(SlowFactorAppliesToPrefillAndDecode) {
  E.SlowFactor = 4;
  submit("a", 1000, 3);
  pass(milliseconds(3999));
  BOOST_TEST(produced("a") == 0U);
  pass(milliseconds(2));
  BOOST_TEST(produced("a") == 1U);
  pass(milliseconds(30));
  BOOST_TEST(produced("a") == 1U);
  pass(milliseconds(11));
  BOOST_TEST(produced("a") == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
