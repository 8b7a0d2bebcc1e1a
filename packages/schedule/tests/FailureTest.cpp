#include <boost/test/unit_test.hpp>

#include "World.h"

using namespace pimento;
using namespace pimento::test;

namespace {

const HostId Scheduler1("scheduler-1");
const HostId Scheduler2("scheduler-2");
const HostId EntryA("entry-1");
const HostId EntryB("entry-2");
/// After any fault, all memory must be freed within this time.
constexpr Duration MemoryReturns = seconds(10);
/// Longest time limit of the requests below.
constexpr Duration LongestLimit = seconds(12);

void load(World &W, int Requests, Duration Every = milliseconds(20)) {
  for (int I = 0; I < Requests; ++I) {
    request(W, HostId("entry-" + std::to_string(1 + I % 3)),
            200 + 37U * static_cast<unsigned>(I % 50));
    W.P.runFor(Every);
  }
}

/// Crashes an entry host; its callers' requests no longer count as open.
void crashEntryHost(World &W, const HostId &Name) {
  const std::uint64_t Hi = W.P.node(Name).Entry->Config.Hi;
  W.P.crash(Name);
  for (auto It = W.Open.begin(); It != W.Open.end();)
    It = It->Request.Hi == Hi ? W.Open.erase(It) : std::next(It);
}

/// Checks that no request is open, ran twice or still holds memory.
void checkAllIdle(World &W) {
  W.P.runFor(LongestLimit + MemoryReturns);
  BOOST_TEST(W.Open.empty());
  BOOST_TEST(W.RanAtTwoEngines == 0U);
  for (const auto &[Id, Count] : W.Answers)
    BOOST_TEST(Count == 1, toString(Id));
  BOOST_TEST(heldAtEngines(W) == 0U);
  BOOST_TEST(heldInLedger(W) == 0U);
}

} // namespace

// A lost or duplicated message between hosts and engines must neither lose a
// request nor run it twice.
BOOST_AUTO_TEST_CASE(LostAndDuplicatedMessagesLoseNoRequest) {
  World W(1);
  startWorld(W);
  W.P.Faults.Loss = 0.1;
  W.P.Faults.Duplicate = 0.1;
  W.P.Faults.Slow = 0.1;
  W.P.Faults.SlowDelay = milliseconds(300);
  load(W, 300);
  W.P.Faults = {};
  checkAllIdle(W);
  BOOST_TEST(W.Finished > 250U);
}

// A new lease holder does not know which grants the crashed one issued. If it
// granted before the entry hosts have registered them, memory would be
// overcommitted or an attempt would run twice.
BOOST_AUTO_TEST_CASE(SchedulerCrashNeitherLosesNorRepeatsRequests) {
  World W(2);
  startWorld(W);
  load(W, 100);
  const std::size_t Before = W.Finished;
  W.P.crash(Scheduler1);
  load(W, 40); // No holder for 0.8 s; requests wait at their entry hosts.
  handOver(W, Scheduler2, milliseconds(600));
  const TimePoint Taken = W.P.now();
  // A new holder grants nothing before its recovery ends.
  W.P.runFor(milliseconds(500));
  for (const auto &[Id, G] : W.P.node(Scheduler2).Cell->Grants)
    BOOST_TEST(W.RanAt.count(Id) == 1U);
  const bool Served = W.P.runUntilDone(
      seconds(5), [&] { return W.Finished + W.Refused >= 140U; });
  BOOST_TEST(Served);
  BOOST_TEST((W.P.now() - Taken < seconds(4)));
  BOOST_TEST(W.Finished > Before);
  checkAllIdle(W);
  BOOST_TEST(W.Refused == 0U);
  BOOST_TEST(W.Finished == 140U);
}

// A scheduler that resumes after its lease has passed to another host still
// acts on its old state.
BOOST_AUTO_TEST_CASE(SchedulerResumedAfterAFreezeLosesNoRequest) {
  World W(3);
  startWorld(W);
  load(W, 100);
  W.P.freeze(Scheduler1);
  load(W, 30);
  handOver(W, Scheduler2, milliseconds(600));
  load(W, 60);
  W.P.thaw(Scheduler1);
  load(W, 60);
  checkAllIdle(W);
  BOOST_TEST(W.Finished == 250U);
}

// Messages of a former lease holder may arrive after the change of holder. A
// grant of the former holder uses engines that the new one may grant to others.
BOOST_AUTO_TEST_CASE(MessagesOfAnOlderEpochAreIgnored) {
  EntryState E = startEntry({});
  EntryEffects Out;
  setHolder(E, CellId{}, Scheduler2, 5, Start, Out);
  startGrantRequest(E, makeGrantRequest(1), Start, Out);
  Grant Old;
  Old.Attempt = attempt(1);
  Old.Epoch = 4;
  Old.Engines = {{BackendId("e1"), "", 1100}};
  onGrant(E, Scheduler1, Old, Start, Out);
  Refusal OldRefusal;
  OldRefusal.Attempt = attempt(1);
  OldRefusal.Epoch = 4;
  onRefusal(E, Scheduler1, OldRefusal, Start, Out);
  BOOST_TEST(Out.Answers.empty());
  Old.Epoch = 5;
  onGrant(E, Scheduler2, Old, Start, Out);
  BOOST_TEST(Out.Answers.size() == 1U);
  // A second grant at another engine is answered by registering the first one.
  // A late grant for an ended attempt is released.
  Grant Other = Old;
  Other.Engines = {{BackendId("e2"), "", 1100}};
  Out = {};
  onGrant(E, Scheduler2, Other, Start, Out);
  BOOST_TEST(Out.Answers.empty());
  BOOST_REQUIRE(sent<Register>(Out).size() == 1U);
  BOOST_TEST(sent<Register>(Out)[0].Grants[0].Engines[0].Backend ==
             BackendId("e1"));
  endAttempt(E, finished(1), Start, Out);
  Out = {};
  onGrant(E, Scheduler2, Old, Start, Out);
  BOOST_REQUIRE(sent<Release>(Out).size() == 1U);
  BOOST_TEST((sent<Release>(Out)[0].End == AttemptEnd::Unused));
}

// A crashed entry host never releases its grants, so their leases must end
// them. Requests of its next incarnation must be served as usual.
BOOST_AUTO_TEST_CASE(MemoryOfACrashedEntryHostIsFreed) {
  World W(4);
  startWorld(W);
  load(W, 100);
  for (int I = 0; I < 10; ++I)
    request(W, EntryA, 1000);
  W.P.runFor(milliseconds(20));
  crashEntryHost(W, EntryA);
  W.P.runFor(MemoryReturns);
  BOOST_TEST(heldAtEngines(W) == 0U);
  BOOST_TEST(heldInLedger(W) == 0U);
  startEntryHost(W, EntryA, /*Incarnation=*/2);
  load(W, 30);
  checkAllIdle(W);
}

// An entry host that cannot reach the scheduler cannot release its grants; the
// lease bounds how long their memory stays in use.
BOOST_AUTO_TEST_CASE(PartitionedEntryHostKeepsMemoryOnlyForItsLease) {
  World W(5);
  startWorld(W);
  load(W, 50);
  W.P.cut(EntryB, Scheduler1);
  W.P.cut(Scheduler1, EntryB);
  request(W, EntryB, 1000);
  W.P.runFor(LongestLimit + MemoryReturns);
  BOOST_TEST(heldAtEngines(W) == 0U);
  BOOST_TEST(heldInLedger(W) == 0U);
  BOOST_TEST(W.Open.empty());
  W.P.healAll();
  load(W, 30);
  checkAllIdle(W);
}

// Without a lease holder no request would be granted. The entry host must place
// requests itself, without overfilling engines, and register them later.
BOOST_AUTO_TEST_CASE(EntryHostPlacesLocallyWithoutAScheduler) {
  EntryState E = startEntry({});
  EntryEffects Out;
  setHolder(E, CellId{}, Scheduler1, 1, Start, Out);
  for (int I = 0; I < 3; ++I) {
    setEngineView(E, CellId{}, engineRecord("e" + std::to_string(I), 10000));
    LoadReport R;
    R.Backend = BackendId("e" + std::to_string(I));
    R.Incarnation = 1;
    R.Sequence = 1;
    R.UsedTokens = I == 0 ? 9000 : 0; // The first engine is full.
    setEngineLoad(E, CellId{}, R, Start + seconds(1));
  }
  setHolder(E, CellId{}, HostId(), 1, Start + seconds(1), Out);
  for (std::uint64_t Lo = 1; Lo <= 30; ++Lo)
    startGrantRequest(E, makeGrantRequest(Lo), Start + seconds(1), Out);
  tick(E, Start + seconds(2), Out);
  BOOST_TEST(Out.Answers.empty());
  tick(E, Start + milliseconds(4500), Out);
  // Two engines are filled to 0.8 of their memory, with 1100 tokens per
  // request.
  BOOST_TEST(Out.Answers.size() == 14U);
  for (const EntryAnswer &A : Out.Answers) {
    BOOST_TEST(A.Local);
    BOOST_TEST(A.Given.Engines[0].Backend != BackendId("e0"));
  }
  // The local grants are registered with the next holder.
  Out = {};
  setHolder(E, CellId{}, Scheduler2, 2, Start + seconds(6), Out);
  BOOST_REQUIRE(sent<Register>(Out).size() == 1U);
  BOOST_TEST(sent<Register>(Out)[0].Grants.size() == 14U);
  BOOST_TEST(sent<GrantRequest>(Out).size() == 16U);
}

// Combines message loss, delays and crashes or freezes of hosts. No request may
// remain open, run at two engines or keep memory.
BOOST_AUTO_TEST_CASE(RandomFaultsOfManySeeds) {
  std::size_t Finished = 0;
  std::size_t Answers = 0;
  for (std::uint64_t Seed = 100; Seed < 130; ++Seed) {
    World W(Seed);
    startWorld(W);
    W.P.Faults.Loss = 0.03;
    W.P.Faults.Duplicate = 0.03;
    W.P.Faults.Slow = 0.05;
    W.P.Faults.SlowDelay = milliseconds(200);
    bool Second = false;
    IncarnationNumber Incarnation = 1;
    for (int Step = 0; Step < 12; ++Step) {
      load(W, 25);
      const std::uint64_t Kind = below(W.P.Rng, 4);
      if (Kind >= 2) {
        crashEntryHost(W, EntryA);
        startEntryHost(W, EntryA, ++Incarnation);
      }
      if (Kind == 3)
        continue;
      if (Kind == 0)
        W.P.freeze(W.Holder);
      else
        W.P.crash(W.Holder);
      W.P.runFor(milliseconds(600));
      Second = !Second;
      handOver(W, Second ? Scheduler2 : Scheduler1, milliseconds(700));
    }
    W.P.Faults = {};
    BOOST_TEST_CONTEXT("seed " << Seed) {
      checkAllIdle(W);
      BOOST_TEST(W.Finished + W.Refused + W.Late == W.Answers.size());
    }
    Finished += W.Finished;
    Answers += W.Answers.size();
  }
  // Some requests cannot succeed: those that spend most of their time limit
  // without a holder are refused, and those whose message to the engine is lost
  // run into their limit.
  BOOST_TEST(static_cast<double>(Finished) >
             0.9 * static_cast<double>(Answers));
}
