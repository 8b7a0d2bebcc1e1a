// Loss and graceful stop of hosts under load. The other hosts must serve again
// within a bound, and a stopping host must complete the requests in progress.

#define BOOST_TEST_MODULE site
#include <boost/test/unit_test.hpp>

#include "site/Site.h"

#include "fakes/AnswerText.h"

#include <atomic>
#include <csignal>
#include <future>

using namespace pimento;
using namespace pimento::site;

namespace {

/// Time after the loss of a host within which all new requests at the other
/// hosts succeed again.
constexpr Duration RecoveryBound = seconds(5);
/// Time under load before the loss, and after the recovery bound.
constexpr Duration LoadBefore = milliseconds(300);
constexpr Duration LoadAfter = seconds(1);
constexpr Duration BetweenRequests = milliseconds(20);

struct Observed {
  Reply Answer;
  bool Correct = false; // Complete and the answer to this request.
};

/// Sends completions and look-ups alternately, one at a time, until \p Stop.
std::vector<Observed> sendRequests(const Site &S, std::size_t Index,
                                   const std::atomic<bool> &Stop) {
  std::vector<Observed> Seen;
  while (!Stop) {
    std::string Prompt =
        S.Hosts[Index].Name + " asks " + std::to_string(Seen.size());
    Reply Text = S.complete(Index, Prompt);
    Seen.push_back({Text, answers(Text, Prompt)});
    Reply Found = S.lookUp(Index);
    Json Body = jsonOf(Found);
    Seen.push_back({Found, Found.Status == 200 && Found.Complete &&
                               Body.value("path", "") == "/lookups/4711"});
    pause(BetweenRequests);
  }
  return Seen;
}

void checkObserved(const std::vector<Observed> &Seen, TimePoint Death) {
  BOOST_TEST(Seen.size() > 20);
  std::size_t Refused = 0;
  for (const Observed &Each : Seen) {
    const Reply &R = Each.Answer;
    BOOST_TEST_INFO("at " << toMilliseconds(R.Started - Death)
                          << " ms: " << R.Status << " after "
                          << toMilliseconds(R.Elapsed) << " ms: " << R.Body);
    BOOST_TEST(isFinal(R));
    BOOST_TEST((R.Elapsed <= CallLimit + LimitSlack));
    bool Before = R.Started + R.Elapsed < Death;
    bool After = R.Started > Death + RecoveryBound;
    if (Before || After || R.Status == 200)
      BOOST_TEST(Each.Correct);
    Refused += R.Status != 200;
  }
  BOOST_TEST_MESSAGE(Seen.size() << " requests, " << Refused << " refused");
}

void killAndRestartHost(Site &S, std::size_t Killed) {
  BOOST_TEST_CONTEXT("killed host: " << S.Hosts[Killed].Name) {
    std::atomic<bool> Stop = false;
    std::vector<std::future<std::vector<Observed>>> Load;
    for (std::size_t I = 0; I < HostCount; ++I) {
      if (I != Killed)
        Load.push_back(std::async(std::launch::async,
                                  [&, I] { return sendRequests(S, I, Stop); }));
    }
    pause(LoadBefore);
    TimePoint Death = now();
    S.Hosts[Killed].Run.kill();
    pause(RecoveryBound + LoadAfter);
    Stop = true;
    for (auto &Each : Load)
      checkObserved(Each.get(), Death);
    S.startHost(Killed);
    BOOST_TEST(waitUntil(SettleTimeout, [&] { return S.ready(Killed); }));
    BOOST_TEST(waitUntil(RecoveryBound, [&] { return S.serves(Killed); }));
  }
}

/// Content of a stream of events.
struct Streamed {
  std::string Text;
  bool Done = false; // The end mark was received.
};

Streamed readStream(const std::string &Body) {
  Streamed Result;
  std::istringstream Lines(Body);
  constexpr std::string_view Mark = "data: ";
  for (std::string Line; std::getline(Lines, Line);) {
    if (Line.compare(0, Mark.size(), Mark) != 0)
      continue;
    Line.erase(0, Mark.size());
    if (Line == "[DONE]") {
      Result.Done = true;
      continue;
    }
    Json Event = Json::parse(Line, nullptr, false);
    BOOST_REQUIRE(Event.is_object());
    BOOST_REQUIRE(Event.contains("choices"));
    Result.Text += Event["choices"][0].value("text", "");
  }
  return Result;
}

} // namespace

BOOST_AUTO_TEST_CASE(SiteRecoversFromLossOfEachHost) {
  Site S;
  std::size_t First = S.leader();
  for (std::size_t I = 0; I < HostCount; ++I)
    killAndRestartHost(S, (First + I) % HostCount);
  for (std::size_t I = 0; I < HostCount; ++I)
    BOOST_TEST(S.Hosts[I].Run.running());
}

BOOST_AUTO_TEST_CASE(GracefulStopCompletesRequestsInProgress) {
  Site S;
  std::size_t Stopping = S.leader();
  Host &H = S.Hosts[Stopping];
  // At 10 ms per token the answer takes longer than the host's unready time of
  // 3 s.
  constexpr std::uint64_t LongAnswer = 500;
  constexpr const char *Prompt = "a review that takes a while";
  Request R{H.Caller,
            "POST",
            "/v1/completions",
            accountToken("aurora-air"),
            completionBody(Prompt, true, LongAnswer),
            {}};
  Connection Stream(H.Caller);
  Stream.write(textOf(R));
  BOOST_REQUIRE(waitUntil(SettleTimeout, [&] {
    Stream.read(now() + milliseconds(100));
    return Stream.Received.find("data: ") != std::string::npos;
  }));
  S.setLedgers({{"slow_ms", 4000}});
  auto SignOff = std::async(std::launch::async,
                            [&] { return S.signOff(Stopping, "drill-1"); });
  BOOST_TEST(waitUntil(SettleTimeout, [&] { return S.runs("drill-1") == 1; }));

  H.Run.signal(SIGTERM);
  BOOST_TEST(waitUntil(seconds(1), [&] { return !S.ready(Stopping); }));
  BOOST_TEST(S.complete(Stopping, "before the balancer knows").Status == 200);

  BOOST_TEST(Stream.readAll(now() + SettleTimeout));
  Reply Response = readReply(Stream.Received);
  BOOST_TEST(Response.Complete);
  Streamed Answer = readStream(Response.Body);
  BOOST_TEST(Answer.Done);
  BOOST_TEST(Answer.Text == fakes::answerText(Prompt, 0, LongAnswer));
  BOOST_TEST(SignOff.get().Status == 200);
  BOOST_TEST(S.runs("drill-1") == 1);
  std::optional<int> Status = H.Run.wait(SettleTimeout);
  BOOST_REQUIRE(Status.has_value());
  BOOST_TEST(*Status == 0);
  for (std::size_t I = 0; I < HostCount; ++I) {
    if (I != Stopping)
      BOOST_TEST(waitUntil(RecoveryBound, [&] { return S.serves(I); }));
  }
}
