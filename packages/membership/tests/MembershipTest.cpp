#define BOOST_TEST_MODULE membership
#include <boost/test/unit_test.hpp>

#include "membership/tests/MembershipSite.h"

#include <cstdlib>

using namespace pimento;
using pimento::testing::MembershipSite;

namespace {

// What the service promises for nine hosts.
constexpr Duration KnownEverywhere = seconds(3);
// After a cut: what the other side knows comes first, then the silence of a
// server that only one side had heard of.
constexpr Duration KnownAfterACut = seconds(6);

std::uint64_t seedCount(std::uint64_t Default) {
  const char *Asked = std::getenv("PIMENTO_SEEDS");
  return Asked ? std::strtoull(Asked, nullptr, 10) : Default;
}

std::string seedText(std::uint64_t Seed) {
  return "seed " + std::to_string(Seed);
}

/// Runs until everybody knows everybody and every server.
bool settle(MembershipSite &Site) {
  return Site.P.runUntilDone(seconds(20), [&] {
    return Site.allAlive() && Site.allReady() &&
           Site.everyHost([&](const HostId &Name) {
             for (const auto &Entry : Site.Servers) {
               bool Offered = Site.offers(Name, Entry.first);
               if (Entry.second.Up && !Entry.second.Next.Leaving && !Offered)
                 return false;
             }
             return true;
           });
  });
}

bool deadEverywhere(const MembershipSite &Site, const HostId &Host) {
  return Site.everyHost([&](const HostId &Name) {
    return Name == Host || Site.statusAt(Name, Host) == HostStatus::Dead;
  });
}

bool offeredNowhere(const MembershipSite &Site, const BackendId &Id) {
  return Site.everyHost(
      [&](const HostId &Name) { return !Site.offers(Name, Id); });
}

void cutBothWays(MembershipSite &Site, const HostId &A, const HostId &B) {
  Site.P.cut(A, B);
  Site.P.cut(B, A);
}

/// One random fault, now.
void hurt(MembershipSite &Site) {
  Random &R = Site.P.Rng;
  const HostId &A = Site.Names[below(R, Site.Names.size())];
  const HostId &B = Site.Names[below(R, Site.Names.size())];
  auto Victim = Site.Servers.begin();
  std::advance(Victim, below(R, Site.Servers.size()));
  const BackendId &Id = Victim->first;
  switch (below(R, 12)) {
  case 0:
    if (Site.P.up(A))
      Site.P.crash(A);
    break;
  case 1:
  case 2:
    if (!Site.P.up(A))
      Site.start(A);
    break;
  case 3:
    if (Site.P.up(A))
      Site.P.freeze(A);
    break;
  case 4:
    if (Site.P.frozen(A))
      Site.P.thaw(A);
    break;
  case 5:
    Site.P.isolate(A);
    break;
  case 6:
    if (A != B)
      Site.P.cut(A, B);
    break;
  case 7:
    Site.P.healAll();
    break;
  case 8:
    if (Victim->second.Up)
      Site.leaveServer(Id);
    break;
  case 9:
    Site.stopServer(Id);
    break;
  case 10:
    Site.stopServer(Id);
    Site.startServer(Id);
    break;
  default: // A load balancer sends it elsewhere from now on.
    Victim->second.At = below(R, Site.Names.size());
    break;
  }
}

void healEverything(MembershipSite &Site) {
  Site.P.healAll();
  Site.P.Faults = pimento::testing::NetworkFaults();
  for (const HostId &Name : Site.Names) {
    if (!Site.P.up(Name))
      Site.start(Name);
    else if (Site.P.frozen(Name))
      Site.P.thaw(Name);
  }
}

/// An announcement of any time reaches any host once more.
void replay(MembershipSite &Site) {
  Random &R = Site.P.Rng;
  const HostId &To = Site.Names[below(R, Site.Names.size())];
  if (Site.P.running(To) && !Site.Sent.empty())
    Site.deliver(To, Site.Sent[below(R, Site.Sent.size())]);
}

} // namespace

BOOST_AUTO_TEST_SUITE(HostSuite)

BOOST_AUTO_TEST_CASE(ADeadHostIsKnownEverywhereInTime) {
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    MembershipSite Site(9, 0, Seed);
    BOOST_REQUIRE_MESSAGE(settle(Site), seedText(Seed));
    Site.P.Faults.Loss = 0.05;
    HostId Victim = Site.Names[Seed % 9];
    Site.P.crash(Victim);
    bool Known = Site.P.runUntilDone(
        KnownEverywhere, [&] { return deadEverywhere(Site, Victim); });
    BOOST_TEST(Known, seedText(Seed));
  }
}

BOOST_AUTO_TEST_CASE(LossAloneKillsNobody) {
  std::uint64_t Suspicions = 0;
  constexpr int Seeds = 20;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    MembershipSite Site(9, 0, Seed);
    BOOST_REQUIRE(settle(Site));
    Site.P.Faults.Loss = 0.05;
    Site.P.runFor(minutes(3));
    BOOST_TEST(Site.Deaths == 0U, seedText(Seed));
    Suspicions += Site.Suspicions;
  }
  // At most one suspicion in ten minutes of each host, of which all nine hear.
  BOOST_TEST_MESSAGE("suspicions heard of in one host-hour: "
                     << Suspicions / (Seeds * 9 * 3 / 60.0));
  BOOST_TEST(Suspicions <= Seeds * 9 * 3 / 10 * 9);
}

BOOST_AUTO_TEST_CASE(ASilentLinkIsNoDeadHost) {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    MembershipSite Site(9, 0, Seed);
    BOOST_REQUIRE(settle(Site));
    HostId A = Site.Names[1];
    HostId B = Site.Names[6];
    if (Seed % 2 == 0)
      cutBothWays(Site, A, B);
    else
      Site.P.cut(A, B); // One way.
    Site.P.runFor(seconds(20));
    BOOST_TEST(Site.Deaths == 0U, seedText(Seed));
    BOOST_TEST(!hostView(Site.P.node(A), B)->Direct, seedText(Seed));
    BOOST_TEST(!hostView(Site.P.node(B), A)->Direct, seedText(Seed));
    Site.P.healAll();
    Site.P.runFor(seconds(10));
    BOOST_TEST(hostView(Site.P.node(A), B)->Direct, seedText(Seed));
  }
}

BOOST_AUTO_TEST_CASE(ASlowHostIsNotDead) {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    MembershipSite Site(9, 0, Seed);
    BOOST_REQUIRE(settle(Site));
    HostId Slow = Site.Names[4];
    Site.SlowHosts.insert(Slow);
    Site.P.runFor(seconds(20));
    BOOST_TEST(Site.Deaths == 0U, seedText(Seed));
    BOOST_TEST(hostView(Site.P.node(Site.Names[0]), Slow)->Slow);
    BOOST_TEST(!hostView(Site.P.node(Site.Names[0]), Site.Names[1])->Slow);
  }
}

BOOST_AUTO_TEST_CASE(AFrozenHostComesBackAndBlamesNobody) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    MembershipSite Site(9, 6, Seed);
    BOOST_REQUIRE(settle(Site));
    HostId Frozen = Site.Names[3];
    Site.P.freeze(Frozen);
    Site.P.runFor(seconds(10));
    BOOST_TEST(deadEverywhere(Site, Frozen), seedText(Seed));
    std::uint64_t Deaths = Site.Deaths;
    std::uint64_t Gone = Site.Gone;
    Site.P.thaw(Frozen);
    bool Back =
        Site.P.runUntilDone(KnownEverywhere, [&] { return Site.allAlive(); });
    BOOST_TEST(Back, seedText(Seed));
    Site.P.runFor(seconds(5));
    BOOST_TEST(Site.Deaths == Deaths, seedText(Seed));
    BOOST_TEST(Site.Gone == Gone, seedText(Seed));
  }
}

BOOST_AUTO_TEST_CASE(AHostThatStoodStillSuspectsNobody) {
  MembershipSite Site(9, 6, 3);
  BOOST_REQUIRE(settle(Site));
  HostId Frozen = Site.Names[3];
  MembershipState Alone = Site.P.node(Frozen);
  MembershipOutputs Out;
  onTick(Alone, Site.P.clock(Frozen) + milliseconds(240), Out);
  BOOST_REQUIRE(!Alone.Probes.empty()); // Frozen while it waits.
  TimePoint Thaw = Site.P.clock(Frozen) + seconds(30);
  for (int Tick = 0; Tick < 40; ++Tick)
    onTick(Alone, Thaw + milliseconds(10) * Tick, Out);
  BOOST_TEST(Out.Hosts.empty());
  BOOST_TEST(Out.Backends.empty());
}

BOOST_AUTO_TEST_CASE(ARestartedHostIsANewLife) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    MembershipSite Site(9, 4, Seed);
    BOOST_REQUIRE(settle(Site));
    HostId Host = Site.Names[Seed % 9];
    Site.P.crash(Host);
    Site.P.runFor(milliseconds(below(Site.P.Rng, 5000)));
    Site.start(Host);
    bool Known = Site.P.runUntilDone(KnownEverywhere, [&] {
      return Site.allAlive() && Site.allReady() &&
             Site.everyHost([&](const HostId &Name) {
               return Name == Host ||
                      hostView(Site.P.node(Name), Host)->Incarnation == 2;
             });
    });
    BOOST_TEST(Known, seedText(Seed));
    BOOST_TEST(allBackends(Site.P.node(Host)).size() == 4U, seedText(Seed));
  }
}

BOOST_AUTO_TEST_CASE(AnEarlierLifeIsNotHeard) {
  MembershipConfig Config;
  Config.Self = HostId("a");
  Config.Incarnation = 5;
  Config.Hosts = {HostId("a"), HostId("b")};
  TimePoint Now(hours(1));
  MembershipState S = makeMembership(Config, 1, Now);
  MembershipOutputs Out;
  onMessage(S, HostId("b"),
            Ping{1, {{HostId("b"), 9, 1, HostStatus::Alive}}, {}, 0}, Now, Out);
  BOOST_TEST(hostView(S, HostId("b"))->Incarnation == 9U);
  Out.Messages.clear();
  onMessage(S, HostId("b"),
            Ping{2, {{HostId("b"), 8, 50, HostStatus::Leaving}}, {}, 0}, Now,
            Out);
  BOOST_TEST(Out.Messages.empty());
  BOOST_TEST((hostView(S, HostId("b"))->Status == HostStatus::Alive));
}

BOOST_AUTO_TEST_CASE(ACutInTwoHeals) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    MembershipSite Site(9, 9, Seed);
    BOOST_REQUIRE(settle(Site));
    for (std::size_t A = 0; A < 4; ++A) {
      for (std::size_t B = 4; B < 9; ++B)
        cutBothWays(Site, Site.Names[A], Site.Names[B]);
    }
    Site.P.runFor(seconds(60));
    BOOST_TEST(deadEverywhere(Site, Site.Names[8]) == false);
    BOOST_TEST(
        (Site.statusAt(Site.Names[0], Site.Names[8]) == HostStatus::Dead));
    Site.P.healAll();
    BOOST_TEST(settle(Site), seedText(Seed));
    BOOST_TEST(Site.Breach == "", seedText(Seed));
  }
}

BOOST_AUTO_TEST_CASE(AHostThatLeavesSaysSo) {
  MembershipSite Site(9, 0, 4);
  BOOST_REQUIRE(settle(Site));
  HostId Leaver = Site.Names[2];
  auto Leave = [&](bool Final) {
    Site.P.perform(Leaver, Duration::zero(),
                   [&Site, Leaver, Final](MembershipState &S, TimePoint Now) {
                     MembershipOutputs Out;
                     leave(S, Final, Now, Out);
                     for (const Outbound &O : Out.Messages)
                       Site.P.send(Leaver, O.To, O.Content);
                   });
  };
  Leave(false);
  Site.P.runFor(seconds(1));
  BOOST_TEST(Site.everyHost([&](const HostId &Name) {
    return Name == Leaver || Site.statusAt(Name, Leaver) == HostStatus::Leaving;
  }));
  Leave(true);
  Site.P.runFor(milliseconds(300));
  BOOST_TEST(deadEverywhere(Site, Leaver)); // Without waiting for silence.
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(BackendSuite)

BOOST_AUTO_TEST_CASE(ALeavingServerIsOfferedNowhereInTime) {
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    MembershipSite Site(9, 12, Seed);
    BOOST_REQUIRE(settle(Site));
    Site.P.Faults.Loss = 0.05;
    Site.leaveServer(BackendId("e3"));
    bool Known = Site.P.runUntilDone(
        KnownEverywhere, [&] { return offeredNowhere(Site, BackendId("e3")); });
    BOOST_TEST(Known, seedText(Seed));
    Site.P.runFor(seconds(5));
    BOOST_TEST(offeredNowhere(Site, BackendId("e3")), seedText(Seed));
    BOOST_TEST(Site.offers(Site.Names[0], BackendId("e4")));
    BOOST_TEST(Site.Breach == "", seedText(Seed));
  }
}

BOOST_AUTO_TEST_CASE(ASilentServerIsOfferedNowhereInTime) {
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    MembershipSite Site(9, 12, Seed);
    BOOST_REQUIRE(settle(Site));
    Site.P.runFor(milliseconds(below(Site.P.Rng, 2000)));
    Site.P.Faults.Loss = 0.05;
    Site.stopServer(BackendId("e3"));
    bool Known = Site.P.runUntilDone(
        KnownEverywhere, [&] { return offeredNowhere(Site, BackendId("e3")); });
    BOOST_TEST(Known, seedText(Seed));
    BOOST_TEST(Site.Gone == 9U, seedText(Seed)); // Nobody else was.
  }
}

BOOST_AUTO_TEST_CASE(AServerAndItsWatcherDieTogether) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    MembershipSite Site(9, 12, Seed);
    BOOST_REQUIRE(settle(Site));
    Site.P.runFor(seconds(2));
    BackendId Id("e3");
    HostId Watcher = watchersOf(Site.P.node(Site.Names[0]), Id)[0];
    Site.stopServer(Id);
    Site.P.crash(Watcher);
    bool Known = Site.P.runUntilDone(KnownEverywhere,
                                     [&] { return offeredNowhere(Site, Id); });
    BOOST_TEST(Known, seedText(Seed));
  }
}

BOOST_AUTO_TEST_CASE(ASilentLinkToItsWatcherKillsNoServer) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    MembershipSite Site(9, 12, Seed);
    BOOST_REQUIRE(settle(Site));
    BackendId Id("e3");
    HostId Hears = Site.Names[Site.Servers[Id].At];
    for (const HostId &Watcher : watchersOf(Site.P.node(Hears), Id)) {
      if (Watcher != Hears) {
        Site.P.cut(Hears, Watcher); // The first one only.
        break;
      }
    }
    Site.P.runFor(seconds(15));
    BOOST_TEST(Site.Gone == 0U, seedText(Seed));
  }
}

BOOST_AUTO_TEST_CASE(AServerThatAnnouncesAnywhereMakesNoNews) {
  MembershipSite Site(9, 3, 8);
  BOOST_REQUIRE(settle(Site));
  std::uint64_t Before =
      findBackend(Site.P.node(Site.Names[0]), BackendId("e1"))->Version;
  for (int I = 0; I < 40; ++I) {
    for (auto &Entry : Site.Servers)
      Entry.second.At = below(Site.P.Rng, Site.Names.size());
    Site.P.runFor(milliseconds(500));
  }
  BOOST_TEST(Site.Gone == 0U);
  BOOST_TEST(
      findBackend(Site.P.node(Site.Names[0]), BackendId("e1"))->Version ==
      Before);
}

BOOST_AUTO_TEST_CASE(AnOldAnnouncementRevivesNobody) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    MembershipSite Site(9, 4, Seed);
    BOOST_REQUIRE(settle(Site));
    Site.P.runFor(seconds(3));
    BackendId Leaver("e1");
    BackendId Silent("e2");
    Site.leaveServer(Leaver);
    Site.stopServer(Leaver);
    Site.stopServer(Silent);
    Site.P.runFor(seconds(5));
    Site.P.crash(Site.Names[4]); // Comes back knowing nothing.
    Site.start(Site.Names[4]);
    Site.P.runFor(seconds(2));
    for (int I = 0; I < 200; ++I) {
      replay(Site);
      Site.P.runFor(milliseconds(20));
      BOOST_REQUIRE_MESSAGE(offeredNowhere(Site, Leaver), seedText(Seed));
      BOOST_REQUIRE_MESSAGE(offeredNowhere(Site, Silent), seedText(Seed));
    }
    // What is new does: a new life, or a newer word of who was silent.
    Site.startServer(Leaver);
    ++Site.Servers[Silent].Next.Sequence;
    Site.deliver(Site.Names[0], Site.Servers[Silent].Next);
    Site.P.runFor(milliseconds(900));
    BOOST_TEST(Site.offers(Site.Names[7], Leaver), seedText(Seed));
    BOOST_TEST(Site.offers(Site.Names[7], Silent), seedText(Seed));
  }
}

BOOST_AUTO_TEST_CASE(AServerThatLeftStaysOutForItsLife) {
  MembershipConfig Config;
  Config.Self = HostId("a");
  Config.Hosts = {HostId("a")};
  TimePoint Now(hours(1));
  MembershipState S = makeMembership(Config, 1, Now);
  MembershipOutputs Out;
  Announcement A;
  A.Id = BackendId("e1");
  A.Incarnation = 1;
  A.Models = {ModelName("atlas")};
  auto Announce = [&](bool Leaving) {
    ++A.Sequence;
    A.Leaving = Leaving;
    return onAnnounce(S, A, Now, Out);
  };
  BOOST_TEST(Announce(false));
  BOOST_TEST(enginesOf(S, ModelName("atlas")).size() == 1U);
  BOOST_TEST(Announce(true));
  BOOST_TEST(enginesOf(S, ModelName("atlas")).empty());
  BOOST_TEST(Announce(false));
  BOOST_TEST(enginesOf(S, ModelName("atlas")).empty());
  ++A.Incarnation;
  A.Sequence = 0;
  BOOST_TEST(Announce(false));
  BOOST_TEST(enginesOf(S, ModelName("atlas")).size() == 1U);
}

BOOST_AUTO_TEST_CASE(GoneServersAreForgottenInTheEnd) {
  MembershipConfig Config;
  Config.TombstoneTime = seconds(20);
  MembershipSite Site(9, 4, 2, Config);
  BOOST_REQUIRE(settle(Site));
  Site.stopServer(BackendId("e1"));
  Site.P.runFor(seconds(10));
  for (const HostId &Name : Site.Names)
    BOOST_TEST(Site.P.node(Name).Backends.Records.size() == 4U);
  Site.P.runFor(seconds(20));
  for (const HostId &Name : Site.Names)
    BOOST_TEST(Site.P.node(Name).Backends.Records.size() == 3U);
}

BOOST_AUTO_TEST_CASE(AHostCutOffForLongLearnsAnew) {
  MembershipConfig Config;
  Config.TombstoneTime = seconds(20);
  MembershipSite Site(9, 4, 2, Config);
  BOOST_REQUIRE(settle(Site));
  Site.P.isolate(Site.Names[5]);
  Site.stopServer(BackendId("e1"));
  Site.P.runFor(seconds(60)); // Nobody else remembers e1.
  BOOST_TEST(Site.offers(Site.Names[5], BackendId("e1")));
  Site.P.healAll();
  bool Revived = Site.P.runUntilDone(
      seconds(10), [&] { return Site.offers(Site.Names[0], BackendId("e1")); });
  BOOST_TEST(!Revived);
  BOOST_TEST(!Site.offers(Site.Names[5], BackendId("e1")));
  BOOST_TEST(settle(Site));
}

BOOST_AUTO_TEST_CASE(RandomFaultsNeverBreakAnInvariant) {
  for (std::uint64_t Seed = 1; Seed <= seedCount(150); ++Seed) {
    MembershipSite Site(5 + Seed % 5, 6, Seed);
    Site.P.Faults.Loss = uniform(Site.P.Rng) * 0.2;
    Site.P.Faults.Duplicate = uniform(Site.P.Rng) * 0.1;
    Site.P.Faults.Slow = uniform(Site.P.Rng) * 0.1;
    Site.P.Faults.SlowDelay = seconds(2);
    for (int Step = 0; Step < 60; ++Step) {
      Site.P.runFor(between(Site.P.Rng, milliseconds(10), milliseconds(700)));
      if (below(Site.P.Rng, 3) == 0)
        hurt(Site);
      replay(Site);
    }
    healEverything(Site);
    BOOST_TEST(settle(Site), seedText(Seed));
    Site.P.runFor(KnownAfterACut);
    for (const auto &[Id, Server] : Site.Servers) {
      if (!Server.Up || Server.Next.Leaving)
        BOOST_TEST(offeredNowhere(Site, Id), seedText(Seed) << " " << Id);
    }
    BOOST_REQUIRE_MESSAGE(Site.Breach.empty(),
                          seedText(Seed) + ": " + Site.Breach);
  }
}

BOOST_AUTO_TEST_SUITE_END()
