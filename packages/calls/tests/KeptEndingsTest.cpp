// Ends of attempts at silent engines that are kept while another one is tried.

#include <boost/test/unit_test.hpp>

#include "Streams.h"

using namespace pimento;
using namespace pimento::calls;

// The first engine is dead: the scheduler's answer must still be used, and the
// caller must not get a failure before it.
BOOST_AUTO_TEST_CASE(GrantIsUsedAfterTheKeptEngineEnded) {
  for (int Case = 0; Case < 4; ++Case) {
    Rig R;
    Running G(R, false);
    KeptStream K(R, G);
    if (Case == 0) {
      R.fail(K.S.Silent, true);
    } else if (Case == 1) {
      R.end(K.S.Silent);
    } else if (Case == 2) { // The engine doesn't know the attempt.
      R.passAll(seconds(5));
      R.head(R.one<OpenUpstream>().Upstream, 404);
    }
    BOOST_TEST(R.none<SendReply>());
    if (Case < 3)
      K.checkCancelled({G.Attempt});
    UpstreamId Next = K.startNext();
    if (Case == 3) { // It ends after the grant.
      R.fail(K.S.Silent, true);
      K.checkCancelled({G.Attempt});
    }
    R.data(Next,
           tokenLine(K.Next.Attempt, 0, "new") + endLine(K.Next.Attempt, 1));
    BOOST_TEST(answerText(R) == "new");
    BOOST_TEST(R.none<OpenUpstream>());
    K.S.checkNothingIsLeft();
  }
}

// With the first engine gone a refusal is final, and it may have run.
BOOST_AUTO_TEST_CASE(RefusalAfterTheKeptEngineEndedIsReportedAsFailed) {
  Rig R;
  Running G(R, false);
  KeptStream K(R, G);
  R.fail(K.S.Silent, true);
  K.refuseNext();
  BOOST_TEST(outcome(R.one<SendReply>()) == "failed");
}

// Both attempts end with their request: one answer at the time limit, or at the
// limit of a graceful stop, and none to a caller that left.
BOOST_AUTO_TEST_CASE(KeptAttemptEndsWithItsRequest) {
  enum class Ending { Limit, Stop, Leaves };
  for (Ending E : {Ending::Limit, Ending::Stop, Ending::Leaves}) {
    // During the backoff, the grant request, the reservations, the answer.
    for (int Stage = 0; Stage < 4; ++Stage) {
      Rig R;
      Running G(R, false);
      SilentStream S(R, G);
      S.failResumes();
      AttemptId Second = {G.Attempt.Request, 2};
      if (Stage > 0)
        R.passAll(milliseconds(60));
      if (Stage > 1) {
        R.grant(Second, "e2", Stage == 2 ? 2 : 1);
        R.head(R.one<OpenUpstream>().Upstream, 200);
      }
      if (E == Ending::Limit) {
        Request &Late = R.S.Requests.begin()->second;
        R.S.Timers.erase({Late.Indexed, Late.Id});
        Late.Deadline = Late.Indexed = R.Now;
        R.S.Timers.insert({Late.Indexed, Late.Id});
        R.pass(milliseconds(0));
      } else if (E == Ending::Stop) {
        R.clear();
        cutAll(R.S, R.Dir, R.Now, R.Out);
      } else {
        R.left(G.Exchange);
      }
      BOOST_TEST(R.all<SendReply>().size() == (E == Ending::Leaves ? 0U : 1U));
      for (const SendReply &Reply : R.all<SendReply>())
        BOOST_TEST(outcome(Reply) == "failed");
      BOOST_TEST(R.all<SendWithdraw>().size() == (Stage == 1 ? 1U : 0U));
      BOOST_TEST(R.none<SendRelease>());
      std::vector<OpenUpstream> Cancels = R.all<OpenUpstream>();
      BOOST_TEST(Cancels.size() == (Stage < 2 ? 1U : Stage == 2 ? 3U : 2U));
      std::size_t Released = 0;
      for (const OpenUpstream &Cancel : Cancels) {
        BOOST_TEST((Cancel.Request.Method == HttpMethod::Delete));
        R.head(Cancel.Upstream, 200);
        Released += R.all<SendRelease>().size();
      }
      BOOST_TEST(Released == (Stage < 2 ? 1U : 2U));
      R.data(S.Silent, tokenLine(G.Attempt, 0, "one"));
      BOOST_TEST(R.Out.List.empty());
      S.checkNothingIsLeft();
    }
  }
}

// The members of a kept group hold memory under leases, which would end while
// another engine is asked for; afterwards they must be freed.
BOOST_AUTO_TEST_CASE(KeptGroupHoldsItsReservationsUntilItEnds) {
  Rig R;
  ExchangeId Exchange = R.complete(false);
  AttemptId First = R.one<SendGrantRequest>().Content.Attempt;
  R.grant(First, "g", 2);
  R.answer(R.one<OpenUpstream>().Upstream, 200, {}, "{}");
  UpstreamId Silent = R.one<OpenUpstream>().Upstream;
  R.sent(Silent);
  R.head(Silent, 200);
  std::size_t Requests = 0;
  while (Requests == 0) {
    R.pass(milliseconds(10));
    Requests += R.all<SendGrantRequest>().size();
    for (const OpenUpstream &Call : R.all<OpenUpstream>()) {
      if (Call.Request.Target == "/v1/reservations")
        R.answer(Call.Upstream, 200, {}, "{}");
      else
        R.fail(Call.Upstream, false);
    }
  }
  TimePoint Renewed = R.Now;
  for (int I = 0; I < 300; ++I) {
    R.pass(milliseconds(10));
    for (const OpenUpstream &Call : R.all<OpenUpstream>()) {
      BOOST_TEST(Call.Request.Address == "g1:1");
      BOOST_TEST(Call.Request.Target == "/v1/reservations");
      Renewed = R.Now;
    }
    BOOST_TEST((R.Now - Renewed < seconds(1)));
  }
  AttemptId Second = {First.Request, 2};
  R.grant(Second, "e2");
  UpstreamId Next = R.one<OpenUpstream>().Upstream;
  R.sent(Next);
  R.head(Next, 200);
  R.data(Next, tokenLine(Second, 0, "new") + endLine(Second, 1));
  BOOST_TEST(answerText(R) == "new");
  std::vector<OpenUpstream> Cancels = R.all<OpenUpstream>();
  BOOST_REQUIRE(Cancels.size() == 2U);
  R.head(Cancels[0].Upstream, 200);
  BOOST_TEST(R.none<SendRelease>());
  R.head(Cancels[1].Upstream, 200);
  BOOST_TEST((R.one<SendRelease>().Content.Attempt == First));
  R.drained(Exchange);
  BOOST_TEST(idle(R.S));
}

// A refusal of the engine that arrives late is not an answer: the next engine's
// answer would be dropped for it.
BOOST_AUTO_TEST_CASE(LateRefusalOfTheKeptEngineLeavesTheNextOneAlone) {
  // Its head arrives late, or its body after a head in time.
  for (bool HeadInTime : {false, true}) {
    Rig R;
    R.complete(false);
    AttemptId First = R.one<SendGrantRequest>().Content.Attempt;
    R.grant(First);
    UpstreamId Silent = R.one<OpenUpstream>().Upstream;
    R.sent(Silent);
    if (HeadInTime)
      R.head(Silent, 503, {{"X-Not-Run", "1"}});
    while (R.none<SendGrantRequest>()) {
      R.pass(milliseconds(10));
      std::vector<OpenUpstream> Resumes = R.all<OpenUpstream>();
      if (!Resumes.empty())
        R.fail(Resumes[0].Upstream, false);
    }
    AttemptId Second = R.one<SendGrantRequest>().Content.Attempt;
    R.grant(Second, "e2");
    UpstreamId Next = R.one<OpenUpstream>().Upstream;
    R.head(Next, 200);
    if (HeadInTime)
      R.data(Silent, "{}");
    else
      R.head(Silent, 503, {{"X-Not-Run", "1"}});
    BOOST_TEST((R.one<AbortUpstream>().Upstream == Silent));
    BOOST_TEST((R.one<OpenUpstream>().Request.Method == HttpMethod::Delete));
    R.data(Next, tokenLine(Second, 0, "new") + endLine(Second, 1));
    BOOST_TEST(answerText(R) == "new");
  }
}

// The prompt reaches the kept engine only while another one is asked for: "not
// run" would be false, and the engine would not be cancelled.
BOOST_AUTO_TEST_CASE(PromptSentToAKeptEngineCountsAsRun) {
  for (bool Sent : {false, true}) {
    Rig R;
    R.complete(false, {{"X-Request-Timeout-Ms", "60000"}});
    R.grant(R.one<SendGrantRequest>().Content.Attempt);
    UpstreamId Silent = R.one<OpenUpstream>().Upstream;
    while (R.none<SendGrantRequest>())
      R.pass(milliseconds(10)); // No call is connected, and none fails.
    if (Sent)
      R.sent(Silent);
    while (R.none<SendReply>())
      R.pass(milliseconds(10));
    BOOST_TEST(outcome(R.one<SendReply>()) == (Sent ? "failed" : "not_run"));
    std::size_t Cancels = 0;
    for (const OpenUpstream &Call : R.all<OpenUpstream>())
      Cancels += Call.Request.Method == HttpMethod::Delete ? 1 : 0;
    BOOST_TEST(Cancels == (Sent ? 1U : 0U));
    BOOST_TEST(R.all<SendRelease>().size() == (Sent ? 0U : 1U));
  }
}

// Text of a kept attempt takes memory: the host's limit would not hold.
BOOST_AUTO_TEST_CASE(TextOfAKeptAttemptCountsAsHeld) {
  Rig R;
  Running G(R, false);
  G.token(0, std::string(5000, 'x'));
  std::uint64_t Held = R.S.Bytes;
  BOOST_TEST(Held > 5000U);
  KeptStream K(R, G);
  BOOST_TEST(R.S.Bytes == Held);
  UpstreamId Next = K.startNext();
  R.data(Next, tokenLine(K.Next.Attempt, 0, "new"));
  BOOST_TEST(R.S.Bytes < 5000U);
}
