// Answers of engines, slow callers, admission and graceful stop.

#include <boost/test/unit_test.hpp>

#include "Streams.h"

using namespace pimento;
using namespace pimento::calls;

namespace {

bool isDone(const std::string &Bytes) {
  return Bytes.find("[DONE]") != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(StreamedAnswerIsForwardedCompletely) {
  Rig R;
  Running G(R, true);
  BOOST_TEST(G.token(0, "one").find("\"text\":\"one\"") != std::string::npos);
  BOOST_TEST(R.all<StartStream>().size() == 1U);
  G.token(1, "two");
  BOOST_TEST(R.none<StartStream>());
  R.data(G.Call, endLine(G.Attempt, 2));
  BOOST_TEST(isDone(R.one<StreamBytes>().Bytes));
  BOOST_TEST(R.one<EndStream>().IsComplete);
  Release Report = R.one<SendRelease>().Content;
  BOOST_TEST((Report.End == AttemptEnd::Finished));
  BOOST_TEST(Report.OutputTokens == 2U);
  BOOST_TEST(Report.CachedTokens == 1U);
  R.drained(G.Exchange);
  BOOST_TEST(idle(R.S));
  BOOST_TEST(R.S.Bytes == 0U);
}

BOOST_AUTO_TEST_CASE(BrokenStreamResumesAtItsOffset) {
  Rig R;
  Running G(R, true);
  G.token(0, "one");
  R.fail(G.Call, true);
  BOOST_TEST(R.none<EndStream>());
  BOOST_TEST(G.resume().Request.Target ==
             "/v1/attempts/" + toString(G.Attempt) + "/stream?offset=1");
  R.head(G.Call, 200);
  BOOST_TEST(G.token(0, "one").empty()); // A duplicate token.
  BOOST_TEST(!G.token(1, "two").empty());
  R.data(G.Call, endLine(G.Attempt, 2));
  BOOST_TEST(R.one<EndStream>().IsComplete);
}

BOOST_AUTO_TEST_CASE(TruncatedAnswerIsResumedInsteadOfDelivered) {
  // A missing end marker, an end marker before its tokens and a gap in the
  // tokens all lead to a resume at the offset.
  for (int Case = 0; Case < 3; ++Case) {
    Rig R;
    Running G(R, false);
    G.token(0, "one");
    if (Case == 0)
      R.end(G.Call);
    else if (Case == 1)
      R.data(G.Call, endLine(G.Attempt, 3));
    else
      G.token(2, "three");
    BOOST_TEST(R.none<SendReply>());
    BOOST_TEST(G.resume().Request.Target.find("offset=1") != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(EventsOfAnotherAttemptAreDropped) {
  Rig R;
  Running G(R, true);
  AttemptId Other = G.Attempt;
  ++Other.Request.Lo;
  R.data(G.Call, tokenLine(Other, 0, "not yours"));
  BOOST_TEST(R.none<StreamBytes>());
  R.data(G.Call, endLine(Other, 0));
  BOOST_TEST(R.none<EndStream>());
  BOOST_TEST(!G.token(0, "mine").empty());
}

BOOST_AUTO_TEST_CASE(LostAttemptIsRetriedElsewhereIfTheCallerSawNothing) {
  Rig R;
  Running G(R, false);
  G.token(0, "one");
  R.fail(G.Call, true);
  G.resume();
  R.answer(G.Call, 404, {}, "{}");
  // The attempt is cancelled, and the next one avoids the engine.
  BOOST_TEST((R.one<OpenUpstream>().Request.Method == HttpMethod::Delete));
  R.passAll(milliseconds(50));
  GrantRequest Second = R.one<SendGrantRequest>().Content;
  BOOST_TEST(Second.Attempt.Number == 2U);
  BOOST_REQUIRE(Second.Avoid.size() == 1U);
  BOOST_TEST(Second.Avoid[0].Value == "e1");
  R.grant(Second.Attempt, "e2");
  UpstreamId Call = R.one<OpenUpstream>().Upstream;
  R.head(Call, 200);
  R.data(Call,
         tokenLine(Second.Attempt, 0, "new") + endLine(Second.Attempt, 1));
  BOOST_TEST(R.one<SendReply>().Reply.Body.find("\"text\":\"new\"") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(LostAttemptEndsAStreamWithAnError) {
  Rig R;
  Running G(R, true);
  G.token(0, "one");
  R.fail(G.Call, true);
  G.resume();
  R.answer(G.Call, 404, {}, "{}");
  BOOST_TEST(!isDone(R.one<StreamBytes>().Bytes));
  BOOST_TEST(R.one<StreamBytes>().Bytes.find("\"code\":302") !=
             std::string::npos);
  BOOST_TEST(!R.one<EndStream>().IsComplete);
}

BOOST_AUTO_TEST_CASE(SlowCallerPausesItsStream) {
  Rig R;
  R.S.Limits.StreamBufferBytes = 1000;
  Running G(R, true);
  std::uint64_t Pending = 0;
  std::uint64_t Offset = 0;
  while (R.none<PauseUpstream>() && Offset < 100)
    Pending += G.token(Offset++, std::string(50, 'x')).size();
  BOOST_TEST(R.one<PauseUpstream>().Paused);
  BOOST_TEST(Pending < 1500U);
  BOOST_TEST(R.S.Bytes < 2000U);
  // The idle timeout does not apply to a paused stream.
  R.passAll(seconds(15));
  BOOST_TEST(R.none<OpenUpstream>());
  R.drained(G.Exchange, 700);
  BOOST_TEST(R.none<PauseUpstream>());
  R.drained(G.Exchange, 400);
  BOOST_TEST(!R.one<PauseUpstream>().Paused);
}

BOOST_AUTO_TEST_CASE(OverloadedHostRefusesRequestsWithinItsMemoryLimit) {
  Rig R;
  R.S.Limits.TotalBufferBytes = 100000;
  std::string Body =
      "{\"model\":\"m\",\"prompt\":\"" + std::string(20000, 'x') + "\"}";
  std::size_t Admitted = 0;
  for (int I = 0; I < 50; ++I) {
    R.post("/v1/completions", Body);
    if (R.none<SendReply>())
      ++Admitted;
    else
      BOOST_TEST(code(R.one<SendReply>()) == "202");
    BOOST_TEST(R.S.Bytes <= 100000U);
  }
  BOOST_TEST(Admitted >= 3U);
  BOOST_TEST(Admitted < 10U);
  Rig Many;
  Many.S.Limits.Requests = 2;
  Many.complete(false);
  Many.complete(false);
  Many.complete(false);
  BOOST_TEST(code(Many.one<SendReply>()) == "202");
  BOOST_TEST(headerValue(Many.one<SendReply>().Reply.Headers, "Retry-After") ==
             "1");
}

BOOST_AUTO_TEST_CASE(UnauthorizedAndInvalidRequestsAreRefused) {
  Rig R;
  R.post("/v1/completions", "{}", {}, "wrong");
  BOOST_TEST(code(R.one<SendReply>()) == "103");
  R.post("/v1/completions", "{\"model\":\"m\",\"prompt\":\"x\"}", {},
         "token-b");
  BOOST_TEST(code(R.one<SendReply>()) == "104");
  R.post("/v1/completions", "{\"model\":\"none\",\"prompt\":\"x\"}");
  BOOST_TEST(code(R.one<SendReply>()) == "106");
  R.post("/v1/completions",
         "{\"model\":\"m\",\"prompt\":\"x\",\"max_tokens\":100000}");
  BOOST_TEST(code(R.one<SendReply>()) == "112");
  R.post("/v1/other", "");
  BOOST_TEST(code(R.one<SendReply>()) == "110");
  R.Dir.Fresh = false;
  R.complete(false);
  BOOST_TEST(code(R.one<SendReply>()) == "204");
  R.Dir.RefuseNew = true;
  R.complete(false);
  BOOST_TEST(code(R.one<SendReply>()) == "205");
  BOOST_TEST(idle(R.S));
}

BOOST_AUTO_TEST_CASE(GracefulStopFinishesStreamsAndEndsTheRestAtItsLimit) {
  Rig R;
  R.S.Drain.Limit = seconds(20);
  Running G(R, true);
  Running Slow(R, true);
  R.clear();
  beginDrain(R.S, R.Now, R.Out);
  R.Dir.RefuseNew = true;
  G.token(0, "one");
  R.data(G.Call, endLine(G.Attempt, 1));
  BOOST_TEST(R.one<EndStream>().IsComplete);
  R.drained(G.Exchange);
  for (int I = 0; I < 19; ++I) {
    R.pass(seconds(1));
    Slow.token(static_cast<std::uint64_t>(I), "x");
  }
  BOOST_TEST(!idle(R.S));
  R.pass(seconds(1));
  BOOST_TEST(R.one<StreamBytes>().Bytes.find("\"code\":306") !=
             std::string::npos);
  BOOST_TEST(!R.one<EndStream>().IsComplete);
  for (const OpenUpstream &Cancel : R.all<OpenUpstream>())
    R.head(Cancel.Upstream, 200);
  R.pass(seconds(1));
  BOOST_TEST(R.all<CloseExchange>().size() == 1U);
  BOOST_TEST(idle(R.S));
}

BOOST_AUTO_TEST_CASE(ConnectionOfACallerThatReadsNothingIsClosed) {
  Rig R;
  Running G(R, false);
  R.data(G.Call, endLine(G.Attempt, 0));
  BOOST_TEST(R.all<SendReply>().size() == 1U);
  R.passAll(seconds(31));
  BOOST_TEST(R.all<CloseExchange>().size() == 1U);
  BOOST_TEST(idle(R.S));
}
