//===- CrashQuarantine.h - Requests that crash servers ----------*- C++ -*-===//
//
//   CrashQuarantine S;
//   addCrash(S, Crash, Now);         // A backend server ended.
//   addRun(S, Run, Now);             // A call ended before its server.
//   addClearance(S, Clearance, Now); // A request was answered completely.
//   judgeCrashes(S, Now);            // Returns what is new in quarantine.
//   QuarantineMatch M = findQuarantine(S, Account, Digest, Parts);
//
// A request may crash each backend server that runs it, whenever it is sent
// again; a part of a prompt may crash each engine that answers a request with
// it. The crash cuts everything that the server runs, so every request there is
// suspected and most are not at fault. A suspect is a request or a part. The
// one at fault is told by comparing crashes:
// * A suspect is accused by the crashes of servers that ran it. Its complete
//   answers, for its account, are weighed against them: by how much better the
//   suspect explains the crashes than chance does (Accusation.h).
// * A request is quarantined if several crashes accuse it; a part, if several
//   different requests do as well. No other suspect may explain the same
//   crashes better. The parts of a request are no better explanation than the
//   request itself, which others share.
// * Crashes that a quarantined part explains accuse nothing else; those that a
//   quarantined request explains accuse only its parts.
// * Servers that end at the same moment count as one crash, since they probably
//   ended for a common reason, unless a request ran at one after it had crashed
//   the other.
// * Evidence counts for the account that sent the request. A part is
// quarantined
//   for all accounts only if requests of several accounts accuse it, so that no
//   account can have the part of another one quarantined by naming it.
// * A quarantine ends when a request with the suspect is answered completely:
//   one that was running, or one of a few trials; if the suspect was answered
//   beside its crashes, only by many answers, by trials that are answered so
//   often as chance would hardly have it, or by the last one. Or by an
//   operator's order. It begins again only after another crash.
//
// Entry hosts report crashes and clearances to the control hosts. Those judge,
// keep the quarantines on their disks, and send them to all entry hosts. Each
// record may arrive more than once and by several ways. Performs no I/O.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "quarantine/AnswerHistory.h"
#include "quarantine/RunHistory.h"
#include "wire/SiteMessages.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace pimento {

/// Number of crashes that must accuse a suspect, and of different requests that
/// must accuse a part.
constexpr std::size_t AccusingCrashes = 3;
/// The same for a suspect that was answered completely lately.
constexpr std::size_t AccusingCrashesOfProven = 5;
/// Share of the runs of such a suspect that must have ended in a crash.
constexpr double MinCrashShare = 1.0 / 6;
/// The same for suspects that the same crashes accuse, none of them more
/// likely.
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
/// Trials of a quarantined suspect, in all. Afterwards only an operator ends
/// the quarantine.
constexpr std::uint32_t MaxTrials = 2;
/// The same for a suspect that was answered beside its crashes. One answer
/// tells little of it.
constexpr std::uint32_t MaxMixedTrials = 3;
/// Such a quarantine ends once its trials would all be answered so rarely if
/// the suspect ended servers as often as it seemed to.
constexpr double MaxTrialLuck = 0.05;

/// What a quarantine applies to.
struct QuarantineScope {
  Suspect What;             // Without an account if AllAccounts is set.
  bool AllAccounts = false; // The quarantine applies to every account.

  friend bool operator==(const QuarantineScope &A, const QuarantineScope &B) {
    return A.What == B.What && A.AllAccounts == B.AllAccounts;
  }
  friend bool operator<(const QuarantineScope &A, const QuarantineScope &B) {
    return std::tie(A.What, A.AllAccounts) < std::tie(B.What, B.AllAccounts);
  }
};

/// Returns the scope of a suspect for its account or, if it is a part, for all.
QuarantineScope scopeOf(const Suspect &What, bool AllAccounts);

/// Returns the suspect of a request with this digest.
Suspect suspectOf(const AccountId &Account, const RequestDigest &Digest);
/// Returns the suspect of a part in requests of the account.
Suspect suspectOf(const AccountId &Account, PartId Part);

/// Formats a part or a request in hexadecimal, as operators name it.
std::string toString(const Suspect &What);

/// A crash of one incarnation of a backend server, merged from several entry
/// hosts.
struct KnownCrash {
  TimePoint At{};
  TimePoint KnownSince{}; // When this host learned of it.
  TimePoint ChangedAt{};  // When a request was last added.
  std::vector<CrashedRequest> Requests;
  bool Explained = false; // A quarantined part was in one of its requests.
  std::set<RequestDigest> Culprits; // Its requests that were in quarantine.
  std::set<QuarantineScope> Causes; // What was in quarantine and ran there.
};

/// A suspect that is or was in quarantine.
struct Quarantined {
  std::uint64_t Version = 0; // Incremented when the quarantine begins or ends.
  bool Active = false;
  TimePoint Since{};          // When Version was set.
  std::uint64_t Crashes = 0;  // Crashes that accused the suspect.
  std::uint64_t Requests = 0; // Different requests that accused it.
  std::uint64_t Answers = 0;  // Complete answers beside the crashes; zero: it
                              // was never answered before.
  TimePoint EvidenceFrom{};   // Earlier crashes accuse it no more.
  std::uint32_t Trials = 0;   // Trials begun so far.
  std::uint32_t Answered = 0; // Trials that were answered.
  std::uint64_t AnswersBefore = 0; // Answers when this host learned of it.
  TimePoint TrialAt{};             // The next trial is due then.
};

/// Complete answers to a suspect, by time.
using AnswerSeries = std::vector<CountedAnswers>;

struct CrashQuarantine {
  std::map<std::pair<BackendId, IncarnationNumber>, KnownCrash> Crashes;
  RunHistory Unfinished; // Of this host, or handed over to it.
  AnswerHistory Answered;
  AnswerHistory AnsweredUncounted; // Reported without a number: each clears its
                                   // suspect of all crashes before.
  std::map<QuarantineScope, Quarantined> Entries;
  std::map<Suspect, TimePoint> Watched;    // Accused ones, and since when.
  std::map<Suspect, AnswerSeries> Weighed; // Answers to those.
  TimePoint JudgeAt = TimePoint::max();    // The next judgement is due then.
};

/// Adds a crash and its suspects, with those that the server may have been at
/// work on by what this host remembers. Returns true if anything is new.
bool addCrash(CrashQuarantine &S, const ServerCrash &Crash, TimePoint Now);

/// Remembers that a server may still be at work on a request. Returns true if
/// the server is known to have crashed meanwhile.
bool addRun(CrashQuarantine &S, UnfinishedRun Run, TimePoint Now);

/// Records complete answers. Ends a quarantine that they disprove.
/// Returns true if the quarantines changed.
bool addClearance(CrashQuarantine &S, const SuspectClearance &Clearance,
                  TimePoint Now);

/// Quarantines what the evidence accuses, if a judgement is due. Returns what
/// is new in quarantine.
std::vector<QuarantineScope> judgeCrashes(CrashQuarantine &S, TimePoint Now);

/// Replaces the end of a quarantine that an entry host has reported, while by
/// this host's evidence the quarantine goes on. Returns whether it did.
bool contestEnd(CrashQuarantine &S, const QuarantineRecord &R);

/// Merges the record of another host. Returns true if the quarantines changed.
bool applyRecord(CrashQuarantine &S, const QuarantineRecord &R, TimePoint Now);

/// Number of suspects in quarantine.
std::size_t activeQuarantines(const CrashQuarantine &S);
/// Number of those that are requests.
std::size_t quarantinedRequests(const CrashQuarantine &S);

/// Returns all that is or was in quarantine.
std::vector<QuarantineRecord> quarantineRecords(const CrashQuarantine &S,
                                                TimePoint Now);

/// A number that differs if the quarantines differ; zero: none.
std::uint64_t quarantineDigest(const CrashQuarantine &S);

/// A number that differs if the suspects differ; zero: none.
std::uint64_t watchDigest(const std::vector<Suspect> &Watched);

/// Returns the crashes that got a request after \p Since.
std::vector<ServerCrash> crashesSince(const CrashQuarantine &S, TimePoint Since,
                                      TimePoint Now);

/// Returns the crashes that this host has learned of after \p Since, without
/// their requests.
std::vector<ServerCrash> endedServers(const CrashQuarantine &S, TimePoint Since,
                                      TimePoint Now);

/// Number of crashes in which the request was cut off and that were not
/// followed by a complete answer to it, as far as this host knows.
std::size_t unansweredCrashes(const CrashQuarantine &S, const Suspect &Request);

/// A quarantine that applies to a request.
struct QuarantineMatch {
  QuarantineScope Scope;
  const Quarantined *Entry = nullptr; // Null: none applies.
  std::size_t Count = 0;              // Quarantines that apply.
};

/// Returns the active quarantine of the request or of one of its parts. If
/// several apply, returns the one whose next trial is latest.
QuarantineMatch findQuarantine(const CrashQuarantine &S,
                               const AccountId &Account,
                               const RequestDigest &Digest,
                               const std::vector<PartId> &Parts);

/// What accuses a suspect that enters quarantine.
struct QuarantineEvidence {
  std::uint64_t Crashes = 0;
  std::uint64_t Requests = 0;
  std::uint64_t Answers = 0;
  bool IsTied = false; // Others are quarantined for the same crashes.
};

/// Begins a quarantine.
void beginQuarantine(CrashQuarantine &S, const QuarantineScope &Scope,
                     const QuarantineEvidence &Evidence, TimePoint Now);

/// Counts a trial of a suspect in quarantine and sets the time of the next one.
void beginTrial(CrashQuarantine &S, const QuarantineScope &Scope,
                TimePoint Now);

/// Ends a quarantine. Returns false if the suspect is not in quarantine.
bool liftQuarantine(CrashQuarantine &S, const QuarantineScope &Scope,
                    TimePoint Now);

} // namespace pimento
