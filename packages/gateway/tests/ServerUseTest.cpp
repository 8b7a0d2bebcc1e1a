// The one place that decides whether a server gets a request, as operators see
// it.

#include "gateway/tests/GatewayFixture.h"

#include "base/Json.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace pimento;
using namespace pimento::testing;

namespace {

struct Operator : GatewayFixture {
  Json list() {
    HttpRequest R;
    R.Path = R.Target = "/v1/servers";
    event(OperatorRequest{ExchangeId{NextExchange++}, R});
    HttpReply Reply = only<calls::SendReply>().Reply;
    BOOST_REQUIRE_EQUAL(Reply.Status, 200);
    return Json::parse(Reply.Body);
  }

  std::map<std::string, std::string> blocks() {
    std::map<std::string, std::string> Blocks;
    Json List = list();
    for (const Json &Server : List.at("servers"))
      Blocks[Server.at("server")] = Server.at("block");
    return Blocks;
  }

  /// Sends a request for a plain server and returns where it went.
  std::pair<BackendId, UpstreamId> send() {
    call(HttpMethod::Get, "/r/1");
    calls::OpenUpstream Open = onlySend();
    sent(Open.Upstream);
    bool IsFirst = Open.Request.Address == "10.0.2.1:80";
    return {BackendId(IsFirst ? "p1" : "p2"), Open.Upstream};
  }

  void report(ServerReport R) {
    SiteState M;
    M.Sequence = S.Link.Sequence;
    M.IsCurrent = true;
    M.Leader = Control;
    M.Config = 3;
    M.Servers = {std::move(R)};
    event(PeerMessage{Control, 1, M});
  }

  double gauge(const std::string &Block) const {
    for (const MetricSample &Sample : gatewayGauges(S, Now)) {
      if (Sample.Name == std::string("pimento_servers") &&
          Sample.Label == "block=\"" + Block + "\"")
        return Sample.Value;
    }
    return -1;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerUse, Operator)

BOOST_AUTO_TEST_CASE(SoundServersHaveNoBlock) {
  for (const auto &[Server, Block] : blocks())
    BOOST_TEST(Block == "none");
  BOOST_TEST(gauge("none") == 4);
  BOOST_TEST(gauge("paused") == 0);
}

BOOST_AUTO_TEST_CASE(PauseIsNamedWithItsTime) {
  auto [Server, Upstream] = send();
  head(Upstream, 503, {{"Retry-After", "5"}});
  Json List = list();
  for (const Json &Line : List.at("servers")) {
    bool IsPaused = Line.at("server") == Server.Value;
    BOOST_TEST(Line.at("block") == (IsPaused ? "paused" : "none"));
    BOOST_TEST(Line.at("for_ms") == (IsPaused ? 5000 : -1));
  }
  BOOST_TEST(gauge("paused") == 1);
  tick(seconds(5));
  BOOST_TEST(blocks().at(Server.Value) == "none");
}

/// The next incarnation at the id wants requests.
BOOST_AUTO_TEST_CASE(NewIncarnationIsNotPaused) {
  auto [Server, Upstream] = send();
  head(Upstream, 503, {{"Retry-After", "5"}});
  BOOST_TEST(blocks().at(Server.Value) == "paused");
  ServerReport Next = S.Servers.Servers.at(Server).Report;
  Next.Incarnation += 1;
  report(Next);
  BOOST_TEST(blocks().at(Server.Value) == "none");
}

BOOST_AUTO_TEST_CASE(LeavingServersAreNamed) {
  auto [Server, Upstream] = send();
  head(Upstream, 200, {{"Server-Leaving", "1"}});
  // The host takes it out of its own list at once.
  BOOST_TEST(blocks().at(Server.Value) == "not_ready");
  BOOST_TEST(gauge("not_ready") == 1);
}

BOOST_AUTO_TEST_CASE(LimitedServersAreNamed) {
  auto [Server, Upstream] = send();
  head(Upstream, 200, {{"Server-Limit", "50"}});
  BOOST_TEST(blocks().at(Server.Value) == "limited");
}

BOOST_AUTO_TEST_CASE(EjectedServersAreNamed) {
  S.Health.Servers[BackendId("p1")].EjectedUntil = Now + seconds(2);
  Json List = list();
  for (const Json &Line : List.at("servers")) {
    bool IsEjected = Line.at("server") == "p1";
    BOOST_TEST(Line.at("block") == (IsEjected ? "ejected" : "none"));
    BOOST_TEST(Line.at("for_ms") == (IsEjected ? 2000 : -1));
  }
}

/// A server that this host failed to reach, while it reaches the others.
BOOST_AUTO_TEST_CASE(ServersWithoutPathAreNamed) {
  ServerReport Third = server("p3", "plain", "10.0.2.3:80");
  report(Third);
  auto [Server, Upstream] = send();
  Gone.insert(Server);
  failUpstream(Upstream, /*BytesSent=*/false);
  BOOST_TEST(blocks().at(Server.Value) == "no_path");
  BOOST_TEST(gauge("no_path") == 1);
}

BOOST_AUTO_TEST_CASE(OtherRequestsOfOperatorsAreNotFound) {
  HttpRequest R;
  R.Path = R.Target = "/v1/servers/p1";
  event(OperatorRequest{ExchangeId{NextExchange++}, R});
  BOOST_TEST(only<calls::SendReply>().Reply.Status == 404);
}

BOOST_AUTO_TEST_SUITE_END()
