#include <boost/test/unit_test.hpp>

#include "fakes/AnswerText.h"
#include "fakes/EngineServer.h"
#include "fakes/tests/TestClient.h"

#include <deque>

using namespace pimento;
using namespace pimento::fakes;

namespace {

const std::string Id = std::string(31, '0') + "1-1";

/// Three engines of 1000 tokens each and a prompt of 2500.
struct Fixture {
  TestClient Client;
  std::vector<EnginePtr> Servers;
  std::string Prompt = std::string(10000, 'p');

  Fixture() {
    for (int I = 0; I < 3; ++I) {
      EngineOptions Options;
      Options.Config.MemoryTokens = 1000;
      Options.Config.DecodeInterval = milliseconds(5);
      std::string Error;
      Servers.push_back(startEngine(Client.Base.get(), Options, Error));
      BOOST_TEST_REQUIRE((Servers.back() != nullptr), Error);
    }
  }

  std::string at(std::size_t I) const { return address(*Servers[I]); }

  int reserve(std::size_t I, std::uint64_t Tokens, std::uint64_t LeaseMs) {
    ExchangePtr E = Client.post(
        at(I), "/v1/reservations",
        {{"attempt", Id}, {"tokens", Tokens}, {"lease_ms", LeaseMs}});
    BOOST_TEST_REQUIRE(Client.finish(E));
    return E->Status;
  }
  ExchangePtr generate(std::uint64_t Max) {
    Json Group = {{"members", {at(1), at(2)}}};
    return Client.post(at(0), "/v1/generate",
                       {{"attempt", Id},
                        {"model", "base"},
                        {"prompt", Prompt},
                        {"max_tokens", Max},
                        {"group", Group}});
  }
};

/// A host that accepts or refuses announcements.
struct AnnounceHost {
  Listener HttpListener;
  int Status = 204;
  std::vector<Json> Taken;
  std::vector<std::string> Tokens;

  static void onRequest(evhttp_request *Req, void *Arg) {
    auto &H = *static_cast<AnnounceHost *>(Arg);
    H.Taken.push_back(Json::parse(std::string(bodyOf(Req)), nullptr, false));
    H.Tokens.push_back(headerOf(Req, "Authorization"));
    evhttp_send_reply(Req, H.Status, nullptr, nullptr);
  }
  explicit AnnounceHost(event_base *Base)
      : HttpListener(listenHttp(Base, "127.0.0.1:0", onRequest, this)) {}
};

} // namespace

BOOST_FIXTURE_TEST_CASE(AGroupRunsWhatNoEngineCouldAlone, Fixture) {
  BOOST_TEST(reserve(1, 1000, 60000) == 200);
  BOOST_TEST(reserve(2, 1000, 60000) == 200);
  ExchangePtr E = generate(20);
  BOOST_TEST_REQUIRE(Client.finish(E));
  Events Got = readEvents(E->Body, Id);
  BOOST_TEST(Got.Text == answerText(Prompt, 0, 20));
  BOOST_TEST(!Got.End.is_null());
  BOOST_TEST(model(*Servers[0]).UsedTokens == 0U);
  BOOST_TEST(model(*Servers[1]).UsedTokens == 1000U);
}

BOOST_FIXTURE_TEST_CASE(AGroupWithoutItsMembersIsRefused, Fixture) {
  BOOST_TEST(reserve(1, 1000, 60000) == 200);
  ExchangePtr E = generate(20);
  BOOST_TEST_REQUIRE(Client.finish(E));
  BOOST_TEST(E->Status == 409);
  BOOST_TEST(E->NotRun);
  BOOST_TEST(Json::parse(E->Body)["reason"] == "group");
  BOOST_TEST(model(*Servers[0]).Attempts.empty());
}

BOOST_FIXTURE_TEST_CASE(ALostMemberEndsTheAnswerWithAnError, Fixture) {
  reserve(1, 1000, 60000);
  reserve(2, 1000, 600);
  ExchangePtr E = generate(400); // Two seconds of decoding.
  BOOST_TEST_REQUIRE(Client.finish(E));
  Events Got = readEvents(E->Body, Id);
  BOOST_TEST(!Got.Text.empty());
  BOOST_TEST(Got.Errors.size() == 1U);
  BOOST_TEST(Got.End.is_null());
  BOOST_TEST(model(*Servers[0]).UsedTokens == 0U);
}

BOOST_FIXTURE_TEST_CASE(AMemberThatDiesEndsTheAnswerWithAnError, Fixture) {
  reserve(1, 1000, 60000);
  reserve(2, 1000, 60000);
  ExchangePtr E = generate(400);
  BOOST_TEST_REQUIRE(Client.run([&] { return !E->Body.empty(); }));
  Servers[2].reset();
  BOOST_TEST_REQUIRE(Client.finish(E));
  Events Got = readEvents(E->Body, Id);
  BOOST_TEST(Got.Errors.size() == 1U);
  BOOST_TEST(Got.End.is_null());
}

BOOST_FIXTURE_TEST_CASE(AKvCacheMovesBetweenEngines, Fixture) {
  Prompt = std::string(2000, 'p');
  Json Body = {{"attempt", Id},
               {"model", "base"},
               {"prompt", Prompt},
               {"max_tokens", 0}};
  ExchangePtr E = Client.post(at(0), "/v1/generate", Body);
  BOOST_TEST_REQUIRE(Client.finish(E));
  BOOST_TEST(readEvents(E->Body, Id).End["output_tokens"] == 0);
  E = Client.post(at(0), "/v1/attempts/" + Id + "/export", Json::object());
  BOOST_TEST_REQUIRE(Client.finish(E));
  BOOST_TEST_REQUIRE(E->Status == 200);
  Json Import = {{"from", at(0)},
                 {"handle", Json::parse(E->Body)["handle"]},
                 {"attempt", Id}};
  E = Client.post(at(1), "/v1/imports", Import);
  BOOST_TEST_REQUIRE(Client.finish(E));
  BOOST_TEST(Json::parse(E->Body)["tokens"] == 500);
  Body["max_tokens"] = 7;
  E = Client.post(at(1), "/v1/generate", Body);
  BOOST_TEST_REQUIRE(Client.finish(E));
  Events Got = readEvents(E->Body, Id);
  BOOST_TEST(Got.Text == answerText(Prompt, 0, 7));
  BOOST_TEST(Got.End["cached_tokens"] == 500);
  Import["handle"] = "kv-99";
  E = Client.post(at(2), "/v1/imports", Import);
  BOOST_TEST_REQUIRE(Client.finish(E));
  BOOST_TEST(E->Status == 409);
}

BOOST_AUTO_TEST_CASE(AnnouncementsGoToAHostThatAcceptsThem) {
  TestClient Client;
  AnnounceHost Refusing(Client.Base.get());
  AnnounceHost Host(Client.Base.get());
  Refusing.Status = 503;
  EngineOptions Options;
  Options.Announce.Hosts = {"127.0.0.1:1", Refusing.HttpListener.Address,
                            Host.HttpListener.Address};
  Options.Announce.Token = "secret";
  std::string Error;
  EnginePtr Server = startEngine(Client.Base.get(), Options, Error);
  BOOST_TEST_REQUIRE((Server != nullptr), Error);
  BOOST_TEST_REQUIRE(Client.run([&] { return Host.Taken.size() >= 3; }));
  BOOST_TEST(Refusing.Taken.size() == 1U);
  BOOST_TEST(Host.Tokens[0] == "Bearer secret");
  Json First = Host.Taken[0];
  BOOST_TEST(First["sequence"] == 1); // Two failing hosts delay nothing.
  BOOST_TEST(First["address"] == address(*Server));
  BOOST_TEST(First["kind"] == "engine");
  BOOST_TEST(First["leaving"] == false);
  BOOST_TEST(Host.Taken[1]["sequence"].get<int>() ==
             First["sequence"].get<int>() + 1);
  drain(*Server);
  BOOST_TEST_REQUIRE(
      Client.run([&] { return Host.Taken.back()["leaving"] == true; }));
}

BOOST_AUTO_TEST_CASE(StopFinishesWorkInProgress) {
  TestClient Client;
  EngineOptions Options;
  Options.Config.DecodeInterval = milliseconds(10);
  std::string Error;
  EnginePtr Server = startEngine(Client.Base.get(), Options, Error);
  BOOST_TEST_REQUIRE((Server != nullptr), Error);
  Json Body = {{"attempt", Id},
               {"model", "base"},
               {"prompt", "long"},
               {"max_tokens", 200}};
  ExchangePtr E = Client.post(address(*Server), "/v1/generate", Body);
  BOOST_TEST_REQUIRE(Client.run([&] { return !E->Body.empty(); }));
  drain(*Server);
  Body["attempt"] = std::string(31, '0') + "1-2";
  ExchangePtr Refused = Client.post(address(*Server), "/v1/generate", Body);
  BOOST_TEST_REQUIRE(Client.finish(Refused));
  BOOST_TEST(Refused->Status == 503);
  BOOST_TEST(Refused->NotRun);
  event_base_dispatch(Client.Base.get()); // Until the server stops the loop.
  BOOST_TEST(E->Whole);
  BOOST_TEST(readEvents(E->Body, Id).Text == answerText("long", 0, 200));
}
