#define BOOST_TEST_MODULE membership
#include <boost/test/unit_test.hpp>

#include "membership/tests/MembershipSite.h"

#include <cstdlib>

using namespace pimento;
using pimento::testing::MembershipSite;

namespace {

// Guaranteed time for nine hosts until a change is known to all of them.
constexpr Duration DetectionTime = seconds(3);
// After a partition heals, hosts first exchange registries, and only then can
// they detect the silence of a server that one side alone knew.
constexpr Duration DetectionAfterPartition = seconds(6);

std::uint64_t seedCount(std::uint64_t Default) {
  const char *Override = std::getenv("PIMENTO_SEEDS");
  return Override ? std::strtoull(Override, nullptr, 10) : Default;
}

std::string seedText(std::uint64_t Seed) {
  return "seed " + std::to_string(Seed);
}

/// Runs until every host sees all hosts alive and offers every server.
bool runUntilStable(MembershipSite &Site) {
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

bool deadOnAllHosts(const MembershipSite &Site, const HostId &Host) {
  return Site.everyHost([&](const HostId &Name) {
    return Name == Host || Site.statusAt(Name, Host) == HostStatus::Dead;
  });
}

bool offeredByNoHost(const MembershipSite &Site, const BackendId &Id) {
  return Site.everyHost(
      [&](const HostId &Name) { return !Site.offers(Name, Id); });
}

void disconnect(MembershipSite &Site, const HostId &A, const HostId &B) {
  Site.P.cut(A, B);
  Site.P.cut(B, A);
}

/// Injects one random fault.
void injectRandomFault(MembershipSite &Site) {
  Random &R = Site.P.Rng;
  const HostId &A = Site.Names[below(R, Site.Names.size())];
  const HostId &B = Site.Names[below(R, Site.Names.size())];
  auto Server = Site.Servers.begin();
  std::advance(Server, below(R, Site.Servers.size()));
  const BackendId &Id = Server->first;
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
    if (Server->second.Up)
      Site.leaveServer(Id);
    break;
  case 9:
    Site.stopServer(Id);
    break;
  case 10:
    Site.stopServer(Id);
    Site.startServer(Id);
    break;
  default: // The server announces itself to another host from now on.
    Server->second.At = below(R, Site.Names.size());
    break;
  }
}

void repairEverything(MembershipSite &Site) {
  Site.P.healAll();
  Site.P.Faults = pimento::testing::NetworkFaults();
  for (const HostId &Name : Site.Names) {
    if (!Site.P.up(Name))
      Site.start(Name);
    else if (Site.P.frozen(Name))
      Site.P.thaw(Name);
  }
}

/// Delivers a random past announcement to a random host again.
void replay(MembershipSite &Site) {
  Random &R = Site.P.Rng;
  const HostId &To = Site.Names[below(R, Site.Names.size())];
  if (Site.P.running(To) && !Site.Sent.empty())
    Site.deliver(To, Site.Sent[below(R, Site.Sent.size())]);
}

} // namespace

BOOST_AUTO_TEST_SUITE(HostSuite)

BOOST_AUTO_TEST_CASE(DeadHostIsDetectedByAllHostsInTime) {
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    MembershipSite Site(9, 0, Seed);
    BOOST_REQUIRE_MESSAGE(runUntilStable(Site), seedText(Seed));
    Site.P.Faults.Loss = 0.05;
    HostId Failed = Site.Names[Seed % 9];
    Site.P.crash(Failed);
    bool Known = Site.P.runUntilDone(
        DetectionTime, [&] { return deadOnAllHosts(Site, Failed); });
    BOOST_TEST(Known, seedText(Seed));
  }
}

// A failure detector without indirect probes and refutation declares hosts dead
// when 5 % of the messages are lost.
BOOST_AUTO_TEST_CASE(MessageLossAloneDeclaresNoHostDead) {
  std::uint64_t Suspicions = 0;
  constexpr int Seeds = 20;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    MembershipSite Site(9, 0, Seed);
    BOOST_REQUIRE(runUntilStable(Site));
    Site.P.Faults.Loss = 0.05;
    Site.P.runFor(minutes(3));
    BOOST_TEST(Site.Deaths == 0U, seedText(Seed));
    Suspicions += Site.Suspicions;
  }
  // At most one suspicion of each host in ten minutes, counted at all nine
  // hosts.
  BOOST_TEST_MESSAGE("suspicions counted in one host-hour: "
                     << Suspicions / (Seeds * 9 * 3 / 60.0));
  BOOST_TEST(Suspicions <= Seeds * 9 * 3 / 10 * 9);
}

BOOST_AUTO_TEST_CASE(HostBehindOneBrokenLinkStaysAlive) {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    MembershipSite Site(9, 0, Seed);
    BOOST_REQUIRE(runUntilStable(Site));
    HostId A = Site.Names[1];
    HostId B = Site.Names[6];
    if (Seed % 2 == 0)
      disconnect(Site, A, B);
    else
      Site.P.cut(A, B); // Only one direction.
    Site.P.runFor(seconds(20));
    BOOST_TEST(Site.Deaths == 0U, seedText(Seed));
    BOOST_TEST(!hostView(Site.P.node(A), B)->Direct, seedText(Seed));
    BOOST_TEST(!hostView(Site.P.node(B), A)->Direct, seedText(Seed));
    Site.P.healAll();
    Site.P.runFor(seconds(10));
    BOOST_TEST(hostView(Site.P.node(A), B)->Direct, seedText(Seed));
  }
}

BOOST_AUTO_TEST_CASE(SlowHostIsNotDeclaredDead) {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    MembershipSite Site(9, 0, Seed);
    BOOST_REQUIRE(runUntilStable(Site));
    HostId Slow = Site.Names[4];
    Site.SlowHosts.insert(Slow);
    Site.P.runFor(seconds(20));
    BOOST_TEST(Site.Deaths == 0U, seedText(Seed));
    BOOST_TEST(hostView(Site.P.node(Site.Names[0]), Slow)->Slow);
    BOOST_TEST(!hostView(Site.P.node(Site.Names[0]), Site.Names[1])->Slow);
  }
}

// A paused process sees all its probes and announcements overdue when it
// resumes. It must not declare other hosts or servers dead for that.
BOOST_AUTO_TEST_CASE(ResumedHostRejoinsAndDeclaresNobodyDead) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    MembershipSite Site(9, 6, Seed);
    BOOST_REQUIRE(runUntilStable(Site));
    HostId Frozen = Site.Names[3];
    Site.P.freeze(Frozen);
    Site.P.runFor(seconds(10));
    BOOST_TEST(deadOnAllHosts(Site, Frozen), seedText(Seed));
    std::uint64_t Deaths = Site.Deaths;
    std::uint64_t Gone = Site.Gone;
    Site.P.thaw(Frozen);
    bool Back =
        Site.P.runUntilDone(DetectionTime, [&] { return Site.allAlive(); });
    BOOST_TEST(Back, seedText(Seed));
    Site.P.runFor(seconds(5));
    BOOST_TEST(Site.Deaths == Deaths, seedText(Seed));
    BOOST_TEST(Site.Gone == Gone, seedText(Seed));
  }
}

BOOST_AUTO_TEST_CASE(PausedHostSuspectsNobodyOnResume) {
  MembershipSite Site(9, 6, 3);
  BOOST_REQUIRE(runUntilStable(Site));
  HostId Frozen = Site.Names[3];
  MembershipState Alone = Site.P.node(Frozen);
  MembershipOutputs Out;
  onTick(Alone, Site.P.clock(Frozen) + milliseconds(240), Out);
  BOOST_REQUIRE(!Alone.Probes.empty()); // Paused with an outstanding probe.
  TimePoint ResumedAt = Site.P.clock(Frozen) + seconds(30);
  for (int Tick = 0; Tick < 40; ++Tick)
    onTick(Alone, ResumedAt + milliseconds(10) * Tick, Out);
  BOOST_TEST(Out.Hosts.empty());
  BOOST_TEST(Out.Backends.empty());
}

BOOST_AUTO_TEST_CASE(RestartedHostGetsHigherIncarnation) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    MembershipSite Site(9, 4, Seed);
    BOOST_REQUIRE(runUntilStable(Site));
    HostId Host = Site.Names[Seed % 9];
    Site.P.crash(Host);
    Site.P.runFor(milliseconds(below(Site.P.Rng, 5000)));
    Site.start(Host);
    bool Known = Site.P.runUntilDone(DetectionTime, [&] {
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

BOOST_AUTO_TEST_CASE(MessagesOfEarlierIncarnationAreIgnored) {
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

BOOST_AUTO_TEST_CASE(PartitionedHostsRecoverAfterHealing) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    MembershipSite Site(9, 9, Seed);
    BOOST_REQUIRE(runUntilStable(Site));
    for (std::size_t A = 0; A < 4; ++A) {
      for (std::size_t B = 4; B < 9; ++B)
        disconnect(Site, Site.Names[A], Site.Names[B]);
    }
    Site.P.runFor(seconds(60));
    BOOST_TEST(deadOnAllHosts(Site, Site.Names[8]) == false);
    BOOST_TEST(
        (Site.statusAt(Site.Names[0], Site.Names[8]) == HostStatus::Dead));
    Site.P.healAll();
    BOOST_TEST(runUntilStable(Site), seedText(Seed));
    BOOST_TEST(Site.Violation == "", seedText(Seed));
  }
}

BOOST_AUTO_TEST_CASE(LeavingHostAnnouncesItsDeparture) {
  MembershipSite Site(9, 0, 4);
  BOOST_REQUIRE(runUntilStable(Site));
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
  BOOST_TEST(deadOnAllHosts(Site, Leaver)); // Before the suspicion timeout.
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(BackendSuite)

BOOST_AUTO_TEST_CASE(LeavingServerIsWithdrawnByAllHostsInTime) {
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    MembershipSite Site(9, 12, Seed);
    BOOST_REQUIRE(runUntilStable(Site));
    Site.P.Faults.Loss = 0.05;
    Site.leaveServer(BackendId("e3"));
    bool Known = Site.P.runUntilDone(
        DetectionTime, [&] { return offeredByNoHost(Site, BackendId("e3")); });
    BOOST_TEST(Known, seedText(Seed));
    Site.P.runFor(seconds(5));
    BOOST_TEST(offeredByNoHost(Site, BackendId("e3")), seedText(Seed));
    BOOST_TEST(Site.offers(Site.Names[0], BackendId("e4")));
    BOOST_TEST(Site.Violation == "", seedText(Seed));
  }
}

BOOST_AUTO_TEST_CASE(SilentServerIsWithdrawnByAllHostsInTime) {
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    MembershipSite Site(9, 12, Seed);
    BOOST_REQUIRE(runUntilStable(Site));
    Site.P.runFor(milliseconds(below(Site.P.Rng, 2000)));
    Site.P.Faults.Loss = 0.05;
    Site.stopServer(BackendId("e3"));
    bool Known = Site.P.runUntilDone(
        DetectionTime, [&] { return offeredByNoHost(Site, BackendId("e3")); });
    BOOST_TEST(Known, seedText(Seed));
    BOOST_TEST(Site.Gone == 9U, seedText(Seed)); // Only this server, per host.
  }
}

BOOST_AUTO_TEST_CASE(ServerThatFailsWithItsWatcherIsWithdrawn) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    MembershipSite Site(9, 12, Seed);
    BOOST_REQUIRE(runUntilStable(Site));
    Site.P.runFor(seconds(2));
    BackendId Id("e3");
    HostId Watcher = watchersOf(Site.P.node(Site.Names[0]), Id)[0];
    Site.stopServer(Id);
    Site.P.crash(Watcher);
    bool Known = Site.P.runUntilDone(DetectionTime,
                                     [&] { return offeredByNoHost(Site, Id); });
    BOOST_TEST(Known, seedText(Seed));
  }
}

// The watcher gets no reports from the host that receives the announcements.
// It must query other hosts before it declares the server gone.
BOOST_AUTO_TEST_CASE(BrokenLinkToWatcherDeclaresNoServerGone) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    MembershipSite Site(9, 12, Seed);
    BOOST_REQUIRE(runUntilStable(Site));
    BackendId Id("e3");
    HostId Receiver = Site.Names[Site.Servers[Id].At];
    for (const HostId &Watcher : watchersOf(Site.P.node(Receiver), Id)) {
      if (Watcher != Receiver) {
        Site.P.cut(Receiver, Watcher); // Only the first other watcher.
        break;
      }
    }
    Site.P.runFor(seconds(15));
    BOOST_TEST(Site.Gone == 0U, seedText(Seed));
  }
}

BOOST_AUTO_TEST_CASE(AnnouncingToAnotherHostKeepsTheRecordVersion) {
  MembershipSite Site(9, 3, 8);
  BOOST_REQUIRE(runUntilStable(Site));
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

// A delayed or repeated announcement may reach any host, also one that has
// just restarted with an empty registry. It must not bring back a server.
BOOST_AUTO_TEST_CASE(ReplayedAnnouncementRevivesNoServer) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    MembershipSite Site(9, 4, Seed);
    BOOST_REQUIRE(runUntilStable(Site));
    Site.P.runFor(seconds(3));
    BackendId Leaver("e1");
    BackendId Silent("e2");
    Site.leaveServer(Leaver);
    Site.stopServer(Leaver);
    Site.stopServer(Silent);
    Site.P.runFor(seconds(5));
    Site.P.crash(Site.Names[4]); // Restarts with an empty registry.
    Site.start(Site.Names[4]);
    Site.P.runFor(seconds(2));
    for (int I = 0; I < 200; ++I) {
      replay(Site);
      Site.P.runFor(milliseconds(20));
      BOOST_REQUIRE_MESSAGE(offeredByNoHost(Site, Leaver), seedText(Seed));
      BOOST_REQUIRE_MESSAGE(offeredByNoHost(Site, Silent), seedText(Seed));
    }
    // New announcements do revive: those of a new incarnation, or newer ones of
    // a server that was silent.
    Site.startServer(Leaver);
    ++Site.Servers[Silent].Next.Sequence;
    Site.deliver(Site.Names[0], Site.Servers[Silent].Next);
    Site.P.runFor(milliseconds(900));
    BOOST_TEST(Site.offers(Site.Names[7], Leaver), seedText(Seed));
    BOOST_TEST(Site.offers(Site.Names[7], Silent), seedText(Seed));
  }
}

BOOST_AUTO_TEST_CASE(ServerThatLeftStaysOutForItsIncarnation) {
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

BOOST_AUTO_TEST_CASE(GoneServersAreRemovedAfterTombstoneTime) {
  MembershipConfig Config;
  Config.TombstoneTime = seconds(20);
  MembershipSite Site(9, 4, 2, Config);
  BOOST_REQUIRE(runUntilStable(Site));
  Site.stopServer(BackendId("e1"));
  Site.P.runFor(seconds(10));
  for (const HostId &Name : Site.Names)
    BOOST_TEST(Site.P.node(Name).Backends.Records.size() == 4U);
  Site.P.runFor(seconds(20));
  for (const HostId &Name : Site.Names)
    BOOST_TEST(Site.P.node(Name).Backends.Records.size() == 3U);
}

// A host isolated for longer than TombstoneTime still holds the record of a
// server that all others have forgotten. It must not give the record to them.
BOOST_AUTO_TEST_CASE(HostIsolatedForLongRelearnsTheRegistry) {
  MembershipConfig Config;
  Config.TombstoneTime = seconds(20);
  MembershipSite Site(9, 4, 2, Config);
  BOOST_REQUIRE(runUntilStable(Site));
  Site.P.isolate(Site.Names[5]);
  Site.stopServer(BackendId("e1"));
  Site.P.runFor(seconds(60)); // All other hosts have removed e1's tombstone.
  BOOST_TEST(Site.offers(Site.Names[5], BackendId("e1")));
  Site.P.healAll();
  bool Revived = Site.P.runUntilDone(
      seconds(10), [&] { return Site.offers(Site.Names[0], BackendId("e1")); });
  BOOST_TEST(!Revived);
  BOOST_TEST(!Site.offers(Site.Names[5], BackendId("e1")));
  BOOST_TEST(runUntilStable(Site));
}

BOOST_AUTO_TEST_CASE(InvariantsHoldUnderRandomFaults) {
  for (std::uint64_t Seed = 1; Seed <= seedCount(150); ++Seed) {
    MembershipSite Site(5 + Seed % 5, 6, Seed);
    Site.P.Faults.Loss = uniform(Site.P.Rng) * 0.2;
    Site.P.Faults.Duplicate = uniform(Site.P.Rng) * 0.1;
    Site.P.Faults.Slow = uniform(Site.P.Rng) * 0.1;
    Site.P.Faults.SlowDelay = seconds(2);
    for (int Step = 0; Step < 60; ++Step) {
      Site.P.runFor(between(Site.P.Rng, milliseconds(10), milliseconds(700)));
      if (below(Site.P.Rng, 3) == 0)
        injectRandomFault(Site);
      replay(Site);
    }
    repairEverything(Site);
    BOOST_TEST(runUntilStable(Site), seedText(Seed));
    Site.P.runFor(DetectionAfterPartition);
    for (const auto &[Id, Server] : Site.Servers) {
      if (!Server.Up || Server.Next.Leaving)
        BOOST_TEST(offeredByNoHost(Site, Id), seedText(Seed) << " " << Id);
    }
    BOOST_REQUIRE_MESSAGE(Site.Violation.empty(),
                          seedText(Seed) + ": " + Site.Violation);
  }
}

BOOST_AUTO_TEST_SUITE_END()
