// Entry hosts that lost their paths to backend servers, as the leader of the
// control hosts sees them.

#include "ControlSite.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace pimento;
using namespace pimento::testing;

namespace {

struct Fixture {
  ControlSite Site{13, {"10.0.0.1", "10.0.0.2", "10.0.0.3"}};
  HostId Leader;
  std::uint64_t Sequence = 0;

  Fixture() {
    Site.startAll(true);
    Leader = Site.waitForLeader(seconds(10));
    BOOST_TEST_REQUIRE(!Leader.empty());
  }

  static HostId entry(int Number) {
    return HostId("10.0.5." + std::to_string(Number));
  }

  /// An entry host reports which services it does not reach, and whether others
  /// reach them.
  void sync(int Number, const std::vector<ServiceId> &Unreached,
            bool IsCutOff) {
    EntrySync M;
    M.Sequence = ++Sequence;
    M.Ready = true;
    M.Uptime = seconds(100 - Number);
    M.Placer = placer();
    M.DataCentre = DataCentreId(Number <= 2 ? "north" : "south");
    M.Unreached = Unreached;
    M.IsCutOff = IsCutOff;
    M.WantsRelays = true;
    Site.Net.send(entry(Number), Leader, M);
    Site.Net.runFor(milliseconds(20));
  }
  HostId placer() { return Site.Net.node(Leader).State.Placer; }

  /// The relays that were named to the entry host last.
  std::vector<HostId> relays(int Number) {
    std::vector<HostId> Hosts;
    for (const RelayCandidate &C : Site.States[entry(Number)].back().Relays)
      Hosts.push_back(C.Host);
    std::sort(Hosts.begin(), Hosts.end());
    return Hosts;
  }
};

const ServiceId Pool("pool");
const ServiceId Ledger("ledger");

} // namespace

/// Guards against a cut host that goes on to place requests for all, by its own
/// failures, and against a placer that moves although all hosts are cut.
BOOST_FIXTURE_TEST_CASE(PlacerThatIsCutOffHandsOver, Fixture) {
  for (int Number = 1; Number <= 4; ++Number)
    sync(Number, {}, false);
  HostId First = placer();
  BOOST_TEST(First == entry(1));
  sync(1, {Pool}, true);
  HostId Second = placer();
  BOOST_TEST(Second != First);
  sync(1, {}, false);
  BOOST_TEST(placer() == Second); // It does not move back.
  for (int Number = 1; Number <= 4; ++Number)
    sync(Number, {Pool}, true);
  HostId Last = placer();
  for (int Number = 1; Number <= 4; ++Number)
    sync(Number, {Pool}, true);
  BOOST_TEST(placer() == Last);
}

/// Guards against a placer that moves since a service is down: no host reaches
/// it.
BOOST_FIXTURE_TEST_CASE(PlacerStaysWhereAServiceIsDown, Fixture) {
  for (int Number = 1; Number <= 4; ++Number)
    sync(Number, {}, false);
  HostId First = placer();
  sync(1, {Ledger}, false);
  BOOST_TEST(placer() == First);
}

/// Guards against hosts that are named as relays and do not reach the servers
/// either, also where one service is down everywhere.
BOOST_FIXTURE_TEST_CASE(OnlyHostsThatReachServersAreNamedAsRelays, Fixture) {
  for (int Number = 1; Number <= 4; ++Number)
    sync(Number, {}, false);
  sync(1, {Pool}, true);
  sync(2, {Pool}, true);
  sync(1, {Pool}, true);
  BOOST_TEST((relays(1) == std::vector<HostId>{entry(3), entry(4)}));
  sync(3, {Ledger}, false);
  sync(4, {Ledger}, false);
  sync(2, {Ledger, Pool}, true);
  sync(1, {Ledger, Pool}, true);
  BOOST_TEST((relays(1) == std::vector<HostId>{entry(3), entry(4)}));
}

/// Guards against operators who cannot see which hosts are cut off.
BOOST_FIXTURE_TEST_CASE(OperatorsSeeWhichHostsAreCutOff, Fixture) {
  sync(1, {}, false);
  sync(2, {Pool, Ledger}, true);
  ExchangeId Id = Site.request(Leader, HttpMethod::Get, "/v1/paths");
  Site.Net.runFor(milliseconds(20));
  BOOST_TEST(Site.statusOf(Leader, Id) == 200);
  const std::string &Body = Site.Answers[Leader].at(Id).Body;
  BOOST_TEST(Body.find(R"("cut_off":true)") != std::string::npos);
  BOOST_TEST(Body.find(R"("unreached":"pool ledger")") != std::string::npos);
  BOOST_TEST(Body.find(R"("unreached":"")") != std::string::npos);
}
