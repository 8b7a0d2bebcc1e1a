//===- SilentServer.h - Streams at servers that fall silent -----*- C++ -*-===//
//
//   GatewayFixture R;
//   calls::OpenUpstream Open = beginStream(R); // Its first event has come.
//   R.advance(seconds(3));                     // The server is silent.
//   checkGoesOn(R, Open);                      // The caller gets the rest.
//
// Steps of tests in which a server says nothing for a while and goes on.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "gateway/tests/GatewayFixture.h"

namespace pimento::testing {

/// Announces that the server takes no more requests.
inline void drain(GatewayFixture &R, const char *Id, const char *Address) {
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

inline void drainOtherThan(GatewayFixture &R, const calls::OpenUpstream &Open) {
  if (Open.Request.Address == "10.0.1.1:80")
    drain(R, "e2", "10.0.1.2:80");
  else
    drain(R, "e1", "10.0.1.1:80");
}

/// Starts a stream and delivers its first event.
inline calls::OpenUpstream beginStream(GatewayFixture &R) {
  R.stream();
  calls::OpenUpstream Open = R.onlySend();
  R.sent(Open.Upstream);
  R.head(Open.Upstream, 200, {{"Content-Type", "text/event-stream"}});
  R.event(UpstreamData{Open.Upstream, "id: 1\ndata: a\n\n"});
  return Open;
}

/// The server goes on with the second event and ends the stream.
inline void checkGoesOn(GatewayFixture &R, const calls::OpenUpstream &Open) {
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
inline calls::OpenUpstream nextTry(GatewayFixture &R, Duration Time) {
  R.advance(Time);
  BOOST_TEST(R.all<calls::EndStream>().empty());
  return R.onlySend();
}

/// The latest query whether the engine of the only call still runs.
inline UpstreamId endQuery(const GatewayFixture &R) {
  BOOST_TEST_REQUIRE(!R.S.EndQueries.empty());
  return R.S.EndQueries.rbegin()->first;
}

inline void answerQuery(GatewayFixture &R, UpstreamId Query) {
  R.event(UpstreamHead{Query, 200, {}});
  R.event(UpstreamData{Query, R"({"pace":1,"born":1})"});
  R.event(UpstreamEnd{Query, true});
}

} // namespace pimento::testing
