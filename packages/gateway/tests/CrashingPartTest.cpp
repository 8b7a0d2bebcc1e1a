#include <boost/test/unit_test.hpp>

#include "gateway/tests/CrashSite.h"
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
void checkContainment(const char *Name, CrashSite &Site,
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

} // namespace

/// Guards against BUDGET: requests with one part in their prompts crashed
/// engine after engine, since nothing related the crashes to that part.
BOOST_AUTO_TEST_CASE(PartThatCrashesEnginesIsContained) {
  CrashSite Site(1);
  Site.BadParts = {PartId{0xbad}};
  checkContainment("PartThatCrashesEnginesIsContained", Site);
}

/// Guards against BUDGET where the bad part comes first in the prompt.
BOOST_AUTO_TEST_CASE(FirstPartThatCrashesEnginesIsContained) {
  CrashSite Site(2);
  Site.Load.BadIsFirst = true;
  Site.BadParts = {PartId{0xbad}};
  checkContainment("FirstPartThatCrashesEnginesIsContained", Site);
}

/// Guards against BUDGET with two bad parts at once, whose crashes interleave.
BOOST_AUTO_TEST_CASE(TwoPartsThatCrashEnginesAreContained) {
  CrashSite Site(3);
  Site.BadParts = {PartId{0xbad}, PartId{0xbad2}};
  checkContainment("TwoPartsThatCrashEnginesAreContained", Site);
}

/// Guards against BUDGET while engines also end for other reasons: their
/// crashes must neither hide the part nor accuse others.
BOOST_AUTO_TEST_CASE(PartIsContainedWhileEnginesCrashByThemselves) {
  CrashSite Site(4);
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
  CrashSite Site(5);
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
