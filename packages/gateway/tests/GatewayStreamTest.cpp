#include "gateway/tests/GatewayFixture.h"

using namespace pimento;
using namespace pimento::testing;

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
