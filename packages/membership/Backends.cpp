#include "membership/Backends.h"

#include "membership/Hashing.h"
#include "membership/MembershipParts.h"

#include <algorithm>

namespace pimento {

namespace {

constexpr Duration SweepInterval = milliseconds(100);
// Other watchers are queried this long before AnnounceTimeout.
constexpr Duration QueryLeadTime = milliseconds(500);
// Time that the queried hosts have to reply.
constexpr Duration QueryWait = milliseconds(250);

/// Interval at which watchers are notified of announcements without a change.
Duration notifyInterval(const MembershipState &S) {
  return S.Config.Timing.AnnounceTimeout * 2 / 5;
}

/// Order in which records of one server supersede each other; highest wins.
auto rankOf(const BackendRecord &R) {
  return std::tuple(R.Incarnation, R.Left, R.Version, R.Status, R.Sequence);
}

std::uint64_t hashOf(const BackendRecord &R) {
  std::uint64_t Flags = static_cast<std::uint64_t>(R.Status) * 2 +
                        static_cast<std::uint64_t>(R.Left);
  return mix(hashText(R.Id.Value) ^ mix(R.Incarnation) ^
             mix(R.Version * 8 + Flags) ^ mix(R.Sequence));
}

/// The bucket hash that includes \p R.
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

void reportChange(const BackendRecord &R, std::string Reason,
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

/// Replaces the known record by the newer \p R.
void storeRecord(MembershipState &S, BackendRecord R, TimePoint Now,
                 const char *Reason, MembershipOutputs &Out) {
  BackendsState &B = S.Backends;
  Duration GoneFor = R.GoneFor;
  R.GoneFor = Duration::zero();
  BackendRecord &Known = B.Records[R.Id];
  bool WasPresent = !Known.Id.empty() && Known.Status != BackendStatus::Gone;
  if (!Known.Id.empty())
    hashFor(B, Known) ^= hashOf(Known);
  Known = std::move(R);
  hashFor(B, Known) ^= hashOf(Known);
  if (Known.Status == BackendStatus::Gone) {
    B.GoneSince[Known.Id] = Now - GoneFor;
    B.LastAnnouncements.erase(Known.Id);
    unwatch(S, Known.Id);
  } else {
    B.GoneSince.erase(Known.Id);
    watch(S, Known.Id);
  }
  if (WasPresent || Known.Status != BackendStatus::Gone)
    reportChange(Known, Reason, Out);
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

/// Whether \p A is not newer than the record or the last known announcement.
bool isStale(const MembershipState &S, const Announcement &A) {
  auto Known = S.Backends.Records.find(A.Id);
  if (Known != S.Backends.Records.end()) {
    const BackendRecord &R = Known->second;
    if (A.Incarnation < R.Incarnation ||
        (A.Incarnation == R.Incarnation && A.Sequence <= R.Sequence))
      return true;
  }
  auto Last = S.Backends.LastAnnouncements.find(A.Id);
  return Last != S.Backends.LastAnnouncements.end() &&
         std::pair(A.Incarnation, A.Sequence) <=
             std::pair(Last->second.Incarnation, Last->second.Sequence);
}

/// Updates the server's record from an announcement. True where it changed.
bool updateRecord(MembershipState &S, const Announcement &A, TimePoint Now,
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
    Reason = Old.Status == BackendStatus::Gone ? "announced again" : "changed";
  }
  storeRecord(S, std::move(New), Now, Reason, Out);
  queueBackendUpdate(S, A.Id, true, Now);
  return true;
}

/// Up to two watchers of \p Id other than this host, with which this host
/// exchanges the server's last announcement.
std::vector<HostId> partnersFor(const MembershipState &S, const BackendId &Id) {
  std::vector<HostId> Partners;
  constexpr std::size_t Most = 2;
  for (const HostId &Watcher : watchersOf(S, Id)) {
    if (!Watcher.empty() && Watcher != S.Config.Self && Partners.size() < Most)
      Partners.push_back(Watcher);
  }
  return Partners;
}

void notifyWatchers(MembershipState &S, const Announcement &A,
                    LastAnnouncement &Last, TimePoint Now,
                    MembershipOutputs &Out) {
  Last.WatchersNotified = Now;
  BackendSeen M = {A.Id, A.Incarnation, A.Sequence, Duration::zero()};
  for (const HostId &Watcher : partnersFor(S, A.Id))
    Out.Messages.push_back({Watcher, M});
}

/// Queries the other watchers and the host that received the last
/// announcement.
void queryLastAnnouncement(MembershipState &S, const BackendId &Id,
                           LastAnnouncement &Last, TimePoint Now,
                           MembershipOutputs &Out) {
  Last.WatchersQueried = Now;
  BackendSeenQuery Q = {Id, Last.Incarnation};
  std::vector<HostId> Recipients = partnersFor(S, Id);
  if (!Last.ReceivedBy.empty() &&
      std::find(Recipients.begin(), Recipients.end(), Last.ReceivedBy) ==
          Recipients.end())
    Recipients.push_back(Last.ReceivedBy);
  for (const HostId &Host : Recipients)
    Out.Messages.push_back({Host, Q});
}

void declareGone(MembershipState &S, const BackendId &Id,
                 const LastAnnouncement &Last, TimePoint Now,
                 MembershipOutputs &Out) {
  BackendRecord R = S.Backends.Records.at(Id);
  ++R.Version;
  R.Status = BackendStatus::Gone;
  if (Last.Incarnation == R.Incarnation)
    R.Sequence = std::max(R.Sequence, Last.Sequence);
  R.Address.clear();
  R.Models.clear();
  storeRecord(S, std::move(R), Now, "silent", Out);
  queueBackendUpdate(S, Id, true, Now);
}

void checkSilence(MembershipState &S, const BackendId &Id, TimePoint Now,
                  MembershipOutputs &Out) {
  const BackendRecord &R = S.Backends.Records.at(Id);
  auto Added = S.Backends.LastAnnouncements.try_emplace(Id);
  LastAnnouncement &Last = Added.first->second;
  if (Added.second || Last.Incarnation < R.Incarnation) {
    // No announcement of this incarnation is known here, for example because
    // this host has just become the watcher. The full timeout starts now.
    Last = LastAnnouncement();
    Last.Incarnation = R.Incarnation;
    Last.Sequence = R.Sequence;
    Last.ReceivedAt = Now;
  }
  Duration Timeout = S.Config.Timing.AnnounceTimeout;
  Duration QueryAfter = Timeout - QueryLeadTime;
  if (Now - Last.ReceivedAt < QueryAfter)
    return;
  // Queries the other hosts once after each known announcement.
  if (Last.WatchersQueried - Last.ReceivedAt < QueryAfter) {
    queryLastAnnouncement(S, Id, Last, Now, Out);
    return;
  }
  if (Now - Last.ReceivedAt >= Timeout &&
      Now - Last.WatchersQueried >= QueryWait)
    declareGone(S, Id, LastAnnouncement(Last), Now, Out);
}

void removeExpiredTombstones(MembershipState &S, TimePoint Now) {
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

bool applyRecord(MembershipState &S, const BackendRecord &R,
                 Propagation Propagate, TimePoint Now, MembershipOutputs &Out) {
  if (R.Id.empty() || R.GoneFor >= S.Config.TombstoneTime)
    return false;
  auto Known = S.Backends.Records.find(R.Id);
  bool New = Known == S.Backends.Records.end();
  if (!New && rankOf(R) <= rankOf(Known->second))
    return false;
  if (New && S.Backends.Records.size() >= MaxBackends)
    return false;
  storeRecord(S, R, Now, "news", Out);
  if (Propagate != Propagation::No)
    queueBackendUpdate(S, R.Id, Propagate == Propagation::Origin, Now);
  return true;
}

bool onAnnounce(MembershipState &S, const Announcement &A, TimePoint Now,
                MembershipOutputs &Out) {
  bool Room = S.Backends.Records.size() < MaxBackends ||
              S.Backends.Records.count(A.Id) != 0;
  if (A.Id.empty() || !Room || isStale(S, A))
    return false;
  bool Changed = updateRecord(S, A, Now, Out);
  LastAnnouncement &Last = S.Backends.LastAnnouncements[A.Id];
  Last.Incarnation = A.Incarnation;
  Last.Sequence = A.Sequence;
  Last.ReceivedAt = Now;
  Last.ReceivedBy = HostId();
  if (Changed || Now - Last.WatchersNotified >= notifyInterval(S))
    notifyWatchers(S, A, Last, Now, Out);
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
  LastAnnouncement &Last = S.Backends.LastAnnouncements[M.Backend];
  if (std::pair(M.Incarnation, M.Sequence) <=
      std::pair(Last.Incarnation, Last.Sequence))
    return;
  Last.Incarnation = M.Incarnation;
  Last.Sequence = M.Sequence;
  Last.ReceivedAt = Now - M.Age;
  Last.ReceivedBy = From;
}

void onBackendSeenQuery(MembershipState &S, const HostId &From,
                        const BackendSeenQuery &Q, TimePoint Now,
                        MembershipOutputs &Out) {
  auto Found = S.Backends.LastAnnouncements.find(Q.Backend);
  if (Found == S.Backends.LastAnnouncements.end() ||
      Found->second.Incarnation < Q.Incarnation)
    return;
  const LastAnnouncement &Last = Found->second;
  Out.Messages.push_back(
      {From, BackendSeen{Q.Backend, Last.Incarnation, Last.Sequence,
                         Now - Last.ReceivedAt}});
}

void sweepBackends(MembershipState &S, TimePoint Now, MembershipOutputs &Out) {
  if (Now < S.Backends.NextSweep)
    return;
  S.Backends.NextSweep = Now + SweepInterval;
  removeExpiredTombstones(S, Now);
  if (!seesMajority(S))
    return; // This host may be partitioned and miss the announcements.
  std::vector<BackendId> Watched(S.Backends.WatchedHere.begin(),
                                 S.Backends.WatchedHere.end());
  for (const BackendId &Id : Watched)
    checkSilence(S, Id, Now, Out);
}

void clearRegistry(MembershipState &S, MembershipOutputs &Out) {
  BackendsState &B = S.Backends;
  for (auto &Entry : B.Records) {
    if (Entry.second.Status == BackendStatus::Gone)
      continue;
    Entry.second.Status = BackendStatus::Gone;
    reportChange(Entry.second,
                 "this host saw no majority of hosts for too long", Out);
  }
  B.Records.clear();
  B.LastAnnouncements.clear();
  B.GoneSince.clear();
  B.WatchersById.clear();
  B.WatchedHere.clear();
  B.Hashes.fill(0);
  B.GoneHashes.fill(0);
  B.Ready = false;
  S.QueuedBackendUpdates.clear();
}

void extendSilenceDeadlines(MembershipState &S, Duration Gap) {
  for (auto &Entry : S.Backends.LastAnnouncements)
    Entry.second.ReceivedAt += Gap;
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
