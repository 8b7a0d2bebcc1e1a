//===- Invariants.h - Safety invariants of the replicated log ---*- C++ -*-===//
//
// Checked after every step:
//   1. There is at most one leader in each term.
//   2. The entry delivered as committed at an index is always the same at every
//      host, across leader changes, crashes and snapshots.
//   3. Each host is delivered entries in order, each once per start.
//   4. A new leader holds every entry that was delivered in earlier terms. (A
//      host that learns late that it won the election of an old term may lack
//      newer entries; it cannot commit anything.)
//   5. No two hosts hold the lease at once, each by its own clock.
//   6. The entry delivered at the index of an acknowledged proposal is that
//      proposal.
//   7. The holder of the lease knows every committed entry, so that a read at
//      its barrier is linearizable.
//
// violation() describes the first violation. The seeded runs and the
// exploration of all interleavings both use these checks.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "replica/Internal.h"
#include "storage/Checksum.h"

#include <map>
#include <string>
#include <utility>

namespace pimento::testing {

/// One replica with its clock, as input of the checks.
struct ReplicaView {
  const ReplicaState *State = nullptr;
  TimePoint Clock{};
  bool Running = true; // False if frozen: it cannot act on a lease.
};

class Invariants {
public:
  const std::string &violation() const { return Violation; }

  /// The checksum of all entries up to \p Entry, given the one before it.
  static std::uint64_t chain(std::uint64_t Before, const LogEntry &Entry) {
    std::uint64_t Place = checksum(
        std::to_string(Entry.Index) + "/" + std::to_string(Entry.Term), Before);
    return checksum(Entry.Payload.Data, Place);
  }

  /// \p Host was delivered \p Entry in \p Term. Updates its state, \p Applied
  /// and \p Sum.
  void onCommitted(const HostId &Host, std::uint64_t Term,
                   const LogEntry &Entry, std::uint64_t &Applied,
                   std::uint64_t &Sum) {
    if (Entry.Index != Applied + 1)
      fail(Host, "was delivered entry " + std::to_string(Entry.Index) +
                     " after " + std::to_string(Applied));
    Sum = chain(Sum, Entry);
    Applied = Entry.Index;
    onState(Host, Applied, Sum);
    Commits.emplace(Entry.Index, Commit{Entry.Term, Term});
  }

  /// \p Host has the state machine's state as of \p Index.
  void onState(const HostId &Host, std::uint64_t Index, std::uint64_t Sum) {
    auto Known = Sums.emplace(Index, Sum).first;
    if (Known->second != Sum)
      fail(Host, "holds another state at entry " + std::to_string(Index));
  }

  /// The leader acknowledged a command at \p At to its caller.
  void onAcknowledged(const HostId &Host, const Proposal &At) {
    auto Known = Commits.find(At.Index);
    if (Known == Commits.end() || Known->second.EntryTerm != At.Term)
      fail(Host, "acknowledged an uncommitted proposal at " +
                     std::to_string(At.Index));
  }

  /// Checks all replicas of one group.
  void check(const std::vector<ReplicaView> &Views) {
    const ReplicaState *Holder = nullptr;
    for (const ReplicaView &View : Views) {
      const ReplicaState &S = *View.State;
      if (S.Role != ReplicaRole::Leader)
        continue;
      checkLeader(S);
      if (!View.Running || !holdsLease(S, View.Clock))
        continue;
      if (Holder != nullptr)
        fail(S.Config.Self,
             "holds the lease together with " + Holder->Config.Self.Value);
      if (*readBarrier(S, View.Clock) < highestCommitted())
        fail(S.Config.Self, "would serve a read older than a committed entry");
      Holder = &S;
    }
  }

  std::uint64_t highestCommitted() const {
    return Sums.empty() ? 0 : Sums.rbegin()->first;
  }

private:
  struct Commit {
    std::uint64_t EntryTerm = 0;
    std::uint64_t CommitTerm = 0; // Term in which it was first delivered.
  };

  std::map<std::uint64_t, std::uint64_t> Sums;                   // By index.
  std::map<std::uint64_t, Commit> Commits;                       // By index.
  std::map<std::uint64_t, std::pair<HostId, DiskStart>> Leaders; // By term.
  std::string Violation;

  void fail(const HostId &Host, const std::string &Text) {
    if (Violation.empty())
      Violation = Host.Value + " " + Text;
  }

  void checkLeader(const ReplicaState &S) {
    std::pair<HostId, DiskStart> Self = {S.Config.Self, S.Config.Start};
    auto Known = Leaders.emplace(S.Hard.Term, Self);
    if (Known.first->second != Self)
      fail(S.Config.Self, "leads in term " + std::to_string(S.Hard.Term) +
                              " like " + Known.first->second.first.Value);
    if (!Known.second)
      return;
    for (const auto &Entry : Commits) {
      if (Entry.first > S.Base.Index && Entry.second.CommitTerm < S.Hard.Term &&
          replica::termAt(S, Entry.first) != Entry.second.EntryTerm)
        fail(S.Config.Self, "leads without the committed entry " +
                                std::to_string(Entry.first));
    }
  }
};

} // namespace pimento::testing
