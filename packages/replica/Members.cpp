#include "replica/Internal.h"
#include "wire/Fields.h"

#include <algorithm>

namespace pimento::replica {

namespace {

constexpr JsonLimits VoterLimits = {/*Bytes=*/64U << 10U, /*Depth=*/6,
                                    /*Values=*/4096};

/// Number of retired disks that a log keeps.
constexpr std::size_t RetiredDisks = 64;

/// Number of probe intervals after which a host's report about its disk is too
/// old.
constexpr int SeenIntervals = 5;

/// Number of heartbeat intervals within which a learner must have replied to be
/// promoted.
constexpr int PromotionHeartbeats = 2;

bool canChangeMembers(const ReplicaState &S) {
  return S.Commit >= S.TermStart && S.History.back().Index <= S.Commit &&
         S.TransferTo.empty();
}

void changeMembers(ReplicaState &S, VoterSet New, TimePoint Now) {
  std::sort(New.Members.begin(), New.Members.end(),
            [](const Member &A, const Member &B) { return A.Host < B.Host; });
  if (New.Retired.size() > RetiredDisks)
    New.Retired.erase(New.Retired.begin(), New.Retired.end() - RetiredDisks);
  LogEntry Entry;
  Entry.Index = lastIndex(S) + 1;
  Entry.Term = S.Hard.Term;
  Entry.Kind = EntryKind::Voters;
  Entry.Payload.Data = encodeVoters(New);
  append(S, std::move(Entry));
  updateProgress(S, Now);
}

/// Removes the host and retires its disk.
void retire(VoterSet &V, const HostId &Host) {
  auto IsHost = [&](const Member &Who) { return Who.Host == Host; };
  auto Found = std::find_if(V.Members.begin(), V.Members.end(), IsHost);
  V.Retired.push_back({Found->Host, Found->Incarnation});
  V.Members.erase(Found);
}

bool isFresh(const ReplicaState &S, const SeenDisk &Disk, TimePoint Now) {
  return Now < Disk.SeenAt + S.Config.ProbeInterval * SeenIntervals;
}

/// Whether the disk may become a learner. It is either empty, or holds this log
/// because an earlier leader added it but could not commit the change.
bool canBecomeLearner(const ReplicaState &S, const SeenDisk &Disk) {
  if (isRetired(members(S), Disk.Host, Disk.Incarnation))
    return false;
  return Disk.Empty || Disk.LogId == members(S).LogId;
}

/// A disk of a member that came back with another disk, while its old disk is
/// silent.
const SeenDisk *findReplacedDisk(ReplicaState &S, TimePoint Now) {
  for (const SeenDisk &Disk : S.Seen) {
    if (!canBecomeLearner(S, Disk) || !isFresh(S, Disk, Now))
      continue;
    const Member *Old = findMember(members(S), Disk.Host);
    if (Old == nullptr || Old->Incarnation == Disk.Incarnation)
      continue;
    const MemberProgress *P = findProgress(S, Old->Host, Old->Incarnation);
    if (P != nullptr && Now >= P->LastReply + S.Config.ElectionTimeout)
      return &Disk;
  }
  return nullptr;
}

/// A learner that has synced every committed entry and replied within the last
/// PromotionHeartbeats.
const MemberProgress *findPromotable(ReplicaState &S, TimePoint Now) {
  Duration Limit = S.Config.HeartbeatInterval * PromotionHeartbeats;
  for (const MemberProgress &P : S.Progress) {
    if (isVoter(members(S), P.Host, P.Incarnation))
      continue;
    if (P.Match >= S.Commit && Now < P.ConfirmedAt + Limit)
      return &P;
  }
  return nullptr;
}

} // namespace

std::string encodeVoters(const VoterSet &V) { return wire::toBytes(V); }

std::optional<VoterSet> decodeVoters(std::string_view Bytes) {
  Failure Why;
  return valueOr<std::optional<VoterSet>>(
      [&]() -> Result<std::optional<VoterSet>> {
        auto V = wire::fromBytes<VoterSet>(Bytes, VoterLimits);
        if (!V)
          return V.error();
        return std::optional<VoterSet>(std::move(*V));
      },
      std::nullopt, Why);
}

const Member *findMember(const VoterSet &V, const HostId &Host) {
  for (const Member &Who : V.Members) {
    if (Who.Host == Host)
      return &Who;
  }
  return nullptr;
}

bool isVoter(const VoterSet &V, const HostId &Host,
             IncarnationNumber Incarnation) {
  const Member *Who = findMember(V, Host);
  return Who != nullptr && Who->Incarnation == Incarnation && !Who->Learner;
}

bool isSelfVoter(const ReplicaState &S) {
  return isVoter(members(S), S.Config.Self, S.Config.Incarnation);
}

bool isRetired(const VoterSet &V, const HostId &Host,
               IncarnationNumber Incarnation) {
  for (const RetiredDisk &Disk : V.Retired) {
    if (Disk.Host == Host && Disk.Incarnation == Incarnation)
      return true;
  }
  return false;
}

std::size_t majority(const VoterSet &V) {
  std::size_t Voters = 0;
  for (const Member &Who : V.Members)
    Voters += Who.Learner ? 0 : 1;
  return Voters == 0 ? 0 : Voters / 2 + 1;
}

void updateProgress(ReplicaState &S, TimePoint Now) {
  std::vector<MemberProgress> New;
  for (const Member &Who : members(S).Members) {
    if (Who.Host == S.Config.Self && Who.Incarnation == S.Config.Incarnation)
      continue;
    if (MemberProgress *Old = findProgress(S, Who.Host, Who.Incarnation)) {
      New.push_back(std::move(*Old));
      continue;
    }
    MemberProgress P;
    P.Host = Who.Host;
    P.Incarnation = Who.Incarnation;
    P.Next = std::max(S.TermStart, S.Base.Index + 1);
    P.LastReply = Now;
    New.push_back(std::move(P));
  }
  S.Progress = std::move(New);
}

void maintainMembers(ReplicaState &S, TimePoint Now, ReplicaEffects &E) {
  if (!canChangeMembers(S))
    return;
  VoterSet New = members(S);
  if (const SeenDisk *Disk = findReplacedDisk(S, Now)) {
    retire(New, Disk->Host);
    New.Members.push_back({Disk->Host, Disk->Incarnation, /*Learner=*/true});
    decide(S, E, "replace_disk", "a member came back with another disk")
        .add("member", Disk->Host.Value);
    changeMembers(S, std::move(New), Now);
    return;
  }
  const MemberProgress *P = findPromotable(S, Now);
  if (P == nullptr)
    return;
  for (Member &Who : New.Members) {
    if (Who.Host == P->Host && Who.Incarnation == P->Incarnation)
      Who.Learner = false;
  }
  decide(S, E, "promote", "the learner has synced every committed entry")
      .add("member", P->Host.Value)
      .add("synced", static_cast<std::int64_t>(P->Match))
      .add("commit", static_cast<std::int64_t>(S.Commit));
  changeMembers(S, std::move(New), Now);
}

} // namespace pimento::replica

namespace pimento {

const char *toString(MemberChange C) {
  switch (C) {
  case MemberChange::Started:
    return "started";
  case MemberChange::Done:
    return "done";
  case MemberChange::NotLeader:
    return "not_leader";
  case MemberChange::Busy:
    return "busy";
  case MemberChange::Unseen:
    return "unseen";
  case MemberChange::Refused:
    return "refused";
  }
  return "unknown";
}

MemberChange addMember(ReplicaState &S, const HostId &Host, TimePoint Now,
                       ReplicaEffects &E) {
  if (S.Role != ReplicaRole::Leader || S.Halted != Code::Ok)
    return MemberChange::NotLeader;
  if (replica::findMember(members(S), Host) != nullptr)
    return MemberChange::Done;
  const SeenDisk *Disk = replica::findSeen(S, Host);
  if (Disk == nullptr || !replica::isFresh(S, *Disk, Now))
    return MemberChange::Unseen;
  if (!replica::canBecomeLearner(S, *Disk))
    return MemberChange::Refused;
  if (!replica::canChangeMembers(S))
    return MemberChange::Busy;
  VoterSet New = members(S);
  New.Members.push_back({Host, Disk->Incarnation, /*Learner=*/true});
  replica::decide(S, E, "add_member", "a membership change was requested")
      .add("member", Host.Value);
  replica::changeMembers(S, std::move(New), Now);
  flush(S, Now, E);
  return MemberChange::Started;
}

MemberChange removeMember(ReplicaState &S, const HostId &Host, TimePoint Now,
                          ReplicaEffects &E) {
  if (S.Role != ReplicaRole::Leader || S.Halted != Code::Ok)
    return MemberChange::NotLeader;
  if (replica::findMember(members(S), Host) == nullptr)
    return MemberChange::Done;
  VoterSet New = members(S);
  replica::retire(New, Host);
  if (replica::majority(New) == 0)
    return MemberChange::Refused;
  if (!replica::canChangeMembers(S))
    return MemberChange::Busy;
  replica::decide(S, E, "remove_member", "a membership change was requested")
      .add("member", Host.Value);
  replica::changeMembers(S, std::move(New), Now);
  flush(S, Now, E);
  return MemberChange::Started;
}

} // namespace pimento
