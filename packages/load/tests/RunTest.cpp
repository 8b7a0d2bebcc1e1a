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

enum class HostBehavior {
  Correct,
  EndsEarly, // Streams end cleanly without an end marker.
  Refuses,
  NeverReplies,
  ClosesConnection,
  ReturnsDifferentAnswers, // Each plain call gets a different answer.
};

/// Fake host with the given behavior, on its own thread.
class FakeHost {
public:
  explicit FakeHost(HostBehavior B)
      : Behavior(B), Address(test::freeAddress()) {
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
  std::size_t peakConcurrency() const { return PeakConcurrency; }

private:
  HostBehavior Behavior;
  std::string Address;
  std::atomic<bool> Ready{false};
  std::atomic<bool> Stop{false};
  std::atomic<std::size_t> Requests{0};
  std::atomic<std::size_t> PeakConcurrency{0};
  std::thread Worker;

  void serve() {
    EventBasePtr Base = makeEventBase();
    std::uint64_t NextExchange = 1;
    HttpServer *Server = nullptr;
    HttpServerHooks Hooks;
    Hooks.Request = [&](ExchangeId Id, HttpRequest R) {
      ++Requests;
      PeakConcurrency =
          std::max<std::size_t>(PeakConcurrency, Server->exchanges());
      answer(*Server, Id, R);
    };
    Hooks.Left = [](ExchangeId, ConnectionEnd) {};
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
    if (Behavior == HostBehavior::NeverReplies)
      return;
    if (Behavior == HostBehavior::ClosesConnection)
      Server.abort(Id);
    else if (Behavior == HostBehavior::Refuses)
      Server.reply(Id, problemReply({Code::QueueFull, "full"}));
    else if (R.Path == "/v1/completions")
      stream(Server, Id, R);
    else
      Server.reply(
          Id, jsonReply(200, Behavior == HostBehavior::ReturnsDifferentAnswers
                                 ? std::to_string(Requests)
                                 : R.Body + R.Path));
  }

  void stream(HttpServer &Server, ExchangeId Id, HttpRequest &R) const {
    Json Body = Json::parse(R.Body);
    calls::CompletionHead Head;
    // Unique for all hosts, as required of request ids.
    Head.Request = RequestId{std::hash<std::string>()(Address),
                             static_cast<std::uint64_t>(Id)};
    calls::CompletionEnd End;
    End.PromptTokens = Body["prompt"].get<std::string>().size() / BytesPerToken;
    End.OutputTokens = 2;
    HttpReply Start = calls::streamHead(Head.Request);
    Server.startStream(Id, Start.Status, Start.Headers);
    for (int I = 0; I != 2; ++I)
      Server.sendChunk(Id, calls::chunkText(Head, "abc "));
    if (Behavior != HostBehavior::EndsEarly)
      Server.sendChunk(Id, calls::chunkEnd(Head, End));
    Server.endStream(Id);
  }
};

/// A small phase against two hosts with the same behavior.
struct PhaseFixture {
  FakeHost First;
  FakeHost Second;
  Target Site;
  PlanSettings Settings;
  Phase TestPhase;
  std::ostringstream Progress;

  explicit PhaseFixture(HostBehavior B) : First(B), Second(B) {
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
    TestPhase.Name = "trial";
    TestPhase.RunName = "load-test";
    TestPhase.Site = &Site;
    TestPhase.Plan = makePlan(Settings);
    TestPhase.ExactCounts = true;
  }

  Summary run() {
    Report R = runPhase(TestPhase, Progress);
    RunInfo Info;
    Info.Plan = Settings;
    Info.Accounts = {{"aurora", std::nullopt}};
    return makeSummary(Info, R, nullptr);
  }
};

void expectOnly(const Summary &S, Violation Kind) {
  BOOST_TEST_REQUIRE(S.Broken.size() == 1U);
  BOOST_TEST((S.Broken[0].Kind == Kind));
  BOOST_TEST(exitStatus(S) == StatusViolation);
}

} // namespace

BOOST_AUTO_TEST_CASE(CorrectHostsCauseNoViolation) {
  PhaseFixture T(HostBehavior::Correct);
  Summary S = T.run();
  BOOST_TEST(S.Broken.empty());
  BOOST_TEST(S.Ended[0] == T.TestPhase.Plan.size());
  BOOST_TEST(S.Repeats.Equal > 0U);
  BOOST_TEST(S.Repeats.Different == 0U);
  BOOST_TEST(T.First.requests() + T.Second.requests() ==
             T.TestPhase.Plan.size());
  BOOST_TEST(exitStatus(S) == StatusOk);
}

BOOST_AUTO_TEST_CASE(RefusalsWithCodeAreNoViolation) {
  PhaseFixture T(HostBehavior::Refuses);
  Summary S = T.run();
  BOOST_TEST_REQUIRE(S.Refusals.size() == 1U);
  BOOST_TEST(S.Refusals[0].Count == T.TestPhase.Plan.size());
  BOOST_TEST(exitStatus(S) == StatusOk);
}

BOOST_AUTO_TEST_CASE(StreamsWithoutEndMarkerAreDetected) {
  expectOnly(PhaseFixture(HostBehavior::EndsEarly).run(),
             Violation::IncompleteAnswer);
}

BOOST_AUTO_TEST_CASE(ClosedConnectionsAreDetected) {
  expectOnly(PhaseFixture(HostBehavior::ClosesConnection).run(),
             Violation::ConnectionLost);
}

BOOST_AUTO_TEST_CASE(DifferentAnswersForOneKeyAreDetected) {
  expectOnly(PhaseFixture(HostBehavior::ReturnsDifferentAnswers).run(),
             Violation::DifferentAnswers);
}

BOOST_AUTO_TEST_CASE(UnansweredRequestsAreAbortedWithinInFlightLimit) {
  PhaseFixture T(HostBehavior::NeverReplies);
  T.TestPhase.InFlight = 16;
  T.TestPhase.Plan.resize(40);
  T.TestPhase.Grace = milliseconds(100);
  for (Arrival &A : T.TestPhase.Plan)
    A.Limit = milliseconds(300);
  Summary S = T.run();
  expectOnly(S, Violation::NoAnswer);
  BOOST_TEST(S.Broken[0].Count == 40U);
  BOOST_TEST(S.PeakInFlight == 16U);
  BOOST_TEST(T.First.peakConcurrency() <= 16U);
}

BOOST_AUTO_TEST_CASE(MissingHostsAreUnreachable) {
  PhaseFixture T(HostBehavior::Correct);
  T.Site.Hosts = {test::freeAddress(), test::freeAddress()};
  BOOST_TEST(exitStatus(T.run()) == StatusUnreachable);
}

BOOST_AUTO_TEST_CASE(CommandReportsArgumentErrors) {
  std::ostringstream Out;
  std::ostringstream Err;
  BOOST_TEST(loadCommand({"--rate=9999"}, Out, Err) == StatusUsage);
  BOOST_TEST(Err.str().find("2000") != std::string::npos);
  BOOST_TEST(loadCommand({"--help"}, Out, Err) == StatusOk);
  BOOST_TEST(Out.str().find("100000") != std::string::npos);
}
