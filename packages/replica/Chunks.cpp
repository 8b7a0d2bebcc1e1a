#include "replica/Internal.h"
#include "storage/Checksum.h"

#include <algorithm>

namespace pimento::replica {

//===----------------------------------------------------------------------===//
// The leader
//===----------------------------------------------------------------------===//

namespace {

void startSending(const ReplicaState &S, MemberProgress &P, ReplicaEffects &E) {
  P.Snapshotting = true;
  P.Sending = S.Base;
  P.Checksum = checksum(*P.Sending.Data);
  P.ChunkOffset = 0;
  P.Window = 0;
  decide(S, E, "send_snapshot", "the member's next entry is dropped here")
      .add("member", P.Host.Value)
      .add("index", static_cast<std::int64_t>(P.Sending.Index))
      .add("bytes", static_cast<std::int64_t>(P.Sending.Data->size()));
}

} // namespace

void sendChunk(ReplicaState &S, MemberProgress &P, bool WithData, TimePoint Now,
               ReplicaEffects &E) {
  bool Outdated = P.ChunkOffset == 0 && P.Sending.Index < S.Base.Index;
  if (!P.Snapshotting || Outdated)
    startSending(S, P, E);
  SnapshotChunk M;
  M.Header = header(S, P.Incarnation);
  M.SentAt = Now.time_since_epoch();
  M.Index = P.Sending.Index;
  M.LastTerm = P.Sending.Term;
  M.Voters = P.Sending.Voters;
  M.Size = P.Sending.Data->size();
  M.Checksum = P.Checksum;
  M.Offset = P.ChunkOffset;
  if (WithData) {
    M.Data.Data = P.Sending.Data->substr(P.ChunkOffset, S.Config.ChunkBytes);
    P.Window = 1;
    P.LastSent = Now;
  }
  send(E, P.Host, std::move(M));
}

void onSnapshotReply(ReplicaState &S, const HostId &From,
                     const SnapshotReply &M, TimePoint Now, ReplicaEffects &E) {
  if (M.Header.Term > S.Hard.Term) {
    becomeFollower(S, M.Header.Term, Now, "a member has a newer term", E);
    return;
  }
  MemberProgress *P = findProgress(S, From, M.Header.Incarnation);
  if (S.Role != ReplicaRole::Leader || M.Header.Term != S.Hard.Term ||
      P == nullptr)
    return;
  confirm(*P, M.Header, M.SentAt, Now);
  if (!P->Snapshotting || M.Index != P->Sending.Index ||
      M.Checksum != P->Checksum)
    return;
  if (!M.Installed) {
    bool Moved = M.Received != P->ChunkOffset;
    P->ChunkOffset =
        std::min<std::uint64_t>(M.Received, P->Sending.Data->size());
    // The last piece is answered again once the snapshot is synced.
    if (Moved && P->ChunkOffset < P->Sending.Data->size())
      sendChunk(S, *P, /*WithData=*/true, Now, E);
    return;
  }
  P->Snapshotting = false;
  P->Match = std::max(P->Match, M.Index);
  P->Next = P->Match + 1;
  P->Sending = Snapshot();
  P->Window = 0;
  P->Probing = true;
  markDisk(S, From, M.Header.Incarnation, M.Header.Start, S.Hard.Term,
           P->Match);
  replicate(S, *P, /*Heartbeat=*/false, Now, E);
}

//===----------------------------------------------------------------------===//
// The followers
//===----------------------------------------------------------------------===//

namespace {

bool isSameSnapshot(const PartialSnapshot &Partial, const SnapshotChunk &M) {
  return Partial.Index == M.Index && Partial.Checksum == M.Checksum &&
         Partial.Size == M.Size;
}

/// Takes the piece in where it is the next one.
void takePiece(ReplicaState &S, const SnapshotChunk &M) {
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
  decide(S, E, "install_snapshot", "the log was too far behind")
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
  becomeFollower(S, M.Header.Term, Now, "another leads in a newer term", E);
  heardLeader(S, From, Now, E);
  Reply.Header = header(S);
  if (M.Index <= S.Commit) {
    Reply.Installed = true;
    sendAfter(S, ticketForAll(S), From, Reply, E);
    return;
  }
  takePiece(S, M);
  Reply.Received = S.Incoming.Data.size();
  bool Whole = Reply.Received == M.Size;
  if (Whole && checksum(S.Incoming.Data) != M.Checksum) {
    S.Incoming = PartialSnapshot();
    Reply.Received = 0;
    Whole = false;
  }
  if (Whole) {
    install(S, M, E);
    Reply.Installed = true;
  }
  sendAfter(S, Whole ? ticketForAll(S) : ticketForHard(S), From, Reply, E);
}

} // namespace pimento::replica
