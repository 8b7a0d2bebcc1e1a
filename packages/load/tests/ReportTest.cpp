#include <boost/test/unit_test.hpp>

#include "base/Json.h"
#include "load/Summary.h"

#include <boost/property_tree/xml_parser.hpp>

#include <sstream>

using namespace pimento;
using namespace pimento::load;

namespace {

Arrival completion(std::size_t Number, LengthClass Class, Duration At) {
  Arrival A;
  A.Number = Number;
  A.Class = Class;
  A.At = At;
  A.Account = Number % 2;
  return A;
}

Ended answered(std::size_t Number, Duration At) {
  Ended E;
  E.Number = Number;
  E.At = At;
  E.Result.AnswerId = "cmpl-" + std::to_string(Number);
  E.Result.PromptTokens = Number == 0 ? 300 : 100;
  return E;
}

Ended refused(std::size_t Number, Code Why) {
  Ended E;
  E.Number = Number;
  E.Result.Kind = ResultKind::Refused;
  E.Result.Number = Why;
  return E;
}

/// Returns a report of three completions, one of them refused.
Report threeRequests() {
  Report R = makeReport({completion(0, LengthClass::Short, seconds(1)),
                         completion(1, LengthClass::Long, seconds(2)),
                         completion(2, LengthClass::Short, seconds(3))});
  // Sent late: time to first token is measured from the planned arrival.
  reduce(R, Sent{0, milliseconds(1500)});
  reduce(R, Sent{1, seconds(2)});
  reduce(R, Token{0, seconds(2)});
  reduce(R, Token{0, milliseconds(2020)});
  reduce(R, answered(0, milliseconds(2030)));
  reduce(R, Sent{2, seconds(3)});
  reduce(R, refused(2, Code::QueueFull));
  reduce(R, Token{1, seconds(6)});
  reduce(R, answered(1, seconds(7)));
  return R;
}

RunInfo runInfo() {
  RunInfo Info;
  Info.Accounts = {{"aurora", 3.0}, {"<brisa&>", 1.0}};
  Info.Alone = true;
  return Info;
}

std::size_t index(LengthClass C) { return static_cast<std::size_t>(C); }

} // namespace

BOOST_AUTO_TEST_CASE(QuantilesAreExact) {
  std::vector<Duration> Samples;
  for (int I = 100; I != 0; --I)
    Samples.emplace_back(milliseconds(I));
  Quantiles Q = quantilesOf(Samples);
  BOOST_TEST((Q.P50 == milliseconds(50)));
  BOOST_TEST((Q.P95 == milliseconds(95)));
  BOOST_TEST((Q.P99 == milliseconds(99)));
  BOOST_TEST(quantilesOf({}).Count == 0U);
  BOOST_TEST((quantilesOf({seconds(1)}).P50 == seconds(1)));
}

BOOST_AUTO_TEST_CASE(SummaryIsComputedFromEvents) {
  Report R = threeRequests();
  Summary S = makeSummary(runInfo(), R, nullptr);
  const ClassRow &Short = S.Classes[index(LengthClass::Short)];
  BOOST_TEST(Short.Sent == 2U);
  BOOST_TEST(Short.Answered == 1U);
  BOOST_TEST(Short.Refused == 1U);
  BOOST_TEST((Short.FirstToken.P50 == seconds(1)));
  BOOST_TEST((Short.GapP95 == milliseconds(20)));
  BOOST_TEST(
      (S.Classes[index(LengthClass::Long)].FirstToken.P99 == seconds(4)));
  BOOST_TEST((S.MaxSendDelay == milliseconds(500)));
  BOOST_TEST(S.PeakInFlight == 2U);
  BOOST_TEST(S.Accounts[0].Share == 0.75);
  BOOST_TEST(S.Accounts[0].WeightShare.value_or(0) == 0.75);
  BOOST_TEST_REQUIRE(S.Refusals.size() == 1U);
  BOOST_TEST(S.Refusals[0].Number == Code::QueueFull);
  BOOST_TEST(S.Slow.Pairs == 0U);
  BOOST_TEST(exitStatus(S) == StatusOk);
}

BOOST_AUTO_TEST_CASE(SlowdownComparesTheSameRequests) {
  Report Shared = threeRequests();
  Report Alone = makeReport({completion(0, LengthClass::Short, seconds(1))});
  reduce(Alone, Sent{0, seconds(1)});
  reduce(Alone, Token{0, milliseconds(1250)});
  reduce(Alone, answered(0, milliseconds(1300)));
  Summary S = makeSummary(runInfo(), Shared, &Alone);
  BOOST_TEST(S.Slow.Pairs == 1U);
  BOOST_TEST(S.Slow.P50 == 4.0);
  BOOST_TEST(S.Slow.P95Ratio == 4.0);
}

BOOST_AUTO_TEST_CASE(ViolationsAndUnreachableHostsSetExitStatus) {
  Report DuplicateId = threeRequests();
  DuplicateId.Plan.push_back(completion(3, LengthClass::Short, seconds(4)));
  reduce(DuplicateId, Sent{3, seconds(4)});
  Ended SameId = answered(3, seconds(5));
  SameId.Result.AnswerId = "cmpl-0";
  reduce(DuplicateId, SameId);
  Summary S = makeSummary(runInfo(), DuplicateId, nullptr);
  BOOST_TEST_REQUIRE(S.Broken.size() == 1U);
  BOOST_TEST((S.Broken[0].Kind == Violation::WrongRequest));
  BOOST_TEST(exitStatus(S) == StatusViolation);

  Report NoHost = makeReport({completion(0, LengthClass::Short, seconds(0))});
  reduce(NoHost, Sent{0, seconds(0)});
  Ended Unreachable;
  Unreachable.Result.Kind = ResultKind::Unreachable;
  reduce(NoHost, Unreachable);
  BOOST_TEST(exitStatus(makeSummary(runInfo(), NoHost, nullptr)) ==
             StatusUnreachable);
}

BOOST_AUTO_TEST_CASE(AnswersOfRepeatsAreCompared) {
  std::vector<Arrival> Plan;
  for (std::size_t I = 0; I != 6; ++I) {
    Plan.push_back(completion(I, LengthClass::Short, seconds(1)));
    Plan.back().Kind = RequestKind::NonRepeatable;
    if (I % 2 == 1)
      Plan.back().RepeatOf = I - 1;
  }
  Report R = makeReport(Plan);
  for (std::size_t I = 0; I != 6; ++I) {
    reduce(R, Sent{I, seconds(1)});
    Ended E = I == 5 ? refused(I, Code::OutcomeUnknown) : Ended();
    E.Number = I;
    E.Result.Content = I == 3 ? "200\nother" : "200\nsame";
    reduce(R, E);
  }
  Summary S = makeSummary(runInfo(), R, nullptr);
  BOOST_TEST(S.Repeats.Equal == 1U);
  BOOST_TEST(S.Repeats.Different == 1U);
  BOOST_TEST(S.Repeats.Undecided == 1U);
  BOOST_TEST(exitStatus(S) == StatusViolation);
}

BOOST_AUTO_TEST_CASE(OutputIsWellFormed) {
  Report R = threeRequests();
  Ended Strange;
  Strange.Number = 9;
  reduce(R, Sent{9, seconds(9)});
  Strange.Result.Broken = Violation::InvalidRefusal;
  Strange.Result.Detail = "<script>&\x01\"]]>";
  reduce(R, Strange);
  Report Empty = makeReport({});
  for (Report *Each : {&R, &Empty}) {
    Summary S = makeSummary(runInfo(), *Each, nullptr);
    std::ostringstream Html;
    std::ostringstream Text;
    std::ostringstream Fields;
    writeHtml(Html, S);
    writeText(Text, S);
    writeJson(Fields, S);
    std::istringstream Page(Html.str());
    boost::property_tree::ptree Tree;
    BOOST_CHECK_NO_THROW(boost::property_tree::read_xml(Page, Tree));
    BOOST_TEST(Tree.get_child_optional("html.body.svg").has_value());
    BOOST_TEST(Html.str().find("<script>") == std::string::npos);
    Json Parsed = Json::parse(Fields.str());
    BOOST_TEST(Parsed["status"].get<int>() == exitStatus(S));
    BOOST_TEST(Text.str().find("client account") != std::string::npos);
  }
}
