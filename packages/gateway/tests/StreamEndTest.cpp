// Streams without a length that have ended with their connection, at engines
// that are late to say whether they still run. A late report breaks no whole
// stream.

#include "gateway/tests/SilentServer.h"

using namespace pimento;
using namespace pimento::testing;

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
