//===- SpreadSite.h - Simulated site that spreads documents -----*- C++ -*-===//
//
// Simulates a site of hosts, the first few of which are voters. The replicated
// log is replaced by a model: one list of committed edits and at most one
// leader at a time, which keeps its lease while it has connections in both
// directions with a majority of voters and which commits through such a
// majority. Invariants are checked at every step of every host; the first
// violation is kept in Breach.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "document/Spread.h"
#include "testing/Pump.h"
#include "wire/Messages.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace pimento::testing {

struct SpreadNode {
  SpreadState S;
  Store Applied;           // Voters only.
  std::size_t Entries = 0; // Log entries applied so far.
  bool Voter = false;
};

/// An edit that was answered as accepted, with the time of the answer.
struct AcceptedEdit {
  TimePoint At;
  std::uint64_t Revision = 0;
};

class SpreadSite {
public:
  using SitePump = Pump<SpreadNode, Message>;

  static constexpr Duration LeaseTime = milliseconds(600);

  SpreadSite(std::size_t HostCount, std::size_t VoterCount, std::uint64_t Seed,
             SpreadConfig BaseConfig = SpreadConfig())
      : Base(std::move(BaseConfig)), P(Seed) {
    for (std::size_t I = 0; I < HostCount; ++I) {
      std::string Digits = std::to_string(1000 + I);
      Names.emplace_back("h" + Digits.substr(1));
    }
    Voters.assign(Names.begin(),
                  Names.begin() + static_cast<std::ptrdiff_t>(VoterCount));
    P.TickInterval = milliseconds(20);
    P.OnMessage = [this](SpreadNode &N, const HostId &From, const Message &M,
                         TimePoint Now) {
      SpreadOutputs Out;
      onMessage(N.S, From, M, Now, Out);
      executeEffects(N, Now, Out);
    };
    P.OnTick = [this](SpreadNode &N, TimePoint Now) {
      SpreadOutputs Out;
      if (N.Voter)
        tickVoter(N, Now, Out);
      onTick(N.S, Now, Out);
      executeEffects(N, Now, Out);
    };
    for (const HostId &Name : Names)
      start(Name);
  }

  /// Starts or restarts a host. Only a voter's log survives a crash.
  void start(const HostId &Name) {
    SpreadNode N;
    SpreadConfig Config = Base;
    Config.Self = Name;
    Config.Hosts = Names;
    TimePoint Now = Started.count(Name) != 0 ? P.clock(Name) : P.now();
    N.S = makeSpread(Config, P.Rng(), Now);
    N.Voter = std::find(Voters.begin(), Voters.end(), Name) != Voters.end();
    std::size_t Before = 0;
    if (N.Voter && Started.count(Name) != 0)
      Before = P.node(Name).Entries;
    Started.insert(Name);
    Held.erase(Name);
    HeldNumbers.erase(Name);
    if (Leader == Name)
      Leader = HostId(); // A restarted process leads only in a new term.
    SpreadNode &Node = P.add(Name, std::move(N));
    SpreadOutputs Out;
    while (Node.Entries < Before)
      apply(Node.Applied, Log[Node.Entries++]);
    if (Node.Voter)
      onStored(Node.S, Node.Applied, Now, Out);
    executeEffects(Node, Now, Out);
  }

  /// Makes an edit of \p Service. Returns false if it is refused; otherwise its
  /// revision is in LastRevision and it may become accepted later.
  bool edit(const std::string &Service, const std::string &Padding = "") {
    if (Leader.empty() || !P.running(Leader))
      return false;
    SpreadNode &N = P.node(Leader);
    TimePoint Now = P.clock(Leader);
    if (!acceptsEdits(N.S, Now) || !reachesVoters(Leader))
      return false;
    PutDocumentCommand C;
    C.Service = ServiceId(Service);
    const StoredVersion *Current = currentDocument(N.Applied, C.Service);
    C.Number = Current ? Current->Number + 1 : 1;
    C.EditId = "edit-" + std::to_string(Log.size());
    C.Text = "{\"number\": " + std::to_string(C.Number) + ", \"padding\": \"" +
             Padding + "\"}";
    Log.push_back(C);
    SpreadOutputs Out;
    catchUp(N, Now, Out);
    LastRevision = N.Applied.Revision;
    executeEffects(N, Now, Out);
    return true;
  }

  /// Restarts or resumes all hosts and removes all network faults.
  void healEverything() {
    P.healAll();
    P.Faults = NetworkFaults();
    for (const HostId &Name : Names) {
      if (!P.up(Name))
        start(Name);
      else if (P.frozen(Name))
        P.thaw(Name);
    }
  }

  bool serves(const HostId &Name) const {
    return P.running(Name) && verdict(P.node(Name).S, P.clock(Name)).Serve;
  }

  std::uint64_t revisionAt(const HostId &Name) const {
    return P.node(Name).S.Freshness.Complete;
  }

  /// Whether every running host has \p Revision in force.
  bool everywhere(std::uint64_t Revision) const {
    return std::all_of(Names.begin(), Names.end(), [&](const HostId &Name) {
      return !P.running(Name) || revisionAt(Name) >= Revision;
    });
  }

  SpreadConfig Base; // Configuration for hosts started later.
  std::vector<HostId> Names;
  std::vector<HostId> Voters;
  SitePump P;
  std::vector<PutDocumentCommand> Log; // Committed edits.
  HostId Leader;                       // Empty: no leader.
  std::vector<AcceptedEdit> Accepted;  // Ordered by time.
  std::uint64_t LastRevision = 0;
  std::vector<InForceAnswer> Answers;
  std::function<void(const HostId &From, const Outbound &)> OnSend;
  bool Checks = true; // Whether invariants are checked.
  std::string Breach; // The first violated invariant; empty: none.

private:
  bool reaches(const HostId &A, const HostId &B) const {
    return A == B || (P.running(B) && !P.isCut(A, B) && !P.isCut(B, A));
  }

  bool reachesVoters(const HostId &From) const {
    auto Count =
        std::count_if(Voters.begin(), Voters.end(), [&](const HostId &Voter) {
          return reaches(From, Voter);
        });
    return static_cast<std::size_t>(Count) > Voters.size() / 2;
  }

  /// Applies all committed edits.
  void catchUp(SpreadNode &N, TimePoint Now, SpreadOutputs &Out) {
    while (N.Entries < Log.size())
      apply(N.Applied, Log[N.Entries++]);
    onStored(N.S, N.Applied, Now, Out);
  }

  void tickVoter(SpreadNode &N, TimePoint Now, SpreadOutputs &Out) {
    const HostId &Self = N.S.Config.Self;
    bool Connected = reachesVoters(Self);
    if (Leader == Self && Connected)
      LeaseEnd = P.now() + LeaseTime;
    // The margin allows for clocks with different rates.
    if (P.now() > LeaseEnd + milliseconds(100)) {
      Leader = Connected ? Self : HostId();
      if (Connected) {
        ++Term;
        LeaseEnd = P.now() + LeaseTime;
        catchUp(N, Now, Out);
      }
    }
    if (Leader == Self)
      onLeadership(N.S, Term, Now + (LeaseEnd - P.now()), Now, Out);
    else
      onLeadership(N.S, 0, Now, Now, Out);
    if (!Leader.empty() && P.running(Leader) && reaches(Self, Leader))
      catchUp(N, Now, Out);
  }

  void executeEffects(SpreadNode &N, TimePoint Now, SpreadOutputs &Out) {
    const HostId &Self = N.S.Config.Self;
    for (const Outbound &O : Out.Messages) {
      if (OnSend)
        OnSend(Self, O);
      P.send(Self, O.To, O.Content);
    }
    for (InForceAnswer &Answer : Out.Answers)
      Answers.push_back(std::move(Answer));
    if (Out.Accepted != 0)
      Accepted.push_back({P.now(), Out.Accepted});
    if (!Checks)
      return;
    checkNumbers(N, Now);
    checkFreshness(N, Now);
  }

  void breach(const SpreadNode &N, const std::string &Violation) {
    if (!Breach.empty())
      return;
    auto Since = std::chrono::duration_cast<milliseconds>(
        P.now().time_since_epoch() - hours(1));
    Breach = N.S.Config.Self.Value + " at " + std::to_string(Since.count()) +
             " ms: " + Violation;
  }

  /// The revision and the numbers in force at a host never decrease while its
  /// process runs, and a restarted host never serves less than before.
  void checkNumbers(const SpreadNode &N, TimePoint Now) {
    const HostId &Self = N.S.Config.Self;
    std::uint64_t Revision = N.S.Freshness.Complete;
    if (Revision < Held[Self])
      breach(N, "the revision in force decreased");
    Held[Self] = Revision;
    for (const auto &[Service, Document] : N.S.Documents) {
      std::uint64_t &Most = HeldNumbers[Self][Service];
      if (Document.Number < Most)
        breach(N, "a document's number decreased");
      Most = Document.Number;
    }
    if (!verdict(N.S, Now).Serve)
      return;
    std::uint64_t Least = Served[Self];
    if (N.S.Freshness.Config.JoinByMajority)
      Least = std::min(Least, acceptedBefore(P.now()));
    if (Revision < Least)
      breach(N, "serves a lower revision than an earlier incarnation");
    Served[Self] = std::max(Served[Self], Revision);
  }

  std::uint64_t acceptedBefore(TimePoint T) const {
    std::uint64_t Revision = 0;
    for (const AcceptedEdit &Edit : Accepted) {
      if (Edit.At > T)
        break;
      Revision = std::max(Revision, Edit.Revision);
    }
    return Revision;
  }

  /// No host serves an older document once a newer one has been accepted for
  /// longer than the bound.
  void checkFreshness(const SpreadNode &N, TimePoint Now) {
    Duration Bound = N.S.Freshness.Config.Bound;
    std::uint64_t Due = acceptedBefore(P.now() - Bound);
    if (N.S.Freshness.Complete < Due && verdict(N.S, Now).Serve)
      breach(N, std::string("serves an old document: ") +
                    toString(verdict(N.S, Now).Reason));
  }

  std::uint64_t Term = 0;
  TimePoint LeaseEnd = TimePoint(hours(1)) - seconds(10);
  std::set<HostId> Started;
  std::map<HostId, std::uint64_t> Held;   // Last revision in force.
  std::map<HostId, std::uint64_t> Served; // Highest, all incarnations.
  std::map<HostId, std::map<ServiceId, std::uint64_t>> HeldNumbers;
};

} // namespace pimento::testing
