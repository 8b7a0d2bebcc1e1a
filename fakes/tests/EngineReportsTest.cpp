#include <boost/test/unit_test.hpp>

#include "fakes/EngineOrders.h"
#include "fakes/EngineReports.h"
#include "fakes/EngineSwitches.h"
#include "fakes/LedgerSwitches.h"

#include <algorithm>

using namespace pimento;
using namespace pimento::fakes;

namespace {

const TimePoint Start{hours(1)};

LoadSample sampleAt(int Ms) {
  LoadSample Sample;
  Sample.At = Start + milliseconds(Ms);
  Sample.UsedTokens = static_cast<std::uint64_t>(Ms);
  return Sample;
}

} // namespace

BOOST_AUTO_TEST_CASE(LoadIsReportedLate) {
  LoadHistory H;
  H.Lag = milliseconds(300);
  for (int Ms = 0; Ms <= 1000; Ms += 100)
    record(H, sampleAt(Ms));
  BOOST_TEST(lagged(H, Start + milliseconds(1000)).UsedTokens == 700U);
  BOOST_TEST(lagged(H, Start + milliseconds(1050)).UsedTokens == 700U);
  BOOST_TEST(lagged(H, Start + milliseconds(1100)).UsedTokens == 800U);
  BOOST_TEST(H.Samples.size() <= 5U);
}

BOOST_AUTO_TEST_CASE(CacheEventsComeLate) {
  CacheFeed F;
  F.Delay = milliseconds(200);
  push(F, {{1, true}, {2, true}}, Start);
  push(F, {{3, true}, {1, false}}, Start + milliseconds(100));
  BOOST_TEST(takeBatch(F, Start + milliseconds(199)).Added.empty());
  CacheBatch B = takeBatch(F, Start + milliseconds(200));
  BOOST_TEST(B.Sequence == 0U);
  BOOST_TEST(B.Added.size() == 2U);
  BOOST_TEST(B.Removed.empty());
  B = takeBatch(F, Start + milliseconds(300));
  BOOST_TEST(B.Sequence == 2U);
  BOOST_TEST((B.Added == std::vector<std::uint64_t>{3}));
  BOOST_TEST((B.Removed == std::vector<std::uint64_t>{1}));
  BOOST_TEST(takeBatch(F, Start + seconds(1)).Sequence == 4U);
}

BOOST_AUTO_TEST_CASE(OnlyTheLastEventOfAHashIsPublished) {
  CacheFeed F;
  push(F, {{1, true}, {1, false}, {1, true}, {2, true}, {2, false}}, Start);
  CacheBatch B = takeBatch(F, Start);
  BOOST_TEST((B.Added == std::vector<std::uint64_t>{1}));
  BOOST_TEST((B.Removed == std::vector<std::uint64_t>{2}));
}

BOOST_AUTO_TEST_CASE(LostBatchesLeaveGapsInTheNumbers) {
  CacheFeed F;
  F.GapShare = 0.5;
  std::uint64_t Expected = 0;
  int Gaps = 0;
  for (std::uint64_t I = 0; I < 200; ++I) {
    push(F, {{I, true}}, Start);
    CacheBatch B = takeBatch(F, Start);
    Gaps += B.Sequence != Expected ? 1 : 0;
    Expected = B.Sequence + B.Added.size();
  }
  BOOST_TEST(Gaps > 50);
  BOOST_TEST(Gaps < 150);
  BOOST_TEST(F.Sequence == 200U);
}

BOOST_AUTO_TEST_CASE(OldFencingNumbersAreRefusedByEnginesThatCheck) {
  Engine E;
  OrderBook B;
  Order New{7, OrderKind::Role, "decode"};
  Order Old{6, OrderKind::Role, "prefill"};
  BOOST_TEST((apply(E, B, New, Start) == OrderOutcome::Done));
  BOOST_TEST((apply(E, B, Old, Start) == OrderOutcome::Stale));
  BOOST_TEST((E.Role == EngineRole::Decode));
  BOOST_TEST(B.Fence == 7U);
  B.Config.ChecksFence = false;
  BOOST_TEST((apply(E, B, Old, Start) == OrderOutcome::Done));
  BOOST_TEST((E.Role == EngineRole::Prefill));
}

BOOST_AUTO_TEST_CASE(LoadsTakeTheirTimeOneAfterAnother) {
  Engine E;
  OrderBook B;
  B.Config.LoadTime = milliseconds(100);
  B.Config.ModelBytes = 1000;
  B.Config.StoreRate = 1000;
  Order First{1, OrderKind::Load, "first"};
  Order Second{2, OrderKind::Load, "second"};
  BOOST_TEST((apply(E, B, First, Start) == OrderOutcome::Running));
  BOOST_TEST((apply(E, B, Second, Start) == OrderOutcome::Running));
  BOOST_TEST(!advanceOrders(E, B, Start + milliseconds(1099)));
  BOOST_TEST(advanceOrders(E, B, Start + milliseconds(1100)));
  BOOST_TEST(E.Models.count("first") == 1U);
  BOOST_TEST(E.Models.count("second") == 0U);
  TimePoint Later = Start + milliseconds(2200);
  BOOST_TEST((apply(E, B, Second, Later) == OrderOutcome::Done));
  BOOST_TEST((apply(E, B, {3, OrderKind::Unload, "first"}, Later) ==
              OrderOutcome::Done));
  BOOST_TEST(E.Models.count("first") == 0U);
}

BOOST_AUTO_TEST_CASE(AnUnloadStopsALoad) {
  Engine E;
  OrderBook B;
  apply(E, B, {1, OrderKind::Load, "m"}, Start);
  apply(E, B, {2, OrderKind::Unload, "m"}, Start);
  BOOST_TEST(!advanceOrders(E, B, Start + hours(1)));
  BOOST_TEST(E.Models.empty());
}

BOOST_AUTO_TEST_CASE(SwitchesAreSetByNameAndUnknownOnesRefused) {
  EngineSwitches E;
  Json Set = {{"slow", 2.5}, {"cut_after_tokens", 3}, {"refuse", "memory"}};
  BOOST_TEST(setSwitches(Set, E) == "");
  BOOST_TEST(E.Slow == 2.5);
  BOOST_TEST(E.CutAfterTokens == 3);
  BOOST_TEST(setSwitches({{"silent", true}, {"sloow", 1}}, E) ==
             "unknown switch sloow");
  BOOST_TEST(!E.Silent);
  BOOST_TEST(setSwitches({{"silent", 1}}, E) != "");
  BOOST_TEST(setSwitches({{"slow", 0}}, E) != "");
  BOOST_TEST(setSwitches({{"crossed_share", 1.5}}, E) != "");
  BOOST_TEST(setSwitches(Json::array(), E) != "");
  BOOST_TEST(setSwitches(toJson(E), E) == "");
  LedgerSwitches L;
  BOOST_TEST(setSwitches({{"half_open", "mute"}, {"slow_ms", 5}}, L) == "");
  BOOST_TEST((L.Idle == HalfOpen::Mute));
  BOOST_TEST((L.Slow == milliseconds(5)));
  BOOST_TEST(setSwitches({{"half_open", "other"}}, L) != "");
  BOOST_TEST(setSwitches(toJson(L), L) == "");
}

BOOST_AUTO_TEST_CASE(CountedFailuresEnd) {
  EngineSwitches E;
  setSwitches({{"refuse", "memory"}, {"count", 2}, {"slow", 3}}, E);
  countFailure(E);
  BOOST_TEST(E.Refuse == "memory");
  countFailure(E);
  BOOST_TEST(E.Refuse == "");
  BOOST_TEST(E.Slow == 3);
  setSwitches({{"mute", true}}, E);
  for (int I = 0; I < 5; ++I)
    countFailure(E);
  BOOST_TEST(E.Mute);
}
