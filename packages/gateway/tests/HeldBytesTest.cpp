// Load: long bodies of many callers at once, and servers whose answers have no
// end. A host holds few of the bytes, and says so to those whom it has no room
// for before anything of them is sent.

#include "gateway/tests/GatewayFixture.h"

using namespace pimento;
using namespace pimento::testing;

namespace {

constexpr std::size_t MiB = 1U << 20U;

ExchangeId callWithBody(GatewayFixture &R, std::string Body,
                        std::size_t CallerBytes = 0) {
  HttpRequest Q;
  Q.Method = HttpMethod::Post;
  Q.Path = Q.Target = "/w/1";
  Q.Headers = {{"Host", "h"},
               {"X-Pimentoglade-Attempt-Id", "id1"},
               {"Authorization", "Token k"}};
  Q.Body = std::move(Body);
  ExchangeId Id{R.NextExchange++};
  R.event(CallerRequest{Id, std::move(Q), CallerBytes});
  return Id;
}

GatewayFixture &withMemory(GatewayFixture &R, std::size_t Bytes) {
  R.S.Config.Limits.MemoryBytes = Bytes;
  return R;
}

/// Ends the call at its server.
void answer(GatewayFixture &R, UpstreamId Upstream) {
  R.head(Upstream, 200);
  R.event(UpstreamData{Upstream, "done"});
  R.event(UpstreamEnd{Upstream, true});
  BOOST_TEST(R.only<calls::SendReply>().Reply.Status == 200);
}

} // namespace

/// Guards against a host that many callers with the longest bodies take past
/// its memory: it was killed with requests that servers were at work on.
BOOST_AUTO_TEST_CASE(BodiesBeyondTheMemoryAreRefusedBeforeTheyAreSent) {
  for (std::size_t Memory : {160 * MiB, 260 * MiB}) {
    for (int Callers : {34, 200}) {
      GatewayFixture R;
      withMemory(R, Memory);
      std::vector<UpstreamId> Sent;
      int Refused = 0;
      for (int I = 0; I < Callers; ++I) {
        callWithBody(R, std::string(4 * MiB, 'x'));
        std::vector<calls::OpenUpstream> Opened = R.all<calls::OpenUpstream>();
        if (!Opened.empty()) {
          Sent.push_back(Opened[0].Upstream);
          R.sent(Sent.back());
          continue;
        }
        calls::SendReply Reply = R.only<calls::SendReply>();
        BOOST_TEST(Reply.Reply.Status == 503);
        BOOST_TEST(!headerValue(Reply.Reply.Headers, "Retry-After").empty());
        Refused += 1;
      }
      BOOST_TEST(Sent.size() + static_cast<std::size_t>(Refused) ==
                 static_cast<std::size_t>(Callers));
      BOOST_TEST(heldBytes(R.S) <= Memory / 2);
      BOOST_TEST(Sent.size() >= Memory / 4 / (4 * MiB));
      // All that were sent are answered, and make room for others.
      for (UpstreamId Upstream : Sent)
        answer(R, Upstream);
      BOOST_TEST(heldBytes(R.S) == 0U);
      callWithBody(R, std::string(4 * MiB, 'x'));
      R.only<calls::OpenUpstream>();
    }
  }
}

/// Guards against an account that leaves out what the process holds for
/// callers: bodies that are being read and answers that are being written.
BOOST_AUTO_TEST_CASE(BytesOfTheProcessCountAsHeld) {
  GatewayFixture R;
  withMemory(R, 160 * MiB);
  callWithBody(R, std::string(4 * MiB, 'x'), 62 * MiB);
  BOOST_TEST(R.only<calls::SendReply>().Reply.Status == 503);
  // Requests with few bytes are served all the same.
  callWithBody(R, "short", 62 * MiB);
  R.only<calls::OpenUpstream>();
}

/// Guards against copies: a body is held once by its call and the connection
/// that sends it.
BOOST_AUTO_TEST_CASE(BodyIsHeldOnce) {
  GatewayFixture R;
  callWithBody(R, std::string(4 * MiB, 'x'));
  calls::OpenUpstream Open = R.only<calls::OpenUpstream>();
  const GatewayCall &C = R.S.Calls.begin()->second;
  BOOST_TEST(Open.Request.Body.data() == C.Body.data());
}

/// Guards against faulty servers that send bodies without end until the host is
/// out of memory, and the requests of other callers end with it.
BOOST_AUTO_TEST_CASE(AnswersWithoutEndLeaveRoomForOthers) {
  for (std::size_t Memory : {160 * MiB, 260 * MiB}) {
    GatewayFixture R;
    withMemory(R, Memory);
    std::vector<UpstreamId> Endless;
    for (int I = 0; I < 20; ++I) {
      callWithBody(R, "x");
      Endless.push_back(R.only<calls::OpenUpstream>().Upstream);
      R.sent(Endless.back());
      R.head(Endless.back(), 200);
    }
    std::size_t Most = 0;
    for (int Piece = 0; Piece < 40 * 16; ++Piece) {
      for (UpstreamId Upstream : Endless) {
        R.event(UpstreamData{Upstream, std::string(64U << 10U, 'x')});
        Most = std::max(Most, heldBytes(R.S));
      }
    }
    BOOST_TEST(Most <= Memory / 2);
    BOOST_TEST(R.S.Calls.empty());
    callWithBody(R, "x");
    UpstreamId Sound = R.only<calls::OpenUpstream>().Upstream;
    R.sent(Sound);
    answer(R, Sound);
  }
}

/// Guards against a sound answer that is cut for the bytes of others.
BOOST_AUTO_TEST_CASE(LongestAnswerGivesWay) {
  GatewayFixture R;
  withMemory(R, 160 * MiB);
  R.S.Config.Limits.AnswerBytes = 256 * MiB;
  callWithBody(R, "x");
  UpstreamId Endless = R.only<calls::OpenUpstream>().Upstream;
  R.sent(Endless);
  R.head(Endless, 200);
  callWithBody(R, "x");
  UpstreamId Sound = R.only<calls::OpenUpstream>().Upstream;
  R.sent(Sound);
  R.head(Sound, 200);
  R.event(UpstreamData{Endless, std::string(62 * MiB, 'x')});
  R.event(UpstreamData{Sound, std::string(3 * MiB, 'x')});
  // The caller of a call that may have run is not told that it did not.
  BOOST_TEST(R.only<calls::SendReply>().Reply.Status == 504);
  R.event(UpstreamEnd{Sound, true});
  BOOST_TEST(R.only<calls::SendReply>().Reply.Body.size() == 3 * MiB);
}
