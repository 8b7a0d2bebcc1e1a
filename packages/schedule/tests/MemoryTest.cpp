#include <boost/test/unit_test.hpp>

#include "Samples.h"

#include <set>

using namespace pimento;
using namespace pimento::test;

namespace {

HeldMemory held(std::uint64_t Lo, std::uint64_t Tokens,
                Duration Age = seconds(5)) {
  HeldMemory H;
  H.Attempt = attempt(Lo);
  H.Tokens = Tokens;
  H.Age = Age;
  return H;
}

const BackendId E0("e0");

} // namespace

// A cancel may be lost, and the engine holds the memory until one arrives.
// Counting it as free before the confirmation would overcommit the engine.
BOOST_AUTO_TEST_CASE(CancelsRepeatAndMemoryCountsUntilConfirmed) {
  CellState S = makeCell(1);
  CellEffects Out;
  onGrantRequest(S, Entry1, makeGrantRequest(1), Start, Out);
  onRelease(S, Entry1, finished(1, AttemptEnd::Failed), Start, Out);
  BOOST_REQUIRE(Out.Cancels.size() == 1U);
  BOOST_TEST(cellFigures(S).HeldTokens == 1100U);
  CellEffects Later = tickUntil(S, Start, Start + seconds(3));
  BOOST_TEST(Later.Cancels.size() >= 5U);
  BOOST_TEST(cellFigures(S).CancellingTokens == 1100U);
  onCancelled(S, Out.Cancels[0], Start + seconds(3), Out);
  BOOST_TEST(cellFigures(S).HeldTokens == 0U);
  BOOST_TEST(
      tickUntil(S, Start + seconds(3), Start + seconds(5)).Cancels.empty());
}

// A restarted engine has lost its memory and its attempts. Keeping them in the
// ledger would leave the engine's capacity unused.
BOOST_AUTO_TEST_CASE(NewEngineIncarnationFreesAllMemory) {
  CellState S = makeCell(1);
  CellEffects Out;
  onGrantRequest(S, Entry1, makeGrantRequest(1), Start, Out);
  setBackend(S, engineRecord("e0", 100000, /*Incarnation=*/2), Start, Out);
  BOOST_TEST(cellFigures(S).HeldTokens == 0U);
  BOOST_TEST(cellFigures(S).Grants == 0U);
}

// An entry host that crashes or loses connectivity never releases its grants.
BOOST_AUTO_TEST_CASE(UnrenewedGrantEndsWithItsLease) {
  CellState S = makeCell(1);
  CellEffects Out;
  onGrantRequest(S, Entry1, makeGrantRequest(1), Start, Out);
  RenewGrants Held;
  Held.Hi = Hi1;
  Held.Grants = {{{1, 1}, 0, 0}};
  CellEffects Renewed = tickUntil(S, Start, Start + seconds(6), &Held);
  BOOST_TEST(Renewed.Cancels.empty());
  CellEffects Silent =
      tickUntil(S, Start + seconds(6), Start + milliseconds(8500));
  BOOST_TEST(Silent.Cancels.size() >= 1U);
  BOOST_TEST(cellFigures(S).Grants == 0U);
}

// An engine may hold memory of no known grant. Not counting it would overcommit
// the engine, and not cancelling it would leak it.
BOOST_AUTO_TEST_CASE(UnclaimedMemoryCountsUntilItIsFreed) {
  CellState S = makeCell(1);
  CellEffects Out;
  HeldMemory Export;
  Export.Kind = HeldKind::Export;
  Export.ExportHandle = "x1";
  Export.Tokens = 3000;
  Export.Age = seconds(5);
  const std::vector<HeldMemory> Report = {
      held(77, 20000), held(78, 500, milliseconds(10)), Export};
  onMemoryReport(S, E0, 1, Report, Start, Out);
  // The recent entry may belong to a grant whose request has not arrived yet.
  BOOST_TEST(cellFigures(S).HeldTokens == 23000U);
  BOOST_REQUIRE(Out.Cancels.size() == 2U);
  BOOST_TEST(Out.Cancels[1].ExportHandle == "x1");
  onCancelled(S, Out.Cancels[0], Start, Out);
  onCancelled(S, Out.Cancels[1], Start, Out);
  BOOST_TEST(cellFigures(S).HeldTokens == 0U);
  // Memory of a live grant is not cancelled.
  onGrantRequest(S, Entry1, makeGrantRequest(1), Start, Out);
  CellEffects Sweep;
  onMemoryReport(S, E0, 1, {held(1, 1100)}, Start + seconds(5), Sweep);
  BOOST_TEST(Sweep.Cancels.empty());
}

// Replies to cancels may be lost. A memory report that no longer lists the
// attempt must free its memory in the ledger as well.
BOOST_AUTO_TEST_CASE(SweepConfirmsACancelWhoseReplyWasLost) {
  CellState S = makeCell(1);
  CellEffects Out;
  onGrantRequest(S, Entry1, makeGrantRequest(1), Start, Out);
  onRelease(S, Entry1, finished(1, AttemptEnd::Failed), Start, Out);
  tickUntil(S, Start, Start + seconds(2));
  BOOST_TEST(cellFigures(S).HeldTokens == 1100U);
  onMemoryReport(S, E0, 1, {}, Start + seconds(2), Out);
  BOOST_TEST(cellFigures(S).HeldTokens == 0U);
}

// A group that held some of its engines while it waits for the others would
// block their memory, and two such groups could deadlock.
BOOST_AUTO_TEST_CASE(GroupGetsAllItsEnginesOrNone) {
  CellState S = makeCell(3, 100000);
  CellEffects Out;
  tick(S, Start, Out);
  // Fills one engine by more than half.
  onGrantRequest(S, Entry1, makeGrantRequest(1, 60000), Start, Out);
  Out = {};
  // Needs all three engines.
  onGrantRequest(S, Entry1, makeGrantRequest(2, 220000), Start, Out);
  BOOST_TEST(sent<Grant>(Out).empty());
  BOOST_TEST(cellFigures(S).HeldTokens == 60100U);
  Release R = finished(1);
  CellEffects Freed;
  onRelease(S, Entry1, R, Start + seconds(1), Freed);
  BOOST_REQUIRE(sent<Grant>(Freed).size() == 1U);
  BOOST_TEST(sent<Grant>(Freed)[0].Engines.size() == 3U);
  BOOST_TEST(cellFigures(S).HeldTokens >= 220000U);

  // The leading engine has finished; the other members are cancelled.
  CellEffects Done;
  onRelease(S, Entry1, finished(2), Start + seconds(2), Done);
  BOOST_TEST(Done.Cancels.size() == 2U);
  for (const CancelOrder &Order : Done.Cancels)
    onCancelled(S, Order, Start + seconds(2), Done);
  BOOST_TEST(cellFigures(S).HeldTokens == 0U);
}

// A group cannot run without one of its engines, so the memory at the others
// would stay in use to no purpose.
BOOST_AUTO_TEST_CASE(TheLossOfAMemberFreesTheOthers) {
  CellState S = makeCell(3, 100000);
  CellEffects Out;
  tick(S, Start, Out);
  onGrantRequest(S, Entry1, makeGrantRequest(2, 220000), Start, Out);
  tick(S, Start + TickInterval, Out);
  BOOST_REQUIRE(sent<Grant>(Out).size() == 1U);
  const BackendId Member = sent<Grant>(Out)[0].Engines[1].Backend;
  CellEffects Lost;
  BackendRecord Gone = engineRecord(Member.Value);
  Gone.Status = BackendStatus::Gone;
  setBackend(S, Gone, Start + seconds(1), Lost);
  BOOST_TEST(Lost.Cancels.size() == 2U);
  for (const CancelOrder &Order : Lost.Cancels)
    onCancelled(S, Order, Start + seconds(1), Lost);
  BOOST_TEST(cellFigures(S).HeldTokens == 0U);
}

BOOST_AUTO_TEST_CASE(GroupsNeitherDeadlockNorStarve) {
  // Two prompts need all engines while medium prompts keep arriving. Without
  // reservations the medium prompts would starve them, and partial reservations
  // would deadlock.
  CellState S = makeCell(4, 100000);
  CellEffects Out;
  std::uint64_t Lo = 100;
  TimePoint Now = Start;
  std::set<std::uint64_t> Live;
  std::set<std::uint64_t> Granted;
  auto Take = [&] {
    for (const Grant &G : sent<Grant>(Out)) {
      Live.insert(G.Attempt.Request.Lo);
      Granted.insert(G.Attempt.Request.Lo);
    }
    Out.Messages.clear();
  };
  for (int Step = 0; Step < 300; ++Step, Now += TickInterval) {
    if (Step == 20) {
      onGrantRequest(S, Entry1, makeGrantRequest(1, 300000, "one"), Now, Out);
      onGrantRequest(S, Entry1, makeGrantRequest(2, 300000, "two"), Now, Out);
    }
    onGrantRequest(S, Entry1, makeGrantRequest(++Lo, 30000), Now, Out);
    Take();
    RenewGrants Held;
    Held.Hi = Hi1;
    for (std::uint64_t Each : Live)
      Held.Grants.push_back({{Each, 1}, 30000, 1});
    for (const auto &[Id, W] : S.Queue.Asks)
      Held.Waiting.push_back({Id.Request.Lo, 1});
    onRenew(S, Entry1, Held, Now, Out);
    // Grants end every two seconds; cancels are confirmed at once.
    if (Step % 20 == 19) {
      const std::set<std::uint64_t> Ending = Live;
      Live.clear();
      for (std::uint64_t Each : Ending)
        onRelease(S, Entry1, finished(Each), Now, Out);
    }
    tick(S, Now, Out);
    const std::vector<CancelOrder> Cancels = std::move(Out.Cancels);
    Out.Cancels.clear();
    for (const CancelOrder &Order : Cancels)
      onCancelled(S, Order, Now, Out);
    Take();
  }
  BOOST_TEST(Granted.count(1) == 1U);
  BOOST_TEST(Granted.count(2) == 1U);
}
