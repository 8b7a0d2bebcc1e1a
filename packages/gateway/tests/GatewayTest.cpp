#define BOOST_TEST_MODULE gateway
#include <boost/test/unit_test.hpp>

#include "gateway/Gateway.h"
#include "platform/Platform.h"

#include <algorithm>

using namespace pimento;

namespace {

const TimePoint Start = TimePoint(seconds(100));
const HostId Control("10.0.0.100");

const char *const RoutingText =
    R"({"version":3,"routes":[)"
    R"({"name":"stream","host":"h","pathPrefix":"/s/","routeType":"streaming",)"
    R"("timeoutMs":10000,"sloMs":300,"itlTargetMs":250,"service":"llm",)"
    R"("maxAttempts":2,"resumable":true},)"
    R"({"name":"long","host":"h","pathPrefix":"/l/","routeType":"streaming",)"
    R"("timeoutMs":15000,"sloMs":3000,"itlTargetMs":1000,"service":"llm",)"
    R"("maxAttempts":2,"resumable":true},)"
    R"({"name":"read","host":"h","pathPrefix":"/r/","routeType":"idempotent",)"
    R"("timeoutMs":600,"sloMs":100,"service":"plain","maxAttempts":2},)"
    R"({"name":"sign","host":"h","pathPrefix":"/w/",)"
    R"("routeType":"non_idempotent","timeoutMs":600,"sloMs":100,)"
    R"("service":"plain","maxAttempts":2},)"
    R"({"name":"open","host":"h","pathPrefix":"/o/","routeType":"idempotent",)"
    R"("timeoutMs":600,"sloMs":100,"service":"plain","public":true}],)"
    R"("services":[{"name":"llm","engine":{"slots":16,"kvCapacity":232000,)"
    R"("stride":43,"chunk":2048,"step_ms":1.02,"per_seq_ms":0.00226,)"
    R"("context_per_k":0.00431,"read_per_s":206000.0,"pairs_per_m":0.138}},)"
    R"({"name":"plain","maxConnections":110}],)"
    R"("tenants":[{"name":"t","apiKeys":["k"]}]})";

ServerReport server(const char *Id, const char *Service, const char *Address) {
  ServerReport R;
  R.Id = BackendId(Id);
  R.Incarnation = 1;
  R.Sequence = 1;
  R.Service = ServiceId(Service);
  R.Address = Address;
  return R;
}

struct GatewayFixture {
  Gateway S;
  TimePoint Now = Start;
  Effects LastEffects; // Effects of the last event.
  std::uint64_t NextExchange = 1;

  explicit GatewayFixture(bool HasSiteState = true,
                          const char *Address = "10.0.0.1:7340") {
    GatewayStart G;
    G.Config.Host.PeerAddress = Address;
    G.Config.Join.Role = "entry";
    G.Config.Join.Seeds = "10.0.0.100:80";
    G.Config.Drain.Limit = seconds(8);
    G.Platform = platform::adapter();
    G.Incarnation = 9;
    S = makeGateway(G, Now);
    tick();
    if (HasSiteState)
      deliverSiteState();
  }

  void event(const Event &E) { LastEffects = reduceGateway(S, E, Now); }
  void tick(Duration After = Duration::zero()) {
    Now += After;
    event(Tick());
  }
  /// Advances the time in steps of 10 ms and collects all effects in
  /// LastEffects.
  Effects advance(Duration Time) {
    Effects All;
    for (TimePoint End = Now + Time; Now < End;) {
      tick(milliseconds(10));
      All.insert(All.end(), LastEffects.begin(), LastEffects.end());
    }
    LastEffects = All;
    return All;
  }

  void deliverSiteState(const char *Text = RoutingText,
                        std::uint64_t Number = 3) {
    SiteState M;
    M.Sequence = S.Link.Sequence;
    M.Current = true;
    M.Leader = Control;
    M.Config = Number;
    M.Text.Data = Text;
    M.Whole = true;
    M.Servers = {server("e1", "llm", "10.0.1.1:80"),
                 server("e2", "llm", "10.0.1.2:80"),
                 server("p1", "plain", "10.0.2.1:80"),
                 server("p2", "plain", "10.0.2.2:80")};
    event(PeerMessage{Control, 1, M});
  }

  /// Delivers a site state in which the leader names a placer.
  void namePlacer(const char *Placer) {
    SiteState M;
    M.Sequence = S.Link.Sequence;
    M.Current = true;
    M.Leader = Control;
    M.Config = 3;
    M.Placer = HostId(Placer);
    event(PeerMessage{Control, 1, M});
  }

  ExchangeId call(HttpMethod Method, const char *Target,
                  std::vector<HttpHeader> More = {}) {
    HttpRequest R;
    R.Method = Method;
    R.Path = Target;
    R.Target = Target;
    R.Headers = {{"Host", "h"},
                 {"X-Pimentoglade-Attempt-Id", "id1"},
                 {"Authorization", "Token k"}};
    for (HttpHeader &Header : More)
      R.Headers.push_back(std::move(Header));
    ExchangeId Id{NextExchange++};
    event(CallerRequest{Id, R});
    return Id;
  }
  ExchangeId stream() {
    return call(HttpMethod::Post, "/s/1",
                {{"X-Pimentoglade-Token-Count", "5000,1300"}});
  }

  template <class T> std::vector<T> all() const {
    std::vector<T> Found;
    for (const Effect &E : LastEffects) {
      if (const auto *Is = std::get_if<T>(&E))
        Found.push_back(*Is);
    }
    return Found;
  }
  template <class T> T only() const {
    std::vector<T> Found = all<T>();
    BOOST_REQUIRE_MESSAGE(Found.size() == 1, "effects: " << Found.size());
    return Found.front();
  }

  /// The only query of an engine's load among the last effects.
  calls::OpenUpstream onlySpeedQuery() const {
    std::vector<calls::OpenUpstream> Queries;
    for (calls::OpenUpstream &Open : all<calls::OpenUpstream>()) {
      if (Open.Request.Target == "/-/report")
        Queries.push_back(std::move(Open));
    }
    BOOST_REQUIRE_MESSAGE(Queries.size() == 1, "queries: " << Queries.size());
    return Queries.front();
  }

  void sent(UpstreamId Id) { event(UpstreamSent{Id}); }
  void head(UpstreamId Id, int Status, std::vector<HttpHeader> More = {}) {
    std::vector<HttpHeader> Headers = {{"X-Pimentoglade-Attempt-Id", "id1"},
                                       {"X-Pimentoglade-Replica-Stamp", "s"},
                                       {"Digest", "d"}};
    for (HttpHeader &Header : More)
      Headers.push_back(std::move(Header));
    event(UpstreamHead{Id, Status, Headers});
  }
  void failUpstream(UpstreamId Id, bool BytesSent) {
    UpstreamFailure Why;
    Why.BytesSent = BytesSent;
    event(UpstreamFailed{Id, Why});
  }
};

std::string_view valueOf(const calls::OpenUpstream &Open, const char *Name) {
  return headerValue(Open.Request.Headers, Name);
}

} // namespace

BOOST_AUTO_TEST_CASE(HostWithoutConfigurationRefusesRequests) {
  GatewayFixture R(false);
  R.advance(seconds(3));
  R.call(HttpMethod::Get, "/r/1");
  calls::SendReply Reply = R.only<calls::SendReply>();
  BOOST_TEST(Reply.Reply.Status == 503);
  BOOST_TEST(!headerValue(Reply.Reply.Headers, "Retry-After").empty());
  BOOST_TEST(!isReady(R.S));
  R.deliverSiteState();
  BOOST_TEST(isReady(R.S));
}

/// After a power loss all hosts start at once, and callers' requests arrive
/// before the first configuration. A new host holds them instead of refusing.
BOOST_AUTO_TEST_CASE(StartingHostHoldsRequestsForItsConfiguration) {
  GatewayFixture R(false);
  R.advance(milliseconds(100));
  std::vector<HttpHeader> Limit = {{"X-Pimentoglade-Deadline-Ms", "10000"}};
  R.call(HttpMethod::Get, "/r/1", Limit);
  ExchangeId Leaves = R.call(HttpMethod::Get, "/r/2", Limit);
  BOOST_TEST(R.LastEffects.empty());
  R.event(ExchangeLeft{Leaves});
  R.advance(milliseconds(400));
  R.deliverSiteState();
  calls::OpenUpstream Open = R.only<calls::OpenUpstream>();
  BOOST_TEST(Open.Request.Target == "/r/1");
  BOOST_TEST(valueOf(Open, "X-Pimentoglade-Deadline-Ms") == "200");
}

BOOST_AUTO_TEST_CASE(HeldRequestsAreRefusedAfterAShortTime) {
  GatewayFixture R(false);
  R.call(HttpMethod::Get, "/r/1", {{"X-Pimentoglade-Deadline-Ms", "10000"}});
  R.call(HttpMethod::Get, "/r/2", {{"X-Pimentoglade-Deadline-Ms", "500"}});
  R.advance(milliseconds(150));
  BOOST_TEST(R.only<calls::SendReply>().Reply.Status == 503);
  R.advance(milliseconds(900));
  BOOST_TEST(R.only<calls::SendReply>().Reply.Status == 503);
  BOOST_TEST(R.S.Held.empty());
}

BOOST_AUTO_TEST_CASE(UnknownRoutesAndMissingKeysAreRefused) {
  GatewayFixture R;
  R.call(HttpMethod::Get, "/none/1");
  BOOST_TEST(R.only<calls::SendReply>().Reply.Status == 404);
  R.call(HttpMethod::Get, "/r/1", {{"Authorization", "Token other"}});
  // The request has two Authorization headers; the first one is used.
  BOOST_TEST(R.all<calls::OpenUpstream>().size() == 1U);
  HttpRequest Bare;
  Bare.Path = Bare.Target = "/r/1";
  Bare.Headers = {{"Host", "h"}};
  R.event(CallerRequest{ExchangeId{900}, Bare});
  BOOST_TEST(R.only<calls::SendReply>().Reply.Status == 401);
  Bare.Path = Bare.Target = "/o/1";
  R.event(CallerRequest{ExchangeId{901}, Bare});
  calls::OpenUpstream Open = R.only<calls::OpenUpstream>();
  BOOST_TEST(valueOf(Open, "X-Pimentoglade-Tenant").empty());
}

BOOST_AUTO_TEST_CASE(TargetAndBodyAreForwardedUnchanged) {
  GatewayFixture R;
  ExchangeId Id = R.call(HttpMethod::Get, "/r/a%2Fb?x=%20");
  calls::OpenUpstream Open = R.only<calls::OpenUpstream>();
  BOOST_TEST(Open.Request.Target == "/r/a%2Fb?x=%20");
  BOOST_TEST(valueOf(Open, "X-Pimentoglade-Tenant") == "t");
  BOOST_TEST(valueOf(Open, "Authorization").empty());
  BOOST_TEST(valueOf(Open, "X-Pimentoglade-Deadline-Ms") == "600");
  R.sent(Open.Upstream);
  R.head(Open.Upstream, 200);
  BOOST_TEST(R.all<calls::SendReply>().empty());
  R.event(UpstreamData{Open.Upstream, "bytes"});
  R.event(UpstreamEnd{Open.Upstream, true});
  calls::SendReply Reply = R.only<calls::SendReply>();
  BOOST_TEST((Reply.Exchange == Id));
  BOOST_TEST(Reply.Reply.Body == "bytes");
  BOOST_TEST(headerValue(Reply.Reply.Headers, "Digest") == "d");
  BOOST_TEST(R.S.Calls.empty());
  BOOST_TEST(R.S.Timers.empty());
}

/// A call that must run at most once is not retried after any byte of it was
/// sent.
BOOST_AUTO_TEST_CASE(NonIdempotentCallIsNotRetriedAfterSending) {
  GatewayFixture R;
  R.call(HttpMethod::Post, "/w/1");
  calls::OpenUpstream Open = R.only<calls::OpenUpstream>();
  BOOST_TEST(!Open.Request.MayReuse);
  R.sent(Open.Upstream);
  R.failUpstream(Open.Upstream, true);
  BOOST_TEST(R.all<calls::OpenUpstream>().empty());
  int Status = R.only<calls::SendReply>().Reply.Status;
  BOOST_TEST((Status == 502 || Status == 504));
}

BOOST_AUTO_TEST_CASE(NonIdempotentCallThatDidNotRunIsRetried) {
  GatewayFixture R;
  R.call(HttpMethod::Post, "/w/1");
  calls::OpenUpstream First = R.only<calls::OpenUpstream>();
  R.failUpstream(First.Upstream, false);
  calls::OpenUpstream Second = R.only<calls::OpenUpstream>();
  BOOST_TEST(Second.Request.Address != First.Request.Address);
  R.sent(Second.Upstream);
  R.head(Second.Upstream, 503, {{"X-Pimentoglade-Not-Executed", "1"}});
  R.event(UpstreamEnd{Second.Upstream, true});
  calls::OpenUpstream Third = R.only<calls::OpenUpstream>();
  R.sent(Third.Upstream);
  R.head(Third.Upstream, 503, {{"X-Pimentoglade-Not-Executed", "1"}});
  R.event(UpstreamEnd{Third.Upstream, true});
  // Two servers were reached, the route's limit.
  calls::SendReply Reply = R.only<calls::SendReply>();
  BOOST_TEST(Reply.Reply.Status == 503);
  BOOST_TEST(!headerValue(Reply.Reply.Headers, "Retry-After").empty());
}

BOOST_AUTO_TEST_CASE(FailedIdempotentCallIsRetriedOnce) {
  GatewayFixture R;
  R.call(HttpMethod::Get, "/r/1");
  calls::OpenUpstream First = R.only<calls::OpenUpstream>();
  R.sent(First.Upstream);
  R.head(First.Upstream, 500);
  R.event(UpstreamEnd{First.Upstream, true});
  calls::OpenUpstream Second = R.only<calls::OpenUpstream>();
  BOOST_TEST(Second.Request.Address != First.Request.Address);
  R.sent(Second.Upstream);
  R.head(Second.Upstream, 500);
  R.event(UpstreamEnd{Second.Upstream, true});
  // The caller gets the server's own error, with its stamp and status.
  calls::SendReply Reply = R.only<calls::SendReply>();
  BOOST_TEST(Reply.Reply.Status == 500);
  BOOST_TEST(headerValue(Reply.Reply.Headers, "X-Pimentoglade-Replica-Stamp") ==
             "s");
}

BOOST_AUTO_TEST_CASE(AnswerToAnotherRequestIsNotForwarded) {
  GatewayFixture R;
  R.call(HttpMethod::Post, "/w/1");
  calls::OpenUpstream Open = R.only<calls::OpenUpstream>();
  R.sent(Open.Upstream);
  R.event(UpstreamHead{Open.Upstream,
                       200,
                       {{"X-Pimentoglade-Attempt-Id", "other"},
                        {"X-Pimentoglade-Replica-Stamp", "s"}}});
  R.event(UpstreamEnd{Open.Upstream, true});
  BOOST_TEST(R.only<calls::SendReply>().Reply.Status >= 502);
}

BOOST_AUTO_TEST_CASE(OverdueIdempotentCallIsRetriedElsewhere) {
  GatewayFixture R;
  R.call(HttpMethod::Get, "/r/1");
  R.sent(R.only<calls::OpenUpstream>().Upstream);
  R.advance(milliseconds(350));
  BOOST_TEST(R.all<calls::OpenUpstream>().size() == 1U);
  BOOST_TEST(R.all<calls::AbortUpstream>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(CallerGetsAnAnswerAtTheTimeLimit) {
  GatewayFixture R;
  R.call(HttpMethod::Post, "/w/1");
  R.sent(R.only<calls::OpenUpstream>().Upstream);
  R.advance(milliseconds(590));
  BOOST_TEST(R.all<calls::SendReply>().empty());
  R.advance(milliseconds(30));
  BOOST_TEST(R.only<calls::SendReply>().Reply.Status == 504);
  BOOST_TEST(R.all<calls::AbortUpstream>().size() == 1U);
  BOOST_TEST(R.S.Calls.empty());
}

BOOST_AUTO_TEST_CASE(StreamResumesElsewhereAfterACompleteEvent) {
  GatewayFixture R;
  ExchangeId Id = R.stream();
  calls::OpenUpstream First = R.only<calls::OpenUpstream>();
  R.sent(First.Upstream);
  R.head(First.Upstream, 200);
  BOOST_TEST((R.only<calls::StartStream>().Exchange == Id));
  R.event(UpstreamData{First.Upstream, "id: 1\ndata: a\n\nid: 2\nda"});
  BOOST_TEST(R.only<calls::StreamBytes>().Bytes == "id: 1\ndata: a\n\n");
  R.failUpstream(First.Upstream, true);
  calls::OpenUpstream Second = R.only<calls::OpenUpstream>();
  BOOST_TEST(Second.Request.Address != First.Request.Address);
  BOOST_TEST(valueOf(Second, "Last-Event-Id") == "1");
  R.sent(Second.Upstream);
  R.head(Second.Upstream, 200);
  BOOST_TEST(R.all<calls::StartStream>().empty());
  R.event(UpstreamData{Second.Upstream, "id: 2\ndata: b\n\n"});
  BOOST_TEST(R.only<calls::StreamBytes>().Bytes == "id: 2\ndata: b\n\n");
  R.event(UpstreamEnd{Second.Upstream, true});
  BOOST_TEST(R.only<calls::EndStream>().Whole);
  BOOST_TEST(R.S.Engines.Placed.empty());
}

BOOST_AUTO_TEST_CASE(StreamThatCannotResumeIsTruncatedVisibly) {
  GatewayFixture R;
  R.stream();
  for (int Send = 0; Send < 2; ++Send) {
    calls::OpenUpstream Open = R.only<calls::OpenUpstream>();
    R.sent(Open.Upstream);
    R.head(Open.Upstream, 200);
    R.event(UpstreamData{Open.Upstream, "id: 1\ndata: a\n\n"});
    R.failUpstream(Open.Upstream, true);
  }
  BOOST_TEST(!R.only<calls::EndStream>().Whole);
  BOOST_TEST(R.S.Calls.empty());
}

BOOST_AUTO_TEST_CASE(WorkForADisconnectedCallerIsCancelled) {
  GatewayFixture R;
  ExchangeId Id = R.stream();
  UpstreamId Upstream = R.only<calls::OpenUpstream>().Upstream;
  R.sent(Upstream);
  R.event(ExchangeLeft{Id});
  BOOST_TEST((R.only<calls::AbortUpstream>().Upstream == Upstream));
  BOOST_TEST(R.S.Calls.empty());
  BOOST_TEST(R.S.Engines.Placed.empty());
  // A call that must run at most once is not aborted after sending.
  Id = R.call(HttpMethod::Post, "/w/1");
  Upstream = R.only<calls::OpenUpstream>().Upstream;
  R.sent(Upstream);
  R.event(ExchangeLeft{Id});
  BOOST_TEST(R.all<calls::AbortUpstream>().empty());
  R.head(Upstream, 200);
  R.event(UpstreamEnd{Upstream, true});
  BOOST_TEST(R.all<calls::SendReply>().empty());
  BOOST_TEST(R.S.Calls.empty());
}

BOOST_AUTO_TEST_CASE(OlderConfigurationIsIgnored) {
  GatewayFixture R;
  std::string Newer = RoutingText;
  Newer.replace(Newer.find("\"version\":3"), 11, "\"version\":9");
  Newer.replace(Newer.find("/r/"), 3, "/n/");
  R.deliverSiteState(Newer.c_str(), 9);
  R.deliverSiteState(RoutingText, 3);
  BOOST_TEST(R.S.Routes->Config.Number == 9U);
  R.call(HttpMethod::Get, "/r/1");
  BOOST_TEST(R.only<calls::SendReply>().Reply.Status == 404);
}

BOOST_AUTO_TEST_CASE(ShutdownIsUnreadyFirstAndExitsAfterTheLastAnswer) {
  GatewayFixture R;
  R.call(HttpMethod::Post, "/w/1");
  UpstreamId Upstream = R.only<calls::OpenUpstream>().Upstream;
  R.sent(Upstream);
  R.event(StopRequested());
  BOOST_TEST(!isReady(R.S));
  R.advance(seconds(1));
  BOOST_TEST(R.all<StopAcceptingCallers>().empty());
  ExchangeId Late = R.call(HttpMethod::Get, "/r/1"); // Still served.
  calls::OpenUpstream Open = R.only<calls::OpenUpstream>();
  R.head(Open.Upstream, 200);
  R.event(UpstreamEnd{Open.Upstream, true});
  calls::SendReply Reply = R.only<calls::SendReply>();
  BOOST_TEST((Reply.Exchange == Late));
  BOOST_TEST(headerValue(Reply.Reply.Headers, "Connection") == "close");
  R.advance(milliseconds(2100));
  BOOST_TEST(!R.all<StopAcceptingCallers>().empty());
  BOOST_TEST(!R.all<Exit>().empty());
  BOOST_TEST(R.all<Exit>().front().Status == 0);
}

/// A request that arrives late in a shutdown, on a keep-alive connection, could
/// not be finished, so the host refuses it.
BOOST_AUTO_TEST_CASE(LateShutdownRefusesNewRequests) {
  GatewayFixture R;
  R.stream();
  UpstreamId Upstream = R.only<calls::OpenUpstream>().Upstream;
  R.sent(Upstream);
  R.head(Upstream, 200);
  R.event(StopRequested());
  for (int Event = 0; Event < 7; ++Event) {
    R.advance(milliseconds(450));
    R.event(UpstreamData{Upstream, "data: a\n\n"});
  }
  R.stream();
  BOOST_TEST(R.all<calls::OpenUpstream>().empty());
  calls::SendReply Reply = R.only<calls::SendReply>();
  BOOST_TEST(Reply.Reply.Status == 503);
  BOOST_TEST(headerValue(Reply.Reply.Headers, "Connection") == "close");
  BOOST_TEST(!headerValue(Reply.Reply.Headers, "Retry-After").empty());
  R.event(UpstreamData{Upstream, "id: 1\ndata: a\n\n"});
  R.event(UpstreamEnd{Upstream, true});
  BOOST_TEST(R.only<calls::EndStream>().Whole);
}

/// An engine holds memory for a long prompt only while the entry host renews
/// the reservation.
BOOST_AUTO_TEST_CASE(ReservationsAreRenewedAndReleased) {
  GatewayFixture R;
  ExchangeId Id = R.call(HttpMethod::Post, "/l/1",
                         {{"X-Pimentoglade-Token-Count", "300000,700"},
                          {"X-Pimentoglade-Deadline-Ms", "15000"}});
  calls::OpenUpstream Reserve = R.only<calls::OpenUpstream>();
  BOOST_TEST(Reserve.Request.Body.find("reserve") != std::string::npos);
  R.event(UpstreamHead{Reserve.Upstream, 200, {}});
  R.event(UpstreamEnd{Reserve.Upstream, true});
  calls::OpenUpstream Open = R.only<calls::OpenUpstream>();
  BOOST_TEST(valueOf(Open, "X-Pimentoglade-Helpers").find("/r") !=
             std::string_view::npos);
  R.sent(Open.Upstream);
  R.advance(milliseconds(1000));
  std::vector<calls::OpenUpstream> Renewals = R.all<calls::OpenUpstream>();
  BOOST_REQUIRE(!Renewals.empty());
  BOOST_TEST(Renewals[0].Request.Body == Reserve.Request.Body);
  R.event(UpstreamHead{Renewals[0].Upstream, 200, {}});
  R.event(UpstreamEnd{Renewals[0].Upstream, true});
  R.event(ExchangeLeft{Id});
  calls::OpenUpstream Release = R.only<calls::OpenUpstream>();
  BOOST_TEST(Release.Request.Body.find("release") != std::string::npos);
  R.failUpstream(Release.Upstream, true); // The answer to the release is lost.
  R.advance(milliseconds(300));
  Release = R.only<calls::OpenUpstream>();
  BOOST_TEST(Release.Request.Body.find("release") != std::string::npos);
  R.event(UpstreamHead{Release.Upstream, 200, {}});
  R.event(UpstreamEnd{Release.Upstream, true});
  R.advance(seconds(4));
  BOOST_TEST(R.all<calls::OpenUpstream>().empty());
  BOOST_TEST(R.S.Releases.empty());
}

/// A renewal without an answer may take effect after the release, so releases
/// continue for longer.
BOOST_AUTO_TEST_CASE(UnconfirmedRenewalsAreReleasedRepeatedly) {
  GatewayFixture R;
  ExchangeId Id = R.call(HttpMethod::Post, "/l/1",
                         {{"X-Pimentoglade-Token-Count", "300000,700"},
                          {"X-Pimentoglade-Deadline-Ms", "15000"}});
  calls::OpenUpstream Reserve = R.only<calls::OpenUpstream>();
  R.event(UpstreamHead{Reserve.Upstream, 200, {}});
  R.event(UpstreamEnd{Reserve.Upstream, true});
  R.sent(R.only<calls::OpenUpstream>().Upstream);
  R.advance(milliseconds(800)); // A renewal is pending without an answer.
  R.event(ExchangeLeft{Id});
  std::size_t Releases = 0;
  for (int Second = 0; Second < 16; ++Second) {
    for (const calls::OpenUpstream &Open : R.all<calls::OpenUpstream>()) {
      if (Open.Request.Body.find("release") == std::string::npos)
        continue;
      ++Releases;
      R.event(UpstreamHead{Open.Upstream, 200, {}});
      R.event(UpstreamEnd{Open.Upstream, true});
    }
    R.advance(milliseconds(1050));
  }
  BOOST_TEST(Releases >= 10U);
  BOOST_TEST(R.S.Releases.empty());
}

/// Engines distinguish reservations only by name. Hosts that started at the
/// same moment, and two attempts of a request, must use different names.
BOOST_AUTO_TEST_CASE(ReservationNamesAreUniqueInTheSite) {
  auto Reserve = [](GatewayFixture &R) {
    R.call(HttpMethod::Post, "/l/1",
           {{"X-Pimentoglade-Token-Count", "300000,700"},
            {"X-Pimentoglade-Deadline-Ms", "15000"}});
    return R.only<calls::OpenUpstream>();
  };
  GatewayFixture First(true, "10.0.0.1:7340");
  GatewayFixture Second(true, "10.0.0.2:7340");
  calls::OpenUpstream Order = Reserve(First);
  BOOST_TEST(Order.Request.Body != Reserve(Second).Request.Body);
  // The engine refuses, so that the request is placed on other engines.
  First.S.Servers.Servers.clear();
  First.event(UpstreamHead{Order.Upstream, 409, {}});
  First.event(UpstreamEnd{Order.Upstream, true});
  for (const calls::OpenUpstream &Open : First.all<calls::OpenUpstream>()) {
    bool Reserves = Open.Request.Body.find("reserve") != std::string::npos;
    BOOST_TEST((!Reserves || Open.Request.Body != Order.Request.Body));
  }
}

/// A host that was killed may restart before the placer notices its silence.
/// The placer must then drop the placements of the earlier incarnation.
BOOST_AUTO_TEST_CASE(RestartedHostLosesItsEarlierPlacements) {
  GatewayFixture R;
  R.S.Link.Placer = R.S.Self;
  auto SendRequest = [&](IncarnationNumber Incarnation, std::uint64_t Ticket) {
    PlacementRequest A;
    A.Ticket = Ticket;
    A.Service = ServiceId("llm");
    A.PromptTokens = 5000;
    A.AnswerTokens = 700;
    A.Objective = milliseconds(300);
    A.EventTimeLeft = seconds(2);
    A.TimeLeft = seconds(10);
    R.event(PeerMessage{HostId("10.0.0.2"), Incarnation, A});
  };
  SendRequest(1, 1);
  SendRequest(1, 2);
  BOOST_TEST(R.S.Engines.Placed.size() == 2U);
  SendRequest(2, 70001);
  BOOST_TEST(R.S.Engines.Placed.size() == 1U);
}

/// A rolling restart changes the placer several times. Requests that wait at
/// the old placer must be sent to the new one at once.
BOOST_AUTO_TEST_CASE(WaitingRequestsMoveToTheNewPlacer) {
  GatewayFixture R;
  R.namePlacer("10.0.0.2");
  R.stream();
  auto Requested = std::get<PlacementRequest>(R.only<SendPeer>().Content);
  PlacementReply Acknowledgement;
  Acknowledgement.Ticket = Requested.Ticket;
  R.event(PeerMessage{HostId("10.0.0.2"), 1, Acknowledgement});
  R.namePlacer("10.0.0.3");
  bool NewPlacerRequested = false;
  for (const SendPeer &Send : R.all<SendPeer>()) {
    const auto *Spec = std::get_if<PlacementRequest>(&Send.Content);
    NewPlacerRequested = NewPlacerRequested ||
                         (Spec != nullptr && Send.To == HostId("10.0.0.3") &&
                          Spec->Ticket == Requested.Ticket);
  }
  BOOST_TEST(NewPlacerRequested);
  R.namePlacer("10.0.0.1"); // This host itself, which then places locally.
  R.advance(milliseconds(100));
  BOOST_TEST(R.all<calls::OpenUpstream>().size() == 1U);
}

/// A new placer must wait for the reports of running requests. Otherwise it
/// places requests again and again on engines whose memory is in use.
BOOST_AUTO_TEST_CASE(NewPlacerWaitsForReportsOfRunningRequests) {
  GatewayFixture R;
  R.namePlacer("10.0.0.2");
  R.namePlacer("10.0.0.1");
  R.call(HttpMethod::Post, "/l/1",
         {{"X-Pimentoglade-Token-Count", "133000,700"}});
  BOOST_TEST(R.all<calls::OpenUpstream>().empty());
  PlacementRequest Running;
  Running.Ticket = 7;
  Running.Service = ServiceId("llm");
  Running.PromptTokens = 200000;
  Running.AnswerTokens = 700;
  Running.TimeLeft = seconds(10);
  Running.RunningOn = {{BackendId("e1"), 0}};
  R.event(PeerMessage{HostId("10.0.0.3"), 1, Running});
  R.advance(milliseconds(100));
  calls::OpenUpstream Open = R.only<calls::OpenUpstream>();
  BOOST_TEST(Open.Request.Address == "10.0.1.2:80");
}

/// The engine that refused a reservation is avoided, not the first engine of
/// the request.
BOOST_AUTO_TEST_CASE(FailureCountsForTheEngineThatRefusedMemory) {
  GatewayFixture R;
  R.call(HttpMethod::Post, "/l/1",
         {{"X-Pimentoglade-Token-Count", "300000,700"},
          {"X-Pimentoglade-Deadline-Ms", "15000"}});
  calls::OpenUpstream Reserve = R.only<calls::OpenUpstream>();
  BackendId Refuser(Reserve.Request.Address == "10.0.1.1:80" ? "e1" : "e2");
  BackendId Other(Refuser.Value == "e1" ? "e2" : "e1");
  R.event(UpstreamHead{Reserve.Upstream, 409, {}});
  R.event(UpstreamEnd{Reserve.Upstream, true});
  BOOST_TEST(R.S.Engines.Engines.at(Refuser).Failures == 1U);
  BOOST_TEST(R.S.Engines.Engines.at(Other).Failures == 0U);
}

/// If the placer does not answer, the entry host places its own requests.
BOOST_AUTO_TEST_CASE(SilentPlacerIsBypassed) {
  GatewayFixture R;
  R.S.Link.Placer = HostId("10.0.0.2");
  R.stream();
  BOOST_TEST(R.all<calls::OpenUpstream>().empty());
  BOOST_TEST(R.all<SendPeer>().size() == 1U);
  R.advance(milliseconds(200));
  BOOST_TEST(R.all<calls::OpenUpstream>().size() == 1U);
  R.stream(); // The placer is still avoided.
  BOOST_TEST(R.all<calls::OpenUpstream>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(RemotePlacersReplyIsFollowed) {
  GatewayFixture R;
  HostId Placer("10.0.0.2");
  R.S.Link.Placer = Placer;
  R.stream();
  auto Requested = std::get<PlacementRequest>(R.only<SendPeer>().Content);
  PlacementReply Reply;
  Reply.Ticket = Requested.Ticket;
  R.event(PeerMessage{Placer, 1, Reply}); // The request waits.
  R.advance(milliseconds(200));
  BOOST_TEST(R.all<calls::OpenUpstream>().empty());
  Reply.First.Engine = BackendId("e2");
  R.event(PeerMessage{Placer, 1, Reply});
  calls::OpenUpstream Open = R.only<calls::OpenUpstream>();
  BOOST_TEST(Open.Request.Address == "10.0.1.2:80");
  // After a duplicate or late reply, the host reports the request as ended.
  Reply.Ticket = 424242;
  R.event(PeerMessage{Placer, 1, Reply});
  auto Update = std::get<PlacementUpdate>(R.only<SendPeer>().Content);
  BOOST_TEST((Update.Stage == PlacementStage::Ended));
}

/// A refusal must be explained by the logs of the host that the caller reached:
/// what the placer believed of the engines, and how old that belief was.
BOOST_AUTO_TEST_CASE(RefusalIsLoggedWithThePlacersBeliefs) {
  GatewayFixture R;
  HostId Placer("10.0.0.2");
  R.S.Link.Placer = Placer;
  R.stream();
  PlacementReply Reply;
  Reply.Ticket = std::get<PlacementRequest>(R.only<SendPeer>().Content).Ticket;
  Reply.Result = Code::QueueFull;
  Reply.Basis.MaxSlowness = 4;
  Reply.Basis.SpeedAge = milliseconds(700);
  R.event(PeerMessage{Placer, 1, Reply});
  const DecisionRecord *Refusal = nullptr;
  std::vector<LogDecision> Lines = R.all<LogDecision>();
  for (const LogDecision &Line : Lines) {
    if (std::string(Line.Record.Kind) == "placement_refused")
      Refusal = &Line.Record;
  }
  BOOST_REQUIRE(Refusal != nullptr);
  auto Has = [&](const DecisionField &Wanted) {
    return std::any_of(Refusal->Fields.begin(), Refusal->Fields.end(),
                       [&](const DecisionField &Field) {
                         return std::string(Field.Name) == Wanted.Name &&
                                Field.Value == Wanted.Value;
                       });
  };
  BOOST_TEST(Has({"slowness_max", 4.0}));
  BOOST_TEST(Has({"speed_age_ms", std::int64_t{700}}));
  BOOST_TEST(Has({"placer", Placer.Value}));
}

/// Guards against a slow engine that goes unnoticed because nobody can tell it
/// from the late first event alone: the placer asks for its load report, and
/// again until the engine is as fast as its data sheet.
BOOST_AUTO_TEST_CASE(EngineWithALateFirstEventIsAskedForItsSpeed) {
  GatewayFixture R;
  R.namePlacer("10.0.0.1");
  ExchangeId Call = R.stream();
  calls::OpenUpstream Sent = R.only<calls::OpenUpstream>();
  R.advance(milliseconds(40));
  BOOST_TEST(R.all<calls::OpenUpstream>().empty()); // Not suspected yet.
  R.advance(milliseconds(200));
  calls::OpenUpstream Query = R.onlySpeedQuery();
  BOOST_TEST(Query.Request.Address == Sent.Request.Address);
  R.event(UpstreamHead{Query.Upstream, 200, {}});
  R.event(UpstreamData{Query.Upstream, R"({"pace":4.0})"});
  R.event(UpstreamEnd{Query.Upstream, true});
  BackendId Engine(Sent.Request.Address == "10.0.1.1:80" ? "e1" : "e2");
  BOOST_TEST(R.S.Engines.Engines.at(Engine).Slowness == 4.0);
  R.event(ExchangeLeft{Call});
  R.advance(milliseconds(1000));
  Query = R.onlySpeedQuery(); // Asked again once a second.
  R.event(UpstreamHead{Query.Upstream, 200, {}});
  R.event(UpstreamData{Query.Upstream, R"({"pace":1})"});
  R.event(UpstreamEnd{Query.Upstream, true});
  BOOST_TEST(R.S.Engines.Engines.at(Engine).Slowness == 1.0);
}

/// Guards against queries that never end, or that change a belief without an
/// answer, at an engine that is silent or answers with something else.
BOOST_AUTO_TEST_CASE(UnansweredSpeedQueryChangesNothing) {
  GatewayFixture R;
  R.namePlacer("10.0.0.1");
  R.stream();
  R.advance(milliseconds(240));
  calls::OpenUpstream Query = R.onlySpeedQuery();
  R.event(UpstreamHead{Query.Upstream, 200, {}});
  R.event(UpstreamData{Query.Upstream, "{"});
  R.event(UpstreamEnd{Query.Upstream, true});
  for (const auto &[Id, E] : R.S.Engines.Engines)
    BOOST_TEST(E.Slowness == 1.0);
  R.advance(milliseconds(1000));
  Query = R.onlySpeedQuery();
  R.advance(milliseconds(600));
  BOOST_TEST(R.S.SpeedQueries.empty());
  std::vector<calls::AbortUpstream> Aborted = R.all<calls::AbortUpstream>();
  BOOST_TEST(std::any_of(Aborted.begin(), Aborted.end(),
                         [&](const calls::AbortUpstream &Abort) {
                           return Abort.Upstream == Query.Upstream;
                         }));
}

/// Guards against queries by every entry host: only the host that places
/// requests needs to know the engines' speed.
BOOST_AUTO_TEST_CASE(OnlyThePlacerAsksForSpeeds) {
  GatewayFixture R;
  HostId Placer("10.0.0.2");
  R.namePlacer("10.0.0.2");
  R.stream();
  PlacementReply Reply;
  Reply.Ticket = std::get<PlacementRequest>(R.only<SendPeer>().Content).Ticket;
  Reply.First.Engine = BackendId("e2");
  Reply.Forecast = milliseconds(80);
  R.event(PeerMessage{Placer, 1, Reply});
  BOOST_TEST(R.all<calls::OpenUpstream>().size() == 1U);
  R.advance(milliseconds(500));
  BOOST_TEST(R.all<calls::OpenUpstream>().empty());
}
