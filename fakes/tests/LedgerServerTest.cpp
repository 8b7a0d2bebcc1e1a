#include <boost/test/unit_test.hpp>

#include "base/Token.h"
#include "fakes/LedgerServer.h"
#include "fakes/tests/TestClient.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>

using namespace pimento;
using namespace pimento::fakes;

namespace {

/// A temporary folder, removed by the destructor.
struct Folder {
  std::filesystem::path Path;

  Folder() {
    std::string Name =
        (std::filesystem::temp_directory_path() / "ledger-XXXXXX").string();
    BOOST_TEST_REQUIRE(mkdtemp(Name.data()) != nullptr);
    Path = Name;
  }
  ~Folder() { std::filesystem::remove_all(Path); }
  Folder(const Folder &) = delete;
  Folder &operator=(const Folder &) = delete;
};

struct Fixture {
  Folder Where;
  TestClient Client;
  LedgerPtr Server;
  std::string At;

  Fixture() {
    LedgerOptions Options;
    Options.JournalPath = (Where.Path / "journal.jsonl").string();
    std::string Error;
    Server = startLedger(Client.Base.get(), Options, Error);
    BOOST_TEST_REQUIRE((Server != nullptr), Error);
    At = address(*Server);
  }

  HttpCall signOff(const std::string &Request) const {
    HttpCall Call;
    Call.Address = At;
    Call.Method = EVHTTP_REQ_POST;
    Call.Path = "/signoffs";
    Call.Body = "{\"drill\":7}";
    Call.Headers = {{"X-Request-Id", Request},
                    {"Idempotency-Key", "key of " + Request},
                    {"X-Client-Account", "airline"}};
    return Call;
  }
  ExchangePtr send(const std::string &Request) {
    ExchangePtr E = Client.call(signOff(Request));
    BOOST_TEST_REQUIRE(Client.finish(E));
    return E;
  }
  void set(const Json &Switches) {
    ExchangePtr E = Client.post(At, "/fake/switches", Switches);
    BOOST_TEST_REQUIRE(Client.finish(E));
    BOOST_TEST_REQUIRE(E->Status == 200, E->Body);
  }
  std::vector<Json> journal() const {
    std::vector<Json> Lines;
    std::ifstream In(Where.Path / "journal.jsonl");
    std::string Line;
    while (std::getline(In, Line))
      Lines.push_back(Json::parse(Line));
    return Lines;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LedgerOverHttp, Fixture)

BOOST_AUTO_TEST_CASE(EachCallRunsAsOftenAsItIsSent) {
  ExchangePtr E = send("r1");
  BOOST_TEST(E->Status == 200);
  BOOST_TEST(E->RequestId == "r1");
  send("r1");
  auto Lines = journal();
  BOOST_TEST_REQUIRE(Lines.size() == 2U);
  BOOST_TEST(Lines[0]["key"] == "key of r1");
  BOOST_TEST(Lines[0]["account"] == "airline");
  BOOST_TEST(Lines[0]["path"] == "/signoffs");
  BOOST_TEST(Lines[0]["body_sha256"] == sha256Hex("{\"drill\":7}"));
  BOOST_TEST(Lines[0]["at_ms"].get<std::int64_t>() > 0);
}

BOOST_AUTO_TEST_CASE(ReadsAreNotJournaled) {
  ExchangePtr A = Client.get(At, "/lookups/portfolio/1");
  BOOST_TEST_REQUIRE(Client.finish(A));
  ExchangePtr B = Client.get(At, "/lookups/portfolio/1");
  BOOST_TEST_REQUIRE(Client.finish(B));
  BOOST_TEST(A->Status == 200);
  BOOST_TEST(A->Body == B->Body);
  BOOST_TEST(journal().empty());
}

BOOST_AUTO_TEST_CASE(ARefusedCallDidNotRun) {
  set({{"refuse", true}, {"count", 1}});
  ExchangePtr E = send("r1");
  BOOST_TEST(E->Status == 503);
  BOOST_TEST(E->NotRun);
  BOOST_TEST(journal().empty());
  BOOST_TEST(send("r1")->Status == 200);
  set({{"leaving", true}});
  E = send("r2");
  BOOST_TEST(E->NotRun);
  BOOST_TEST(journal().size() == 1U);
}

BOOST_AUTO_TEST_CASE(CallsThatFailAfterRunningAreJournaled) {
  set({{"error_after_run", true}, {"count", 1}});
  ExchangePtr E = send("r1");
  BOOST_TEST(E->Status == 500);
  BOOST_TEST(!E->NotRun);
  set({{"cut_after_bytes", 40}, {"count", 1}});
  E = send("r2");
  BOOST_TEST(!E->Whole);
  set({{"cut_after_bytes", 0}, {"count", 1}});
  E = send("r3");
  BOOST_TEST(E->Status == 0);
  BOOST_TEST(journal().size() == 3U);
}

BOOST_AUTO_TEST_CASE(ASilentCallRunsAndIsNeverAnswered) {
  set({{"silent", true}, {"count", 1}});
  ExchangePtr Silent = Client.call(signOff("r1"));
  BOOST_TEST_REQUIRE(Client.run([&] { return journal().size() == 1; }));
  BOOST_TEST(send("r2")->Status == 200);
  BOOST_TEST(!Silent->Done);
  Client.leave(Silent);
  BOOST_TEST(send("r3")->Status == 200);
}

BOOST_AUTO_TEST_CASE(ASlowCallRunsBeforeItWaits) {
  set({{"slow_ms", 300}});
  ExchangePtr E = Client.call(signOff("r1"));
  BOOST_TEST_REQUIRE(Client.run([&] { return journal().size() == 1; }));
  BOOST_TEST(!E->Done);
  BOOST_TEST_REQUIRE(Client.finish(E));
  BOOST_TEST(E->Status == 200);
}

BOOST_AUTO_TEST_CASE(DelayedCallIsNotJournaledBeforeItRuns) {
  set({{"slow_start_ms", 500}});
  ExchangePtr E = Client.call(signOff("r1"));
  Client.pass(milliseconds(100));
  BOOST_TEST(journal().empty());
  BOOST_TEST_REQUIRE(Client.finish(E));
  BOOST_TEST(journal().size() == 1U);
}

BOOST_AUTO_TEST_CASE(CrossedAnswersBelongToTheCallBefore) {
  send("r1");
  set({{"crossed", true}, {"count", 1}});
  ExchangePtr E = send("r2");
  BOOST_TEST(E->RequestId == "r1");
  BOOST_TEST(Json::parse(E->Body)["key"] == "key of r1");
  BOOST_TEST(send("r3")->RequestId == "r3");
}

BOOST_AUTO_TEST_CASE(IdleConnectionCanStopResponding) {
  ExchangePtr First = send("r1");
  ExchangePtr Kept = Client.again(First, signOff("r2"));
  BOOST_TEST_REQUIRE(Client.finish(Kept));
  BOOST_TEST(Kept->Status == 200);
  set({{"half_open", "mute"}, {"half_open_after_ms", 50}});
  Kept = Client.again(First, signOff("r3"));
  BOOST_TEST_REQUIRE(Client.finish(Kept));
  Client.pass(milliseconds(300));
  Kept = Client.again(First, signOff("r4"));
  Client.pass(milliseconds(300));
  BOOST_TEST(!Kept->Done);
  BOOST_TEST(journal().size() == 3U);
}

BOOST_AUTO_TEST_CASE(IdleConnectionCanBecomeHalfClosed) {
  set({{"half_open", "fin"}, {"half_open_after_ms", 50}});
  ExchangePtr First = send("r1");
  Client.pass(milliseconds(300));
  // The client sees the end of the stream and connects anew.
  ExchangePtr Next = Client.again(First, signOff("r2"));
  BOOST_TEST_REQUIRE(Client.finish(Next));
  BOOST_TEST(Next->Status == 200);
  BOOST_TEST(journal().size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
