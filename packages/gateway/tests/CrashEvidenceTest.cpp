// Requests that end backend servers while the evidence is hard to get: their
// callers leave before the server ends, they are answered now and then, or they
// were answered before.

#include "gateway/tests/ServerSite.h"
#include "testing/KnownRed.h"

#include <boost/test/unit_test.hpp>

using namespace pimento;
using namespace pimento::testing;

namespace {

constexpr std::size_t MaxLateSends = 3;
/// Sound requests must be served at the first send at least this often.
constexpr double MinSoundShare = 0.9;
/// All hosts know of a bad part this long after the crashes, and its engines
/// are back.
constexpr Duration SettledAfter = seconds(6);
/// Index of the first plain server of the site.
constexpr std::size_t FirstPlain = 10;
constexpr PartId BadPart{0xbad};

/// Checks that few requests with the bad part were sent after its fifth crash,
/// and that others are served.
void checkPart(const char *Name, const ServerSite &Site, TimePoint BadFrom) {
  checkUnlessKnownRed(Name, Site.lateSends() <= MaxLateSends,
                      std::to_string(Site.lateSends()) + " late sends of " +
                          std::to_string(Site.BadSends.size()) + ", " +
                          std::to_string(Site.BadCrashes.size()) + " crashes");
  double Sound =
      Site.soundShare(BadFrom + SettledAfter, Site.now() - seconds(1));
  checkUnlessKnownRed(Name, Sound >= MinSoundShare,
                      "sound requests served at the first send: " +
                          std::to_string(Sound));
}

/// Runs sound requests alone, then with bad ones, and checks both rules.
void checkContainment(const char *Name, ServerSite &Site,
                      Duration Time = seconds(25),
                      const std::function<void()> &Action = {}) {
  Site.run(seconds(8));
  Site.BadParts = {BadPart};
  TimePoint BadFrom = Site.now();
  Site.run(Time, Action);
  BOOST_TEST(Site.BadCrashes.size() >= 3U);
  checkPart(Name, Site, BadFrom);
}

void checkCall(const char *Name, const ServerSite &Site, const BadCall &Call) {
  const BadCallView &View = Site.BadViews.at(Call);
  std::size_t Late = Site.lateSends(Call);
  BOOST_TEST(View.Crashes.size() >= 3U);
  checkUnlessKnownRed(Name, Late <= MaxLateSends,
                      std::to_string(Late) + " late sends of " +
                          std::to_string(View.Sends.size()) + " to " +
                          Call.Target + ", " +
                          std::to_string(View.Crashes.size()) + " crashes");
}

std::size_t mostQuarantines(const ServerSite &Site) {
  std::size_t Most = 0;
  for (const auto &[Name, N] : Site.Entries)
    Most = std::max(Most, activeQuarantines(N.State.Quarantine));
  return Most;
}

/// Callers of bad requests leave after \p After, and servers work on.
void letCallersLeave(ServerSite &Site, Duration After) {
  Site.WorksOn = true;
  Site.Load.BadLeaveAfter = After;
}

} // namespace

/// Guards against BUDGET: callers left before the engine ended, so that its end
/// accused only the requests beside theirs, which were refused instead.
BOOST_AUTO_TEST_CASE(PartWhoseCallersLeaveIsContained) {
  ServerSite Site(41);
  letCallersLeave(Site, milliseconds(40));
  checkContainment("PartWhoseCallersLeaveIsContained", Site);
  checkUnlessKnownRed("PartWhoseCallersLeaveIsContained",
                      mostQuarantines(Site) == 1,
                      std::to_string(mostQuarantines(Site)) + " in quarantine");
}

/// Guards against the same after the head of the answer.
BOOST_AUTO_TEST_CASE(PartWhoseCallersLeaveStreamsIsContained) {
  ServerSite Site(42);
  letCallersLeave(Site, milliseconds(75));
  checkContainment("PartWhoseCallersLeaveStreamsIsContained", Site);
}

/// Guards against the same where nobody else has a request at the engine, so
/// that no host sees a connection break.
BOOST_AUTO_TEST_CASE(PartWhoseCallersLeaveIsContainedWithoutOthers) {
  ServerSite Site(43);
  letCallersLeave(Site, milliseconds(40));
  Site.Load.SoundEvery = milliseconds(700);
  Site.Load.BadEvery = milliseconds(900);
  checkContainment("PartWhoseCallersLeaveIsContainedWithoutOthers", Site,
                   seconds(60));
}

/// Guards against the same while the hosts that sent the requests are stopped.
BOOST_AUTO_TEST_CASE(PartWhoseCallersLeaveIsContainedWhileHostsStop) {
  ServerSite Site(44);
  letCallersLeave(Site, milliseconds(40));
  TimePoint NextAt = Site.now() + seconds(8);
  std::size_t Index = 0;
  checkContainment(
      "PartWhoseCallersLeaveIsContainedWhileHostsStop", Site, seconds(30), [&] {
        if (Site.now() < NextAt)
          return;
        NextAt = Site.now() + milliseconds(1500);
        auto Host =
            std::next(Site.Entries.begin(), static_cast<long>(Index++ % 4));
        Site.stopEntry(Host->first);
      });
}

/// Guards against the same by way of a relay: the hosts that take the requests
/// do not reach the engines themselves.
BOOST_AUTO_TEST_CASE(PartWhoseCallersLeaveIsContainedBehindRelays) {
  ServerSite Site(45);
  letCallersLeave(Site, milliseconds(40));
  Site.run(seconds(1));
  auto Host = Site.Entries.begin();
  for (int I = 0; I < 2; ++I)
    Site.cutHost((Host++)->first, {CutKind::Reset, {}});
  checkContainment("PartWhoseCallersLeaveIsContainedBehindRelays", Site);
}

/// Guards against BUDGET on plain servers: the caller leaves, then the server
/// ends. The same path and body of another account is served.
BOOST_AUTO_TEST_CASE(CallWhoseCallersLeaveIsContained) {
  for (const char *Target : {"/r/bad", "/t/bad", "/w/bad"}) {
    ServerSite Site(46);
    letCallersLeave(Site, milliseconds(10));
    Site.Load.PlainEvery = milliseconds(60);
    Site.run(seconds(2));
    BadCall Call = {Target};
    Site.BadCalls = {Call};
    std::vector<std::string> OfOther;
    TimePoint From = Site.now();
    TimePoint NextAt = From + seconds(8);
    Site.run(seconds(25), [&] {
      if (Site.now() < NextAt)
        return;
      NextAt = Site.now() + milliseconds(300);
      OfOther.push_back(Site.callAs(Site.anyEntry(), {Target, "b"}));
    });
    const char *Name = "CallWhoseCallersLeaveIsContained";
    checkCall(Name, Site, Call);
    std::size_t Served = 0;
    for (const std::string &Attempt : OfOther)
      Served += Site.Callers[Attempt].Complete ? 1 : 0;
    checkUnlessKnownRed(Name, Served + 2 >= OfOther.size(),
                        std::to_string(Served) + " of " +
                            std::to_string(OfOther.size()) +
                            " requests of another account served");
  }
}

/// Guards against the same where nobody else sends requests to the service.
BOOST_AUTO_TEST_CASE(CallWhoseCallersLeaveIsContainedWithoutOthers) {
  ServerSite Site(47);
  letCallersLeave(Site, milliseconds(10));
  Site.Load.BadCallEvery = milliseconds(1500);
  BadCall Call = {"/r/bad"};
  Site.BadCalls = {Call};
  Site.run(seconds(60));
  checkCall("CallWhoseCallersLeaveIsContainedWithoutOthers", Site, Call);
}

/// Guards against BUDGET: one answer in two, or in four, cleared the part of
/// all earlier crashes, so that it was never held for long.
BOOST_AUTO_TEST_CASE(PartThatEndsEnginesNowAndThenIsContained) {
  for (double Share : {0.8, 0.5, 0.25}) {
    for (std::uint64_t Seed : {48, 58, 68}) {
      ServerSite Site(Seed);
      Site.Load.BadShare = Share;
      checkContainment("PartThatEndsEnginesNowAndThenIsContained", Site,
                       seconds(40));
    }
  }
}

/// Guards against the same for a whole request to plain servers.
BOOST_AUTO_TEST_CASE(CallThatEndsServersNowAndThenIsContained) {
  for (double Share : {0.8, 0.5}) {
    ServerSite Site(49);
    Site.Load.BadShare = Share;
    Site.Load.PlainEvery = milliseconds(60);
    Site.run(seconds(2));
    BadCall Call = {"/r/bad"};
    Site.BadCalls = {Call};
    Site.run(seconds(30));
    const BadCallView &View = Site.BadViews.at(Call);
    // Answers between the crashes make it a matter of five, as for parts.
    BOOST_TEST_REQUIRE(View.Crashes.size() >= 5U);
    TimePoint From = View.Crashes[4] + seconds(3);
    auto IsLate = [&](TimePoint At) { return At > From; };
    auto Late = static_cast<std::size_t>(
        std::count_if(View.Sends.begin(), View.Sends.end(), IsLate));
    checkUnlessKnownRed("CallThatEndsServersNowAndThenIsContained",
                        Late <= MaxLateSends,
                        std::to_string(Late) + " late sends, " +
                            std::to_string(View.Crashes.size()) + " crashes");
  }
}

/// Guards against BUDGET: a part that was answered within ten minutes needed
/// eight crashes.
BOOST_AUTO_TEST_CASE(PartThatWasSoundIsContained) {
  for (auto Every : {milliseconds(1300), milliseconds(200)}) {
    ServerSite Site(50);
    Site.BadParts = {BadPart};
    Site.Cured = {BadPart};
    Site.Load.BadEvery = milliseconds(250);
    Site.run(seconds(8));
    Site.Cured.clear();
    Site.Load.BadEvery = Every;
    TimePoint BadFrom = Site.now();
    Site.run(seconds(40));
    BOOST_TEST(Site.BadCrashes.size() >= 5U);
    checkPart("PartThatWasSoundIsContained", Site, BadFrom);
  }
}

/// Guards against sound callers that pay for weighed evidence: callers leave,
/// and servers end by themselves, one by one and in series.
BOOST_AUTO_TEST_CASE(CallersThatLeaveBesideCrashesAreNotAccused) {
  ServerSite Site(51);
  Site.WorksOn = true;
  Site.Load.SoundLeaveAfter = milliseconds(90);
  Site.Load.PlainEvery = milliseconds(60);
  Site.run(seconds(2));
  TimePoint NextAt = Site.now();
  std::size_t Round = 0;
  std::size_t Most = 0;
  Site.run(seconds(60), [&] {
    Most = std::max(Most, mostQuarantines(Site));
    if (Site.now() < NextAt)
      return;
    ++Round;
    // Each fourth time, all servers end one after the other.
    bool IsSeries = Round % 16 >= 10;
    NextAt = Site.now() + (IsSeries ? milliseconds(150) : milliseconds(1100));
    Site.crash(Round % Site.Engines.size());
  });
  BOOST_TEST(Most == 0U);
  BOOST_TEST(Site.soundShare(Site.now() - seconds(50),
                             Site.now() - seconds(1)) >= 0.7);
}

/// Guards against evidence that is lost in a burst at many hosts.
BOOST_AUTO_TEST_CASE(PartIsContainedAtManyHosts) {
  ServerSite Site(52, /*EntryCount=*/24);
  letCallersLeave(Site, milliseconds(40));
  Site.Load.SoundEvery = milliseconds(10);
  Site.Load.BadEvery = milliseconds(60);
  checkContainment("PartIsContainedAtManyHosts", Site, seconds(15));
}
