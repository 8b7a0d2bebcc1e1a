//===- ExploreTest.cpp - All interleavings of small configurations --------===//
//
// Three or four replicas of a formed log. From each state every possible next
// step is taken: any message arrives (in any order, or never), a disk finishes,
// a host stands for election, a leader is given a command or a change of
// members, a host crashes and starts again on what was synced. How often the
// last four happen is bounded; within these bounds every state is visited once.
//
// What cannot matter is left out: messages of an older term than the receiver's
// (they can only make their sender step down), first elections by another than
// the first host (the hosts are alike) and, where nothing crashes, the disks'
// delays (they delay messages, which are late anyway).
//
// Clocks run apart without limit here, so that leases mean nothing; the other
// invariants hold by the log alone.
//
//===----------------------------------------------------------------------===//
#include <boost/test/unit_test.hpp>

#include "Invariants.h"

#include <cstdlib>
#include <set>
#include <unordered_set>

using namespace pimento;
using pimento::testing::Invariants;
using pimento::testing::ReplicaView;

namespace {

constexpr std::size_t MostNodes = 8;
constexpr std::size_t MostMessages = 16; // On their way at once.

struct Flying {
  std::size_t From = 0;
  std::size_t To = 0;
  Message Content;
  std::uint64_t Sum = 0; // Of what matters in it.
};

struct Node {
  std::uint64_t Described = 0; // The sum of describe().
  ReplicaState Replica;
  TimePoint Clock{};
  Recovered Disk;               // Synced.
  std::vector<DiskWrite> Write; // Under way; at most one.
  std::uint64_t Applied = 0;
  std::uint64_t Sum = 0;
};

/// How often each step may still happen.
struct Budget {
  int Elections = 0;
  int Commands = 0;
  int Removals = 0;
  int Crashes = 0;
  bool Begun = false; // Somebody has stood for election.
};

/// Shares with other worlds what is equal.
struct World {
  std::vector<std::shared_ptr<const Node>> Members;
  std::vector<std::shared_ptr<const Flying>> Messages;
  Budget Left;
  std::shared_ptr<const Invariants> Checks = std::make_shared<Invariants>();

  const Node &at(std::size_t I) const { return *Members[I]; }
};

HostId hostName(std::size_t I) {
  return HostId(std::string(1, static_cast<char>('a' + I)));
}

IncarnationNumber diskOf(std::size_t I) { return 100 + I; }

ReplicaConfig configOf(std::size_t I) {
  ReplicaConfig C;
  C.Self = hostName(I);
  C.Incarnation = diskOf(I);
  C.Start = 1ULL << 32U;
  C.BatchEntries = 1; // More ways to be interrupted.
  return C;
}

/// What every disk holds in the beginning: the entry that formed the log.
Recovered formedDisk(std::size_t Self, std::size_t Nodes) {
  VoterSet Voters;
  Voters.LogId = 7;
  Recovered R;
  R.Hard.Term = 1;
  for (std::size_t I = 0; I < Nodes; ++I) {
    Voters.Members.push_back({hostName(I), diskOf(I), false});
    if (I != Self)
      R.Hard.Marks.push_back({hostName(I), diskOf(I), 1ULL << 32U, 0, 0});
  }
  LogEntry Entry;
  Entry.Index = 1;
  Entry.Term = 1;
  Entry.Kind = EntryKind::Voters;
  Entry.Payload.Data = replica::encodeVoters(Voters);
  R.Entries.push_back(Entry);
  return R;
}

void start(Node &N, std::size_t I) {
  N.Clock = TimePoint(hours(1));
  N.Replica = startReplica(configOf(I), N.Disk, N.Clock);
  N.Replica.Admitted = true; // Probes are not part of this.
  N.Clock += N.Replica.Config.ElectionTimeout;
  N.Write.clear();
  N.Applied = N.Disk.Base.Index;
  N.Sum = 0;
}

/// A message without what differs between equal states.
std::uint64_t sumOf(std::size_t From, std::size_t To, Message M) {
  if (auto *Append = std::get_if<AppendRequest>(&M)) {
    Append->SentAt = Duration::zero();
    Append->Synced.clear();
  }
  if (auto *Reply = std::get_if<AppendReply>(&M))
    Reply->SentAt = Duration::zero();
  return checksum(encode(M), From * MostNodes + To + 1);
}

class Explorer {
public:
  std::uint64_t States = 0;
  std::uint64_t Dropped = 0; // Messages past the bound.
  std::string Broken;

  explicit Explorer(Budget Left, std::size_t Nodes = 3) {
    First.Left = Left;
    InstantDisks = Left.Crashes == 0;
    for (std::size_t I = 0; I < Nodes; ++I) {
      Node N;
      N.Disk = formedDisk(I, Nodes);
      start(N, I);
      First.Members.push_back(std::make_shared<const Node>(std::move(N)));
    }
  }

  /// Elects the first node and lets everything settle before the exploration.
  void electFirst() {
    Budget Left = First.Left;
    stand(First, 0);
    settle();
    First.Left = Left;
    First.Left.Begun = true;
  }

  /// Commits a command of the first node; the others hear of what was committed
  /// before it.
  void commitOne() {
    command(First, 0);
    settle();
  }

  /// Lets everything arrive.
  void settle() {
    while (!First.Messages.empty() || anyWrite(First)) {
      for (std::size_t I = 0; I < First.Members.size(); ++I) {
        if (!First.at(I).Write.empty())
          finishWrite(First, I);
      }
      if (!First.Messages.empty())
        deliver(First, 0);
    }
  }

  /// Elects \p I by the votes of \p Voters alone.
  void electBy(std::size_t I, const std::set<std::size_t> &Voters) {
    Budget Left = First.Left;
    stand(First, I);
    while (First.at(I).Replica.Role != ReplicaRole::Leader) {
      auto IsVote = [&](const std::shared_ptr<const Flying> &M) {
        return (M->From == I && Voters.count(M->To) != 0) ||
               (M->To == I && Voters.count(M->From) != 0);
      };
      auto Next =
          std::find_if(First.Messages.begin(), First.Messages.end(), IsVote);
      if (Next == First.Messages.end()) {
        stand(First, I); // Its term was not new enough.
        continue;
      }
      deliver(First, static_cast<std::size_t>(Next - First.Messages.begin()));
    }
    First.Left = Left;
    First.Left.Begun = true;
  }

  /// The leader \p I is asked to remove \p Other.
  MemberChange beginRemoval(std::size_t I, std::size_t Other) {
    Node N = First.at(I);
    ReplicaEffects E;
    MemberChange Done = removeMember(N.Replica, hostName(Other), N.Clock, E);
    take(First, I, std::move(N), E);
    return Done;
  }

  /// All that was sent is lost, so that what the leader \p I wrote stays with
  /// it, and it steps down.
  void silence(std::size_t I) {
    First.Messages.clear();
    Node N = First.at(I);
    ReplicaEffects E;
    replica::becomeFollower(N.Replica, term(N.Replica), N.Clock, "unheard", E);
    put(First, I, std::move(N));
  }

  /// Visits all states; false where there are more than \p Most.
  bool run(std::uint64_t Most) {
    std::vector<World> Open = {First};
    Seen.insert(sumOfWorld(First));
    while (!Open.empty() && Broken.empty()) {
      if (++States > Most)
        return false;
      World W = std::move(Open.back());
      Open.pop_back();
      expand(W, Open);
    }
    return true;
  }

private:
  World First;
  bool InstantDisks = false;
  std::unordered_set<std::uint64_t> Seen;

  static bool anyWrite(const World &W) {
    for (const auto &N : W.Members) {
      if (!N->Write.empty())
        return true;
    }
    return false;
  }

  void visit(World W, std::vector<World> &Open) {
    check(W);
    if (Seen.insert(sumOfWorld(W)).second)
      Open.push_back(std::move(W));
  }

  void expand(const World &W, std::vector<World> &Open) {
    for (std::size_t I = 0; I < W.Messages.size(); ++I) {
      World Next = W;
      deliver(Next, I);
      visit(std::move(Next), Open);
    }
    for (std::size_t I = 0; I < First.Members.size(); ++I)
      expandNode(W, I, Open);
  }

  void expandNode(const World &W, std::size_t I, std::vector<World> &Open) {
    const Node &N = W.at(I);
    if (!N.Write.empty()) {
      World Next = W;
      finishWrite(Next, I);
      visit(std::move(Next), Open);
    }
    if (W.Left.Elections > 0 && mayStand(N) && (W.Left.Begun || I == 0)) {
      World Next = W;
      --Next.Left.Elections;
      stand(Next, I);
      visit(std::move(Next), Open);
    }
    if (W.Left.Commands > 0 && N.Replica.Role == ReplicaRole::Leader) {
      World Next = W;
      --Next.Left.Commands;
      command(Next, I);
      visit(std::move(Next), Open);
    }
    if (W.Left.Removals > 0 && N.Replica.Role == ReplicaRole::Leader) {
      World Next = W;
      --Next.Left.Removals;
      removeNext(Next, I, Open);
    }
    if (W.Left.Crashes > 0) {
      World Next = W;
      --Next.Left.Crashes;
      Node Again = Next.at(I);
      start(Again, I);
      put(Next, I, std::move(Again));
      visit(std::move(Next), Open);
    }
  }

  static bool mayStand(const Node &N) {
    return N.Replica.Role != ReplicaRole::Leader &&
           replica::isSelfVoter(N.Replica);
  }

  /// Straight to the binding vote: asking first only makes elections rarer.
  void stand(World &W, std::size_t I) {
    Node N = W.at(I);
    W.Left.Begun = true;
    N.Clock = std::max(N.Clock, N.Replica.LastContact +
                                    N.Replica.Config.ElectionTimeout);
    ReplicaEffects E;
    replica::startElection(N.Replica, /*Transfer=*/true, N.Clock, E);
    flush(N.Replica, N.Clock, E);
    take(W, I, std::move(N), E);
  }

  void command(World &W, std::size_t I) {
    Node N = W.at(I);
    ReplicaEffects E;
    propose(N.Replica, Blob{hostName(I).Value});
    flush(N.Replica, N.Clock, E);
    take(W, I, std::move(N), E);
  }

  /// Both others are tried.
  void removeNext(const World &W, std::size_t I, std::vector<World> &Open) {
    for (std::size_t Other = 0; Other < First.Members.size(); ++Other) {
      World Next = W;
      Node N = Next.at(I);
      ReplicaEffects E;
      if (removeMember(N.Replica, hostName(Other), N.Clock, E) !=
          MemberChange::Started)
        continue;
      take(Next, I, std::move(N), E);
      visit(std::move(Next), Open);
    }
  }

  void deliver(World &W, std::size_t Which) {
    std::shared_ptr<const Flying> M = W.Messages[Which];
    W.Messages.erase(W.Messages.begin() + static_cast<std::ptrdiff_t>(Which));
    Node N = W.at(M->To);
    ReplicaEffects E;
    receive(N.Replica, hostName(M->From), M->Content, N.Clock, E);
    take(W, M->To, std::move(N), E);
  }

  void finishWrite(World &W, std::size_t I) {
    Node N = W.at(I);
    DiskWrite Done = std::move(N.Write.front());
    N.Write.clear();
    if (Done.Hard)
      N.Disk.Hard = *Done.Hard;
    auto &Entries = N.Disk.Entries;
    for (const LogEntry &Entry : Done.Entries) {
      while (!Entries.empty() && Entries.back().Index >= Entry.Index)
        Entries.pop_back();
      Entries.push_back(Entry);
    }
    ReplicaEffects E;
    diskWritten(N.Replica, Done.Ticket, N.Clock, E);
    take(W, I, std::move(N), E);
  }

  static void put(World &W, std::size_t I, Node N) {
    N.Described = checksum(describe(N));
    W.Members[I] = std::make_shared<const Node>(std::move(N));
  }

  void take(World &W, std::size_t I, Node N, ReplicaEffects &E) {
    if (!E.Committed.empty()) {
      auto Checks = std::make_shared<Invariants>(*W.Checks);
      for (const LogEntry &Entry : E.Committed)
        Checks->onCommitted(hostName(I), term(N.Replica), Entry, N.Applied,
                            N.Sum);
      W.Checks = std::move(Checks);
    }
    for (DiskWrite &Write : E.Writes)
      N.Write.push_back(std::move(Write));
    put(W, I, std::move(N));
    for (Outbound &M : E.Messages)
      fly(W, I, M);
    dropOld(W, I);
    if (InstantDisks && !W.at(I).Write.empty())
      finishWrite(W, I);
  }

  void fly(World &W, std::size_t From, Outbound &M) {
    auto To = static_cast<std::size_t>(M.To.Value[0] - 'a');
    if (term(W.at(To).Replica) > replicaHeader(M.Content)->Term)
      return;
    if (W.Messages.size() >= MostMessages) {
      ++Dropped;
      return;
    }
    Flying New = {From, To, std::move(M.Content), 0};
    New.Sum = sumOf(From, To, New.Content);
    for (const auto &Other : W.Messages) {
      if (Other->Sum == New.Sum)
        return; // Twice the same is reached by sending it again.
    }
    W.Messages.push_back(std::make_shared<const Flying>(std::move(New)));
  }

  /// Forgets what has become too old for the node.
  static void dropOld(World &W, std::size_t I) {
    std::uint64_t Term = term(W.at(I).Replica);
    auto IsOld = [&](const std::shared_ptr<const Flying> &M) {
      return M->To == I && replicaHeader(M->Content)->Term < Term;
    };
    W.Messages.erase(
        std::remove_if(W.Messages.begin(), W.Messages.end(), IsOld),
        W.Messages.end());
  }

  void check(World &W) {
    std::vector<ReplicaView> Views;
    bool Leads = false;
    for (const auto &N : W.Members) {
      Views.push_back({&N->Replica, N->Clock, /*Running=*/false});
      Leads |= N->Replica.Role == ReplicaRole::Leader;
    }
    if (Leads) {
      auto Checks = std::make_shared<Invariants>(*W.Checks);
      Checks->check(Views);
      W.Checks = std::move(Checks);
    }
    if (Broken.empty())
      Broken = W.Checks->broken();
  }

  static void addLog(std::string &Text, const std::deque<LogEntry> &Log) {
    for (const LogEntry &Entry : Log)
      Text += std::to_string(Entry.Term) + Entry.Payload.Data + ",";
  }

  static std::string describe(const Node &N) {
    const ReplicaState &S = N.Replica;
    std::string Text = toString(S.Role);
    for (std::uint64_t Number :
         {S.Hard.Term, S.Hard.VotedIncarnation, S.Commit, S.Synced,
          S.NextTicket, S.InFlight.Ticket, S.InFlight.LastIndex, S.DirtyFrom,
          S.VoteTicket, S.TermStart, std::uint64_t(S.HardDirty),
          N.Disk.Hard.Term, N.Disk.Hard.VotedIncarnation,
          std::uint64_t(N.Clock < S.LastContact + S.Config.ElectionTimeout)})
      Text += std::to_string(Number) + " ";
    Text += S.LeaderHost.Value;
    addLog(Text, S.Log);
    Text += "|";
    for (const LogEntry &Entry : N.Disk.Entries)
      Text += std::to_string(Entry.Term) + ",";
    for (const DiskWrite &Write : N.Write) {
      Text += "w" + std::to_string(Write.Hard ? Write.Hard->Term : 0);
      for (const LogEntry &Entry : Write.Entries)
        Text += std::to_string(Entry.Index) + std::to_string(Entry.Term) + ",";
    }
    for (const HeldMessage &Held : S.Held)
      Text += "h" + std::to_string(Held.Ticket) + Held.Content.To.Value +
              std::to_string(sumOf(0, 0, Held.Content.Content));
    for (const Member &Who : S.Granted)
      Text += "g" + Who.Host.Value;
    for (const MemberProgress &P : S.Progress)
      Text += "p" + P.Host.Value + std::to_string(P.Match) + "/" +
              std::to_string(P.Next) + "/" + std::to_string(P.Window) +
              (P.Probing ? "?" : "");
    return Text;
  }

  /// Equal states have equal sums.
  static std::uint64_t sumOfWorld(const World &W) {
    std::string Text;
    for (const auto &N : W.Members)
      Text += std::to_string(N->Described) + "\n";
    std::vector<std::uint64_t> Sums;
    for (const auto &M : W.Messages)
      Sums.push_back(M->Sum);
    std::sort(Sums.begin(), Sums.end());
    for (std::uint64_t Sum : Sums)
      Text += std::to_string(Sum) + " ";
    for (int Count :
         {W.Left.Elections, W.Left.Commands, W.Left.Removals, W.Left.Crashes})
      Text += std::to_string(Count) + ";";
    return checksum(Text);
  }
};

/// More states than any of these have: they are visited to the end.
constexpr std::uint64_t MostStates = 3000000;

void explore(const char *Name, Explorer E) {
  bool Whole = E.run(MostStates);
  BOOST_TEST_MESSAGE(Name << ": " << E.States << " states, " << E.Dropped
                          << " messages past the bound");
  BOOST_TEST(Whole, Name << ": not all states were visited");
  BOOST_TEST(E.Broken == "", Name << ": " << E.Broken);
}

void explore(const char *Name, Budget Left, bool Elected) {
  Explorer E(Left);
  if (Elected)
    E.electFirst();
  explore(Name, std::move(E));
}

} // namespace

// Two leaders wrote at the same place and were not heard, and the first of them
// leads again. Its old entry can reach a majority and still be overwritten.
BOOST_AUTO_TEST_CASE(EveryInterleavingAfterTwoUnheardLeaders) {
  Budget Left;
  Left.Elections = 1;
  Explorer E(Left);
  E.electBy(0, {2});
  E.silence(0);
  E.electBy(1, {2});
  E.silence(1);
  E.electBy(0, {2});
  explore("an election after two unheard leaders", std::move(E));
}

BOOST_AUTO_TEST_CASE(EveryInterleavingOfElections) {
  Budget Left;
  Left.Elections = 2;
  explore("two elections after one", Left, true);
  Left.Crashes = 1;
  explore("two elections and a crash", Left, false);
}

BOOST_AUTO_TEST_CASE(EveryInterleavingOfACommandAnElectionAndACrash) {
  Budget Left;
  Left.Elections = 1;
  Left.Commands = 1;
  Left.Crashes = 1;
  explore("a command, an election and a crash", Left, true);
}

BOOST_AUTO_TEST_CASE(EveryInterleavingOfRemovalsAndElections) {
  Budget Left;
  Left.Elections = 2;
  Left.Removals = 2;
  explore("two removals and two elections", Left, true);
}

// A leader began to remove d and was not heard. Could the next one, elected by
// the others, remove the first one at once, their majorities need not meet.
BOOST_AUTO_TEST_CASE(ANewLeaderChangesMembersOnlyOnceItHasCommitted) {
  Explorer E(Budget(), 4);
  E.electFirst();
  E.commitOne();
  BOOST_TEST(E.beginRemoval(0, 3) == MemberChange::Started);
  E.silence(0);
  E.electBy(1, {2, 3});
  BOOST_TEST(E.beginRemoval(1, 0) == MemberChange::Busy);
}

// Takes minutes; run where the replica's safety is touched.
BOOST_AUTO_TEST_CASE(EveryInterleavingOfTwoCommandsAndTwoElections,
                     *boost::unit_test::disabled()) {
  Budget Left;
  Left.Elections = 2;
  Left.Commands = 2;
  explore("two commands and two elections", Left, true);
}
