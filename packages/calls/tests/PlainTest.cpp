#include <boost/test/unit_test.hpp>

#include "Rig.h"

using namespace pimento;
using namespace pimento::calls;

namespace {

std::vector<HttpHeader> echo(const ClaimRequest &Claim) {
  return {{"X-Request-Id", toString(Claim.Request)},
          {"Content-Type", "application/json"}};
}

/// A sign-off with a send permit and an open upstream call.
struct SignOff {
  ExchangeId Exchange{};
  ClaimRequest Claim;
  OpenUpstream Call;

  SignOff(Rig &R, const std::string &Key) {
    Exchange = R.signOff(Key);
    Claim = R.one<SendClaim>().Content;
    R.claimReply(Claim, ClaimState::Granted);
    Call = R.one<OpenUpstream>();
  }
};

/// A look-up whose first server is silent, so that a second one was called.
struct LateLookUp {
  Rig &R;
  ExchangeId Exchange{};
  OpenUpstream First;
  OpenUpstream Second;
  std::vector<HttpHeader> Echo;

  explicit LateLookUp(Rig &Host) : R(Host) {
    Exchange = R.lookUp();
    First = R.one<OpenUpstream>();
    R.sent(First.Upstream);
    R.passAll(milliseconds(2100));
    Second = R.one<OpenUpstream>();
    BOOST_TEST(R.none<AbortUpstream>());
    Echo = {{"X-Request-Id",
             std::string(headerValue(First.Request.Headers, "X-Request-Id"))}};
  }
  void checkNothingIsLeft() {
    R.drained(Exchange);
    BOOST_TEST(idle(R.S));
    BOOST_TEST(R.S.Upstreams.empty());
    BOOST_TEST(R.S.Bytes == 0U);
    for (const auto &[Id, Health] : R.S.Health.Servers)
      BOOST_TEST(Health.InFlight == 0U);
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(HealthIsFoundInAnyOrder) {
  HealthState State;
  for (const char *Id : {"b", "d", "f"})
    State.Servers[BackendId(Id)].InFlight = 1;
  HealthSearch InOrder(State);
  HealthSearch Mixed(State);
  for (const char *Id : {"a", "b", "c", "d", "e", "f", "g"})
    BOOST_TEST((InOrder.find(BackendId(Id)) != nullptr) ==
               (State.Servers.count(BackendId(Id)) > 0));
  for (const char *Id : {"f", "b", "g", "d", "d", "a", "b"})
    BOOST_TEST((Mixed.find(BackendId(Id)) != nullptr) ==
               (State.Servers.count(BackendId(Id)) > 0));
  BOOST_TEST(Mixed.find(BackendId("d")) == &State.Servers.at(BackendId("d")));
}

BOOST_AUTO_TEST_CASE(SignOffIsClaimedSentOnceAndRecorded) {
  Rig R;
  SignOff S(R, "k1");
  BOOST_TEST(!S.Call.Request.MayReuse);
  BOOST_TEST(S.Call.SendBy.has_value());
  BOOST_TEST(headerValue(S.Call.Request.Headers, "Idempotency-Key") == "k1");
  R.sent(S.Call.Upstream);
  R.answer(S.Call.Upstream, 201, echo(S.Claim), "{\"done\":1}");
  BOOST_TEST(R.one<SendReply>().Reply.Status == 201);
  ClaimResult Result = R.one<SendClaimResult>().Content;
  BOOST_TEST((Result.End == ClaimOutcome::Answered));
  BOOST_TEST(Result.Body.Data == "{\"done\":1}");
  // The result is repeated until it is acknowledged.
  R.passAll(milliseconds(600));
  BOOST_TEST(R.all<SendClaimResult>().size() == 1U);
  onClaimResultAck(R.S, {S.Claim.Request});
  R.drained(S.Exchange);
  BOOST_TEST(idle(R.S));
  BOOST_TEST(R.S.Turns.empty());
}

BOOST_AUTO_TEST_CASE(NonRepeatableCallRequiresAKey) {
  Rig R;
  R.post("/v1/services/ledger/calls/sign-offs", "{}");
  BOOST_TEST(code(R.one<SendReply>()) == "107");
  R.post("/v1/services/ledger/calls/unlisted", "{}");
  BOOST_TEST(code(R.one<SendReply>()) == "110");
  R.post("/v1/services/none/calls/a", "{}");
  BOOST_TEST(code(R.one<SendReply>()) == "105");
}

BOOST_AUTO_TEST_CASE(ExpiredSendPermitIsNotUsed) {
  Rig R;
  R.signOff("k1");
  ClaimRequest Claim = R.one<SendClaim>().Content;
  // The process was frozen for longer than the lease.
  R.Now += seconds(3);
  R.claimReply(Claim, ClaimState::Granted);
  BOOST_TEST(R.none<OpenUpstream>());
  R.pass(milliseconds(1));
  ClaimRequest Again = R.one<SendClaim>().Content;
  BOOST_TEST(Again.Sequence == Claim.Sequence + 1);
  R.claimReply(Again, ClaimState::Granted);
  BOOST_TEST((*R.one<OpenUpstream>().SendBy == R.Now + seconds(2)));
}

BOOST_AUTO_TEST_CASE(ClaimedCallIsNotResentOnceAByteWasSent) {
  Rig R;
  SignOff S(R, "k1");
  R.sent(S.Call.Upstream);
  R.fail(S.Call.Upstream, true);
  BOOST_TEST(R.none<OpenUpstream>());
  BOOST_TEST(outcome(R.one<SendReply>()) == "unknown");
  BOOST_TEST((R.one<SendClaimResult>().Content.End == ClaimOutcome::Unknown));
  // The same holds if the failure reports that no byte was sent.
  Rig Contradictory;
  SignOff T(Contradictory, "k1");
  Contradictory.sent(T.Call.Upstream);
  Contradictory.fail(T.Call.Upstream, false);
  BOOST_TEST(outcome(Contradictory.one<SendReply>()) == "unknown");
}

BOOST_AUTO_TEST_CASE(FailedConnectIsRetriedAtAnotherServerWithinTheLease) {
  Rig R;
  SignOff S(R, "k1");
  R.fail(S.Call.Upstream, false);
  OpenUpstream Second = R.one<OpenUpstream>();
  BOOST_TEST(Second.Request.Address != S.Call.Request.Address);
  BOOST_TEST((*Second.SendBy == *S.Call.SendBy));
  R.fail(Second.Upstream, false);
  BOOST_TEST(code(R.one<SendReply>()) == "207");
  BOOST_TEST((R.one<SendClaimResult>().Content.End == ClaimOutcome::NotRun));
}

BOOST_AUTO_TEST_CASE(ConnectFailureAfterTheLeaseRequestsANewPermit) {
  Rig R;
  SignOff S(R, "k1");
  R.Now += milliseconds(2100);
  R.fail(S.Call.Upstream, false);
  BOOST_TEST(R.none<OpenUpstream>());
  BOOST_TEST(!R.one<SendClaim>().Content.Sent);
}

BOOST_AUTO_TEST_CASE(OnlyAProtocolRefusalProvesThatASentCallDidNotRun) {
  Rig R;
  SignOff S(R, "k1");
  R.sent(S.Call.Upstream);
  R.answer(S.Call.Upstream, 503, {{"X-Not-Run", "1"}}, "");
  BOOST_TEST(outcome(R.one<SendReply>()) == "not_run");
  BOOST_TEST((R.one<SendClaimResult>().Content.End == ClaimOutcome::NotRun));
  // Any other answer of the server is final and is recorded.
  Rig Other;
  SignOff T(Other, "k1");
  Other.sent(T.Call.Upstream);
  Other.answer(T.Call.Upstream, 503, echo(T.Claim), "busy");
  BOOST_TEST(Other.one<SendReply>().Reply.Status == 503);
  BOOST_TEST(
      (Other.one<SendClaimResult>().Content.End == ClaimOutcome::Answered));
}

BOOST_AUTO_TEST_CASE(TruncatedAndForeignAnswersAreUnknown) {
  Rig Truncated;
  SignOff S(Truncated, "k1");
  std::vector<HttpHeader> Headers = echo(S.Claim);
  Headers.push_back({"Content-Length", "100"});
  Truncated.answer(S.Call.Upstream, 200, Headers, "short");
  BOOST_TEST(outcome(Truncated.one<SendReply>()) == "unknown");
  Rig Foreign;
  SignOff T(Foreign, "k1");
  ClaimRequest Other = T.Claim;
  ++Other.Request.Lo;
  Foreign.head(T.Call.Upstream, 200, echo(Other));
  BOOST_TEST(outcome(Foreign.one<SendReply>()) == "unknown");
}

BOOST_AUTO_TEST_CASE(RecordedAnswersAreReturned) {
  Rig R;
  R.signOff("k1");
  ClaimReply Reply;
  Reply.Request = R.one<SendClaim>().Content.Request;
  Reply.State = ClaimState::Recorded;
  Reply.Status = 201;
  Reply.Body.Data = "first";
  R.clear();
  onClaimReply(R.S, Reply, R.Dir, R.Now, R.Out);
  BOOST_TEST(R.one<SendReply>().Reply.Status == 201);
  BOOST_TEST(R.one<SendReply>().Reply.Body == "first");
  BOOST_TEST(R.none<OpenUpstream>());
  // A recorded answer that was truncated is not returned as complete.
  R.signOff("k2");
  Reply.Request = R.one<SendClaim>().Content.Request;
  Reply.Truncated = true;
  R.clear();
  onClaimReply(R.S, Reply, R.Dir, R.Now, R.Out);
  BOOST_TEST(outcome(R.one<SendReply>()) == "unknown");
}

BOOST_AUTO_TEST_CASE(PartitionRepliesMapToTheirOutcomes) {
  struct Case {
    ClaimState State;
    const char *Outcome;
    int Status;
  };
  for (const Case &C : {Case{ClaimState::Unknown, "unknown", 504},
                        Case{ClaimState::OtherBody, "not_run", 422},
                        Case{ClaimState::Expired, "unknown", 410}}) {
    Rig R;
    R.signOff("k1");
    R.claimReply(R.one<SendClaim>().Content, C.State);
    BOOST_TEST(R.one<SendReply>().Reply.Status == C.Status);
    BOOST_TEST(outcome(R.one<SendReply>()) == C.Outcome);
    BOOST_TEST(R.S.Turns.empty());
  }
}

BOOST_AUTO_TEST_CASE(NotRunRequiresAnOwnClaim) {
  // The request's own claim is durable, and nothing was sent.
  Rig Owner;
  Owner.signOff("k1");
  Owner.claimReply(Owner.one<SendClaim>().Content, ClaimState::Waiting);
  Owner.passAll(seconds(61));
  BOOST_TEST(outcome(Owner.one<SendReply>()) == "not_run");
  // Another request with the same key may be running.
  Rig Joined;
  Joined.signOff("k1");
  Joined.claimReply(Joined.one<SendClaim>().Content, ClaimState::Waiting, true);
  Joined.passAll(seconds(61));
  BOOST_TEST(outcome(Joined.one<SendReply>()) == "unknown");
  // The partition did not reply, so another request may have run.
  Rig Silent;
  Silent.signOff("k1");
  Silent.passAll(seconds(61));
  BOOST_TEST(outcome(Silent.one<SendReply>()) == "unknown");
}

BOOST_AUTO_TEST_CASE(WithoutControlHostsSignOffsAreAnsweredAtOnce) {
  Rig R;
  R.Dir.ClaimsReachable = false;
  R.signOff("k1");
  BOOST_TEST(outcome(R.one<SendReply>()) == "not_run");
  BOOST_TEST(R.none<SendClaim>()); // No claim is left to clean up.
  BOOST_TEST(headerValue(R.one<SendReply>().Reply.Headers, "Retry-After") ==
             "1");
  R.lookUp();
  BOOST_TEST(R.all<OpenUpstream>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(CallsOfOneAccountAreClaimedInOrderOfArrival) {
  Rig R;
  R.signOff("k1");
  ClaimRequest First = R.one<SendClaim>().Content;
  R.signOff("k2");
  BOOST_TEST(R.none<SendClaim>()); // The first claim is not durable yet.
  R.signOff("k3", "token-b");
  // The claim of another account doesn't wait for it.
  BOOST_TEST(R.all<SendClaim>().size() == 1U);
  R.claimReply(First, ClaimState::Waiting);
  BOOST_TEST(R.one<SendClaim>().Content.Key.Key == "k2");
}

BOOST_AUTO_TEST_CASE(ClaimedCallContinuesAfterItsCallerLeaves) {
  Rig R;
  SignOff S(R, "k1");
  R.sent(S.Call.Upstream);
  R.left(S.Exchange);
  BOOST_TEST(R.none<AbortUpstream>());
  R.answer(S.Call.Upstream, 200, echo(S.Claim), "late");
  BOOST_TEST(R.none<SendReply>());
  BOOST_TEST(R.one<SendClaimResult>().Content.Body.Data == "late");
  onClaimResultAck(R.S, {S.Claim.Request});
  BOOST_TEST(idle(R.S));
}

BOOST_AUTO_TEST_CASE(LateAnswerIsRecordedAfterUnknownWasReported) {
  Rig R;
  SignOff S(R, "k1");
  R.sent(S.Call.Upstream);
  R.passAll(milliseconds(59960));
  BOOST_TEST(outcome(R.one<SendReply>()) == "unknown");
  BOOST_TEST(R.none<SendClaimResult>());
  R.passAll(seconds(2));
  R.answer(S.Call.Upstream, 200, echo(S.Claim), "late");
  BOOST_TEST((R.one<SendClaimResult>().Content.End == ClaimOutcome::Answered));
  BOOST_TEST(R.none<SendReply>());
  // Without an answer the claim ends as unknown.
  Rig NoAnswer;
  SignOff T(NoAnswer, "k1");
  NoAnswer.sent(T.Call.Upstream);
  NoAnswer.passAll(seconds(75));
  BOOST_TEST((NoAnswer.all<SendClaimResult>().front().Content.End ==
              ClaimOutcome::Unknown));
}

BOOST_AUTO_TEST_CASE(PermitOfAnUnknownRequestEndsTheClaimAsUnknown) {
  Rig R;
  ClaimRequest Forgotten;
  Forgotten.Request = {R.S.IdHigh, 999};
  R.claimReply(Forgotten, ClaimState::Granted);
  BOOST_TEST((R.one<SendClaimResult>().Content.End == ClaimOutcome::Unknown));
  BOOST_TEST(R.none<OpenUpstream>());
}

BOOST_AUTO_TEST_CASE(LookUpsAreRetriedAndReuseConnectionsOnlyWithEchoedIds) {
  Rig R;
  ExchangeId Exchange = R.lookUp();
  OpenUpstream First = R.one<OpenUpstream>();
  BOOST_TEST(!First.Request.MayReuse); // The server may not echo request ids.
  R.fail(First.Upstream, true);
  R.passAll(milliseconds(50));
  OpenUpstream Second = R.one<OpenUpstream>();
  BOOST_TEST(Second.Request.Address != First.Request.Address);
  std::string Id =
      std::string(headerValue(Second.Request.Headers, "X-Request-Id"));
  R.answer(Second.Upstream, 200, {{"X-Request-Id", Id}}, "found");
  BOOST_TEST(R.one<SendReply>().Reply.Body == "found");
  R.drained(Exchange);
  // Connections to servers that echo request ids may be reused.
  R.S.Health.Servers.at(BackendId("l1")).EchoesIds = true;
  R.S.Health.Servers.at(BackendId("l2")).EchoesIds = true;
  R.lookUp();
  BOOST_TEST(R.one<OpenUpstream>().Request.MayReuse);
  // On a reused connection an answer without an id is rejected.
  R.head(R.one<OpenUpstream>().Upstream, 200, {});
  BOOST_TEST(R.none<SendReply>());
}

// A server that is silent may answer in a moment. If its call were ended before
// the other server answered, the caller could get neither answer.
BOOST_AUTO_TEST_CASE(SilentServerOfALookUpIsKeptUntilAnotherOneAnswers) {
  Rig R;
  LateLookUp L(R);
  BOOST_TEST(L.Second.Request.Address != L.First.Request.Address);
  R.answer(L.Second.Upstream, 200, L.Echo, "second");
  BOOST_TEST(R.one<SendReply>().Reply.Body == "second");
  BOOST_TEST((R.one<AbortUpstream>().Upstream == L.First.Upstream));
  L.checkNothingIsLeft();
}

BOOST_AUTO_TEST_CASE(SilentServerOfALookUpAnswersBeforeTheOther) {
  Rig R;
  LateLookUp L(R);
  R.sent(L.Second.Upstream);
  R.answer(L.First.Upstream, 200, L.Echo, "first");
  BOOST_TEST(R.one<SendReply>().Reply.Body == "first");
  BOOST_TEST((R.one<AbortUpstream>().Upstream == L.Second.Upstream));
  L.checkNothingIsLeft();
}

BOOST_AUTO_TEST_CASE(SilentServerOfALookUpAnswersBeforeTheNextAttempt) {
  Rig R;
  LateLookUp L(R);
  R.fail(L.Second.Upstream, true);
  BOOST_TEST(R.none<SendReply>());
  R.answer(L.First.Upstream, 200, L.Echo, "first");
  BOOST_TEST(R.one<SendReply>().Reply.Body == "first");
  L.checkNothingIsLeft();
}

// The other server fails in one of five ways and no retry is left: the caller
// gets the answer of the server that was silent.
BOOST_AUTO_TEST_CASE(FailedSecondServerDoesNotEndALateLookUp) {
  for (int Case = 0; Case < 5; ++Case) {
    Rig R;
    R.S.Retries.Attempts = 2;
    LateLookUp L(R);
    if (Case == 0)
      R.fail(L.Second.Upstream, false);
    else if (Case == 1)
      R.fail(L.Second.Upstream, true);
    else if (Case == 2)
      R.answer(L.Second.Upstream, 503, {{"X-Not-Run", "1"}}, "");
    else if (Case == 3)
      R.answer(L.Second.Upstream, 500, L.Echo, "broken");
    else
      R.head(L.Second.Upstream, 200, {{"X-Request-Id", "another"}});
    BOOST_TEST(R.none<SendReply>());
    R.passAll(seconds(5));
    BOOST_TEST(R.none<OpenUpstream>()); // Two attempts are the limit.
    R.answer(L.First.Upstream, 200, L.Echo, "first");
    BOOST_TEST(R.one<SendReply>().Reply.Body == "first");
    L.checkNothingIsLeft();
  }
}

// All servers leave the directory before the next attempt.
BOOST_AUTO_TEST_CASE(LateLookUpContinuesIfNoOtherServerIsLeft) {
  Rig R;
  R.lookUp();
  OpenUpstream First = R.one<OpenUpstream>();
  R.sent(First.Upstream);
  R.passAll(milliseconds(2000));
  R.Dir.Servers[ServiceId("ledger")].clear();
  R.passAll(seconds(3));
  BOOST_TEST(R.none<SendReply>());
  std::string Id(headerValue(First.Request.Headers, "X-Request-Id"));
  R.answer(First.Upstream, 200, {{"X-Request-Id", Id}}, "first");
  BOOST_TEST(R.one<SendReply>().Reply.Body == "first");
}

BOOST_AUTO_TEST_CASE(UnusableLateAnswerDoesNotEndTheLookUp) {
  for (int Case = 0; Case < 4; ++Case) {
    Rig R;
    LateLookUp L(R);
    if (Case == 0)
      R.fail(L.First.Upstream, true);
    else if (Case == 1)
      R.answer(L.First.Upstream, 500, L.Echo, "broken");
    else if (Case == 2)
      R.head(L.First.Upstream, 200, {{"X-Request-Id", "another"}});
    else
      R.answer(L.First.Upstream, 200, {L.Echo[0], {"Content-Length", "100"}},
               "short");
    BOOST_TEST(R.none<SendReply>());
    R.answer(L.Second.Upstream, 200, L.Echo, "second");
    BOOST_TEST(R.one<SendReply>().Reply.Body == "second");
    L.checkNothingIsLeft();
  }
}

BOOST_AUTO_TEST_CASE(LateLookUpEndsWithItsCallerAndAtTheTimeLimit) {
  Rig Left;
  LateLookUp L(Left);
  Left.left(L.Exchange);
  BOOST_TEST(Left.all<AbortUpstream>().size() == 2U);
  L.checkNothingIsLeft();
  Rig Silent;
  LateLookUp T(Silent);
  Silent.sent(T.Second.Upstream);
  Silent.passAll(seconds(60));
  BOOST_TEST(code(Silent.one<SendReply>()) == "300");
  BOOST_TEST(Silent.all<AbortUpstream>().size() == 2U);
  T.checkNothingIsLeft();
}

BOOST_AUTO_TEST_CASE(AtMostHalfOfTheServersAreEjected) {
  HealthState Health;
  Random Rng(3);
  TimePoint Now(hours(1));
  std::vector<PlainServer> Servers(4);
  for (std::size_t I = 0; I < Servers.size(); ++I)
    Servers[I].Backend = BackendId("s" + std::to_string(I));
  for (int Round = 0; Round < 20; ++Round) {
    for (const PlainServer &Server : Servers) {
      onCallStarted(Health, Server, Now);
      onCallEnded(Health, Server.Backend, false, Servers, Now);
    }
  }
  std::size_t Ejected = 0;
  for (const auto &[Id, Server] : Health.Servers)
    Ejected += Server.EjectedUntil > Now ? 1 : 0;
  BOOST_TEST(Ejected == 2U);
  // After the ejection a half-open server gets one call as a probe.
  Now += seconds(3);
  ServerChoice Probe = chooseServer(Health, Servers, {}, Rng, Now);
  BOOST_TEST((Probe.Reason == ChoiceReason::HalfOpenProbe));
  onCallStarted(Health, *Probe.Server, Now);
  BOOST_TEST(
      (chooseServer(Health, Servers, {}, Rng, Now).Server != Probe.Server));
  onCallEnded(Health, Probe.Server->Backend, true, Servers, Now);
  BOOST_TEST(!Health.Servers.at(Probe.Server->Backend).IsHalfOpen);
}

BOOST_AUTO_TEST_CASE(DrainingServersGetNoNewCalls) {
  Rig R;
  R.Dir.Servers[ServiceId("ledger")].clear();
  R.lookUp();
  BOOST_TEST(code(R.one<SendReply>()) == "203");
  R.signOff("k1");
  R.claimReply(R.one<SendClaim>().Content, ClaimState::Granted);
  BOOST_TEST(code(R.one<SendReply>()) == "203");
  BOOST_TEST((R.one<SendClaimResult>().Content.End == ClaimOutcome::NotRun));
}
