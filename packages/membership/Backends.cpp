#include "membership/Backends.h"

#include "membership/Hashing.h"
#include "membership/MembershipParts.h"

#include <algorithm>

namespace pimento {

namespace {

constexpr Duration SweepInterval = milliseconds(100);
constexpr Duration QueryLead = milliseconds(500); // Before the timeout.
constexpr Duration QueryWait = milliseconds(250); // For the answers.

Duration tellInterval(const MembershipState &S) {
  return S.Config.Timing.AnnounceTimeout * 2 / 5;
}

/// Which of two records of one server says more.
auto rankOf(const BackendRecord &R) {
  return std::tuple(R.Incarnation, R.Left, R.Version, R.Status, R.Sequence);
}

std::uint64_t hashOf(const BackendRecord &R) {
  std::uint64_t Flags = static_cast<std::uint64_t>(R.Status) * 2 +
                        static_cast<std::uint64_t>(R.Left);
  return mix(hashText(R.Id.Value) ^ mix(R.Incarnation) ^
             mix(R.Version * 8 + Flags) ^ mix(R.Sequence));
}

/// The hash of the bucket that \p R counts in.
std::uint64_t &hashFor(BackendsState &B, const BackendRecord &R) {
  auto &Hashes = R.Status == BackendStatus::Gone ? B.GoneHashes : B.Hashes;
  return Hashes[bucketOf(R.Id)];
}

const char *toString(BackendStatus Status) {
  switch (Status) {
  case BackendStatus::Serving:
    return "serving";
  case BackendStatus::Leaving:
    return "leaving";
  case BackendStatus::Gone:
    return "gone";
  }
  return "";
}

void noteChange(const BackendRecord &R, std::string Reason,
                MembershipOutputs &Out) {
  Out.Backends.push_back({R});
  DecisionRecord Decision;
  Decision.Kind = "backend";
  Decision.Reason = std::move(Reason);
  Decision.add("backend", R.Id.Value)
      .add("status", std::string(toString(R.Status)))
      .add("life", static_cast<std::int64_t>(R.Incarnation))
      .add("version", static_cast<std::int64_t>(R.Version))
      .add("sequence", static_cast<std::int64_t>(R.Sequence));
  Out.Decisions.push_back(std::move(Decision));
}

/// Stores \p R, which is newer than what is known.
void storeRecord(MembershipState &S, BackendRecord R, TimePoint Now,
                 const char *Reason, MembershipOutputs &Out) {
  BackendsState &B = S.Backends;
  Duration GoneFor = R.GoneFor;
  R.GoneFor = Duration::zero();
  BackendRecord &Known = B.Records[R.Id];
  bool WasHere = !Known.Id.empty() && Known.Status != BackendStatus::Gone;
  if (!Known.Id.empty())
    hashFor(B, Known) ^= hashOf(Known);
  Known = std::move(R);
  hashFor(B, Known) ^= hashOf(Known);
  if (Known.Status == BackendStatus::Gone) {
    B.GoneSince[Known.Id] = Now - GoneFor;
    B.Heards.erase(Known.Id);
    unwatch(S, Known.Id);
  } else {
    B.GoneSince.erase(Known.Id);
    watch(S, Known.Id);
  }
  if (WasHere || Known.Status != BackendStatus::Gone)
    noteChange(Known, Reason, Out);
}

BackendRecord recordOf(const Announcement &A) {
  BackendRecord R;
  R.Id = A.Id;
  R.Incarnation = A.Incarnation;
  R.Version = 1;
  R.Status = A.Leaving ? BackendStatus::Leaving : BackendStatus::Serving;
  R.Kind = A.Kind;
  R.Address = A.Address;
  R.DataCentre = A.DataCentre;
  R.Service = A.Service;
  R.Models = A.Models;
  R.MemoryTokens = A.MemoryTokens;
  R.ChecksFence = A.ChecksFence;
  R.Sequence = A.Sequence;
  R.Left = A.Leaving;
  return R;
}

bool sameContent(const BackendRecord &A, const BackendRecord &B) {
  return A.Status == B.Status && A.Kind == B.Kind && A.Address == B.Address &&
         A.DataCentre == B.DataCentre && A.Service == B.Service &&
         A.Models == B.Models && A.MemoryTokens == B.MemoryTokens &&
         A.ChecksFence == B.ChecksFence;
}

/// Whether \p A comes before what is known of its server, or too late.
bool isStale(const MembershipState &S, const Announcement &A) {
  auto Known = S.Backends.Records.find(A.Id);
  if (Known != S.Backends.Records.end()) {
    const BackendRecord &R = Known->second;
    if (A.Incarnation < R.Incarnation ||
        (A.Incarnation == R.Incarnation && A.Sequence <= R.Sequence))
      return true;
  }
  auto Last = S.Backends.Heards.find(A.Id);
  return Last != S.Backends.Heards.end() &&
         std::pair(A.Incarnation, A.Sequence) <=
             std::pair(Last->second.Incarnation, Last->second.Sequence);
}

/// Takes the announcement into the record; whether that changed it.
bool takeRecord(MembershipState &S, const Announcement &A, TimePoint Now,
                MembershipOutputs &Out) {
  BackendRecord New = recordOf(A);
  auto Known = S.Backends.Records.find(A.Id);
  const char *Reason = "announced";
  if (Known != S.Backends.Records.end() &&
      Known->second.Incarnation == A.Incarnation) {
    const BackendRecord &Old = Known->second;
    New.Version = Old.Version + 1;
    New.Left = Old.Left || A.Leaving;
    if (New.Left)
      New.Status = BackendStatus::Leaving;
    if (sameContent(New, Old))
      return false;
    Reason = Old.Status == BackendStatus::Gone ? "heard again" : "changed";
  }
  storeRecord(S, std::move(New), Now, Reason, Out);
  addBackendNews(S, A.Id, true, Now);
  return true;
}

/// The two hosts that share what is known of \p Id with this one.
std::vector<HostId> partnersFor(const MembershipState &S, const BackendId &Id) {
  std::vector<HostId> Partners;
  constexpr std::size_t Most = 2;
  for (const HostId &Watcher : watchersOf(S, Id)) {
    if (!Watcher.empty() && Watcher != S.Config.Self && Partners.size() < Most)
      Partners.push_back(Watcher);
  }
  return Partners;
}

void tellWatchers(MembershipState &S, const Announcement &A, Heard &H,
                  TimePoint Now, MembershipOutputs &Out) {
  H.Told = Now;
  BackendSeen M = {A.Id, A.Incarnation, A.Sequence, Duration::zero()};
  for (const HostId &Watcher : partnersFor(S, A.Id))
    Out.Messages.push_back({Watcher, M});
}

/// Asks the other watchers and whoever heard the server last.
void queryOthers(MembershipState &S, const BackendId &Id, Heard &H,
                 TimePoint Now, MembershipOutputs &Out) {
  H.Queried = Now;
  BackendSeenQuery Q = {Id, H.Incarnation};
  std::vector<HostId> Asked = partnersFor(S, Id);
  if (!H.By.empty() &&
      std::find(Asked.begin(), Asked.end(), H.By) == Asked.end())
    Asked.push_back(H.By);
  for (const HostId &Host : Asked)
    Out.Messages.push_back({Host, Q});
}

void declareGone(MembershipState &S, const BackendId &Id, const Heard &H,
                 TimePoint Now, MembershipOutputs &Out) {
  BackendRecord R = S.Backends.Records.at(Id);
  ++R.Version;
  R.Status = BackendStatus::Gone;
  if (H.Incarnation == R.Incarnation)
    R.Sequence = std::max(R.Sequence, H.Sequence);
  R.Address.clear();
  R.Models.clear();
  storeRecord(S, std::move(R), Now, "silent", Out);
  addBackendNews(S, Id, true, Now);
}

void checkSilence(MembershipState &S, const BackendId &Id, TimePoint Now,
                  MembershipOutputs &Out) {
  const BackendRecord &R = S.Backends.Records.at(Id);
  auto Added = S.Backends.Heards.try_emplace(Id);
  Heard &H = Added.first->second;
  if (Added.second || H.Incarnation < R.Incarnation) {
    H = Heard(); // Just became its watcher: it gets the whole time.
    H.Incarnation = R.Incarnation;
    H.Sequence = R.Sequence;
    H.At = Now;
  }
  Duration Timeout = S.Config.Timing.AnnounceTimeout;
  Duration QueryAfter = Timeout - QueryLead;
  if (Now - H.At < QueryAfter)
    return;
  if (H.Queried - H.At < QueryAfter) { // Not since it was last heard.
    queryOthers(S, Id, H, Now, Out);
    return;
  }
  if (Now - H.At >= Timeout && Now - H.Queried >= QueryWait)
    declareGone(S, Id, Heard(H), Now, Out);
}

void forgetLongGone(MembershipState &S, TimePoint Now) {
  BackendsState &B = S.Backends;
  for (auto At = B.GoneSince.begin(); At != B.GoneSince.end();) {
    if (Now - At->second < S.Config.TombstoneTime) {
      ++At;
      continue;
    }
    const BackendRecord &R = B.Records.at(At->first);
    hashFor(B, R) ^= hashOf(R);
    B.Records.erase(At->first);
    S.QueuedBackendUpdates.erase(At->first);
    At = B.GoneSince.erase(At);
  }
}

template <class F>
std::vector<const BackendRecord *> select(const MembershipState &S, F &&Fits) {
  std::vector<const BackendRecord *> Chosen;
  for (const auto &Entry : S.Backends.Records) {
    if (Fits(Entry.second))
      Chosen.push_back(&Entry.second);
  }
  return Chosen;
}

} // namespace

std::size_t bucketOf(const BackendId &Id) {
  return hashText(Id.Value) % RegistryBuckets;
}

BackendRecord recordToSend(const MembershipState &S, const BackendRecord &R,
                           TimePoint Now) {
  BackendRecord Copy = R;
  auto Gone = S.Backends.GoneSince.find(R.Id);
  if (Gone != S.Backends.GoneSince.end())
    Copy.GoneFor = Now - Gone->second;
  return Copy;
}

bool applyRecord(MembershipState &S, const BackendRecord &R, Telling Tell,
                 TimePoint Now, MembershipOutputs &Out) {
  if (R.Id.empty() || R.GoneFor >= S.Config.TombstoneTime)
    return false;
  auto Known = S.Backends.Records.find(R.Id);
  bool New = Known == S.Backends.Records.end();
  if (!New && rankOf(R) <= rankOf(Known->second))
    return false;
  if (New && S.Backends.Records.size() >= MaxBackends)
    return false;
  storeRecord(S, R, Now, "news", Out);
  if (Tell != Telling::No)
    addBackendNews(S, R.Id, Tell == Telling::Origin, Now);
  return true;
}

bool onAnnounce(MembershipState &S, const Announcement &A, TimePoint Now,
                MembershipOutputs &Out) {
  bool Room = S.Backends.Records.size() < MaxBackends ||
              S.Backends.Records.count(A.Id) != 0;
  if (A.Id.empty() || !Room || isStale(S, A))
    return false;
  bool Changed = takeRecord(S, A, Now, Out);
  Heard &H = S.Backends.Heards[A.Id];
  H.Incarnation = A.Incarnation;
  H.Sequence = A.Sequence;
  H.At = Now;
  H.By = HostId();
  if (Changed || Now - H.Told >= tellInterval(S))
    tellWatchers(S, A, H, Now, Out);
  if (A.Kind == BackendKind::Engine) {
    Out.Loads.push_back(A.Load);
    Out.Loads.back().Backend = A.Id;
    Out.Loads.back().Incarnation = A.Incarnation;
    Out.Loads.back().Sequence = A.Sequence;
  }
  return true;
}

void onBackendSeen(MembershipState &S, const HostId &From, const BackendSeen &M,
                   TimePoint Now) {
  if (S.Backends.Records.count(M.Backend) == 0 || M.Age < Duration::zero())
    return;
  Heard &H = S.Backends.Heards[M.Backend];
  if (std::pair(M.Incarnation, M.Sequence) <=
      std::pair(H.Incarnation, H.Sequence))
    return;
  H.Incarnation = M.Incarnation;
  H.Sequence = M.Sequence;
  H.At = Now - M.Age;
  H.By = From;
}

void onBackendSeenQuery(MembershipState &S, const HostId &From,
                        const BackendSeenQuery &Q, TimePoint Now,
                        MembershipOutputs &Out) {
  auto Found = S.Backends.Heards.find(Q.Backend);
  if (Found == S.Backends.Heards.end() ||
      Found->second.Incarnation < Q.Incarnation)
    return;
  const Heard &H = Found->second;
  Out.Messages.push_back(
      {From, BackendSeen{Q.Backend, H.Incarnation, H.Sequence, Now - H.At}});
}

void sweepBackends(MembershipState &S, TimePoint Now, MembershipOutputs &Out) {
  if (Now < S.Backends.NextSweep)
    return;
  S.Backends.NextSweep = Now + SweepInterval;
  forgetLongGone(S, Now);
  if (!seesMajority(S))
    return; // Whoever is cut off knows nothing about silence.
  std::vector<BackendId> Mine(S.Backends.Mine.begin(), S.Backends.Mine.end());
  for (const BackendId &Id : Mine)
    checkSilence(S, Id, Now, Out);
}

void forgetBackends(MembershipState &S, MembershipOutputs &Out) {
  BackendsState &B = S.Backends;
  for (auto &Entry : B.Records) {
    if (Entry.second.Status == BackendStatus::Gone)
      continue;
    Entry.second.Status = BackendStatus::Gone;
    noteChange(Entry.second, "forgotten after a long cut", Out);
  }
  B.Records.clear();
  B.Heards.clear();
  B.GoneSince.clear();
  B.Watch.clear();
  B.Mine.clear();
  B.Hashes.fill(0);
  B.GoneHashes.fill(0);
  B.Ready = false;
  S.QueuedBackendUpdates.clear();
}

void forgiveSilence(MembershipState &S, Duration Gap) {
  for (auto &Entry : S.Backends.Heards)
    Entry.second.At += Gap;
}

const BackendRecord *findBackend(const MembershipState &S,
                                 const BackendId &Id) {
  auto Found = S.Backends.Records.find(Id);
  if (Found == S.Backends.Records.end() ||
      Found->second.Status == BackendStatus::Gone)
    return nullptr;
  return &Found->second;
}

std::vector<const BackendRecord *> enginesOf(const MembershipState &S,
                                             const ModelName &Model) {
  return select(S, [&](const BackendRecord &R) {
    return R.Status == BackendStatus::Serving &&
           R.Kind == BackendKind::Engine &&
           std::find(R.Models.begin(), R.Models.end(), Model) != R.Models.end();
  });
}

std::vector<const BackendRecord *> serversOf(const MembershipState &S,
                                             const ServiceId &Service) {
  return select(S, [&](const BackendRecord &R) {
    return R.Status == BackendStatus::Serving && R.Kind == BackendKind::Plain &&
           R.Service == Service;
  });
}

std::vector<const BackendRecord *> allBackends(const MembershipState &S) {
  return select(S, [](const BackendRecord &R) {
    return R.Status != BackendStatus::Gone;
  });
}

} // namespace pimento
