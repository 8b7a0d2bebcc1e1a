#include <boost/test/unit_test.hpp>

#include "fakes/AnswerText.h"
#include "fakes/EngineServer.h"
#include "fakes/tests/TestClient.h"

#include <set>
#include <string>

using namespace pimento;
using namespace pimento::fakes;

namespace {

std::string attemptId(std::uint32_t Number) {
  return std::string(31, '0') + "1-" + std::to_string(Number);
}

EngineOptions quickOptions() {
  EngineOptions Options;
  Options.Config.DecodeInterval = milliseconds(1);
  Options.Config.ResumeTime = milliseconds(500);
  return Options;
}

/// One engine server and a client on one loop.
struct Fixture {
  TestClient Client;
  EnginePtr Server;
  std::string At;
  std::string Prompt = "Summarise the file of one trainee.";

  Fixture() { start(quickOptions()); }

  void start(const EngineOptions &Options) {
    std::string Error;
    Server = startEngine(Client.Base.get(), Options, Error);
    BOOST_TEST_REQUIRE((Server != nullptr), Error);
    At = address(*Server);
  }

  Json body(std::uint32_t Number, std::uint64_t Max) const {
    return {{"attempt", attemptId(Number)},
            {"model", "base"},
            {"prompt", Prompt},
            {"max_tokens", Max},
            {"weight", 1},
            {"epoch", 1}};
  }
  ExchangePtr generate(std::uint32_t Number, std::uint64_t Max) {
    return Client.post(At, "/v1/generate", body(Number, Max));
  }
  ExchangePtr resume(std::uint32_t Number, std::uint64_t Offset) {
    return Client.get(At, "/v1/attempts/" + attemptId(Number) +
                              "/stream?offset=" + std::to_string(Offset));
  }
  void set(const Json &Switches) {
    ExchangePtr E = Client.post(At, "/fake/switches", Switches);
    BOOST_TEST_REQUIRE(Client.finish(E));
    BOOST_TEST_REQUIRE(E->Status == 200, E->Body);
  }
  ExchangePtr cancel(std::uint32_t Number) {
    HttpCall Call;
    Call.Address = At;
    Call.Method = EVHTTP_REQ_DELETE;
    Call.Path = "/v1/attempts/" + attemptId(Number);
    ExchangePtr E = Client.call(Call);
    BOOST_TEST_REQUIRE(Client.finish(E));
    return E;
  }
  Json json(const std::string &Path) {
    ExchangePtr E = Client.get(At, Path);
    BOOST_TEST_REQUIRE(Client.finish(E));
    return Json::parse(E->Body);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EngineOverHttp, Fixture)

BOOST_AUTO_TEST_CASE(AnswerIsComplete) {
  ExchangePtr E = generate(1, 200);
  BOOST_TEST_REQUIRE(Client.finish(E));
  Events Got = readEvents(E->Body, attemptId(1));
  BOOST_TEST(E->Whole);
  BOOST_TEST(Got.Text == answerText(Prompt, 0, 200));
  BOOST_TEST(Got.End["output_tokens"] == 200);
  BOOST_TEST(Got.End["prompt_tokens"] == tokensOf(Prompt));
  BOOST_TEST(Got.End["finish"] == "length");
  BOOST_TEST(Got.OtherIds.empty());
  BOOST_TEST(model(*Server).UsedTokens == 0U);
}

BOOST_AUTO_TEST_CASE(TruncatedAnswerResumesAtItsOffset) {
  set({{"cut_after_tokens", 20}, {"count", 1}});
  ExchangePtr E = generate(1, 50);
  BOOST_TEST_REQUIRE(Client.finish(E));
  Events First = readEvents(E->Body, attemptId(1));
  BOOST_TEST(!E->Whole);
  BOOST_TEST(First.End.is_null());
  BOOST_TEST(First.Text == answerText(Prompt, 0, 20));
  ExchangePtr Rest = resume(1, 20);
  BOOST_TEST_REQUIRE(Client.finish(Rest));
  Events Second = readEvents(Rest->Body, attemptId(1));
  BOOST_TEST(First.Text + Second.Text == answerText(Prompt, 0, 50));
  BOOST_TEST(!Second.End.is_null());
}

BOOST_AUTO_TEST_CASE(AnswerCanBeTruncatedAtAnyByte) {
  for (std::uint32_t Bytes : {0U, 1U, 100U, 333U}) {
    set({{"cut_after_bytes", Bytes}, {"count", 1}});
    ExchangePtr E = generate(Bytes + 1, 50);
    BOOST_TEST_REQUIRE(Client.finish(E));
    BOOST_TEST(!E->Whole);
    std::size_t Comment = Bytes == 0 ? E->Body.size() : 0;
    BOOST_TEST(E->Body.size() == Bytes + Comment);
  }
}

BOOST_AUTO_TEST_CASE(AttemptOfADisconnectedCallerExpires) {
  ExchangePtr E = generate(1, 100000);
  BOOST_TEST_REQUIRE(Client.run([&] { return !E->Body.empty(); }));
  Client.leave(E);
  BOOST_TEST(model(*Server).UsedTokens > 100000U);
  BOOST_TEST(Client.run([&] { return model(*Server).UsedTokens == 0; }));
  ExchangePtr Late = resume(1, 0);
  BOOST_TEST_REQUIRE(Client.finish(Late));
  BOOST_TEST(Late->Status == 404);
}

BOOST_AUTO_TEST_CASE(ACancelEndsTheStreamWithAnError) {
  ExchangePtr E = generate(1, 100000);
  BOOST_TEST_REQUIRE(Client.run([&] { return !E->Body.empty(); }));
  BOOST_TEST(cancel(1)->Status == 200);
  BOOST_TEST(model(*Server).UsedTokens == 0U);
  BOOST_TEST(cancel(1)->Status == 404);
  BOOST_TEST_REQUIRE(Client.finish(E));
  Events Got = readEvents(E->Body, attemptId(1));
  BOOST_TEST(Got.Errors.size() == 1U);
  BOOST_TEST(Got.End.is_null());
}

BOOST_AUTO_TEST_CASE(RefusalsAreMarkedAsNotRun) {
  set({{"refuse", "memory"}, {"count", 1}});
  ExchangePtr E = generate(1, 5);
  BOOST_TEST_REQUIRE(Client.finish(E));
  BOOST_TEST(E->Status == 503);
  BOOST_TEST(E->NotRun);
  E = generate(2, 1000000000);
  BOOST_TEST_REQUIRE(Client.finish(E));
  BOOST_TEST(E->Status == 409);
  BOOST_TEST(E->NotRun);
  for (const char *Bad : {"", "[]", "{}", "{\"attempt\": 1}", "nonsense"}) {
    HttpCall Call{At, EVHTTP_REQ_POST, "/v1/generate", Bad};
    E = Client.call(Call);
    BOOST_TEST_REQUIRE(Client.finish(E));
    BOOST_TEST(E->Status == 400);
    BOOST_TEST(E->NotRun);
  }
}

BOOST_AUTO_TEST_CASE(CrossedEventsCarryAnotherId) {
  set({{"crossed_share", 0.5}});
  ExchangePtr Other = generate(2, 60);
  ExchangePtr E = generate(1, 60);
  BOOST_TEST_REQUIRE(Client.finish(E));
  Events Got = readEvents(E->Body, attemptId(1));
  BOOST_TEST(!Got.OtherIds.empty());
  BOOST_TEST(Got.OtherIds.size() + Got.Offsets.size() == 60U);
  for (const std::string &Id : Got.OtherIds)
    BOOST_TEST(Id == attemptId(2));
}

BOOST_AUTO_TEST_CASE(DuplicatedEventsRepeatTheirOffset) {
  set({{"duplicated_share", 0.5}});
  ExchangePtr E = generate(1, 60);
  BOOST_TEST_REQUIRE(Client.finish(E));
  Events Got = readEvents(E->Body, attemptId(1));
  std::set<std::uint64_t> Distinct(Got.Offsets.begin(), Got.Offsets.end());
  BOOST_TEST(Distinct.size() == 60U);
  BOOST_TEST(Got.Offsets.size() > 60U);
}

BOOST_AUTO_TEST_CASE(SilentStreamsSendNothingUntilTheSwitchIsCleared) {
  set({{"silent", true}});
  ExchangePtr E = generate(1, 10);
  BOOST_TEST_REQUIRE(
      Client.run([&] { return model(*Server).Attempts.size() == 1; }));
  Client.pass(milliseconds(700));
  BOOST_TEST(!E->Done);
  BOOST_TEST(E->Body.empty());
  set({{"silent", false}});
  BOOST_TEST_REQUIRE(Client.finish(E));
  BOOST_TEST(readEvents(E->Body, attemptId(1)).Text ==
             answerText(Prompt, 0, 10));
}

BOOST_AUTO_TEST_CASE(MutedRequestsGetNoReply) {
  set({{"mute", true}, {"count", 1}});
  ExchangePtr Muted = generate(1, 10);
  BOOST_TEST_REQUIRE(
      Client.run([&] { return model(*Server).Attempts.size() == 1; }));
  ExchangePtr E = generate(2, 10);
  BOOST_TEST_REQUIRE(Client.finish(E));
  BOOST_TEST(E->Whole);
  BOOST_TEST(Muted->Status == 0);
  Client.leave(Muted);
  BOOST_TEST(Client.run([&] { return model(*Server).Attempts.empty(); }));
}

BOOST_AUTO_TEST_CASE(FailedAttemptsEndWithAnErrorEvent) {
  set({{"fail_after_tokens", 3}, {"count", 1}});
  ExchangePtr E = generate(1, 10);
  BOOST_TEST_REQUIRE(Client.finish(E));
  Events Got = readEvents(E->Body, attemptId(1));
  BOOST_TEST(Got.Text == answerText(Prompt, 0, 3));
  BOOST_TEST(Got.Errors.size() == 1U);
  BOOST_TEST(Got.End.is_null());
}

BOOST_AUTO_TEST_CASE(ASlowReaderCostsNoMemoryForTheAnswer) {
  EngineOptions Options = quickOptions();
  Options.Config.DecodeInterval = microseconds(20);
  start(Options);
  ExchangePtr E = generate(1, 50000);
  BOOST_TEST_REQUIRE(Client.finish(E));
  BOOST_TEST(readEvents(E->Body, attemptId(1)).Text ==
             answerText(Prompt, 0, 50000));
}

BOOST_AUTO_TEST_CASE(MemoryIsListedByHolder) {
  ExchangePtr E = generate(1, 100000);
  ExchangePtr R = Client.post(
      At, "/v1/reservations",
      {{"attempt", attemptId(2)}, {"tokens", 77}, {"lease_ms", 60000}});
  BOOST_TEST_REQUIRE(Client.finish(R));
  BOOST_TEST_REQUIRE(Client.run([&] { return !E->Body.empty(); }));
  Json Memory = json("/v1/memory");
  BOOST_TEST(Memory["held"].size() == 2U);
  std::uint64_t Sum = 0;
  for (const Json &Row : Memory["held"])
    Sum += Row["tokens"].get<std::uint64_t>();
  BOOST_TEST(Memory["used_tokens"] == Sum);
  BOOST_TEST(json("/v1/attempts/" + attemptId(2))["tokens"] == 77);
  BOOST_TEST(cancel(2)->Status == 200);
  set({{"leak_cancels", 2}});
  BOOST_TEST(cancel(1)->Status == 202);
  BOOST_TEST(cancel(1)->Status == 200);
  BOOST_TEST(json("/v1/memory")["used_tokens"] == 0);
}

BOOST_AUTO_TEST_CASE(OrdersChangeTheModels) {
  EngineOptions Options = quickOptions();
  Options.Orders.LoadTime = milliseconds(50);
  Options.Orders.StoreRate = 1e12;
  start(Options);
  Json Load = {{"fence", 5}, {"order", "load"}, {"name", "adapter"}};
  ExchangePtr E = Client.post(At, "/v1/orders", Load);
  BOOST_TEST_REQUIRE(Client.finish(E));
  BOOST_TEST(E->Status == 202);
  BOOST_TEST(
      Client.run([&] { return model(*Server).Models.count("adapter") == 1; }));
  Load["fence"] = 4;
  E = Client.post(At, "/v1/orders", Load);
  BOOST_TEST_REQUIRE(Client.finish(E));
  BOOST_TEST(E->Status == 409);
  BOOST_TEST(Json::parse(E->Body)["fence"] == 5);
  BOOST_TEST(json("/v1/state")["models"].size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
