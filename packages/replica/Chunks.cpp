#include "replica/Internal.h"
#include "storage/Checksum.h"

#include <algorithm>

namespace pimento::replica {

//===----------------------------------------------------------------------===//
// Leader
//===----------------------------------------------------------------------===//

namespace {

void startSending(const ReplicaState &S, MemberProgress &P, ReplicaEffects &E) {
  P.SendingSnapshot = true;
  P.OutgoingSnapshot = S.Base;
  P.Checksum = checksum(*P.OutgoingSnapshot.Data);
  P.ChunkOffset = 0;
  P.Window = 0;
  decide(S, E, "send_snapshot",
         "the log no longer holds the member's next entry")
      .add("member", P.Host.Value)
      .add("index", static_cast<std::int64_t>(P.OutgoingSnapshot.Index))
      .add("bytes", static_cast<std::int64_t>(P.OutgoingSnapshot.Data->size()));
}

} // namespace

void sendChunk(ReplicaState &S, MemberProgress &P, bool WithData, TimePoint Now,
               ReplicaEffects &E) {
  bool Outdated = P.ChunkOffset == 0 && P.OutgoingSnapshot.Index < S.Base.Index;
  if (!P.SendingSnapshot || Outdated)
    startSending(S, P, E);
  SnapshotChunk M;
  M.Header = header(S, P.Incarnation);
  M.SentAt = Now.time_since_epoch();
  M.Index = P.OutgoingSnapshot.Index;
  M.LastTerm = P.OutgoingSnapshot.Term;
  M.Voters = P.OutgoingSnapshot.Voters;
  M.Size = P.OutgoingSnapshot.Data->size();
  M.Checksum = P.Checksum;
  M.Offset = P.ChunkOffset;
  if (WithData) {
    M.Data.Data =
        P.OutgoingSnapshot.Data->substr(P.ChunkOffset, S.Config.ChunkBytes);
    P.Window = 1;
    P.LastSent = Now;
  }
  send(E, P.Host, std::move(M));
}

void onSnapshotReply(ReplicaState &S, const HostId &From,
                     const SnapshotReply &M, TimePoint Now, ReplicaEffects &E) {
  MemberProgress *P = acceptReply(S, From, M.Header, M.SentAt, Now, E);
  if (P == nullptr)
    return;
  if (!P->SendingSnapshot || M.Index != P->OutgoingSnapshot.Index ||
      M.Checksum != P->Checksum)
    return;
  if (!M.Installed) {
    bool OffsetChanged = M.Received != P->ChunkOffset;
    P->ChunkOffset =
        std::min<std::uint64_t>(M.Received, P->OutgoingSnapshot.Data->size());
    // The last chunk is acknowledged a second time once the snapshot is synced.
    if (OffsetChanged && P->ChunkOffset < P->OutgoingSnapshot.Data->size())
      sendChunk(S, *P, /*WithData=*/true, Now, E);
    return;
  }
  P->SendingSnapshot = false;
  P->Match = std::max(P->Match, M.Index);
  P->Next = P->Match + 1;
  P->OutgoingSnapshot = Snapshot();
  P->Window = 0;
  P->Probing = true;
  markDisk(S, From, M.Header.Incarnation, M.Header.Start, S.Hard.Term,
           P->Match);
  replicate(S, *P, /*Heartbeat=*/false, Now, E);
}

//===----------------------------------------------------------------------===//
// Followers
//===----------------------------------------------------------------------===//

namespace {

bool isSameSnapshot(const PartialSnapshot &Partial, const SnapshotChunk &M) {
  return Partial.Index == M.Index && Partial.Checksum == M.Checksum &&
         Partial.Size == M.Size;
}

/// Appends the chunk if it is the next one; starts over for another snapshot.
void appendChunk(ReplicaState &S, const SnapshotChunk &M) {
  PartialSnapshot &Partial = S.Incoming;
  if (!isSameSnapshot(Partial, M))
    Partial = {M.Index, M.Checksum, M.Size, ""};
  if (M.Offset != Partial.Data.size() ||
      M.Data.Data.size() > M.Size - Partial.Data.size())
    return;
  Partial.Data += M.Data.Data;
}

void install(ReplicaState &S, const SnapshotChunk &M, ReplicaEffects &E) {
  Snapshot New;
  New.Index = M.Index;
  New.Term = M.LastTerm;
  New.Voters = M.Voters;
  New.Data = std::make_shared<const std::string>(std::move(S.Incoming.Data));
  S.Incoming = PartialSnapshot();
  rebase(S, std::move(New), /*Keep=*/0);
  S.Commit = M.Index;
  S.Applied = M.Index;
  E.Committed.clear();
  E.Install = S.Base;
  decide(S, E, "install_snapshot", "this log was too far behind the leader's")
      .add("index", static_cast<std::int64_t>(M.Index))
      .add("bytes", static_cast<std::int64_t>(M.Size));
}

} // namespace

void onSnapshotChunk(ReplicaState &S, const HostId &From,
                     const SnapshotChunk &M, TimePoint Now, ReplicaEffects &E) {
  if (!S.Admitted || M.Index == 0 || M.Size > S.Config.SnapshotBytes ||
      M.LastTerm > M.Header.Term)
    return;
  SnapshotReply Reply;
  Reply.SentAt = M.SentAt;
  Reply.Index = M.Index;
  Reply.Checksum = M.Checksum;
  if (M.Header.Term < S.Hard.Term) {
    Reply.Header = header(S);
    sendAfter(S, ticketForHard(S), From, Reply, E);
    return;
  }
  becomeFollower(S, M.Header.Term, Now, "another host leads in a newer term",
                 E);
  onLeaderContact(S, From, Now, E);
  Reply.Header = header(S);
  if (M.Index <= S.Commit) {
    Reply.Installed = true;
    sendAfter(S, ticketForAll(S), From, Reply, E);
    return;
  }
  appendChunk(S, M);
  Reply.Received = S.Incoming.Data.size();
  bool Complete = Reply.Received == M.Size;
  if (Complete && checksum(S.Incoming.Data) != M.Checksum) {
    S.Incoming = PartialSnapshot();
    Reply.Received = 0;
    Complete = false;
  }
  if (Complete) {
    install(S, M, E);
    Reply.Installed = true;
  }
  sendAfter(S, Complete ? ticketForAll(S) : ticketForHard(S), From, Reply, E);
}

} // namespace pimento::replica
