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
  calls::OpenUpstream Second = R.onlySend();
  BOOST_TEST(Second.Request.Address != First.Request.Address);
  BOOST_TEST(valueOf(Second, "Last-Event-Id") == "1");
  R.sent(Second.Upstream);
  R.head(Second.Upstream, 200);
  BOOST_TEST(R.all<calls::StartStream>().empty());
  R.event(UpstreamData{Second.Upstream, "id: 2\ndata: b\n\n"});
  BOOST_TEST(R.only<calls::StreamBytes>().Bytes == "id: 2\ndata: b\n\n");
  R.event(UpstreamEnd{Second.Upstream, true});
  BOOST_TEST(R.only<calls::EndStream>().IsComplete);
  BOOST_TEST(R.S.Engines.Placed.empty());
}

BOOST_AUTO_TEST_CASE(StreamThatCannotResumeIsTruncatedVisibly) {
  GatewayFixture R;
  R.stream();
  for (int Send = 0; Send < 2; ++Send) {
    calls::OpenUpstream Open = R.onlySend();
    R.sent(Open.Upstream);
    R.head(Open.Upstream, 200);
    std::string Id = std::to_string(Send + 1);
    R.event(UpstreamData{Open.Upstream, "id: " + Id + "\ndata: a\n\n"});
    R.failUpstream(Open.Upstream, true);
  }
  BOOST_TEST(!R.only<calls::EndStream>().IsComplete);
  BOOST_TEST(R.S.Calls.empty());
}

/// Guards against a broken stream that no log line joins to the attempts that
/// failed, and against answers of which no line says whether their callers got
/// them.
BOOST_AUTO_TEST_CASE(EndsOfAnswersAreLoggedWithWhatLedToThem) {
  GatewayFixture R;
  R.stream();
  for (int Send = 0; Send < 2; ++Send) {
    calls::OpenUpstream Open = R.onlySend();
    R.sent(Open.Upstream);
    R.head(Open.Upstream, 200);
    std::string Id = std::to_string(Send + 1);
    R.event(UpstreamData{Open.Upstream, "id: " + Id + "\ndata: a\n\n"});
    R.failUpstream(Open.Upstream, true);
  }
  DecisionRecord Broken = R.onlyLog("answer_broken_off");
  // Both engines, by their names.
  BOOST_TEST(textOf(Broken, "tried").size() == std::string("e1 e2").size());
  BOOST_TEST(textOf(Broken, "last_try_reason") == "the connection broke");
  BOOST_TEST(textOf(R.onlyLog("request"), "answer") == "broken_off");
  // The caller of a whole answer leaves before all of it was written.
  ExchangeId Id = R.call(HttpMethod::Get, "/r/1");
  UpstreamId Upstream = R.only<calls::OpenUpstream>().Upstream;
  R.sent(Upstream);
  R.head(Upstream, 200);
  R.event(UpstreamEnd{Upstream, true});
  BOOST_TEST(textOf(R.onlyLog("request"), "answer") == "whole");
  R.event(ExchangeLeft{Id});
  R.onlyLog("answer_unwritten");
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

namespace {

/// Starts a stream whose answer has no length, and delivers its bytes.
calls::OpenUpstream answerStream(GatewayFixture &R, const std::string &Bytes) {
  R.stream();
  calls::OpenUpstream Open = R.only<calls::OpenUpstream>();
  R.sent(Open.Upstream);
  R.head(Open.Upstream, 200);
  if (!Bytes.empty())
    R.event(UpstreamData{Open.Upstream, Bytes});
  return Open;
}

/// The only request for a load report among the last effects.
calls::OpenUpstream onlyQuery(const GatewayFixture &R) {
  calls::OpenUpstream Open = R.only<calls::OpenUpstream>();
  BOOST_TEST_REQUIRE(Open.Request.Target == "/-/report");
  return Open;
}

} // namespace

/// Guards against an engine that ends before its first event: its answer
/// without a length reached the caller as a complete, empty stream.
BOOST_AUTO_TEST_CASE(StreamWithoutLengthAndEventsIsNotComplete) {
  GatewayFixture R;
  calls::OpenUpstream Open = answerStream(R, "");
  R.event(UpstreamEnd{Open.Upstream, false});
  BOOST_TEST(R.all<calls::EndStream>().empty());
  // It goes on at the other engine.
  calls::OpenUpstream Next = R.onlySend();
  BOOST_TEST(Next.Request.Target == "/s/1");
  BOOST_TEST(Next.Request.Address != Open.Request.Address);
}

/// Guards against an engine that ends between two events: without a length its
/// answer looks complete. An engine that has ended answers no query.
BOOST_AUTO_TEST_CASE(StreamWithoutLengthOfAnEndedEngineIsNotComplete) {
  GatewayFixture R;
  calls::OpenUpstream Open = answerStream(R, "id: 1\ndata: x\n\n");
  R.event(UpstreamEnd{Open.Upstream, false});
  BOOST_TEST(R.all<calls::EndStream>().empty());
  calls::OpenUpstream Query = onlyQuery(R);
  BOOST_TEST(Query.Request.Address == Open.Request.Address);
  R.failUpstream(Query.Upstream, false);
  calls::OpenUpstream Next = R.only<calls::OpenUpstream>();
  BOOST_TEST(Next.Request.Target == "/s/1");
  BOOST_TEST(valueOf(Next, "Last-Event-Id") == "1");
}

BOOST_AUTO_TEST_CASE(StreamWithoutLengthOfASilentEngineIsNotComplete) {
  GatewayFixture R;
  calls::OpenUpstream Open = answerStream(R, "id: 1\ndata: x\n\n");
  R.event(UpstreamEnd{Open.Upstream, false});
  onlyQuery(R);
  R.advance(milliseconds(600));
  BOOST_TEST(R.all<calls::EndStream>().empty());
  std::size_t Resumed = 0;
  for (const calls::OpenUpstream &Next : R.all<calls::OpenUpstream>())
    Resumed += Next.Request.Target == "/s/1" ? 1 : 0;
  BOOST_TEST(Resumed == 1U);
}

BOOST_AUTO_TEST_CASE(StreamWithoutLengthOfALivingEngineIsComplete) {
  GatewayFixture R;
  calls::OpenUpstream Open = answerStream(R, "id: 1\ndata: x\n\n");
  R.event(UpstreamEnd{Open.Upstream, false});
  calls::OpenUpstream Query = onlyQuery(R);
  BOOST_TEST(!Query.Request.Headers.empty());
  BOOST_TEST(valueOf(Query, "X-Pimentoglade-Expected-Replica") ==
             R.S.Calls.begin()->second.Attempt.Server.Value);
  R.event(UpstreamHead{Query.Upstream, 200, {}});
  // The engine's report tells whether it is the one that gave the stream.
  BOOST_TEST(R.all<calls::EndStream>().empty());
  R.event(UpstreamData{Query.Upstream, R"({"pace":1,"born":1})"});
  R.event(UpstreamEnd{Query.Upstream, true});
  BOOST_TEST(R.only<calls::EndStream>().IsComplete);
  BOOST_TEST(R.S.Calls.empty());
  BOOST_TEST(R.S.ByUpstream.empty());
  BOOST_TEST(R.S.EndQueries.empty());
}

/// Guards against an engine that crashes between two events while this host
/// stands still, and has started again by the time it is asked: the cut stream
/// reached its caller as complete.
BOOST_AUTO_TEST_CASE(StreamWithoutLengthOfAReplacedEngineIsNotComplete) {
  struct Answer {
    int Status;
    std::vector<HttpHeader> Headers;
    const char *Report;
  };
  for (const Answer &A :
       {Answer{421, {}, ""}, Answer{404, {}, ""},
        Answer{200, {{"X-Pimentoglade-Replica-Id", "other"}}, ""},
        Answer{200, {}, R"({"pace":1,"born":2})"}}) {
    GatewayFixture R;
    calls::OpenUpstream Open = answerStream(R, "id: 1\ndata: x\n\n");
    R.event(UpstreamEnd{Open.Upstream, false});
    UpstreamId Query = onlyQuery(R).Upstream;
    R.event(UpstreamHead{Query, A.Status, A.Headers});
    if (R.all<calls::OpenUpstream>().empty()) {
      R.event(UpstreamData{Query, A.Report});
      R.event(UpstreamEnd{Query, true});
    }
    BOOST_TEST(R.all<calls::EndStream>().empty());
    calls::OpenUpstream Next = R.onlySend();
    BOOST_TEST(Next.Request.Address != Open.Request.Address);
    BOOST_TEST(valueOf(Next, "Last-Event-Id") == "1");
    BOOST_TEST(R.S.EndQueries.empty());
  }
}

/// Guards against a stream that its server breaks off within an event and ends
/// properly, by its last chunk or its length: the half event reached the caller
/// in a complete answer.
BOOST_AUTO_TEST_CASE(DelimitedStreamThatEndsWithinAnEventGoesOnElsewhere) {
  GatewayFixture R;
  calls::OpenUpstream Open = answerStream(R, "id: 1\ndata: x\n\nid: 2\nda");
  BOOST_TEST(R.only<calls::StreamBytes>().Bytes == "id: 1\ndata: x\n\n");
  R.event(UpstreamEnd{Open.Upstream, true});
  BOOST_TEST(R.all<calls::EndStream>().empty());
  BOOST_TEST(R.all<calls::StreamBytes>().empty());
  calls::OpenUpstream Next = R.onlySend();
  BOOST_TEST(Next.Request.Address != Open.Request.Address);
  BOOST_TEST(valueOf(Next, "Last-Event-Id") == "1");
  // A second one that does so leaves a stream that is visibly cut.
  R.sent(Next.Upstream);
  R.head(Next.Upstream, 200);
  R.event(UpstreamData{Next.Upstream, "id: 2\ndata: y\n\nid"});
  R.event(UpstreamEnd{Next.Upstream, true});
  BOOST_TEST(!R.only<calls::EndStream>().IsComplete);
}

/// Guards against a stream without events that is framed as a whole answer.
BOOST_AUTO_TEST_CASE(DelimitedStreamWithoutEventsGoesOnElsewhere) {
  GatewayFixture R;
  calls::OpenUpstream Open = answerStream(R, "");
  R.event(UpstreamEnd{Open.Upstream, true});
  BOOST_TEST(R.all<calls::EndStream>().empty());
  BOOST_TEST(R.onlySend().Request.Address != Open.Request.Address);
}

/// Guards against a caller that reads slowly, or not at all, while its stream
/// grows: its bytes pile up in this host.
BOOST_AUTO_TEST_CASE(StreamIsNotReadWhileItsCallerLagsBehind) {
  GatewayFixture R;
  ExchangeId Caller{R.NextExchange};
  calls::OpenUpstream Open = answerStream(R, "id: 1\ndata: x\n\n");
  int Id = 1;
  std::vector<calls::PauseUpstream> Pauses;
  while (Pauses.empty() && Id < 100) {
    R.event(UpstreamData{Open.Upstream,
                         "id: " + std::to_string(++Id) +
                             "\ndata: " + std::string(4000, 'x') + "\n\n"});
    Pauses = R.all<calls::PauseUpstream>();
  }
  BOOST_TEST(Id < 25);
  BOOST_TEST_REQUIRE(Pauses.size() == 1U);
  BOOST_TEST(Pauses[0].Paused);
  // The server that is not read is not taken for silent.
  R.advance(seconds(4));
  BOOST_TEST(R.aborted().empty());
  R.event(ExchangeDrained{Caller, 0});
  BOOST_TEST(!R.only<calls::PauseUpstream>().Paused);
  R.event(UpstreamData{Open.Upstream,
                       "id: " + std::to_string(++Id) + "\ndata: x\n\n"});
  R.event(UpstreamEnd{Open.Upstream, true});
  BOOST_TEST(R.only<calls::EndStream>().IsComplete);
}

/// Guards against work that goes on for a caller that left while the end of its
/// stream is confirmed.
BOOST_AUTO_TEST_CASE(CallerMayLeaveWhileTheEndIsConfirmed) {
  GatewayFixture R;
  ExchangeId Caller{R.NextExchange};
  calls::OpenUpstream Open = answerStream(R, "id: 1\ndata: x\n\n");
  R.event(UpstreamEnd{Open.Upstream, false});
  calls::OpenUpstream Query = onlyQuery(R);
  R.event(ExchangeLeft{Caller});
  BOOST_TEST((R.only<calls::AbortUpstream>().Upstream == Query.Upstream));
  BOOST_TEST(R.S.Calls.empty());
  R.event(UpstreamHead{Query.Upstream, 200, {}});
  BOOST_TEST(R.LastEffects.empty());
}

/// Guards against answers without end: an event that never ends was forwarded
/// until the caller left.
BOOST_AUTO_TEST_CASE(EventWithoutEndIsBrokenOff) {
  GatewayFixture R;
  calls::OpenUpstream Open = answerStream(R, "id: 1\ndata: x\n\n");
  std::size_t Forwarded = 0;
  bool Aborted = false;
  for (int I = 0; I < 64 && !Aborted; ++I) {
    R.event(UpstreamData{Open.Upstream, std::string(64U << 10U, 'x')});
    for (const calls::StreamBytes &Bytes : R.all<calls::StreamBytes>())
      Forwarded += Bytes.Bytes.size();
    Aborted = !R.all<calls::AbortUpstream>().empty();
  }
  BOOST_TEST(Aborted);
  BOOST_TEST(Forwarded == 0U);
}

/// Guards against a stalled stream that a byte now and then keeps open: only
/// complete events count.
BOOST_AUTO_TEST_CASE(BytesWithinAnEventDoNotKeepAStalledStream) {
  GatewayFixture R;
  calls::OpenUpstream Open = answerStream(R, "id: 1\ndata: x\n\n");
  Effects All;
  for (int I = 0; I < 40; ++I) {
    R.event(UpstreamData{Open.Upstream, "x"});
    for (Effect &E : R.advance(milliseconds(100)))
      All.push_back(std::move(E));
  }
  R.LastEffects = std::move(All);
  BOOST_TEST(!R.all<calls::AbortUpstream>().empty());
  BOOST_TEST(!R.all<calls::OpenUpstream>().empty());
}

/// Guards against slow but sound streams that are cut: events come late, but
/// within the time that their callers wait.
BOOST_AUTO_TEST_CASE(SlowStreamIsNotCut) {
  GatewayFixture R;
  calls::OpenUpstream Open = answerStream(R, "id: 1\ndata: x\n\n");
  for (int I = 2; I <= 10; ++I) {
    R.advance(milliseconds(900));
    BOOST_TEST(R.aborted().empty());
    BOOST_TEST(R.all<calls::EndStream>().empty());
    R.event(UpstreamData{Open.Upstream,
                         "id: " + std::to_string(I) + "\ndata: x\n\n"});
    BOOST_TEST(R.all<calls::StreamBytes>().size() == 1U);
  }
}

/// Guards against connections that break, or answers that are lost, at engines
/// that run on: they accused the parts of sound requests.
BOOST_AUTO_TEST_CASE(BrokenConnectionIsACrashOnlyIfTheEngineIsGone) {
  for (bool IsGone : {false, true}) {
    GatewayFixture R;
    R.call(HttpMethod::Post, "/s/1",
           {{"X-Pimentoglade-Token-Count", "5000,1300"},
            {"X-Pimentoglade-Prefix-Hash", "a1:40,b2:4000"}});
    calls::OpenUpstream Open = R.only<calls::OpenUpstream>();
    R.sent(Open.Upstream);
    R.head(Open.Upstream, 200);
    R.failUpstream(Open.Upstream, true);
    std::vector<calls::OpenUpstream> Queries;
    for (const calls::OpenUpstream &Next : R.all<calls::OpenUpstream>()) {
      if (Next.Request.Target == "/-/report")
        Queries.push_back(Next);
    }
    BOOST_TEST_REQUIRE(Queries.size() == 1U);
    BOOST_TEST(Queries[0].Request.Address == Open.Request.Address);
    calls::OpenUpstream Next = R.onlySend();
    if (IsGone)
      R.Gone = {R.S.CrashChecks.begin()->second.Crash.Server};
    if (IsGone)
      R.failUpstream(Queries[0].Upstream, false);
    else
      R.event(UpstreamHead{Queries[0].Upstream, 200, {}});
    R.tick(milliseconds(1));
    R.sent(Next.Upstream); // This host reaches another engine.
    R.advance(milliseconds(500));
    BOOST_TEST(R.S.Quarantine.Crashes.size() == (IsGone ? 1U : 0U));
    BOOST_TEST(R.S.CrashChecks.empty());
  }
}

namespace {

const HttpHeader EventStream = {"Content-Type", "text/event-stream"};

/// A stream of two events that breaks off; returns its resumption.
calls::OpenUpstream resumeStream(GatewayFixture &R) {
  R.stream();
  calls::OpenUpstream First = R.only<calls::OpenUpstream>();
  R.sent(First.Upstream);
  R.head(First.Upstream, 200, {EventStream});
  R.event(UpstreamData{First.Upstream, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"});
  R.failUpstream(First.Upstream, true);
  calls::OpenUpstream Second = R.onlySend();
  BOOST_TEST(valueOf(Second, "Last-Event-Id") == "2");
  R.sent(Second.Upstream);
  return Second;
}

/// Bytes that reached the caller by the last event.
std::string forwarded(const GatewayFixture &R) {
  std::string Bytes;
  for (const calls::StreamBytes &Each : R.all<calls::StreamBytes>())
    Bytes += Each.Bytes;
  return Bytes;
}

/// Checks that the last event ended the stream visibly broken, with nothing
/// added to it.
void checkBroken(const GatewayFixture &R) {
  BOOST_TEST(forwarded(R) == "");
  BOOST_TEST_REQUIRE(R.all<calls::EndStream>().size() == 1U);
  BOOST_TEST(!R.only<calls::EndStream>().IsComplete);
}

} // namespace

/// Guards against MIXED and ORDER: a stream broke off, and the next server's
/// answer, which was no stream of events, was appended to it.
BOOST_AUTO_TEST_CASE(AnswerOfAnotherKindIsNotAppendedToAStream) {
  for (int Status : {200, 200, 204, 404, 500, 502, 503}) {
    GatewayFixture R;
    calls::OpenUpstream Second = resumeStream(R);
    R.head(Second.Upstream, Status, {{"Content-Type", "text/plain"}});
    BOOST_TEST(forwarded(R) == "");
    R.event(UpstreamData{Second.Upstream, "an error\n\nof some kind"});
    BOOST_TEST(forwarded(R) == "");
    R.event(UpstreamEnd{Second.Upstream, Status != 500});
    checkBroken(R);
  }
}

/// Guards against ORDER: a stream broke off, and the next server began with the
/// first event again, or with one without an id.
BOOST_AUTO_TEST_CASE(ResumedStreamThatBeginsAgainIsNotAppended) {
  for (const char *Bytes : {"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n",
                            "data: a\n\n", ": error\n\n"}) {
    GatewayFixture R;
    calls::OpenUpstream Second = resumeStream(R);
    R.head(Second.Upstream, 200, {EventStream});
    R.event(UpstreamData{Second.Upstream, std::string(Bytes).substr(0, 4)});
    BOOST_TEST(forwarded(R) == "");
    R.event(UpstreamData{Second.Upstream, std::string(Bytes).substr(4)});
    checkBroken(R);
  }
}

/// Guards against ORDER: bytes that are no event ended a resumed stream as if
/// it were complete. One that has nothing left but its end is complete.
BOOST_AUTO_TEST_CASE(ResumedStreamEndsCompleteOnlyWithoutOtherBytes) {
  GatewayFixture R;
  calls::OpenUpstream Second = resumeStream(R);
  R.head(Second.Upstream, 200, {EventStream});
  R.event(UpstreamData{Second.Upstream, "internal error"});
  R.event(UpstreamEnd{Second.Upstream, true});
  checkBroken(R);
  GatewayFixture Whole;
  Second = resumeStream(Whole);
  Whole.head(Second.Upstream, 200, {EventStream});
  Whole.event(UpstreamEnd{Second.Upstream, true});
  BOOST_TEST(Whole.only<calls::EndStream>().IsComplete);
}

/// Guards against a stream that is taken for another one since its ids are no
/// numbers, or leave some out.
BOOST_AUTO_TEST_CASE(ResumedStreamGoesOnWithALaterEvent) {
  for (const char *Id : {"3", "5", "x3"}) {
    GatewayFixture R;
    calls::OpenUpstream Second = resumeStream(R);
    R.head(Second.Upstream, 200, {EventStream});
    std::string Bytes = std::string("id: ") + Id + "\ndata: c\n\n";
    R.event(UpstreamData{Second.Upstream, Bytes});
    BOOST_TEST(forwarded(R) == Bytes);
    R.event(UpstreamEnd{Second.Upstream, true});
    BOOST_TEST(R.only<calls::EndStream>().IsComplete);
  }
}
