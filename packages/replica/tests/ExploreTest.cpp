//===- ExploreTest.cpp - All interleavings of small configurations --------===//
//
// Model checking of three or four replicas of a formed log. From each state
// every possible next step is taken: any message arrives (in any order, or
// never), a disk write completes, a host starts an election, a leader receives
// a command or a member change, a host crashes and restarts with what was
// synced. Elections, commands, member changes and crashes are bounded in
// number; within the bounds every state is visited once.
//
// Steps that cannot affect the result are omitted: messages of an older term
// than the receiver's (they can only make their sender step down), first
// elections by any host but the first (the hosts are symmetric) and, without
// crashes, disk delays (they only delay messages, which may be late anyway).
//
// Clock drift is unlimited here, so that leases are not checked; the other
// invariants do not depend on clocks.
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

constexpr std::size_t MaxNodes = 8;
constexpr std::size_t MaxMessages = 16; // In flight at once.

/// A message that was sent and may still arrive.
struct InFlightMessage {
  std::size_t From = 0;
  std::size_t To = 0;
  Message Content;
  std::uint64_t Sum = 0; // See sumOf().
};

struct Node {
  std::uint64_t Described = 0; // Checksum of describe().
  ReplicaState Replica;
  TimePoint Clock{};
  Recovered Disk;               // Synced contents of the disk.
  std::vector<DiskWrite> Write; // In flight; at most one.
  std::uint64_t Applied = 0;
  std::uint64_t Sum = 0;
};

/// Number of steps of each kind that may still be taken.
struct Budget {
  int Elections = 0;
  int Commands = 0;
  int Removals = 0;
  int Crashes = 0;
  bool AnyElectionStarted = false; // At least one election has started.
};

/// State of the whole system. States share the parts that are equal.
struct SystemState {
  std::vector<std::shared_ptr<const Node>> Members;
  std::vector<std::shared_ptr<const InFlightMessage>> Messages;
  Budget Remaining;
  std::shared_ptr<const Invariants> Checks = std::make_shared<Invariants>();

  const Node &at(std::size_t I) const { return *Members[I]; }
};

HostId hostName(std::size_t I) {
  return HostId(std::string(1, static_cast<char>('a' + I)));
}

IncarnationNumber diskIncarnation(std::size_t I) { return 100 + I; }

ReplicaConfig configOf(std::size_t I) {
  ReplicaConfig C;
  C.Self = hostName(I);
  C.Incarnation = diskIncarnation(I);
  C.Start = 1ULL << 32U;
  C.BatchEntries = 1; // Small batches give more interleavings.
  return C;
}

/// Initial contents of a disk: the entry that formed the log.
Recovered diskWithFormedLog(std::size_t Self, std::size_t Nodes) {
  VoterSet Voters;
  Voters.LogId = 7;
  Recovered R;
  R.Hard.Term = 1;
  for (std::size_t I = 0; I < Nodes; ++I) {
    Voters.Members.push_back({hostName(I), diskIncarnation(I), false});
    if (I != Self)
      R.Hard.Marks.push_back(
          {hostName(I), diskIncarnation(I), 1ULL << 32U, 0, 0});
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
  N.Replica.Admitted = true; // Probes are not modelled.
  N.Clock += N.Replica.Config.ElectionTimeout;
  N.Write.clear();
  N.Applied = N.Disk.Base.Index;
  N.Sum = 0;
}

/// Checksum of a message without the fields that may differ in equal states.
std::uint64_t sumOf(std::size_t From, std::size_t To, Message M) {
  if (auto *Append = std::get_if<AppendRequest>(&M)) {
    Append->SentAt = Duration::zero();
    Append->Synced.clear();
  }
  if (auto *Reply = std::get_if<AppendReply>(&M))
    Reply->SentAt = Duration::zero();
  return checksum(encode(M), From * MaxNodes + To + 1);
}

class Explorer {
public:
  std::uint64_t States = 0;
  std::uint64_t Dropped = 0; // Messages beyond MaxMessages.
  std::string Violation;

  explicit Explorer(Budget Remaining, std::size_t Nodes = 3) {
    First.Remaining = Remaining;
    InstantDisks = Remaining.Crashes == 0;
    for (std::size_t I = 0; I < Nodes; ++I) {
      Node N;
      N.Disk = diskWithFormedLog(I, Nodes);
      start(N, I);
      First.Members.push_back(std::make_shared<const Node>(std::move(N)));
    }
  }

  /// Elects the first node and delivers all messages before the exploration.
  void electFirst() {
    Budget Remaining = First.Remaining;
    standForElection(First, 0);
    settle();
    First.Remaining = Remaining;
    First.Remaining.AnyElectionStarted = true;
  }

  /// Commits a command of the first node. The other nodes learn of the commits
  /// before it.
  void commitOne() {
    command(First, 0);
    settle();
  }

  /// Delivers all messages and completes all writes.
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

  /// Elects \p I with the votes of \p Voters only.
  void electBy(std::size_t I, const std::set<std::size_t> &Voters) {
    Budget Remaining = First.Remaining;
    standForElection(First, I);
    while (First.at(I).Replica.Role != ReplicaRole::Leader) {
      auto IsVote = [&](const std::shared_ptr<const InFlightMessage> &M) {
        return (M->From == I && Voters.count(M->To) != 0) ||
               (M->To == I && Voters.count(M->From) != 0);
      };
      auto Next =
          std::find_if(First.Messages.begin(), First.Messages.end(), IsVote);
      if (Next == First.Messages.end()) {
        standForElection(First, I); // The term was too old.
        continue;
      }
      deliver(First, static_cast<std::size_t>(Next - First.Messages.begin()));
    }
    First.Remaining = Remaining;
    First.Remaining.AnyElectionStarted = true;
  }

  /// Removes \p Other at the leader \p I.
  MemberChange beginRemoval(std::size_t I, std::size_t Other) {
    Node N = First.at(I);
    ReplicaEffects E;
    MemberChange Done = removeMember(N.Replica, hostName(Other), N.Clock, E);
    applyEffects(First, I, std::move(N), E);
    return Done;
  }

  /// Loses all messages in flight, so that the entries of the leader \p I are
  /// replicated nowhere, and makes it step down.
  void loseMessagesAndStepDown(std::size_t I) {
    First.Messages.clear();
    Node N = First.at(I);
    ReplicaEffects E;
    replica::becomeFollower(N.Replica, term(N.Replica), N.Clock,
                            "messages lost", E);
    replaceNode(First, I, std::move(N));
  }

  /// Visits all states; false if there are more than \p Most.
  bool run(std::uint64_t Most) {
    std::vector<SystemState> Frontier = {First};
    Seen.insert(sumOfState(First));
    while (!Frontier.empty() && Violation.empty()) {
      if (++States > Most)
        return false;
      SystemState W = std::move(Frontier.back());
      Frontier.pop_back();
      expand(W, Frontier);
    }
    return true;
  }

private:
  SystemState First;
  bool InstantDisks = false;
  std::unordered_set<std::uint64_t> Seen;

  static bool anyWrite(const SystemState &W) {
    for (const auto &N : W.Members) {
      if (!N->Write.empty())
        return true;
    }
    return false;
  }

  void visit(SystemState W, std::vector<SystemState> &Frontier) {
    check(W);
    if (Seen.insert(sumOfState(W)).second)
      Frontier.push_back(std::move(W));
  }

  void expand(const SystemState &W, std::vector<SystemState> &Frontier) {
    for (std::size_t I = 0; I < W.Messages.size(); ++I) {
      SystemState Next = W;
      deliver(Next, I);
      visit(std::move(Next), Frontier);
    }
    for (std::size_t I = 0; I < First.Members.size(); ++I)
      expandNode(W, I, Frontier);
  }

  void expandNode(const SystemState &W, std::size_t I,
                  std::vector<SystemState> &Frontier) {
    const Node &N = W.at(I);
    if (!N.Write.empty()) {
      SystemState Next = W;
      finishWrite(Next, I);
      visit(std::move(Next), Frontier);
    }
    if (W.Remaining.Elections > 0 && canStartElection(N) &&
        (W.Remaining.AnyElectionStarted || I == 0)) {
      SystemState Next = W;
      --Next.Remaining.Elections;
      standForElection(Next, I);
      visit(std::move(Next), Frontier);
    }
    if (W.Remaining.Commands > 0 && N.Replica.Role == ReplicaRole::Leader) {
      SystemState Next = W;
      --Next.Remaining.Commands;
      command(Next, I);
      visit(std::move(Next), Frontier);
    }
    if (W.Remaining.Removals > 0 && N.Replica.Role == ReplicaRole::Leader) {
      SystemState Next = W;
      --Next.Remaining.Removals;
      tryRemovals(Next, I, Frontier);
    }
    if (W.Remaining.Crashes > 0) {
      SystemState Next = W;
      --Next.Remaining.Crashes;
      Node Restarted = Next.at(I);
      start(Restarted, I);
      replaceNode(Next, I, std::move(Restarted));
      visit(std::move(Next), Frontier);
    }
  }

  static bool canStartElection(const Node &N) {
    return N.Replica.Role != ReplicaRole::Leader &&
           replica::isSelfVoter(N.Replica);
  }

  /// Starts a binding election without the pre-vote, which only makes elections
  /// rarer.
  void standForElection(SystemState &W, std::size_t I) {
    Node N = W.at(I);
    W.Remaining.AnyElectionStarted = true;
    N.Clock = std::max(N.Clock, N.Replica.LastContact +
                                    N.Replica.Config.ElectionTimeout);
    ReplicaEffects E;
    replica::startElection(N.Replica, /*Transfer=*/true, N.Clock, E);
    flush(N.Replica, N.Clock, E);
    applyEffects(W, I, std::move(N), E);
  }

  void command(SystemState &W, std::size_t I) {
    Node N = W.at(I);
    ReplicaEffects E;
    propose(N.Replica, Blob{hostName(I).Value});
    flush(N.Replica, N.Clock, E);
    applyEffects(W, I, std::move(N), E);
  }

  /// Visits the states after the removal of each node.
  void tryRemovals(const SystemState &W, std::size_t I,
                   std::vector<SystemState> &Frontier) {
    for (std::size_t Other = 0; Other < First.Members.size(); ++Other) {
      SystemState Next = W;
      Node N = Next.at(I);
      ReplicaEffects E;
      if (removeMember(N.Replica, hostName(Other), N.Clock, E) !=
          MemberChange::Started)
        continue;
      applyEffects(Next, I, std::move(N), E);
      visit(std::move(Next), Frontier);
    }
  }

  void deliver(SystemState &W, std::size_t MessageIndex) {
    std::shared_ptr<const InFlightMessage> M = W.Messages[MessageIndex];
    W.Messages.erase(W.Messages.begin() +
                     static_cast<std::ptrdiff_t>(MessageIndex));
    Node N = W.at(M->To);
    ReplicaEffects E;
    receive(N.Replica, hostName(M->From), M->Content, N.Clock, E);
    applyEffects(W, M->To, std::move(N), E);
  }

  void finishWrite(SystemState &W, std::size_t I) {
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
    applyEffects(W, I, std::move(N), E);
  }

  static void replaceNode(SystemState &W, std::size_t I, Node N) {
    N.Described = checksum(describe(N));
    W.Members[I] = std::make_shared<const Node>(std::move(N));
  }

  void applyEffects(SystemState &W, std::size_t I, Node N, ReplicaEffects &E) {
    if (!E.Committed.empty()) {
      auto Checks = std::make_shared<Invariants>(*W.Checks);
      for (const LogEntry &Entry : E.Committed)
        Checks->onCommitted(hostName(I), term(N.Replica), Entry, N.Applied,
                            N.Sum);
      W.Checks = std::move(Checks);
    }
    for (DiskWrite &Write : E.Writes)
      N.Write.push_back(std::move(Write));
    replaceNode(W, I, std::move(N));
    for (Outbound &M : E.Messages)
      addMessage(W, I, M);
    dropOld(W, I);
    if (InstantDisks && !W.at(I).Write.empty())
      finishWrite(W, I);
  }

  void addMessage(SystemState &W, std::size_t From, Outbound &M) {
    auto To = static_cast<std::size_t>(M.To.Value[0] - 'a');
    if (term(W.at(To).Replica) > replicaHeader(M.Content)->Term)
      return;
    if (W.Messages.size() >= MaxMessages) {
      ++Dropped;
      return;
    }
    InFlightMessage New = {From, To, std::move(M.Content), 0};
    New.Sum = sumOf(From, To, New.Content);
    for (const auto &Other : W.Messages) {
      if (Other->Sum == New.Sum)
        return; // A duplicate is covered by a repeated send.
    }
    W.Messages.push_back(
        std::make_shared<const InFlightMessage>(std::move(New)));
  }

  /// Drops messages whose term has become too old for the node.
  static void dropOld(SystemState &W, std::size_t I) {
    std::uint64_t Term = term(W.at(I).Replica);
    auto IsOld = [&](const std::shared_ptr<const InFlightMessage> &M) {
      return M->To == I && replicaHeader(M->Content)->Term < Term;
    };
    W.Messages.erase(
        std::remove_if(W.Messages.begin(), W.Messages.end(), IsOld),
        W.Messages.end());
  }

  void check(SystemState &W) {
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
    if (Violation.empty())
      Violation = W.Checks->violation();
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
    for (const HeldMessage &Held : S.HeldMessages)
      Text += "h" + std::to_string(Held.Ticket) + Held.Content.To.Value +
              std::to_string(sumOf(0, 0, Held.Content.Content));
    for (const Member &Who : S.VotesGranted)
      Text += "g" + Who.Host.Value;
    for (const MemberProgress &P : S.Progress)
      Text += "p" + P.Host.Value + std::to_string(P.Match) + "/" +
              std::to_string(P.Next) + "/" + std::to_string(P.Window) +
              (P.Probing ? "?" : "");
    return Text;
  }

  /// Checksum that is equal for equal states.
  static std::uint64_t sumOfState(const SystemState &W) {
    std::string Text;
    for (const auto &N : W.Members)
      Text += std::to_string(N->Described) + "\n";
    std::vector<std::uint64_t> Sums;
    for (const auto &M : W.Messages)
      Sums.push_back(M->Sum);
    std::sort(Sums.begin(), Sums.end());
    for (std::uint64_t Sum : Sums)
      Text += std::to_string(Sum) + " ";
    for (int Count : {W.Remaining.Elections, W.Remaining.Commands,
                      W.Remaining.Removals, W.Remaining.Crashes})
      Text += std::to_string(Count) + ";";
    return checksum(Text);
  }
};

/// Limit above the number of states of every exploration below.
constexpr std::uint64_t MaxStates = 3000000;

void explore(const char *Name, Explorer E) {
  bool VisitedAll = E.run(MaxStates);
  BOOST_TEST_MESSAGE(Name << ": " << E.States << " states, " << E.Dropped
                          << " messages beyond the bound");
  BOOST_TEST(VisitedAll, Name << ": not all states were visited");
  BOOST_TEST(E.Violation == "", Name << ": " << E.Violation);
}

void explore(const char *Name, Budget Remaining, bool Elected) {
  Explorer E(Remaining);
  if (Elected)
    E.electFirst();
  explore(Name, std::move(E));
}

} // namespace

// Two leaders appended entries at the same index and replicated them nowhere,
// and the first one leads again. Guards against counting its old entry as
// committed: the entry can reach a majority and still be overwritten.
BOOST_AUTO_TEST_CASE(EveryInterleavingAfterTwoUnreplicatedLeaders) {
  Budget Remaining;
  Remaining.Elections = 1;
  Explorer E(Remaining);
  E.electBy(0, {2});
  E.loseMessagesAndStepDown(0);
  E.electBy(1, {2});
  E.loseMessagesAndStepDown(1);
  E.electBy(0, {2});
  explore("an election after two unreplicated leaders", std::move(E));
}

BOOST_AUTO_TEST_CASE(EveryInterleavingOfElections) {
  Budget Remaining;
  Remaining.Elections = 2;
  explore("two elections after one", Remaining, true);
  Remaining.Crashes = 1;
  explore("two elections and a crash", Remaining, false);
}

BOOST_AUTO_TEST_CASE(EveryInterleavingOfACommandAnElectionAndACrash) {
  Budget Remaining;
  Remaining.Elections = 1;
  Remaining.Commands = 1;
  Remaining.Crashes = 1;
  explore("a command, an election and a crash", Remaining, true);
}

BOOST_AUTO_TEST_CASE(EveryInterleavingOfRemovalsAndElections) {
  Budget Remaining;
  Remaining.Elections = 2;
  Remaining.Removals = 2;
  explore("two removals and two elections", Remaining, true);
}

// A leader appended the removal of d and replicated it nowhere. If the next
// leader, elected by the other hosts, could remove the first one at once, the
// majorities of the two member sets need not overlap.
BOOST_AUTO_TEST_CASE(ANewLeaderChangesMembersOnlyOnceItHasCommitted) {
  Explorer E(Budget(), 4);
  E.electFirst();
  E.commitOne();
  BOOST_TEST(E.beginRemoval(0, 3) == MemberChange::Started);
  E.loseMessagesAndStepDown(0);
  E.electBy(1, {2, 3});
  BOOST_TEST(E.beginRemoval(1, 0) == MemberChange::Busy);
}

// Takes minutes; run it after changes that affect the safety of the log.
BOOST_AUTO_TEST_CASE(EveryInterleavingOfTwoCommandsAndTwoElections,
                     *boost::unit_test::disabled()) {
  Budget Remaining;
  Remaining.Elections = 2;
  Remaining.Commands = 2;
  explore("two commands and two elections", Remaining, true);
}
