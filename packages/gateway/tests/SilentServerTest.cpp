// Servers that are silent for a while and go on. Their silence alone ends no
// answer: other servers are tried meanwhile, and the first to go on serves the
// caller.

#include "gateway/tests/GatewayFixture.h"

using namespace pimento;
using namespace pimento::testing;

namespace {

/// Announces that the server takes no more requests.
void drain(GatewayFixture &R, const char *Id, const char *Address) {
  SiteState M;
  M.Sequence = R.S.Link.Sequence;
  M.IsCurrent = true;
  M.Leader = Control;
  M.Config = 3;
  ServerReport Report = server(Id, "llm", Address);
  Report.Sequence = 2;
  Report.Phase = ServerPhase::Draining;
  M.Servers = {Report};
  R.event(PeerMessage{Control, 1, M});
}

void drainOtherThan(GatewayFixture &R, const calls::OpenUpstream &Open) {
  if (Open.Request.Address == "10.0.1.1:80")
    drain(R, "e2", "10.0.1.2:80");
  else
    drain(R, "e1", "10.0.1.1:80");
}

/// Starts a stream and delivers its first event.
calls::OpenUpstream beginStream(GatewayFixture &R) {
  R.stream();
  calls::OpenUpstream Open = R.onlySend();
  R.sent(Open.Upstream);
  R.head(Open.Upstream, 200, {{"Content-Type", "text/event-stream"}});
  R.event(UpstreamData{Open.Upstream, "id: 1\ndata: a\n\n"});
  return Open;
}

/// The server goes on with the second event and ends the stream.
void checkGoesOn(GatewayFixture &R, const calls::OpenUpstream &Open) {
  R.event(UpstreamData{Open.Upstream, "id: 2\ndata: b\n\n"});
  BOOST_TEST_REQUIRE(R.all<calls::StreamBytes>().size() == 1U);
  BOOST_TEST(R.only<calls::StreamBytes>().Bytes == "id: 2\ndata: b\n\n");
  R.event(UpstreamEnd{Open.Upstream, true});
  BOOST_TEST_REQUIRE(R.all<calls::EndStream>().size() == 1U);
  BOOST_TEST(R.only<calls::EndStream>().IsComplete);
  BOOST_TEST(R.S.Calls.empty());
  BOOST_TEST(R.S.ByUpstream.empty());
  BOOST_TEST(R.S.Engines.Placed.empty());
}

/// The request by which another server was tried in this time.
calls::OpenUpstream nextTry(GatewayFixture &R, Duration Time) {
  R.advance(Time);
  BOOST_TEST(R.all<calls::EndStream>().empty());
  return R.onlySend();
}

/// The latest query whether the engine of the only call still runs.
UpstreamId endQuery(const GatewayFixture &R) {
  BOOST_TEST_REQUIRE(!R.S.EndQueries.empty());
  return R.S.EndQueries.rbegin()->first;
}

void answerQuery(GatewayFixture &R, UpstreamId Query) {
  R.event(UpstreamHead{Query, 200, {}});
  R.event(UpstreamData{Query, R"({"pace":1,"born":1})"});
  R.event(UpstreamEnd{Query, true});
}

} // namespace

/// Guards against LOST: an engine was silent for a second, its stream was given
/// up, and no other engine had room.
BOOST_AUTO_TEST_CASE(StreamOfASilentEngineGoesOnIfNoOtherHasRoom) {
  for (Duration Silence :
       {milliseconds(1100), milliseconds(2000), milliseconds(3000)}) {
    GatewayFixture R;
    calls::OpenUpstream Open = beginStream(R);
    drainOtherThan(R, Open);
    R.advance(Silence);
    BOOST_TEST(R.all<calls::EndStream>().empty());
    BOOST_TEST(R.aborted().empty());
    checkGoesOn(R, Open);
  }
}

/// The same before the first event.
BOOST_AUTO_TEST_CASE(RequestAtASilentEngineWaitsIfNoOtherHasRoom) {
  GatewayFixture R;
  R.stream();
  calls::OpenUpstream Open = R.onlySend();
  R.sent(Open.Upstream);
  drainOtherThan(R, Open);
  R.advance(seconds(2));
  BOOST_TEST(R.all<calls::SendReply>().empty());
  R.head(Open.Upstream, 200);
  R.event(UpstreamData{Open.Upstream, "id: 1\ndata: a\n\n"});
  checkGoesOn(R, Open);
}

/// Guards against LOST: the engine that was tried next refused the request, was
/// not reached, broke off, or was silent as well, while the first one went on.
BOOST_AUTO_TEST_CASE(StreamOfASilentEngineGoesOnIfTheNextOneFails) {
  enum class Next { Refuses, IsNotReached, BreaksOff, FailsToAnswer, IsSilent };
  for (Next How : {Next::Refuses, Next::IsNotReached, Next::BreaksOff,
                   Next::FailsToAnswer, Next::IsSilent}) {
    GatewayFixture R;
    calls::OpenUpstream Open = beginStream(R);
    calls::OpenUpstream Second = nextTry(R, milliseconds(1100));
    BOOST_TEST(valueOf(Second, "Last-Event-Id") == "1");
    if (How != Next::IsNotReached)
      R.sent(Second.Upstream);
    if (How == Next::Refuses)
      R.head(Second.Upstream, 503, {{"X-Pimentoglade-Not-Executed", "1"}});
    if (How == Next::FailsToAnswer)
      R.head(Second.Upstream, 500);
    if (How == Next::Refuses || How == Next::FailsToAnswer)
      R.event(UpstreamEnd{Second.Upstream, true});
    if (How == Next::IsNotReached || How == Next::BreaksOff)
      R.failUpstream(Second.Upstream, How == Next::BreaksOff);
    BOOST_TEST(R.all<calls::EndStream>().empty());
    R.advance(milliseconds(300));
    BOOST_TEST(R.all<calls::EndStream>().empty());
    checkGoesOn(R, Open);
  }
}

/// Guards against LOST: a stream without a length was whole, and was called
/// broken since its engine's load report came late.
BOOST_AUTO_TEST_CASE(WholeStreamIsCompleteThoughTheReportIsLate) {
  for (Duration Late : {milliseconds(450), milliseconds(1000),
                        milliseconds(1700), milliseconds(3000)}) {
    GatewayFixture R;
    calls::OpenUpstream Open = beginStream(R);
    drainOtherThan(R, Open);
    R.event(UpstreamEnd{Open.Upstream, false});
    UpstreamId Query = endQuery(R);
    R.advance(Late);
    BOOST_TEST(R.all<calls::EndStream>().empty());
    answerQuery(R, Query);
    BOOST_TEST_REQUIRE(R.all<calls::EndStream>().size() == 1U);
    BOOST_TEST(R.only<calls::EndStream>().IsComplete);
    BOOST_TEST(R.S.Calls.empty());
    BOOST_TEST(R.S.EndQueries.empty());
  }
}

/// Guards against a query that is never answered, since the connection that it
/// was sent over has fallen silent for good: the one over a new connection is.
BOOST_AUTO_TEST_CASE(EndIsConfirmedOverANewConnection) {
  GatewayFixture R;
  calls::OpenUpstream Open = beginStream(R);
  drainOtherThan(R, Open);
  R.event(UpstreamEnd{Open.Upstream, false});
  UpstreamId First = endQuery(R);
  R.advance(milliseconds(1700));
  UpstreamId Second = endQuery(R);
  BOOST_TEST((Second != First));
  answerQuery(R, Second);
  BOOST_TEST((R.aborted() == std::vector<UpstreamId>{First}));
  BOOST_TEST(R.only<calls::EndStream>().IsComplete);
  BOOST_TEST(R.S.Calls.empty());
  BOOST_TEST(R.S.EndQueries.empty());
}

/// Guards against false evidence: the engine of a whole stream counted as
/// crashed, and the request as what crashed it, for a report that came late.
BOOST_AUTO_TEST_CASE(LateReportIsNoCrash) {
  GatewayFixture R;
  calls::OpenUpstream Open = beginStream(R);
  R.event(UpstreamEnd{Open.Upstream, false});
  R.sent(nextTry(R, milliseconds(500)).Upstream);
  R.advance(seconds(2));
  BOOST_TEST(R.S.Quarantine.Crashes.empty());
}

/// The same for the query after an answer that broke off: the engine takes the
/// connection, and answers after a second.
BOOST_AUTO_TEST_CASE(LateAnswerAfterABrokenConnectionIsNoCrash) {
  GatewayFixture R;
  calls::OpenUpstream Open = beginStream(R);
  R.failUpstream(Open.Upstream, true);
  BOOST_TEST_REQUIRE(R.S.CrashChecks.size() == 1U);
  UpstreamId Query = R.S.CrashChecks.begin()->first;
  R.sent(Query);
  R.advance(seconds(1));
  R.event(UpstreamHead{Query, 200, {}});
  R.advance(seconds(3));
  BOOST_TEST(R.S.Quarantine.Crashes.empty());
  BOOST_TEST(R.S.CrashChecks.empty());
}

/// Guards against an idempotent call that fails although its server answers in
/// time: it was given up as late, and the next server refused it.
BOOST_AUTO_TEST_CASE(LateAnswerIsDeliveredIfTheNextServerRefuses) {
  GatewayFixture R;
  R.call(HttpMethod::Get, "/r/1");
  calls::OpenUpstream Open = R.onlySend();
  R.sent(Open.Upstream);
  R.advance(milliseconds(350));
  calls::OpenUpstream Second = R.onlySend();
  R.sent(Second.Upstream);
  R.head(Second.Upstream, 503, {{"X-Pimentoglade-Not-Executed", "1"}});
  R.event(UpstreamEnd{Second.Upstream, true});
  BOOST_TEST(R.all<calls::SendReply>().empty());
  R.head(Open.Upstream, 200);
  R.event(UpstreamEnd{Open.Upstream, true});
  BOOST_TEST_REQUIRE(R.all<calls::SendReply>().size() == 1U);
  BOOST_TEST(R.only<calls::SendReply>().Reply.Status == 200);
  BOOST_TEST(R.S.Calls.empty());
}

/// Guards against LOST: a host lost its path to a silent engine, found no host
/// that takes the request, and broke the stream off; the path came back.
BOOST_AUTO_TEST_CASE(StreamGoesOnAfterItsPathComesBack) {
  GatewayFixture R;
  calls::OpenUpstream Open = beginStream(R);
  R.S.Relays.Paths.Services[ServiceId("llm")].State = PathState::Cut;
  R.advance(seconds(2));
  BOOST_TEST(R.all<calls::EndStream>().empty());
  checkGoesOn(R, Open);
}

/// Guards against ORDER: two servers are at work on a stream. The one that goes
/// on first serves the caller from then on; the other one is stopped, and what
/// it has sent meanwhile is dropped.
BOOST_AUTO_TEST_CASE(OnlyOneOfTwoServersServesTheStream) {
  for (bool IsNextFirst : {false, true}) {
    GatewayFixture R;
    calls::OpenUpstream First = beginStream(R);
    calls::OpenUpstream Second = nextTry(R, milliseconds(1100));
    BOOST_TEST(Second.Request.Address != First.Request.Address);
    R.sent(Second.Upstream);
    R.head(Second.Upstream, 200, {{"Content-Type", "text/event-stream"}});
    BOOST_TEST(R.all<calls::StartStream>().empty());
    BOOST_TEST(R.aborted().empty());
    const calls::OpenUpstream &Winner = IsNextFirst ? Second : First;
    const calls::OpenUpstream &Loser = IsNextFirst ? First : Second;
    R.event(UpstreamData{Winner.Upstream, "id: 2\ndata: b\n\n"});
    BOOST_TEST_REQUIRE(R.all<calls::StreamBytes>().size() == 1U);
    BOOST_TEST((R.aborted() == std::vector<UpstreamId>{Loser.Upstream}));
    R.event(UpstreamData{Loser.Upstream, "id: 2\ndata: b\n\n"});
    BOOST_TEST(R.LastEffects.empty());
    R.event(UpstreamData{Winner.Upstream, "id: 3\ndata: c\n\n"});
    BOOST_TEST(R.only<calls::StreamBytes>().Bytes == "id: 3\ndata: c\n\n");
    R.event(UpstreamEnd{Winner.Upstream, true});
    BOOST_TEST(R.only<calls::EndStream>().IsComplete);
    BOOST_TEST(R.S.Calls.empty());
    BOOST_TEST(R.S.ByUpstream.empty());
    BOOST_TEST(R.S.Engines.Placed.empty());
  }
}

/// Guards against a caller without a head, or with two: the server that was
/// tried second answers a request that has no answer yet.
BOOST_AUTO_TEST_CASE(HeadOfTheServerThatAnswersFirstReachesTheCaller) {
  for (bool HasHead : {false, true}) {
    GatewayFixture R;
    R.stream();
    calls::OpenUpstream First = R.onlySend();
    R.sent(First.Upstream);
    calls::OpenUpstream Second = nextTry(R, milliseconds(1600));
    R.sent(Second.Upstream);
    R.head(Second.Upstream, 200);
    BOOST_TEST(R.all<calls::StartStream>().empty());
    std::size_t Heads = 0;
    if (HasHead) {
      R.head(First.Upstream, 200);
      Heads += R.all<calls::StartStream>().size();
    }
    R.event(UpstreamData{Second.Upstream, "id: 1\ndata: a\n\n"});
    Heads += R.all<calls::StartStream>().size();
    BOOST_TEST(Heads == 1U);
    BOOST_TEST(R.only<calls::StreamBytes>().Bytes == "id: 1\ndata: a\n\n");
    R.event(UpstreamEnd{Second.Upstream, true});
    BOOST_TEST(R.only<calls::EndStream>().IsComplete);
    BOOST_TEST(R.S.Calls.empty());
  }
}

/// Guards against BUDGET: the late attempt fails while another server is at
/// work, and a third one is sent the request.
BOOST_AUTO_TEST_CASE(ServerThatWasTriedGoesOnAfterTheFirstFails) {
  GatewayFixture R;
  calls::OpenUpstream First = beginStream(R);
  calls::OpenUpstream Second = nextTry(R, milliseconds(1100));
  R.sent(Second.Upstream);
  R.failUpstream(First.Upstream, true);
  for (const calls::OpenUpstream &Open : R.all<calls::OpenUpstream>())
    BOOST_TEST(Open.Request.Target == "/-/report");
  BOOST_TEST(R.all<calls::EndStream>().empty());
  R.head(Second.Upstream, 200, {{"Content-Type", "text/event-stream"}});
  checkGoesOn(R, Second);
}

/// Guards against GONE: the caller leaves while two servers are at work.
BOOST_AUTO_TEST_CASE(BothServersStopWhenTheCallerLeaves) {
  GatewayFixture R;
  ExchangeId Caller = R.stream();
  calls::OpenUpstream First = R.onlySend();
  R.sent(First.Upstream);
  calls::OpenUpstream Second = nextTry(R, milliseconds(1600));
  R.sent(Second.Upstream);
  R.event(ExchangeLeft{Caller});
  BOOST_TEST(R.aborted().size() == 2U);
  BOOST_TEST(R.S.Calls.empty());
  BOOST_TEST(R.S.ByUpstream.empty());
  BOOST_TEST(R.S.Engines.Placed.empty());
}

/// Guards against BUDGET: a server that is silent again and again, and goes on
/// each time, costs no more sends than the route allows.
BOOST_AUTO_TEST_CASE(SilentServerCostsNoMoreSendsThanAllowed) {
  GatewayFixture R;
  calls::OpenUpstream Open = beginStream(R);
  std::size_t Sends = 1;
  for (int Event = 2; Event <= 5; ++Event) {
    R.advance(milliseconds(1500));
    for (const calls::OpenUpstream &Next : R.all<calls::OpenUpstream>()) {
      if (Next.Request.Target != "/s/1")
        continue;
      Sends += 1;
      R.sent(Next.Upstream);
    }
    R.event(UpstreamData{Open.Upstream,
                         "id: " + std::to_string(Event) + "\ndata: x\n\n"});
    BOOST_TEST(R.all<calls::StreamBytes>().size() == 1U);
  }
  BOOST_TEST(Sends == 2U);
}

/// Guards against retries that are used up by requests which no engine got:
/// only what is sent to another server is charged.
BOOST_AUTO_TEST_CASE(RefusedPlacesCostNoRetries) {
  GatewayFixture R;
  calls::OpenUpstream Open = beginStream(R);
  drainOtherThan(R, Open);
  R.advance(seconds(6));
  BOOST_TEST(R.S.Retries.at(ServiceId("llm")).Retries.empty());
  BOOST_TEST(R.all<calls::EndStream>().empty());
}

/// Guards against TWICE: a call that may run once has no second server, however
/// late its answer is.
BOOST_AUTO_TEST_CASE(LateCallThatRunsOnceHasNoSecondServer) {
  GatewayFixture R;
  R.call(HttpMethod::Post, "/w/1");
  calls::OpenUpstream Open = R.onlySend();
  R.sent(Open.Upstream);
  R.advance(milliseconds(590));
  for (const calls::OpenUpstream &Next : R.all<calls::OpenUpstream>())
    BOOST_TEST(Next.Request.Target != "/w/1");
  R.head(Open.Upstream, 200);
  R.event(UpstreamEnd{Open.Upstream, true});
  BOOST_TEST(R.only<calls::SendReply>().Reply.Status == 200);
}

/// Guards against a caller that waits for the end of a whole stream: another
/// server, which has nothing to add, ends it while the first one is silent.
BOOST_AUTO_TEST_CASE(EmptyRestOfAnotherServerEndsTheStream) {
  GatewayFixture R;
  calls::OpenUpstream Open = beginStream(R);
  R.event(UpstreamEnd{Open.Upstream, false});
  calls::OpenUpstream Second = nextTry(R, milliseconds(500));
  R.sent(Second.Upstream);
  R.head(Second.Upstream, 200, {{"Content-Type", "text/event-stream"}});
  R.event(UpstreamEnd{Second.Upstream, true});
  BOOST_TEST_REQUIRE(R.all<calls::EndStream>().size() == 1U);
  BOOST_TEST(R.only<calls::EndStream>().IsComplete);
  BOOST_TEST(R.S.Calls.empty());
  BOOST_TEST(R.S.EndQueries.empty());
}

/// Guards against an engine whose end is taken for silence: it refuses the
/// connection of the query, or another one answers at its address.
BOOST_AUTO_TEST_CASE(StreamOfAnEndedEngineIsNotComplete) {
  for (bool IsReplaced : {false, true}) {
    GatewayFixture R;
    calls::OpenUpstream Open = beginStream(R);
    drainOtherThan(R, Open);
    R.event(UpstreamEnd{Open.Upstream, false});
    R.advance(milliseconds(700));
    UpstreamId Query = endQuery(R);
    if (IsReplaced)
      R.event(UpstreamHead{Query, 421, {}});
    else
      R.failUpstream(Query, false);
    std::vector<calls::EndStream> Ends = R.all<calls::EndStream>();
    R.advance(seconds(12));
    for (const calls::EndStream &End : R.all<calls::EndStream>())
      Ends.push_back(End);
    BOOST_TEST_REQUIRE(Ends.size() == 1U);
    BOOST_TEST(!Ends.front().IsComplete);
  }
}

/// Guards against queries that stop at one failure which says nothing of the
/// engine: a timeout, a busy engine, a kept connection that was closed.
BOOST_AUTO_TEST_CASE(QueryWithoutAnAnswerIsSentAgain) {
  enum class How { TimedOut, Busy, KeptConnectionClosed };
  for (How Failure : {How::TimedOut, How::Busy, How::KeptConnectionClosed}) {
    GatewayFixture R;
    calls::OpenUpstream Open = beginStream(R);
    drainOtherThan(R, Open);
    R.event(UpstreamEnd{Open.Upstream, false});
    UpstreamFailure Why;
    Why.BytesSent = Failure == How::KeptConnectionClosed;
    Why.TimedOut = Failure == How::TimedOut;
    Why.IsKept = Failure == How::KeptConnectionClosed;
    UpstreamId First = endQuery(R);
    if (Failure == How::Busy)
      R.event(UpstreamHead{First, 503, {}});
    else
      R.event(UpstreamFailed{First, Why});
    R.advance(milliseconds(900));
    BOOST_TEST(R.all<calls::EndStream>().empty());
    UpstreamId Second = endQuery(R);
    BOOST_TEST((Second != First));
    answerQuery(R, Second);
    BOOST_TEST_REQUIRE(R.all<calls::EndStream>().size() == 1U);
    BOOST_TEST(R.only<calls::EndStream>().IsComplete);
  }
}

/// Guards against LOST: an engine was silent and took no connection for a
/// while, another one took the request and refused it, and the first one was
/// left before that.
BOOST_AUTO_TEST_CASE(EngineThatTakesNoConnectionMayStillGoOn) {
  GatewayFixture R;
  calls::OpenUpstream Open = beginStream(R);
  R.Gone = {BackendId(Open.Request.Address == "10.0.1.1:80" ? "e1" : "e2")};
  calls::OpenUpstream Second = nextTry(R, milliseconds(1100));
  R.sent(Second.Upstream);
  R.advance(milliseconds(1900));
  R.head(Second.Upstream, 503, {{"X-Pimentoglade-Not-Executed", "1"}});
  R.event(UpstreamEnd{Second.Upstream, true});
  BOOST_TEST(R.all<calls::EndStream>().empty());
  checkGoesOn(R, Open);
}

/// Guards against LOST and false evidence: a whole stream without a length was
/// broken off, and its engine taken for crashed, since it took no connection
/// for two seconds.
BOOST_AUTO_TEST_CASE(WholeStreamIsCompleteAfterItsEngineTakesConnectionsAgain) {
  GatewayFixture R;
  calls::OpenUpstream Open = beginStream(R);
  R.Gone = {BackendId(Open.Request.Address == "10.0.1.1:80" ? "e1" : "e2")};
  drainOtherThan(R, Open);
  R.event(UpstreamEnd{Open.Upstream, false});
  R.advance(milliseconds(2500));
  BOOST_TEST(R.all<calls::EndStream>().empty());
  BOOST_TEST(R.S.Quarantine.Crashes.empty());
  R.Gone.clear();
  answerQuery(R, endQuery(R));
  BOOST_TEST_REQUIRE(R.all<calls::EndStream>().size() == 1U);
  BOOST_TEST(R.only<calls::EndStream>().IsComplete);
}

/// Guards against two runs of a call at one server: the only server is late,
/// and there is no other one.
BOOST_AUTO_TEST_CASE(LateCallIsNotSentToItsServerAgain) {
  GatewayFixture R;
  SiteState M;
  M.Sequence = R.S.Link.Sequence;
  M.IsCurrent = true;
  M.Leader = Control;
  M.Config = 3;
  ServerReport Leaving = server("p2", "plain", "10.0.2.2:80");
  Leaving.Sequence = 2;
  Leaving.Phase = ServerPhase::Draining;
  M.Servers = {Leaving};
  R.event(PeerMessage{Control, 1, M});
  R.call(HttpMethod::Get, "/r/1");
  calls::OpenUpstream Open = R.onlySend();
  BOOST_TEST(Open.Request.Address == "10.0.2.1:80");
  R.sent(Open.Upstream);
  R.advance(milliseconds(500));
  for (const calls::OpenUpstream &Next : R.all<calls::OpenUpstream>())
    BOOST_TEST(Next.Request.Target != "/r/1");
  R.head(Open.Upstream, 200);
  R.event(UpstreamEnd{Open.Upstream, true});
  BOOST_TEST(R.only<calls::SendReply>().Reply.Status == 200);
}

/// Guards against a plain server that counts as busy for good: a permit for a
/// hedge came after the site's retries had been used up.
BOOST_AUTO_TEST_CASE(HedgeWithoutARetryLeavesItsServerIdle) {
  GatewayFixture R;
  R.call(HttpMethod::Get, "/r/1");
  calls::OpenUpstream First = R.onlySend();
  R.sent(First.Upstream);
  BackendId Other(First.Request.Address == "10.0.2.1:80" ? "p2" : "p1");
  ServerLimit Limit;
  Limit.Server = Other;
  Limit.Incarnation = 1;
  Limit.PerSecond = 10;
  R.event(PeerMessage{Control, 1, LimitNotice{Limit}});
  R.advance(milliseconds(190));
  LimitBucket &Permits = R.S.Permits.Buckets.at(Other);
  Permits.Tokens = 0;
  Permits.FilledAt = R.Now;
  std::size_t Waited = 0;
  for (int Step = 0; Step < 35; ++Step) {
    R.tick(milliseconds(10));
    for (const auto &[Ticket, C] : R.S.Calls) {
      if (C.Stage != CallStage::AwaitingPermit)
        continue;
      Waited += 1;
      std::deque<TimePoint> &Used = R.S.Retries[ServiceId("plain")].Retries;
      Used.assign(1000, R.Now);
    }
  }
  BOOST_TEST(Waited > 0U);
  R.head(First.Upstream, 200);
  R.event(UpstreamEnd{First.Upstream, true});
  BOOST_TEST(R.S.Calls.empty());
  for (const auto &[Server, Health] : R.S.Health.Servers)
    BOOST_TEST(Health.InFlight == 0U, Server.Value);
}

/// Guards against a plain server that counts as busy for good: its streams end.
BOOST_AUTO_TEST_CASE(StreamOfAPlainServerThatEndedLeavesItIdle) {
  GatewayFixture R;
  std::string Text = RoutingText;
  Text.replace(Text.find(R"("version":3)"), 11, R"("version":4)");
  std::string Feed =
      R"({"name":"feed","host":"h","pathPrefix":"/f/","routeType":"streaming",)"
      R"("timeoutMs":10000,"sloMs":300,"itlTargetMs":250,"service":"plain",)"
      R"("maxAttempts":2,"resumable":true},)";
  Text.insert(Text.find(R"({"name":"read")"), Feed);
  R.deliverSiteState(Text.c_str(), 4);
  R.call(HttpMethod::Get, "/f/1");
  calls::OpenUpstream Open = R.onlySend();
  R.sent(Open.Upstream);
  R.head(Open.Upstream, 200, {{"Content-Type", "text/event-stream"}});
  R.event(UpstreamData{Open.Upstream, "id: 1\ndata: a\n\n"});
  R.event(UpstreamEnd{Open.Upstream, true});
  BOOST_TEST(R.only<calls::EndStream>().IsComplete);
  for (const auto &[Server, Health] : R.S.Health.Servers)
    BOOST_TEST(Health.InFlight == 0U, Server.Value);
}

/// Guards against BUDGET: another server was tried while the connection of the
/// first attempt was not made yet, and the request of a route that allows one
/// server reached two.
BOOST_AUTO_TEST_CASE(UnsentAttemptCountsWhileAnotherServerIsTried) {
  GatewayFixture R;
  R.call(HttpMethod::Get, "/o/1");
  calls::OpenUpstream First = R.onlySend();
  R.advance(milliseconds(250));
  std::size_t Sends = 1;
  for (const calls::OpenUpstream &Open : R.all<calls::OpenUpstream>())
    Sends += Open.Request.Target == "/o/1" ? 1 : 0;
  R.sent(First.Upstream);
  BOOST_TEST(Sends == 1U);
}

/// Guards against streams that hang until their deadline: their callers were
/// slow for a while, and the engine fell silent after they had caught up.
BOOST_AUTO_TEST_CASE(SilenceIsNoticedAfterTheCallerHasCaughtUp) {
  GatewayFixture R;
  ExchangeId Caller = R.stream();
  calls::OpenUpstream Open = R.onlySend();
  R.sent(Open.Upstream);
  R.head(Open.Upstream, 200, {{"Content-Type", "text/event-stream"}});
  std::string Long(FlowWindowBytes * 3 / 4, 'x');
  R.event(UpstreamData{Open.Upstream, "id: 1\ndata: " + Long + "\n\n"});
  R.advance(milliseconds(1500));
  R.event(ExchangeDrained{Caller, 0});
  R.event(UpstreamData{Open.Upstream, "id: 2\ndata: b\n\n"});
  R.event(ExchangeDrained{Caller, 0});
  calls::OpenUpstream Second = nextTry(R, milliseconds(1500));
  BOOST_TEST(valueOf(Second, "Last-Event-Id") == "2");
}

/// Guards against sound engines that are avoided: each was asked for the rest
/// of a stream that was whole, and had nothing to add.
BOOST_AUTO_TEST_CASE(EmptyRestWithoutALengthIsNotHeldAgainstItsEngine) {
  GatewayFixture R;
  calls::OpenUpstream Open = beginStream(R);
  R.event(UpstreamEnd{Open.Upstream, false});
  UpstreamId Query = endQuery(R);
  calls::OpenUpstream Second = nextTry(R, milliseconds(500));
  R.sent(Second.Upstream);
  R.head(Second.Upstream, 200, {{"Content-Type", "text/event-stream"}});
  R.event(UpstreamEnd{Second.Upstream, false});
  R.advance(milliseconds(20));
  answerQuery(R, Query);
  BackendId Engine(Second.Request.Address == "10.0.1.1:80" ? "e1" : "e2");
  BOOST_TEST((R.S.Engines.Engines.at(Engine).AvoidUntil <= R.Now));
}

/// Guards against requests without an answer: the first two engines are silent,
/// and a third one, which the route allows, is never tried.
BOOST_AUTO_TEST_CASE(ThirdServerIsTriedIfTheSecondIsSilentAsWell) {
  GatewayFixture R;
  std::string Text = RoutingText;
  Text.replace(Text.find(R"("version":3)"), 11, R"("version":4)");
  Text.replace(Text.find(R"("maxAttempts":2)"), 15, R"("maxAttempts":3)");
  R.deliverSiteState(Text.c_str(), 4);
  SiteState M;
  M.Sequence = R.S.Link.Sequence;
  M.IsCurrent = true;
  M.Leader = Control;
  M.Config = 4;
  M.Servers = {server("e3", "llm", "10.0.1.3:80")};
  R.event(PeerMessage{Control, 1, M});
  beginStream(R);
  std::size_t Sends = 1;
  for (int Step = 0; Step < 60; ++Step) {
    R.advance(milliseconds(100));
    for (const calls::OpenUpstream &Open : R.all<calls::OpenUpstream>()) {
      if (Open.Request.Target != "/s/1")
        continue;
      Sends += 1;
      R.sent(Open.Upstream);
    }
  }
  BOOST_TEST(Sends == 3U);
}

/// Guards against LOST: no server was reached for a while by the hedges of a
/// late stream, and none was left to it when its own connection broke.
BOOST_AUTO_TEST_CASE(HedgesThatReachNoServerLeaveTheirTriesToTheStream) {
  GatewayFixture R;
  calls::OpenUpstream First = beginStream(R);
  std::size_t Tries = 0;
  for (int Step = 0; Step < 40; ++Step) {
    R.advance(milliseconds(100));
    for (const calls::OpenUpstream &Open : R.all<calls::OpenUpstream>()) {
      if (Open.Request.Target != "/s/1")
        continue;
      Tries += 1;
      R.failUpstream(Open.Upstream, false);
    }
  }
  BOOST_TEST(Tries >= 1U);
  // Servers are reached again.
  std::size_t Sends = 0;
  auto CountSends = [&] {
    for (const calls::OpenUpstream &Open : R.all<calls::OpenUpstream>())
      Sends += Open.Request.Target == "/s/1" ? 1 : 0;
  };
  R.advance(seconds(1));
  CountSends();
  R.failUpstream(First.Upstream, true);
  CountSends();
  R.advance(seconds(1));
  CountSends();
  BOOST_TEST(R.all<calls::EndStream>().empty());
  BOOST_TEST(Sends == 1U);
}
