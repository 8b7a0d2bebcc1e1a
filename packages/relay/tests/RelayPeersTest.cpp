#include <boost/test/unit_test.hpp>

#include "relay/RelayPeers.h"

#include <algorithm>
#include <map>

using namespace pimento;

namespace {

const ServiceId Pool("pool");
const DataCentreId Here("a");

std::vector<RelayCandidate> hosts(int Near, int Far) {
  std::vector<RelayCandidate> List;
  List.reserve(static_cast<std::size_t>(Near) + static_cast<std::size_t>(Far));
  for (int I = 0; I < Near; ++I)
    List.push_back({HostId("n" + std::to_string(I)), Here});
  for (int I = 0; I < Far; ++I)
    List.push_back({HostId("f" + std::to_string(I)), DataCentreId("b")});
  return List;
}

struct Fixture {
  RelayPeers P;
  Random Rng{3};
  TimePoint Now = TimePoint() + seconds(50);

  void reply(const HostId &Host, std::uint64_t Sequence,
             std::uint64_t Relayed = 0, bool Takes = true) {
    PathReply Reply;
    Reply.Sequence = Sequence;
    Reply.Relayed = Relayed;
    Reply.TakesRequests = Takes;
    noteReply(P, Host, Reply, {Pool}, Now);
  }
  void askAll() {
    for (auto &[Host, Sequence] : takeHostsToAsk(P, Here, Rng, 99, Now))
      reply(Host, Sequence);
  }
};

} // namespace

/// Guards against a host that asks only hosts that may have lost their paths
/// together with it.
BOOST_FIXTURE_TEST_CASE(OneHostOfAnotherDataCentreIsAsked, Fixture) {
  setCandidates(P, hosts(6, 1), Now);
  auto Asked = takeHostsToAsk(P, Here, Rng, 2, Now);
  BOOST_TEST(Asked.size() == 2U);
  BOOST_TEST(Asked[0].first == HostId("f0"));
}

/// Guards against relays that get all requests while others get none.
BOOST_FIXTURE_TEST_CASE(RequestsAreSpread, Fixture) {
  setCandidates(P, hosts(0, 5), Now);
  askAll();
  for (int I = 0; I < 500; ++I)
    P.Hosts.at(chooseRelay(P, Pool, Here, Rng, Now)).InFlight += 1;
  for (const auto &[Host, Peer] : P.Hosts) {
    BOOST_TEST(Peer.InFlight > 80U);
    BOOST_TEST(Peer.InFlight < 120U);
  }
}

/// Guards against bytes between data centres that are not needed, and against
/// one near host that gets the requests of a whole data centre.
BOOST_FIXTURE_TEST_CASE(NearRelayIsPreferredUntilItIsLoaded, Fixture) {
  setCandidates(P, hosts(1, 4), Now);
  askAll();
  BOOST_TEST(chooseRelay(P, Pool, Here, Rng, Now) == HostId("n0"));
  P.Hosts.at(HostId("n0")).Load = 100;
  BOOST_TEST(chooseRelay(P, Pool, Here, Rng, Now) != HostId("n0"));
}

/// Guards against requests for a host that is silent, refuses them, or said so
/// long ago.
BOOST_FIXTURE_TEST_CASE(OnlyHostsThatRepliedLatelyAreChosen, Fixture) {
  setCandidates(P, hosts(0, 2), Now);
  BOOST_TEST(chooseRelay(P, Pool, Here, Rng, Now).empty());
  auto Asked = takeHostsToAsk(P, Here, Rng, 2, Now);
  reply(Asked[0].first, Asked[0].second);
  reply(Asked[1].first, Asked[1].second, 0, /*Takes=*/false);
  BOOST_TEST(relayCount(P, Pool, Now) == 1U);
  BOOST_TEST(chooseRelay(P, Pool, Here, Rng, Now) == Asked[0].first);
  BOOST_TEST(chooseRelay(P, ServiceId("x"), Here, Rng, Now).empty());
  avoidRelay(P, Asked[0].first, Now);
  BOOST_TEST(chooseRelay(P, Pool, Here, Rng, Now).empty());
  Now += seconds(1);
  askAll();
  BOOST_TEST(relayCount(P, Pool, Now) == 2U);
  Now += seconds(3);
  BOOST_TEST(relayCount(P, Pool, Now) == 0U);
}

/// Guards against a relay that is lost without a sign.
BOOST_FIXTURE_TEST_CASE(SilentRelayIsFound, Fixture) {
  setCandidates(P, hosts(0, 1), Now);
  askAll();
  Now += milliseconds(500);
  BOOST_TEST(takeRelaysToAsk(P, Now).size() == 1U);
  BOOST_TEST((nextReplyTimeout(P) > Now));
  Now = nextReplyTimeout(P);
  BOOST_TEST(takeSilentHosts(P, Now).size() == 1U);
  BOOST_TEST(chooseRelay(P, Pool, Here, Rng, Now).empty());
  BOOST_TEST((nextReplyTimeout(P) == TimePoint::max()));
}

/// Guards against a late reply to an earlier query.
BOOST_FIXTURE_TEST_CASE(ReplyToAnotherQueryIsIgnored, Fixture) {
  setCandidates(P, hosts(0, 1), Now);
  auto Asked = takeHostsToAsk(P, Here, Rng, 1, Now);
  reply(Asked[0].first, Asked[0].second + 1);
  reply(HostId("unknown"), Asked[0].second);
  BOOST_TEST(relayCount(P, Pool, Now) == 0U);
}

/// Guards against a list without the hosts that have requests.
BOOST_FIXTURE_TEST_CASE(HostsInUseStayCandidates, Fixture) {
  setCandidates(P, hosts(0, 2), Now);
  P.Hosts.at(HostId("f0")).InFlight = 1;
  setCandidates(P, hosts(1, 0), Now);
  BOOST_TEST(P.Hosts.size() == 2U);
  BOOST_TEST(P.Hosts.count(HostId("f0")) == 1U);
}
