// An attempt at a silent engine goes on while another engine is tried.

#include <boost/test/unit_test.hpp>

#include "Streams.h"

using namespace pimento;
using namespace pimento::calls;

// Both engines answer: the caller would get tokens of two answers, or the text
// of the first one before that of the second.
BOOST_AUTO_TEST_CASE(FirstTokenOfTheNextEngineEndsTheKeptAttempt) {
  for (bool Streams : {true, false}) {
    Rig R;
    Running G(R, Streams);
    if (!Streams)
      G.token(0, "one"); // Not sent to the caller yet.
    KeptStream K(R, G);
    UpstreamId Next = K.startNext();
    BOOST_TEST(R.none<AbortUpstream>());
    R.data(Next, tokenLine(K.Next.Attempt, 0, "new"));
    BOOST_TEST((R.one<AbortUpstream>().Upstream == K.S.Silent));
    K.checkCancelled({G.Attempt});
    R.data(K.S.Silent, tokenLine(G.Attempt, 1, "two") + endLine(G.Attempt, 2));
    BOOST_TEST(R.Out.List.empty());
    R.data(Next, endLine(K.Next.Attempt, 1));
    if (Streams)
      BOOST_TEST(R.one<EndStream>().IsComplete);
    else
      BOOST_TEST(answerText(R) == "new");
    BOOST_TEST((R.one<SendRelease>().Content.Attempt == K.Next.Attempt));
    K.S.checkNothingIsLeft();
  }
}

// An answer without tokens is an answer as well: the kept attempt would be left
// at its engine.
BOOST_AUTO_TEST_CASE(EmptyAnswerOfTheNextEngineEndsTheKeptAttempt) {
  Rig R;
  Running G(R, true);
  KeptStream K(R, G);
  R.data(K.startNext(), endLine(K.Next.Attempt, 0));
  BOOST_TEST(R.all<EndStream>().size() == 1U);
  K.checkCancelled({G.Attempt});
  K.S.checkNothingIsLeft();
}

// The engine goes on before the scheduler has answered: the grant request would
// keep its place in the queue, and a grant that comes later would be held.
BOOST_AUTO_TEST_CASE(KeptEngineThatGoesOnWithdrawsTheGrantRequest) {
  for (bool Streams : {true, false}) {
    Rig R;
    Running G(R, Streams);
    KeptStream K(R, G);
    K.goOn();
    BOOST_TEST((R.one<SendWithdraw>().Attempt == K.Next.Attempt));
    BOOST_TEST(R.all<EndStream>().size() == (Streams ? 1U : 0U));
    BOOST_TEST(R.all<SendReply>().size() == (Streams ? 0U : 1U));
    BOOST_TEST((R.one<SendRelease>().Content.End == AttemptEnd::Finished));
    R.grant(K.Next.Attempt, "e2");
    BOOST_TEST((R.one<SendWithdraw>().Attempt == K.Next.Attempt));
    BOOST_TEST(R.none<OpenUpstream>());
    K.S.checkNothingIsLeft();
  }
}

// The same before another engine was asked for: there is nothing to withdraw,
// and no engine may be asked for afterwards.
BOOST_AUTO_TEST_CASE(KeptEngineThatGoesOnDuringTheBackoffEndsTheRetry) {
  Rig R;
  Running G(R, true);
  SilentStream S(R, G);
  S.failResumes();
  R.data(S.Silent, tokenLine(G.Attempt, 0, "one"));
  BOOST_TEST(R.none<SendWithdraw>());
  R.passAll(seconds(1));
  BOOST_TEST(R.none<SendGrantRequest>());
  R.data(S.Silent, endLine(G.Attempt, 1));
  BOOST_TEST(R.one<EndStream>().IsComplete);
  S.checkNothingIsLeft();
}

// The next engine has begun, without a token: its work would go on unread, or
// its grant be released while it still runs.
BOOST_AUTO_TEST_CASE(KeptEngineThatGoesOnBeforeTheNextOnesFirstTokenWins) {
  for (bool Resuming : {false, true}) {
    Rig R;
    Running G(R, false);
    KeptStream K(R, G);
    UpstreamId Next = K.startNext();
    if (Resuming)
      R.fail(Next, true);
    K.goOn();
    BOOST_TEST(answerText(R) == "one");
    std::vector<AbortUpstream> Aborted = R.all<AbortUpstream>();
    BOOST_REQUIRE(Aborted.size() == (Resuming ? 1U : 2U));
    if (!Resuming)
      BOOST_TEST((Aborted[0].Upstream == Next));
    BOOST_TEST((Aborted.back().Upstream == K.S.Silent)); // It has ended.
    K.checkCancelled({K.Next.Attempt});
    R.data(Next,
           tokenLine(K.Next.Attempt, 0, "new") + endLine(K.Next.Attempt, 1));
    BOOST_TEST(R.Out.List.empty());
    K.S.checkNothingIsLeft();
  }
}

// The next attempt has reserved memory at a member of its group: the member
// would keep it.
BOOST_AUTO_TEST_CASE(KeptEngineThatGoesOnFreesReservedMembers) {
  Rig R;
  Running G(R, false);
  KeptStream K(R, G);
  R.grant(K.Next.Attempt, "g", 3);
  R.answer(R.one<OpenUpstream>().Upstream, 200, {}, "{}");
  K.goOn();
  BOOST_TEST(answerText(R) == "one");
  std::vector<OpenUpstream> Cancels = R.all<OpenUpstream>();
  BOOST_REQUIRE(Cancels.size() == 3U);
  for (const OpenUpstream &Cancel : Cancels) {
    BOOST_TEST((Cancel.Request.Method == HttpMethod::Delete));
    R.head(Cancel.Upstream, 200);
  }
  BOOST_TEST((R.one<SendRelease>().Content.Attempt == K.Next.Attempt));
  K.S.checkNothingIsLeft();
}

// A comment shows that the engine goes on, but a token of the other answer may
// be on its way: it must not reach the caller.
BOOST_AUTO_TEST_CASE(TokensOfTheLosingEngineAreDropped) {
  Rig R;
  Running G(R, true);
  KeptStream K(R, G);
  UpstreamId Next = K.startNext();
  R.data(K.S.Silent, ": prefill\n\n");
  K.checkCancelled({K.Next.Attempt});
  R.data(Next, tokenLine(K.Next.Attempt, 0, "new"));
  BOOST_TEST(R.none<StreamBytes>());
  K.goOn();
  BOOST_TEST(R.one<EndStream>().IsComplete);
  K.S.checkNothingIsLeft();
}

// The scheduler refuses, or the next engine does: a failure would be answered
// although the first engine goes on. Each further engine costs a retry.
BOOST_AUTO_TEST_CASE(KeptEngineIsResumedAfterARefusalWithinTheBudget) {
  for (bool ByScheduler : {true, false}) {
    Rig R;
    RetryBudget &Budget = R.S.Budgets[ServiceId("text")];
    Running G(R, false);
    KeptStream K(R, G);
    // The engine had just begun to fail, so the first retry was free.
    BOOST_TEST(Budget.Retries == 0U);
    if (ByScheduler) {
      K.refuseNext();
    } else {
      R.S.Retries.Attempts = 2;
      R.answer(K.startNext(), 503, {{"X-Not-Run", "1"}}, "{}");
      R.S.Retries.Attempts = 3;
    }
    BOOST_TEST(R.none<SendReply>());
    KeptStream Again(R, G);
    BOOST_TEST(Budget.Retries == 1U);
    BOOST_TEST(Again.Next.Attempt.Number == 3U);
    BOOST_TEST(Again.Next.Avoid.size() == (ByScheduler ? 1U : 2U));
    Again.refuseNext();
    // No attempt is left: it goes on with the first engine only.
    SilentStream Last(R, G);
    Last.failResumes();
    R.passAll(seconds(1));
    BOOST_TEST(R.none<SendGrantRequest>());
    K.goOn();
    BOOST_TEST(answerText(R) == "one");
    BOOST_TEST(Budget.Retries == 1U);
  }
}

// A next engine that fails is replaced by a third one, as without a kept
// attempt, which still may answer.
BOOST_AUTO_TEST_CASE(FailureOfTheNextEngineKeepsTheFirstOne) {
  Rig R;
  Running G(R, false);
  KeptStream K(R, G);
  AttemptId Second = K.Next.Attempt;
  R.data(K.startNext(), "data: {\"attempt\": \"" + toString(Second) +
                            "\", \"error\": \"broken\"}\n\n" +
                            tokenLine(Second, 0, "new"));
  BOOST_TEST(R.none<SendReply>());
  K.checkCancelled({Second});
  K.askNext();
  BOOST_TEST(K.Next.Attempt.Number == 3U);
  K.goOn();
  BOOST_TEST(answerText(R) == "one");
  K.S.checkNothingIsLeft();
}

// The bytes after the failure in one read are not the kept attempt's.
BOOST_AUTO_TEST_CASE(FailureOfTheLastAttemptResumesTheKeptOne) {
  Rig R;
  R.S.Retries.Attempts = 2;
  Running G(R, false);
  KeptStream K(R, G);
  AttemptId Second = K.Next.Attempt;
  R.data(K.startNext(), "data: {\"attempt\": \"" + toString(Second) +
                            "\", \"error\": \"broken\"}\n\n" +
                            tokenLine(Second, 0, "new"));
  BOOST_TEST(R.none<SendReply>());
  BOOST_TEST(R.none<NoteProgress>());
  K.goOn();
  BOOST_TEST(answerText(R) == "one");
}

// A second silent engine would take the place of the first one, or be given up.
BOOST_AUTO_TEST_CASE(EachSilentEngineIsKept) {
  for (int Winner = 1; Winner <= 3; ++Winner) {
    Rig R;
    Running G(R, false);
    KeptStream K(R, G);
    AttemptId First = G.Attempt;
    AttemptId Second = K.Next.Attempt;
    UpstreamId SecondCall = K.startNext();
    for (std::uint32_t I = 0; I <= R.S.Times.MaxResumes; ++I) {
      R.passAll(milliseconds(I == 0 ? 5060 : 500));
      // Resumes of either engine.
      for (const OpenUpstream &Call : R.all<OpenUpstream>()) {
        BOOST_TEST((Call.Request.Method == HttpMethod::Get));
        R.fail(Call.Upstream, false);
      }
    }
    AttemptId Third = {First.Request, 3};
    K.Next.Attempt = Third;
    UpstreamId ThirdCall = K.startNext("e3");
    UpstreamId Call = Winner == 1   ? K.S.Silent
                      : Winner == 2 ? SecondCall
                                    : ThirdCall;
    AttemptId Id = Winner == 1 ? First : Winner == 2 ? Second : Third;
    R.data(Call, tokenLine(Id, 0, std::to_string(Winner)) + endLine(Id, 1));
    BOOST_TEST(answerText(R) == std::to_string(Winner));
    std::vector<OpenUpstream> Cancels = R.all<OpenUpstream>();
    BOOST_TEST(Cancels.size() == 2U);
    for (const OpenUpstream &Cancel : Cancels) {
      R.head(Cancel.Upstream, 200);
      BOOST_TEST((R.one<SendRelease>().Content.Attempt != Id));
    }
    K.S.checkNothingIsLeft();
  }
}

// A scheduler that doesn't answer, as without a majority: the request would
// wait for it although its engine goes on, or ask it again and again.
BOOST_AUTO_TEST_CASE(KeptEngineAnswersWhileTheSchedulerIsSilent) {
  Rig R;
  Running G(R, false);
  KeptStream K(R, G);
  R.passAll(seconds(20));
  BOOST_TEST(R.none<SendReply>());
  BOOST_TEST(R.none<SendGrantRequest>());
  K.goOn();
  BOOST_TEST(answerText(R) == "one");
  BOOST_TEST(R.all<SendWithdraw>().size() == 1U);
  K.S.checkNothingIsLeft();
}

// The silent connection itself may be lost without a sign of it, while the
// engine can be reached again.
BOOST_AUTO_TEST_CASE(KeptAttemptIsResumedOverAnotherConnection) {
  for (bool Granted : {false, true}) {
    Rig R;
    Running G(R, false);
    G.token(0, "one");
    KeptStream K(R, G);
    UpstreamId Next{};
    if (Granted)
      Next = K.startNext();
    R.passAll(milliseconds(4995));
    OpenUpstream Failing = R.one<OpenUpstream>();
    R.fail(Failing.Upstream, false);
    if (Granted)
      R.data(Next, ": prefill\n\n");
    R.passAll(milliseconds(4995));
    OpenUpstream Resume = R.one<OpenUpstream>();
    BOOST_TEST(Resume.Request.Target ==
               "/v1/attempts/" + toString(G.Attempt) + "/stream?offset=1");
    R.sent(Resume.Upstream);
    R.head(Resume.Upstream, 200);
    BOOST_TEST(R.Out.List.empty()); // An engine may still be silent then.
    R.data(Resume.Upstream,
           tokenLine(G.Attempt, 1, "two") + endLine(G.Attempt, 2));
    BOOST_TEST(answerText(R) == "onetwo");
    BOOST_TEST((R.all<AbortUpstream>()[0].Upstream == K.S.Silent));
    if (Granted)
      K.checkCancelled({K.Next.Attempt});
    K.S.checkNothingIsLeft();
  }
}

// A resume that is open goes on after the silent connection broke.
BOOST_AUTO_TEST_CASE(KeptAttemptGoesOnWhileOneOfItsConnectionsIsOpen) {
  Rig R;
  Running G(R, false);
  KeptStream K(R, G);
  R.passAll(seconds(5));
  OpenUpstream Resume = R.one<OpenUpstream>();
  R.fail(K.S.Silent, true);
  BOOST_TEST(R.Out.List.empty());
  R.head(Resume.Upstream, 200);
  R.data(Resume.Upstream,
         tokenLine(G.Attempt, 0, "one") + endLine(G.Attempt, 1));
  BOOST_TEST(answerText(R) == "one");
  K.S.checkNothingIsLeft();
}

// A repeated grant of the kept attempt would be returned although it is in use.
BOOST_AUTO_TEST_CASE(RepeatedGrantOfAKeptAttemptIsNotReturned) {
  Rig R;
  Running G(R, false);
  KeptStream K(R, G);
  R.grant(G.Attempt);
  BOOST_TEST(R.Out.List.empty());
}
