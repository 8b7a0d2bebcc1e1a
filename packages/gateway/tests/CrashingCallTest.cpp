// Requests that end each backend server that runs them, known by their target,
// account and body: all kinds of routes, on engines and plain servers.

#include "gateway/tests/ServerSite.h"
#include "testing/KnownRed.h"

#include <boost/test/unit_test.hpp>

using namespace pimento;
using namespace pimento::testing;

namespace {

constexpr std::size_t MaxLateSends = 3;
/// Sound requests must be served at the first send at least this often,
/// relative to the time before the crashes.
constexpr double MinSoundShare = 0.5;
/// All hosts know of a bad request this long after the crashes, and its servers
/// are back.
constexpr Duration SettledAfter = seconds(8);
/// Index of the first plain server of the site.
constexpr std::size_t FirstPlain = 10;

/// Checks that each bad request was sent to few servers after its third crash.
void checkLateSends(const char *Name, const ServerSite &Site) {
  for (const BadCall &Call : Site.BadCalls) {
    const BadCallView &View = Site.BadViews.at(Call);
    std::size_t Late = Site.lateSends(Call);
    checkUnlessKnownRed(Name, Late <= MaxLateSends,
                        std::to_string(Late) + " late sends of " +
                            std::to_string(View.Sends.size()) + " to " +
                            Call.Target + ", " +
                            std::to_string(View.Crashes.size()) + " crashes");
  }
}

std::size_t quarantines(const ServerSite &Site) {
  std::size_t Most = 0;
  for (const auto &[Name, N] : Site.Entries)
    Most = std::max(Most, activeQuarantines(N.State.Quarantine));
  return Most;
}

/// Runs sound requests alone, then with bad ones, and checks both rules.
void checkContainment(const char *Name, ServerSite &Site,
                      const std::vector<BadCall> &Bad,
                      const std::function<void()> &Action = {}) {
  Site.Load.PlainEvery = milliseconds(60);
  TimePoint Begin = Site.now();
  Site.run(seconds(8));
  Site.BadCalls = Bad;
  TimePoint BadFrom = Site.now();
  Site.run(seconds(25), Action);
  checkLateSends(Name, Site);
  checkUnlessKnownRed(Name, quarantines(Site) == Bad.size(),
                      std::to_string(quarantines(Site)) + " in quarantine");
  double Before = Site.soundShare(Begin, BadFrom);
  double After =
      Site.soundShare(BadFrom + SettledAfter, Site.now() - seconds(1));
  checkUnlessKnownRed(
      Name, After >= MinSoundShare * Before,
      "sound requests served at the first send: " + std::to_string(Before) +
          " before, " + std::to_string(After) + " after");
}

} // namespace

/// Guards against BUDGET: a call that ended plain servers, one after the other,
/// since nothing remembered it from one repeat to the next.
BOOST_AUTO_TEST_CASE(PlainCallThatEndsServersIsContained) {
  ServerSite Site(21);
  checkContainment("PlainCallThatEndsServersIsContained", Site, {{"/r/bad"}});
}

/// Guards against BUDGET where each client attempt may run once only.
BOOST_AUTO_TEST_CASE(OnceOnlyCallThatEndsServersIsContained) {
  ServerSite Site(22);
  checkContainment("OnceOnlyCallThatEndsServersIsContained", Site,
                   {{"/w/bad"}});
}

/// Guards against BUDGET where the server ends within a stream.
BOOST_AUTO_TEST_CASE(PlainStreamThatEndsServersIsContained) {
  ServerSite Site(23);
  checkContainment("PlainStreamThatEndsServersIsContained", Site, {{"/t/bad"}});
}

/// Guards against BUDGET on engines, where the last part of the prompt differs
/// from repeat to repeat and the other parts are those of sound requests.
BOOST_AUTO_TEST_CASE(StreamThatEndsEnginesIsContained) {
  ServerSite Site(24);
  checkContainment("StreamThatEndsEnginesIsContained", Site, {{"/s/bad"}});
}

/// Guards against BUDGET on engines with whole answers.
BOOST_AUTO_TEST_CASE(WholeAnswerThatEndsEnginesIsContained) {
  ServerSite Site(25);
  checkContainment("WholeAnswerThatEndsEnginesIsContained", Site, {{"/a/bad"}});
}

/// Guards against BUDGET on engines with answers that may run once only.
BOOST_AUTO_TEST_CASE(OnceOnlyAnswerThatEndsEnginesIsContained) {
  ServerSite Site(26);
  checkContainment("OnceOnlyAnswerThatEndsEnginesIsContained", Site,
                   {{"/o/bad"}});
}

/// Guards against BUDGET with several bad requests whose crashes interleave.
BOOST_AUTO_TEST_CASE(FourCallsThatEndServersAreContained) {
  ServerSite Site(27);
  checkContainment("FourCallsThatEndServersAreContained", Site,
                   {{"/r/bad"}, {"/r/bad2"}, {"/w/bad"}, {"/s/bad"}});
}

/// Guards against BUDGET while entry hosts are killed one after the other, the
/// placer among them, and start knowing nothing.
BOOST_AUTO_TEST_CASE(CallStaysContainedWhileEntryHostsRestart) {
  ServerSite Site(28);
  TimePoint NextAt = Site.now() + seconds(10);
  std::size_t Index = 0;
  checkContainment(
      "CallStaysContainedWhileEntryHostsRestart", Site, {{"/r/bad"}}, [&] {
        if (Site.now() < NextAt)
          return;
        NextAt = Site.now() + milliseconds(2500);
        auto Victim =
            std::next(Site.Entries.begin(), static_cast<long>(Index++ % 4));
        if (Victim->second.Up)
          Site.killEntry(Victim->first, milliseconds(1000));
      });
}

/// Guards against BUDGET while servers also end for other reasons, and while
/// the leader of the control hosts is lost.
BOOST_AUTO_TEST_CASE(CallIsContainedWhileServersAndTheLeaderAreLost) {
  ServerSite Site(29);
  TimePoint NextAt = Site.now();
  std::size_t Server = 0;
  bool HasLeader = true;
  checkContainment("CallIsContainedWhileServersAndTheLeaderAreLost", Site,
                   {{"/r/bad"}}, [&] {
                     if (HasLeader &&
                         !Site.BadViews[{"/r/bad"}].Crashes.empty()) {
                       Site.Control.losePower(Site.Control.leader());
                       HasLeader = false;
                     }
                     if (Site.now() < NextAt)
                       return;
                     NextAt = Site.now() + milliseconds(2500);
                     Site.crash(Server++ % Site.Engines.size());
                   });
}

/// Guards against BUDGET where repeats are rare: each of them counts, since the
/// quarantine must begin with the third crash.
BOOST_AUTO_TEST_CASE(RareCallThatEndsServersIsContained) {
  ServerSite Site(30);
  Site.Load.BadCallEvery = seconds(5);
  Site.Load.PlainEvery = milliseconds(60);
  Site.BadCalls = {{"/w/bad"}};
  Site.run(std::chrono::minutes(3));
  checkLateSends("RareCallThatEndsServersIsContained", Site);
}

/// Guards against a quarantine that outlives its cause, and against trials
/// without end: the rule holds over the whole time of the quarantine.
BOOST_AUTO_TEST_CASE(CuredCallIsServedAgainAfterFewTrials) {
  ServerSite Site(31);
  Site.Load.SoundEvery = milliseconds(200);
  Site.BadCalls = {{"/r/bad"}};
  Site.run(std::chrono::minutes(3));
  checkLateSends("CuredCallIsServedAgainAfterFewTrials", Site);
  Site.CuredCalls = {{"/r/bad"}};
  TimePoint CuredAt = Site.now();
  Site.run(std::chrono::minutes(9));
  BOOST_TEST(Site.soundShare(CuredAt + seconds(500), Site.now() - seconds(1)) >
             0.9);
}

/// Guards against sound requests that pay for a bad one: the same path with
/// another body, the same path and body of another account, and a request that
/// all hosts send all the time.
BOOST_AUTO_TEST_CASE(RequestsBesideABadCallAreServed) {
  ServerSite Site(32);
  Site.Load.PlainEvery = milliseconds(60);
  Site.BadCalls = {{"/r/bad"}};
  std::vector<BadCall> Sound = {{"/r/bad", "b"}, {"/r/bad", "a", "other"}};
  TimePoint From = Site.now();
  std::vector<std::string> Attempts;
  TimePoint NextAt = From;
  Site.run(seconds(25), [&] {
    if (Site.now() < NextAt)
      return;
    NextAt = Site.now() + milliseconds(300);
    for (const BadCall &Call : Sound)
      Attempts.push_back(Site.callAs(Site.anyEntry(), Call));
  });
  std::size_t Served = 0;
  std::size_t Asked = 0;
  for (const std::string &Attempt : Attempts) {
    const CallerView &View = Site.Callers[Attempt];
    bool IsLate = View.SentAt > From + SettledAfter &&
                  View.SentAt < Site.now() - seconds(1);
    Asked += IsLate ? 1 : 0;
    Served += IsLate && View.Complete ? 1 : 0;
  }
  checkUnlessKnownRed("RequestsBesideABadCallAreServed", Served == Asked,
                      std::to_string(Served) + " of " + std::to_string(Asked) +
                          " sound requests served");
  checkUnlessKnownRed("RequestsBesideABadCallAreServed", quarantines(Site) == 1,
                      std::to_string(quarantines(Site)) + " in quarantine");
}

/// Guards against a request that is accused since its server ended by itself,
/// was killed, or only broke the connection, while it is sent all the time.
BOOST_AUTO_TEST_CASE(ServersThatEndForOtherReasonsAccuseNoCall) {
  ServerSite Site(33);
  Site.Load.PlainEvery = milliseconds(20);
  Site.run(seconds(2));
  TimePoint NextAt = Site.now();
  std::size_t Round = 0;
  std::size_t Most = 0;
  Site.run(seconds(40), [&] {
    Most = std::max(Most, quarantines(Site));
    if (Site.now() < NextAt)
      return;
    NextAt = Site.now() + milliseconds(400);
    std::size_t Server = FirstPlain + ++Round % 4;
    if (Round % 10 == 0)
      for (std::size_t I = 0; I < 4; ++I)
        Site.crash(FirstPlain + I);
    else if (Round % 3 == 0)
      Site.crash(Server);
    else
      Site.breakConnections(Server);
  });
  BOOST_TEST(Most == 0U);
}

/// Guards against a caller that waits, or is told to come back at once, though
/// its request is known to be refused; and against a promise that it did not
/// run where it did.
BOOST_AUTO_TEST_CASE(CallInQuarantineIsRefusedAtOnce) {
  ServerSite Site(34);
  Site.Load.PlainEvery = milliseconds(60);
  Site.BadCalls = {{"/w/bad"}};
  Site.run(seconds(6));
  const char *Name = "CallInQuarantineIsRefusedAtOnce";
  Site.BadCalls.clear();
  std::string Attempt = Site.callAs(Site.anyEntry(), {"/w/bad"});
  const CallerView &View = Site.Callers[Attempt];
  checkUnlessKnownRed(Name, View.Status == 503 && View.Sends == 0,
                      "status " + std::to_string(View.Status) + " after " +
                          std::to_string(View.Sends) + " sends");
  checkUnlessKnownRed(Name, View.RetryAfter >= 1,
                      "Retry-After " + std::to_string(View.RetryAfter));
  std::size_t False = 0;
  for (const auto &[Id, Other] : Site.Callers)
    False += Other.Status == 503 && Other.Sends > 0 ? 1 : 0;
  BOOST_TEST(False == 0U);
}

/// Guards against a verdict that is lost with its hosts: all processes end at
/// once and start again.
BOOST_AUTO_TEST_CASE(QuarantineOfACallOutlivesTheLossOfAllHosts) {
  ServerSite Site(35);
  Site.BadCalls = {{"/r/bad"}};
  Site.run(seconds(10));
  for (const HostId &Host : Site.Control.Seeds)
    Site.Control.losePower(Host);
  for (auto &[Name, N] : Site.Entries)
    Site.killEntry(Name, milliseconds(500));
  Site.run(milliseconds(300));
  for (const HostId &Host : Site.Control.Seeds)
    Site.Control.start(Host, false);
  std::size_t Before = Site.BadViews[{"/r/bad"}].Sends.size();
  Site.run(seconds(15));
  std::size_t After = Site.BadViews[{"/r/bad"}].Sends.size();
  checkUnlessKnownRed("QuarantineOfACallOutlivesTheLossOfAllHosts",
                      After == Before,
                      std::to_string(After - Before) + " sends afterwards");
}

/// Guards against memory that grows with the number of bad requests, and sound
/// requests that pay for the oldest of them being forgotten.
BOOST_AUTO_TEST_CASE(ManyDifferentCallsThatEndServersAreBounded) {
  ServerSite Site(36);
  Site.Load.PlainEvery = milliseconds(200);
  std::size_t Number = 0;
  std::size_t MostCrashes = 0;
  std::size_t MostEntries = 0;
  TimePoint NextAt = Site.now();
  Site.run(std::chrono::minutes(5), [&] {
    const CrashQuarantine &Q = Site.Entries.begin()->second.State.Quarantine;
    MostCrashes = std::max(MostCrashes, Q.Crashes.size());
    MostEntries = std::max(MostEntries, Q.Entries.size());
    if (Site.now() < NextAt)
      return;
    NextAt = Site.now() + milliseconds(300);
    BadCall Call = {"/r/" + std::to_string(Number++ % 1000)};
    Site.BadViews[Call];
    Site.callAs(Site.anyEntry(), Call);
  });
  BOOST_TEST(Number == 1000U);
  BOOST_TEST(MostCrashes <= MaxCrashes);
  BOOST_TEST(MostEntries <= MaxQuarantined);
}

/// Guards against a quarantine that operators can neither see nor end.
BOOST_AUTO_TEST_CASE(OperatorsSeeAndLiftTheQuarantineOfACall) {
  ServerSite Site(37);
  Site.Load.PlainEvery = milliseconds(60);
  Site.BadCalls = {{"/r/bad"}};
  Site.run(seconds(4)); // The first trial comes later.
  Site.CuredCalls = {{"/r/bad"}};
  HostId Host = Site.Control.leader();
  auto Call = [&](HttpMethod Method, const std::string &Path) {
    ExchangeId Id = Site.Control.request(Host, Method, Path.c_str());
    Site.run(milliseconds(100));
    return Site.Control.Answers[Host].at(Id);
  };
  std::string Digest = toString(digestOf(AccountId("a"), "/r/bad", "bad"));
  const char *Name = "OperatorsSeeAndLiftTheQuarantineOfACall";
  HttpReply List = Call(HttpMethod::Get, "/v1/quarantine");
  bool IsListed =
      List.Body.find("\"request\":\"" + Digest + "\"") != std::string::npos;
  checkUnlessKnownRed(Name, IsListed, "listed: " + List.Body);
  int Status = Call(HttpMethod::Delete, "/v1/quarantine/" + Digest).Status;
  checkUnlessKnownRed(Name, Status == 200,
                      "lifted with status " + std::to_string(Status));
  TimePoint LiftedAt = Site.now();
  Site.run(seconds(6));
  BOOST_TEST(Site.soundShare(LiftedAt, Site.now() - seconds(1)) > 0.9);
}
