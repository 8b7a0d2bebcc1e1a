#include <boost/test/unit_test.hpp>

#include "base/Json.h"
#include "base/Problem.h"
#include "calls/CallerApi.h"
#include "load/Load.h"
#include "load/Run.h"
#include "load/Summary.h"
#include "shell/HttpServer.h"
#include "shell/tests/Socket.h"

#include <atomic>
#include <sstream>
#include <thread>

using namespace pimento;
using namespace pimento::load;

namespace {

enum class Manner {
  Good,
  EndsEarly, // Streams end cleanly without their end marker.
  Refuses,
  Silent,
  CutsOff,
  AnswersAnew, // Each plain call hears another answer.
};

/// A host that answers as its manner says, on a thread of its own.
class FakeHost {
public:
  explicit FakeHost(Manner M) : How(M), Address(test::freeAddress()) {
    Worker = std::thread([this] { serve(); });
    while (!Ready)
      std::this_thread::yield();
  }
  ~FakeHost() {
    Stop = true;
    Worker.join();
  }
  FakeHost(const FakeHost &) = delete;
  FakeHost &operator=(const FakeHost &) = delete;

  const std::string &address() const { return Address; }
  std::size_t requests() const { return Requests; }
  std::size_t mostAtOnce() const { return MostAtOnce; }

private:
  Manner How;
  std::string Address;
  std::atomic<bool> Ready{false};
  std::atomic<bool> Stop{false};
  std::atomic<std::size_t> Requests{0};
  std::atomic<std::size_t> MostAtOnce{0};
  std::thread Worker;

  void serve() {
    EventBasePtr Base = makeEventBase();
    std::uint64_t NextExchange = 1;
    HttpServer *Server = nullptr;
    HttpServerHooks Hooks;
    Hooks.Request = [&](ExchangeId Id, HttpRequest R) {
      ++Requests;
      MostAtOnce = std::max<std::size_t>(MostAtOnce, Server->exchanges());
      answer(*Server, Id, R);
    };
    Hooks.Left = [](ExchangeId) {};
    Hooks.Drained = [](ExchangeId, std::size_t) {};
    Hooks.Refused = [](Code) {};
    HttpServerLimits Limits;
    Limits.BodyBytes = 16U << 20U;
    HttpServer Owned(Base.get(), Limits, Hooks, NextExchange);
    Server = &Owned;
    Owned.listen(Address);
    Ready = true;
    test::runUntil(Base.get(), minutes(2), [&] { return Stop.load(); });
  }

  void answer(HttpServer &Server, ExchangeId Id, HttpRequest &R) const {
    if (How == Manner::Silent)
      return;
    if (How == Manner::CutsOff)
      Server.abort(Id);
    else if (How == Manner::Refuses)
      Server.reply(Id, problemReply({Code::QueueFull, "full"}));
    else if (R.Path == "/v1/completions")
      stream(Server, Id, R);
    else
      Server.reply(Id, jsonReply(200, How == Manner::AnswersAnew
                                          ? std::to_string(Requests)
                                          : R.Body + R.Path));
  }

  void stream(HttpServer &Server, ExchangeId Id, HttpRequest &R) const {
    Json Body = Json::parse(R.Body);
    calls::CompletionHead Head;
    // Unique among hosts, as the product's ids are.
    Head.Request = RequestId{std::hash<std::string>()(Address),
                             static_cast<std::uint64_t>(Id)};
    calls::CompletionEnd End;
    End.PromptTokens = Body["prompt"].get<std::string>().size() / BytesPerToken;
    End.OutputTokens = 2;
    HttpReply Start = calls::streamHead(Head.Request);
    Server.startStream(Id, Start.Status, Start.Headers);
    for (int I = 0; I != 2; ++I)
      Server.sendChunk(Id, calls::chunkText(Head, "abc "));
    if (How != Manner::EndsEarly)
      Server.sendChunk(Id, calls::chunkEnd(Head, End));
    Server.endStream(Id);
  }
};

/// A small phase against two hosts of this manner.
struct Trial {
  FakeHost First;
  FakeHost Second;
  Target Site;
  PlanSettings Settings;
  Phase What;
  std::ostringstream Progress;

  explicit Trial(Manner M) : First(M), Second(M) {
    Site.Hosts = {First.address(), Second.address()};
    Site.Accounts = {{"aurora", "token", std::nullopt}};
    Site.Models = {"atlas"};
    Site.PlainService = "crew-ledger";
    Site.NonRepeatableCall = "signoffs";
    Settings.Rate = 300;
    Settings.Length = seconds(1);
    Settings.Requests = 120;
    Settings.Scale = 0.01;
    Settings.Hosts = 2;
    What.Name = "trial";
    What.RunName = "load-test";
    What.Site = &Site;
    What.Plan = makePlan(Settings);
    What.ExactCounts = true;
  }

  Summary run() {
    Report R = runPhase(What, Progress);
    RunFacts Facts;
    Facts.Plan = Settings;
    Facts.Accounts = {{"aurora", std::nullopt}};
    return makeSummary(Facts, R, nullptr);
  }
};

void expectOnly(const Summary &S, Breach Kind) {
  BOOST_TEST_REQUIRE(S.Broken.size() == 1U);
  BOOST_TEST((S.Broken[0].Kind == Kind));
  BOOST_TEST(exitStatus(S) == StatusBroken);
}

} // namespace

BOOST_AUTO_TEST_CASE(GoodHostsKeepTheirPromises) {
  Trial T(Manner::Good);
  Summary S = T.run();
  BOOST_TEST(S.Broken.empty());
  BOOST_TEST(S.Ended[0] == T.What.Plan.size());
  BOOST_TEST(S.Repeats.Equal > 0U);
  BOOST_TEST(S.Repeats.Different == 0U);
  BOOST_TEST(T.First.requests() + T.Second.requests() == T.What.Plan.size());
  BOOST_TEST(exitStatus(S) == StatusGood);
}

BOOST_AUTO_TEST_CASE(RefusalsAreHonest) {
  Trial T(Manner::Refuses);
  Summary S = T.run();
  BOOST_TEST_REQUIRE(S.Refusals.size() == 1U);
  BOOST_TEST(S.Refusals[0].Count == T.What.Plan.size());
  BOOST_TEST(exitStatus(S) == StatusGood);
}

BOOST_AUTO_TEST_CASE(EarlyEndsAreFound) {
  expectOnly(Trial(Manner::EndsEarly).run(), Breach::LooksWhole);
}

BOOST_AUTO_TEST_CASE(BrokenConnectionsAreFound) {
  expectOnly(Trial(Manner::CutsOff).run(), Breach::CutOff);
}

BOOST_AUTO_TEST_CASE(DifferentAnswersForOneKeyAreFound) {
  expectOnly(Trial(Manner::AnswersAnew).run(), Breach::DifferentAnswers);
}

BOOST_AUTO_TEST_CASE(SilenceIsGivenUpAndNeverPassesTheBound) {
  Trial T(Manner::Silent);
  T.What.InFlight = 16;
  T.What.Plan.resize(40);
  T.What.Grace = milliseconds(100);
  for (Arrival &A : T.What.Plan)
    A.Limit = milliseconds(300);
  Summary S = T.run();
  expectOnly(S, Breach::NoAnswer);
  BOOST_TEST(S.Broken[0].Count == 40U);
  BOOST_TEST(S.MostInFlight == 16U);
  BOOST_TEST(T.First.mostAtOnce() <= 16U);
}

BOOST_AUTO_TEST_CASE(AbsentHostsAreUnreachable) {
  Trial T(Manner::Good);
  T.Site.Hosts = {test::freeAddress(), test::freeAddress()};
  BOOST_TEST(exitStatus(T.run()) == StatusUnreachable);
}

BOOST_AUTO_TEST_CASE(CommandSaysWhatIsWrong) {
  std::ostringstream Out;
  std::ostringstream Err;
  BOOST_TEST(loadCommand({"--rate=9999"}, Out, Err) == StatusUsage);
  BOOST_TEST(Err.str().find("2000") != std::string::npos);
  BOOST_TEST(loadCommand({"--help"}, Out, Err) == StatusGood);
  BOOST_TEST(Out.str().find("100000") != std::string::npos);
}
