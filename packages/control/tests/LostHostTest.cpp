// Control hosts that lose power or their disks, and hosts that replace them.

#include <boost/test/unit_test.hpp>

#include "ControlFixture.h"

using namespace pimento;
using namespace pimento::testing;

/// All hosts lose power right after an acknowledgement.
BOOST_AUTO_TEST_CASE(AcknowledgedConfigurationsSurvivePowerLoss) {
  for (std::uint64_t Seed = 1; Seed <= 12; ++Seed) {
    ControlSite Site(Seed, Three);
    formSite(Site);
    std::uint64_t Number = 0;
    for (int Round = 0; Round < 4; ++Round) {
      Number += 1 + Seed % 3;
      BOOST_TEST_REQUIRE(Site.putUntilAcknowledged(Number));
      for (const HostId &Name : Site.Seeds)
        Site.losePower(Name);
      Site.startAll(false);
      HostId L = Site.waitForLeader(seconds(10));
      BOOST_TEST_REQUIRE(!L.empty());
      Site.Net.runFor(milliseconds(300));
      BOOST_TEST(*Site.read(L) == ControlSite::routing(Number));
    }
  }
}

/// Disks are lost one after the other, each right after an acknowledgement.
BOOST_AUTO_TEST_CASE(DisksLostOneAfterAnotherAreReplaced) {
  for (std::uint64_t Seed = 1; Seed <= 6; ++Seed) {
    ControlSite Site(Seed, Three);
    formSite(Site);
    std::uint64_t Number = 0;
    for (int Round = 0; Round < 6; ++Round) {
      BOOST_TEST_REQUIRE(Site.putUntilAcknowledged(++Number));
      HostId Lost = Site.Seeds[(Seed + static_cast<std::size_t>(Round)) % 3];
      Site.loseDisk(Lost);
      Site.Net.runFor(milliseconds(600));
      Site.start(Lost, false);
      Site.Net.runFor(seconds(4));
      HostId L = Site.waitForLeader(seconds(10));
      BOOST_TEST_REQUIRE(!L.empty());
      BOOST_TEST(Site.voters(L) == 3U);
      BOOST_TEST(*Site.read(L) == ControlSite::routing(Number));
    }
  }
}

/// Hosts are replaced by empty ones at other addresses, one at a time, until
/// none of the seeds is left.
BOOST_FIXTURE_TEST_CASE(EveryHostCanBeReplaced, Fixture) {
  BOOST_TEST(Site.putUntilAcknowledged(7));
  for (int Round = 0; Round < 3; ++Round) {
    HostId Old = Site.Seeds[static_cast<std::size_t>(Round)];
    Site.loseDisk(Old);
    Site.Net.runFor(seconds(1));
    HostId New("10.0.9." + std::to_string(Round));
    Site.start(New, false);
    Site.Net.runFor(seconds(6));
    HostId L = Site.waitForLeader(seconds(10));
    BOOST_TEST_REQUIRE(!L.empty());
    BOOST_TEST(Site.voters(L) == 3U);
    BOOST_TEST(*Site.read(L) == ControlSite::routing(7));
  }
}

/// Guards against a site that may lose two control hosts at once and has too
/// few: two disks are lost right after an acknowledgement, while all others
/// lose power.
BOOST_AUTO_TEST_CASE(TwoLostDisksOfFiveAreBorne) {
  for (std::uint64_t Seed = 1; Seed <= 12; ++Seed) {
    ControlSite Site(Seed, Five);
    Site.Failures = 2;
    formSite(Site);
    Site.Net.runFor(seconds(5));
    BOOST_TEST_REQUIRE(Site.putUntilAcknowledged(7));
    std::size_t First = Seed % Five.size();
    std::size_t Second = (First + 1 + Seed % 4) % Five.size();
    for (std::size_t I = 0; I < Five.size(); ++I) {
      if (I == First || I == Second)
        Site.loseDisk(Site.Seeds[I]);
      else
        Site.losePower(Site.Seeds[I]);
    }
    Site.startAll(false);
    HostId L = Site.waitForLeader(seconds(12));
    BOOST_TEST_REQUIRE(!L.empty(), "seed " << Seed);
    Site.Net.runFor(milliseconds(300));
    BOOST_TEST(*Site.read(L) == ControlSite::routing(7));
    Site.Net.runFor(seconds(8));
    BOOST_TEST(Site.voters(Site.waitForLeader(seconds(10))) == 5U);
  }
}

/// Guards against control hosts that stay without a leader after all of them
/// lost power: one was readmitted with an empty disk before, and the leader may
/// have been interrupted.
BOOST_AUTO_TEST_CASE(LeaderReturnsAfterALossOfPower) {
  constexpr std::uint64_t Seeds = 100;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    ControlSite Site(Seed, Three);
    Random Rng(Seed);
    auto Pause = [&](std::uint64_t Most) {
      Site.Net.runFor(
          milliseconds(static_cast<std::int64_t>(below(Rng, Most))));
    };
    formSite(Site);
    std::uint64_t Number = 1;
    Site.putUntilAcknowledged(Number);
    HostId Wiped = Site.Seeds[below(Rng, 3)];
    Site.loseDisk(Wiped);
    Pause(1500);
    Site.start(Wiped, false);
    for (int Round = 0; Round < 3; ++Round) {
      Pause(3000);
      HostId Disturbed = Site.Seeds[below(Rng, 3)];
      if (Site.Net.running(Disturbed) && below(Rng, 2) == 0) {
        Site.Net.freeze(Disturbed);
        Pause(1200);
        Site.Net.thaw(Disturbed);
      }
      HostId L = Site.leader();
      if (!L.empty())
        Site.put(L, ++Number);
      Pause(200);
      if (below(Rng, 2) == 0 && Round < 2)
        continue;
      for (const HostId &Host : Site.Seeds) {
        Site.losePower(Host);
        if (Round < 2)
          Pause(30);
      }
      for (const HostId &Host : Site.Seeds) {
        Pause(250);
        Site.start(Host, false);
      }
    }
    HostId L = Site.waitForLeader(seconds(12));
    BOOST_TEST(!L.empty(), "seed " << Seed);
    if (L.empty())
      continue;
    // It leads on, and the log takes a configuration.
    BOOST_TEST(Site.putUntilAcknowledged(Number + 1), "seed " << Seed);
  }
}
