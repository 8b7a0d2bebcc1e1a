#define BOOST_TEST_MODULE gateway
#include "gateway/tests/GatewayFixture.h"

using namespace pimento;
using namespace pimento::testing;

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

/// Guards against requests that are handled by an old configuration long after
/// a newer one was acknowledged, and against refusals where no control host
/// could send the newer one.
BOOST_AUTO_TEST_CASE(HostThatLacksANewerConfigurationRefusesRequests) {
  for (bool InContact : {true, false}) {
    GatewayFixture R;
    SiteState Newer;
    Newer.IsCurrent = true;
    Newer.Leader = Control;
    Newer.Config = 9;
    R.event(PeerMessage{Control, 1, Newer});
    R.call(HttpMethod::Get, "/r/1");
    BOOST_TEST(R.all<calls::OpenUpstream>().size() == 1U);
    for (int I = 0; I < 6; ++I) {
      R.advance(milliseconds(400));
      if (InContact)
        R.event(PeerMessage{Control, 1, Newer});
    }
    BOOST_TEST(isReady(R.S) == !InContact);
    R.call(HttpMethod::Get, "/r/1");
    BOOST_TEST(R.all<calls::OpenUpstream>().size() == (InContact ? 0U : 1U));
    if (!InContact)
      continue;
    calls::SendReply Reply = R.only<calls::SendReply>();
    BOOST_TEST(Reply.Reply.Status == 503);
    BOOST_TEST(!headerValue(Reply.Reply.Headers, "Retry-After").empty());
    std::string Text = RoutingText;
    Text.replace(Text.find("\"version\":3"), 11, "\"version\":9");
    R.deliverSiteState(Text.c_str(), 9);
    BOOST_TEST(isReady(R.S));
    R.call(HttpMethod::Get, "/r/1");
    BOOST_TEST(R.all<calls::OpenUpstream>().size() == 1U);
  }
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
  UpstreamId First = R.only<calls::OpenUpstream>().Upstream;
  R.sent(First);
  R.advance(milliseconds(350));
  calls::OpenUpstream Second = R.onlySend();
  // The first server may still answer until the second one has.
  BOOST_TEST(R.aborted().empty());
  R.sent(Second.Upstream);
  R.head(Second.Upstream, 200);
  R.event(UpstreamEnd{Second.Upstream, true});
  BOOST_TEST(R.only<calls::SendReply>().Reply.Status == 200);
  BOOST_TEST((R.aborted() == std::vector<UpstreamId>{First}));
  BOOST_TEST(R.S.Calls.empty());
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
  BOOST_TEST(R.only<calls::EndStream>().IsComplete);
}

/// Guards against REFUSED and TWICE: a server writes an earlier refusal once
/// more on a kept connection. Requests that may run once use none; for others a
/// refusal without the request's id is no promise there.
BOOST_AUTO_TEST_CASE(RefusalWithoutIdOnAKeptConnectionIsNoPromise) {
  const std::vector<HttpHeader> Refusal = {
      {"X-Pimentoglade-Not-Executed", "1"}};
  for (bool IsKept : {false, true}) {
    GatewayFixture R;
    R.call(HttpMethod::Post, "/w/1");
    BOOST_TEST(!R.only<calls::OpenUpstream>().Request.MayReuse);
    ExchangeId Id = R.call(HttpMethod::Get, "/r/1");
    for (int Send = 0; Send < 2; ++Send) {
      calls::OpenUpstream Open = R.only<calls::OpenUpstream>();
      BOOST_TEST(Open.Request.MayReuse);
      R.event(UpstreamSent{Open.Upstream, IsKept});
      R.event(UpstreamHead{Open.Upstream, 503, Refusal});
      R.event(UpstreamEnd{Open.Upstream, true});
    }
    // The caller is told that it did not run only if both refusals were sure.
    calls::SendReply Reply = R.only<calls::SendReply>();
    BOOST_TEST((Reply.Exchange == Id));
    BOOST_TEST(Reply.Reply.Status == (IsKept ? 502 : 503));
  }
}
