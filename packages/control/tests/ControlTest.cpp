#define BOOST_TEST_MODULE control
#include <boost/test/unit_test.hpp>

#include "ControlSite.h"

#include <algorithm>

using namespace pimento;
using namespace pimento::testing;

namespace {

const std::vector<std::string> Three = {"10.0.0.1", "10.0.0.2", "10.0.0.3"};

struct Fixture {
  ControlSite Site{11, Three};
  HostId Leader;

  Fixture() {
    Site.startAll(true);
    Leader = Site.waitForLeader(seconds(10));
    BOOST_TEST_REQUIRE(!Leader.empty());
  }

  HostId follower() {
    for (const HostId &Name : Site.Seeds) {
      if (Name != Leader)
        return Name;
    }
    return HostId();
  }

  void cutOff(const HostId &Name) {
    for (const HostId &Other : Site.Seeds) {
      Site.Net.cut(Name, Other);
      Site.Net.cut(Other, Name);
    }
  }

  /// Every host that answers a reader shows this number.
  void expectEverywhere(std::uint64_t Number) {
    std::size_t Answered = 0;
    for (const HostId &Name : Site.Net.names()) {
      if (!Site.Net.running(Name))
        continue;
      std::optional<std::string> Text = Site.read(Name);
      if (!Text)
        continue;
      ++Answered;
      BOOST_TEST(*Text == ControlSite::routing(Number));
    }
    BOOST_TEST(Answered > 0U);
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(ASiteFormsItselfFromItsSeeds, Fixture) {
  BOOST_TEST(Site.voters(Leader) == 3U);
  BOOST_TEST(Site.putSurely(4));
  expectEverywhere(4);
}

BOOST_AUTO_TEST_CASE(NothingFormsWhileASeedIsMissing) {
  ControlSite Site(5, Three);
  Site.start(HostId("10.0.0.1"), true);
  Site.start(HostId("10.0.0.2"), true);
  BOOST_TEST(Site.waitForLeader(seconds(5)).empty());
  Site.start(HostId("10.0.0.3"), true);
  BOOST_TEST(!Site.waitForLeader(seconds(5)).empty());
}

BOOST_FIXTURE_TEST_CASE(TheHighestNumberIsInForce, Fixture) {
  BOOST_TEST(Site.putSurely(10));
  BOOST_TEST(Site.putSurely(4)); // Acknowledged; changes nothing.
  expectEverywhere(10);
  ExchangeId Other = Site.put(Leader, 10, "other");
  Site.Net.runFor(seconds(2));
  BOOST_TEST(Site.statusOf(Leader, Other) == 200);
  expectEverywhere(10);
  BOOST_TEST(Site.putSurely(25));
  expectEverywhere(25);
}

BOOST_FIXTURE_TEST_CASE(InvalidConfigurationsAreRefused, Fixture) {
  BOOST_TEST(Site.putSurely(3));
  std::string Text = ControlSite::routing(9);
  Text.replace(Text.find("\"service\":\"s\""), 13, "\"service\":\"x\"");
  for (const std::string &Bad :
       {Text, std::string("{"), ControlSite::routing(9).substr(0, 60)}) {
    ExchangeId Id =
        Site.request(Leader, HttpMethod::Post, "/-/config/replace", Bad);
    Site.Net.runFor(milliseconds(100));
    BOOST_TEST(Site.statusOf(Leader, Id) == 400);
  }
  expectEverywhere(3);
}

BOOST_FIXTURE_TEST_CASE(OthersSendOperatorsToTheLeader, Fixture) {
  BOOST_TEST(Site.putSurely(3));
  HostId Other = follower();
  ExchangeId Id = Site.put(Other, 5);
  Site.Net.runFor(milliseconds(100));
  BOOST_TEST(Site.statusOf(Other, Id) == 307);
  BOOST_TEST(headerValue(Site.Answers[Other].at(Id).Headers, "Location") ==
             "http://" + Leader.Value + ":8080/-/config/replace");
}

/// Both halves of a cut answer readers with the newest, or not at all.
BOOST_FIXTURE_TEST_CASE(ALeaderThatIsCutOffFallsSilent, Fixture) {
  BOOST_TEST(Site.putSurely(3));
  HostId Old = Leader;
  cutOff(Old);
  Site.Net.runFor(seconds(3));
  BOOST_TEST(Site.putSurely(8));
  BOOST_TEST(!Site.read(Old));
  ExchangeId Put = Site.put(Old, 9);
  ExchangeId Beat = Site.request(
      Old, HttpMethod::Post, "/-/replicas/i/heartbeat",
      R"({"service":"s","address":"a","zone":"z","state":"draining",)"
      R"("sequence":1})");
  Site.Net.runFor(seconds(4));
  BOOST_TEST(Site.statusOf(Old, Put) == 503);
  BOOST_TEST(Site.statusOf(Old, Beat) == 503);
  Site.Net.healAll();
  Site.Net.runFor(seconds(2));
  expectEverywhere(8);
}

/// Right after an acknowledgement everything loses power.
BOOST_AUTO_TEST_CASE(NothingAcknowledgedIsLostWithThePower) {
  for (std::uint64_t Seed = 1; Seed <= 12; ++Seed) {
    ControlSite Site(Seed, Three);
    Site.startAll(true);
    BOOST_TEST_REQUIRE(!Site.waitForLeader(seconds(10)).empty());
    std::uint64_t Number = 0;
    for (int Round = 0; Round < 4; ++Round) {
      Number += 1 + Seed % 3;
      BOOST_TEST_REQUIRE(Site.putSurely(Number));
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
BOOST_AUTO_TEST_CASE(DisksThatAreLostInTurnAreReplaced) {
  for (std::uint64_t Seed = 1; Seed <= 6; ++Seed) {
    ControlSite Site(Seed, Three);
    Site.startAll(true);
    BOOST_TEST_REQUIRE(!Site.waitForLeader(seconds(10)).empty());
    std::uint64_t Number = 0;
    for (int Round = 0; Round < 6; ++Round) {
      BOOST_TEST_REQUIRE(Site.putSurely(++Number));
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

/// Machines are exchanged for empty ones at other addresses, one by one, until
/// none of the seeds is left.
BOOST_FIXTURE_TEST_CASE(EveryHostCanBeExchanged, Fixture) {
  BOOST_TEST(Site.putSurely(7));
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

BOOST_FIXTURE_TEST_CASE(EntryHostsAreToldAtOnceAndWaitedFor, Fixture) {
  HostId Entry("10.0.5.5");
  Site.Net.runFor(milliseconds(700)); // The leader has heard all by now.
  EntrySync Sync;
  Sync.Sequence = 1;
  Sync.Ready = true;
  Site.Net.send(Entry, Leader, Sync);
  Site.Net.runFor(milliseconds(50));
  BOOST_TEST_REQUIRE(!Site.States[Entry].empty());
  BOOST_TEST(Site.States[Entry].back().Placer == Entry);
  ExchangeId Id = Site.put(Leader, 5);
  Site.Net.runFor(milliseconds(300));
  BOOST_TEST(Site.States[Entry].back().Config == 5U);
  BOOST_TEST(Site.States[Entry].back().Text.Data == ControlSite::routing(5));
  BOOST_TEST(Site.statusOf(Leader, Id) == 0); // It has not said so yet.
  Sync.Sequence = 2;
  Sync.Config = 5;
  Site.Net.send(Entry, Leader, Sync);
  Site.Net.runFor(milliseconds(50));
  BOOST_TEST(Site.statusOf(Leader, Id) == 200);
}

/// A configuration of thousands of routes goes to each entry host once, and to
/// some at a time: more would hold up the replicated log on the leader's link.
BOOST_FIXTURE_TEST_CASE(LargeConfigurationsGoToSomeAtATime, Fixture) {
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
  // They ask on while it is under way, then have it in force in turn.
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

/// It is acknowledged once it is in force, for which a large one needs longer;
/// an operator that asks again is not kept waiting anew.
BOOST_FIXTURE_TEST_CASE(LargeConfigurationsAreAcknowledgedInForce, Fixture) {
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
  BOOST_TEST(Site.statusOf(Leader, First) == 0); // 1.6 s: not in force.
  ExchangeId Again = Site.put(Leader, 5, Large);
  for (std::uint64_t Round = 6; Round < 10; ++Round) {
    Site.Net.runFor(milliseconds(400));
    SyncAll(Round, 0);
  }
  BOOST_TEST(Site.statusOf(Leader, First) == 200);
  BOOST_TEST(Site.statusOf(Leader, Again) == 200);
}

/// In a rolling restart who started last is stopped last, but who only just
/// came up may be one that keeps failing.
BOOST_FIXTURE_TEST_CASE(ThePlacerIsTheOneThatARollingRestartLeaves, Fixture) {
  auto Sync = [&](const char *Entry, Duration Uptime, bool Ready,
                  const char *Placer) {
    EntrySync M;
    M.Sequence = 1;
    M.Ready = Ready;
    M.Uptime = Uptime;
    M.Placer = HostId(Placer);
    Site.Net.send(HostId(Entry), Leader, M);
    Site.Net.runFor(milliseconds(20));
  };
  auto Placer = [&] { return Site.Net.node(Leader).State.Placer; };
  Sync("10.0.5.1", seconds(100), true, "");
  BOOST_TEST(Placer() == HostId("10.0.5.1"));
  Sync("10.0.5.2", seconds(90), true, "10.0.5.1");
  Sync("10.0.5.3", seconds(20), true, "10.0.5.1");
  Sync("10.0.5.4", seconds(1), true, "10.0.5.1");
  BOOST_TEST(Placer() == HostId("10.0.5.1"));
  Sync("10.0.5.1", seconds(101), false, "10.0.5.1"); // It stops.
  BOOST_TEST(Placer() == HostId("10.0.5.3"));
}

/// A new leader does not move the work of placing without need.
BOOST_FIXTURE_TEST_CASE(ANewLeaderKeepsThePlacerThatIsAsked, Fixture) {
  HostId Old = Leader;
  Site.Net.crash(Old);
  Leader = Site.waitForLeader(seconds(10));
  BOOST_TEST_REQUIRE(!Leader.empty());
  EntrySync M;
  M.Sequence = 1;
  M.Ready = true;
  M.Placer = HostId("10.0.5.2");
  // Every entry host is heard before the leader has a placer to name.
  Site.Net.perform(Leader, Duration::zero(),
                   [&](ControlNode &N, TimePoint Now) {
                     for (const char *Entry : {"10.0.5.1", "10.0.5.2"}) {
                       EntryPeer &Peer = N.State.Entries[HostId(Entry)];
                       Peer.Heard = Now;
                       Peer.Ready = true;
                       Peer.Placer = M.Placer;
                     }
                   });
  Site.Net.send(HostId("10.0.5.1"), Leader, M);
  Site.Net.runFor(milliseconds(50));
  BOOST_TEST(Site.Net.node(Leader).State.Placer == HostId("10.0.5.2"));
}

BOOST_FIXTURE_TEST_CASE(ReportsReachEntryHostsOfOtherControlHosts, Fixture) {
  HostId Entry("10.0.5.5");
  HostId Other = follower();
  Site.Net.send(Entry, Leader, EntrySync{1, 0, 0, 0, true, {}, {}, {}});
  Site.Net.runFor(milliseconds(600));
  auto Beat = [&](const HostId &At, int Sequence, const char *State) {
    Site.request(
        At, HttpMethod::Post, "/-/replicas/i-1/heartbeat",
        R"({"service":"s","address":"10.0.7.1:80","zone":"z","state":")" +
            std::string(State) + R"(","sequence":)" + std::to_string(Sequence) +
            "}");
    Site.Net.runFor(milliseconds(60));
  };
  Beat(Other, 1, "ready");
  BOOST_TEST_REQUIRE(!Site.States[Entry].back().Servers.empty());
  BOOST_TEST(
      (Site.States[Entry].back().Servers[0].Phase == ServerPhase::Ready));
  Beat(Other, 2, "draining");
  BOOST_TEST(
      (Site.States[Entry].back().Servers[0].Phase == ServerPhase::Draining));
}

/// After a loss of power entry hosts know the servers before these have
/// reported themselves again; one that does not is taken for silent soon.
BOOST_FIXTURE_TEST_CASE(ServersAreKnownRightAfterAStart, Fixture) {
  Site.request(Leader, HttpMethod::Post, "/-/replicas/i-1/heartbeat",
               R"({"service":"s","address":"10.0.7.1:80","zone":"z",)"
               R"("state":"ready","sequence":1})");
  Site.Net.runFor(seconds(2));
  for (const HostId &Name : Site.Seeds)
    Site.losePower(Name);
  Site.startAll(false);
  Leader = Site.waitForLeader(seconds(5));
  BOOST_TEST_REQUIRE(!Leader.empty());
  HostId Entry("10.0.5.5");
  Site.Net.send(Entry, Leader, EntrySync{1, 0, 0, 0, true, {}, {}, {}});
  Site.Net.runFor(milliseconds(50));
  auto Whole =
      std::find_if(Site.States[Entry].begin(), Site.States[Entry].end(),
                   [](const SiteState &M) { return M.Whole; });
  BOOST_TEST_REQUIRE((Whole != Site.States[Entry].end()));
  BOOST_TEST_REQUIRE(Whole->Servers.size() == 1U);
  BOOST_TEST((Whole->Servers[0].Phase == ServerPhase::Ready));
  for (std::uint64_t Sequence = 2; Sequence < 12; ++Sequence) {
    Site.Net.runFor(milliseconds(500));
    Site.Net.send(Entry, Leader,
                  EntrySync{Sequence, 0, 0, 0, true, {}, {}, {}});
  }
  Site.Net.runFor(milliseconds(100));
  BOOST_TEST(
      (Site.States[Entry].back().Servers[0].Phase == ServerPhase::Silent));
}
