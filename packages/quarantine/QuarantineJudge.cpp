// Compares crashes to find the parts that caused them.

#include "quarantine/CrashQuarantine.h"

#include <algorithm>
#include <bitset>
#include <set>

namespace pimento {

namespace {

/// Engines that end within this time probably ended for a common reason.
constexpr Duration CoincidenceTime = milliseconds(100);
/// Time in which entry hosts report that they know complete answers with an
/// accused part. It is not judged earlier.
constexpr Duration WatchTime = milliseconds(300);
/// Time in which all entry hosts report a crash. Earlier, its suspects are not
/// complete, and it is not judged.
constexpr Duration CrashReportTime = milliseconds(500);
/// A complete answer within this time proves a part sound so far.
constexpr Duration ProofRetention = std::chrono::minutes(10);
/// Crashes and requests that must accuse a part before its clearances are
/// watched.
constexpr std::size_t WatchedCrashes = 2;
constexpr std::size_t MaxWatched = 16;
/// Parts of a prompt that are judged, the first ones.
constexpr std::size_t MaxJudgedParts = 32;

/// What accuses a part in one scope.
struct Accusation {
  std::bitset<MaxCrashes> Crashes; // By number of the coincidence.
  std::set<std::uint64_t> Requests;
  std::set<AccountId> Accounts;
  bool IsProven = false; // A complete answer is known.
};

using Accusations = std::map<QuarantineScope, Accusation>;

/// Strength of an accusation. One request that was sent several times, or
/// several in one crash, count once.
std::size_t strength(const Accusation &A) {
  return std::min(A.Crashes.count(), A.Requests.size());
}

void forgetCrashes(CrashQuarantine &S, TimePoint Now) {
  for (auto It = S.Crashes.begin(); It != S.Crashes.end();) {
    bool IsOld = Now > It->second.At + EvidenceRetention;
    It = IsOld ? S.Crashes.erase(It) : std::next(It);
  }
}

/// Marks the crashes in which a quarantined part had a request.
void explainCrashes(CrashQuarantine &S) {
  for (auto &[Key, Crash] : S.Crashes) {
    for (const CrashedRequest &R : Crash.Requests) {
      if (findQuarantine(S, R.Account, R.Parts).Part != nullptr)
        Crash.Explained = true;
    }
  }
}

bool isReported(const KnownCrash &Crash, TimePoint Now) {
  return Now >= Crash.At + CrashReportTime;
}

/// Returns the unexplained crashes that all hosts have reported, in the order
/// of their times.
std::vector<const KnownCrash *> openCrashes(const CrashQuarantine &S,
                                            TimePoint Now) {
  std::vector<const KnownCrash *> Open;
  for (const auto &[Key, Crash] : S.Crashes) {
    if (!Crash.Explained && isReported(Crash, Now))
      Open.push_back(&Crash);
  }
  std::sort(Open.begin(), Open.end(),
            [](const auto *A, const auto *B) { return A->At < B->At; });
  return Open;
}

std::optional<TimePoint> lastAnswer(const CrashQuarantine &S,
                                    const QuarantineScope &Scope) {
  return Scope.AllAccounts ? answeredAt(S.Answered, Scope.Part)
                           : answeredAt(S.Answered, Scope.Account, Scope.Part);
}

void accuse(const CrashQuarantine &S, const KnownCrash &Crash,
            std::size_t Coincidence, Accusations &All, TimePoint Now) {
  for (const CrashedRequest &R : Crash.Requests) {
    std::size_t Judged = std::min(R.Parts.size(), MaxJudgedParts);
    for (std::size_t I = 0; I < Judged; ++I) {
      for (bool AllAccounts : {false, true}) {
        QuarantineScope Scope =
            scopeOf(Suspect{R.Account, R.Parts[I]}, AllAccounts);
        std::optional<TimePoint> Answer = lastAnswer(S, Scope);
        if (Answer && *Answer >= Crash.At)
          continue;
        Accusation &A = All[Scope];
        A.Crashes.set(Coincidence);
        A.Requests.insert(R.Request);
        A.Accounts.insert(R.Account);
        A.IsProven = Answer && Now < *Answer + ProofRetention;
      }
    }
  }
}

Accusations collectAccusations(const CrashQuarantine &S, TimePoint Now) {
  Accusations All;
  std::size_t Coincidence = 0;
  TimePoint Begin = TimePoint::min();
  for (const KnownCrash *Crash : openCrashes(S, Now)) {
    if (Begin == TimePoint::min())
      Begin = Crash->At;
    if (Crash->At > Begin + CoincidenceTime) {
      Coincidence += 1;
      Begin = Crash->At;
    }
    accuse(S, *Crash, Coincidence, All, Now);
  }
  return All;
}

/// Whether the part is in quarantine for some account.
bool isQuarantinedForOthers(const CrashQuarantine &S, PartId Part) {
  return std::any_of(S.Entries.begin(), S.Entries.end(),
                     [&](const auto &Entry) {
                       return Entry.first.Part == Part && Entry.second.Active;
                     });
}

/// Whether the accusation suffices if nothing else explains the crashes.
bool isSufficient(const CrashQuarantine &S, const QuarantineScope &Scope,
                  const Accusation &A) {
  if (A.IsProven)
    return strength(A) >= AccusingCrashesOfProven &&
           (!Scope.AllAccounts || A.Accounts.size() > 1);
  if (!Scope.AllAccounts)
    return strength(A) >= AccusingCrashes;
  if (isQuarantinedForOthers(S, Scope.Part))
    return strength(A) >= AccusingCrashesOfOthers;
  return strength(A) >= AccusingCrashes && A.Accounts.size() > 1;
}

enum class Comparison : std::uint8_t { Stronger, Tied, Weaker };

/// Compares an accusation with another one of the same crashes. The number of
/// requests tells nothing here: a popular part is in more of them.
Comparison compare(const Accusation &A, const Accusation &Other) {
  if (A.IsProven != Other.IsProven)
    return A.IsProven ? Comparison::Weaker : Comparison::Stronger;
  if (A.Crashes.count() == Other.Crashes.count())
    return Comparison::Tied;
  return A.Crashes.count() > Other.Crashes.count() ? Comparison::Stronger
                                                   : Comparison::Weaker;
}

/// Whether no other part explains the same crashes better or, unless there are
/// many of them, as well.
bool isBestExplanation(const QuarantineScope &Scope, const Accusation &A,
                       const Accusations &All) {
  for (const auto &[Other, Rival] : All) {
    bool CoversAll = (Rival.Crashes & A.Crashes) == A.Crashes;
    bool IsLikely = Rival.Requests.size() > 1;
    if (Other.Part == Scope.Part || !CoversAll || !IsLikely)
      continue;
    Comparison Result = compare(A, Rival);
    if (Result == Comparison::Weaker)
      return false;
    if (Result == Comparison::Tied && A.Crashes.count() < AccusingCrashesOfTied)
      return false;
  }
  return true;
}

/// Whether the hosts had time to report complete answers with the part.
bool wasWatched(const CrashQuarantine &S, const QuarantineScope &Scope,
                TimePoint Now) {
  for (const auto &[Part, Since] : S.Watched) {
    bool Applies = Part.Part == Scope.Part &&
                   (Scope.AllAccounts || Part.Account == Scope.Account);
    if (Applies && Now >= Since + WatchTime)
      return true;
  }
  return false;
}

/// Returns the strongest accusation to act on, with those that cannot be told
/// from it. Prefers all accounts to one.
std::vector<Accusations::value_type>
chooseAccused(const CrashQuarantine &S, const Accusations &All, TimePoint Now) {
  std::vector<Accusations::value_type> Best;
  for (const auto &Entry : All) {
    const auto &[Scope, A] = Entry;
    if (!isSufficient(S, Scope, A) || !wasWatched(S, Scope, Now) ||
        !isBestExplanation(Scope, A, All))
      continue;
    auto Rank = [](const Accusations::value_type &E) {
      return std::pair(E.second.Crashes.count(), E.first.AllAccounts);
    };
    if (!Best.empty() && Rank(Entry) < Rank(Best.front()))
      continue;
    bool IsAlike = !Best.empty() && Rank(Entry) == Rank(Best.front()) &&
                   A.Crashes == Best.front().second.Crashes;
    if (!IsAlike && !Best.empty() && Rank(Entry) == Rank(Best.front()))
      continue;
    if (!IsAlike)
      Best.clear();
    Best.push_back(Entry);
  }
  return Best;
}

/// Watches the parts that several crashes accuse.
void updateWatched(CrashQuarantine &S, const Accusations &All, TimePoint Now) {
  std::vector<std::pair<std::size_t, Suspect>> Accused;
  for (const auto &[Scope, A] : All) {
    if (!Scope.AllAccounts || strength(A) < WatchedCrashes)
      continue;
    for (const AccountId &Account : A.Accounts)
      Accused.emplace_back(strength(A), Suspect{Account, Scope.Part});
  }
  std::sort(Accused.begin(), Accused.end(),
            [](const auto &A, const auto &B) { return B < A; });
  Accused.resize(std::min(Accused.size(), MaxWatched));
  std::map<Suspect, TimePoint> Next;
  for (const auto &[Crashes, Part] : Accused) {
    auto Known = S.Watched.find(Part);
    Next[Part] = Known == S.Watched.end() ? Now : Known->second;
  }
  S.Watched = std::move(Next);
}

} // namespace

std::vector<QuarantineScope> judgeCrashes(CrashQuarantine &S, TimePoint Now) {
  std::vector<QuarantineScope> New;
  if (Now < S.JudgeAt)
    return New;
  S.JudgeAt = TimePoint::max();
  forgetCrashes(S, Now);
  explainCrashes(S);
  Accusations All = collectAccusations(S, Now);
  updateWatched(S, All, Now);
  for (;;) {
    std::vector<Accusations::value_type> Accused = chooseAccused(S, All, Now);
    if (Accused.empty())
      break;
    for (const auto &[Scope, A] : Accused) {
      beginQuarantine(S, Scope, A.Crashes.count(), A.Requests.size(),
                      /*IsTied=*/Accused.size() > 1, Now);
      New.push_back(Scope);
    }
    explainCrashes(S);
    All = collectAccusations(S, Now);
  }
  for (const auto &[Key, Crash] : S.Crashes) {
    if (!Crash.Explained && !isReported(Crash, Now))
      S.JudgeAt = std::min(S.JudgeAt, Crash.At + CrashReportTime);
  }
  for (const auto &[Part, Since] : S.Watched) {
    if (Now < Since + WatchTime)
      S.JudgeAt = std::min(S.JudgeAt, Since + WatchTime);
  }
  return New;
}

} // namespace pimento
