//===- Cluster.h - Simulated hosts with replicas and fake disks -*- C++ -*-===//
//
//   Cluster C(Seed, /*Hosts=*/3);
//   C.startAll();
//   C.Net.runFor(seconds(2));
//   HostId L = C.leader();
//   C.propose(L, "text");
//
// Messages and writes take effect a short time after they were decided, so that
// a freeze or a crash can occur in between. Invariants are checked after every
// step.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "Invariants.h"
#include "replica/Replica.h"
#include "storage/LogStore.h"
#include "testing/FakeDisk.h"
#include "testing/Pump.h"

#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace pimento::testing {

/// Replica of one group at one host, with a state machine that computes a
/// checksum over all entries.
struct GroupNode {
  ReplicaState Replica;
  std::uint64_t Applied = 0;
  std::uint64_t Sum = 0;
  /// Unacknowledged proposals: index to term.
  std::map<std::uint64_t, std::uint64_t> Waiting;
  std::vector<DecisionRecord> Decisions;
  std::vector<LostRange> Lost;
  std::uint64_t Installs = 0;
};

struct TestHost {
  HostId Name;
  LogStore Files;
  std::map<GroupId, GroupNode> Groups;
  std::vector<DiskWrite> Queue; // Writes that wait for the disk.
  bool DiskBusy = false;
};

class Cluster {
public:
  using Network = Pump<TestHost, Message>;

  Network Net;
  std::map<HostId, std::unique_ptr<FakeDisk>> Disks;
  std::map<GroupId, Invariants> Checks;
  ReplicaConfig Base; // Timings and limits of every replica.
  std::vector<HostId> Voters;
  GroupId GroupCount = 1;
  Duration DiskDelay = milliseconds(1);
  std::size_t PaddingBytes = 0; // Extra bytes in each snapshot.
  std::size_t SegmentBytes = 8192;
  std::map<HostId, Duration> SlowDisks;
  std::uint64_t Acknowledged = 0;
  std::map<HostId, Code> StartFailures; // Result of each start.
  std::ostream *Trace = nullptr; // Receives decisions and faults as text.

  explicit Cluster(std::uint64_t Seed, std::size_t Hosts = 3) : Net(Seed) {
    for (std::size_t I = 0; I < Hosts; ++I) {
      HostId Name(std::string(1, static_cast<char>('a' + I)));
      Voters.push_back(Name);
      Disks[Name] = std::make_unique<FakeDisk>(Seed * 31 + I);
      Net.setClock(Name, 1.0, Duration::zero());
    }
    Net.TickInterval = milliseconds(20);
    Net.OnMessage = [this](TestHost &H, const HostId &From, const Message &M,
                           TimePoint Now) { onMessage(H, From, M, Now); };
    Net.OnTick = [this](TestHost &H, TimePoint Now) { onTick(H, Now); };
    Net.AfterStep = [this] { check(); };
  }

  void startAll() {
    for (const HostId &Name : Voters)
      start(Name);
  }

  /// Starts a host with the contents of its disk; false if that fails.
  bool start(const HostId &Name) {
    TestHost H;
    H.Name = Name;
    StoreConfig SC;
    SC.Host = Name;
    SC.Nonce = Net.Rng() | 1U;
    SC.SegmentBytes = SegmentBytes;
    std::map<GroupId, Recovered> Found;
    Failure Why;
    Why.Number = Code::Ok;
    H.Files = valueOr<LogStore>(
        [&] { return openStore(Disks.at(Name)->disk(), SC, Found); },
        LogStore(), Why);
    StartFailures[Name] = Why.Number;
    if (Why.Number != Code::Ok)
      return false;
    for (GroupId Group = 0; Group < GroupCount; ++Group)
      startGroup(H, Group, std::move(Found[Group]));
    Net.add(Name, std::move(H));
    return true;
  }

  bool up(const HostId &Name) const { return Net.up(Name); }

  ReplicaState &replica(const HostId &Name, GroupId Group = 0) {
    return Net.node(Name).Groups.at(Group).Replica;
  }
  GroupNode &group(const HostId &Name, GroupId Group = 0) {
    return Net.node(Name).Groups.at(Group);
  }

  void note(const std::string &Text) {
    if (Trace != nullptr)
      *Trace << toMilliseconds(Net.now().time_since_epoch()) << " -- " << Text
             << "\n";
  }

  /// Writes the state of every replica to the trace.
  void noteAll() {
    for (const HostId &Name : Voters) {
      for (GroupId Group = 0; Group < GroupCount && up(Name); ++Group)
        note(Name.Value + " " + describe(Name, Group));
    }
  }

  std::string describe(const HostId &Name, GroupId Group) {
    ReplicaStatus R = status(replica(Name, Group), Net.clock(Name));
    std::string Text =
        std::string(toString(R.Role)) + " of " + R.Leader.Value + " term " +
        std::to_string(R.Term) + " last " + std::to_string(R.LastIndex) +
        " synced " + std::to_string(R.Synced) + " commit " +
        std::to_string(R.Commit) + " snapshot " +
        std::to_string(R.SnapshotIndex) + (R.Admitted ? "" : " not admitted") +
        (Net.frozen(Name) ? " frozen" : "") + (R.Lease ? " lease " : " ") +
        R.HaltReason;
    for (const MemberStatus &M : R.Members)
      Text += " " + M.Who.Host.Value + (M.Who.Learner ? "?" : "") + ":" +
              std::to_string(M.Synced);
    return Text;
  }

  /// A running leader that holds the lease; empty: none.
  HostId leader(GroupId Group = 0) {
    for (const HostId &Name : Voters) {
      if (!up(Name) || Net.frozen(Name))
        continue;
      if (holdsLease(replica(Name, Group), Net.clock(Name)))
        return Name;
    }
    return HostId();
  }

  HostId waitForLeader(Duration Limit, GroupId Group = 0) {
    Net.runUntilDone(Limit, [&] { return !leader(Group).empty(); });
    return leader(Group);
  }

  /// Runs an event at one replica and executes its effects.
  template <class Event> auto act(const HostId &Name, GroupId Group, Event Do) {
    TestHost &H = Net.node(Name);
    ReplicaEffects E;
    if constexpr (std::is_void_v<decltype(Do(H.Groups.at(Group).Replica,
                                             TimePoint(), E))>) {
      Do(H.Groups.at(Group).Replica, Net.clock(Name), E);
      executeEffects(H, Group, E);
    } else {
      auto Result = Do(H.Groups.at(Group).Replica, Net.clock(Name), E);
      executeEffects(H, Group, E);
      return Result;
    }
  }

  /// Proposes a command and executes the effects; false if it was refused.
  bool propose(const HostId &Name, const std::string &Text, GroupId Group = 0) {
    TestHost &H = Net.node(Name);
    GroupNode &G = H.Groups.at(Group);
    auto At = pimento::propose(G.Replica, Blob{Text});
    if (!At)
      return false;
    G.Waiting[At->Index] = At->Term;
    act(Name, Group, [](ReplicaState &S, TimePoint Now, ReplicaEffects &E) {
      flush(S, Now, E);
    });
    return true;
  }

  /// Proposes commands one after the other, then runs on for a while.
  void proposeMany(const HostId &Leader, int Count) {
    for (int I = 0; I < Count; ++I) {
      propose(Leader, "command " + std::to_string(I));
      Net.runFor(milliseconds(2));
    }
    Net.runFor(milliseconds(300));
  }

  std::string violation() const {
    for (const auto &Check : Checks) {
      if (!Check.second.violation().empty())
        return Check.second.violation();
    }
    return "";
  }

  /// Whether every host has applied all committed entries.
  bool converged() {
    for (const HostId &Name : Voters) {
      if (!up(Name) || Net.frozen(Name))
        return false;
      for (const auto &Group : Net.node(Name).Groups) {
        if (Group.second.Applied != Checks[Group.first].highestCommitted())
          return false;
      }
    }
    return true;
  }

  /// Whether every host is a voter with its current disk.
  bool allHostsVote() {
    for (GroupId Group = 0; Group < GroupCount; ++Group) {
      HostId L = leader(Group);
      if (L.empty())
        return false;
      const ReplicaState &S = replica(L, Group);
      const VoterSet &CommittedVoters =
          pimento::replica::membersAt(S, S.Commit);
      for (const HostId &Name : Voters) {
        if (!up(Name) ||
            !pimento::replica::isVoter(CommittedVoters, Name,
                                       Net.node(Name).Files.Self.Incarnation))
          return false;
      }
    }
    return true;
  }

private:
  void startGroup(TestHost &H, GroupId Group, Recovered Found) {
    ReplicaConfig C = Base;
    C.Group = Group;
    C.Self = H.Name;
    C.Incarnation = H.Files.Self.Incarnation;
    C.Start = H.Files.Self.Start;
    C.Seed = Net.Rng();
    C.FormationVoters = Voters;
    GroupNode &G = H.Groups[Group];
    if (Found.Base.Index != 0)
      load(H, Group, G, Found.Base);
    G.Replica = startReplica(C, std::move(Found), Net.clock(H.Name));
  }

  void load(TestHost &H, GroupId Group, GroupNode &G, const Snapshot &S) {
    G.Applied = S.Index;
    G.Sum = std::stoull(*S.Data);
    Checks[Group].onState(H.Name, G.Applied, G.Sum);
  }

  void onMessage(TestHost &H, const HostId &From, const Message &M,
                 TimePoint Now) {
    const ReplicaHeader *Header = replicaHeader(M);
    if (Header == nullptr || H.Groups.count(Header->Group) == 0)
      return;
    ReplicaEffects E;
    GroupId Group = Header->Group;
    receive(H.Groups.at(Group).Replica, From, M, Now, E);
    executeEffects(H, Group, E);
  }

  void onTick(TestHost &H, TimePoint Now) {
    for (auto &Group : H.Groups) {
      ReplicaEffects E;
      tick(Group.second.Replica, Now, E);
      executeEffects(H, Group.first, E);
    }
  }

  void executeEffects(TestHost &H, GroupId Group, ReplicaEffects &E) {
    GroupNode &G = H.Groups.at(Group);
    if (E.Install) {
      load(H, Group, G, *E.Install);
      ++G.Installs;
    }
    for (const LogEntry &Entry : E.Committed) {
      Checks[Group].onCommitted(H.Name, term(G.Replica), Entry, G.Applied,
                                G.Sum);
      auto Found = G.Waiting.find(Entry.Index);
      if (Found == G.Waiting.end())
        continue;
      if (Found->second == Entry.Term) {
        Checks[Group].onAcknowledged(H.Name, {Entry.Index, Entry.Term});
        ++Acknowledged;
      }
      G.Waiting.erase(Found);
    }
    for (const LostRange &Range : E.Lost) {
      G.Lost.push_back(Range);
      for (std::uint64_t I = Range.First; I <= Range.Last; ++I)
        G.Waiting.erase(I);
    }
    G.Decisions.insert(G.Decisions.end(), E.Decisions.begin(),
                       E.Decisions.end());
    for (const DecisionRecord &Record : E.Decisions)
      trace(H.Name, Record, G.Replica);
    sendLater(H.Name, E.Messages);
    H.Queue.insert(H.Queue.end(), E.Writes.begin(), E.Writes.end());
    startDisk(H);
    if (E.WantSnapshot)
      takeSnapshot(H, Group);
  }

  void trace(const HostId &Name, const DecisionRecord &Record,
             const ReplicaState &S) {
    if (Trace == nullptr)
      return;
    *Trace << toMilliseconds(Net.now().time_since_epoch()) << " " << Name
           << " group " << S.Config.Group << " " << Record.Kind << ": "
           << Record.Reason << " [term " << S.Hard.Term << " commit "
           << S.Commit << " last " << pimento::replica::lastIndex(S)
           << " synced " << S.Synced << "]";
    for (const DecisionField &Field : Record.Fields) {
      *Trace << " " << Field.Name << "=";
      std::visit([&](const auto &Value) { *Trace << Value; }, Field.Value);
    }
    *Trace << "\n";
  }

  void sendLater(const HostId &Name, std::vector<Outbound> &Messages) {
    if (Messages.empty())
      return;
    auto Out = std::make_shared<std::vector<Outbound>>(std::move(Messages));
    Duration Delay = microseconds(below(Net.Rng, 50));
    Net.perform(Name, Delay, [this, Out](TestHost &H, TimePoint /*Now*/) {
      for (const Outbound &M : *Out)
        Net.send(H.Name, M.To, M.Content);
    });
  }

  void takeSnapshot(TestHost &H, GroupId Group) {
    GroupNode &G = H.Groups.at(Group);
    std::string Data = std::to_string(G.Sum) + " ";
    Data.append(PaddingBytes, '.');
    ReplicaEffects E;
    snapshotTaken(G.Replica, G.Applied, Data, Net.clock(H.Name), E);
    executeEffects(H, Group, E);
  }

  void startDisk(TestHost &H) {
    if (H.DiskBusy || H.Queue.empty())
      return;
    H.DiskBusy = true;
    auto Slow = SlowDisks.find(H.Name);
    Duration Delay = Slow == SlowDisks.end() ? DiskDelay : Slow->second;
    Net.perform(H.Name, Delay,
                [this](TestHost &Self, TimePoint /*Now*/) { runDisk(Self); });
  }

  /// Writes and syncs the whole queue at once. The completion is a later step.
  void runDisk(TestHost &H) {
    auto Batch = std::make_shared<std::vector<DiskWrite>>();
    Batch->swap(H.Queue);
    Failure Why;
    bool Done = valueOr<bool>(
        [&]() -> Result<bool> {
          auto Written = writeBatch(H.Files, *Batch);
          if (!Written)
            return Written.error();
          return true;
        },
        false, Why);
    if (Disks.at(H.Name)->Dead) {
      Net.crash(H.Name);
      return;
    }
    Duration Delay = microseconds(below(Net.Rng, 100));
    Net.perform(H.Name, Delay,
                [this, Batch, Done, Why](TestHost &Self, TimePoint Now) {
                  diskDone(Self, *Batch, Done, Why, Now);
                });
  }

  void diskDone(TestHost &H, const std::vector<DiskWrite> &Batch, bool Done,
                const Failure &Why, TimePoint Now) {
    H.DiskBusy = false;
    for (const DiskWrite &W : Batch) {
      ReplicaEffects E;
      ReplicaState &S = H.Groups.at(W.Group).Replica;
      if (Done)
        diskWritten(S, W.Ticket, Now, E);
      else
        diskFailed(S, Why.Number, Why.Detail, E);
      executeEffects(H, W.Group, E);
    }
    startDisk(H);
  }

  void check() {
    for (GroupId Group = 0; Group < GroupCount; ++Group) {
      std::vector<ReplicaView> Views;
      for (const HostId &Name : Voters) {
        if (!up(Name))
          continue;
        Views.push_back(
            {&replica(Name, Group), Net.clock(Name), !Net.frozen(Name)});
      }
      Checks[Group].check(Views);
    }
  }
};

} // namespace pimento::testing
