#include "gateway/tests/GatewayFixture.h"
#include "testing/KnownRed.h"

using namespace pimento;
using namespace pimento::testing;

/// An engine holds memory for a long prompt only while the entry host renews
/// the reservation.
BOOST_AUTO_TEST_CASE(ReservationsAreRenewedAndReleased) {
  GatewayFixture R;
  ExchangeId Id = R.call(HttpMethod::Post, "/l/1",
                         {{"X-Pimentoglade-Token-Count", "300000,700"},
                          {"X-Pimentoglade-Deadline-Ms", "15000"}});
  calls::OpenUpstream Reserve = R.only<calls::OpenUpstream>();
  BOOST_TEST(Reserve.Request.Body.text().find("reserve") != std::string::npos);
  R.event(UpstreamHead{Reserve.Upstream, 200, {}});
  R.event(UpstreamEnd{Reserve.Upstream, true});
  calls::OpenUpstream Open = R.only<calls::OpenUpstream>();
  BOOST_TEST(valueOf(Open, "X-Pimentoglade-Helpers").find("/r") !=
             std::string_view::npos);
  R.sent(Open.Upstream);
  R.advance(milliseconds(1000));
  std::vector<calls::OpenUpstream> Renewals = R.all<calls::OpenUpstream>();
  BOOST_REQUIRE(!Renewals.empty());
  BOOST_TEST(Renewals[0].Request.Body == Reserve.Request.Body);
  R.event(UpstreamHead{Renewals[0].Upstream, 200, {}});
  R.event(UpstreamEnd{Renewals[0].Upstream, true});
  R.event(ExchangeLeft{Id});
  calls::OpenUpstream Release = R.only<calls::OpenUpstream>();
  BOOST_TEST(Release.Request.Body.text().find("release") != std::string::npos);
  R.failUpstream(Release.Upstream, true); // The answer to the release is lost.
  R.advance(milliseconds(300));
  Release = R.only<calls::OpenUpstream>();
  BOOST_TEST(Release.Request.Body.text().find("release") != std::string::npos);
  R.event(UpstreamHead{Release.Upstream, 200, {}});
  R.event(UpstreamEnd{Release.Upstream, true});
  R.advance(seconds(4));
  BOOST_TEST(R.all<calls::OpenUpstream>().empty());
  BOOST_TEST(R.S.Releases.empty());
}

/// A renewal without an answer may take effect after the release, so releases
/// continue for longer.
BOOST_AUTO_TEST_CASE(UnconfirmedRenewalsAreReleasedRepeatedly) {
  GatewayFixture R;
  ExchangeId Id = R.call(HttpMethod::Post, "/l/1",
                         {{"X-Pimentoglade-Token-Count", "300000,700"},
                          {"X-Pimentoglade-Deadline-Ms", "15000"}});
  calls::OpenUpstream Reserve = R.only<calls::OpenUpstream>();
  R.event(UpstreamHead{Reserve.Upstream, 200, {}});
  R.event(UpstreamEnd{Reserve.Upstream, true});
  R.sent(R.only<calls::OpenUpstream>().Upstream);
  R.advance(milliseconds(800)); // A renewal is pending without an answer.
  R.event(ExchangeLeft{Id});
  std::size_t Releases = 0;
  for (int Second = 0; Second < 16; ++Second) {
    for (const calls::OpenUpstream &Open : R.all<calls::OpenUpstream>()) {
      if (Open.Request.Body.text().find("release") == std::string::npos)
        continue;
      ++Releases;
      R.event(UpstreamHead{Open.Upstream, 200, {}});
      R.event(UpstreamEnd{Open.Upstream, true});
    }
    R.advance(milliseconds(1050));
  }
  BOOST_TEST(Releases >= 10U);
  BOOST_TEST(R.S.Releases.empty());
}

/// Engines distinguish reservations only by name. Hosts that started at the
/// same moment, and two attempts of a request, must use different names.
BOOST_AUTO_TEST_CASE(ReservationNamesAreUniqueInTheSite) {
  auto Reserve = [](GatewayFixture &R) {
    R.call(HttpMethod::Post, "/l/1",
           {{"X-Pimentoglade-Token-Count", "300000,700"},
            {"X-Pimentoglade-Deadline-Ms", "15000"}});
    return R.only<calls::OpenUpstream>();
  };
  GatewayFixture First(true, "10.0.0.1:7340");
  GatewayFixture Second(true, "10.0.0.2:7340");
  calls::OpenUpstream Order = Reserve(First);
  BOOST_TEST(Order.Request.Body != Reserve(Second).Request.Body);
  // The engine refuses, so that the request is placed on other engines.
  First.S.Servers.Servers.clear();
  First.event(UpstreamHead{Order.Upstream, 409, {}});
  First.event(UpstreamEnd{Order.Upstream, true});
  for (const calls::OpenUpstream &Open : First.all<calls::OpenUpstream>()) {
    bool Reserves =
        Open.Request.Body.text().find("reserve") != std::string::npos;
    BOOST_TEST((!Reserves || Open.Request.Body != Order.Request.Body));
  }
}

/// A host that was killed may restart before the placer notices its silence.
/// The placer must then drop the placements of the earlier incarnation.
BOOST_AUTO_TEST_CASE(RestartedHostLosesItsEarlierPlacements) {
  GatewayFixture R;
  R.S.Link.Placer = R.S.Self;
  auto SendRequest = [&](IncarnationNumber Incarnation, std::uint64_t Ticket) {
    PlacementRequest A;
    A.Ticket = Ticket;
    A.Service = ServiceId("llm");
    A.PromptTokens = 5000;
    A.AnswerTokens = 700;
    A.Objective = milliseconds(300);
    A.EventTimeLeft = seconds(2);
    A.TimeLeft = seconds(10);
    R.event(PeerMessage{HostId("10.0.0.2"), Incarnation, A});
  };
  SendRequest(1, 1);
  SendRequest(1, 2);
  BOOST_TEST(R.S.Engines.Placed.size() == 2U);
  SendRequest(2, 70001);
  BOOST_TEST(R.S.Engines.Placed.size() == 1U);
}

/// A rolling restart changes the placer several times. Requests that wait at
/// the old placer must be sent to the new one at once.
BOOST_AUTO_TEST_CASE(WaitingRequestsMoveToTheNewPlacer) {
  GatewayFixture R;
  R.namePlacer("10.0.0.2");
  R.stream();
  auto Requested = std::get<PlacementRequest>(R.only<SendPeer>().Content);
  PlacementReply Acknowledgement;
  Acknowledgement.Ticket = Requested.Ticket;
  R.event(PeerMessage{HostId("10.0.0.2"), 1, Acknowledgement});
  R.namePlacer("10.0.0.3");
  bool NewPlacerRequested = false;
  for (const SendPeer &Send : R.all<SendPeer>()) {
    const auto *Spec = std::get_if<PlacementRequest>(&Send.Content);
    NewPlacerRequested = NewPlacerRequested ||
                         (Spec != nullptr && Send.To == HostId("10.0.0.3") &&
                          Spec->Ticket == Requested.Ticket);
  }
  BOOST_TEST(NewPlacerRequested);
  R.namePlacer("10.0.0.1"); // This host itself, which then places locally.
  R.advance(milliseconds(100));
  BOOST_TEST(R.all<calls::OpenUpstream>().size() == 1U);
}

/// A new placer must wait for the reports of running requests. Otherwise it
/// places requests again and again on engines whose memory is in use.
BOOST_AUTO_TEST_CASE(NewPlacerWaitsForReportsOfRunningRequests) {
  GatewayFixture R;
  R.namePlacer("10.0.0.2");
  R.namePlacer("10.0.0.1");
  R.call(HttpMethod::Post, "/l/1",
         {{"X-Pimentoglade-Token-Count", "133000,700"}});
  BOOST_TEST(R.all<calls::OpenUpstream>().empty());
  PlacementRequest Running;
  Running.Ticket = 7;
  Running.Service = ServiceId("llm");
  Running.PromptTokens = 200000;
  Running.AnswerTokens = 700;
  Running.TimeLeft = seconds(10);
  Running.RunningOn = {{BackendId("e1"), 0}};
  R.event(PeerMessage{HostId("10.0.0.3"), 1, Running});
  R.advance(milliseconds(100));
  calls::OpenUpstream Open = R.only<calls::OpenUpstream>();
  BOOST_TEST(Open.Request.Address == "10.0.1.2:80");
}

/// The engine that refused a reservation is avoided, not the first engine of
/// the request.
BOOST_AUTO_TEST_CASE(FailureCountsForTheEngineThatRefusedMemory) {
  GatewayFixture R;
  R.call(HttpMethod::Post, "/l/1",
         {{"X-Pimentoglade-Token-Count", "300000,700"},
          {"X-Pimentoglade-Deadline-Ms", "15000"}});
  calls::OpenUpstream Reserve = R.only<calls::OpenUpstream>();
  BackendId Refuser(Reserve.Request.Address == "10.0.1.1:80" ? "e1" : "e2");
  BackendId Other(Refuser.Value == "e1" ? "e2" : "e1");
  R.event(UpstreamHead{Reserve.Upstream, 409, {}});
  R.event(UpstreamEnd{Reserve.Upstream, true});
  BOOST_TEST(R.S.Engines.Engines.at(Refuser).Failures == 1U);
  BOOST_TEST(R.S.Engines.Engines.at(Other).Failures == 0U);
}

/// If the placer does not answer, the entry host places its own requests.
BOOST_AUTO_TEST_CASE(SilentPlacerIsBypassed) {
  GatewayFixture R;
  R.S.Link.Placer = HostId("10.0.0.2");
  R.stream();
  BOOST_TEST(R.all<calls::OpenUpstream>().empty());
  BOOST_TEST(R.all<SendPeer>().size() == 1U);
  R.advance(milliseconds(200));
  R.onlySend();
  R.stream(); // The placer is still avoided.
  BOOST_TEST(R.all<calls::OpenUpstream>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(RemotePlacersReplyIsFollowed) {
  GatewayFixture R;
  HostId Placer("10.0.0.2");
  R.S.Link.Placer = Placer;
  R.stream();
  auto Requested = std::get<PlacementRequest>(R.only<SendPeer>().Content);
  PlacementReply Reply;
  Reply.Ticket = Requested.Ticket;
  R.event(PeerMessage{Placer, 1, Reply}); // The request waits.
  R.advance(milliseconds(200));
  BOOST_TEST(R.all<calls::OpenUpstream>().empty());
  Reply.First.Engine = BackendId("e2");
  R.event(PeerMessage{Placer, 1, Reply});
  calls::OpenUpstream Open = R.only<calls::OpenUpstream>();
  BOOST_TEST(Open.Request.Address == "10.0.1.2:80");
  // After a duplicate or late reply, the host reports the request as ended.
  Reply.Ticket = 424242;
  R.event(PeerMessage{Placer, 1, Reply});
  auto Update = std::get<PlacementUpdate>(R.only<SendPeer>().Content);
  BOOST_TEST((Update.Stage == PlacementStage::Ended));
}

/// A refusal must be explained by the logs of the host that the caller reached:
/// what the placer believed of the engines, and how old that belief was.
BOOST_AUTO_TEST_CASE(RefusalIsLoggedWithThePlacersBeliefs) {
  GatewayFixture R;
  HostId Placer("10.0.0.2");
  R.S.Link.Placer = Placer;
  R.stream();
  PlacementReply Reply;
  Reply.Ticket = std::get<PlacementRequest>(R.only<SendPeer>().Content).Ticket;
  Reply.Result = Code::QueueFull;
  Reply.Basis.MaxSlowness = 4;
  Reply.Basis.SpeedAge = milliseconds(700);
  R.event(PeerMessage{Placer, 1, Reply});
  const DecisionRecord *Refusal = nullptr;
  std::vector<LogDecision> Lines = R.all<LogDecision>();
  for (const LogDecision &Line : Lines) {
    if (std::string(Line.Record.Kind) == "placement_refused")
      Refusal = &Line.Record;
  }
  BOOST_REQUIRE(Refusal != nullptr);
  auto Has = [&](const DecisionField &Wanted) {
    return std::any_of(Refusal->Fields.begin(), Refusal->Fields.end(),
                       [&](const DecisionField &Field) {
                         return std::string(Field.Name) == Wanted.Name &&
                                Field.Value == Wanted.Value;
                       });
  };
  BOOST_TEST(Has({"slowness_max", 4.0}));
  BOOST_TEST(Has({"speed_age_ms", std::int64_t{700}}));
  BOOST_TEST(Has({"placer", Placer.Value}));
}

/// Guards against a slow engine that goes unnoticed because nobody can tell it
/// from the late first event alone: the placer asks for its load report, and
/// again until the engine is as fast as its data sheet.
BOOST_AUTO_TEST_CASE(EngineWithALateFirstEventIsAskedForItsSpeed) {
  GatewayFixture R;
  R.namePlacer("10.0.0.1");
  ExchangeId Call = R.stream();
  calls::OpenUpstream Sent = R.only<calls::OpenUpstream>();
  R.sent(Sent.Upstream);
  R.advance(milliseconds(40));
  BOOST_TEST(R.all<calls::OpenUpstream>().empty()); // Not suspected yet.
  R.advance(milliseconds(200));
  calls::OpenUpstream Query = R.onlySpeedQuery();
  BOOST_TEST(Query.Request.Address == Sent.Request.Address);
  R.event(UpstreamHead{Query.Upstream, 200, {}});
  R.event(UpstreamData{Query.Upstream, R"({"pace":4.0})"});
  R.event(UpstreamEnd{Query.Upstream, true});
  BackendId Engine(Sent.Request.Address == "10.0.1.1:80" ? "e1" : "e2");
  BOOST_TEST(R.S.Engines.Engines.at(Engine).Slowness == 4.0);
  R.event(ExchangeLeft{Call});
  R.advance(milliseconds(1000));
  Query = R.onlySpeedQuery(); // Asked again once a second.
  R.event(UpstreamHead{Query.Upstream, 200, {}});
  R.event(UpstreamData{Query.Upstream, R"({"pace":1})"});
  R.event(UpstreamEnd{Query.Upstream, true});
  BOOST_TEST(R.S.Engines.Engines.at(Engine).Slowness == 1.0);
}

/// Guards against queries that never end, or that change a belief without an
/// answer, at an engine that is silent or answers with something else.
BOOST_AUTO_TEST_CASE(UnansweredSpeedQueryChangesNothing) {
  GatewayFixture R;
  R.namePlacer("10.0.0.1");
  R.stream();
  R.sent(R.only<calls::OpenUpstream>().Upstream);
  R.advance(milliseconds(240));
  calls::OpenUpstream Query = R.onlySpeedQuery();
  R.event(UpstreamHead{Query.Upstream, 200, {}});
  R.event(UpstreamData{Query.Upstream, "{"});
  R.event(UpstreamEnd{Query.Upstream, true});
  for (const auto &[Id, E] : R.S.Engines.Engines)
    BOOST_TEST(E.Slowness == 1.0);
  // Both engines are late by then: the second one was tried beside the first.
  R.advance(milliseconds(1250));
  std::vector<UpstreamId> Pending;
  for (const auto &[Upstream, Open] : R.S.SpeedQueries)
    Pending.push_back(Upstream);
  BOOST_TEST(!Pending.empty());
  R.advance(milliseconds(600));
  std::vector<UpstreamId> Aborted = R.aborted();
  for (UpstreamId Query : Pending) {
    BOOST_TEST(R.S.SpeedQueries.count(Query) == 0U);
    BOOST_TEST(
        (std::find(Aborted.begin(), Aborted.end(), Query) != Aborted.end()));
  }
  for (const auto &[Id, E] : R.S.Engines.Engines)
    BOOST_TEST(E.Slowness == 1.0);
}

/// Guards against queries by every entry host: only the host that places
/// requests needs to know the engines' speed.
BOOST_AUTO_TEST_CASE(OnlyThePlacerAsksForSpeeds) {
  GatewayFixture R;
  HostId Placer("10.0.0.2");
  R.namePlacer("10.0.0.2");
  R.stream();
  PlacementReply Reply;
  Reply.Ticket = std::get<PlacementRequest>(R.only<SendPeer>().Content).Ticket;
  Reply.First.Engine = BackendId("e2");
  Reply.Forecast = milliseconds(80);
  R.event(PeerMessage{Placer, 1, Reply});
  BOOST_TEST(R.all<calls::OpenUpstream>().size() == 1U);
  R.advance(milliseconds(500));
  BOOST_TEST(R.SpeedQueries.empty());
}

/// Guards against DRAIN and BUDGET: an engine says in its answer to an order,
/// or to a query, that it leaves or wants no requests for a time.
BOOST_AUTO_TEST_CASE(AnswersToOrdersAndQueriesAreHeard) {
  GatewayFixture R;
  R.call(HttpMethod::Post, "/l/1",
         {{"X-Pimentoglade-Token-Count", "300000,700"},
          {"X-Pimentoglade-Deadline-Ms", "15000"}});
  calls::OpenUpstream Reserve = R.only<calls::OpenUpstream>();
  R.event(UpstreamHead{Reserve.Upstream, 503, {{"Retry-After", "4"}}});
  R.event(UpstreamEnd{Reserve.Upstream, true});
  checkUnlessKnownRed("AnswersToOrdersAndQueriesAreHeard",
                      R.S.Paused.size() == 1U,
                      "the order's answer was ignored");

  GatewayFixture Q;
  Q.namePlacer("10.0.0.1");
  Q.stream();
  Q.sent(Q.only<calls::OpenUpstream>().Upstream);
  Q.advance(milliseconds(240));
  calls::OpenUpstream Query = Q.onlySpeedQuery();
  Q.event(UpstreamHead{Query.Upstream, 200, {{"Server-Leaving", "1"}}});
  checkUnlessKnownRed("AnswersToOrdersAndQueriesAreHeard",
                      Q.S.Leaving.size() == 1U,
                      "the query's answer was ignored");
}

/// Guards against another server at the address that is taken for the one that
/// was asked.
BOOST_AUTO_TEST_CASE(WordsOfAnotherServerChangeNothing) {
  const std::vector<HttpHeader> Words = {
      {"Retry-After", "4"}, {"Server-Leaving", "1"}, {"Server-Limit", "1"}};
  for (int Status : {421, 503}) {
    GatewayFixture R;
    R.call(HttpMethod::Post, "/w/1");
    calls::OpenUpstream Open = R.only<calls::OpenUpstream>();
    R.sent(Open.Upstream);
    std::vector<HttpHeader> Head = Words;
    Head.push_back({"X-Pimentoglade-Not-Executed", "1"});
    Head.push_back({"At-Server", "10.9.9.9:80"});
    R.event(UpstreamHead{Open.Upstream, Status, Head});
    BOOST_TEST(R.S.Paused.empty());
    BOOST_TEST(R.S.Leaving.empty());
    BOOST_TEST(R.S.NamedLimits.Servers.empty());
  }
}

/// Guards against LEAK: an engine went dark without closing its connections,
/// and a request whose events may be far apart waited for it for four seconds
/// and its forecast, while memory stayed reserved at its helpers.
BOOST_AUTO_TEST_CASE(RequestAtADarkEngineIsGivenUpWithinThreeSeconds) {
  for (bool IsDark : {true, false}) {
    GatewayFixture R;
    R.call(HttpMethod::Post, "/l/1",
           {{"X-Pimentoglade-Token-Count", "5000,1300"}});
    calls::OpenUpstream Open = R.onlySend();
    R.sent(Open.Upstream);
    if (IsDark)
      R.Gone = {BackendId(Open.Request.Address == "10.0.1.1:80" ? "e1" : "e2")};
    R.advance(milliseconds(2900));
    std::vector<UpstreamId> Aborted = R.aborted();
    if (IsDark) { // The other engine answers.
      calls::OpenUpstream Next = R.onlySend();
      R.sent(Next.Upstream);
      R.head(Next.Upstream, 200);
      R.event(UpstreamData{Next.Upstream, "id: 1\ndata: a\n\n"});
      BOOST_TEST(R.all<calls::StreamBytes>().size() == 1U);
      Aborted = R.aborted();
    }
    bool IsGivenUp = std::find(Aborted.begin(), Aborted.end(), Open.Upstream) !=
                     Aborted.end();
    BOOST_TEST(IsGivenUp == IsDark);
  }
}

/// Guards against LEAK: memory stayed reserved at the helper of an engine that
/// went dark, since no other engine took the request.
BOOST_AUTO_TEST_CASE(MemoryForADarkEngineIsReleasedWithinThreeSeconds) {
  GatewayFixture R;
  R.call(HttpMethod::Post, "/l/1",
         {{"X-Pimentoglade-Token-Count", "300000,700"},
          {"X-Pimentoglade-Deadline-Ms", "15000"}});
  calls::OpenUpstream Reserve = R.only<calls::OpenUpstream>();
  R.event(UpstreamHead{Reserve.Upstream, 200, {}});
  R.event(UpstreamEnd{Reserve.Upstream, true});
  calls::OpenUpstream Open = R.only<calls::OpenUpstream>();
  R.sent(Open.Upstream);
  R.Gone = {BackendId(Open.Request.Address == "10.0.1.1:80" ? "e1" : "e2")};
  R.advance(seconds(3));
  bool IsReleased = false;
  for (const calls::OpenUpstream &Order : R.all<calls::OpenUpstream>())
    IsReleased = IsReleased ||
                 Order.Request.Body.text().find("release") != std::string::npos;
  BOOST_TEST(IsReleased);
  for (const auto &[Ticket, C] : R.S.Calls)
    BOOST_TEST(C.Reserved.empty());
}

/// Guards against memory at helpers that is renewed for an engine which went
/// dark, and whose address another server has by now: probes of it find a
/// server.
BOOST_AUTO_TEST_CASE(RequestAtAnEngineThatLostItsAddressIsGivenUp) {
  GatewayFixture R;
  R.call(HttpMethod::Post, "/l/1",
         {{"X-Pimentoglade-Token-Count", "5000,1300"}});
  calls::OpenUpstream Open = R.onlySend();
  R.sent(Open.Upstream);
  SiteState M;
  M.Sequence = R.S.Link.Sequence;
  M.IsCurrent = true;
  M.Leader = Control;
  M.Config = 3;
  ServerReport Next = server("later", "llm", Open.Request.Address.c_str());
  Next.Incarnation = 2;
  M.Servers = {Next};
  R.event(PeerMessage{Control, 1, M});
  // Probes of the address reach the server that has it now.
  R.advance(seconds(2));
  std::vector<UpstreamId> Aborted = R.aborted();
  BOOST_TEST((std::find(Aborted.begin(), Aborted.end(), Open.Upstream) !=
              Aborted.end()));
}

/// Guards against memory that stays set aside since an engine wrote an earlier
/// refusal once more in answer to an order that it carried out, and against odd
/// answers to orders that end the host.
BOOST_AUTO_TEST_CASE(MemoryIsReleasedAfterAnyAnswerToItsOrder) {
  const std::string Nested(100000, '[');
  for (int Status : {409, 503, 204, 999}) {
    GatewayFixture R;
    R.call(HttpMethod::Post, "/l/1",
           {{"X-Pimentoglade-Token-Count", "300000,700"},
            {"X-Pimentoglade-Deadline-Ms", "15000"}});
    calls::OpenUpstream Reserve = R.only<calls::OpenUpstream>();
    // An answer that names a request belongs to none of this host's orders.
    BOOST_TEST(Reserve.Request.EchoHeader.Name == "X-Pimentoglade-Attempt-Id");
    BOOST_TEST(Reserve.Request.EchoHeader.Value == "");
    R.event(UpstreamHead{Reserve.Upstream, Status, {}});
    R.event(UpstreamData{Reserve.Upstream, Nested});
    R.event(UpstreamEnd{Reserve.Upstream, true});
    std::vector<calls::OpenUpstream> Opened = R.all<calls::OpenUpstream>();
    bool IsReleased = std::any_of(
        Opened.begin(), Opened.end(), [&](const calls::OpenUpstream &Open) {
          return Open.Request.Address == Reserve.Request.Address &&
                 Open.Request.Body.text().find("release") != std::string::npos;
        });
    BOOST_TEST(IsReleased);
  }
}
