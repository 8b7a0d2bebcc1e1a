#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "gateway/tests/ServerSite.h"
#include "testing/KnownRed.h"

using namespace pimento;
using namespace pimento::testing;

namespace {

constexpr std::size_t MaxLateSends = 3;
/// Sound requests must be served at the first send at least this often,
/// relative to the time before the crashes.
constexpr double MinSoundShare = 0.5;
/// All hosts know of a bad part this long after the crashes, and its engines
/// are back.
constexpr Duration SettledAfter = seconds(6);

/// Runs sound requests alone, then with bad ones, and checks both rules.
void checkContainment(const char *Name, ServerSite &Site,
                      const std::function<void()> &Action = {}) {
  TimePoint Begin = Site.now();
  std::vector<PartId> Bad = Site.BadParts;
  Site.BadParts.clear();
  Site.run(seconds(8));
  Site.BadParts = Bad;
  TimePoint BadFrom = Site.now();
  Site.run(seconds(25), Action);
  checkUnlessKnownRed(Name, Site.lateSends() <= MaxLateSends,
                      std::to_string(Site.lateSends()) + " late sends of " +
                          std::to_string(Site.BadSends.size()) + ", " +
                          std::to_string(Site.BadCrashes.size()) + " crashes");
  double Before = Site.soundShare(Begin, BadFrom);
  double After =
      Site.soundShare(BadFrom + SettledAfter, Site.now() - seconds(1));
  checkUnlessKnownRed(
      Name, After >= MinSoundShare * Before,
      "sound requests served at the first send: " + std::to_string(Before) +
          " before, " + std::to_string(After) + " after");
}

/// Requests of the account that entry hosts refused since they, or a part of
/// their prompts, are in quarantine.
std::size_t quarantineRefusals(const ServerSite &Site,
                               const std::string &Account) {
  std::size_t Count = 0;
  for (const LogLine &Line : Site.Logs) {
    std::string Kind = Line.Record.Kind;
    if (Kind != "part_refused" && Kind != "request_refused")
      continue;
    auto IsAccount = [&](const DecisionField &Field) {
      const auto *Text = std::get_if<std::string>(&Field.Value);
      return std::string(Field.Name) == "account" && Text && *Text == Account;
    };
    Count += std::any_of(Line.Record.Fields.begin(), Line.Record.Fields.end(),
                         IsAccount);
  }
  return Count;
}

} // namespace

/// Guards against BUDGET: requests with one part in their prompts crashed
/// engine after engine, since nothing related the crashes to that part.
BOOST_AUTO_TEST_CASE(PartThatCrashesEnginesIsContained) {
  ServerSite Site(1);
  Site.BadParts = {PartId{0xbad}};
  checkContainment("PartThatCrashesEnginesIsContained", Site);
}

/// Guards against BUDGET where the bad part comes first in the prompt.
BOOST_AUTO_TEST_CASE(FirstPartThatCrashesEnginesIsContained) {
  ServerSite Site(2);
  Site.Load.BadIsFirst = true;
  Site.BadParts = {PartId{0xbad}};
  checkContainment("FirstPartThatCrashesEnginesIsContained", Site);
}

/// Guards against BUDGET with two bad parts at once, whose crashes interleave.
BOOST_AUTO_TEST_CASE(TwoPartsThatCrashEnginesAreContained) {
  ServerSite Site(3);
  Site.BadParts = {PartId{0xbad}, PartId{0xbad2}};
  checkContainment("TwoPartsThatCrashEnginesAreContained", Site);
}

/// Guards against BUDGET while engines also end for other reasons: their
/// crashes must neither hide the part nor accuse others.
BOOST_AUTO_TEST_CASE(PartIsContainedWhileEnginesCrashByThemselves) {
  ServerSite Site(4);
  Site.BadParts = {PartId{0xbad}};
  TimePoint NextAt = Site.now();
  std::size_t Engine = 0;
  checkContainment("PartIsContainedWhileEnginesCrashByThemselves", Site, [&] {
    if (Site.now() < NextAt)
      return;
    NextAt = Site.now() + milliseconds(2500);
    Site.crash(Engine++ % Site.Engines.size());
  });
}

/// Guards against BUDGET after the loss of hosts: entry hosts are killed one
/// after the other, the placer among them, and start knowing nothing.
BOOST_AUTO_TEST_CASE(PartStaysContainedWhileEntryHostsRestart) {
  ServerSite Site(5);
  Site.BadParts = {PartId{0xbad}};
  TimePoint NextAt = Site.now() + seconds(10);
  std::size_t Index = 0;
  checkContainment("PartStaysContainedWhileEntryHostsRestart", Site, [&] {
    if (Site.now() < NextAt)
      return;
    NextAt = Site.now() + milliseconds(2500);
    auto Victim = std::next(Site.Entries.begin(),
                            static_cast<long>(Index++ % Site.Entries.size()));
    if (Victim->second.Up)
      Site.killEntry(Victim->first, milliseconds(1000));
  });
}

/// Guards against BUDGET before any request was answered: the part that all
/// requests share cannot be told from the bad one by crashes alone.
BOOST_AUTO_TEST_CASE(PartIsContainedBeforeAnyAnswer) {
  ServerSite Site(12);
  Site.BadParts = {PartId{0xbad}};
  TimePoint From = Site.now();
  Site.run(seconds(25));
  BOOST_TEST(Site.lateSends() <= MaxLateSends);
  BOOST_TEST(Site.soundShare(From + SettledAfter, Site.now() - seconds(1)) >
             0.9);
}

/// Guards against a quarantine that is forgotten when all processes end at
/// once: the control hosts keep it on their disks, and hosts that start learn
/// it.
BOOST_AUTO_TEST_CASE(QuarantineOutlivesTheLossOfAllHosts) {
  ServerSite Site(6);
  Site.BadParts = {PartId{0xbad}};
  Site.run(seconds(10));
  for (const HostId &Host : Site.Control.Seeds)
    Site.Control.losePower(Host);
  for (auto &[Name, N] : Site.Entries)
    Site.killEntry(Name, milliseconds(500));
  Site.run(milliseconds(300));
  for (const HostId &Host : Site.Control.Seeds)
    Site.Control.start(Host, false);
  std::size_t Before = Site.BadSends.size();
  Site.run(seconds(15));
  BOOST_TEST(Site.BadSends.size() == Before);
  BOOST_TEST(Site.soundShare(Site.now() - seconds(6), Site.now() - seconds(1)) >
             0.9);
}

/// Guards against a quarantine that ends or starts late while the control hosts
/// have no leader.
BOOST_AUTO_TEST_CASE(QuarantineHoldsWithoutALeader) {
  ServerSite Site(7);
  Site.BadParts = {PartId{0xbad}};
  Site.run(seconds(8));
  HostId Leader = Site.Control.leader();
  for (const HostId &Host : Site.Control.Seeds) {
    if (Host != Leader)
      Site.Control.losePower(Host);
  }
  Site.killEntry(Site.Entries.begin()->first, milliseconds(500));
  std::size_t Before = Site.BadSends.size();
  Site.run(seconds(12));
  BOOST_TEST(Site.Control.leader().empty());
  BOOST_TEST(Site.BadSends.size() == Before);
}

/// Guards against engines that are crashed again and again to see whether the
/// part still does so.
BOOST_AUTO_TEST_CASE(TrialsOfABadPartAreFew) {
  ServerSite Site(8);
  Site.Load.SoundEvery = milliseconds(200);
  Site.BadParts = {PartId{0xbad}};
  Site.run(std::chrono::minutes(25));
  BOOST_TEST(Site.lateSends() >= 1U);
  BOOST_TEST(Site.lateSends() <= MaxLateSends);
}

/// Guards against a part that stays refused although it is cured.
BOOST_AUTO_TEST_CASE(CuredPartIsServedAgain) {
  ServerSite Site(9);
  Site.Load.SoundEvery = milliseconds(200);
  Site.BadParts = {PartId{0xbad}};
  Site.run(seconds(12));
  std::size_t Crashes = Site.BadCrashes.size();
  Site.Cured = {PartId{0xbad}};
  TimePoint CuredAt = Site.now();
  Site.run(std::chrono::minutes(11));
  BOOST_TEST(Site.BadCrashes.size() == Crashes);
  BOOST_TEST(Site.soundShare(CuredAt + seconds(650), Site.now() - seconds(1)) >
             0.9);
}

/// Guards against sound callers that pay for engines that end for other
/// reasons: one by one, and many at once.
BOOST_AUTO_TEST_CASE(CrashesForOtherReasonsRefuseNobody) {
  ServerSite Site(10);
  Site.run(seconds(2));
  TimePoint NextAt = Site.now();
  int Round = 0;
  Site.run(seconds(40), [&] {
    if (Site.now() < NextAt)
      return;
    NextAt = Site.now() + milliseconds(1500);
    std::size_t Count = ++Round % 4 == 0 ? 6 : 1;
    for (std::size_t I = 0; I < Count; ++I)
      Site.crash((static_cast<std::size_t>(Round) + I) % Site.Engines.size());
  });
  for (const auto &[Name, N] : Site.Entries)
    BOOST_TEST(N.State.Quarantine.Entries.empty());
}

/// Guards against an account that has the shared part of others quarantined by
/// sending prompts that crash engines for another reason.
BOOST_AUTO_TEST_CASE(BadRequestsOfOneAccountRefuseNoOther) {
  ServerSite Site(11);
  Site.run(seconds(4));
  Site.Load.OneBadAccount = true;
  // The part that all sound requests of account b share.
  Site.BadParts = {PartId{0x500 + 'b'}};
  Site.run(seconds(20));
  BOOST_TEST(quarantineRefusals(Site, "b") == 0U);
  BOOST_TEST(Site.lateSends() <= MaxLateSends);
}

/// Guards against a quarantine that operators can neither see nor end.
BOOST_AUTO_TEST_CASE(OperatorsSeeAndLiftQuarantines) {
  ServerSite Site(13);
  Site.run(seconds(4));
  Site.BadParts = {PartId{0xbad}};
  Site.run(seconds(2)); // The first trial comes later.
  Site.Cured = {PartId{0xbad}};
  HostId Host = Site.Control.leader();
  auto Call = [&](HttpMethod Method, const char *Path) {
    ExchangeId Id = Site.Control.request(Host, Method, Path);
    Site.run(milliseconds(100));
    return Site.Control.Answers[Host].at(Id);
  };
  HttpReply List = Call(HttpMethod::Get, "/v1/quarantine");
  BOOST_TEST(List.Body.find("\"part\":\"bad\"") != std::string::npos);
  BOOST_TEST(Call(HttpMethod::Delete, "/v1/quarantine/xyz").Status == 400);
  BOOST_TEST(Call(HttpMethod::Delete, "/v1/quarantine/123").Status == 404);
  BOOST_TEST(Call(HttpMethod::Delete, "/v1/quarantine/bad").Status == 200);
  TimePoint LiftedAt = Site.now();
  Site.run(seconds(6));
  BOOST_TEST(Site.soundShare(LiftedAt, Site.now() - seconds(1)) > 0.9);
  BOOST_TEST(Call(HttpMethod::Get, "/v1/quarantine").Body ==
             "{\"parts\":[]}\n");
}

/// Guards against evidence that no single host has: each entry host sends one
/// bad request and sees its crash, and the placer is lost right afterwards.
BOOST_AUTO_TEST_CASE(CrashesSeenByDifferentHostsAreCompared) {
  ServerSite Site(14);
  Site.run(seconds(4));
  std::uint64_t Own = 0xf000;
  auto SendFromEach = [&] {
    std::vector<HostId> Hosts;
    for (const auto &[Name, N] : Site.Entries)
      Hosts.push_back(Name);
    for (const HostId &Host : Hosts) {
      Site.call(Host, "a", {PartId{0xa1}, PartId{0xbad}, PartId{Own++}}, true);
      Site.run(milliseconds(400));
    }
  };
  SendFromEach();
  HostId Placer = Site.Entries.begin()->second.State.Placer;
  BOOST_TEST_REQUIRE(Site.Entries.count(Placer) == 1U);
  Site.killEntry(Placer, milliseconds(500));
  Site.run(seconds(3));
  std::size_t Before = Site.BadSends.size();
  SendFromEach();
  BOOST_TEST(Before >= 3U);
  BOOST_TEST(Site.BadSends.size() <= Before + 1); // One may be a trial.
}
