#define BOOST_TEST_MODULE load
#include <boost/test/unit_test.hpp>

#include "base/Problem.h"
#include "calls/CallerApi.h"
#include "load/Answer.h"

using namespace pimento;
using namespace pimento::load;

namespace {

calls::CompletionHead headOf(std::uint64_t Low) {
  calls::CompletionHead Head;
  Head.Request = RequestId{1, Low};
  Head.Model = ModelName("atlas");
  return Head;
}

calls::CompletionEnd endOf(std::uint64_t Prompt, std::uint64_t Output) {
  calls::CompletionEnd End;
  End.PromptTokens = Prompt;
  End.OutputTokens = Output;
  return End;
}

AnswerReader startStream(bool ExactCounts = true) {
  AnswerReader R = makeReader({RequestKind::Completion, 30, 8, ExactCounts});
  HttpReply Head = calls::streamHead(headOf(7).Request);
  readHead(R, Head.Status, Head.Headers);
  return R;
}

/// Returns the verdict on a stream with this body.
Verdict evaluateStream(const std::string &Body, bool ExactCounts = true) {
  AnswerReader R = startStream(ExactCounts);
  readData(R, Body);
  return evaluateReply(R, true);
}

std::string piece(std::uint64_t Low = 7) {
  return calls::chunkText(headOf(Low), "abc ");
}

Verdict evaluateHttpReply(const HttpReply &Reply, RequestKind Kind) {
  AnswerReader R = makeReader({Kind, 30, 8, true});
  readHead(R, Reply.Status, Reply.Headers);
  readData(R, Reply.Body);
  return evaluateReply(R, true);
}

} // namespace

BOOST_AUTO_TEST_CASE(CompleteStreamIsAnsweredForAnySplit) {
  std::string Body = piece() + ": comment\n\n" + piece() +
                     calls::chunkEnd(headOf(7), endOf(30, 2));
  AnswerReader R = startStream();
  std::size_t Pieces = 0;
  for (char C : Body)
    Pieces += readData(R, std::string(1, C));
  Verdict V = evaluateReply(R, true);
  BOOST_TEST(Pieces == 2U);
  BOOST_TEST(!V.Broken, V.Detail);
  BOOST_TEST((V.Kind == ResultKind::Answered));
  BOOST_TEST(V.PromptTokens == 30U);
  BOOST_TEST(V.OutputTokens == 2U);
  BOOST_TEST(V.AnswerId == "cmpl-" + toString(headOf(7).Request));
}

BOOST_AUTO_TEST_CASE(IncompleteStreamsAreDetected) {
  std::string End = calls::chunkEnd(headOf(7), endOf(30, 2));
  std::string Unfinished = End.substr(0, End.find("data: [DONE]"));
  std::string Whole = piece() + piece() + End;
  for (const std::string &Body :
       {std::string(), piece() + piece(), piece() + piece() + Unfinished,
        piece() + std::string("data: [DONE]\n\n"), piece() + End,
        Whole + piece(), Whole + End}) {
    Verdict V = evaluateStream(Body);
    BOOST_TEST_REQUIRE(V.Broken.has_value(), Body);
    BOOST_TEST((*V.Broken == Violation::IncompleteAnswer), Body);
  }
}

BOOST_AUTO_TEST_CASE(AnswersOfOtherRequestsAreDetected) {
  std::string End = calls::chunkEnd(headOf(7), endOf(30, 2));
  std::string OtherCount = calls::chunkEnd(headOf(7), endOf(31, 2));
  for (const std::string &Body :
       {piece(8) + piece(8) + End, piece() + piece(8) + End,
        piece() + piece() + OtherCount}) {
    Verdict V = evaluateStream(Body);
    BOOST_TEST_REQUIRE(V.Broken.has_value(), Body);
    BOOST_TEST((*V.Broken == Violation::WrongRequest), Body);
  }
  // Real engines count tokens differently, so exact counts are not checked.
  BOOST_TEST(!evaluateStream(piece() + piece() + OtherCount, false).Broken);
}

BOOST_AUTO_TEST_CASE(RefusalsKeepTheirCode) {
  Verdict V = evaluateHttpReply(problemReply({Code::QueueFull, "full"}),
                                RequestKind::Completion);
  BOOST_TEST((V.Kind == ResultKind::Refused));
  BOOST_TEST(V.Number == Code::QueueFull);
  BOOST_TEST(!V.Broken);
  V = evaluateStream(piece() + calls::chunkProblem({Code::StreamCut, "gone"}));
  BOOST_TEST((V.Kind == ResultKind::Refused));
  BOOST_TEST(V.Number == Code::StreamCut);
  BOOST_TEST(!V.Broken);
}

BOOST_AUTO_TEST_CASE(RefusalsWithInvalidCodeOrOutcomeAreDetected) {
  HttpReply WrongOutcome = problemReply({Code::OutcomeUnknown, ""});
  WrongOutcome.Body = R"({"code": 303, "outcome": "not_run"})";
  HttpReply UnknownCode = WrongOutcome;
  UnknownCode.Body = R"({"code": 999, "outcome": "not_run"})";
  HttpReply Page;
  Page.Status = 503;
  for (const HttpReply &Reply : {WrongOutcome, UnknownCode, Page}) {
    Verdict V = evaluateHttpReply(Reply, RequestKind::Completion);
    BOOST_TEST_REQUIRE(V.Broken.has_value(), Reply.Body);
    BOOST_TEST((*V.Broken == Violation::InvalidRefusal), Reply.Body);
  }
}

BOOST_AUTO_TEST_CASE(FailedConnectionsAreInterruptedOrUnreachable) {
  AnswerReader R = startStream();
  readData(R, piece());
  Verdict V = evaluateFailure(R, {true, false, "connection closed"});
  BOOST_TEST((V.Kind == ResultKind::Interrupted));
  BOOST_TEST((V.Broken == Violation::ConnectionLost));
  V = evaluateFailure(makeReader({}), {false, true, "connect timeout"});
  BOOST_TEST((V.Kind == ResultKind::Unreachable));
  BOOST_TEST(!V.Broken);
  // The answer is complete at [DONE], even if the connection fails afterwards.
  readData(R, piece() + calls::chunkEnd(headOf(7), endOf(30, 2)));
  V = evaluateFailure(R, {true, false, "connection closed"});
  BOOST_TEST((V.Kind == ResultKind::Answered));
  BOOST_TEST(!V.Broken, V.Detail);
}

BOOST_AUTO_TEST_CASE(PlainAnswersKeepStatusAndBody) {
  Verdict V =
      evaluateHttpReply(jsonReply(200, "{}"), RequestKind::NonRepeatable);
  BOOST_TEST((V.Kind == ResultKind::Answered));
  BOOST_TEST(V.Content == "200\n{}");
}
