#include <boost/test/unit_test.hpp>

#include "shell/PeerLinks.h"
#include "shell/tests/Socket.h"

#include <memory>

using namespace pimento;
using namespace pimento::test;

namespace {

constexpr Duration MaxWait = seconds(10);

struct Host {
  HostId Name;
  std::vector<std::pair<HostId, Message>> Received;
  std::vector<Code> Refused;
  std::vector<HostId> Lost;
  std::vector<HostId> LostRelays;
  std::unique_ptr<PeerLinks> Links;
  bool IsRelaying = false;

  void start(event_base *Base, IncarnationNumber Incarnation,
             const std::string &Token, const std::vector<PeerSettings> &Peers) {
    PeerLinksHooks Hooks;
    Hooks.Received = [this](const HostId &From, IncarnationNumber, Message M) {
      Received.emplace_back(From, std::move(M));
    };
    Hooks.Lost = [this](const HostId &Peer, LinkLane Lane) {
      (Lane == LinkLane::Site ? Lost : LostRelays).push_back(Peer);
    };
    Hooks.IsRelaying = [this](const HostId &) { return IsRelaying; };
    Hooks.Refused = [this](Code C, const std::string &) {
      Refused.push_back(C);
    };
    Links = std::make_unique<PeerLinks>(Base, Name, Incarnation, Token, Peers,
                                        Hooks);
    for (const PeerSettings &Peer : Peers) {
      if (Peer.Name == Name)
        BOOST_TEST_REQUIRE(Links->listen(Peer.Address));
    }
  }
};

struct HostPair {
  EventBasePtr Base = makeEventBase();
  Host A{HostId("a"), {}, {}, {}, {}, nullptr};
  Host B{HostId("b"), {}, {}, {}, {}, nullptr};
  std::vector<PeerSettings> Peers = {
      {HostId("a"), DataCentreId("x"), freeAddress(), true},
      {HostId("b"), DataCentreId("x"), freeAddress(), true}};

  template <class F> bool until(F Done) {
    return runUntil(Base.get(), MaxWait, Done);
  }
};

Message numbered(std::uint32_t Number) {
  return Withdraw{AttemptId{{1, 1}, Number}};
}

} // namespace

BOOST_FIXTURE_TEST_CASE(MessagesArriveInOrder, HostPair) {
  A.start(Base.get(), 1, "secret", Peers);
  B.start(Base.get(), 2, "secret", Peers);
  for (std::uint32_t I = 1; I <= 100; ++I)
    A.Links->send(B.Name, numbered(I));
  BOOST_TEST(until([&] { return B.Received.size() == 100; }));
  for (std::uint32_t I = 1; I <= 100; ++I)
    BOOST_TEST(std::get<Withdraw>(B.Received[I - 1].second).Attempt.Number ==
               I);
  BOOST_TEST(B.Received[0].first == A.Name);
  B.Links->send(A.Name, numbered(7));
  BOOST_TEST(until([&] { return A.Received.size() == 1; }));
}

BOOST_FIXTURE_TEST_CASE(PeerWithWrongTokenIsRefused, HostPair) {
  A.start(Base.get(), 1, "secret", Peers);
  B.start(Base.get(), 2, "another", Peers);
  A.Links->send(B.Name, numbered(1));
  BOOST_TEST(until([&] { return !A.Refused.empty() && !B.Refused.empty(); }));
  BOOST_TEST(B.Refused[0] == Code::PeerUnauthorized);
  BOOST_TEST(B.Received.empty());
}

BOOST_FIXTURE_TEST_CASE(RestartedPeerIsReconnected, HostPair) {
  A.start(Base.get(), 1, "secret", Peers);
  B.start(Base.get(), 2, "secret", Peers);
  A.Links->send(B.Name, numbered(1));
  BOOST_TEST(until([&] { return B.Received.size() == 1; }));
  B.Links.reset();
  BOOST_TEST(until([&] { return !A.Lost.empty(); }));
  B.start(Base.get(), 3, "secret", Peers);
  BOOST_TEST(until([&] {
    A.Links->send(B.Name, numbered(2));
    return B.Received.size() >= 2;
  }));
}

BOOST_FIXTURE_TEST_CASE(InvalidBytesOnPeerPortAreRefused, HostPair) {
  A.start(Base.get(), 1, "secret", Peers);
  RawSocket Garbage(Peers[0].Address);
  Garbage.write("GET / HTTP/1.1\r\nUpgrade: something\r\n\r\n\x01\x02");
  BOOST_TEST(until([&] { return Garbage.readAvailable(); }));
  RawSocket Silent(Peers[0].Address);
  BOOST_TEST(until([&] { return Silent.readAvailable(); }));
  BOOST_TEST(A.Received.empty());
}

/// Guards against heartbeats that wait behind the body of a relayed request, or
/// are lost with its link.
BOOST_FIXTURE_TEST_CASE(RelayedRequestsUseALinkOfTheirOwn, HostPair) {
  A.start(Base.get(), 1, "secret", Peers);
  B.start(Base.get(), 2, "secret", Peers);
  A.Links->send(B.Name, numbered(1));
  RelayBody Body;
  Body.Bytes.Data.assign(1U << 20U, 'x');
  A.Links->send(B.Name, Body);
  BOOST_TEST(until([&] { return B.Received.size() == 2; }));
  B.Links->send(A.Name, RelayCredit());
  BOOST_TEST(until([&] { return A.Received.size() == 1; }));
  BOOST_TEST(B.Received[0].first == A.Name);
  BOOST_TEST(B.Received[1].first == A.Name);
  BOOST_TEST(A.Lost.empty());
  B.Links.reset();
  BOOST_TEST(until([&] { return !A.Lost.empty() && !A.LostRelays.empty(); }));
  BOOST_TEST(A.Lost.size() == 1U);
  BOOST_TEST(A.LostRelays.size() == 1U);
}

/// Guards against a link that is closed while a relayed request waits for its
/// server: both hosts would give the request up, although its server goes on.
BOOST_FIXTURE_TEST_CASE(IdleRelayLinkStaysOpenWhileARequestIsOpen, HostPair) {
  A.IsRelaying = true;
  A.start(Base.get(), 1, "secret", Peers);
  B.start(Base.get(), 2, "secret", Peers);
  A.Links->setRelayIdleTime(milliseconds(100));
  A.Links->send(B.Name, RelayRequest());
  BOOST_TEST(until([&] { return B.Received.size() == 1; }));
  runUntil(Base.get(), milliseconds(500), [] { return false; });
  BOOST_TEST(A.LostRelays.empty());
  BOOST_TEST(B.LostRelays.empty());
  // The request has ended.
  A.IsRelaying = false;
  BOOST_TEST(
      until([&] { return !A.LostRelays.empty() && !B.LostRelays.empty(); }));
}

/// Guards against a caller, or another process, that hands over requests as a
/// host of the site.
BOOST_FIXTURE_TEST_CASE(RelayedRequestNeedsTheProofOfAHost, HostPair) {
  A.start(Base.get(), 1, "secret", Peers);
  B.start(Base.get(), 2, "another", Peers);
  A.Links->send(B.Name, RelayRequest());
  BOOST_TEST(until([&] { return !B.Refused.empty(); }));
  BOOST_TEST(B.Refused[0] == Code::PeerUnauthorized);
  BOOST_TEST(B.Received.empty());
}
