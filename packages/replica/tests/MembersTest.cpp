#include <boost/test/unit_test.hpp>

#include "Cluster.h"

using namespace pimento;
using pimento::testing::Cluster;

namespace {

const HostId A("a"), B("b"), C("c");

struct Site : Cluster {
  explicit Site(std::uint64_t Seed, std::size_t Hosts = 3)
      : Cluster(Seed, Hosts) {}

  void begin() {
    startAll();
    BOOST_REQUIRE(waitForLeader(seconds(5)) == A);
    Net.runFor(milliseconds(300));
  }

  void wipe(const HostId &Name) {
    Net.crash(Name);
    Disks.at(Name)->wipe();
    start(Name);
  }

  MemberChange add(const HostId &Name) {
    return act(leader(), 0,
               [&](ReplicaState &S, TimePoint Now, ReplicaEffects &E) {
                 return addMember(S, Name, Now, E);
               });
  }
  MemberChange remove(const HostId &Name) {
    return act(leader(), 0,
               [&](ReplicaState &S, TimePoint Now, ReplicaEffects &E) {
                 return removeMember(S, Name, Now, E);
               });
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(WipedVoterDoesNotVoteAsItsFormerDisk) {
  for (std::uint64_t Seed = 1; Seed <= 30; ++Seed) {
    Site S(Seed);
    S.begin();
    S.Net.isolate(B);
    S.proposeMany(A, 10); // Stored by a and c.
    std::uint64_t Commit = S.Checks[0].highestCommitted();
    S.Net.crash(A);
    S.wipe(C);
    S.Net.healAll();
    // b and c are two of three hosts, but neither holds the entries.
    S.Net.runFor(seconds(5));
    BOOST_TEST(S.leader().empty());
    S.start(A);
    BOOST_TEST(
        S.Net.runUntilDone(seconds(10), [&] { return S.allHostsVote(); }));
    BOOST_TEST(S.Checks[0].highestCommitted() > Commit);
    BOOST_TEST(S.violation() == "", "seed " << Seed << ": " << S.violation());
  }
}

BOOST_AUTO_TEST_CASE(RepairedHostCountsTowardsMajorityAtSecondLoss) {
  for (std::uint64_t Seed = 1; Seed <= 30; ++Seed) {
    Site S(Seed);
    S.Base.SnapshotEntries = 8;
    S.Base.ChunkBytes = 10000;
    S.PaddingBytes = 300000;
    S.begin();
    S.proposeMany(A, 20);
    S.Net.Faults.DelayLow = milliseconds(20); // Makes the snapshot take 1 s.
    S.Net.Faults.DelayHigh = milliseconds(21);
    S.wipe(C);
    BOOST_TEST(
        S.Net.runUntilDone(seconds(20), [&] { return S.allHostsVote(); }));
    HostId Leader = S.leader();
    HostId Lost = Seed % 2 == 0 ? Leader : (Leader == A ? B : A);
    S.Net.crash(Lost);
    S.Disks.at(Lost)->wipe();
    if (Lost != Leader) {
      // The repaired host completes the majority, so the commit is immediate.
      std::uint64_t Before = S.Acknowledged;
      S.propose(Leader, "after the second loss");
      BOOST_TEST(S.Net.runUntilDone(milliseconds(50),
                                    [&] { return S.Acknowledged > Before; }),
                 "seed " << Seed);
    }
    BOOST_TEST(!S.waitForLeader(seconds(3)).empty());
    S.start(Lost);
    BOOST_TEST(
        S.Net.runUntilDone(seconds(20), [&] { return S.allHostsVote(); }));
    S.Net.runFor(seconds(1));
    BOOST_TEST(S.converged());
    BOOST_TEST(S.violation() == "", "seed " << Seed << ": " << S.violation());
  }
}

BOOST_AUTO_TEST_CASE(ARolledBackDiskIsRefused) {
  Site S(3);
  S.begin();
  S.proposeMany(A, 5);
  auto Old = S.Disks.at(C)->image();
  S.proposeMany(A, 600); // Long enough for followers to receive disk marks.
  S.Net.runFor(seconds(2));
  S.Net.crash(C);
  S.Disks.at(C)->restore(Old);

  // Followers, to which c never acknowledged an entry, detect the rollback too.
  S.Net.crash(A);
  S.start(C);
  S.Net.runFor(seconds(5));
  BOOST_TEST(S.replica(C).Halted == Code::IdentityMismatch);
  BOOST_TEST(S.leader().empty());
  BOOST_TEST(S.violation() == "");

  S.wipe(C);
  S.start(A);
  BOOST_TEST(S.Net.runUntilDone(seconds(10), [&] { return S.allHostsVote(); }));
  BOOST_TEST(S.violation() == "");
}

BOOST_AUTO_TEST_CASE(RolledBackDiskHaltsAtFirstContactWithInformedHost) {
  Site S(8);
  S.begin();
  auto Old = S.Disks.at(C)->image();
  S.Net.isolate(B);
  S.proposeMany(A, 20); // b does not learn what c acknowledges.
  S.Net.crash(C);
  S.Disks.at(C)->restore(Old);
  S.Net.heal(B, C);
  S.Net.heal(C, B);
  S.Net.cut(C, A);
  S.Net.cut(A, C);
  S.start(C);
  S.Net.runFor(milliseconds(300));
  BOOST_TEST(S.replica(C).Admitted); // By b, which has no newer mark.
  S.Net.heal(C, A);
  S.Net.heal(A, C);
  S.Net.runFor(milliseconds(250));
  BOOST_TEST(S.replica(C).Halted == Code::IdentityMismatch);
  BOOST_TEST(S.violation() == "");
}

BOOST_AUTO_TEST_CASE(RestartedVoterWaitsForMajorityToCheckItsDisk) {
  Site S(9, 5);
  S.begin();
  HostId D("d");
  for (const HostId &Name : {C, D})
    S.Net.isolate(Name);
  S.Net.heal(C, D);
  S.Net.heal(D, C);
  S.Net.crash(C);
  S.start(C);
  S.Net.runFor(seconds(3));
  BOOST_TEST(!S.replica(C).Admitted);
  S.Net.healAll();
  S.Net.runFor(seconds(1));
  BOOST_TEST(S.replica(C).Admitted);
  BOOST_TEST(S.violation() == "");
}

BOOST_AUTO_TEST_CASE(ACopiedDiskIsRefused) {
  Site S(4);
  S.begin();
  S.Net.crash(C);
  auto Copy = S.Disks.at(C)->image();
  S.start(C);
  S.Net.runFor(seconds(2));
  // The copy is started as well, with an equal start counter.
  S.Net.crash(C);
  S.Disks.at(C)->restore(Copy);
  S.start(C);
  S.Net.runFor(seconds(2));
  BOOST_TEST(S.replica(C).Halted == Code::IdentityMismatch);
  BOOST_TEST(S.replica(C).HaltReason.find("copy") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(RemovedDiskIsRefusedAndHostRejoinsWithEmptyDisk) {
  Site S(5);
  S.begin();
  S.proposeMany(A, 5);
  BOOST_TEST(S.remove(C) == MemberChange::Started);
  BOOST_TEST(S.remove(B) == MemberChange::Busy);
  S.Net.runFor(seconds(1));
  BOOST_TEST(S.remove(C) == MemberChange::Done);
  S.Net.runFor(seconds(2));
  BOOST_TEST(S.replica(C).Halted == Code::IdentityMismatch);
  S.Net.crash(C);
  S.start(C);
  S.Net.runFor(seconds(2));
  BOOST_TEST(S.replica(C).Halted == Code::IdentityMismatch);
  BOOST_TEST(S.add(C) == MemberChange::Unseen);

  S.wipe(C);
  S.Net.runFor(seconds(2));
  BOOST_TEST(members(S.replica(A)).Members.size() == 2U);
  BOOST_TEST(S.add(C) == MemberChange::Started);
  BOOST_TEST(S.Net.runUntilDone(seconds(5), [&] { return S.allHostsVote(); }));
  S.Net.runFor(milliseconds(500));
  BOOST_TEST(S.converged());
  BOOST_TEST(S.violation() == "");
}

BOOST_AUTO_TEST_CASE(RemovedLeaderStepsDown) {
  Site S(6);
  S.begin();
  BOOST_TEST(S.remove(A) == MemberChange::Started);
  BOOST_TEST(S.Net.runUntilDone(
      seconds(3), [&] { return !S.leader().empty() && S.leader() != A; }));
  HostId Next = S.leader();
  S.proposeMany(Next, 3);
  BOOST_TEST(S.Acknowledged == 3U);
  BOOST_TEST(S.violation() == "");
}

BOOST_AUTO_TEST_CASE(HostDoesNotStartOnAnotherHostsFolder) {
  Site S(7);
  S.begin();
  S.Net.crash(C);
  S.Disks.at(C)->restore(S.Disks.at(B)->image());
  BOOST_TEST(!S.start(C));
  BOOST_TEST(S.StartFailures[C] == Code::IdentityMismatch);
}
