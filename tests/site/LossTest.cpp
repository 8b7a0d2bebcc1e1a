// Hosts that die or stop while requests go on.

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

/// After a host's death all new work at the others succeeds again.
constexpr Duration RecoveryBound = seconds(5);
/// Load before the death, and after the recovery bound.
constexpr Duration LoadBefore = milliseconds(300);
constexpr Duration LoadAfter = seconds(1);
constexpr Duration BetweenRequests = milliseconds(20);

struct Observed {
  Reply Answer;
  bool Good = false; // The whole answer to this very request.
};

/// Requests one after the other until \p Stop; of each kind in turn.
std::vector<Observed> keepAsking(const Site &S, std::size_t Index,
                                 const std::atomic<bool> &Stop) {
  std::vector<Observed> Seen;
  while (!Stop) {
    std::string Prompt =
        S.Hosts[Index].Name + " asks " + std::to_string(Seen.size());
    Reply Text = S.complete(Index, Prompt);
    Seen.push_back({Text, answers(Text, Prompt)});
    Reply Found = S.lookUp(Index);
    Json Body = jsonOf(Found);
    Seen.push_back({Found, Found.Status == 200 && Found.Whole &&
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
    BOOST_TEST_INFO("at " << toMilliseconds(R.Began - Death)
                          << " ms: " << R.Status << " after "
                          << toMilliseconds(R.Took) << " ms: " << R.Body);
    BOOST_TEST(isFinal(R));
    BOOST_TEST((R.Took <= CallLimit + LimitSlack));
    bool Before = R.Began + R.Took < Death;
    bool After = R.Began > Death + RecoveryBound;
    if (Before || After || R.Status == 200)
      BOOST_TEST(Each.Good);
    Refused += R.Status != 200;
  }
  BOOST_TEST_MESSAGE(Seen.size() << " requests, " << Refused << " refused");
}

void loseHost(Site &S, std::size_t Victim) {
  BOOST_TEST_CONTEXT("loses " << S.Hosts[Victim].Name) {
    std::atomic<bool> Stop = false;
    std::vector<std::future<std::vector<Observed>>> Load;
    for (std::size_t I = 0; I < HostCount; ++I) {
      if (I != Victim)
        Load.push_back(std::async(std::launch::async,
                                  [&, I] { return keepAsking(S, I, Stop); }));
    }
    pause(LoadBefore);
    TimePoint Death = now();
    S.Hosts[Victim].Run.kill();
    pause(RecoveryBound + LoadAfter);
    Stop = true;
    for (auto &Each : Load)
      checkObserved(Each.get(), Death);
    S.startHost(Victim);
    BOOST_TEST(waitUntil(Patience, [&] { return S.ready(Victim); }));
    BOOST_TEST(waitUntil(RecoveryBound, [&] { return S.serves(Victim); }));
  }
}

/// What the events of a stream say, up to its end mark.
struct Streamed {
  std::string Text;
  bool Done = false;
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

BOOST_AUTO_TEST_CASE(loses_each_host_in_turn) {
  Site S;
  std::size_t First = S.leader();
  for (std::size_t I = 0; I < HostCount; ++I)
    loseHost(S, (First + I) % HostCount);
  for (std::size_t I = 0; I < HostCount; ++I)
    BOOST_TEST(S.Hosts[I].Run.running());
}

BOOST_AUTO_TEST_CASE(graceful_stop_cuts_nothing) {
  Site S;
  std::size_t Stopping = S.leader();
  Host &H = S.Hosts[Stopping];
  // At 10 ms a token it takes longer than the host's unready time of 3 s.
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
  BOOST_REQUIRE(waitUntil(Patience, [&] {
    Stream.read(now() + milliseconds(100));
    return Stream.Received.find("data: ") != std::string::npos;
  }));
  S.setLedgers({{"slow_ms", 4000}});
  auto SignOff = std::async(std::launch::async,
                            [&] { return S.signOff(Stopping, "drill-1"); });
  BOOST_TEST(waitUntil(Patience, [&] { return S.runs("drill-1") == 1; }));

  H.Run.signal(SIGTERM);
  BOOST_TEST(waitUntil(seconds(1), [&] { return !S.ready(Stopping); }));
  BOOST_TEST(S.complete(Stopping, "before the balancer knows").Status == 200);

  BOOST_TEST(Stream.readAll(now() + Patience));
  Reply Whole = readReply(Stream.Received);
  BOOST_TEST(Whole.Whole);
  Streamed Said = readStream(Whole.Body);
  BOOST_TEST(Said.Done);
  BOOST_TEST(Said.Text == fakes::answerText(Prompt, 0, LongAnswer));
  BOOST_TEST(SignOff.get().Status == 200);
  BOOST_TEST(S.runs("drill-1") == 1);
  std::optional<int> Status = H.Run.wait(Patience);
  BOOST_REQUIRE(Status.has_value());
  BOOST_TEST(*Status == 0);
  for (std::size_t I = 0; I < HostCount; ++I) {
    if (I != Stopping)
      BOOST_TEST(waitUntil(RecoveryBound, [&] { return S.serves(I); }));
  }
}
