//===- CrashQuarantine.h - Parts of prompts that crash engines ---*- C++
//-*-===//
//
//   CrashQuarantine S;
//   addCrash(S, Crash, Now);            // An engine broke off answers.
//   addClearance(S, Clearance, Now);    // A request with the part was
//   answered. if (judgeCrashes(S, Now)) ...         // The quarantined parts
//   changed. if (const Quarantined *Q = findQuarantine(S, Account, Parts)) ...
//
// A part of a prompt may crash each engine that answers it. The crash cuts the
// whole batch, so every request there is suspected and most are not at fault.
// The part at fault is told by comparing crashes:
// * A part is accused by the crashes of engines that ran it since it was last
//   part of a complete answer. A complete answer clears the parts of its
//   request for its account.
// * A part is quarantined if it is accused by several crashes and by several
//   requests, and no other part explains the same crashes better. Crashes that
//   a quarantined part explains accuse no other part.
// * Engines that end at the same moment count as one crash, since they probably
//   ended for a common reason.
// * Evidence counts for the account that sent the request. A part is
// quarantined
//   for all accounts only if requests of several accounts accuse it, so that no
//   account can have the part of another one quarantined by naming it.
// * A quarantine ends when a request with the part is answered completely: one
//   that was running, or one of a few trials, or by an operator's order.
//
// Entry hosts report crashes and clearances to the control hosts. Those judge,
// keep the quarantined parts on their disks, and send them to all entry hosts.
// Each record may arrive more than once and by several ways. Performs no I/O.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "quarantine/AnswerHistory.h"
#include "wire/SiteMessages.h"

#include <cstdint>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

namespace pimento {

/// Number of crashes, and of requests, that must accuse a part.
constexpr std::size_t AccusingCrashes = 3;
/// The same for a part that was in complete answers lately.
constexpr std::size_t AccusingCrashesOfProven = 8;
/// The same for parts that the same crashes accuse, none of them more likely.
constexpr std::size_t AccusingCrashesOfTied = 5;
/// Further accounts' crashes after which a part that is quarantined for one
/// account is quarantined for all.
constexpr std::size_t AccusingCrashesOfOthers = 2;
/// Longest age of a crash that counts as evidence.
constexpr Duration EvidenceRetention = std::chrono::minutes(10);
/// Crashes that are remembered; the oldest are dropped first.
constexpr std::size_t MaxCrashes = 64;
/// Quarantines, active or ended, that are kept; the oldest are forgotten first.
constexpr std::size_t MaxQuarantined = 256;
/// Trials of a quarantined part, in all. Afterwards only an operator ends the
/// quarantine.
constexpr std::uint32_t MaxTrials = 2;

/// What a quarantine applies to.
struct QuarantineScope {
  PartId Part{};
  AccountId Account;        // Unused if AllAccounts is set.
  bool AllAccounts = false; // The quarantine applies to every account.

  friend bool operator==(const QuarantineScope &A, const QuarantineScope &B) {
    return A.Part == B.Part && A.Account == B.Account &&
           A.AllAccounts == B.AllAccounts;
  }
  friend bool operator<(const QuarantineScope &A, const QuarantineScope &B) {
    return std::tie(A.Part, A.AllAccounts, A.Account) <
           std::tie(B.Part, B.AllAccounts, B.Account);
  }
};

/// Returns the scope of a part for its account or for all.
QuarantineScope scopeOf(const Suspect &Part, bool AllAccounts);

/// A crash of one incarnation of an engine, merged from several entry hosts.
struct KnownCrash {
  TimePoint At{};
  TimePoint ChangedAt{}; // When a request was last added.
  std::vector<CrashedRequest> Requests;
  bool Explained = false; // A quarantined part was in one of its requests.
};

/// A part that is or was in quarantine.
struct Quarantined {
  std::uint64_t Version = 0; // Incremented when the quarantine begins or ends.
  bool Active = false;
  TimePoint Since{};          // When Version was set.
  std::uint64_t Crashes = 0;  // Crashes that accused the part.
  std::uint64_t Requests = 0; // Requests that accused the part.
  std::uint32_t Trials = 0;   // Trials begun so far.
  TimePoint TrialAt{};        // The next trial is due then.
};

struct CrashQuarantine {
  std::map<std::pair<BackendId, IncarnationNumber>, KnownCrash> Crashes;
  AnswerHistory Answered;
  std::map<QuarantineScope, Quarantined> Entries;
  std::map<Suspect, TimePoint> Watched; // Accused parts, and since when.
  TimePoint JudgeAt = TimePoint::max(); // The next judgement is due then.
};

/// Adds the suspects of a crash. Returns true if any is new.
bool addCrash(CrashQuarantine &S, const ServerCrash &Crash, TimePoint Now);

/// Records a complete answer. Ends a quarantine that the answer disproves.
/// Returns true if the quarantined parts changed.
bool addClearance(CrashQuarantine &S, const SuspectClearance &Clearance,
                  TimePoint Now);

/// Quarantines the parts that the evidence accuses, if a judgement is due.
/// Returns the parts that are new in quarantine.
std::vector<QuarantineScope> judgeCrashes(CrashQuarantine &S, TimePoint Now);

/// Merges the record of another host. Returns true if the quarantined parts
/// changed.
bool applyRecord(CrashQuarantine &S, const QuarantineRecord &R, TimePoint Now);

/// Number of parts in quarantine.
std::size_t activeQuarantines(const CrashQuarantine &S);

/// Returns all parts that are or were in quarantine.
std::vector<QuarantineRecord> quarantineRecords(const CrashQuarantine &S,
                                                TimePoint Now);

/// A number that differs if the quarantined parts differ; zero: none.
std::uint64_t quarantineDigest(const CrashQuarantine &S);

/// A number that differs if the parts differ; zero: none.
std::uint64_t watchDigest(const std::vector<Suspect> &Watched);

/// Returns the crashes that got a request after \p Since.
std::vector<ServerCrash> crashesSince(const CrashQuarantine &S, TimePoint Since,
                                      TimePoint Now);

/// A quarantine that applies to a request.
struct QuarantineMatch {
  QuarantineScope Scope;
  const Quarantined *Part = nullptr; // Null: none applies.
  std::size_t Count = 0;             // Quarantines that apply.
};

/// Returns the active quarantine of one of the parts. If several apply, returns
/// the one whose next trial is latest.
QuarantineMatch findQuarantine(const CrashQuarantine &S,
                               const AccountId &Account,
                               const std::vector<PartId> &Parts);

/// Begins a quarantine that the given evidence accuses. \p IsTied: other parts
/// are quarantined for the same crashes.
void beginQuarantine(CrashQuarantine &S, const QuarantineScope &Scope,
                     std::size_t Crashes, std::size_t Requests, bool IsTied,
                     TimePoint Now);

/// Counts a trial of a part in quarantine and sets the time of the next one.
void beginTrial(CrashQuarantine &S, const QuarantineScope &Scope,
                TimePoint Now);

/// Ends a quarantine. Returns false if the part is not in quarantine.
bool liftQuarantine(CrashQuarantine &S, const QuarantineScope &Scope,
                    TimePoint Now);

} // namespace pimento
