// Benchmarks of the replicated log: group commit, time without a leader, idle
// traffic, restart.
//
//   replicaBench            everything; exit status 1 if a bound is exceeded
//
// Bounds apply to counted work and virtual time only. Wall-clock times are
// printed without a bound, since they depend on the host.

#include "../packages/replica/tests/Cluster.h"

#include <algorithm>
#include <cstdio>

using namespace pimento;
using pimento::testing::Cluster;

namespace {

int Broken = 0;

void bound(const char *Name, double Value, double Limit, const char *Unit) {
  bool Holds = Value <= Limit;
  std::printf("  %-44s %12.1f %-10s bound %.1f %s\n", Name, Value, Unit, Limit,
              Holds ? "holds" : "BROKEN");
  Broken += Holds ? 0 : 1;
}

void figure(const char *Name, double Value, const char *Unit) {
  std::printf("  %-44s %12.1f %s\n", Name, Value, Unit);
}

double secondsSince(std::chrono::steady_clock::time_point Start) {
  return toSeconds(std::chrono::steady_clock::now() - Start);
}

bool begin(Cluster &Site) {
  Site.Net.SizeOf = [](const Message &M) { return encode(M).size(); };
  Site.startAll();
  for (GroupId Group = 0; Group < Site.GroupCount; ++Group) {
    if (Site.waitForLeader(seconds(5), Group).empty())
      return false;
  }
  Site.Net.runFor(seconds(1));
  return true;
}

/// Many callers propose concurrently on a disk that takes 5 ms to sync.
void measureGroupCommit(std::size_t Load) {
  Cluster Site(1);
  Site.DiskDelay = milliseconds(5);
  Site.SegmentBytes = 16U << 20U;
  begin(Site);
  Site.Net.SizeOf = nullptr;
  HostId Leader = Site.leader();
  std::uint64_t Syncs = Site.Disks.at(Leader)->Syncs;
  std::uint64_t Before = Site.Acknowledged;
  auto Start = std::chrono::steady_clock::now();
  TimePoint Virtual = Site.Net.now();
  std::string Command(300, 'x');
  for (int Turn = 0; Turn < 1000; ++Turn) {
    for (std::size_t I = 0; I < Load; ++I)
      Site.propose(Leader, Command);
    Site.Net.runFor(milliseconds(1));
  }
  Site.Net.runFor(milliseconds(100));
  double Real = secondsSince(Start);
  auto Done = static_cast<double>(Site.Acknowledged - Before);
  auto Synced = static_cast<double>(Site.Disks.at(Leader)->Syncs - Syncs);
  std::printf("group commit, %zu commands a millisecond, 5 ms a sync\n", Load);
  figure("committed", Done, "entries");
  figure("committed a virtual second",
         Done / toSeconds(Site.Net.now() - Virtual), "entries/s");
  // Syncs do not overlap, so there are at most 200 per second.
  bound("syncs of the leader's disk", Synced, 220, "syncs");
  figure("commands in one sync", Done / Synced, "entries");
  figure("processor time for a command, three hosts", Real / Done * 1000000,
         "us");
}

void measureElections(std::size_t Hosts) {
  std::vector<double> Times;
  for (std::uint64_t Seed = 1; Seed <= 300; ++Seed) {
    Cluster Site(Seed, Hosts);
    Site.startAll();
    HostId Leader = Site.waitForLeader(seconds(5));
    Site.Net.runFor(milliseconds(500 + below(Site.Net.Rng, 200)));
    TimePoint Died = Site.Net.now();
    Site.Net.crash(Leader);
    Site.waitForLeader(seconds(10));
    Times.push_back(toSeconds(Site.Net.now() - Died) * 1000);
  }
  std::sort(Times.begin(), Times.end());
  std::printf("time without a leader after its death, %zu voters, 300 runs\n",
              Hosts);
  figure("median", Times[Times.size() / 2], "ms");
  figure("95 in 100", Times[Times.size() * 95 / 100], "ms");
  bound("longest", Times.back(), 1500, "ms");
}

void measureHandOver() {
  double Worst = 0;
  for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
    Cluster Site(Seed);
    Site.startAll();
    HostId Leader = Site.waitForLeader(seconds(5));
    Site.Net.runFor(milliseconds(500));
    TimePoint Asked = Site.Net.now();
    Site.act(Leader, 0, [](ReplicaState &S, TimePoint Now, ReplicaEffects &E) {
      return transferLeadership(S, HostId(), Now, E);
    });
    Site.Net.runUntilDone(seconds(5), [&] {
      return !Site.leader().empty() && Site.leader() != Leader;
    });
    Worst = std::max(Worst, toSeconds(Site.Net.now() - Asked) * 1000);
  }
  std::printf("hand-over of the leadership, 100 runs\n");
  bound("longest time to a new leader", Worst, 100, "ms");
}

/// Measures idle traffic per host, counted over all hosts.
void measureRest(GroupId Groups, std::size_t Hosts, double MostBytes) {
  Cluster Site(1, Hosts);
  Site.GroupCount = Groups;
  begin(Site);
  Site.Net.runFor(seconds(5));
  std::uint64_t Bytes = Site.Net.BytesSent;
  std::uint64_t Messages = Site.Net.MessagesSent;
  constexpr double Time = 60;
  Site.Net.runFor(seconds(60));
  double PerSecond = Time * static_cast<double>(Hosts);
  std::printf("traffic at rest, %u groups, %zu voters\n", Groups, Hosts);
  figure("messages a host a second",
         static_cast<double>(Site.Net.MessagesSent - Messages) / PerSecond,
         "messages");
  bound("bytes a host a second",
        static_cast<double>(Site.Net.BytesSent - Bytes) / PerSecond, MostBytes,
        "bytes");
}

void measureRestart(std::uint64_t Entries) {
  pimento::testing::FakeDisk Disk(1);
  StoreConfig Config;
  Config.Host = HostId("a");
  Config.Nonce = 1;
  std::map<GroupId, Recovered> Found;
  Failure Why;
  LogStore Log = valueOr<LogStore>(
      [&] { return openStore(Disk.disk(), Config, Found); }, LogStore(), Why);
  for (std::uint64_t I = 1; I <= Entries;) {
    DiskWrite W;
    for (int Batch = 0; Batch < 64 && I <= Entries; ++Batch, ++I) {
      LogEntry Entry;
      Entry.Index = I;
      Entry.Term = 1;
      Entry.Kind = EntryKind::Command;
      Entry.Payload.Data.assign(300, 'x');
      W.Entries.push_back(std::move(Entry));
    }
    valueOr<bool>(
        [&]() -> Result<bool> {
          auto Done = writeBatch(Log, {W});
          if (!Done)
            return Done.error();
          return true;
        },
        false, Why);
  }
  Config.Nonce = 2;
  Found.clear();
  auto Start = std::chrono::steady_clock::now();
  Log = valueOr<LogStore>([&] { return openStore(Disk.disk(), Config, Found); },
                          LogStore(), Why);
  ReplicaConfig Replica;
  Replica.Self = HostId("a");
  std::size_t Held = Found[0].Entries.size();
  ReplicaState S = startReplica(Replica, std::move(Found[0]), TimePoint());
  double Time = secondsSince(Start) * 1000;
  std::printf("restart on a log of %zu entries of 300 bytes\n", Held);
  figure("time", Time, "ms");
  figure("time for 1000 entries", Time * 1000 / static_cast<double>(Held),
         "ms");
}

} // namespace

int main() {
  for (std::size_t Load : {1U, 10U, 50U})
    measureGroupCommit(Load);
  measureElections(3);
  measureElections(5);
  measureHandOver();
  // The target for all control traffic of a node is 17 KB per second.
  measureRest(1, 3, 17000);
  measureRest(3, 3, 17000);
  measureRest(3, 5, 17000);
  for (std::uint64_t Entries : {1000U, 10000U, 100000U})
    measureRestart(Entries);
  std::printf("%d bounds broken\n", Broken);
  return Broken == 0 ? 0 : 1;
}
