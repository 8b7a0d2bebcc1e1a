//===- Accusation.h - What accuses the suspects of crashes ------*- C++ -*-===//
//
// Internal. A suspect is accused by the crashes of servers that ran it.
// Complete answers to it speak against that: a popular part is in most crashes,
// and in many more answers. So do its further runs in one crash, since one at
// most has ended the server. The weight of an accusation is the logarithm of
// how much better a suspect that ends servers explains its crashes and other
// runs than one that is cut off as often as any other. Of all crashes only the
// latest ones count from which on the weight is largest, since a suspect that
// was sound may end servers from some time on.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "quarantine/CrashQuarantine.h"

#include <bitset>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace pimento {

/// Number of a crash, or of several that count as one since they coincide.
using CoincidenceNumber = std::size_t;

/// A crash that accuses a suspect.
struct Strike {
  CoincidenceNumber Coincidence = 0;
  TimePoint At{};
  RequestDigest Request;
  AccountId Account;
  bool IsShared = false; // Another request, in quarantine, explains it as well.
};

/// Crashes that must accuse a suspect that was answered now and then meanwhile.
constexpr std::size_t AccusingCrashesOfMixed = 7;

/// What accuses a suspect in one scope.
struct Accusation {
  std::vector<Strike> Strikes;     // In the order of their times.
  std::bitset<MaxCrashes> Crashes; // By number of the coincidence.
  std::set<RequestDigest> Requests;
  std::set<AccountId> Accounts;
  std::uint64_t Answers = 0; // Since the first of the crashes.
  double CrashShare = 0;     // Share of its runs since then that may have ended
                             // a server. The others: answers, and further runs
                             // in the same crashes.
  double WholeShare = 0;     // The same over all the time that is known of.
  double Weight = 0;
  bool IsProven = false; // A complete answer is known.
  // Crashes with which those of a suspect suffice that was answered before, or
  // now and then meanwhile.
  TimePoint EnoughAt = TimePoint::max();
  TimePoint MixedEnoughAt = TimePoint::max();
};

using Accusations = std::map<QuarantineScope, Accusation>;

/// The latest crashes of a suspect, whether or not answers have cleared it.
struct RecentCrashes {
  std::set<CoincidenceNumber> Crashes;
  std::set<AccountId> Accounts;
};

using RecentSuspects = std::map<QuarantineScope, RecentCrashes>;

struct Evidence {
  Accusations All;
  RecentSuspects Recent;
};

/// Number of crashes that count. Of a part it is also the number of different
/// requests: one that is sent several times, or several in one crash, tell
/// little of their parts.
std::size_t strength(const QuarantineScope &Scope, const Accusation &A);

/// Since when the hosts report complete answers with the suspect; nothing if
/// they do not.
std::optional<TimePoint> watchedSince(const CrashQuarantine &S,
                                      const QuarantineScope &Scope);

/// When all hosts have reported the crash.
TimePoint reportedAt(const KnownCrash &Crash);

/// Collects what the crashes accuse that all hosts have reported.
Evidence collectEvidence(const CrashQuarantine &S, TimePoint Now);

} // namespace pimento
