#include <boost/test/unit_test.hpp>

#include "shell/HttpClient.h"
#include "shell/PeerLinks.h"
#include "shell/tests/LoopTurns.h"
#include "shell/tests/RawServer.h"
#include "shell/tests/Socket.h"

#include <csignal>
#include <string>
#include <vector>

using namespace pimento;
using namespace pimento::test;

namespace {

constexpr Duration MaxWait = seconds(30);
constexpr Duration QuietTime = milliseconds(300);
/// Descriptors that may be ready for one connection, from a state to its end.
constexpr std::uint64_t ReadyPerEnd = 16;

/// What a connection to a server has come to when it ends.
enum class State { Idle, Waiting, Answering, Paused };

struct StateRow {
  State S;
  const char *Name;
  ConnectionUse Use;
};

const std::vector<StateRow> States = {
    {State::Idle, "idle", ConnectionUse::Idle},
    {State::Waiting, "waiting", ConnectionUse::Waiting},
    {State::Answering, "answering", ConnectionUse::Answering},
    {State::Paused, "paused", ConnectionUse::Answering},
};

constexpr ConnectionEnd Ends[] = {ConnectionEnd::Close, ConnectionEnd::Reset,
                                  ConnectionEnd::Silence};

struct Fixture {
  EventBasePtr Base = makeEventBase();
  RawServer Server{Base.get()};
  std::vector<ConnectionEnd> Hows;
  std::vector<ConnectionUse> Uses;
  std::string Body;
  int Heads = 0;
  int Whole = 0;
  int Failed = 0;
  std::uint64_t NextCall = 1;
  HttpClient Client{Base.get(), hooks()};

  Fixture() { std::signal(SIGPIPE, SIG_IGN); }

  HttpClientHooks hooks() {
    HttpClientHooks H;
    H.Sent = [](UpstreamId, bool) {};
    H.Head = [this](UpstreamId, int, const std::vector<HttpHeader> &) {
      ++Heads;
    };
    H.Data = [this](UpstreamId, const std::string &Bytes) { Body += Bytes; };
    H.End = [this](UpstreamId, bool) { ++Whole; };
    H.Failed = [this](UpstreamId, const UpstreamFailure &) { ++Failed; };
    H.Ended = [this](ConnectionEnd How, ConnectionUse Use) {
      Hows.push_back(How);
      Uses.push_back(Use);
    };
    return H;
  }

  template <class F> bool until(F Done) {
    return runUntil(Base.get(), MaxWait, Done);
  }
  void wait(Duration Time) {
    runUntil(Base.get(), Time, [] { return false; });
  }

  /// Opens a call on a new connection and brings it to a state.
  RawServer::Connection &open(State S) {
    UpstreamRequest R;
    R.Address = Server.Address;
    R.Target = "/";
    R.EchoHeader = {"X-Id", "1"};
    R.MayReuse = false;
    UpstreamId Id{NextCall++};
    std::size_t Before = Server.Connections.size();
    Client.open(Id, R);
    BOOST_TEST_REQUIRE(until([&] {
      return Server.Connections.size() > Before &&
             Server.Connections.back().Received.size() > 4;
    }));
    RawServer::Connection &C = Server.Connections.back();
    const std::string Head = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n";
    int HeadsBefore = Heads;
    int WholeBefore = Whole;
    if (S == State::Waiting)
      return C;
    C.write(Head + (S == State::Idle ? "all of it" : "part"));
    BOOST_TEST_REQUIRE(until([&] {
      return Heads > HeadsBefore && (S != State::Idle || Whole > WholeBefore);
    }));
    if (S == State::Paused)
      Client.pause(Id);
    return C;
  }

  void checkEnd(const StateRow &Row, ConnectionEnd How) {
    BOOST_TEST_CONTEXT(Row.Name << ", " << toString(How)) {
      RawServer::Connection &C = open(Row.S);
      Hows.clear();
      Uses.clear();
      int FailedBefore = Failed;
      std::uint64_t ReadyBefore = readyDescriptors();
      C.end(How);
      if (Row.S == State::Paused) {
        // What came before the end is read first, once the caller has room.
        wait(QuietTime);
        BOOST_TEST(Hows.empty());
        Client.resume(UpstreamId{NextCall - 1});
      }
      BOOST_TEST(until([&] { return !Hows.empty(); }));
      BOOST_TEST(until([&] { return Client.connections() == 0; }));
      BOOST_TEST(readyDescriptors() - ReadyBefore <= ReadyPerEnd);
      BOOST_TEST_REQUIRE(Hows.size() == 1U);
      BOOST_TEST(toString(Hows[0]) == toString(How));
      BOOST_TEST(toString(Uses[0]) == toString(Row.Use));
      BOOST_TEST(Failed - FailedBefore == (Row.S == State::Idle ? 0 : 1));
      BOOST_TEST(Client.calls() == 0U);
    }
  }
};

} // namespace

/// Guards against servers whose end is not noticed in a state, or wakes the
/// loop without being handled.
BOOST_FIXTURE_TEST_CASE(ServersThatEndAreNoticedInEachState, Fixture) {
  for (const StateRow &Row : States) {
    for (ConnectionEnd How : Ends) {
      if (Row.S == State::Idle && How == ConnectionEnd::Silence)
        continue; // The client closes idle connections by itself.
      checkEnd(Row, How);
    }
  }
}

/// Guards against connections that this host ends and that count as ended by
/// the server.
BOOST_FIXTURE_TEST_CASE(CallsThatAreAbortedCountAsEndsOfTheHost, Fixture) {
  open(State::Answering);
  Client.abort(UpstreamId{NextCall - 1});
  BOOST_TEST_REQUIRE(Hows.size() == 1U);
  BOOST_TEST(toString(Hows[0]) == toString(ConnectionEnd::Host));
  BOOST_TEST(toString(Uses[0]) == toString(ConnectionUse::Answering));
  wait(QuietTime);
  BOOST_TEST(Hows.size() == 1U);
}

/// Guards against links whose end is not noticed, before their handshake or
/// while they are idle.
BOOST_AUTO_TEST_CASE(PeersThatEndAreNoticedInEachState) {
  EventBasePtr Base = makeEventBase();
  const std::vector<PeerSettings> Peers = {
      {HostId("a"), DataCentreId("x"), freeAddress(), true},
      {HostId("b"), DataCentreId("x"), freeAddress(), true}};
  std::vector<std::string> Seen;
  auto MakeHost = [&](const char *Name, bool Watches) {
    PeerLinksHooks Hooks;
    Hooks.Received = [](const HostId &, IncarnationNumber, const Message &) {};
    Hooks.Lost = [](const HostId &, LinkLane) {};
    Hooks.Refused = [](Code, const std::string &) {};
    if (Watches)
      Hooks.Ended = [&Seen](ConnectionEnd How, ConnectionUse Use) {
        Seen.push_back(std::string(toString(How)) + " " + toString(Use));
      };
    return std::make_unique<PeerLinks>(Base.get(), HostId(Name), 1, "secret",
                                       Peers, Hooks);
  };
  auto A = MakeHost("a", true);
  BOOST_TEST_REQUIRE(A->listen(Peers[0].Address));
  auto Until = [&](std::size_t Count) {
    return runUntil(Base.get(), MaxWait, [&] { return Seen.size() == Count; });
  };
  for (ConnectionEnd How : {ConnectionEnd::Close, ConnectionEnd::Reset}) {
    RawSocket Caller(Peers[0].Address);
    Caller.write("GET / HTTP/1.1\r\n");
    runUntil(Base.get(), QuietTime, [] { return false; });
    std::uint64_t Before = readyDescriptors();
    std::size_t Count = Seen.size();
    Caller.end(How);
    BOOST_TEST_REQUIRE(Until(Count + 1));
    BOOST_TEST(Seen.back() == std::string(toString(How)) + " waiting");
    BOOST_TEST(readyDescriptors() - Before <= ReadyPerEnd);
  }
  auto B = MakeHost("b", false);
  BOOST_TEST_REQUIRE(B->listen(Peers[1].Address));
  B->send(HostId("a"), Withdraw{AttemptId{{1, 1}, 1}});
  BOOST_TEST(runUntil(Base.get(), MaxWait, [&] {
    return A->counters().MessagesReceived >= 3; // Two of the handshake.
  }));
  std::size_t Count = Seen.size();
  B.reset();
  BOOST_TEST_REQUIRE(Until(Count + 1));
  BOOST_TEST(Seen.back() == "close idle");
}
