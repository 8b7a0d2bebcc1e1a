// Orders to engines with complete hosts: an edit of a document leads to loads
// at engines, and a load completes after the host that issued it fails.

#include <boost/test/unit_test.hpp>

#include "base/Json.h"
#include "node/ControlSnapshot.h"
#include "node/tests/VirtualBackends.h"

#include <algorithm>

using namespace pimento;
using namespace pimento::test;

namespace {

const std::vector<std::string> EngineNames = {"engine-1", "engine-2",
                                              "engine-3"};

std::string documentWithAdapter(std::uint64_t Number) {
  Json Document = Json::parse(VirtualSite::modelDocument(Number));
  Document["models"][0]["adapters"] = {"m-crew"};
  return Document.dump();
}

SiteOptions oneLoadAtOnce() {
  SiteOptions Options;
  Options.Adjust = [](Settings &S) {
    S.Orders.Loads = 1;
    S.Orders.MaxDeliveryTime = seconds(1);
  };
  return Options;
}

/// Engine 2 does not check fence numbers; every load takes two seconds.
void configureEngines(VirtualSite &Site) {
  for (const std::string &Name : EngineNames) {
    Site.engine(Name).Orders.Config.LoadTime = seconds(2);
    Site.engine(Name).Orders.Config.ModelBytes = 0;
    Site.engine(Name).Orders.Config.ChecksFence = Name != "engine-2";
  }
}

std::size_t loadsUnderWay(VirtualSite &Site) {
  std::size_t Loads = 0;
  for (const std::string &Name : EngineNames)
    Loads += Site.engine(Name).Orders.Loading.size();
  return Loads;
}

bool allLoaded(VirtualSite &Site) {
  return std::all_of(
      EngineNames.begin(), EngineNames.end(), [&](const std::string &Name) {
        return Site.engine(Name).Model->Models.count("m-crew") > 0;
      });
}

/// Records the largest number of concurrent loads over all steps.
struct LoadMonitor {
  std::size_t MostLoads = 0;

  explicit LoadMonitor(VirtualSite &Site) {
    auto Before = Site.P.AfterStep;
    Site.P.AfterStep = [this, &Site, Before] {
      if (Before)
        Before();
      MostLoads = std::max(MostLoads, loadsUnderWay(Site));
    };
  }
};

void checkFencesIncrease(VirtualSite &Site) {
  for (const std::string &Name : EngineNames) {
    const auto &Fences = Site.engine(Name).ExecutedFences;
    BOOST_TEST(std::is_sorted(Fences.begin(), Fences.end()), Name);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(Orders)

BOOST_AUTO_TEST_CASE(EditLoadsAnAdapterWithinTheBudget) {
  VirtualSite Site(oneLoadAtOnce(), 60);
  configureEngines(Site);
  BOOST_TEST_REQUIRE(Site.start());
  LoadMonitor Monitor(Site);
  Answer &Edit = Site.put("north-1", "text", documentWithAdapter(2));
  BOOST_TEST(Site.P.runUntilDone(seconds(20), [&] { return allLoaded(Site); }));
  BOOST_TEST(Edit.Status == 200);
  BOOST_TEST(Monitor.MostLoads == 1U);
  checkFencesIncrease(Site);
}

BOOST_AUTO_TEST_CASE(LoadCompletesAfterItsIssuerFails) {
  for (std::uint64_t Seed = 61; Seed < 69; ++Seed) {
    VirtualSite Site(oneLoadAtOnce(), Seed);
    configureEngines(Site);
    BOOST_TEST_REQUIRE(Site.start());
    LoadMonitor Monitor(Site);
    Site.put("north-1", "text", documentWithAdapter(2));
    Site.P.runUntilDone(seconds(10), [&] { return loadsUnderWay(Site) > 0; });
    // The seeds place the failure between different steps of the load.
    Site.P.runFor(milliseconds(static_cast<std::int64_t>(Seed - 61) * 300));
    std::string Issuer = Site.leader();
    BOOST_TEST_REQUIRE(!Issuer.empty());
    bool Frozen = Seed % 2 == 0;
    if (Frozen)
      Site.P.freeze(HostId(Issuer));
    else
      Site.kill(Issuer);
    Site.P.runFor(seconds(4));
    if (Frozen)
      Site.P.thaw(HostId(Issuer));
    BOOST_TEST(
        Site.P.runUntilDone(seconds(40), [&] { return allLoaded(Site); }),
        "seed " << Seed);
    BOOST_TEST(Monitor.MostLoads == 1U, "seed " << Seed);
    checkFencesIncrease(Site);
    // All orders end in the order book of every running host.
    Site.P.runFor(seconds(10));
    for (const char *Name : {"north-1", "centre-1", "south-1"}) {
      if (!Site.P.running(HostId(Name)))
        continue;
      OrderFigures F = orderFigures(Site.node(Name).Control.Orders);
      BOOST_TEST(F.Open == 0U, "seed " << Seed << " at " << Name);
    }
  }
}

BOOST_AUTO_TEST_CASE(SnapshotsWithoutOrdersAreDecoded) {
  Store Documents;
  PutDocumentCommand Edit;
  Edit.Service = ServiceId("text");
  Edit.Number = 1;
  Edit.Text = "{}";
  apply(Documents, Edit);
  auto Old = decodeControlSnapshot(encodeStore(Documents));
  BOOST_TEST_REQUIRE(!!Old);
  BOOST_TEST(Old->Documents.Revision == 1U);
  OrderBook Book;
  Book.LastFence = 9;
  auto New = decodeControlSnapshot(encodeControlSnapshot(Documents, Book));
  BOOST_TEST_REQUIRE(!!New);
  BOOST_TEST(New->Documents.Revision == 1U);
  BOOST_TEST(New->Orders.LastFence == 9U);
  BOOST_TEST(!decodeControlSnapshot("x"));
}

BOOST_AUTO_TEST_SUITE_END()
