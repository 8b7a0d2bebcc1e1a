// Configurations of thousands of routes: how they are sent to entry hosts, and
// how the log holds their changes.

#include <boost/test/unit_test.hpp>

#include "ControlFixture.h"

#include <algorithm>

using namespace pimento;
using namespace pimento::testing;

/// A configuration of thousands of routes is sent to each entry host once, and
/// to a few at a time: more would delay the replicated log on the leader's
/// link.
BOOST_FIXTURE_TEST_CASE(LargeConfigurationsAreSentToFewHostsAtATime, Fixture) {
  constexpr std::size_t Hosts = 40;
  constexpr std::size_t LargeBytes = 300000;
  auto Name = [](std::size_t I) {
    return HostId("10.0.6." + std::to_string(I));
  };
  auto Sync = [&](std::size_t I, std::uint64_t Sequence, std::uint64_t Config) {
    EntrySync M;
    M.Sequence = Sequence;
    M.Config = Config;
    M.Ready = true;
    Site.Net.send(Name(I), Leader, M);
  };
  auto Sent = [&](std::size_t I) {
    const auto &States = Site.States[Name(I)];
    return std::count_if(States.begin(), States.end(), [](const SiteState &M) {
      return !M.Text.Data.empty();
    });
  };
  for (std::size_t I = 0; I < Hosts; ++I)
    Sync(I, 1, 0);
  Site.Net.runFor(milliseconds(50));
  ExchangeId Put = Site.put(Leader, 5, std::string(LargeBytes, 'r'));
  Site.Net.runFor(milliseconds(200));
  auto Reached = [&] {
    std::size_t Count = 0;
    for (std::size_t I = 0; I < Hosts; ++I)
      Count += Sent(I) > 0 ? 1 : 0;
    return Count;
  };
  BOOST_TEST(Reached() > 0U);
  BOOST_TEST(Reached() * LargeBytes <= (4U << 20U));
  // The entry hosts keep synchronising during the transfer, then confirm.
  for (std::uint64_t Round = 2; Round < 12; ++Round) {
    for (std::size_t I = 0; I < Hosts; ++I)
      Sync(I, 2 * Round, 0);
    Site.Net.runFor(milliseconds(20));
    for (std::size_t I = 0; I < Hosts; ++I) {
      if (Sent(I) > 0)
        Sync(I, 2 * Round + 1, 5);
    }
    Site.Net.runFor(milliseconds(60));
  }
  for (std::size_t I = 0; I < Hosts; ++I)
    BOOST_TEST(Sent(I) == 1);
  BOOST_TEST(Site.statusOf(Leader, Put) == 200);
}

/// Guards against an acknowledgement by time. While hosts in contact lack a
/// configuration, its operator is told that the outcome is unknown. A repeated
/// call is acknowledged once the configuration is in force.
BOOST_FIXTURE_TEST_CASE(LargeConfigurationsAreAcknowledgedOnceInForce,
                        Fixture) {
  constexpr std::size_t Hosts = 40;
  auto SyncAll = [&](std::uint64_t Sequence, std::uint64_t Config) {
    for (std::size_t I = 0; I < Hosts; ++I) {
      EntrySync M;
      M.Sequence = Sequence;
      M.Config = Config;
      M.Ready = true;
      Site.Net.send(HostId("10.0.6." + std::to_string(I)), Leader, M);
    }
  };
  SyncAll(1, 0);
  Site.Net.runFor(milliseconds(50));
  std::string Large(600000, 'r');
  ExchangeId First = Site.put(Leader, 5, Large);
  for (std::uint64_t Round = 2; Round < 6; ++Round) {
    Site.Net.runFor(milliseconds(400));
    SyncAll(Round, 0);
  }
  BOOST_TEST(Site.statusOf(Leader, First) == 0); // Not in force after 1.6 s.
  ExchangeId Again = Site.put(Leader, 5, Large);
  for (std::uint64_t Round = 6; Round < 10; ++Round) {
    Site.Net.runFor(milliseconds(400));
    SyncAll(Round, 0);
  }
  BOOST_TEST(Site.statusOf(Leader, First) == 503);
  BOOST_TEST(Site.statusOf(Leader, Again) == 0);
  Site.Net.runFor(milliseconds(50));
  SyncAll(10, 5);
  Site.Net.runFor(milliseconds(100));
  BOOST_TEST(Site.statusOf(Leader, Again) == 200);
}

/// The log holds the difference to the configuration before. Guards against a
/// host that restores other text from it, and against a proposal whose base is
/// not the one that other hosts have.
BOOST_FIXTURE_TEST_CASE(ChangesOfALargeTableSurviveLossesOfPower, Fixture) {
  std::string Route(200000, 'r');
  for (std::uint64_t Number : {5, 7, 8, 12, 20}) {
    Leader = Site.waitForLeader(seconds(5));
    ExchangeId First = Site.put(Leader, Number, Route);
    // A second operator's change follows before the first one is committed.
    ExchangeId Second = Site.put(Leader, Number + 1, Route + "x");
    Site.Net.runFor(milliseconds(Number == 8 ? 3 : 900));
    if (Number == 8) {
      for (const HostId &Name : Site.Seeds)
        Site.losePower(Name);
      for (const HostId &Name : Site.Seeds)
        Site.start(Name, false);
      continue;
    }
    BOOST_TEST(Site.statusOf(Leader, First) == 200);
    BOOST_TEST(Site.statusOf(Leader, Second) == 200);
  }
  for (const HostId &Name : Site.Seeds)
    Site.losePower(Name);
  for (const HostId &Name : Site.Seeds)
    Site.start(Name, false);
  Leader = Site.waitForLeader(seconds(10));
  std::optional<std::string> Text = Site.read(Leader);
  BOOST_REQUIRE(Text.has_value());
  BOOST_TEST((*Text == ControlSite::routing(21, Route + "x")));
}

/// Guards against a log whose size grows with the table for each small change.
BOOST_FIXTURE_TEST_CASE(SmallChangeOfALargeTableIsASmallEntry, Fixture) {
  std::string Route(200000, 'r');
  Site.Net.SizeOf = [](const Message &M) { return encode(M).size(); };
  Site.put(Leader, 5, Route);
  Site.Net.runFor(seconds(1));
  std::uint64_t Before = Site.Net.BytesSent;
  Site.put(Leader, 7, Route + "x");
  Site.Net.runFor(milliseconds(100));
  BOOST_TEST(Site.Net.BytesSent - Before < 20000U);
}
