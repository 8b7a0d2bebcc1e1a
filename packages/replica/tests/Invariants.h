//===- Invariants.h - What must hold after every step -----------*- C++ -*-===//
//
//   1. At most one leader a term.
//   2. What is handed out as committed at an index is the same everywhere and
//      for ever, whatever leaders, crashes and snapshots come in between.
//   3. Each host is handed entries in order, each once a start.
//   4. A new leader holds every entry that was handed out in earlier terms.
//   (One
//      that learns late that it won an old term's election may lack newer ones;
//      it can commit nothing.)
//   5. No two hosts hold the lease at once, each by its own clock.
//   6. An acknowledged proposal is what was handed out at its index.
//   7. Who holds the lease knows of everything that was ever committed, so that
//      a read at its barrier is current.
//
// broken() is the first violation. The seeded runs and the exploration of all
// interleavings share this.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "replica/Internal.h"
#include "storage/Checksum.h"

#include <map>
#include <string>
#include <utility>

namespace pimento::testing {

/// A replica as the checks see it.
struct ReplicaView {
  const ReplicaState *State = nullptr;
  TimePoint Clock{};
  bool Running = true; // Not frozen: it could act on a lease now.
};

class Invariants {
public:
  const std::string &broken() const { return Broken; }

  /// The sum of everything up to an entry, given the sum before it.
  static std::uint64_t chain(std::uint64_t Before, const LogEntry &Entry) {
    std::uint64_t Place = checksum(
        std::to_string(Entry.Index) + "/" + std::to_string(Entry.Term), Before);
    return checksum(Entry.Payload.Data, Place);
  }

  /// \p Host, in \p Term, was handed \p Entry; \p Applied and \p Sum are its
  /// state before and after.
  void onCommitted(const HostId &Host, std::uint64_t Term,
                   const LogEntry &Entry, std::uint64_t &Applied,
                   std::uint64_t &Sum) {
    if (Entry.Index != Applied + 1)
      fail(Host, "was handed entry " + std::to_string(Entry.Index) + " after " +
                     std::to_string(Applied));
    Sum = chain(Sum, Entry);
    Applied = Entry.Index;
    onState(Host, Applied, Sum);
    Commits.emplace(Entry.Index, Commit{Entry.Term, Term});
  }

  /// \p Host holds the state after \p Index.
  void onState(const HostId &Host, std::uint64_t Index, std::uint64_t Sum) {
    auto Known = Sums.emplace(Index, Sum).first;
    if (Known->second != Sum)
      fail(Host, "holds another state at entry " + std::to_string(Index));
  }

  /// The leader told a caller that its command is accepted at \p At.
  void onAcknowledged(const HostId &Host, const Proposal &At) {
    auto Known = Commits.find(At.Index);
    if (Known == Commits.end() || Known->second.EntryTerm != At.Term)
      fail(Host,
           "acknowledged what is not committed at " + std::to_string(At.Index));
  }

  /// All replicas of one group.
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
        fail(S.Config.Self, "would read behind what is committed");
      Holder = &S;
    }
  }

  std::uint64_t highestCommitted() const {
    return Sums.empty() ? 0 : Sums.rbegin()->first;
  }

private:
  struct Commit {
    std::uint64_t EntryTerm = 0;
    std::uint64_t CommitTerm = 0; // In which it was first handed out.
  };

  std::map<std::uint64_t, std::uint64_t> Sums;                   // By index.
  std::map<std::uint64_t, Commit> Commits;                       // By index.
  std::map<std::uint64_t, std::pair<HostId, DiskStart>> Leaders; // By term.
  std::string Broken;

  void fail(const HostId &Host, const std::string &What) {
    if (Broken.empty())
      Broken = Host.Value + " " + What;
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
