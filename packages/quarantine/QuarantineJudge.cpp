// Compares crashes to find the requests and parts that caused them.

#include "quarantine/CrashQuarantine.h"

#include <algorithm>
#include <bitset>
#include <set>

namespace pimento {

namespace {

/// Servers that end within this time probably ended for a common reason.
constexpr Duration CoincidenceTime = milliseconds(100);
/// Error of times that several hosts report.
constexpr Duration ReportSkew = milliseconds(5);
/// Time in which entry hosts report that they know complete answers with an
/// accused suspect. It is not judged earlier.
constexpr Duration WatchTime = milliseconds(300);
/// Time in which all entry hosts report a crash, from the crash and from when
/// it is known. Earlier, its suspects are not complete, and it is not judged.
constexpr Duration CrashReportTime = milliseconds(500);
constexpr Duration LateReportTime = milliseconds(300);
/// A complete answer within this time proves a suspect sound so far.
constexpr Duration ProofRetention = std::chrono::minutes(10);
/// Strength of the accusation from which the clearances of a suspect are
/// watched.
constexpr std::size_t WatchedCrashes = 2;
constexpr std::size_t MaxWatched = 32;
/// Parts of a prompt that are judged, the first ones.
constexpr std::size_t MaxJudgedParts = 32;

/// What accuses a suspect in one scope.
struct Accusation {
  std::bitset<MaxCrashes> Crashes; // By number of the coincidence.
  std::set<RequestDigest> Requests;
  std::set<AccountId> Accounts;
  bool IsProven = false; // A complete answer is known.
};

using Accusations = std::map<QuarantineScope, Accusation>;

/// Strength of an accusation. Of a part it is also the number of different
/// requests: one that is sent several times, or several in one crash, tell
/// little of their parts.
std::size_t strength(const QuarantineScope &Scope, const Accusation &A) {
  if (Scope.What.isRequest())
    return A.Crashes.count();
  return std::min(A.Crashes.count(), A.Requests.size());
}

void forgetCrashes(CrashQuarantine &S, TimePoint Now) {
  for (auto It = S.Crashes.begin(); It != S.Crashes.end();) {
    bool IsOld = Now > It->second.At + EvidenceRetention;
    It = IsOld ? S.Crashes.erase(It) : std::next(It);
  }
}

/// Marks the crashes in which something in quarantine took part.
void explainCrashes(CrashQuarantine &S) {
  for (auto &[Key, Crash] : S.Crashes) {
    for (const CrashedRequest &R : Crash.Requests) {
      if (findQuarantine(S, R.Account, {}, R.Parts).Entry != nullptr)
        Crash.Explained = true;
      if (findQuarantine(S, R.Account, R.Request, {}).Entry != nullptr)
        Crash.Culprits.insert(R.Request);
    }
  }
}

TimePoint reportedAt(const KnownCrash &Crash) {
  return std::max(Crash.At + CrashReportTime,
                  Crash.KnownSince + LateReportTime);
}

bool isReported(const KnownCrash &Crash, TimePoint Now) {
  return Now >= reportedAt(Crash);
}

/// Returns the unexplained crashes that all hosts have reported, in the order
/// of their times.
std::vector<const KnownCrash *> openCrashes(const CrashQuarantine &S,
                                            TimePoint Now) {
  std::vector<const KnownCrash *> Open;
  for (const auto &[Key, Crash] : S.Crashes) {
    bool AccusesAny = !Crash.Explained && !Crash.Requests.empty();
    if (AccusesAny && isReported(Crash, Now))
      Open.push_back(&Crash);
  }
  std::sort(Open.begin(), Open.end(),
            [](const auto *A, const auto *B) { return A->At < B->At; });
  return Open;
}

std::optional<TimePoint> lastAnswer(const CrashQuarantine &S,
                                    const QuarantineScope &Scope) {
  return Scope.AllAccounts ? answeredAt(S.Answered, Scope.What.Part)
                           : answeredAt(S.Answered, Scope.What);
}

/// What collectAccusations() has found so far.
struct Collection {
  Accusations All;
  std::size_t Coincidence = 0; // Number of the current one.
  TimePoint Now{};
};

void accuse(const CrashQuarantine &S, const KnownCrash &Crash,
            const CrashedRequest &R, const QuarantineScope &Scope,
            Collection &Found) {
  std::optional<TimePoint> Answer = lastAnswer(S, Scope);
  if (Answer && *Answer >= Crash.At)
    return;
  Accusation &A = Found.All[Scope];
  A.Crashes.set(Found.Coincidence);
  A.Requests.insert(R.Request);
  A.Accounts.insert(R.Account);
  A.IsProven = Answer && Found.Now < *Answer + ProofRetention;
}

/// Accuses the suspects of a crash, or just the parts of the requests that
/// explain it.
void accuseAll(const CrashQuarantine &S, const KnownCrash &Crash,
               Collection &Found) {
  for (const CrashedRequest &R : Crash.Requests) {
    bool IsCulprit = Crash.Culprits.count(R.Request) > 0;
    if (!Crash.Culprits.empty() && !IsCulprit)
      continue;
    if (!IsCulprit && !R.Request.empty())
      accuse(S, Crash, R, scopeOf(suspectOf(R.Account, R.Request), false),
             Found);
    std::size_t Judged = std::min(R.Parts.size(), MaxJudgedParts);
    for (std::size_t I = 0; I < Judged; ++I) {
      for (bool AllAccounts : {false, true})
        accuse(S, Crash, R,
               scopeOf(suspectOf(R.Account, R.Parts[I]), AllAccounts), Found);
    }
  }
}

/// Whether a request ran in both crashes and began the second time after the
/// first crash. Then they have no common reason.
bool isRepetition(const KnownCrash &Crash, const KnownCrash &Earlier) {
  for (const CrashedRequest &R : Crash.Requests) {
    if (Crash.At - R.RanFor + ReportSkew < Earlier.At || R.Request.empty())
      continue;
    for (const CrashedRequest &Before : Earlier.Requests) {
      if (Before.Request == R.Request)
        return true;
    }
  }
  return false;
}

/// Whether the crash belongs to the coincidence of the others.
bool isCoincident(const KnownCrash &Crash,
                  const std::vector<const KnownCrash *> &Others) {
  if (Others.empty() || Crash.At > Others.front()->At + CoincidenceTime)
    return false;
  return std::none_of(
      Others.begin(), Others.end(),
      [&](const KnownCrash *Other) { return isRepetition(Crash, *Other); });
}

Accusations collectAccusations(const CrashQuarantine &S, TimePoint Now) {
  Collection Found;
  Found.Now = Now;
  std::vector<const KnownCrash *> Coincident;
  for (const KnownCrash *Crash : openCrashes(S, Now)) {
    if (!Coincident.empty() && !isCoincident(*Crash, Coincident)) {
      Found.Coincidence += 1;
      Coincident.clear();
    }
    Coincident.push_back(Crash);
    accuseAll(S, *Crash, Found);
  }
  return std::move(Found.All);
}

/// Whether the part is in quarantine for some account.
bool isQuarantinedForOthers(const CrashQuarantine &S, PartId Part) {
  return std::any_of(
      S.Entries.begin(), S.Entries.end(), [&](const auto &Entry) {
        return Entry.first.What == suspectOf(Entry.first.What.Account, Part) &&
               Entry.second.Active;
      });
}

/// Whether the accusation suffices if nothing else explains the crashes.
bool isSufficient(const CrashQuarantine &S, const QuarantineScope &Scope,
                  const Accusation &A) {
  std::size_t Strength = strength(Scope, A);
  if (A.IsProven)
    return Strength >= AccusingCrashesOfProven &&
           (!Scope.AllAccounts || A.Accounts.size() > 1);
  if (!Scope.AllAccounts)
    return Strength >= AccusingCrashes;
  if (isQuarantinedForOthers(S, Scope.What.Part))
    return Strength >= AccusingCrashesOfOthers;
  return Strength >= AccusingCrashes && A.Accounts.size() > 1;
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

/// Whether the other suspect could explain the crashes of this one at all. A
/// part of the same request is no better explanation than the request.
bool isRival(const QuarantineScope &Scope, const QuarantineScope &Other,
             const Accusation &Rival) {
  if (Other.What.isRequest())
    return !(Other.What == Scope.What);
  bool IsSamePart =
      !Scope.What.isRequest() && Other.What.Part == Scope.What.Part;
  bool IsOwnPart =
      Scope.What.isRequest() && Rival.Requests.count(Scope.What.Request) > 0;
  return Rival.Requests.size() > 1 && !IsSamePart && !IsOwnPart;
}

/// Whether no other suspect explains the same crashes better or, unless there
/// are many of them, as well.
bool isBestExplanation(const QuarantineScope &Scope, const Accusation &A,
                       const Accusations &All) {
  for (const auto &[Other, Rival] : All) {
    bool CoversAll = (Rival.Crashes & A.Crashes) == A.Crashes;
    if (!CoversAll || !isRival(Scope, Other, Rival))
      continue;
    Comparison Result = compare(A, Rival);
    if (Result == Comparison::Weaker)
      return false;
    if (Result == Comparison::Tied && A.Crashes.count() < AccusingCrashesOfTied)
      return false;
  }
  return true;
}

/// Since when the hosts report complete answers with the suspect; nothing if
/// they do not.
std::optional<TimePoint> watchedSince(const CrashQuarantine &S,
                                      const QuarantineScope &Scope) {
  std::optional<TimePoint> First;
  for (const auto &[What, Since] : S.Watched) {
    if (scopeOf(What, Scope.AllAccounts) == Scope)
      First = std::min(First.value_or(Since), Since);
  }
  return First;
}

/// Returns the strongest accusation to act on, with those that cannot be told
/// from it. Prefers all accounts to one. Returns nothing until the hosts had
/// time to report complete answers with all of these.
std::vector<Accusations::value_type>
chooseAccused(const CrashQuarantine &S, const Accusations &All, TimePoint Now) {
  std::vector<Accusations::value_type> Best;
  for (const auto &Entry : All) {
    const auto &[Scope, A] = Entry;
    if (!isSufficient(S, Scope, A) || !watchedSince(S, Scope) ||
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
  for (const auto &[Scope, A] : Best) {
    if (Now < *watchedSince(S, Scope) + WatchTime)
      return {};
  }
  return Best;
}

/// Watches the suspects that several crashes accuse.
void updateWatched(CrashQuarantine &S, const Accusations &All, TimePoint Now) {
  std::vector<std::pair<std::size_t, Suspect>> Accused;
  for (const auto &[Scope, A] : All) {
    std::size_t Strength = strength(Scope, A);
    bool IsPartOfOne = !Scope.AllAccounts && !Scope.What.isRequest();
    if (IsPartOfOne || Strength < WatchedCrashes)
      continue;
    for (const AccountId &Account : A.Accounts) {
      Suspect What = Scope.What;
      What.Account = Account;
      Accused.emplace_back(Strength, std::move(What));
    }
  }
  std::sort(Accused.begin(), Accused.end(),
            [](const auto &A, const auto &B) { return B < A; });
  Accused.resize(std::min(Accused.size(), MaxWatched));
  std::map<Suspect, TimePoint> Next;
  for (const auto &[Strength, What] : Accused) {
    auto Known = S.Watched.find(What);
    Next[What] = Known == S.Watched.end() ? Now : Known->second;
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
      S.JudgeAt = std::min(S.JudgeAt, reportedAt(Crash));
  }
  for (const auto &[What, Since] : S.Watched) {
    if (Now < Since + WatchTime)
      S.JudgeAt = std::min(S.JudgeAt, Since + WatchTime);
  }
  return New;
}

} // namespace pimento
