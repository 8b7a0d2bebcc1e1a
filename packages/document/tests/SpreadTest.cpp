#include <boost/test/unit_test.hpp>

#include "base/Settings.h"
#include "document/tests/SpreadSite.h"
#include "text/Delta.h"

#include <cstdlib>

using namespace pimento;
using pimento::testing::SpreadSite;

namespace {

/// Number of seeds of one test; PIMENTO_SEEDS overrides it.
std::uint64_t seedCount(std::uint64_t Default) {
  const char *Count = std::getenv("PIMENTO_SEEDS");
  return Count ? std::strtoull(Count, nullptr, 10) : Default;
}

/// Timing that hosts derive from the default settings, whose short bound lets a
/// cell, a scheduling unit, change its holder soon.
SpreadConfig defaultTiming() {
  SpreadConfig Config;
  Config.Freshness.Bound = MembershipSettings().FreshnessBound;
  Config.Freshness.EditWindow = Config.Freshness.Bound;
  Config.StampInterval = Config.Freshness.Bound / 6;
  return Config;
}

/// Runs until the site has a leader that accepts edits and every host serves.
bool settle(SpreadSite &Site) {
  return Site.P.runUntilDone(seconds(10), [&] {
    return !Site.Leader.empty() &&
           acceptsEdits(Site.P.node(Site.Leader).S,
                        Site.P.clock(Site.Leader)) &&
           std::all_of(Site.Names.begin(), Site.Names.end(),
                       [&](const HostId &Name) { return Site.serves(Name); });
  });
}

/// Runs until the edit with \p Revision is answered as accepted.
bool waitAccepted(SpreadSite &Site, std::uint64_t Revision, Duration Limit) {
  return Site.P.runUntilDone(Limit, [&] {
    return !Site.Accepted.empty() && Site.Accepted.back().Revision >= Revision;
  });
}

/// Injects one random fault or repair.
void injectFault(SpreadSite &Site) {
  Random &R = Site.P.Rng;
  const HostId &A = Site.Names[below(R, Site.Names.size())];
  const HostId &B = Site.Names[below(R, Site.Names.size())];
  switch (below(R, 10)) {
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
  case 5:
    if (Site.P.frozen(A))
      Site.P.thaw(A);
    break;
  case 6:
    Site.P.isolate(A);
    break;
  case 7:
    if (A != B)
      Site.P.cut(A, B); // In one direction only.
    break;
  case 8: // Partition into two sides.
    for (const HostId &Left : Site.Names) {
      for (const HostId &Right : Site.Names) {
        if ((Left < A) != (Right < A))
          Site.P.cut(Left, Right);
      }
    }
    break;
  default:
    Site.P.healAll();
    break;
  }
}

void setNetwork(SpreadSite &Site) {
  Random &R = Site.P.Rng;
  Site.P.Faults.Loss = uniform(R) * 0.2;
  Site.P.Faults.Duplicate = uniform(R) * 0.1;
  Site.P.Faults.Slow = uniform(R) * 0.1;
  Site.P.Faults.SlowDelay = milliseconds(below(R, 1500));
  // Clock rates differ by at most the allowed drift.
  for (const HostId &Name : Site.Names)
    Site.P.setClock(Name, 0.995 + uniform(R) * 0.01, Duration::zero());
}

std::string seedText(std::uint64_t Seed) {
  return "seed " + std::to_string(Seed);
}

} // namespace

BOOST_AUTO_TEST_SUITE(SpreadSuite)

BOOST_AUTO_TEST_CASE(AnEditIsInForceEverywhereWithinASecond) {
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    SpreadSite Site(9, 3, Seed);
    BOOST_REQUIRE_MESSAGE(settle(Site), seedText(Seed));
    Site.P.Faults.Loss = 0.05;
    for (int Edit = 0; Edit < 5; ++Edit) {
      Site.P.runFor(milliseconds(700));
      BOOST_REQUIRE_MESSAGE(Site.edit("service"), seedText(Seed));
      std::uint64_t Revision = Site.LastRevision;
      bool Everywhere = Site.P.runUntilDone(
          seconds(1), [&] { return Site.everywhere(Revision); });
      BOOST_TEST(Everywhere, seedText(Seed));
      BOOST_TEST(waitAccepted(Site, Revision, seconds(1)), seedText(Seed));
    }
    BOOST_TEST(Site.Breach == "", seedText(Seed));
  }
}

// Runs edits under random crashes, pauses, partitions and message faults, and
// checks the invariants of SpreadSite at every step. After all faults are
// repaired, every host must have every edit.
BOOST_AUTO_TEST_CASE(RandomFaultsNeverBreakAnInvariant) {
  std::uint64_t Edits = 0;
  std::uint64_t Accepted = 0;
  for (std::uint64_t Seed = 1; Seed <= seedCount(300); ++Seed) {
    SpreadConfig Base = Seed % 3 == 0 ? defaultTiming() : SpreadConfig();
    Base.Freshness.JoinByMajority = Seed % 4 == 0;
    SpreadSite Site(5 + Seed % 5, Seed % 2 == 0 ? 3 : 5, Seed, Base);
    setNetwork(Site);
    for (int Step = 0; Step < 80; ++Step) {
      Site.P.runFor(between(Site.P.Rng, milliseconds(10), milliseconds(350)));
      if (below(Site.P.Rng, 2) == 0)
        Edits += Site.edit("s" + std::to_string(below(Site.P.Rng, 3)));
      if (below(Site.P.Rng, 4) == 0)
        injectFault(Site);
    }
    Site.healEverything();
    BOOST_TEST(settle(Site), seedText(Seed));
    Site.P.runUntilDone(seconds(5),
                        [&] { return Site.everywhere(Site.Log.size()); });
    BOOST_TEST(Site.everywhere(Site.Log.size()), seedText(Seed));
    BOOST_REQUIRE_MESSAGE(Site.Breach.empty(),
                          seedText(Seed) + ": " + Site.Breach);
    Accepted += Site.Accepted.size();
  }
  BOOST_TEST_MESSAGE("edits " << Edits << ", acceptances " << Accepted);
  BOOST_TEST(Accepted > seedCount(300));
}

// An isolated host cannot learn of newer edits and must stop serving; all other
// hosts must continue.
BOOST_AUTO_TEST_CASE(AnIsolatedHostStopsServingWithinTheBound) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    SpreadSite Site(9, 3, Seed);
    BOOST_REQUIRE(settle(Site));
    HostId Isolated = Site.Names[Seed % 9];
    Site.P.isolate(Isolated);
    // An isolated leader keeps issuing stamps to itself until its lease ends.
    Site.P.runFor(Site.Base.Freshness.Bound + SpreadSite::LeaseTime);
    for (const HostId &Name : Site.Names)
      BOOST_TEST(Site.serves(Name) == (Name != Isolated), seedText(Seed));
    Site.P.runFor(seconds(60));
    BOOST_TEST(!Site.serves(Isolated), seedText(Seed));
    Site.P.healAll();
    BOOST_TEST(settle(Site), seedText(Seed));
    BOOST_TEST(Site.Breach == "", seedText(Seed));
  }
}

// Hosts that lost one direction of their connections to the voters must still
// get stamps and edits through other hosts.
BOOST_AUTO_TEST_CASE(APartialPartitionStopsNoHost) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    SpreadSite Site(9, 3, Seed);
    BOOST_REQUIRE(settle(Site));
    // One host receives nothing from the voters, and they receive nothing from
    // another.
    HostId NoInbound = Site.Names[7];
    HostId NoOutbound = Site.Names[8];
    for (const HostId &Voter : Site.Voters) {
      Site.P.cut(Voter, NoInbound);
      Site.P.cut(NoOutbound, Voter);
    }
    Site.P.AfterStep = [&] {
      for (const HostId &Name : Site.Names)
        BOOST_REQUIRE_MESSAGE(Site.serves(Name), seedText(Seed));
    };
    Site.P.runFor(seconds(8));
    BOOST_REQUIRE_MESSAGE(Site.edit("service"), seedText(Seed));
    Site.P.runFor(seconds(2));
    BOOST_TEST(Site.everywhere(Site.LastRevision), seedText(Seed));
    BOOST_TEST(Site.Breach == "", seedText(Seed));
  }
}

// Without a majority of voters there are no new stamps. The remaining hosts
// must keep serving by majority, and no edit may be accepted.
BOOST_AUTO_TEST_CASE(HostsKeepServingWithoutAControlMajority) {
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    SpreadSite Site(9, 3, Seed,
                    Seed % 2 == 0 ? defaultTiming() : SpreadConfig());
    BOOST_REQUIRE(settle(Site));
    BOOST_REQUIRE(Site.edit("service"));
    BOOST_REQUIRE(waitAccepted(Site, Site.LastRevision, seconds(2)));
    Site.P.crash(Site.Voters[0]);
    Site.P.crash(Site.Voters[1]);
    Site.P.AfterStep = [&] {
      for (std::size_t I = 2; I < Site.Names.size(); ++I)
        BOOST_REQUIRE_MESSAGE(Site.serves(Site.Names[I]), seedText(Seed));
    };
    Site.P.runFor(seconds(30));
    BOOST_TEST(!Site.edit("service"), seedText(Seed));
    BOOST_TEST(Site.Breach == "", seedText(Seed));
  }
}

// A host that missed 300 edits while it was down must have all of them in force
// before it serves again.
BOOST_AUTO_TEST_CASE(ARestartedHostIsCurrentBeforeItServes) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    SpreadSite Site(9, 3, Seed);
    BOOST_REQUIRE(settle(Site));
    HostId Late = Site.Names[5];
    BOOST_REQUIRE(Site.edit("service"));
    Site.P.crash(Late);
    for (int Edit = 0; Edit < 300; ++Edit) {
      Site.P.runFor(milliseconds(20));
      BOOST_REQUIRE(Site.edit("s" + std::to_string(Edit % 7)));
    }
    BOOST_REQUIRE(waitAccepted(Site, Site.LastRevision, seconds(2)));
    Site.start(Late);
    BOOST_TEST(!Site.serves(Late));
    bool Back =
        Site.P.runUntilDone(seconds(3), [&] { return Site.serves(Late); });
    BOOST_TEST(Back, seedText(Seed));
    BOOST_TEST(Site.revisionAt(Late) >= 301U, seedText(Seed));
    BOOST_TEST(Site.Breach == "", seedText(Seed));
  }
}

// A host that served an edit which was never answered as accepted must not
// serve without that edit after a restart, when only hosts without it can be
// reached.
BOOST_AUTO_TEST_CASE(ARestartedHostDoesNotServeOlderDocuments) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    SpreadSite Site(9, 3, Seed);
    BOOST_REQUIRE(settle(Site));
    // The voters can reach only one other host. An edit reaches that host, but
    // is not answered as accepted.
    HostId Restarted = Site.Names[3];
    for (const HostId &Near : {Site.Names[0], Site.Names[1], Site.Names[2]}) {
      for (std::size_t Far = 4; Far < 9; ++Far) {
        Site.P.cut(Near, Site.Names[Far]);
        Site.P.cut(Site.Names[Far], Near);
      }
    }
    for (std::size_t Far = 4; Far < 9; ++Far) {
      Site.P.cut(Restarted, Site.Names[Far]);
      Site.P.cut(Site.Names[Far], Restarted);
    }
    BOOST_REQUIRE(Site.edit("service"));
    Site.P.runFor(milliseconds(300));
    BOOST_TEST(Site.revisionAt(Restarted) == 1U);
    BOOST_TEST(Site.Accepted.empty());
    // The host crashes, restarts at once and can now reach only the other side.
    Site.P.crash(Restarted);
    Site.P.healAll();
    for (const HostId &Voter : Site.Voters)
      Site.P.isolate(Voter);
    Site.start(Restarted);
    Site.P.runFor(seconds(20));
    BOOST_TEST(!Site.serves(Restarted), seedText(Seed));
    BOOST_TEST(Site.Breach == "", seedText(Seed));
    Site.P.healAll();
    BOOST_TEST(settle(Site), seedText(Seed));
    BOOST_TEST(Site.Breach == "", seedText(Seed));
  }
}

BOOST_AUTO_TEST_CASE(AnOlderNumberFromAPeerIsIgnored) {
  SpreadConfig Config;
  Config.Self = HostId("a");
  Config.Hosts = {HostId("a"), HostId("b"), HostId("c")};
  TimePoint Now(hours(1));
  SpreadState S = makeSpread(Config, 1, Now);
  SpreadOutputs Out;
  Store Stored;
  for (std::uint64_t Number = 1; Number <= 3; ++Number)
    apply(Stored, {ServiceId("s"), Number, "", std::to_string(Number),
                   Duration::zero()});
  onStored(S, Stored, Now, Out);
  // A peer claims a higher revision and sends an older number of the document.
  onMessage(S, HostId("b"), SpreadNotice{{1, 1, 50}, 50}, Now, Out);
  BOOST_REQUIRE(!Out.Messages.empty());
  const auto &Pull = std::get<SpreadPull>(Out.Messages.back().Content);
  SpreadReply Reply;
  Reply.Request = Pull.Request;
  Reply.Newest = {1, 1, 50};
  Reply.Complete = 50;
  Reply.Items.push_back({ServiceId("s"), 2, 50, textDigest("2"), 0, {"2"}, {}});
  onMessage(S, HostId("b"), Reply, Now + milliseconds(1), Out);
  BOOST_TEST(documentInForce(S, ServiceId("s"))->Number == 3U);
  BOOST_TEST(documentInForce(S, ServiceId("s"))->Text == "3");
}

// A restarted host must not acknowledge a stamp issued before its start, since
// a second acknowledgement of the same host could fake a majority.
BOOST_AUTO_TEST_CASE(AHostThatRestartsIsCountedOnceForAStamp) {
  // Two of five hosts hold the stamp; one of them restarts repeatedly and must
  // not be counted again by each of its incarnations.
  SpreadConfig Config;
  Config.Hosts = {HostId("a"), HostId("b"), HostId("c"), HostId("d"),
                  HostId("e")};
  Config.Self = HostId("b");
  TimePoint Now(hours(1));
  for (int Incarnation = 0; Incarnation < 4; ++Incarnation) {
    // The host started after the stamp was issued, so an earlier incarnation of
    // it may have been counted.
    SpreadState S = makeSpread(Config, 1, Now);
    SpreadOutputs Out;
    onMessage(S, HostId("a"), SpreadNotice{{1, 1, 0}, 0}, Now, Out);
    const auto &Pull = std::get<SpreadPull>(Out.Messages.back().Content);
    SpreadReply Reply;
    Reply.Request = Pull.Request;
    Reply.Newest = {1, 1, 0};
    Reply.Age = milliseconds(100);
    onMessage(S, HostId("a"), Reply, Now + milliseconds(1), Out);
    onTick(S, Now + milliseconds(100), Out);
    for (const Outbound &O : Out.Messages)
      BOOST_TEST(!std::holds_alternative<StampAck>(O.Content));
  }
}

BOOST_AUTO_TEST_CASE(ADeltaThatDoesNotFitIsReplacedByTheWholeText) {
  SpreadConfig Config;
  Config.Self = HostId("a");
  Config.Hosts = {HostId("a"), HostId("b")};
  TimePoint Now(hours(1));
  SpreadState S = makeSpread(Config, 1, Now);
  SpreadOutputs Out;
  onMessage(S, HostId("b"), SpreadNotice{{1, 1, 5}, 5}, Now, Out);
  SpreadReply Reply;
  Reply.Request = std::get<SpreadPull>(Out.Messages.back().Content).Request;
  Reply.Complete = 5;
  Reply.Items.push_back({ServiceId("s"), 5, 5, 77, 4, {}, {{0, 10, {"x"}}}});
  onMessage(S, HostId("b"), Reply, Now, Out);
  const auto &Pull = std::get<SpreadPull>(Out.Messages.back().Content);
  BOOST_TEST(Pull.FullText);
  BOOST_TEST(S.Freshness.Complete == 0U);
}

// A leader process that was paused beyond its lease must not issue stamps or
// accept edits when it resumes, since another leader may have taken over.
BOOST_AUTO_TEST_CASE(AResumedLeaderIssuesNoStampAfterItsLease) {
  SpreadConfig Config;
  Config.Self = HostId("a");
  Config.Hosts = {HostId("a"), HostId("b"), HostId("c")};
  TimePoint Now(hours(1));
  SpreadState S = makeSpread(Config, 1, Now);
  SpreadOutputs Out;
  onLeadership(S, 3, Now + milliseconds(600), Now, Out);
  BOOST_TEST(S.Freshness.Issued == 1U);
  TimePoint Resumed = Now + seconds(5);
  onMessage(S, HostId("b"), StampAck{S.Freshness.Newest, 2}, Resumed, Out);
  onTick(S, Resumed, Out);
  BOOST_TEST(S.Freshness.Issued == 1U);
  BOOST_TEST(!acceptsEdits(S, Resumed));
  BOOST_TEST(!verdict(S, Resumed).Serve);
}

BOOST_AUTO_TEST_CASE(TheFreshnessBoundAllowsForClockDrift) {
  FreshnessConfig Config;
  Config.Hosts = 3;
  Config.Bound = seconds(1);
  Config.ClockDriftPerMille = 10;
  TimePoint Now(hours(1));
  FreshnessState F = makeFreshness(Config, Now);
  adoptStamp(F, {1, 1, 0}, Duration::zero(), Now);
  BOOST_TEST(mayServe(F, Now + milliseconds(985)).Serve);
  // A clock that is 1 % slow may show 992 ms when one second has passed.
  BOOST_TEST(!mayServe(F, Now + milliseconds(992)).Serve);
}

BOOST_AUTO_TEST_CASE(LargeDocumentsArriveInParts) {
  SpreadSite Site(5, 3, 7);
  BOOST_REQUIRE(settle(Site));
  HostId Late = Site.Names[4];
  Site.P.crash(Late);
  for (int Service = 0; Service < 12; ++Service) {
    std::string Padding;
    for (int I = 0; I < 6000; ++I)
      Padding += std::to_string(Site.P.Rng());
    Site.P.runFor(milliseconds(300));
    BOOST_REQUIRE(Site.edit("large" + std::to_string(Service), Padding));
  }
  Site.start(Late);
  BOOST_TEST(
      Site.P.runUntilDone(seconds(5), [&] { return Site.serves(Late); }));
  BOOST_TEST(Site.P.node(Late).S.Documents.size() == 12U);
  BOOST_TEST(Site.Breach == "");
}

BOOST_AUTO_TEST_CASE(InForceAnswersNameEveryHostThatRuns) {
  SpreadSite Site(40, 3, 3);
  BOOST_REQUIRE(settle(Site));
  BOOST_REQUIRE(Site.edit("service"));
  Site.P.runFor(seconds(2));
  Site.P.crash(Site.Names[11]); // This host gathers answers of others.
  Site.P.perform(Site.Names[0], Duration::zero(),
                 [&](pimento::testing::SpreadNode &N, TimePoint Now) {
                   SpreadOutputs Out;
                   queryInForce(N.S, seconds(2), Now, Out);
                   for (Outbound &O : Out.Messages)
                     Site.P.send(Site.Names[0], O.To, O.Content);
                 });
  Site.P.runFor(milliseconds(2100));
  BOOST_REQUIRE(Site.Answers.size() == 1U);
  BOOST_TEST(Site.Answers[0].Hosts.size() == 39U);
  for (const HostInForce &Host : Site.Answers[0].Hosts) {
    BOOST_TEST(Host.Revision == 1U);
    BOOST_TEST(Host.Serving);
  }
}

BOOST_AUTO_TEST_SUITE_END()
