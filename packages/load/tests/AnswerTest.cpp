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

/// The verdict on a stream with this body.
Verdict judgeStream(const std::string &Body, bool ExactCounts = true) {
  AnswerReader R = startStream(ExactCounts);
  readData(R, Body);
  return judge(R, true);
}

std::string piece(std::uint64_t Low = 7) {
  return calls::chunkText(headOf(Low), "abc ");
}

Verdict judgeReply(const HttpReply &Reply, RequestKind Kind) {
  AnswerReader R = makeReader({Kind, 30, 8, true});
  readHead(R, Reply.Status, Reply.Headers);
  readData(R, Reply.Body);
  return judge(R, true);
}

} // namespace

BOOST_AUTO_TEST_CASE(WholeStreamIsAnsweredHoweverItIsSplit) {
  std::string Body = piece() + ": comment\n\n" + piece() +
                     calls::chunkEnd(headOf(7), endOf(30, 2));
  AnswerReader R = startStream();
  std::size_t Pieces = 0;
  for (char C : Body)
    Pieces += readData(R, std::string(1, C));
  Verdict V = judge(R, true);
  BOOST_TEST(Pieces == 2U);
  BOOST_TEST(!V.Broken, V.Detail);
  BOOST_TEST((V.End == Ending::Answered));
  BOOST_TEST(V.PromptTokens == 30U);
  BOOST_TEST(V.OutputTokens == 2U);
  BOOST_TEST(V.AnswerId == "cmpl-" + toString(headOf(7).Request));
}

BOOST_AUTO_TEST_CASE(StreamsThatOnlyLookWholeAreFound) {
  std::string End = calls::chunkEnd(headOf(7), endOf(30, 2));
  std::string Unfinished = End.substr(0, End.find("data: [DONE]"));
  std::string Whole = piece() + piece() + End;
  for (const std::string &Body :
       {std::string(), piece() + piece(), piece() + piece() + Unfinished,
        piece() + std::string("data: [DONE]\n\n"), piece() + End,
        Whole + piece(), Whole + End}) {
    Verdict V = judgeStream(Body);
    BOOST_TEST_REQUIRE(V.Broken.has_value(), Body);
    BOOST_TEST((*V.Broken == Breach::LooksWhole), Body);
  }
}

BOOST_AUTO_TEST_CASE(AnswersOfOthersAreFound) {
  std::string End = calls::chunkEnd(headOf(7), endOf(30, 2));
  std::string OtherCount = calls::chunkEnd(headOf(7), endOf(31, 2));
  for (const std::string &Body :
       {piece(8) + piece(8) + End, piece() + piece(8) + End,
        piece() + piece() + OtherCount}) {
    Verdict V = judgeStream(Body);
    BOOST_TEST_REQUIRE(V.Broken.has_value(), Body);
    BOOST_TEST((*V.Broken == Breach::NotOwn), Body);
  }
  // Engines with tokens of their own count otherwise.
  BOOST_TEST(!judgeStream(piece() + piece() + OtherCount, false).Broken);
}

BOOST_AUTO_TEST_CASE(RefusalsCarryTheirCode) {
  Verdict V = judgeReply(problemReply({Code::QueueFull, "full"}),
                         RequestKind::Completion);
  BOOST_TEST((V.End == Ending::Refused));
  BOOST_TEST(V.Number == Code::QueueFull);
  BOOST_TEST(!V.Broken);
  V = judgeStream(piece() + calls::chunkProblem({Code::StreamCut, "gone"}));
  BOOST_TEST((V.End == Ending::Refused));
  BOOST_TEST(V.Number == Code::StreamCut);
  BOOST_TEST(!V.Broken);
}

BOOST_AUTO_TEST_CASE(RefusalsWithoutAnHonestCodeAreFound) {
  HttpReply Liar = problemReply({Code::OutcomeUnknown, ""});
  Liar.Body = R"({"code": 303, "outcome": "not_run"})";
  HttpReply Unnumbered = Liar;
  Unnumbered.Body = R"({"code": 999, "outcome": "not_run"})";
  HttpReply Page;
  Page.Status = 503;
  for (const HttpReply &Reply : {Liar, Unnumbered, Page}) {
    Verdict V = judgeReply(Reply, RequestKind::Completion);
    BOOST_TEST_REQUIRE(V.Broken.has_value(), Reply.Body);
    BOOST_TEST((*V.Broken == Breach::BadRefusal), Reply.Body);
  }
}

BOOST_AUTO_TEST_CASE(BrokenConnectionsAreCutOrUnreachable) {
  AnswerReader R = startStream();
  readData(R, piece());
  Verdict V = judgeFailure(R, {true, false, "connection closed"});
  BOOST_TEST((V.End == Ending::Cut));
  BOOST_TEST((V.Broken == Breach::CutOff));
  V = judgeFailure(makeReader({}), {false, true, "connect timeout"});
  BOOST_TEST((V.End == Ending::Unreachable));
  BOOST_TEST(!V.Broken);
  // Whoever stops reading at [DONE] holds a whole answer.
  readData(R, piece() + calls::chunkEnd(headOf(7), endOf(30, 2)));
  V = judgeFailure(R, {true, false, "connection closed"});
  BOOST_TEST((V.End == Ending::Answered));
  BOOST_TEST(!V.Broken, V.Detail);
}

BOOST_AUTO_TEST_CASE(PlainAnswersAreComparedWhole) {
  Verdict V = judgeReply(jsonReply(200, "{}"), RequestKind::NonRepeatable);
  BOOST_TEST((V.End == Ending::Answered));
  BOOST_TEST(V.Content == "200\n{}");
}
