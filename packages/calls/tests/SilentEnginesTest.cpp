// Streams of engines that send nothing, at the same engine.

#include <boost/test/unit_test.hpp>

#include "Streams.h"

using namespace pimento;
using namespace pimento::calls;

// The engine keeps an attempt only as long as one of its connections is open,
// so the silent one is closed when the resumed one has bytes.
BOOST_AUTO_TEST_CASE(SilentStreamIsResumedAtItsOffset) {
  Rig R;
  Running G(R, false);
  G.token(0, "one");
  SilentStream S(R, G);
  BOOST_TEST(S.Resume.Request.Target.find("offset=1") != std::string::npos);
  R.head(G.Call, 200);
  BOOST_TEST(R.none<AbortUpstream>());
  G.token(1, "two");
  BOOST_TEST((R.one<AbortUpstream>().Upstream == S.Silent));
  R.data(G.Call, endLine(G.Attempt, 2));
  BOOST_TEST(R.one<SendReply>().Reply.Body.find("onetwo") != std::string::npos);
  S.checkNothingIsLeft();
}

BOOST_AUTO_TEST_CASE(SilentStreamGoesOnOverItsOwnConnection) {
  // While the resumed call is open, and while it is waited for.
  for (bool IsOpen : {true, false}) {
    Rig R;
    Running G(R, true);
    G.token(0, "one");
    SilentStream S(R, G);
    if (!IsOpen)
      R.fail(S.Resume.Upstream, false);
    G.Call = S.Silent;
    BOOST_TEST(!G.token(1, "two").empty());
    BOOST_TEST(R.all<AbortUpstream>().size() == (IsOpen ? 1U : 0U));
    R.passAll(seconds(1));
    BOOST_TEST(R.none<OpenUpstream>());
    R.data(S.Silent, endLine(G.Attempt, 2));
    BOOST_TEST(R.one<EndStream>().IsComplete);
    S.checkNothingIsLeft();
  }
}

// An engine that can't be connected to for a moment, as behind a path that was
// lost for some seconds, goes on with an attempt whose connection is open.
BOOST_AUTO_TEST_CASE(SilentStreamIsNotBrokenOffWhileItsConnectionIsOpen) {
  for (bool Streams : {true, false}) {
    Rig R;
    R.S.Retries.Attempts = 1;
    Running G(R, Streams);
    G.token(0, "one");
    SilentStream S(R, G);
    S.failResumes();
    BOOST_TEST(R.none<EndStream>());
    BOOST_TEST(R.none<SendReply>());
    BOOST_TEST(R.none<AbortUpstream>());
    // It is resumed again after the next silence.
    SilentStream Again(R, G);
    Again.failResumes();
    R.data(S.Silent, tokenLine(G.Attempt, 1, "two") + endLine(G.Attempt, 2));
    BOOST_TEST(R.all<EndStream>().size() == (Streams ? 1U : 0U));
    BOOST_TEST(R.all<SendReply>().size() == (Streams ? 0U : 1U));
    S.checkNothingIsLeft();
  }
}

BOOST_AUTO_TEST_CASE(SilentStreamEndsWithItsConnection) {
  Rig R;
  Running G(R, true);
  G.token(0, "one");
  SilentStream S(R, G);
  R.fail(S.Silent, true);
  BOOST_TEST(R.none<EndStream>());
  S.failResumes();
  BOOST_TEST(R.one<StreamBytes>().Bytes.find("\"code\":302") !=
             std::string::npos);
  BOOST_TEST(!R.one<EndStream>().IsComplete);
  // An engine that doesn't know the attempt has lost it.
  Rig Lost;
  Running H(Lost, true);
  H.token(0, "one");
  SilentStream T(Lost, H);
  Lost.answer(T.Resume.Upstream, 404, {}, "{}");
  BOOST_TEST(!Lost.one<EndStream>().IsComplete);
  BOOST_TEST((Lost.one<AbortUpstream>().Upstream == T.Silent));
}

BOOST_AUTO_TEST_CASE(SilentStreamEndsWithItsCallerAndAtTheTimeLimit) {
  Rig Left;
  Running G(Left, true);
  G.token(0, "one");
  SilentStream S(Left, G);
  Left.left(G.Exchange);
  BOOST_TEST(Left.all<AbortUpstream>().size() == 2U);
  Left.head(Left.one<OpenUpstream>().Upstream, 200);
  BOOST_TEST(idle(Left.S));
  BOOST_TEST(Left.S.Upstreams.empty());
  Rig Silent;
  Running H(Silent, true);
  H.token(0, "one");
  SilentStream T(Silent, H);
  Silent.passAll(seconds(60));
  BOOST_TEST(Silent.all<EndStream>().size() == 1U);
  Silent.drained(H.Exchange);
  BOOST_TEST(Silent.S.Requests.empty());
  for (const auto &[Id, Owner] : Silent.S.Upstreams)
    BOOST_TEST((Owner.Use == UpstreamUse::Cancel));
}

// The scheduler has no other engine for an attempt whose engine is silent: the
// caller gets the answer of the first engine, which goes on.
BOOST_AUTO_TEST_CASE(SilentEngineIsKeptWhileAnotherOneIsAsked) {
  Rig R;
  Running G(R, false);
  SilentStream S(R, G);
  S.failResumes();
  R.passAll(milliseconds(50));
  std::vector<SendGrantRequest> Asked = R.all<SendGrantRequest>();
  BOOST_REQUIRE(Asked.size() == 1U);
  R.clear();
  onRefusal(R.S, {Asked[0].Content.Attempt, Code::QueueFull, seconds(3), {}, 0},
            R.Dir, R.Now, R.Out);
  BOOST_TEST(R.none<SendReply>());
  R.data(S.Silent, tokenLine(G.Attempt, 0, "one") + endLine(G.Attempt, 1));
  BOOST_TEST(R.all<SendReply>().size() == 1U);
}
