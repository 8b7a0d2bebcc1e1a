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
