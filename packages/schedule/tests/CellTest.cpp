#include <boost/test/unit_test.hpp>

#include "Samples.h"

using namespace pimento;
using namespace pimento::test;

namespace {

std::size_t countKind(const CellEffects &Out, const std::string &Kind) {
  std::size_t Count = 0;
  for (const DecisionRecord &D : Out.Decisions)
    Count += D.Kind == Kind ? 1 : 0;
  return Count;
}

/// Marks the rates as learned. The forecast refuses requests only then.
void teachRates(CellState &S) {
  constexpr double Many = 10;
  S.Rates.Prefill.Samples = Many;
  for (Estimate &E : S.Rates.DecodeSeconds)
    E.Samples = Many;
}

BackendId leaderOf(const CellEffects &Out) {
  return sent<Grant>(Out).at(0).Engines.at(0).Backend;
}

} // namespace

BOOST_AUTO_TEST_CASE(RequestIsGrantedAndItsMemoryIsFreed) {
  CellState S = makeCell(1);
  CellEffects Out;
  onGrantRequest(S, Entry1, makeGrantRequest(1), Start, Out);
  BOOST_REQUIRE(sent<Grant>(Out).size() == 1U);
  BOOST_TEST(countKind(Out, "grant") == 1U);
  BOOST_TEST(cellFigures(S).HeldTokens == 1100U);
  onRelease(S, Entry1, finished(1), Start + seconds(1), Out);
  BOOST_TEST(cellFigures(S).HeldTokens == 0U);
  BOOST_TEST(cellFigures(S).Grants == 0U);
  BOOST_TEST(Out.Cancels.empty());
}

// Entry hosts resend requests whose answer may be lost. A second grant at
// another engine would run the attempt twice, and a refused request must not be
// granted after its entry host has answered the caller.
BOOST_AUTO_TEST_CASE(ResentRequestGetsTheSameAnswer) {
  CellState S = makeCell(2);
  teachRates(S);
  CellEffects Out;
  onGrantRequest(S, Entry1, makeGrantRequest(1), Start, Out);
  const BackendId First = leaderOf(Out);
  CellEffects Again;
  onGrantRequest(S, Entry1, makeGrantRequest(1), Start, Again);
  BOOST_TEST(leaderOf(Again) == First);
  BOOST_TEST(cellFigures(S).HeldTokens == 1100U);

  GrantRequest Late = makeGrantRequest(2);
  Late.TimeLeft = milliseconds(1);
  CellEffects Refused;
  onGrantRequest(S, Entry1, Late, Start, Refused);
  Late.TimeLeft = minutes(1);
  CellEffects RefusedAgain;
  onGrantRequest(S, Entry1, Late, Start, RefusedAgain);
  BOOST_REQUIRE(sent<Refusal>(Refused).size() == 1U);
  BOOST_REQUIRE(sent<Refusal>(RefusedAgain).size() == 1U);
  BOOST_TEST(sent<Refusal>(RefusedAgain)[0].Reason ==
             Code::DeadlineUnreachable);
}

// Refusing because of a prior would keep a cell from ever learning its rates.
BOOST_AUTO_TEST_CASE(UnlearnedRatesRefuseNoRequest) {
  CellState S = makeCell(1);
  GrantRequest Long = makeGrantRequest(1);
  Long.PromptTokens = 8000;
  Long.TimeLeft = milliseconds(100); // Unreachable according to the priors.
  CellEffects Out;
  onGrantRequest(S, Entry1, Long, Start, Out);
  BOOST_TEST(sent<Refusal>(Out).empty());
  teachRates(S);
  Long.Attempt.Request.Lo = 2;
  CellEffects Learnt;
  onGrantRequest(S, Entry1, Long, Start, Learnt);
  BOOST_REQUIRE(sent<Refusal>(Learnt).size() == 1U);
  BOOST_TEST(sent<Refusal>(Learnt)[0].Reason == Code::DeadlineUnreachable);
}

// Messages may overtake each other. A grant for the late request would hold
// memory for an attempt that its entry host no longer needs.
BOOST_AUTO_TEST_CASE(WithdrawnRequestIsNotGrantedWhenACopyArrivesLate) {
  CellState S = makeCell(1);
  CellEffects Out;
  onWithdraw(S, Entry1, {attempt(1)}, Start, Out);
  onGrantRequest(S, Entry1, makeGrantRequest(1), Start, Out);
  BOOST_TEST(Out.Messages.empty());
  BOOST_TEST(cellFigures(S).HeldTokens == 0U);
}

// Requests keep arriving and none ends, so the engines fill up. Requests that
// do not fit must wait or be refused.
BOOST_AUTO_TEST_CASE(MemoryIsNeverOvercommitted) {
  CellState S = makeCell(3, 10000);
  CellEffects Out;
  for (std::uint64_t Lo = 1; Lo <= 200; ++Lo)
    onGrantRequest(S, Entry1, makeGrantRequest(Lo, 500 + Lo * 7),
                   Start + milliseconds(50 * Lo), Out);
  for (const auto &[Id, E] : S.Engines)
    BOOST_TEST(E.HeldTokens <= E.Record.MemoryTokens);
  BOOST_TEST(sent<Grant>(Out).size() > 10U);
  const std::size_t Answers =
      sent<Grant>(Out).size() + sent<Refusal>(Out).size();
  BOOST_TEST(cellFigures(S).Waiting + Answers == 200U);
}

// A request behind a long backlog of its account would wait and then miss its
// deadline. The forecast must refuse it on arrival, but must not refuse a
// request of another account that fair queueing serves sooner.
BOOST_AUTO_TEST_CASE(UnreachableDeadlineIsRefusedAtOnceWithARetryForecast) {
  CellState S = makeCell(1, 3000);
  CellEffects Out;
  for (std::uint64_t Lo = 1; Lo <= 200; ++Lo)
    onGrantRequest(S, Entry1, makeGrantRequest(Lo, 2000), Start, Out);
  BOOST_TEST(cellFigures(S).Waiting > 100U);
  GrantRequest Tight = makeGrantRequest(500, 2000, "other-account");
  Tight.Weight = 1;
  Tight.TimeLeft = seconds(4);
  CellEffects Refused;
  GrantRequest Same = makeGrantRequest(501, 2000);
  Same.TimeLeft = seconds(8);
  onGrantRequest(S, Entry1, Same, Start, Refused);
  BOOST_REQUIRE(sent<Refusal>(Refused).size() == 1U);
  BOOST_TEST(sent<Refusal>(Refused)[0].Reason == Code::DeadlineUnreachable);
  BOOST_TEST((sent<Refusal>(Refused)[0].RetryAfter > seconds(1)));
  // Another account is served sooner.
  CellEffects Admitted;
  Tight.TimeLeft = seconds(60);
  onGrantRequest(S, Entry1, Tight, Start, Admitted);
  BOOST_TEST(sent<Refusal>(Admitted).empty());
}

// A request may be admitted and then wait for longer than forecast. Granting it
// late would use an engine for an answer that misses the deadline.
BOOST_AUTO_TEST_CASE(QueuedRequestIsRefusedOnceItsDeadlineIsUnreachable) {
  CellState S = makeCell(1, 3000);
  teachRates(S);
  CellEffects Out;
  onGrantRequest(S, Entry1, makeGrantRequest(1, 2000), Start, Out);
  GrantRequest A = makeGrantRequest(2, 2000);
  A.TimeLeft = seconds(20);
  onGrantRequest(S, Entry1, A, Start, Out);
  BOOST_REQUIRE(cellFigures(S).Waiting == 1U);
  RenewGrants Held;
  Held.Hi = Hi1;
  Held.Grants = {{{1, 1}, 0, 0}};
  Held.Waiting = {{2, 1}};
  CellEffects Later = tickUntil(S, Start, Start + seconds(20), &Held);
  BOOST_REQUIRE(!sent<Refusal>(Later).empty());
  BOOST_TEST(sent<Refusal>(Later)[0].Reason == Code::DeadlineUnreachable);
  BOOST_TEST(cellFigures(S).Waiting == 0U);
}

BOOST_AUTO_TEST_CASE(QueuesAreBounded) {
  CellConfig Config;
  Config.QueueLength = 10;
  Config.AccountQueueLength = 6;
  CellState S = makeCell(1, 3000, Config);
  CellEffects Out;
  for (std::uint64_t Lo = 1; Lo <= 30; ++Lo)
    onGrantRequest(S, Entry1, makeGrantRequest(Lo, 2000, Lo < 15 ? "a" : "b"),
                   Start, Out);
  BOOST_TEST(cellFigures(S).Waiting == 10U);
  std::size_t Account = 0;
  std::size_t Full = 0;
  for (const Refusal &R : sent<Refusal>(Out)) {
    Account += R.Reason == Code::AccountLimit ? 1 : 0;
    Full += R.Reason == Code::QueueFull ? 1 : 0;
  }
  BOOST_TEST(Account > 0U);
  BOOST_TEST(Full > 0U);
}

// A request for an unknown model, or one that exceeds the memory of all
// engines, would otherwise wait in the queue until its deadline.
BOOST_AUTO_TEST_CASE(ImpossibleRequestsAreRefusedWithSpecificCodes) {
  CellState S = makeCell(2, 10000);
  CellEffects Out;
  GrantRequest Other = makeGrantRequest(1);
  Other.Model = ModelName("unheard-of");
  onGrantRequest(S, Entry1, Other, Start, Out);
  onGrantRequest(S, Entry1, makeGrantRequest(2, 1000000), Start, Out);
  BOOST_REQUIRE(sent<Refusal>(Out).size() == 2U);
  BOOST_TEST(sent<Refusal>(Out)[0].Reason == Code::NoBackend);
  BOOST_TEST(sent<Refusal>(Out)[1].Reason == Code::PromptTooLong);
}

// A request needs an engine that offers its adapter, should go to an engine
// that caches its prefix, and must not go to an engine that is leaving.
BOOST_AUTO_TEST_CASE(PlacementFollowsAdaptersPrefixesAndDeparture) {
  CellState S = makeCell(4);
  CellEffects Out;
  BackendRecord Special = engineRecord("e2");
  Special.Models = {Model, ModelName("atlas-crew")};
  setBackend(S, Special, Start, Out);
  GrantRequest Adapter = makeGrantRequest(1);
  Adapter.Model = ModelName("atlas-crew");
  onGrantRequest(S, Entry1, Adapter, Start, Out);
  BOOST_TEST(leaderOf(Out) == BackendId("e2"));

  LoadReport R;
  R.Backend = BackendId("e3");
  R.Incarnation = 1;
  R.Sequence = 1;
  R.CacheSequence = 1;
  R.CacheAdded = {11, 22, 33};
  onLoad(S, R, Start, Out);
  GrantRequest Known = makeGrantRequest(2, 6000);
  Known.Prefixes = {11, 22, 33};
  Out = {};
  onGrantRequest(S, Entry1, Known, Start, Out);
  BOOST_TEST(leaderOf(Out) == BackendId("e3"));

  BackendRecord Leaving = engineRecord("e3");
  Leaving.Version = 2;
  Leaving.Status = BackendStatus::Leaving;
  setBackend(S, Leaving, Start, Out);
  Known.Attempt = attempt(3);
  Out = {};
  onGrantRequest(S, Entry1, Known, Start, Out);
  BOOST_TEST(leaderOf(Out) != BackendId("e3"));
}

// All requests arrive before any engine reports its load. If placement did not
// count the grants just issued, one engine would get all of them.
BOOST_AUTO_TEST_CASE(SimultaneousRequestsAreSpreadOverEngines) {
  CellState S = makeCell(10);
  CellEffects Out;
  for (std::uint64_t Lo = 1; Lo <= 100; ++Lo)
    onGrantRequest(S, Entry1, makeGrantRequest(Lo, 2000), Start, Out);
  for (const auto &[Id, E] : S.Engines) {
    BOOST_TEST(E.Running <= 12U);
    BOOST_TEST(E.HeldTokens <= 12U * 2100);
  }
}

// A load report counts attempts that the ledger holds already. Adding both
// would count them twice and leave capacity unused.
BOOST_AUTO_TEST_CASE(DelayedLoadReportAddsOnlyForeignLoad) {
  CellState S = makeCell(1);
  CellEffects Out;
  tick(S, Start, Out);
  for (std::uint64_t Lo = 1; Lo <= 5; ++Lo)
    onGrantRequest(S, Entry1, makeGrantRequest(Lo, 200),
                   Start + milliseconds(10), Out);
  BOOST_REQUIRE(cellFigures(S).Grants == 5U);
  tick(S, Start + milliseconds(100), Out);
  const Engine &E = S.Engines.begin()->second;
  LoadReport R;
  R.Backend = E.Record.Id;
  R.Incarnation = 1;
  R.Sequence = 1;
  R.Running = 5; // The five attempts in the ledger.
  onLoad(S, R, Start + milliseconds(110), Out);
  BOOST_TEST(E.ForeignRunning == 0U);
  R.Sequence = 2;
  R.Running = 8; // Three further attempts that hosts placed locally.
  R.UsedTokens = 8000;
  onLoad(S, R, Start + milliseconds(110), Out);
  BOOST_TEST(E.ForeignRunning == 3U);
  BOOST_TEST(E.ForeignTokens == 8000U - 5 * 300U);
  R.Sequence = 1;
  R.Running = 50; // An older report that was overtaken.
  onLoad(S, R, Start + milliseconds(120), Out);
  BOOST_TEST(E.ForeignRunning == 3U);
}

// Requests fail at every engine. Without a limit, ejection would leave the cell
// with no engine at all.
BOOST_AUTO_TEST_CASE(FailingEnginesAreEjectedUpToAThird) {
  CellState S = makeCell(6);
  CellEffects Out;
  std::uint64_t Lo = 0;
  for (int Round = 0; Round < 40; ++Round) {
    Out = {};
    onGrantRequest(S, Entry1, makeGrantRequest(++Lo), Start, Out);
    if (sent<Grant>(Out).empty())
      continue;
    CellEffects After;
    onRelease(S, Entry1, finished(Lo, AttemptEnd::Failed), Start, After);
    for (const CancelOrder &Order : After.Cancels)
      onCancelled(S, Order, Start, After);
  }
  BOOST_TEST(cellFigures(S).Ejected == 2U); // A third of the six engines.
}

// A readmitted engine may still be faulty. Full load at once would fail many
// requests instead of one.
BOOST_AUTO_TEST_CASE(ReadmittedEngineRampsUpFromOneRequest) {
  CellState S = makeCell(6);
  CellEffects Out;
  Engine &E = S.Engines.at(BackendId("e0"));
  E.Health.State = HealthState::Ejected;
  E.Health.Until = Start + seconds(5);
  E.Health.Ejections = 1;
  tickUntil(S, Start, Start + seconds(4));
  BOOST_TEST((E.Health.State == HealthState::Ejected));
  tickUntil(S, Start + seconds(4), Start + seconds(6));
  BOOST_REQUIRE((E.Health.State == HealthState::Warming));
  const TimePoint Now = Start + seconds(6);
  for (std::uint64_t Lo = 1; Lo <= 60; ++Lo)
    onGrantRequest(S, Entry1, makeGrantRequest(Lo, 2000), Now, Out);
  BOOST_TEST(E.Running == 1U);
  for (const auto &[Id, G] : std::unordered_map<AttemptId, LiveGrant>(S.Grants))
    if (G.Engines[0].Backend == E.Record.Id)
      onRelease(S, Entry1, finished(Id.Request.Lo), Now + seconds(1), Out);
  BOOST_TEST(E.Health.Allowance == 2U);
}

// A new engine is idle and would attract most new requests before any has
// succeeded there.
BOOST_AUTO_TEST_CASE(NewEngineBesideWarmEnginesRampsUp) {
  CellState S = makeCell(4);
  CellEffects Out;
  setBackend(S, engineRecord("new"), Start, Out);
  for (std::uint64_t Lo = 1; Lo <= 60; ++Lo)
    onGrantRequest(S, Entry1, makeGrantRequest(Lo, 100), Start, Out);
  BOOST_TEST(S.Engines.at(BackendId("new")).Running == 2U);
  BOOST_TEST(S.Engines.at(BackendId("e0")).Running > 5U);
}

// An engine that accepts requests but never answers reports no failure.
BOOST_AUTO_TEST_CASE(EngineWithoutProgressIsEjectedWithoutAnError) {
  CellState S = makeCell(4);
  CellEffects Out;
  for (std::uint64_t Lo = 1; Lo <= 40; ++Lo)
    onGrantRequest(S, Entry1, makeGrantRequest(Lo, 100), Start, Out);
  RenewGrants Held;
  Held.Hi = Hi1;
  std::uint32_t Tokens = 0;
  CellEffects All;
  for (TimePoint Now = Start; Now < Start + seconds(6); Now += TickInterval) {
    ++Tokens;
    Held.Grants.clear();
    for (const auto &[Id, G] : S.Grants) {
      const bool Silent = G.Engines[0].Backend == BackendId("e1");
      Held.Grants.push_back(
          {{Id.Request.Lo, 1}, Silent ? 0U : 1000U, Silent ? 0U : Tokens});
    }
    onRenew(S, Entry1, Held, Now, All);
    tick(S, Now, All);
  }
  BOOST_TEST(
      (S.Engines.at(BackendId("e1")).Health.State == HealthState::Ejected));
  BOOST_TEST(cellFigures(S).Ejected == 1U);
}
