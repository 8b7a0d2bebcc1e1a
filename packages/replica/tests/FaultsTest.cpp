//===- FaultsTest.cpp - Seeded runs with random faults --------------------===//
//
// PIMENTO_SEEDS=N runs N seeds, PIMENTO_FIRST_SEED=S begins with S,
// PIMENTO_TRACE=1 prints each decision and fault.
//
//===----------------------------------------------------------------------===//
#include <boost/test/unit_test.hpp>

#include "Cluster.h"

#include <cstdlib>
#include <iostream>

using namespace pimento;
using pimento::testing::Cluster;

namespace {

constexpr std::uint64_t DefaultSeeds = 2000;
constexpr Duration FaultTime = seconds(10);
constexpr Duration RepairTime = seconds(20);

/// Events counted over all runs, which shows whether the faults occurred at
/// all.
struct Tally {
  std::uint64_t Acknowledged = 0;
  std::uint64_t Crashes = 0;
  std::uint64_t Freezes = 0;
  std::uint64_t Wipes = 0;
  std::uint64_t Installs = 0;
  std::uint64_t Transfers = 0;
  std::uint64_t Removals = 0;
  std::uint64_t DiskFailures = 0;
};

class FaultRun {
public:
  FaultRun(std::uint64_t Seed, Tally &Total)
      : Site(Seed, Seed % 4 == 0 ? 5 : 3), Rng(Seed * 104729), Count(Total) {
    Site.GroupCount = Seed % 5 == 0 ? 2 : 1;
    Site.Base.SnapshotEntries = 16;
    Site.Base.ChunkBytes = 64;
    Site.PaddingBytes = 300;
    Site.Net.TickInterval = milliseconds(15);
    Activity = pick({0.2, 1});
    Site.Net.Faults.Loss = pick({0, 0.02, 0.2});
    Site.Net.Faults.Duplicate = pick({0, 0.1});
    Site.Net.Faults.Slow = pick({0, 0.1});
    Site.Net.Faults.SlowDelay = milliseconds(800);
    Site.Net.Faults.DelayHigh = milliseconds(1 + below(Rng, 20));
    for (const HostId &Name : Site.Voters)
      Site.Net.setClock(Name, 0.9955 + 0.009 * uniform(Rng),
                        seconds(below(Rng, 1000)));
  }

  /// Returns the first violation; empty: none.
  std::string run() {
    if (std::getenv("PIMENTO_TRACE") != nullptr)
      Site.Trace = &std::cerr;
    Site.startAll();
    TimePoint End = Site.Net.now() + FaultTime;
    while (Site.Net.now() < End && Site.violation().empty()) {
      Site.Net.runFor(between(Rng, milliseconds(20), milliseconds(400)));
      if (uniform(Rng) < Activity)
        proposeAtLeaders();
      injectFault();
    }
    if (!Site.violation().empty())
      return Site.violation();
    return recover();
  }

private:
  Cluster Site;
  Random Rng;
  Tally &Count;
  double Activity = 1;         // Share of the steps that propose commands.
  std::vector<HostId> Removed; // Removed hosts that are not members again.

  double pick(std::initializer_list<double> Values) {
    return Values.begin()[below(Rng, Values.size())];
  }
  HostId anyHost() { return Site.Voters[below(Rng, Site.Voters.size())]; }

  /// Proposes at every replica that considers itself the leader, also at a
  /// deposed one.
  void proposeAtLeaders() {
    for (const HostId &Name : Site.Voters) {
      for (GroupId Group = 0; Group < Site.GroupCount; ++Group) {
        if (!Site.Net.running(Name) ||
            role(Site.replica(Name, Group)) != ReplicaRole::Leader)
          continue;
        for (std::uint64_t I = below(Rng, 6); I > 0; --I)
          Site.propose(Name, std::to_string(Rng()), Group);
      }
    }
  }

  void stop(const HostId &Name) {
    if (!Site.up(Name))
      return;
    ++Count.Crashes;
    Site.note("crash " + Name.Value);
    Site.Net.crash(Name);
  }

  void restart(const HostId &Name) {
    if (Site.up(Name))
      return;
    Site.note("start " + Name.Value);
    auto &Disk = *Site.Disks.at(Name);
    Disk.CrashAt = 0;
    Disk.FailAt = 0;
    if (below(Rng, 2) == 0)
      Disk.loseUnsynced();
    else
      Disk.Dead = false;
    if (!Site.start(Name))
      BOOST_ERROR("host " << Name
                          << " refused to start: " << Site.StartFailures[Name]);
  }

  /// Loses a disk permanently. The log survives this only if all hosts are
  /// voters with their current disks and none is being removed.
  void wipe(const HostId &Name) {
    if (!Removed.empty() || !Site.allHostsVote())
      return;
    ++Count.Wipes;
    Site.note("wipe " + Name.Value);
    Site.Net.crash(Name);
    Site.Disks.at(Name)->wipe();
    if (below(Rng, 2) == 0)
      restart(Name);
  }

  /// Removes a voter, which retires its disk. The host rejoins later with an
  /// empty disk.
  void removeOne(const HostId &Name) {
    HostId Leader = Site.leader();
    if (Site.GroupCount != 1 || !Site.allHostsVote() || Name == Leader)
      return;
    auto Remove = [&](ReplicaState &S, TimePoint Now, ReplicaEffects &E) {
      return removeMember(S, Name, Now, E);
    };
    if (Site.act(Leader, 0, Remove) != MemberChange::Started)
      return;
    ++Count.Removals;
    Site.note("remove " + Name.Value);
    Removed.push_back(Name);
  }

  void addRemoved() {
    HostId Leader = Site.leader();
    if (Leader.empty() || Removed.empty())
      return;
    HostId Name = Removed.back();
    const ReplicaState &S = Site.replica(Leader);
    if (replica::findMember(replica::membersAt(S, S.Commit), Name) == nullptr) {
      Site.Net.crash(Name);
      Site.Disks.at(Name)->wipe();
      restart(Name);
      Site.Net.runFor(seconds(1)); // Until the leader has received a probe.
    }
    auto Add = [&](ReplicaState &At, TimePoint Now, ReplicaEffects &E) {
      return addMember(At, Name, Now, E);
    };
    Leader = Site.leader();
    if (!Leader.empty() && Site.act(Leader, 0, Add) == MemberChange::Done)
      Removed.pop_back();
  }

  void transfer() {
    HostId Leader = Site.leader();
    if (Leader.empty())
      return;
    bool Began = Site.act(
        Leader, 0, [&](ReplicaState &S, TimePoint Now, ReplicaEffects &E) {
          return transferLeadership(S, HostId(), Now, E);
        });
    Count.Transfers += Began ? 1 : 0;
  }

  void injectFault() {
    HostId One = anyHost();
    HostId Two = anyHost();
    auto &Disk = *Site.Disks.at(One);
    std::uint64_t Fault = below(Rng, 17);
    Site.note("fault " + std::to_string(Fault) + " at " + One.Value + " " +
              Two.Value);
    switch (Fault) {
    case 0:
      stop(One);
      break;
    case 1:
    case 2:
      restart(One);
      break;
    case 3:
      Disk.CrashAt = Disk.Steps + 1 + below(Rng, 12);
      break;
    case 4:
      Count.Freezes += Site.Net.running(One) ? 1 : 0;
      Site.Net.freeze(One);
      break;
    case 5:
    case 6:
      Site.Net.thaw(One);
      break;
    case 7:
      if (One != Two)
        Site.Net.cut(One, Two);
      break;
    case 8:
      Site.Net.isolate(One);
      break;
    case 9:
    case 10:
      Site.Net.healAll();
      break;
    case 11:
      Site.SlowDisks[One] = milliseconds(below(Rng, 400));
      break;
    case 12:
      wipe(One);
      break;
    case 13:
      transfer();
      break;
    case 14:
      Disk.FailAt = below(Rng, 4) == 0 ? Disk.Steps + 1 : 0;
      Count.DiskFailures += Disk.FailAt != 0 ? 1 : 0;
      break;
    case 15:
      Removed.empty() ? removeOne(One) : addRemoved();
      break;
    default:
      Site.Net.healAll();
      for (const HostId &Name : Site.Voters)
        restart(Name);
    }
  }

  bool isRemoved(const HostId &Name) const {
    return std::find(Removed.begin(), Removed.end(), Name) != Removed.end();
  }

  /// Whether a replica of the host halted. Only a failing disk or a removal may
  /// cause that.
  bool halted(const HostId &Name) {
    bool Any = false;
    for (const auto &Group : Site.Net.node(Name).Groups) {
      const ReplicaState &S = Group.second.Replica;
      Any |= S.Halted != Code::Ok;
      if (S.Halted != Code::Ok && S.Halted != Code::StorageFailed &&
          !isRemoved(Name))
        BOOST_ERROR("host " << Name << " halted: " << S.HaltReason);
    }
    return Any;
  }

  /// Ends all faults. Every host has to become a voter again, and the log has
  /// to accept commands.
  std::string recover() {
    Site.note("repair");
    Site.Net.healAll();
    Site.Net.Faults = pimento::testing::NetworkFaults();
    Site.SlowDisks.clear();
    for (const HostId &Name : Site.Voters) {
      auto &Disk = *Site.Disks.at(Name);
      if (Site.up(Name) && (Disk.Dead || Disk.FailAt != 0 || halted(Name)))
        stop(Name);
      Disk.CrashAt = 0;
      Site.Net.thaw(Name);
      restart(Name);
    }
    for (int I = 0; I < 20 && !Removed.empty(); ++I) {
      Site.Net.runFor(seconds(1));
      addRemoved();
    }
    bool IsRepaired = Site.Net.runUntilDone(RepairTime, [&] {
      return Site.allHostsVote() || !Site.violation().empty();
    });
    if (!Site.violation().empty())
      return Site.violation();
    if (!IsRepaired) {
      Site.noteAll();
      return "not every host became a voter again";
    }
    Site.Net.runFor(seconds(2)); // A leadership transfer may be in progress.
    std::uint64_t Before = Site.Acknowledged;
    for (GroupId Group = 0; Group < Site.GroupCount; ++Group)
      Site.propose(Site.waitForLeader(seconds(5), Group), "last", Group);
    Site.Net.runFor(seconds(2));
    Count.Acknowledged += Site.Acknowledged;
    for (const HostId &Name : Site.Voters)
      Count.Installs += Site.group(Name).Installs;
    Site.noteAll();
    if (Site.Acknowledged < Before + Site.GroupCount)
      return "the log accepts no commands after the repair";
    return Site.converged() ? Site.violation()
                            : "hosts differ after the repair";
  }
};

std::uint64_t fromEnvironment(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text == nullptr ? Default : std::strtoull(Text, nullptr, 10);
}

} // namespace

BOOST_AUTO_TEST_CASE(InvariantsHoldUnderAllFaultsAtOnce) {
  std::uint64_t Seeds = fromEnvironment("PIMENTO_SEEDS", DefaultSeeds);
  std::uint64_t First = fromEnvironment("PIMENTO_FIRST_SEED", 1);
  Tally Total;
  int Failed = 0;
  for (std::uint64_t Seed = First; Seed < First + Seeds && Failed < 10;
       ++Seed) {
    FaultRun Run(Seed, Total);
    std::string RunViolation = Run.run();
    BOOST_TEST(RunViolation == "", "seed " << Seed << ": " << RunViolation);
    Failed += RunViolation.empty() ? 0 : 1;
  }
  BOOST_TEST_MESSAGE("acknowledged "
                     << Total.Acknowledged << ", crashes " << Total.Crashes
                     << ", freezes " << Total.Freezes << ", wipes "
                     << Total.Wipes << ", installs " << Total.Installs
                     << ", transfers " << Total.Transfers << ", disk failures "
                     << Total.DiskFailures);
}

/// After a restart of all voters no leader relies on a vote promise. Guards
/// against an election that still waits for the promises to expire.
BOOST_AUTO_TEST_CASE(LeaderIsElectedAtOnceAfterRestartOfAllVoters) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    Cluster C(Seed);
    C.startAll();
    BOOST_REQUIRE(!C.waitForLeader(seconds(5)).empty());
    C.Net.runFor(seconds(1));
    for (const HostId &Name : C.Voters)
      C.Net.crash(Name);
    C.Net.runFor(milliseconds(50));
    for (const HostId &Name : C.Voters)
      BOOST_REQUIRE(C.start(Name));
    BOOST_TEST(!C.waitForLeader(C.Base.ElectionTimeout * 3 / 4).empty());
    C.Net.runFor(seconds(2));
    BOOST_TEST(C.violation() == "");
  }
}

/// Restarted followers that cannot reach the leader still keep their vote
/// promises, since the leader may hold its lease.
BOOST_AUTO_TEST_CASE(RestartedFollowersKeepVotePromisesToUnreachableLeader) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    Cluster C(Seed);
    C.startAll();
    HostId L = C.waitForLeader(seconds(5));
    BOOST_REQUIRE(!L.empty());
    C.Net.runFor(seconds(1));
    for (const HostId &Name : C.Voters) {
      if (Name == L)
        continue;
      C.Net.cut(Name, L);
      C.Net.cut(L, Name);
      C.Net.crash(Name);
      BOOST_REQUIRE(C.start(Name));
    }
    C.Net.runFor(C.Base.ElectionTimeout * 3 / 4);
    HostId Now = C.leader();
    BOOST_TEST((Now == L || Now.empty()));
    C.Net.runFor(seconds(3));
    BOOST_TEST(C.violation() == "");
  }
}
