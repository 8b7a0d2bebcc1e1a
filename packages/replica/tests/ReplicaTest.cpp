#define BOOST_TEST_MODULE replica
#include <boost/test/unit_test.hpp>

#include "Cluster.h"

using namespace pimento;
using pimento::testing::Cluster;

namespace {

const HostId A("a"), B("b"), C("c");

/// A formed log with the leader a: the first host by name forms the log.
struct Site : Cluster {
  explicit Site(std::uint64_t Seed, std::size_t Hosts = 3)
      : Cluster(Seed, Hosts) {
    startAll();
    BOOST_REQUIRE(waitForLeader(seconds(5)) == A);
    Net.runFor(milliseconds(300));
  }

  bool transfer(const HostId &From, const HostId &To = HostId()) {
    return act(From, 0, [&](ReplicaState &S, TimePoint Now, ReplicaEffects &E) {
      return transferLeadership(S, To, Now, E);
    });
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(SiteFormsCommitsAndRecoversAfterPowerLoss) {
  Site S(1);
  S.proposeMany(A, 20);
  BOOST_TEST(S.Acknowledged == 20U);
  BOOST_TEST(S.converged());
  for (const HostId &Name : S.Voters) {
    S.Net.crash(Name);
    S.Disks.at(Name)->loseUnsynced();
  }
  S.startAll();
  BOOST_TEST(!S.waitForLeader(seconds(5)).empty());
  S.Net.runFor(seconds(1));
  BOOST_TEST(S.converged());
  BOOST_TEST(S.group(C).Applied >= 21U);
  BOOST_TEST(S.violation() == "");
}

BOOST_AUTO_TEST_CASE(LogFormsOnlyWhenEveryVoterReportsEmptyDisk) {
  Cluster S(2);
  S.start(A);
  S.start(B);
  S.Net.runFor(seconds(10));
  BOOST_TEST(S.leader().empty());
  BOOST_TEST(!status(S.replica(A), S.Net.clock(A)).Formed);
  S.start(C);
  BOOST_TEST(!S.waitForLeader(seconds(3)).empty());

  // One host with a non-empty disk prevents two empty hosts from forming.
  Site Old(3);
  Old.proposeMany(A, 3);
  for (const HostId &Name : {A, B}) {
    Old.Net.crash(Name);
    Old.Disks.at(Name)->wipe();
    Old.start(Name);
  }
  Old.Net.runFor(seconds(10));
  BOOST_TEST(Old.leader().empty());
  BOOST_TEST(!status(Old.replica(A), Old.Net.clock(A)).Formed);
  BOOST_TEST(Old.violation() == "");
}

BOOST_AUTO_TEST_CASE(IsolatedHostDoesNotDeposeLeaderOnReturn) {
  Site S(4);
  std::uint64_t Term = term(S.replica(A));
  S.Net.isolate(C);
  S.Net.runFor(seconds(5));
  S.Net.healAll();
  S.Net.runFor(seconds(2));
  BOOST_TEST(S.leader() == A);
  BOOST_TEST(term(S.replica(A)) == Term);

  // Loss of one direction, from a to c: c receives nothing from a.
  S.Net.cut(A, C);
  S.Net.runFor(seconds(5));
  BOOST_TEST(S.leader() == A);
  BOOST_TEST(term(S.replica(A)) == Term);

  // No link between a and c: b, which both reach, keeps its promise to a.
  S.Net.cut(C, A);
  S.Net.runFor(seconds(5));
  BOOST_TEST(S.leader() == A);
  BOOST_TEST(term(S.replica(A)) == Term);
  BOOST_TEST(S.violation() == "");
}

BOOST_AUTO_TEST_CASE(LeaderWithoutMajorityStepsDownAndReportsUnknownOutcomes) {
  Site S(5);
  S.Net.isolate(A);
  BOOST_TEST(S.propose(A, "of unknown outcome"));
  std::uint64_t Index = status(S.replica(A), S.Net.clock(A)).LastIndex;
  S.Net.runFor(S.Base.ElectionTimeout + 2 * S.Base.HeartbeatInterval);
  BOOST_TEST((role(S.replica(A)) != ReplicaRole::Leader));
  BOOST_TEST(!S.propose(A, "refused"));
  BOOST_REQUIRE(S.group(A).Lost.size() == 1U);
  BOOST_TEST(S.group(A).Lost[0].First == Index);
  BOOST_TEST(S.group(A).Lost[0].Last == Index);
  BOOST_TEST(S.Acknowledged == 0U);
  HostId Next = S.waitForLeader(seconds(3));
  BOOST_TEST(!Next.empty());
  S.Net.healAll();
  S.proposeMany(Next, 3);
  BOOST_TEST(S.converged());
  BOOST_TEST(S.violation() == "");
}

BOOST_AUTO_TEST_CASE(LeasesDoNotOverlapUnderClockDrift) {
  for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
    Cluster S(Seed);
    S.Base.ClockDriftPerMille = 200;
    S.Net.TickInterval = milliseconds(2);
    S.startAll();
    BOOST_REQUIRE(S.waitForLeader(seconds(5)) == A);
    S.Net.setClock(B, 1.19, seconds(7));
    S.Net.setClock(C, 1.19, seconds(9));
    S.Net.runFor(milliseconds(1000 + below(S.Net.Rng, 200)));
    S.Net.isolate(A);
    BOOST_TEST(S.Net.runUntilDone(
        seconds(3), [&] { return !S.leader().empty() && S.leader() != A; }));
    BOOST_TEST(S.violation() == "", "seed " << Seed << ": " << S.violation());
  }
}

BOOST_AUTO_TEST_CASE(RestartedVoterKeepsItsVotePromise) {
  for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
    Site S(Seed);
    // c cannot reach the leader and requests a vote of b, which refuses.
    S.Net.cut(A, C);
    S.Net.cut(C, A);
    S.Net.runFor(seconds(2));
    S.Net.crash(B);
    S.Net.cut(A, B);
    S.start(B);
    BOOST_TEST(S.Net.runUntilDone(
        seconds(3), [&] { return !S.leader().empty() && S.leader() != A; }));
    BOOST_TEST(S.violation() == "", "seed " << Seed << ": " << S.violation());
  }
}

BOOST_AUTO_TEST_CASE(LeaderHoldsNoLeaseAfterFreeze) {
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    Site S(Seed);
    BOOST_TEST(S.propose(A, "queued when it froze"));
    S.Net.freeze(A);
    HostId Next = S.waitForLeader(seconds(3));
    BOOST_TEST(!Next.empty());
    S.proposeMany(Next, 5);
    S.Net.thaw(A);
    BOOST_TEST(!holdsLease(S.replica(A), S.Net.clock(A)));
    S.Net.runFor(seconds(1));
    BOOST_TEST(S.leader() == Next);
    BOOST_TEST(S.converged());
    BOOST_TEST(S.violation() == "", "seed " << Seed << ": " << S.violation());
  }
}

BOOST_AUTO_TEST_CASE(LeadershipTransferHasNoGapAndNoOverlappingLeases) {
  for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
    Site S(Seed);
    S.proposeMany(A, 3);
    BOOST_TEST(S.propose(A, "just before"));
    BOOST_TEST(S.transfer(A));
    BOOST_TEST(!S.propose(A, "refused meanwhile"));
    BOOST_TEST(S.Net.runUntilDone(milliseconds(100), [&] {
      return !S.leader().empty() && S.leader() != A;
    }));
    HostId Next = S.leader();
    BOOST_TEST(S.propose(Next, "just after"));
    S.Net.runFor(seconds(1));
    BOOST_TEST(S.converged());
    BOOST_TEST(S.violation() == "", "seed " << Seed << ": " << S.violation());
  }
}

BOOST_AUTO_TEST_CASE(CrashedLeaderIsReplacedWithinBound) {
  Duration Worst = Duration::zero();
  for (std::uint64_t Seed = 1; Seed <= 300; ++Seed) {
    Site S(Seed, Seed % 2 == 0 ? 5 : 3);
    S.Net.runFor(milliseconds(below(S.Net.Rng, 200)));
    TimePoint Died = S.Net.now();
    S.Net.crash(A);
    BOOST_TEST(!S.waitForLeader(seconds(5)).empty());
    Worst = std::max(Worst, Duration(S.Net.now() - Died));
  }
  BOOST_TEST_MESSAGE("longest time without a leader: " << toMilliseconds(Worst)
                                                       << " ms");
  BOOST_TEST(toMilliseconds(Worst) < 1500);
}

BOOST_AUTO_TEST_CASE(FiveVotersSurviveTwoLosses) {
  Site S(6, 5);
  S.proposeMany(A, 5);
  S.Net.crash(A);
  S.Net.crash(B);
  HostId Next = S.waitForLeader(seconds(3));
  BOOST_TEST(!Next.empty());
  S.proposeMany(Next, 5);
  BOOST_TEST(S.Acknowledged == 10U);
  for (const HostId &Name : S.Voters) {
    if (S.up(Name) && Name != Next) {
      S.Net.crash(Name);
      break;
    }
  }
  S.Net.runFor(seconds(3));
  BOOST_TEST(S.leader().empty());
  BOOST_TEST(S.violation() == "");
}

BOOST_AUTO_TEST_CASE(OneSyncCommitsManyProposalsOfAllGroups) {
  Cluster S(7);
  S.GroupCount = 4;
  S.startAll();
  for (GroupId Group = 0; Group < 4; ++Group)
    BOOST_REQUIRE(!S.waitForLeader(seconds(5), Group).empty());
  S.Net.runFor(milliseconds(500));
  std::uint64_t Before = S.Disks.at(A)->Syncs;
  for (int I = 0; I < 400; ++I) {
    GroupId Group = static_cast<GroupId>(I % 4);
    S.propose(S.leader(Group), std::to_string(I), Group);
  }
  S.Net.runFor(milliseconds(100));
  BOOST_TEST(S.Acknowledged == 400U);
  BOOST_TEST(S.Disks.at(A)->Syncs - Before < 10U);
  BOOST_TEST(S.violation() == "");
}

BOOST_AUTO_TEST_CASE(IdleGroupDoesNotRetainSegmentsOfBusyGroup) {
  Cluster S(12);
  S.GroupCount = 2;
  S.Base.SnapshotEntries = 50;
  S.Base.SnapshotInterval = seconds(5);
  S.SegmentBytes = 4096;
  S.startAll();
  BOOST_REQUIRE(!S.waitForLeader(seconds(5), 0).empty());
  BOOST_REQUIRE(!S.waitForLeader(seconds(5), 1).empty());
  S.propose(S.leader(1), "the only one of its group", 1);
  std::size_t Most = 0;
  for (int I = 0; I < 3000; ++I) {
    S.propose(S.leader(0), std::string(100, 'x'), 0);
    S.Net.runFor(milliseconds(10));
    if (I >= 1000)
      Most = std::max(Most, S.Net.node(A).Files.Segments.size());
  }
  // As many segments as 5 s and 50 entries fill, not as 30 s fill.
  BOOST_TEST(Most > 1U);
  BOOST_TEST(Most < 40U);
  BOOST_TEST(S.violation() == "");
}

BOOST_AUTO_TEST_CASE(SlowDiskDoesNotDelayCommits) {
  for (const HostId &Slow : {A, B}) {
    Site S(8);
    S.SlowDisks[Slow] = milliseconds(500);
    S.Net.runFor(seconds(1));
    for (int I = 0; I < 10; ++I) {
      std::uint64_t Before = S.Acknowledged;
      S.propose(A, "x");
      BOOST_TEST(S.Net.runUntilDone(milliseconds(20),
                                    [&] { return S.Acknowledged > Before; }));
    }
    S.Net.runFor(seconds(5));
    BOOST_TEST(S.leader() == A);
    BOOST_TEST(S.converged());
  }
}

BOOST_AUTO_TEST_CASE(FailingDiskHaltsOnlyItsReplica) {
  for (const HostId &FailingHost : {A, C}) {
    Site S(9);
    S.Disks.at(FailingHost)->FailAt = S.Disks.at(FailingHost)->Steps + 1;
    S.propose(A, "x");
    S.Net.runFor(milliseconds(50));
    BOOST_TEST(S.replica(FailingHost).Halted == Code::StorageFailed);
    HostId Next = S.waitForLeader(seconds(3));
    BOOST_TEST(!Next.empty());
    BOOST_TEST(Next != FailingHost);
    S.proposeMany(Next, 3);
    BOOST_TEST(S.violation() == "");
  }
}

BOOST_AUTO_TEST_CASE(InterruptedSnapshotTransferResumes) {
  Cluster S(10);
  S.Base.SnapshotEntries = 10;
  S.Base.ChunkBytes = 1000;
  S.PaddingBytes = 50000;
  std::size_t ChunkBytes = 0;
  S.Net.SizeOf = [&](const Message &M) -> std::size_t {
    const auto *Chunk = std::get_if<SnapshotChunk>(&M);
    ChunkBytes += Chunk == nullptr ? 0 : Chunk->Data.Data.size();
    return 0;
  };
  S.startAll();
  BOOST_REQUIRE(S.waitForLeader(seconds(5)) == A);
  S.Net.isolate(C);
  for (int I = 0; I < 50; ++I) {
    S.propose(A, "x");
    S.Net.runFor(milliseconds(10));
  }
  // In each period of contact a few of the fifty chunks arrive.
  S.Net.Faults.DelayLow = milliseconds(10);
  S.Net.Faults.DelayHigh = milliseconds(11);
  for (int Round = 0; Round < 10; ++Round) {
    S.Net.healAll();
    S.Net.runFor(milliseconds(200));
    S.Net.isolate(C);
    S.Net.runFor(milliseconds(500));
  }
  BOOST_TEST(ChunkBytes < 80000U);
  S.Net.healAll();
  S.Net.runFor(seconds(3));
  BOOST_TEST(S.group(C).Installs == 1U);
  BOOST_TEST(S.converged());
  BOOST_TEST(ChunkBytes < 80000U);
}

BOOST_AUTO_TEST_CASE(CorruptedMessagesDoNotCrashReplica) {
  Site S(11);
  S.proposeMany(A, 5);
  std::vector<std::string> Frames;
  S.Net.SizeOf = [&](const Message &M) {
    Frames.push_back(encode(M));
    return Frames.back().size();
  };
  S.Net.crash(C);
  S.Disks.at(C)->wipe();
  S.start(C);
  S.proposeMany(A, 5);
  S.Net.crash(A);
  S.Net.runFor(seconds(3));
  S.Net.SizeOf = nullptr;
  BOOST_REQUIRE(Frames.size() > 100U);
  Random R(3);
  std::size_t Read = 0;
  for (int I = 0; I < 30000; ++I) {
    std::string Corrupted = Frames[below(R, Frames.size())];
    for (std::uint64_t Hits = 1 + below(R, 3); Hits > 0; --Hits)
      Corrupted[below(R, Corrupted.size())] = static_cast<char>(below(R, 256));
    Failure Why;
    Message M = valueOr<Message>([&] { return decode(Corrupted); }, Ack(), Why);
    ReplicaState Receiver = S.replica(B);
    ReplicaEffects E;
    receive(Receiver, C, M, S.Net.clock(B), E);
    tick(Receiver, S.Net.clock(B) + seconds(2), E);
    Read += Why.Detail.empty() ? 1 : 0;
  }
  BOOST_TEST(Read > 1000U);
}
