#include <boost/test/unit_test.hpp>

#include "ctl/Present.h"
#include "ctl/tests/Fakes.h"

using namespace pimento;
using namespace pimento::ctl;
using namespace pimento::ctl::test;

namespace {

Output show(CommandKind Kind, const HttpReply &Reply, bool Json = false) {
  Command C;
  C.Kind = Kind;
  C.Service = ServiceId("crew-ledger");
  Exchange E;
  E.Answered = true;
  E.Address = "127.0.0.1:1";
  E.Reply = Reply;
  return present(C, "edit-7", Json, E);
}

Output show(CommandKind Kind, const std::string &Body, bool Json = false) {
  return show(Kind, jsonReply(200, Body), Json);
}

bool has(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

void expectExit(const Output &O, ExitCode Exit) {
  BOOST_TEST(static_cast<int>(O.Exit) == static_cast<int>(Exit), O.Err);
}

} // namespace

BOOST_AUTO_TEST_CASE(ProblemsAreShownWithTheirNumber) {
  Problem P;
  P.Number = Code::NoLeader;
  P.Detail = "an election \x1b[2J goes on";
  P.RetryAfter = seconds(1);
  HttpReply Reply = problemReply(P);
  Output O = show(CommandKind::DocumentPut, Reply);
  expectExit(O, ExitCode::Refused);
  BOOST_TEST(O.Out.empty());
  BOOST_TEST(O.Err == "error 403 NoLeader: The control hosts have no leader\n"
                      "an election ?[2J goes on\n"
                      "outcome: not_run\n"
                      "try again after 1 s\n");
  BOOST_TEST(!has(O.Err, "lost"));
  O = show(CommandKind::DocumentPut, Reply, true);
  expectExit(O, ExitCode::Refused);
  BOOST_TEST(O.Out == Reply.Body);
}

BOOST_AUTO_TEST_CASE(AllDocumentErrorsAreShown) {
  HttpReply Reply = answered(Code::DocumentInvalid).Reply;
  Reply.Body = R"({"code":400,"name":"DocumentInvalid","title":"t","errors":[
    {"path":"number","expected":"one","found":"two"},
    {"path":"","expected":"JSON","found":"none"}]})";
  Output O = show(CommandKind::DocumentPut, Reply);
  expectExit(O, ExitCode::InvalidInput);
  BOOST_TEST(has(O.Err, "  number: expected one, found two\n"));
  BOOST_TEST(has(O.Err, "  the whole text: expected JSON, found none\n"));
}

BOOST_AUTO_TEST_CASE(ProblemsHaveDistinctExitCodes) {
  const std::pair<Code, ExitCode> Expected[] = {
      {Code::DocumentConflict, ExitCode::Conflict},
      {Code::EditIdReused, ExitCode::Conflict},
      {Code::Unauthorized, ExitCode::Unauthorized},
      {Code::UnknownService, ExitCode::UnknownService},
      {Code::ControlUnavailable, ExitCode::Refused},
      {Code::EditUnknown, ExitCode::OutcomeUnknown},
      {Code::StorageFailed, ExitCode::Failed},
  };
  for (const auto &[Number, Exit] : Expected)
    expectExit(show(CommandKind::Status, answered(Number).Reply), Exit);
  HttpReply Strange{404, {{"Content-Type", "text/html"}}, "<html>"};
  expectExit(show(CommandKind::Status, Strange), ExitCode::Failed);
  expectExit(show(CommandKind::Status, "<html>"), ExitCode::Failed);
}

BOOST_AUTO_TEST_CASE(UnsettledEditIsReportedAsUnknown) {
  Command C;
  C.Kind = CommandKind::DocumentPut;
  Exchange E;
  E.Unsettled = true;
  E.Failures = "127.0.0.1:1: connection closed";
  E.Answered = true; // The last reply is a refusal by another host.
  E.Reply = answered(Code::NoLeader).Reply;
  Output O = present(C, "edit-7", false, E);
  expectExit(O, ExitCode::OutcomeUnknown);
  BOOST_TEST(has(O.Err, "may or may not have been accepted"));
  BOOST_TEST(has(O.Err, "edit-7"));
  O = present(C, "edit-7", true, E);
  expectExit(O, ExitCode::OutcomeUnknown);
  BOOST_TEST(has(O.Out, R"("outcome":"unknown")"));
  expectExit(present(C, "edit-7", false, Exchange()), ExitCode::Unreachable);
}

BOOST_AUTO_TEST_CASE(AcceptedEditShowsItsNumber) {
  Output O =
      show(CommandKind::DocumentPut, R"({"number":2,"outcome":"accepted"})");
  expectExit(O, ExitCode::Ok);
  BOOST_TEST(O.Out == "crew-ledger: number 2 accepted\n");
}

BOOST_AUTO_TEST_CASE(DocumentIsPrintedByteForByte) {
  std::string Text = "{ \"number\" : 1,\n\t\"service\": \"a\" }";
  BOOST_TEST(show(CommandKind::DocumentGet, Text).Out == Text);
}

BOOST_AUTO_TEST_CASE(HistoryIsPrintedAsTable) {
  Output O = show(CommandKind::DocumentHistory, R"({"versions":[
    {"number":1,"edit_id":"first","text_sha256":"0123456789abcdef0123456789",
     "at_ms":86400000,"text_kept":true}]})");
  expectExit(O, ExitCode::Ok);
  BOOST_TEST(O.Out ==
             "number  at                    edit_id  text_sha256      "
             "text_kept\n"
             "1       1970-01-02 00:00:00Z  first    0123456789ab...  yes\n");
  expectExit(show(CommandKind::DocumentHistory, R"({"versions":[]})"),
             ExitCode::UnknownService);
}

BOOST_AUTO_TEST_CASE(InForceCountsTheHosts) {
  Output O = show(CommandKind::InForce, R"({"hosts":[
    {"host":"a","number":2,"serving":true,"age_ms":3},
    {"host":"b","number":1,"serving":true,"age_ms":4},
    {"host":"c","number":null}]})");
  expectExit(O, ExitCode::Ok);
  BOOST_TEST(O.Out == "host  number  serving  age_ms\n"
                      "a     2       yes      3\n"
                      "b     1       yes      4\n"
                      "c     -       -        -\n"
                      "number 2 is in force and served at 1 of 3 hosts\n");
  std::string Nowhere = R"({"hosts":[{"host":"a","number":0,"serving":true}]})";
  expectExit(show(CommandKind::InForce, Nowhere), ExitCode::UnknownService);
  expectExit(show(CommandKind::InForce, Nowhere, true),
             ExitCode::UnknownService);
}

BOOST_AUTO_TEST_CASE(StatusShowsKnownAndUnknownParts) {
  Output O = show(CommandKind::Status, R"({"host":"north-1","new_part":[1],
    "fresh":{"serving":true,"reason":"fresh","age_ms":null},
    "documents":{"crew-ledger":3},"cells":[],"claims":[],
    "orders":{"issuing":true,"engines":[{"backend":"e1","target":"m"}]},
    "logs":[{"group":0,"role":"leader","members":[
      {"host":"south-1","learner":false,"synced":9}]},
      {"group":1,"role":"follower","members":[
      {"host":"north-1","learner":false,"synced":4},
      {"host":"south-1","learner":true,"synced":0}]}]})");
  expectExit(O, ExitCode::Ok);
  for (const char *Part :
       {"new_part       [1]\n", "age_ms   -\n", "crew-ledger  3\n", "e1",
        "0      south-1  voter    9       -           -\n",
        "1      north-1  voter    4       -           -\n",
        "1      south-1  learner  -       -           -\n", "claims\nnone\n"})
    BOOST_TEST(has(O.Out, Part), Part << O.Out);
}

BOOST_AUTO_TEST_CASE(MalformedRepliesDoNotThrow) {
  for (CommandKind Kind :
       {CommandKind::Status, CommandKind::Hosts, CommandKind::Backends,
        CommandKind::InForce, CommandKind::DocumentHistory,
        CommandKind::DocumentPut, CommandKind::QuarantineList,
        CommandKind::QuarantineLift}) {
    for (const char *Body :
         {"{}", R"({"hosts":3,"backends":3,"versions":3,"number":[]})",
          R"({"hosts":[3],"backends":[3],"versions":[3],"logs":[3]})",
          R"({"parts":3,"lifted":[3]})", R"({"parts":[3],"lifted":{}})",
          R"({"logs":[{"members":[3]}],"orders":3,"documents":3,"fresh":3})",
          R"({"hosts":[{"host":{}}],"versions":[{"at_ms":9e99}]})"})
      BOOST_CHECK_NO_THROW(show(Kind, Body));
  }
}
