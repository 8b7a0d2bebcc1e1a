#include "replica/Internal.h"

#include <algorithm>

namespace pimento::replica {

//===----------------------------------------------------------------------===//
// Leader
//===----------------------------------------------------------------------===//

namespace {

/// Heartbeat intervals without a reply after which messages in flight count as
/// lost.
constexpr int LostMessageHeartbeats = 3;

/// Heartbeat intervals between messages with AppendRequest::Synced.
constexpr int MarkIntervalHeartbeats = 10;

AppendRequest appendRequest(const ReplicaState &S, const MemberProgress &P,
                            TimePoint Now) {
  AppendRequest M;
  M.Header = header(S, P.Incarnation);
  M.PrevIndex = P.Next - 1;
  M.PrevTerm = termAt(S, M.PrevIndex).value_or(0);
  M.Commit = S.Commit;
  M.SentAt = Now.time_since_epoch();
  return M;
}

/// Adds from time to time what the members have synced, so that the receiver
/// can check their disks when they start again.
void addMarks(const ReplicaState &S, MemberProgress &To, TimePoint Now,
              AppendRequest &M) {
  if (Now < To.MarksSent + S.Config.HeartbeatInterval * MarkIntervalHeartbeats)
    return;
  To.MarksSent = Now;
  M.VotersIndex = S.History.back().Index;
  for (const Member &Who : members(S).Members) {
    SyncedUpTo Mark;
    if (Who.Host == S.Config.Self)
      Mark = {S.Config.Start, S.Synced};
    for (const MemberProgress &P : S.Progress) {
      if (P.Host == Who.Host && P.Incarnation == Who.Incarnation)
        Mark = {P.Start, P.Match};
    }
    M.Synced.push_back(Mark);
  }
}

/// Adds the entries after PrevIndex up to the limits of a message.
void fillEntries(const ReplicaState &S, AppendRequest &M) {
  std::size_t Bytes = 0;
  for (std::uint64_t I = M.PrevIndex + 1; I <= lastIndex(S); ++I) {
    const LogEntry &Entry = entryAt(S, I);
    Bytes += Entry.Payload.Data.size();
    if (!M.Entries.empty() && (Bytes > S.Config.BatchBytes ||
                               M.Entries.size() >= S.Config.BatchEntries))
      return;
    M.Entries.push_back(Entry);
  }
}

/// Treats the messages in flight as lost if the reply is overdue, and resends
/// from the last confirmed entry.
void expireWindow(const ReplicaState &S, MemberProgress &P, TimePoint Now) {
  Duration Limit = S.Config.HeartbeatInterval * LostMessageHeartbeats;
  TimePoint Since = P.LastSent;
  if (!P.SendingSnapshot)
    Since = std::max(Since, P.LastReply);
  if (P.Window == 0 || Now < Since + Limit)
    return;
  P.Window = 0;
  P.Next = P.Match + 1;
  P.Probing = true;
}

void replicateSnapshot(ReplicaState &S, MemberProgress &P, bool Heartbeat,
                       TimePoint Now, ReplicaEffects &E) {
  bool WithData = !P.SendingSnapshot || P.Window == 0;
  if (WithData || Heartbeat)
    sendChunk(S, P, WithData, Now, E);
}

void sendEntries(ReplicaState &S, MemberProgress &P, TimePoint Now,
                 ReplicaEffects &E) {
  AppendRequest M = appendRequest(S, P, Now);
  addMarks(S, P, Now, M);
  fillEntries(S, M);
  if (!M.Entries.empty()) {
    ++P.Window;
    P.LastSent = Now;
    if (!P.Probing)
      P.Next = M.Entries.back().Index + 1;
  }
  send(E, P.Host, std::move(M));
}

bool windowOpen(const ReplicaState &S, const MemberProgress &P) {
  return P.Window < (P.Probing ? 1 : S.Config.WindowMessages);
}

/// Records that the member answered a request that was sent at \p SentAt.
void confirm(MemberProgress &P, const ReplicaHeader &H, Duration SentAt,
             TimePoint Now) {
  TimePoint Sent(SentAt);
  P.Start = std::max(P.Start, H.Start);
  P.LastReply = Now;
  if (Sent <= Now)
    P.ConfirmedAt = std::max(P.ConfirmedAt, Sent);
}

} // namespace

MemberProgress *findProgress(ReplicaState &S, const HostId &Host,
                             IncarnationNumber Incarnation) {
  for (MemberProgress &P : S.Progress) {
    if (P.Host == Host && P.Incarnation == Incarnation)
      return &P;
  }
  return nullptr;
}

MemberProgress *acceptReply(ReplicaState &S, const HostId &From,
                            const ReplicaHeader &Header, Duration SentAt,
                            TimePoint Now, ReplicaEffects &E) {
  if (Header.Term > S.Hard.Term) {
    becomeFollower(S, Header.Term, Now, "a member has a newer term", E);
    return nullptr;
  }
  MemberProgress *P = findProgress(S, From, Header.Incarnation);
  if (S.Role != ReplicaRole::Leader || Header.Term != S.Hard.Term ||
      P == nullptr)
    return nullptr;
  confirm(*P, Header, SentAt, Now);
  return P;
}

void replicate(ReplicaState &S, MemberProgress &P, bool Heartbeat,
               TimePoint Now, ReplicaEffects &E) {
  if (Heartbeat)
    expireWindow(S, P, Now);
  if (P.SendingSnapshot || !termAt(S, P.Next - 1)) {
    replicateSnapshot(S, P, Heartbeat, Now, E);
    return;
  }
  bool Sent = false;
  while (P.Next <= lastIndex(S) && windowOpen(S, P)) {
    sendEntries(S, P, Now, E);
    Sent = true;
  }
  if (!Heartbeat || Sent)
    return;
  AppendRequest M = appendRequest(S, P, Now);
  addMarks(S, P, Now, M);
  send(E, P.Host, std::move(M));
}

void replicateAll(ReplicaState &S, bool Heartbeat, TimePoint Now,
                  ReplicaEffects &E) {
  for (MemberProgress &P : S.Progress)
    replicate(S, P, Heartbeat, Now, E);
}

void advanceCommit(ReplicaState &S, TimePoint Now, ReplicaEffects &E) {
  const VoterSet &Voters = members(S);
  std::vector<std::uint64_t> Synced;
  if (isSelfVoter(S))
    Synced.push_back(S.Synced);
  for (const MemberProgress &P : S.Progress) {
    if (isVoter(Voters, P.Host, P.Incarnation))
      Synced.push_back(P.Match);
  }
  std::size_t Needed = majority(Voters);
  if (Needed == 0 || Synced.size() < Needed)
    return;
  std::sort(Synced.rbegin(), Synced.rend());
  std::uint64_t Index = Synced[Needed - 1];
  // An entry of an earlier term is committed only together with a later entry
  // of this term.
  if (Index <= S.Commit || termAt(S, Index) != S.Hard.Term)
    return;
  S.Commit = Index;
  apply(S, E);
  bool IsRemoved = S.Commit >= S.History.back().Index && !isSelfVoter(S);
  if (IsRemoved)
    becomeFollower(S, S.Hard.Term, Now, "removed from the voters", E);
}

void onAppendReply(ReplicaState &S, const HostId &From, const AppendReply &M,
                   TimePoint Now, ReplicaEffects &E) {
  MemberProgress *P = acceptReply(S, From, M.Header, M.SentAt, Now, E);
  if (P == nullptr)
    return;
  if (M.Accepted) {
    if (M.Match > lastIndex(S))
      return;
    P->Probing = false;
    P->Window -= P->Window > 0 ? 1 : 0;
    P->Match = std::max(P->Match, M.Match);
    P->Next = std::max(P->Next, P->Match + 1);
    markDisk(S, From, M.Header.Incarnation, M.Header.Start, S.Hard.Term,
             M.Match);
    advanceCommit(S, Now, E);
  } else if (M.PrevIndex > P->Match && !P->SendingSnapshot) {
    std::uint64_t Guess = std::min(M.Hint, M.PrevIndex - 1);
    P->Next = std::max(P->Match, Guess) + 1;
    P->Probing = true;
    P->Window = 0;
  }
  if (S.Role != ReplicaRole::Leader)
    return;
  continueTransfer(S, Now, E);
  if (MemberProgress *Current = findProgress(S, From, M.Header.Incarnation))
    replicate(S, *Current, /*Heartbeat=*/false, Now, E);
}

//===----------------------------------------------------------------------===//
// Followers
//===----------------------------------------------------------------------===//

namespace {

AppendReply appendReply(const ReplicaState &S, const AppendRequest &M) {
  AppendReply Reply;
  Reply.Header = header(S);
  Reply.SentAt = M.SentAt;
  Reply.PrevIndex = M.PrevIndex;
  return Reply;
}

/// Whether the entries are consecutive and decodable.
bool isWellFormed(const AppendRequest &M) {
  std::uint64_t Index = M.PrevIndex;
  std::uint64_t Term = M.PrevTerm;
  for (const LogEntry &Entry : M.Entries) {
    if (Entry.Index != ++Index || Entry.Term < Term ||
        Entry.Term > M.Header.Term || Entry.Kind > EntryKind::Voters)
      return false;
    Term = Entry.Term;
    if (Entry.Kind == EntryKind::Voters && !decodeVoters(Entry.Payload.Data))
      return false;
  }
  return true;
}

/// The last index at which the logs may be equal, given that they differ at
/// \p Prev.
std::uint64_t conflictHint(const ReplicaState &S, std::uint64_t Prev) {
  std::uint64_t Index = std::min(Prev, lastIndex(S) + 1);
  auto Differing = termAt(S, Index);
  while (Index > S.Commit + 1 && Differing && termAt(S, Index - 1) == Differing)
    --Index;
  return Index - 1;
}

/// Appends the entries that are new, and replaces conflicting ones; false if
/// one contradicts a committed entry.
bool appendEntries(ReplicaState &S, const AppendRequest &M) {
  for (const LogEntry &Entry : M.Entries) {
    if (Entry.Index <= S.Base.Index || termAt(S, Entry.Index) == Entry.Term)
      continue;
    if (Entry.Index <= S.Commit)
      return false;
    if (Entry.Index <= lastIndex(S))
      truncateFrom(S, Entry.Index);
    append(S, Entry);
  }
  return true;
}

/// Records what the other members have synced according to the leader.
void recordMarks(ReplicaState &S, const AppendRequest &M) {
  const VotersAt &CurrentVoters = S.History.back();
  if (CurrentVoters.Index != M.VotersIndex ||
      CurrentVoters.Voters.Members.size() != M.Synced.size())
    return;
  for (std::size_t I = 0; I < M.Synced.size(); ++I) {
    const Member &Who = CurrentVoters.Voters.Members[I];
    if (Who.Host != S.Config.Self && M.Synced[I].Index != 0)
      markDisk(S, Who.Host, Who.Incarnation, M.Synced[I].Start, M.Header.Term,
               M.Synced[I].Index);
  }
}

} // namespace

void onAppendRequest(ReplicaState &S, const HostId &From,
                     const AppendRequest &M, TimePoint Now, ReplicaEffects &E) {
  if (!S.Admitted || !isWellFormed(M))
    return;
  AppendReply Reply = appendReply(S, M);
  if (M.Header.Term < S.Hard.Term) {
    sendAfter(S, ticketForHard(S), From, Reply, E);
    return;
  }
  becomeFollower(S, M.Header.Term, Now, "another host leads in a newer term",
                 E);
  onLeaderContact(S, From, Now, E);
  Reply.Header = header(S);
  bool PrevMatches =
      M.PrevIndex < S.Base.Index || termAt(S, M.PrevIndex) == M.PrevTerm;
  if (!PrevMatches) {
    Reply.Hint = conflictHint(S, M.PrevIndex);
    sendAfter(S, ticketForHard(S), From, Reply, E);
    return;
  }
  if (!appendEntries(S, M)) {
    halt(S, Code::StorageCorrupt,
         "an entry of the leader contradicts a committed entry", E);
    return;
  }
  recordMarks(S, M);
  std::uint64_t Verified =
      std::max(S.Base.Index, M.PrevIndex + M.Entries.size());
  S.Commit = std::max(S.Commit, std::min(M.Commit, Verified));
  apply(S, E);
  Reply.Accepted = true;
  bool HasEntries = !M.Entries.empty();
  Reply.Match = HasEntries ? Verified : std::min(Verified, S.Synced);
  sendAfter(S, HasEntries ? ticketForAll(S) : ticketForHard(S), From, Reply, E);
}

} // namespace pimento::replica
