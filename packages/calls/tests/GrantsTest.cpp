// Grants, refusals, groups, time limits and cancels of generations.

#include <boost/test/unit_test.hpp>

#include "Streams.h"

using namespace pimento;
using namespace pimento::calls;

BOOST_AUTO_TEST_CASE(NotRunIsReportedOnlyWithProof) {
  // The engine proves that the attempt did not run.
  Rig Proved;
  Proved.S.Retries.Attempts = 1;
  Proved.complete(false);
  Proved.grant(Proved.one<SendGrantRequest>().Content.Attempt);
  UpstreamId Call = Proved.one<OpenUpstream>().Upstream;
  Proved.sent(Call);
  Proved.answer(Call, 503, {{"X-Not-Run", "1"}}, "{\"reason\":\"memory\"}");
  BOOST_TEST(outcome(Proved.one<SendReply>()) == "not_run");
  BOOST_TEST((Proved.one<SendRelease>().Content.End == AttemptEnd::Unused));
  // The engine refuses without that proof.
  Rig Unproved;
  Unproved.S.Retries.Attempts = 1;
  Unproved.complete(false);
  Unproved.grant(Unproved.one<SendGrantRequest>().Content.Attempt);
  Call = Unproved.one<OpenUpstream>().Upstream;
  Unproved.sent(Call);
  Unproved.answer(Call, 503, {}, "{\"reason\":\"memory\"}");
  BOOST_TEST(outcome(Unproved.one<SendReply>()) == "failed");
}

BOOST_AUTO_TEST_CASE(RefusalAfterAnAttemptThatRanIsReportedAsFailed) {
  Rig R;
  Running G(R, false);
  R.data(G.Call, "data: {\"attempt\": \"" + toString(G.Attempt) +
                     "\", \"error\": \"broken\"}\n\n");
  R.passAll(milliseconds(50));
  AttemptId Second = R.one<SendGrantRequest>().Content.Attempt;
  R.clear();
  onRefusal(R.S, {Second, Code::QueueFull, seconds(3), {}, 0}, R.Dir, R.Now,
            R.Out);
  BOOST_TEST(outcome(R.one<SendReply>()) == "failed");
}

BOOST_AUTO_TEST_CASE(RefusalIsAnsweredAtOnceWithRetryAfter) {
  Rig R;
  R.complete(false);
  AttemptId Attempt = R.one<SendGrantRequest>().Content.Attempt;
  R.clear();
  onRefusal(R.S, {Attempt, Code::QueueFull, seconds(3), {}, 0}, R.Dir, R.Now,
            R.Out);
  SendReply Reply = R.one<SendReply>();
  BOOST_TEST(code(Reply) == "201");
  BOOST_TEST(headerValue(Reply.Reply.Headers, "Retry-After") == "3");
}

BOOST_AUTO_TEST_CASE(ConnectFailuresAreRetriedWithinTheBudget) {
  Rig R;
  R.complete(false);
  R.grant(R.one<SendGrantRequest>().Content.Attempt);
  R.fail(R.one<OpenUpstream>().Upstream, false);
  BOOST_TEST((R.one<SendRelease>().Content.End == AttemptEnd::Unused));
  R.passAll(milliseconds(50));
  BOOST_TEST(R.all<SendGrantRequest>().size() == 1U);
  // Without budget, an attempt that began before the engine's first failure is
  // retried; a later one is answered at once as a connect failure.
  Rig NoBudget;
  NoBudget.S.Budgets[ServiceId("text")].Tokens = 0;
  NoBudget.complete(false);
  NoBudget.grant(NoBudget.one<SendGrantRequest>().Content.Attempt);
  NoBudget.fail(NoBudget.one<OpenUpstream>().Upstream, false);
  BOOST_TEST(NoBudget.none<SendReply>());
  NoBudget.passAll(milliseconds(50));
  NoBudget.complete(false);
  NoBudget.grant(NoBudget.one<SendGrantRequest>().Content.Attempt);
  NoBudget.fail(NoBudget.one<OpenUpstream>().Upstream, false);
  BOOST_TEST(code(NoBudget.one<SendReply>()) == "207");
}

BOOST_AUTO_TEST_CASE(FinalAnswerIsSentBeforeTheTimeLimit) {
  Rig R;
  TimePoint Limit = R.Now + milliseconds(800);
  R.complete(false, {{"X-Request-Timeout-Ms", "800"}});
  R.grant(R.one<SendGrantRequest>().Content.Attempt);
  UpstreamId Call = R.one<OpenUpstream>().Upstream;
  R.sent(Call);
  R.head(Call, 200);
  while (R.Now < Limit && R.none<SendReply>())
    R.pass(milliseconds(5));
  BOOST_TEST((R.Now < Limit));
  BOOST_TEST(code(R.one<SendReply>()) == "300");
  BOOST_TEST(outcome(R.one<SendReply>()) == "failed");
}

BOOST_AUTO_TEST_CASE(TimeLimitWithoutAGrantIsAnsweredAsNotRun) {
  Rig R;
  R.complete(false, {{"X-Request-Timeout-Ms", "800"}});
  R.passAll(milliseconds(790));
  BOOST_TEST(code(R.one<SendReply>()) == "200");
  BOOST_TEST(R.all<SendWithdraw>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(CancelsAreRepeatedUntilTheEngineConfirms) {
  Rig R;
  Running G(R, true);
  R.left(G.Exchange);
  BOOST_TEST(R.all<AbortUpstream>().size() == 1U);
  UpstreamId First = R.one<OpenUpstream>().Upstream;
  BOOST_TEST(R.none<SendRelease>());
  R.fail(First, false);
  R.passAll(milliseconds(150));
  UpstreamId Second = R.one<OpenUpstream>().Upstream;
  R.head(Second, 500);
  R.end(Second);
  BOOST_TEST(!idle(R.S));
  R.passAll(milliseconds(250));
  UpstreamId Third = R.one<OpenUpstream>().Upstream;
  R.head(Third, 404);
  BOOST_TEST((R.one<SendRelease>().Content.End == AttemptEnd::Cancelled));
  BOOST_TEST(idle(R.S));
  BOOST_TEST(R.S.Upstreams.empty());
}

BOOST_AUTO_TEST_CASE(UnconfirmedCancelsAreReportedAsFailed) {
  Rig R;
  Running G(R, true);
  R.left(G.Exchange);
  R.passAll(minutes(2));
  BOOST_TEST((R.one<SendRelease>().Content.End == AttemptEnd::Failed));
  BOOST_TEST(idle(R.S));
}

BOOST_AUTO_TEST_CASE(CleanupEndsWhenItsEngineIsGone) {
  Rig R;
  Running G(R, true);
  R.left(G.Exchange);
  R.clear();
  onBackendGone(R.S, BackendId("e1"), R.Out);
  BOOST_TEST(R.all<SendRelease>().size() == 1U);
  BOOST_TEST(idle(R.S));
}

BOOST_AUTO_TEST_CASE(AllGroupMembersAreReservedBeforeGeneration) {
  Rig R;
  R.complete(false);
  AttemptId Attempt = R.one<SendGrantRequest>().Content.Attempt;
  R.grant(Attempt, "e", 3);
  for (const char *Member : {"e1:1", "e2:1"}) {
    OpenUpstream Reserve = R.one<OpenUpstream>();
    BOOST_TEST(Reserve.Request.Target == "/v1/reservations");
    BOOST_TEST(Reserve.Request.Address == Member);
    R.answer(Reserve.Upstream, 200, {}, "{}");
  }
  OpenUpstream Generate = R.one<OpenUpstream>();
  BOOST_TEST(Generate.Request.Target == "/v1/generate");
  BOOST_TEST(Generate.Request.Address == "e:1");
  BOOST_TEST(Generate.Request.Body.text().find("[\"e1:1\",\"e2:1\"]") !=
             std::string::npos);
  R.head(Generate.Upstream, 200);
  // Reservations are renewed while the attempt runs.
  R.passAll(milliseconds(1500));
  BOOST_TEST(R.all<OpenUpstream>().size() == 4U);
  R.data(Generate.Upstream, tokenLine(Attempt, 0, "x") + endLine(Attempt, 1));
  BOOST_TEST(R.all<SendReply>().size() == 1U);
  // Members are freed before the grant is released.
  BOOST_TEST(R.none<SendRelease>());
  std::vector<OpenUpstream> Cancels = R.all<OpenUpstream>();
  BOOST_TEST(Cancels.size() == 3U);
  for (const OpenUpstream &Cancel : Cancels)
    R.head(Cancel.Upstream, 200);
  BOOST_TEST((R.one<SendRelease>().Content.End == AttemptEnd::Finished));
}

BOOST_AUTO_TEST_CASE(GroupWithARefusedReservationDoesNotRun) {
  Rig R;
  R.S.Retries.Attempts = 1;
  R.complete(false);
  R.grant(R.one<SendGrantRequest>().Content.Attempt, "e", 3);
  R.answer(R.one<OpenUpstream>().Upstream, 200, {}, "{}");
  R.answer(R.one<OpenUpstream>().Upstream, 409, {{"X-Not-Run", "1"}},
           "{\"reason\":\"memory\"}");
  BOOST_TEST(outcome(R.one<SendReply>()) == "not_run");
  BOOST_TEST(R.all<OpenUpstream>().size() == 3U); // A cancel for each engine.
}

BOOST_AUTO_TEST_CASE(ExpiredGrantIsNotUsed) {
  Rig R;
  R.complete(false);
  R.grant(R.one<SendGrantRequest>().Content.Attempt);
  OpenUpstream Generate = R.one<OpenUpstream>();
  BOOST_REQUIRE(Generate.SendBy.has_value());
  BOOST_TEST((*Generate.SendBy == R.Now + seconds(2)));
  // The executor finds SendBy in the past and sends nothing, so the request is
  // retried.
  R.Now += seconds(3);
  R.fail(Generate.Upstream, false);
  BOOST_TEST((R.one<SendRelease>().Content.End == AttemptEnd::Unused));
  R.passAll(milliseconds(50));
  BOOST_TEST(R.all<SendGrantRequest>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(LateGrantIsWithdrawn) {
  Rig R;
  ExchangeId Exchange = R.complete(false);
  AttemptId Attempt = R.one<SendGrantRequest>().Content.Attempt;
  R.left(Exchange);
  BOOST_TEST(R.all<SendWithdraw>().size() == 1U);
  R.grant(Attempt);
  BOOST_TEST(R.all<SendWithdraw>().size() == 1U);
  BOOST_TEST(R.none<OpenUpstream>());
}
