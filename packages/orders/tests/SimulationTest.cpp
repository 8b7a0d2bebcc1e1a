// Simulates issuers that lose leadership, freeze and resume, with engines that
// check or ignore fencing numbers, restart, hang, and answer late or never.

#include "orders/tests/OrderWorld.h"
#include "testing/KnownRed.h"

#include <boost/test/unit_test.hpp>

using namespace pimento;
using namespace pimento::testing;

namespace {

constexpr std::uint64_t Seeds = 2000;
constexpr Duration FaultyTime = minutes(3);

/// Time within which every open order ends under a stable leader: the limit of
/// a load, the limit of undoing it, and three waits for late arrivals.
Duration bound(const OrderConfig &C) {
  return 2 * C.LoadLimit + 3 * C.MaxDeliveryTime;
}

void checkClean(const OrderWorld &W, std::uint64_t Seed) {
  std::string What = std::to_string(W.Violations.size()) + " violations";
  if (!W.Violations.empty())
    What += ", the first at " + W.Violations.front();
  checkUnlessKnownRed("Simulation seed " + std::to_string(Seed),
                      W.Violations.empty(), What);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Simulation)

// A late send of a former leader must not take effect after a newer order, and
// no fault may remove the last copy of a model or exceed the load limit.
BOOST_AUTO_TEST_CASE(InvariantsHoldUnderFaults) {
  std::uint64_t Sent = 0;
  std::uint64_t Fenced = 0;
  std::uint64_t Changes = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    OrderWorld W(Seed);
    W.start();
    W.runFor(FaultyTime);
    checkClean(W, Seed);
    Sent += W.Sent;
    Fenced += W.Fenced;
    Changes += W.Changes;
  }
  BOOST_TEST_MESSAGE("orders sent " << Sent << ", fenced " << Fenced
                                    << ", leaders " << Changes);
  // Checks that faults have actually occurred.
  BOOST_CHECK_GT(Sent, Seeds * 10);
  BOOST_CHECK_GT(Fenced, 0U);
  BOOST_CHECK_GT(Changes, Seeds * 2);
}

// An order that was open when its leader failed must not stay open for ever,
// since it blocks its engine.
BOOST_AUTO_TEST_CASE(OpenOrdersEndAfterFaultsStop) {
  for (std::uint64_t Seed = 1; Seed <= Seeds / 4; ++Seed) {
    OrderWorld W(Seed);
    W.start();
    W.runFor(FaultyTime);
    W.Quiet = true;
    std::map<BackendId, std::uint64_t> Open;
    for (const auto &[Id, E] : W.book().Engines) {
      if (E.Open)
        Open[Id] = E.Open->Fence;
    }
    W.runFor(bound(W.Config));
    for (const auto &[Id, Fence] : Open) {
      const EngineBook *E = findEngine(W.book(), Id);
      bool Same = E->Open && E->Open->Fence == Fence;
      BOOST_CHECK_MESSAGE(!Same, "seed " << Seed << ": order " << Fence
                                         << " is still open at " << Id);
    }
    checkClean(W, Seed);
  }
}

// Faults leave open orders, outdated registry entries and delayed retries
// behind. None of them may keep an engine from its target for ever.
BOOST_AUTO_TEST_CASE(TargetsAreReachedAfterFaultsStop) {
  for (std::uint64_t Seed = 1; Seed <= Seeds / 10; ++Seed) {
    OrderWorld W(Seed);
    W.start();
    W.runFor(FaultyTime);
    W.Quiet = true;
    W.Demand.clear();
    W.runFor(minutes(5));
    if (W.Registry.size() < W.Wanted.size())
      continue; // Too few engines are left for all models.
    for (const auto &[Name, Model] : W.Wanted) {
      std::size_t Copies = 0;
      for (const auto &Entry : W.EngineStates)
        Copies += Entry.second.Up ? Entry.second.Models.count(Name.Value) : 0;
      if (Model.Replicas > 0)
        BOOST_CHECK_MESSAGE(Copies > 0, "seed " << Seed << " without " << Name);
      if (Model.Replicas == 0)
        BOOST_CHECK_MESSAGE(Copies == 0, "seed " << Seed << " has " << Name);
    }
    for (const auto &[Id, E] : W.book().Engines)
      BOOST_CHECK_MESSAGE(!E.Open, "seed " << Seed << ": open at " << Id);
    checkClean(W, Seed);
  }
}

BOOST_AUTO_TEST_SUITE_END()
