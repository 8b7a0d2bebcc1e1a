// Compares crashes to find the requests and parts that caused them.

#include "quarantine/Accusation.h"

#include <algorithm>

namespace pimento {

namespace {

/// Time in which entry hosts report that they know complete answers with an
/// accused suspect. It is not judged earlier.
constexpr Duration WatchTime = milliseconds(300);
/// A suspect that was sound is judged so long after the crashes suffice, unless
/// this share of its latest runs ended servers: if servers ended in series for
/// another reason, answers to it come meanwhile.
constexpr Duration SettleTime = seconds(1);
constexpr double ClearCrashShare = 0.75;
/// Number of recent crashes from which the answers to a suspect are watched.
constexpr std::size_t WatchedCrashes = 2;
constexpr std::size_t MaxWatched = 32;
/// The watched suspects are reviewed at this interval.
constexpr Duration ReviewInterval = seconds(10);

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
      QuarantineMatch Part = findQuarantine(S, R.Account, {}, R.Parts);
      QuarantineMatch Whole = findQuarantine(S, R.Account, R.Request, {});
      if (Part.Entry != nullptr) {
        Crash.Explained = true;
        Crash.Causes.insert(Part.Scope);
      }
      if (Whole.Entry != nullptr) {
        Crash.Culprits.insert(R.Request);
        Crash.Causes.insert(Whole.Scope);
      }
    }
  }
}

/// Whether the part is in quarantine for some account.
bool isQuarantinedForOthers(const CrashQuarantine &S, PartId Part) {
  return std::any_of(
      S.Entries.begin(), S.Entries.end(), [&](const auto &Entry) {
        return Entry.first.What == suspectOf(Entry.first.What.Account, Part) &&
               Entry.second.Active;
      });
}

/// Whether the suspect ran in a crash after its last quarantine ended.
bool hasNewCrash(const CrashQuarantine &S, const QuarantineScope &Scope,
                 const Accusation &A) {
  auto Entry = S.Entries.find(Scope);
  return Entry == S.Entries.end() || Entry->second.Active ||
         A.Strikes.back().At > Entry->second.Since;
}

/// Whether crashes of a suspect that was answered as well suffice.
bool isSufficientForProven(const QuarantineScope &Scope, const Accusation &A,
                           TimePoint Now) {
  bool IsClear =
      A.EnoughAt != TimePoint::max() && A.CrashShare >= ClearCrashShare;
  bool IsSettled = A.MixedEnoughAt != TimePoint::max() &&
                   A.WholeShare >= MinCrashShare &&
                   Now >= A.MixedEnoughAt + SettleTime;
  return (IsClear || IsSettled) &&
         (!Scope.AllAccounts || A.Accounts.size() > 1);
}

/// Whether the accusation suffices if nothing else explains the crashes.
bool isSufficient(const CrashQuarantine &S, const QuarantineScope &Scope,
                  const Accusation &A, TimePoint Now) {
  if (A.Strikes.empty() || !hasNewCrash(S, Scope, A))
    return false;
  if (A.IsProven)
    return isSufficientForProven(Scope, A, Now);
  std::size_t Strength = strength(Scope, A);
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
  if (A.Weight == Other.Weight)
    return Comparison::Tied;
  return A.Weight > Other.Weight ? Comparison::Stronger : Comparison::Weaker;
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

/// Whether the accusation may be acted on.
bool isActionable(const CrashQuarantine &S, const QuarantineScope &Scope,
                  const Accusation &A, const Accusations &All, TimePoint Now) {
  return isSufficient(S, Scope, A, Now) && watchedSince(S, Scope) &&
         isBestExplanation(Scope, A, All);
}

/// Whether the part is to be quarantined for all accounts, now or shortly,
/// rather than for this one, whose requests alone explain only some of its
/// crashes.
bool isOfAllAccounts(const CrashQuarantine &S, const QuarantineScope &Scope,
                     const Accusations &All, TimePoint Now) {
  if (Scope.AllAccounts || Scope.What.isRequest())
    return false;
  auto Wider = All.find(scopeOf(Scope.What, true));
  return Wider != All.end() &&
         isActionable(S, Wider->first, Wider->second, All, Now + SettleTime);
}

/// Returns the accusation of most weight to act on, with those that cannot be
/// told from it. Prefers suspects that were never answered, and all accounts to
/// one. Returns nothing until the hosts
/// had time to report complete answers with all of these.
std::vector<Accusations::value_type>
chooseAccused(const CrashQuarantine &S, const Accusations &All, TimePoint Now) {
  std::vector<Accusations::value_type> Best;
  auto Rank = [](const Accusations::value_type &E) {
    const auto &[Scope, A] = E;
    return std::tuple(!A.IsProven, A.Weight, Scope.AllAccounts);
  };
  for (const auto &Entry : All) {
    const auto &[Scope, A] = Entry;
    if (!isActionable(S, Scope, A, All, Now) ||
        isOfAllAccounts(S, Scope, All, Now))
      continue;
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

/// Watches the suspects that were in several crashes lately.
void updateWatched(CrashQuarantine &S, const RecentSuspects &Recent,
                   TimePoint Now) {
  std::vector<std::pair<std::size_t, Suspect>> Accused;
  for (const auto &[Scope, Latest] : Recent) {
    if (Latest.Crashes.size() < WatchedCrashes)
      continue;
    for (const AccountId &Account : Latest.Accounts) {
      Suspect What = Scope.What;
      What.Account = Account;
      Accused.emplace_back(Latest.Crashes.size(), std::move(What));
    }
  }
  std::sort(Accused.begin(), Accused.end(),
            [](const auto &A, const auto &B) { return B < A; });
  Accused.resize(std::min(Accused.size(), MaxWatched));
  std::map<Suspect, TimePoint> Next;
  std::map<Suspect, AnswerSeries> Weighed;
  for (const auto &[Crashes, What] : Accused) {
    auto Known = S.Watched.find(What);
    Next[What] = Known == S.Watched.end() ? Now : Known->second;
    auto Series = S.Weighed.find(What);
    if (Series != S.Weighed.end())
      Weighed.insert(std::move(*Series));
  }
  S.Watched = std::move(Next);
  S.Weighed = std::move(Weighed);
}

/// Sets the time at which the evidence tells more although none is added.
void planJudgement(CrashQuarantine &S, const Accusations &All, TimePoint Now) {
  auto JudgeAt = [&](TimePoint At) {
    if (Now < At)
      S.JudgeAt = std::min(S.JudgeAt, At);
  };
  for (const auto &[Key, Crash] : S.Crashes) {
    if (!Crash.Explained)
      JudgeAt(reportedAt(Crash));
  }
  for (const auto &[What, Since] : S.Watched) {
    JudgeAt(Since + WatchTime);
    JudgeAt(Now + ReviewInterval);
  }
  for (const auto &[Scope, A] : All) {
    if (A.MixedEnoughAt != TimePoint::max())
      JudgeAt(A.MixedEnoughAt + SettleTime);
  }
}

} // namespace

std::vector<QuarantineScope> judgeCrashes(CrashQuarantine &S, TimePoint Now) {
  std::vector<QuarantineScope> New;
  if (Now < S.JudgeAt)
    return New;
  S.JudgeAt = TimePoint::max();
  forgetCrashes(S, Now);
  explainCrashes(S);
  Evidence Found = collectEvidence(S, Now);
  updateWatched(S, Found.Recent, Now);
  for (;;) {
    std::vector<Accusations::value_type> Accused =
        chooseAccused(S, Found.All, Now);
    if (Accused.empty())
      break;
    for (const auto &[Scope, A] : Accused) {
      QuarantineEvidence Evidence;
      Evidence.Crashes = A.Crashes.count();
      Evidence.Requests = A.Requests.size();
      Evidence.Answers = A.IsProven ? std::max<std::uint64_t>(1, A.Answers) : 0;
      Evidence.IsTied = Accused.size() > 1;
      beginQuarantine(S, Scope, Evidence, Now);
      New.push_back(Scope);
    }
    explainCrashes(S);
    Found = collectEvidence(S, Now);
  }
  planJudgement(S, Found.All, Now);
  return New;
}

} // namespace pimento
