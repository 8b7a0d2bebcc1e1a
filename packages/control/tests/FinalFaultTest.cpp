// A final fault: all control hosts lose power at once, and some lose their
// disks as well, right after an acknowledgement.

#include <boost/test/unit_test.hpp>

#include "ControlFixture.h"

#include <algorithm>

using namespace pimento;
using namespace pimento::testing;

namespace {

/// The pages' recoverS: hosts serve again so long after the final fault.
constexpr Duration RecoverTime = seconds(12);
/// The pages' catchUpS: a host that is back counts as lost for so long.
constexpr Duration CatchUpTime = seconds(4);

/// A final fault: some control hosts lose their disks right after an
/// acknowledgement, and all other hosts lose power at the same moment. Entry
/// hosts have no disk, so that control hosts learn nothing from them;
/// SpreadTest.cpp has both.
struct FinalFault {
  ControlSite &Site;
  Random Rng;
  std::uint64_t Number = 0; // The newest acknowledged configuration.

  FinalFault(ControlSite &Site, std::uint64_t Seed) : Site(Site), Rng(Seed) {}

  std::size_t any(std::size_t Count) { return below(Rng, Count); }
  Duration upTo(Duration Most) {
    return milliseconds(static_cast<std::int64_t>(
        below(Rng, static_cast<std::uint64_t>(toMilliseconds(Most)) + 1)));
  }

  std::vector<HostId> runningHosts() {
    std::vector<HostId> Up;
    for (const HostId &Name : Site.Net.names()) {
      if (Site.Net.up(Name))
        Up.push_back(Name);
    }
    return Up;
  }

  void acknowledgeNext() {
    BOOST_TEST_REQUIRE(Site.putUntilAcknowledged(++Number, seconds(20)));
  }

  /// Returns at the moment of the acknowledgement, with writes of other hosts
  /// still under way: each disk has another speed.
  void acknowledgeNow() {
    for (const HostId &Name : runningHosts())
      Site.SlowDisks[Name] = milliseconds(1) + upTo(milliseconds(19));
    acknowledgeNext();
    Number += 1;
    for (TimePoint End = Site.Net.now() + seconds(20); Site.Net.now() < End;) {
      HostId L = Site.waitForLeader(seconds(5));
      BOOST_TEST_REQUIRE(!L.empty());
      ExchangeId Id = Site.put(L, Number);
      while (Site.Net.now() < End && Site.statusOf(L, Id) == 0)
        Site.Net.runFor(microseconds(100));
      if (Site.statusOf(L, Id) == 200)
        return;
    }
    BOOST_TEST_REQUIRE(false, "no acknowledgement");
  }

  /// A host is gone for good; an empty one starts at another address.
  void replaceOne() {
    Site.loseDisk(Site.Seeds[any(Site.Seeds.size())]);
    Site.Net.runFor(upTo(milliseconds(2500)));
    Site.start(HostId("10.0.9.1"), false);
  }

  /// One more change is sent and not waited for, so that a write may be under
  /// way. Then the hosts \p Lost lose their disks, the others power; those
  /// that ran start again.
  void strike(const std::vector<HostId> &Lost) {
    std::vector<HostId> Up = runningHosts();
    HostId L = Site.leader();
    if (!L.empty() && any(2) == 0) {
      Site.put(L, Number + 1, "later");
      Site.Net.runFor(milliseconds(static_cast<std::int64_t>(any(6))));
    }
    for (const HostId &Name : Up) {
      if (std::find(Lost.begin(), Lost.end(), Name) != Lost.end())
        Site.loseDisk(Name);
      else
        Site.losePowerInWrite(Name);
    }
    Site.Net.runFor(milliseconds(200) + upTo(milliseconds(1400)));
    for (const HostId &Name : Up) {
      Site.start(Name, false);
      Site.Net.runFor(upTo(milliseconds(60)));
    }
  }

  /// What a host returns for a read is what was acknowledged, or the change
  /// after it.
  void expectNothingOlder(const char *When) {
    for (const HostId &Name : runningHosts()) {
      std::optional<std::string> Text = Site.read(Name);
      bool IsNewest = !Text || *Text == ControlSite::routing(Number) ||
                      *Text == ControlSite::routing(Number + 1, "later");
      BOOST_TEST(IsNewest, When << ", configuration " << Number << ": "
                                << Name.Value << " returns " << *Text);
    }
  }

  /// Hosts serve again in time, and return nothing older meanwhile and after.
  void expectRecovery(std::size_t Voters, const char *When) {
    TimePoint End = Site.Net.now() + RecoverTime;
    bool IsRead = false;
    while (Site.Net.now() < End && !IsRead) {
      expectNothingOlder(When);
      HostId L = Site.leader();
      IsRead = !L.empty() && Site.read(L).has_value();
      Site.Net.runFor(milliseconds(50));
    }
    BOOST_TEST_REQUIRE(IsRead, When << ", configuration " << Number
                                    << ": no host returns it");
    expectNothingOlder(When);
    Site.Net.runFor(End + CatchUpTime - Site.Net.now());
    expectNothingOlder(When);
    HostId L = Site.waitForLeader(seconds(2));
    BOOST_TEST_REQUIRE(!L.empty(), When);
    BOOST_TEST(Site.voters(L) == Voters, When);
    Number += 1; // The change after it may have been committed.
  }
};

constexpr std::uint64_t FinalFaultSeeds = 40;

} // namespace

/// Guards against an acknowledgement that rests on an unsynced write, on the
/// memory of a host or on the vote of a lost disk.
BOOST_AUTO_TEST_CASE(AcknowledgedConfigurationsSurviveALostDiskAndLossOfPower) {
  for (std::uint64_t Seed = 1; Seed <= FinalFaultSeeds; ++Seed) {
    ControlSite Site(Seed, Three);
    formSite(Site);
    FinalFault Fault(Site, Seed);
    for (int Round = 0; Round < 3; ++Round) {
      Fault.acknowledgeNow();
      Fault.strike({Site.Seeds[Fault.any(3)]});
      Fault.expectRecovery(3, "one disk of three");
    }
  }
}

/// The same, catchUpS after an earlier lost disk is back; that long it counts
/// as lost.
BOOST_AUTO_TEST_CASE(LostDiskAndLossOfPowerRightAfterAnEarlierLostDisk) {
  for (std::uint64_t Seed = 1; Seed <= FinalFaultSeeds; ++Seed) {
    ControlSite Site(Seed, Three);
    formSite(Site);
    FinalFault Fault(Site, Seed);
    Fault.acknowledgeNext();
    HostId Earlier = Site.Seeds[Fault.any(3)];
    Site.loseDisk(Earlier);
    Site.Net.runFor(Fault.upTo(seconds(2)));
    Site.start(Earlier, false);
    TimePoint CaughtUpAt = Site.Net.now() + CatchUpTime;
    Fault.acknowledgeNext();
    Site.Net.runFor(std::max(Duration::zero(), CaughtUpAt - Site.Net.now()));
    Fault.acknowledgeNow();
    Fault.strike({Site.Seeds[Fault.any(3)]});
    Fault.expectRecovery(3, "one disk of three after another");
  }
}

/// The same while a voter is replaced: one host of five that may lose two is
/// gone for good, or has just lost its disk, when the disk of another is lost.
BOOST_AUTO_TEST_CASE(LostDiskAndLossOfPowerWhileAVoterIsReplaced) {
  for (std::uint64_t Seed = 1; Seed <= FinalFaultSeeds; ++Seed) {
    ControlSite Site(Seed, Five);
    Site.Failures = 2;
    formSite(Site);
    Site.Net.runFor(seconds(5));
    FinalFault Fault(Site, Seed);
    Fault.acknowledgeNext();
    std::size_t Replaced = Fault.any(Five.size());
    std::size_t Lost = (Replaced + 1 + Fault.any(4)) % Five.size();
    HostId New = Seed % 2 == 0 ? Site.Seeds[Replaced] : HostId("10.0.9.1");
    Site.loseDisk(Site.Seeds[Replaced]);
    Site.Net.runFor(Fault.upTo(milliseconds(2500)));
    Site.start(New, false);
    Site.Net.runFor(Fault.upTo(CatchUpTime));
    Fault.acknowledgeNow();
    Fault.strike({Seed % 3 == 0 ? New : Site.Seeds[Lost]});
    Fault.expectRecovery(5, "a disk of five while a voter is replaced");
  }
}

/// The same with three voters, catchUpS after a new host has started in place
/// of one that is gone for good.
BOOST_AUTO_TEST_CASE(LostDiskAndLossOfPowerRightAfterAReplacement) {
  for (std::uint64_t Seed = 1; Seed <= FinalFaultSeeds; ++Seed) {
    ControlSite Site(Seed, Three);
    formSite(Site);
    FinalFault Fault(Site, Seed);
    Fault.acknowledgeNext();
    Fault.replaceOne();
    Site.Net.runFor(CatchUpTime);
    Fault.acknowledgeNow();
    std::vector<HostId> Up = Fault.runningHosts();
    Fault.strike({Up[Fault.any(Up.size())]});
    Fault.expectRecovery(3, "one disk of three after a replacement");
  }
}

/// More disks are lost than three voters bear: that of one which is gone for
/// good and, at any stage of its replacement, another one. Hosts may not serve
/// again, but they return nothing older than what was acknowledged.
BOOST_AUTO_TEST_CASE(NothingOlderIsReturnedAfterMoreLossesThanAreBorne) {
  int Recovered = 0;
  for (std::uint64_t Seed = 1; Seed <= 2 * FinalFaultSeeds; ++Seed) {
    ControlSite Site(Seed, Three);
    formSite(Site);
    FinalFault Fault(Site, Seed);
    Fault.acknowledgeNext();
    Fault.replaceOne();
    Site.Net.runFor(Fault.upTo(CatchUpTime));
    Fault.acknowledgeNow();
    std::vector<HostId> Up = Fault.runningHosts();
    Fault.strike({Up[Fault.any(Up.size())]});
    for (TimePoint End = Site.Net.now() + RecoverTime; Site.Net.now() < End;)
      Fault.expectNothingOlder("two disks of three");
    Recovered += Site.leader().empty() ? 0 : 1;
  }
  BOOST_TEST_MESSAGE("with a leader: " << Recovered);
  BOOST_TEST(Recovered > 0);
}
