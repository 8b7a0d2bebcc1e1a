// Requests that one entry host hands over to another one: bodies and answers,
// refusals, and what becomes of them if one of the hosts or the caller is lost.

#include "gateway/tests/GatewayFixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>

using namespace pimento;
using namespace pimento::testing;

namespace {

const ServiceId Plain("plain");
const HostId Other("10.0.0.9");
constexpr IncarnationNumber Incarnation = 5;

/// A host that is cut off from a service, and a relay that is not.
struct RelayPair {
  GatewayFixture A{true, "10.0.0.1:7340"};
  GatewayFixture B{true, "10.0.0.2:7340"};
  std::vector<SendPeer> ToRelay; // Messages of A, in the order of sending.
  std::vector<SendPeer> ToHost;  // Messages of B.

  RelayPair() {
    for (const char *Service : {"plain", "llm"})
      A.S.Relays.Paths.Services[ServiceId(Service)].State = PathState::Cut;
    for (const HostId &Host : {B.S.Self, Other})
      A.S.Relays.Peers.Hosts[Host].DataCentre = A.S.Engines.Here;
    reaches(B.S.Self);
  }

  /// The host replied that it reaches servers.
  void reaches(const HostId &Host) {
    for (const char *Service : {"plain", "llm"})
      A.S.Relays.Peers.Hosts.at(Host).ReachesAt[ServiceId(Service)] = A.Now;
  }
  /// Host A reaches no engine, and these hosts have just replied that they do.
  void cutOffFromEngines(const std::vector<HostId> &Relays) {
    for (auto &[Host, Peer] : A.S.Relays.Peers.Hosts) {
      Peer.PendingQuery = 0;
      Peer.AvoidUntil = TimePoint();
    }
    A.S.Relays.Paths.Services[ServiceId("llm")].State = PathState::Cut;
    for (const HostId &Relay : Relays)
      reaches(Relay);
  }
  ExchangeId call(HttpMethod Method, const char *Target, std::string Body = "",
                  std::vector<HttpHeader> More = {}) {
    ExchangeId Id{A.NextExchange++};
    HttpRequest R;
    R.Method = Method;
    R.Path = Target;
    R.Target = Target;
    R.Body = std::move(Body);
    R.Headers = {{"Host", "h"},
                 {"X-Pimentoglade-Attempt-Id", "id1"},
                 {"Authorization", "Token k"},
                 {"X-Own", "kept"}};
    for (HttpHeader &Header : More)
      R.Headers.push_back(std::move(Header));
    A.event(CallerRequest{Id, R});
    return Id;
  }
  /// Passes what the last events led to between the hosts, until there is
  /// nothing left. LastEffects of each host then holds all its effects but the
  /// messages that were passed.
  void pass() {
    Side ToB{A, B, ToRelay, {}, A.EventCount != SeenOfA};
    Side ToA{B, A, ToHost, {}, B.EventCount != SeenOfB};
    collect(ToB);
    collect(ToA);
    while (!ToB.Waiting.empty() || !ToA.Waiting.empty()) {
      deliver(ToB, ToA);
      deliver(ToA, ToB);
    }
    A.LastEffects = ToB.Others;
    B.LastEffects = ToA.Others;
    SeenOfA = A.EventCount;
    SeenOfB = B.EventCount;
  }

  template <class T> static std::size_t count(const std::vector<SendPeer> &In) {
    return static_cast<std::size_t>(
        std::count_if(In.begin(), In.end(), [](const SendPeer &Send) {
          return std::holds_alternative<T>(Send.Content);
        }));
  }

private:
  /// One direction between the hosts.
  struct Side {
    GatewayFixture &From;
    GatewayFixture &To;
    std::vector<SendPeer> &Passed;
    Effects Others; // Effects of From that are no messages to To.
    bool IsNew = true;
    std::deque<SendPeer> Waiting = {};
  };

  std::size_t SeenOfA = 0; // Events whose effects were passed.
  std::size_t SeenOfB = 0;

  static void collect(Side &S) {
    if (!S.IsNew)
      return;
    for (const Effect &E : S.From.LastEffects) {
      const auto *Send = std::get_if<SendPeer>(&E);
      bool IsPassed = Send != nullptr && Send->To == S.To.S.Self &&
                      laneOf(Send->Content) == LinkLane::Relay;
      if (IsPassed)
        S.Waiting.push_back(*Send);
      else
        S.Others.push_back(E);
    }
  }
  /// Delivers what waits, and collects what it leads to.
  static void deliver(Side &S, Side &Back) {
    while (!S.Waiting.empty()) {
      SendPeer Send = S.Waiting.front();
      S.Waiting.pop_front();
      S.Passed.push_back(Send);
      S.To.event(PeerMessage{S.From.S.Self, Incarnation, Send.Content});
      Back.IsNew = true;
      collect(Back);
    }
  }
};

std::string text(std::size_t Size) {
  std::string Text;
  for (std::size_t I = 0; I < Size; ++I)
    Text += static_cast<char>('a' + I * 7 % 26);
  return Text;
}

} // namespace

/// Guards against requests that reach the server with other bytes, or with the
/// caller's key, and against a longer deadline than the caller's.
BOOST_FIXTURE_TEST_CASE(ServerGetsTheCallersRequest, RelayPair) {
  std::string Body = text(300000);
  call(HttpMethod::Post, "/w/1?x=%20y", Body,
       {{"X-Pimentoglade-Deadline-Ms", "400"}});
  BOOST_TEST(A.all<calls::OpenUpstream>().empty());
  pass();
  BOOST_TEST(count<RelayBody>(ToRelay) >= 4U); // In chunks, by credit.
  BOOST_TEST(count<RelayBodyCredit>(ToHost) >= 3U);
  calls::OpenUpstream Open = B.only<calls::OpenUpstream>();
  BOOST_TEST((Open.Request.Method == HttpMethod::Post));
  BOOST_TEST(Open.Request.Target == "/w/1?x=%20y");
  BOOST_TEST((Open.Request.Body == Body));
  BOOST_TEST(!Open.Request.MayReuse);
  BOOST_TEST(valueOf(Open, "X-Own") == "kept");
  BOOST_TEST(valueOf(Open, "X-Pimentoglade-Attempt-Id") == "id1");
  BOOST_TEST(valueOf(Open, "X-Pimentoglade-Tenant") == "t");
  BOOST_TEST(valueOf(Open, "Authorization").empty());
  BOOST_TEST(valueOf(Open, "X-Pimentoglade-Deadline-Ms") == "400");
}

/// Guards against an answer that differs from the server's.
BOOST_FIXTURE_TEST_CASE(CallerGetsTheServersAnswer, RelayPair) {
  call(HttpMethod::Get, "/r/1");
  pass();
  calls::OpenUpstream Open = B.only<calls::OpenUpstream>();
  std::string Body = text(200000);
  B.sent(Open.Upstream);
  B.head(Open.Upstream, 201);
  pass();
  B.event(UpstreamData{Open.Upstream, Body});
  pass();
  B.event(UpstreamEnd{Open.Upstream, true});
  pass();
  calls::SendReply Reply = A.only<calls::SendReply>();
  BOOST_TEST(Reply.Reply.Status == 201);
  BOOST_TEST((Reply.Reply.Body == Body));
  BOOST_TEST(headerValue(Reply.Reply.Headers, "Digest") == "d");
  BOOST_TEST(headerValue(Reply.Reply.Headers, "X-Pimentoglade-Replica-Stamp") ==
             "s");
  BOOST_TEST(A.S.Calls.empty());
  BOOST_TEST(A.S.Relays.Peers.Hosts.at(B.S.Self).InFlight == 0U);
  BOOST_TEST(B.S.Relays.Taken.empty());
  BOOST_TEST(B.S.Relays.TakenById.empty());
}

/// Guards against a half event that reaches a caller in a complete answer by
/// way of a relay: the server breaks off within the event, and ends properly.
BOOST_FIXTURE_TEST_CASE(RelayedStreamThatEndsWithinAnEventIsNotComplete,
                        RelayPair) {
  call(HttpMethod::Post, "/s/1", "",
       {{"X-Pimentoglade-Token-Count", "5000,1300"}});
  pass();
  std::string Forwarded;
  // Both servers that the route allows break off.
  for (int Server = 0; Server < 2; ++Server) {
    calls::OpenUpstream Open = B.only<calls::OpenUpstream>();
    B.sent(Open.Upstream);
    B.head(Open.Upstream, 200, {{"Content-Type", "text/event-stream"}});
    pass();
    std::string Id = std::to_string(Server + 1);
    B.event(
        UpstreamData{Open.Upstream, "id: " + Id + "\ndata: x\n\nid: 9\nda"});
    pass();
    for (const calls::StreamBytes &Bytes : A.all<calls::StreamBytes>())
      Forwarded += Bytes.Bytes;
    B.event(UpstreamEnd{Open.Upstream, true});
    if (Server == 0)
      BOOST_TEST(A.all<calls::EndStream>().empty());
    pass();
  }
  BOOST_TEST(Forwarded == "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
  BOOST_TEST(!A.only<calls::EndStream>().IsComplete);
}

/// Guards against LOST by way of a relay: its engine was silent, neither host
/// found another one, and one of them broke the stream off.
BOOST_FIXTURE_TEST_CASE(RelayedStreamOfASilentEngineGoesOn, RelayPair) {
  call(HttpMethod::Post, "/s/1", "",
       {{"X-Pimentoglade-Token-Count", "5000,1300"}});
  pass();
  calls::OpenUpstream Open = B.only<calls::OpenUpstream>();
  B.sent(Open.Upstream);
  B.head(Open.Upstream, 200, {{"Content-Type", "text/event-stream"}});
  pass();
  B.event(UpstreamData{Open.Upstream, "id: 1\ndata: a\n\n"});
  pass();
  BOOST_TEST(A.only<calls::StreamBytes>().Bytes == "id: 1\ndata: a\n\n");
  for (int Step = 0; Step < 30; ++Step) {
    A.advance(milliseconds(100));
    B.advance(milliseconds(100));
    pass();
    BOOST_TEST(A.all<calls::EndStream>().empty());
    for (const calls::OpenUpstream &Next : B.all<calls::OpenUpstream>()) {
      if (Next.Request.Target == "/s/1")
        B.failUpstream(Next.Upstream, true);
    }
    pass();
  }
  B.event(UpstreamData{Open.Upstream, "id: 2\ndata: b\n\n"});
  pass();
  BOOST_TEST_REQUIRE(A.all<calls::StreamBytes>().size() == 1U);
  BOOST_TEST(A.only<calls::StreamBytes>().Bytes == "id: 2\ndata: b\n\n");
  B.event(UpstreamEnd{Open.Upstream, true});
  pass();
  BOOST_TEST_REQUIRE(A.all<calls::EndStream>().size() == 1U);
  BOOST_TEST(A.only<calls::EndStream>().IsComplete);
  BOOST_TEST(A.S.Calls.empty());
  BOOST_TEST(B.S.Calls.empty());
  BOOST_TEST(B.S.Relays.Taken.empty());
}

/// Guards against a slow caller whose stream fills the memory of both hosts:
/// the server's answer is not read meanwhile, and that is no silence of the
/// server.
BOOST_FIXTURE_TEST_CASE(SlowCallerHoldsBackTheServer, RelayPair) {
  ExchangeId Caller = call(HttpMethod::Post, "/s/1", "",
                           {{"X-Pimentoglade-Token-Count", "5000,1300"}});
  pass();
  calls::OpenUpstream Open = B.only<calls::OpenUpstream>();
  B.sent(Open.Upstream);
  B.head(Open.Upstream, 200, {{"Content-Type", "text/event-stream"}});
  pass();
  std::size_t Forwarded = 0;
  bool IsPaused = false;
  int Events = 0;
  while (!IsPaused && Events < 1000) {
    std::string Event = "id: " + std::to_string(++Events) +
                        "\ndata: " + std::string(1000, 'x') + "\n\n";
    B.event(UpstreamData{Open.Upstream, Event});
    for (const calls::PauseUpstream &Pause : B.all<calls::PauseUpstream>())
      IsPaused = Pause.Paused;
    pass();
    for (const calls::StreamBytes &Bytes : A.all<calls::StreamBytes>())
      Forwarded += Bytes.Bytes.size();
  }
  BOOST_TEST(IsPaused);
  BOOST_TEST(Forwarded <= FlowWindowBytes);
  B.advance(seconds(3));
  BOOST_TEST(B.aborted().empty());
  A.event(ExchangeDrained{Caller, 0});
  BOOST_TEST(RelayPair::count<RelayCredit>(A.all<SendPeer>()) == 1U);
  pass();
  std::vector<calls::PauseUpstream> Resumed = B.all<calls::PauseUpstream>();
  BOOST_TEST_REQUIRE(!Resumed.empty());
  BOOST_TEST(!Resumed.back().Paused);
}

/// Guards against servers that work for a caller that has left, and against a
/// request that may run once and is broken off midway.
BOOST_AUTO_TEST_CASE(CallersLeavingReachesTheServer) {
  for (bool RunsOnce : {false, true}) {
    RelayPair P;
    ExchangeId Caller = RunsOnce ? P.call(HttpMethod::Post, "/w/1")
                                 : P.call(HttpMethod::Get, "/r/1");
    P.pass();
    calls::OpenUpstream Open = P.B.only<calls::OpenUpstream>();
    P.B.sent(Open.Upstream);
    P.A.event(ExchangeLeft{Caller});
    P.pass();
    BOOST_TEST(P.B.aborted().size() == (RunsOnce ? 0U : 1U));
    BOOST_TEST(P.A.S.Calls.size() == (RunsOnce ? 1U : 0U));
  }
}

/// Guards against a second run of a request that may run once, and against a
/// refusal that says that it did not run: the relay is lost after it got the
/// request.
BOOST_FIXTURE_TEST_CASE(LostRelayLeavesTheOutcomeUnknown, RelayPair) {
  call(HttpMethod::Post, "/w/1");
  pass();
  reaches(Other);
  A.event(RelayLinkLost{B.S.Self});
  BOOST_TEST(A.only<calls::SendReply>().Reply.Status == 504);
  BOOST_TEST(A.all<SendPeer>().empty());
  // The relay drops it only as far as that is safe.
  calls::OpenUpstream Open = B.only<calls::OpenUpstream>();
  B.sent(Open.Upstream);
  B.event(RelayLinkLost{A.S.Self});
  BOOST_TEST(B.aborted().empty());
}

/// Guards against callers that wait for a relay that was lost.
BOOST_FIXTURE_TEST_CASE(RequestOfALostRelayGoesOnElsewhere, RelayPair) {
  call(HttpMethod::Get, "/r/1");
  pass();
  reaches(Other);
  A.event(RelayLinkLost{B.S.Self});
  SendPeer Send = A.only<SendPeer>();
  BOOST_TEST(Send.To == Other);
  BOOST_TEST(std::get<RelayRequest>(Send.Content).SendsLeft == 1U);
}

/// Guards against a relay that serves by an older configuration than its
/// caller's host has, or refuses by it.
BOOST_FIXTURE_TEST_CASE(RelayWithAnOlderConfigurationRefuses, RelayPair) {
  std::string Newer = RoutingText;
  Newer.replace(Newer.find(R"("version":3)"), 11, R"("version":4)");
  A.deliverSiteState(Newer.c_str(), 4);
  reaches(Other);
  A.S.Relays.Peers.Hosts.at(Other).ReachesAt.clear();
  call(HttpMethod::Get, "/r/1");
  reaches(Other);
  pass();
  BOOST_TEST(B.all<calls::OpenUpstream>().empty());
  BOOST_TEST_REQUIRE(count<RelayRefusal>(ToHost) == 1U);
  bool IsElsewhere = false;
  for (const SendPeer &Send : A.all<SendPeer>())
    IsElsewhere = IsElsewhere || Send.To == Other;
  BOOST_TEST(IsElsewhere);
}

/// Guards against a request that is handed on by its relay.
BOOST_FIXTURE_TEST_CASE(RelayThatIsCutItselfRefuses, RelayPair) {
  B.S.Relays.Paths.Services[Plain].State = PathState::Cut;
  B.S.Relays.Peers.Hosts[Other].ReachesAt[Plain] = B.Now;
  call(HttpMethod::Post, "/w/1");
  pass();
  BOOST_TEST(B.all<calls::OpenUpstream>().empty());
  BOOST_TEST(count<RelayRequest>(ToHost) == 0U);
  BOOST_TEST(count<RelayRefusal>(ToHost) == 1U);
  // No byte went to a server: the request waits for another host.
  BOOST_TEST(A.all<calls::SendReply>().empty());
  BOOST_TEST_REQUIRE(A.S.Calls.size() == 1U);
  BOOST_TEST((A.S.Calls.begin()->second.Stage == CallStage::AwaitingPath));
}

/// Guards against requests that count twice in the retry budget, and against a
/// key that the relay does not check.
BOOST_FIXTURE_TEST_CASE(RequestsCountOnce, RelayPair) {
  call(HttpMethod::Get, "/r/1");
  pass();
  BOOST_TEST(A.S.Retries[Plain].Requests.size() == 1U);
  BOOST_TEST(B.S.Retries[Plain].Requests.empty());
  BOOST_TEST(B.only<calls::OpenUpstream>().Request.Target == "/r/1");
}

/// Guards against a revoked key that still works by way of another host.
BOOST_FIXTURE_TEST_CASE(RelayChecksTheKey, RelayPair) {
  std::string Newer = RoutingText;
  Newer.replace(Newer.find(R"("version":3)"), 11, R"("version":4)");
  std::size_t At = Newer.find(R"("apiKeys":["k"])");
  BOOST_TEST_REQUIRE(At != std::string::npos);
  Newer.replace(At, 15, R"("apiKeys":["n"])");
  B.deliverSiteState(Newer.c_str(), 4);
  call(HttpMethod::Get, "/r/1");
  pass();
  BOOST_TEST(B.all<calls::OpenUpstream>().empty());
  BOOST_TEST(A.only<calls::SendReply>().Reply.Status == 401);
}

/// Guards against a time for which a server wants no requests that is taken for
/// one of the host that did not send it.
BOOST_FIXTURE_TEST_CASE(WordsOfAServerHoldForTheRelay, RelayPair) {
  call(HttpMethod::Get, "/r/1");
  pass();
  calls::OpenUpstream Open = B.only<calls::OpenUpstream>();
  B.sent(Open.Upstream);
  B.head(Open.Upstream, 503,
         {{"X-Pimentoglade-Not-Executed", "1"}, {"Retry-After", "4"}});
  B.event(UpstreamEnd{Open.Upstream, true});
  BOOST_TEST(B.S.Paused.size() == 1U);
  BOOST_TEST(A.S.Paused.empty());
  pass();
  BOOST_TEST(A.all<calls::SendReply>().empty());
  BOOST_TEST(B.onlySend().Request.Address != Open.Request.Address);
}

/// Guards against a request that ends with its first server's failure: the
/// relay has used the sends that the host left it, and the host keeps one for
/// nothing.
BOOST_FIXTURE_TEST_CASE(HostGoesOnWhereARelayHasUsedItsSends, RelayPair) {
  call(HttpMethod::Get, "/r/1");
  for (int Server = 0; Server < 2; ++Server) {
    pass();
    BOOST_TEST(A.all<calls::SendReply>().empty());
    calls::OpenUpstream Open = B.onlySend();
    B.sent(Open.Upstream);
    B.head(Open.Upstream, 500);
    B.event(UpstreamEnd{Open.Upstream, true});
  }
  pass();
  BOOST_TEST(A.only<calls::SendReply>().Reply.Status == 500);
  BOOST_TEST(B.all<calls::OpenUpstream>().empty());
}

/// Guards against memory that grows with what other hosts send.
BOOST_FIXTURE_TEST_CASE(RelaysAreBounded, RelayPair) {
  RelayRequest M;
  M.Info.Host = "h";
  M.Info.Key = "k";
  M.Target = "/r/1";
  M.TimeLeft = seconds(1);
  M.BodySize = 1; // Its body never comes.
  std::size_t Refused = 0;
  for (std::uint64_t Id = 1; Id <= 400; ++Id) {
    M.Id = Id;
    B.event(PeerMessage{A.S.Self, Incarnation, M});
    Refused += RelayPair::count<RelayRefusal>(B.all<SendPeer>());
  }
  BOOST_TEST(B.S.Relays.Taken.size() + Refused == 400U);
  BOOST_TEST(B.S.Relays.Taken.size() <= 200U);
  // Another process of the same host has other requests.
  M.Id = 1;
  B.event(PeerMessage{A.S.Self, Incarnation + 1, M});
  BOOST_TEST(B.S.Relays.Taken.size() == 1U);
  B.event(RelayLinkLost{A.S.Self});
  BOOST_TEST(B.S.Relays.Taken.empty());
}

/// Guards against a request of which bytes are missing, or more than it
/// announced.
BOOST_FIXTURE_TEST_CASE(BrokenBodyIsNoRequest, RelayPair) {
  for (std::uint64_t Offset : {0U, 3U, 5U}) {
    RelayRequest M;
    M.Id = 10 + Offset;
    M.Info.Host = "h";
    M.Info.Key = "k";
    M.Target = "/r/1";
    M.TimeLeft = seconds(1);
    M.Body.Data = "abc";
    M.BodySize = 6;
    B.event(PeerMessage{A.S.Self, Incarnation, M});
    RelayBody Rest;
    Rest.Id = M.Id;
    Rest.Offset = Offset;
    Rest.Bytes.Data = Offset == 3 ? "defg" : "def";
    B.event(PeerMessage{A.S.Self, Incarnation, Rest});
    BOOST_TEST(B.all<calls::OpenUpstream>().empty());
    BOOST_TEST(RelayPair::count<RelayRefusal>(B.all<SendPeer>()) == 1U);
  }
  BOOST_TEST(B.S.Relays.Taken.empty());
}

/// Guards against answers of a host that was not asked.
BOOST_FIXTURE_TEST_CASE(AnswersOfAnotherHostAreIgnored, RelayPair) {
  call(HttpMethod::Get, "/r/1");
  pass();
  RelayHead Head;
  Head.Id = std::get<RelayRequest>(ToRelay.front().Content).Id;
  Head.Status = 200;
  A.event(PeerMessage{Other, Incarnation, Head});
  RelayEnd End;
  End.Id = Head.Id;
  End.IsComplete = true;
  A.event(PeerMessage{Other, Incarnation, End});
  BOOST_TEST(A.all<calls::SendReply>().empty());
  BOOST_TEST(A.S.Calls.size() == 1U);
}

/// Guards against a server that leaves, and later gets a request of the host
/// that passed its announcement on to a caller.
BOOST_FIXTURE_TEST_CASE(LeavingServerIsKnownToBothHosts, RelayPair) {
  call(HttpMethod::Get, "/r/1");
  pass();
  calls::OpenUpstream Open = B.only<calls::OpenUpstream>();
  B.sent(Open.Upstream);
  B.head(Open.Upstream, 200, {{"Server-Leaving", "1"}});
  B.event(UpstreamEnd{Open.Upstream, true});
  pass();
  BOOST_TEST(A.S.Leaving.size() == 1U);
  BOOST_TEST(B.S.Leaving.size() == 1U);
}

/// Guards against REFUSED and TWICE: a relay's refusal of an earlier request
/// that arrives once more, or one of another host, is taken for the answer to
/// the request that is under way.
BOOST_FIXTURE_TEST_CASE(StrayRefusalOfARelayChangesNothing, RelayPair) {
  call(HttpMethod::Get, "/r/1");
  pass();
  calls::OpenUpstream First = B.only<calls::OpenUpstream>();
  B.sent(First.Upstream);
  B.head(First.Upstream, 200);
  B.event(UpstreamEnd{First.Upstream, true});
  pass();
  reaches(B.S.Self);
  ToRelay.clear();
  ExchangeId Caller = call(HttpMethod::Post, "/w/1");
  pass();
  calls::OpenUpstream Second = B.only<calls::OpenUpstream>();
  B.sent(Second.Upstream);
  RelayRefusal Stray;
  Stray.Number = Code::ConnectFailed;
  Stray.Reason = "stray";
  std::uint64_t Own = std::get<RelayRequest>(ToRelay.front().Content).Id;
  for (std::uint64_t Id : {Own - 1, Own - 2, std::uint64_t(0)}) {
    Stray.Id = Id;
    A.event(PeerMessage{B.S.Self, Incarnation, Stray});
    BOOST_TEST(A.all<calls::SendReply>().empty());
  }
  Stray.Id = Own;
  A.event(PeerMessage{Other, Incarnation, Stray});
  BOOST_TEST(A.all<calls::SendReply>().empty());
  BOOST_TEST(A.S.Calls.size() == 1U);
  B.head(Second.Upstream, 200);
  B.event(UpstreamEnd{Second.Upstream, true});
  pass();
  calls::SendReply Reply = A.only<calls::SendReply>();
  BOOST_TEST((Reply.Exchange == Caller));
  BOOST_TEST(Reply.Reply.Status == 200);
}

namespace {

/// A stream whose relay is silent, while the other relay refuses its hedges
/// unsent.
struct SilentRelay : RelayPair {
  std::size_t Refused = 0;

  SilentRelay() {
    call(HttpMethod::Post, "/s/1", "",
         {{"X-Pimentoglade-Token-Count", "5000,1300"}});
    pass();
  }
  void refuseHedgesFor(Duration Time) {
    for (TimePoint End = A.Now + Time; A.Now < End;) {
      cutOffFromEngines({Other});
      A.advance(milliseconds(100));
      for (const SendPeer &Send : A.all<SendPeer>()) {
        const auto *Request = std::get_if<RelayRequest>(&Send.Content);
        if (Request == nullptr)
          continue;
        BOOST_TEST(Send.To == Other);
        refuse(Request->Id);
        BOOST_TEST(A.all<calls::SendReply>().empty());
        Refused += 1;
      }
    }
  }
  /// The other relay reaches servers, and this host does not.
  void otherReaches() { cutOffFromEngines({Other}); }

private:
  void refuse(std::uint64_t Request) {
    RelayRefusal Refusal;
    Refusal.Id = Request;
    Refusal.Number = Code::NoBackend;
    Refusal.Reason = "no engine can answer in time";
    A.event(PeerMessage{Other, Incarnation, Refusal});
  }
};

} // namespace

/// Guards against retries that are used up by relays which have no server for
/// the request: streams whose connections broke had none left.
BOOST_FIXTURE_TEST_CASE(HedgeThatARelayRefusesCostsNoRetry, SilentRelay) {
  refuseHedgesFor(seconds(4));
  BOOST_TEST(Refused >= 2U);
  BOOST_TEST(A.S.Retries[ServiceId("llm")].Retries.empty());
  BOOST_TEST(A.S.Calls.size() == 1U);
}

/// Guards against LOST at a host without a path: relays refused the hedges of a
/// stream unsent, so often that it had no try left when its own relay was lost.
BOOST_FIXTURE_TEST_CASE(HedgeThatARelayRefusesCostsNoTry, SilentRelay) {
  refuseHedgesFor(seconds(7));
  cutOffFromEngines({Other});
  A.event(RelayLinkLost{B.S.Self});
  BOOST_TEST(A.all<calls::EndStream>().empty());
  BOOST_TEST(A.all<calls::SendReply>().empty());
  BOOST_TEST(count<RelayRequest>(A.all<SendPeer>()) == 1U);
}

/// Guards against LOST: the relay that was late refused a request at last, and
/// the caller got the refusal while another relay was at work on it.
BOOST_FIXTURE_TEST_CASE(RefusalOfALateRelayLeavesTheHedgeAtWork, RelayPair) {
  call(HttpMethod::Post, "/s/1", "",
       {{"X-Pimentoglade-Token-Count", "5000,1300"}});
  std::uint64_t First = 0;
  for (const SendPeer &Send : A.all<SendPeer>()) {
    if (const auto *Request = std::get_if<RelayRequest>(&Send.Content))
      First = Request->Id;
  }
  BOOST_TEST_REQUIRE(First != 0U);
  std::uint64_t Second = 0;
  for (int Step = 0; Step < 40 && Second == 0; ++Step) {
    cutOffFromEngines({Other});
    A.advance(milliseconds(100));
    for (const SendPeer &Send : A.all<SendPeer>()) {
      if (const auto *Request = std::get_if<RelayRequest>(&Send.Content))
        Second = Request->Id;
    }
  }
  BOOST_TEST_REQUIRE(Second != 0U);
  RelayRefusal Refusal;
  Refusal.Id = First;
  Refusal.Number = Code::NoBackend;
  Refusal.Reason = "no engine can answer in time";
  A.event(PeerMessage{B.S.Self, Incarnation, Refusal});
  BOOST_TEST(A.all<calls::SendReply>().empty());
  BOOST_TEST_REQUIRE(A.S.Calls.size() == 1U);
  RelayHead Head;
  Head.Id = Second;
  Head.Status = 200;
  Head.Headers = {{"X-Pimentoglade-Attempt-Id", "id1"},
                  {"X-Pimentoglade-Replica-Stamp", "s"},
                  {"Content-Type", "text/event-stream"}};
  A.event(PeerMessage{Other, Incarnation, Head});
  RelayData Data;
  Data.Id = Second;
  Data.Bytes.Data = "id: 1\ndata: a\n\n";
  A.event(PeerMessage{Other, Incarnation, Data});
  BOOST_TEST_REQUIRE(A.all<calls::StreamBytes>().size() == 1U);
  RelayEnd End;
  End.Id = Second;
  End.IsComplete = true;
  End.Size = Data.Bytes.Data.size();
  End.Sends = 1;
  A.event(PeerMessage{Other, Incarnation, End});
  BOOST_TEST(A.only<calls::EndStream>().IsComplete);
  BOOST_TEST(A.S.Calls.empty());
}

/// Guards against BUDGET: a relay tries a second server for its silent one, and
/// the host has another relay send the request to a third.
BOOST_FIXTURE_TEST_CASE(RelaysTogetherSendARequestNoMoreThanAllowed,
                        RelayPair) {
  call(HttpMethod::Post, "/s/1", "",
       {{"X-Pimentoglade-Token-Count", "5000,1300"}});
  pass();
  calls::OpenUpstream Open = B.only<calls::OpenUpstream>();
  B.sent(Open.Upstream);
  std::size_t Sends = 1;
  for (int Step = 0; Step < 60; ++Step) {
    cutOffFromEngines({B.S.Self, Other});
    A.advance(milliseconds(100));
    B.advance(milliseconds(100));
    std::vector<SendPeer> Sent = A.all<SendPeer>();
    Sends += static_cast<std::size_t>(
        std::count_if(Sent.begin(), Sent.end(), [](const SendPeer &Send) {
          return Send.To == Other &&
                 std::holds_alternative<RelayRequest>(Send.Content);
        }));
    for (const calls::OpenUpstream &Next : B.all<calls::OpenUpstream>()) {
      if (Next.Request.Target != "/s/1")
        continue;
      Sends += 1;
      B.sent(Next.Upstream);
    }
    pass();
  }
  BOOST_TEST(Sends == 2U);
}
