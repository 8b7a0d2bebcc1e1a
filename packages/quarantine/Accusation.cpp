#include "quarantine/Accusation.h"

#include <algorithm>
#include <cmath>

namespace pimento {

namespace {

/// Servers that end within this time probably ended for a common reason.
constexpr Duration CoincidenceTime = milliseconds(100);
/// Error of times that several hosts report.
constexpr Duration ReportSkew = milliseconds(5);
/// Time in which all entry hosts report a crash, from the crash and from when
/// it is known. Earlier, its suspects are not complete, and it is not judged.
constexpr Duration CrashReportTime = milliseconds(500);
constexpr Duration LateReportTime = milliseconds(300);
/// A complete answer within this time proves a suspect sound so far.
constexpr Duration ProofRetention = std::chrono::minutes(10);
/// A suspect is watched for so long after its latest crash.
constexpr Duration WatchRetention = seconds(60);
/// Parts of a prompt that are judged, the first ones.
constexpr std::size_t MaxJudgedParts = 32;
/// Crashes that nothing in quarantine explains, with which a request is accused
/// by the others as well.
constexpr std::size_t OwnCrashes = 2;
/// Share of its runs that a sound suspect may lose with servers that end.
constexpr double SoundCrashShare = 1.0 / 16;

/// What collectEvidence() has found so far.
struct Collection {
  const CrashQuarantine &S;
  TimePoint Now{};
  Evidence Found;
  CoincidenceNumber Coincidence = 0; // The current one.
};

std::optional<TimePoint> lastAnswer(const AnswerHistory &H,
                                    const QuarantineScope &Scope) {
  return Scope.AllAccounts ? answeredAt(H, Scope.What.Part)
                           : answeredAt(H, Scope.What);
}

std::uint64_t answersSince(const CrashQuarantine &S,
                           const QuarantineScope &Scope, TimePoint Since) {
  std::uint64_t Sum = 0;
  for (const auto &[What, Series] : S.Weighed) {
    if (!(scopeOf(What, Scope.AllAccounts) == Scope))
      continue;
    for (auto It = Series.rbegin(); It != Series.rend() && It->Latest >= Since;
         ++It)
      Sum += It->Count;
  }
  return Sum;
}

/// Until when answers clear the scope's suspect of crashes, since their number
/// is not known.
TimePoint clearedUntil(const CrashQuarantine &S, const QuarantineScope &Scope) {
  std::optional<TimePoint> Last = lastAnswer(S.Answered, Scope);
  if (!Last)
    return TimePoint();
  std::optional<TimePoint> Watched = watchedSince(S, Scope);
  if (!Watched)
    return *Last;
  TimePoint Uncounted =
      lastAnswer(S.AnsweredUncounted, Scope).value_or(TimePoint());
  return std::max(Uncounted, std::min(*Last, *Watched - CountedTime));
}

/// Whether the two scopes have a suspect in common.
bool overlap(const QuarantineScope &A, const QuarantineScope &B) {
  bool IsSame = A.What.Part == B.What.Part && A.What.Request == B.What.Request;
  return IsSame &&
         (A.AllAccounts || B.AllAccounts || A.What.Account == B.What.Account);
}

/// Whether a crash that something in quarantine has explained accuses this
/// suspect, whose quarantine has ended.
bool isReopened(const CrashQuarantine &S, const KnownCrash &Crash,
                const CrashedRequest &R, const QuarantineScope &Scope) {
  bool IsCause = std::any_of(
      Crash.Causes.begin(), Crash.Causes.end(),
      [&](const QuarantineScope &Cause) { return overlap(Cause, Scope); });
  return IsCause &&
         findQuarantine(S, R.Account, R.Request, R.Parts).Entry == nullptr;
}

/// Whether a request in quarantine explains the crash, which may have had two
/// such requests.
bool isShared(const KnownCrash &Crash, const CrashedRequest &R,
              const QuarantineScope &Scope) {
  return Scope.What.isRequest() && !Crash.Explained &&
         !Crash.Culprits.empty() && Crash.Culprits.count(R.Request) == 0;
}

/// Whether the crash accuses the suspect, by what has explained it so far.
bool isOpenFor(const CrashQuarantine &S, const KnownCrash &Crash,
               const CrashedRequest &R, const QuarantineScope &Scope) {
  auto Entry = S.Entries.find(Scope);
  if (Entry != S.Entries.end() && Crash.At < Entry->second.EvidenceFrom)
    return false;
  bool IsCulprit = Crash.Culprits.count(R.Request) > 0;
  bool IsExplained = Crash.Explained ||
                     (!Crash.Culprits.empty() && !IsCulprit) ||
                     (IsCulprit && Scope.What.isRequest());
  return !IsExplained || isReopened(S, Crash, R, Scope);
}

void accuse(Collection &C, const KnownCrash &Crash, const CrashedRequest &R,
            const QuarantineScope &Scope) {
  bool IsShared = isShared(Crash, R, Scope);
  if (!IsShared && !isOpenFor(C.S, Crash, R, Scope))
    return;
  bool IsPartOfOne = !Scope.AllAccounts && !Scope.What.isRequest();
  if (C.Now < Crash.At + WatchRetention && !IsPartOfOne) {
    RecentCrashes &Recent = C.Found.Recent[Scope];
    Recent.Crashes.insert(C.Coincidence);
    Recent.Accounts.insert(R.Account);
  }
  if (clearedUntil(C.S, Scope) >= Crash.At)
    return;
  C.Found.All[Scope].Strikes.push_back(
      {C.Coincidence, Crash.At, R.Request, R.Account, IsShared});
}

void accuseAll(Collection &C, const KnownCrash &Crash) {
  for (const CrashedRequest &R : Crash.Requests) {
    if (!R.Request.empty())
      accuse(C, Crash, R, scopeOf(suspectOf(R.Account, R.Request), false));
    std::size_t Judged = std::min(R.Parts.size(), MaxJudgedParts);
    for (std::size_t I = 0; I < Judged; ++I) {
      for (bool AllAccounts : {false, true})
        accuse(C, Crash, R,
               scopeOf(suspectOf(R.Account, R.Parts[I]), AllAccounts));
    }
  }
}

/// Whether nothing in quarantine explains the crash, or its quarantine has
/// ended.
bool isOpen(const CrashQuarantine &S, const KnownCrash &Crash) {
  if (!Crash.Explained)
    return true;
  return std::any_of(Crash.Causes.begin(), Crash.Causes.end(),
                     [&](const QuarantineScope &Scope) {
                       auto Entry = S.Entries.find(Scope);
                       return Entry != S.Entries.end() && !Entry->second.Active;
                     });
}

/// Returns the crashes that all hosts have reported and that accuse anything,
/// in the order of their times.
std::vector<const KnownCrash *> openCrashes(const CrashQuarantine &S,
                                            TimePoint Now) {
  std::vector<const KnownCrash *> Open;
  for (const auto &[Key, Crash] : S.Crashes) {
    bool IsReported = Now >= reportedAt(Crash);
    if (IsReported && !Crash.Requests.empty() && isOpen(S, Crash))
      Open.push_back(&Crash);
  }
  std::sort(Open.begin(), Open.end(),
            [](const auto *A, const auto *B) { return A->At < B->At; });
  return Open;
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

/// Logarithm of how much better a suspect that ends servers explains so many
/// crashes and other runs than a sound one.
double weightOf(std::size_t Crashes, std::uint64_t OtherRuns) {
  auto Ended = static_cast<double>(Crashes);
  auto Others = static_cast<double>(OtherRuns);
  double Share = Ended / (Ended + Others);
  if (Share <= SoundCrashShare)
    return 0;
  double Weight = Ended * std::log(Share / SoundCrashShare);
  if (OtherRuns > 0)
    Weight += Others * std::log((1 - Share) / (1 - SoundCrashShare));
  return std::max(Weight, 0.0);
}

/// The runs of a suspect from a strike on.
struct RunCounts {
  std::set<CoincidenceNumber> Crashes;
  std::uint64_t Strikes = 0;
  std::uint64_t Answers = 0;

  std::uint64_t others() const { return Answers + Strikes - Crashes.size(); }
  double crashShare() const {
    auto Ended = static_cast<double>(Crashes.size());
    return Ended / (Ended + static_cast<double>(others()));
  }
};

/// Returns the index of the strike from which on the weight is largest.
std::size_t firstThatCounts(const CrashQuarantine &S,
                            const QuarantineScope &Scope, Accusation &A) {
  RunCounts Runs;
  std::size_t First = A.Strikes.size() - 1;
  for (std::size_t I = A.Strikes.size(); I-- > 0;) {
    Runs.Crashes.insert(A.Strikes[I].Coincidence);
    Runs.Strikes += 1;
    Runs.Answers = answersSince(S, Scope, A.Strikes[I].At);
    double Weight = weightOf(Runs.Crashes.size(), Runs.others());
    if (Weight < A.Weight)
      continue;
    First = I;
    A.Weight = Weight;
    A.Answers = Runs.Answers;
    A.CrashShare = Runs.crashShare();
  }
  Runs.Answers = answersSince(S, Scope, TimePoint::min());
  A.WholeShare = Runs.crashShare();
  return First;
}

/// Drops the strikes that something in quarantine explains as well, unless
/// enough others accuse the suspect.
void dropShared(std::vector<Strike> &Strikes) {
  std::set<CoincidenceNumber> Own;
  for (const Strike &Each : Strikes) {
    if (!Each.IsShared)
      Own.insert(Each.Coincidence);
  }
  if (Own.size() >= OwnCrashes)
    return;
  auto Is = [](const Strike &Each) { return Each.IsShared; };
  Strikes.erase(std::remove_if(Strikes.begin(), Strikes.end(), Is),
                Strikes.end());
}

void addStrike(Accusation &A, const Strike &Each) {
  A.Crashes.set(Each.Coincidence);
  A.Requests.insert(Each.Request);
  A.Accounts.insert(Each.Account);
}

/// Returns the time of the crash with which the strikes reach a strength; the
/// end of time if they do not.
TimePoint reachedAt(const QuarantineScope &Scope,
                    const std::vector<Strike> &Strikes, std::size_t Strength) {
  Accusation A;
  for (const Strike &Each : Strikes) {
    addStrike(A, Each);
    if (strength(Scope, A) >= Strength)
      return Each.At;
  }
  return TimePoint::max();
}

void weigh(const CrashQuarantine &S, const QuarantineScope &Scope,
           Accusation &A, TimePoint Now) {
  dropShared(A.Strikes);
  if (A.Strikes.empty())
    return;
  A.MixedEnoughAt = reachedAt(Scope, A.Strikes, AccusingCrashesOfMixed);
  std::size_t First = firstThatCounts(S, Scope, A);
  A.Strikes.erase(A.Strikes.begin(),
                  A.Strikes.begin() + static_cast<std::ptrdiff_t>(First));
  A.EnoughAt = reachedAt(Scope, A.Strikes, AccusingCrashesOfProven);
  for (const Strike &Each : A.Strikes)
    addStrike(A, Each);
  std::optional<TimePoint> Last = lastAnswer(S.Answered, Scope);
  A.IsProven = Last && Now < *Last + ProofRetention;
}

} // namespace

std::size_t strength(const QuarantineScope &Scope, const Accusation &A) {
  if (Scope.What.isRequest())
    return A.Crashes.count();
  return std::min(A.Crashes.count(), A.Requests.size());
}

std::optional<TimePoint> watchedSince(const CrashQuarantine &S,
                                      const QuarantineScope &Scope) {
  std::optional<TimePoint> First;
  for (const auto &[What, Since] : S.Watched) {
    if (scopeOf(What, Scope.AllAccounts) == Scope)
      First = std::min(First.value_or(Since), Since);
  }
  return First;
}

TimePoint reportedAt(const KnownCrash &Crash) {
  return std::max(Crash.At + CrashReportTime,
                  Crash.KnownSince + LateReportTime);
}

Evidence collectEvidence(const CrashQuarantine &S, TimePoint Now) {
  Collection C{S, Now, {}, 0};
  std::vector<const KnownCrash *> Coincident;
  for (const KnownCrash *Crash : openCrashes(S, Now)) {
    if (!Coincident.empty() && !isCoincident(*Crash, Coincident)) {
      C.Coincidence += 1;
      Coincident.clear();
    }
    Coincident.push_back(Crash);
    accuseAll(C, *Crash);
  }
  for (auto &[Scope, A] : C.Found.All)
    weigh(S, Scope, A, Now);
  return std::move(C.Found);
}

} // namespace pimento
