#include "quarantine/CrashQuarantine.h"

#include <algorithm>
#include <cmath>

namespace pimento {

namespace {

/// Delay of a judgement after new evidence, so that the reports of all entry
/// hosts about one crash are judged together.
constexpr Duration JudgeDelay = milliseconds(50);
constexpr Duration FirstTrialAfter = seconds(5);
/// Of parts that the same crashes accuse: a trial with just one of them tells
/// them apart.
constexpr Duration FirstTrialOfTiedAfter = seconds(1);
constexpr Duration NextTrialAfter = std::chrono::minutes(10);
/// Records of ended quarantines are kept so long, since a host that was cut off
/// may still hold the earlier version.
constexpr Duration EndedRetention = std::chrono::minutes(10);
constexpr std::size_t MaxCrashRequests = 64;
/// Counts of one suspect's answers that are kept, and the time within which
/// answers are counted together.
constexpr std::size_t MaxCounts = 256;
constexpr Duration CountTime = milliseconds(100);

std::uint64_t mix(std::uint64_t Hash, std::uint64_t Value) {
  constexpr std::uint64_t Prime = 0x100000001B3ULL;
  return (Hash ^ Value) * Prime ^ (Hash >> 29U);
}

/// Hash that is equal on all hosts.
std::uint64_t hashOf(const Suspect &What) {
  constexpr std::uint64_t Start = 0xCBF29CE484222325ULL;
  std::uint64_t Hash = mix(Start, static_cast<std::uint64_t>(What.Part));
  Hash = mix(mix(Hash, What.Request.Hi), What.Request.Lo);
  for (char Letter : What.Account.Value)
    Hash = mix(Hash, static_cast<unsigned char>(Letter));
  return Hash;
}

bool isKnownRequest(const KnownCrash &Crash, const CrashedRequest &R) {
  auto Is = [&](const CrashedRequest &Known) {
    return Known.Request == R.Request && Known.Account == R.Account;
  };
  return std::any_of(Crash.Requests.begin(), Crash.Requests.end(), Is);
}

/// Adds a suspect of a crash. Returns true if it is new.
bool addRequest(KnownCrash &Known, const CrashedRequest &R) {
  if (Known.Requests.size() >= MaxCrashRequests || isKnownRequest(Known, R))
    return false;
  Known.Requests.push_back(R);
  return true;
}

/// The crash is to be judged with what is new.
void crashChanged(CrashQuarantine &S, KnownCrash &Known, TimePoint Now) {
  Known.ChangedAt = Now;
  S.JudgeAt = std::min(S.JudgeAt, Now + JudgeDelay);
}

/// Drops a crash that accuses little or nothing if there is one.
void dropOldestCrash(CrashQuarantine &S) {
  auto Rank = [](const KnownCrash &Crash) {
    bool IsOpen =
        !Crash.Requests.empty() && !Crash.Explained && Crash.Culprits.empty();
    return std::pair(IsOpen, Crash.At);
  };
  auto Older = [&](const auto &A, const auto &B) {
    return Rank(A.second) < Rank(B.second);
  };
  S.Crashes.erase(std::min_element(S.Crashes.begin(), S.Crashes.end(), Older));
}

/// Drops records of ended quarantines after their retention, and the oldest
/// ones beyond the limit.
void pruneEntries(CrashQuarantine &S, TimePoint Now) {
  for (auto It = S.Entries.begin(); It != S.Entries.end();) {
    bool IsOld = !It->second.Active && Now > It->second.Since + EndedRetention;
    It = IsOld ? S.Entries.erase(It) : std::next(It);
  }
  auto Older = [](const auto &A, const auto &B) {
    return std::tie(A.second.Active, A.second.Since) <
           std::tie(B.second.Active, B.second.Since);
  };
  while (S.Entries.size() > MaxQuarantined)
    S.Entries.erase(
        std::min_element(S.Entries.begin(), S.Entries.end(), Older));
}

void endQuarantine(Quarantined &Q, TimePoint Now) {
  Q.Version += 1;
  Q.Active = false;
  Q.Since = Now;
  Q.TrialAt = TimePoint::max();
}

void countAnswers(AnswerSeries &List, TimePoint At, std::uint64_t Count) {
  auto Later = std::upper_bound(
      List.begin(), List.end(), At,
      [](TimePoint Time, const auto &Known) { return Time < Known.Latest; });
  if (Later != List.begin() && At - std::prev(Later)->Latest < CountTime)
    std::prev(Later)->Count += Count;
  else
    List.insert(Later, {At, Count});
  if (List.size() <= MaxCounts)
    return;
  List[1].Count += List[0].Count;
  List.erase(List.begin());
}

/// Counts an answered trial of a suspect that was answered beside its crashes,
/// and sets the time of the next one. Returns whether it ends the quarantine.
bool trialAnswered(Quarantined &Q, TimePoint Now) {
  Q.Answered += 1;
  auto Crashes = static_cast<double>(Q.Crashes);
  double CrashShare =
      Crashes / (Crashes + static_cast<double>(Q.AnswersBefore));
  double Luck = std::pow(1 - CrashShare, Q.Answered);
  if (Luck <= MaxTrialLuck || Q.Trials >= MaxMixedTrials)
    return true;
  if (Q.Trials == 1 && Q.Answered == 1)
    Q.TrialAt = Now + FirstTrialAfter;
  return false;
}

/// Weighs answers to a suspect in quarantine. Returns whether they end it.
bool isDisproved(Quarantined &Q, const SuspectClearance &Clearance,
                 TimePoint Now) {
  bool WasNeverAnswered = Q.Answers == 0;
  if (WasNeverAnswered)
    return true;
  std::uint64_t Count = Clearance.Count.value_or(1);
  Q.Answers += Count;
  auto Runs = static_cast<double>(Q.Crashes + Q.Answers);
  if (static_cast<double>(Q.Crashes) < MinCrashShare * Runs)
    return true;
  bool IsOfTrial = Count > 0 && Q.Trials > Q.Answered;
  return IsOfTrial && trialAnswered(Q, Now);
}

} // namespace

bool addCrash(CrashQuarantine &S, const ServerCrash &Crash, TimePoint Now) {
  TimePoint At = Now - Crash.Age;
  if (Crash.Age > EvidenceRetention)
    return false;
  auto [It, Changed] =
      S.Crashes.try_emplace({Crash.Server, Crash.Incarnation}, KnownCrash());
  KnownCrash &Known = It->second;
  if (Changed)
    Known.KnownSince = Now;
  Known.At = Changed ? At : std::min(Known.At, At);
  for (const CrashedRequest &R : Crash.Requests)
    Changed = addRequest(Known, R) || Changed;
  for (const CrashedRequest &R :
       runsAt(S.Unfinished, Crash.Server, Crash.Incarnation, Known.At))
    Changed = addRequest(Known, R) || Changed;
  if (!Changed)
    return false;
  crashChanged(S, Known, Now);
  if (S.Crashes.size() > MaxCrashes)
    dropOldestCrash(S);
  return true;
}

bool addRun(CrashQuarantine &S, UnfinishedRun Run, TimePoint Now) {
  auto Found = S.Crashes.find({Run.Server, Run.Incarnation});
  bool IsEnded = Found != S.Crashes.end() &&
                 mayHaveRun(Run, Found->second.At) &&
                 addRequest(Found->second, crashedBy(Run, Found->second.At));
  if (IsEnded)
    crashChanged(S, Found->second, Now);
  noteRun(S.Unfinished, std::move(Run), Now);
  return IsEnded;
}

bool addClearance(CrashQuarantine &S, const SuspectClearance &Clearance,
                  TimePoint Now) {
  const Suspect &What = Clearance.Cleared;
  TimePoint At = Now - Clearance.Age;
  noteAnswered(S.Answered, What, At, Clearance.Count.value_or(1));
  if (!Clearance.Count)
    noteAnswered(S.AnsweredUncounted, What, At, 1);
  if (S.Watched.count(What) > 0) {
    S.JudgeAt = std::min(S.JudgeAt, Now + JudgeDelay);
    if (Clearance.Count.value_or(0) > 0)
      countAnswers(S.Weighed[What], At, *Clearance.Count);
  }
  bool Changed = false;
  for (bool AllAccounts : {false, true}) {
    QuarantineScope Scope = scopeOf(What, AllAccounts);
    auto Found = S.Entries.find(Scope);
    if (Found == S.Entries.end() || !Found->second.Active ||
        At <= Found->second.Since ||
        !isDisproved(Found->second, Clearance, Now))
      continue;
    endQuarantine(Found->second, Now);
    Changed = true;
  }
  return Changed;
}

bool contestEnd(CrashQuarantine &S, const QuarantineRecord &R) {
  auto Found = S.Entries.find(
      scopeOf(Suspect{R.Account, R.Part, R.Request}, R.AllAccounts));
  bool IsEnd = R.Version % 2 == 0;
  if (!IsEnd || Found == S.Entries.end() || !Found->second.Active ||
      Found->second.Version >= R.Version)
    return false;
  Found->second.Version = R.Version + 1;
  return true;
}

bool applyRecord(CrashQuarantine &S, const QuarantineRecord &R, TimePoint Now) {
  bool IsActive = R.Version % 2 == 1;
  if (R.Version == 0 || (!IsActive && R.Age > EndedRetention))
    return false;
  QuarantineScope Scope =
      scopeOf(Suspect{R.Account, R.Part, R.Request}, R.AllAccounts);
  Quarantined &Q = S.Entries[Scope];
  bool IsNewer = std::tie(R.Version, R.Trials) > std::tie(Q.Version, Q.Trials);
  if (!IsNewer)
    return false;
  bool IsOther = Q.Version != R.Version;
  Q.Version = R.Version;
  Q.Active = IsActive;
  Q.Since = Now - R.Age;
  Q.Crashes = R.Crashes;
  Q.Requests = R.Requests;
  Q.Answers = R.Answers;
  Q.AnswersBefore = IsOther ? R.Answers : Q.AnswersBefore;
  Q.Answered = IsOther ? 0 : Q.Answered;
  Q.Trials = R.Trials;
  Q.TrialAt = R.TrialIn ? Now + *R.TrialIn : TimePoint::max();
  pruneEntries(S, Now);
  return true;
}

std::size_t activeQuarantines(const CrashQuarantine &S) {
  auto IsActive = [](const auto &Entry) { return Entry.second.Active; };
  return static_cast<std::size_t>(
      std::count_if(S.Entries.begin(), S.Entries.end(), IsActive));
}

std::size_t quarantinedRequests(const CrashQuarantine &S) {
  auto Is = [](const auto &Entry) {
    return Entry.second.Active && Entry.first.What.isRequest();
  };
  return static_cast<std::size_t>(
      std::count_if(S.Entries.begin(), S.Entries.end(), Is));
}

std::vector<QuarantineRecord> quarantineRecords(const CrashQuarantine &S,
                                                TimePoint Now) {
  std::vector<QuarantineRecord> Records;
  for (const auto &[Scope, Q] : S.Entries) {
    QuarantineRecord R;
    R.Part = Scope.What.Part;
    R.Request = Scope.What.Request;
    R.Account = Scope.What.Account;
    R.AllAccounts = Scope.AllAccounts;
    R.Version = Q.Version;
    R.Age = Now - Q.Since;
    R.Crashes = Q.Crashes;
    R.Requests = Q.Requests;
    R.Answers = Q.Answers;
    R.Trials = Q.Trials;
    if (Q.TrialAt != TimePoint::max())
      R.TrialIn = Q.TrialAt - Now;
    Records.push_back(std::move(R));
  }
  return Records;
}

std::uint64_t quarantineDigest(const CrashQuarantine &S) {
  std::uint64_t Digest = 0;
  for (const auto &[Scope, Q] : S.Entries) {
    std::uint64_t Hash = hashOf(Scope.What);
    Hash = mix(mix(mix(Hash, Scope.AllAccounts ? 1 : 0), Q.Version), Q.Trials);
    Digest += Hash | 1U;
  }
  return Digest;
}

std::uint64_t watchDigest(const std::vector<Suspect> &Watched) {
  std::uint64_t Digest = 0;
  for (const Suspect &What : Watched)
    Digest += hashOf(What) | 1U;
  return Digest;
}

std::vector<ServerCrash> crashesSince(const CrashQuarantine &S, TimePoint Since,
                                      TimePoint Now) {
  std::vector<ServerCrash> List;
  for (const auto &[Key, Crash] : S.Crashes) {
    if (Crash.ChangedAt <= Since)
      continue;
    List.push_back({Key.first, Key.second, Now - Crash.At, Crash.Requests});
  }
  return List;
}

std::vector<ServerCrash> endedServers(const CrashQuarantine &S, TimePoint Since,
                                      TimePoint Now) {
  std::vector<ServerCrash> List;
  for (const auto &[Key, Crash] : S.Crashes) {
    if (Crash.KnownSince > Since)
      List.push_back({Key.first, Key.second, Now - Crash.At, {}});
  }
  return List;
}

std::size_t unansweredCrashes(const CrashQuarantine &S,
                              const Suspect &Request) {
  std::optional<TimePoint> Answer = answeredAt(S.Answered, Request);
  std::size_t Count = 0;
  for (const auto &[Key, Crash] : S.Crashes) {
    if (Answer && *Answer >= Crash.At)
      continue;
    auto Is = [&](const CrashedRequest &R) {
      return R.Request == Request.Request && R.Account == Request.Account;
    };
    const std::vector<CrashedRequest> &All = Crash.Requests;
    Count += std::any_of(All.begin(), All.end(), Is) ? 1 : 0;
  }
  return Count;
}

QuarantineMatch findQuarantine(const CrashQuarantine &S,
                               const AccountId &Account,
                               const RequestDigest &Digest,
                               const std::vector<PartId> &Parts) {
  QuarantineMatch Match;
  auto LookUp = [&](QuarantineScope Scope) {
    auto Found = S.Entries.find(Scope);
    if (Found == S.Entries.end() || !Found->second.Active)
      return;
    Match.Count += 1;
    if (Match.Entry != nullptr && Found->second.TrialAt <= Match.Entry->TrialAt)
      return;
    Match.Scope = std::move(Scope);
    Match.Entry = &Found->second;
  };
  if (S.Entries.empty())
    return Match;
  if (!Digest.empty())
    LookUp(scopeOf(suspectOf(Account, Digest), false));
  for (PartId Part : Parts) {
    for (bool AllAccounts : {false, true})
      LookUp(scopeOf(suspectOf(Account, Part), AllAccounts));
  }
  return Match;
}

void beginQuarantine(CrashQuarantine &S, const QuarantineScope &Scope,
                     const QuarantineEvidence &Evidence, TimePoint Now) {
  Quarantined &Q = S.Entries[Scope];
  Q.Version += Q.Active ? 2 : 1;
  Q.Active = true;
  Q.Since = Now;
  Q.Crashes = Evidence.Crashes;
  Q.Requests = Evidence.Requests;
  Q.Answers = Evidence.Answers;
  Q.Trials = 0;
  Q.Answered = 0;
  Q.AnswersBefore = Evidence.Answers;
  Q.TrialAt = Now + (Evidence.IsTied ? FirstTrialOfTiedAfter : FirstTrialAfter);
  if (Scope.AllAccounts) {
    // The quarantines of single accounts would have trials of their own.
    for (auto &[Other, Single] : S.Entries) {
      if (Other.What.Part == Scope.What.Part && !Other.What.isRequest() &&
          !Other.AllAccounts && Single.Active)
        endQuarantine(Single, Now);
    }
  }
  pruneEntries(S, Now);
}

void beginTrial(CrashQuarantine &S, const QuarantineScope &Scope,
                TimePoint Now) {
  Quarantined &Q = S.Entries.at(Scope);
  Q.Trials += 1;
  std::uint32_t Most = Q.Answers > 0 ? MaxMixedTrials : MaxTrials;
  Q.TrialAt = Q.Trials < Most ? Now + NextTrialAfter : TimePoint::max();
}

bool liftQuarantine(CrashQuarantine &S, const QuarantineScope &Scope,
                    TimePoint Now) {
  auto Found = S.Entries.find(Scope);
  if (Found == S.Entries.end() || !Found->second.Active)
    return false;
  endQuarantine(Found->second, Now);
  Found->second.EvidenceFrom = Now;
  return true;
}

QuarantineScope scopeOf(const Suspect &What, bool AllAccounts) {
  QuarantineScope Scope{What, AllAccounts && !What.isRequest()};
  if (Scope.AllAccounts)
    Scope.What.Account = AccountId();
  return Scope;
}

Suspect suspectOf(const AccountId &Account, const RequestDigest &Digest) {
  return {Account, PartId{}, Digest};
}

Suspect suspectOf(const AccountId &Account, PartId Part) {
  return {Account, Part, RequestDigest()};
}

std::string toString(const Suspect &What) {
  return What.isRequest() ? toString(What.Request) : toString(What.Part);
}

} // namespace pimento
