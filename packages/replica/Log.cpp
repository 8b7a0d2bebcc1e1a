#include "replica/Internal.h"

#include <algorithm>

namespace pimento::replica {

std::uint64_t lastIndex(const ReplicaState &S) {
  return S.Log.empty() ? S.Base.Index : S.Log.back().Index;
}

std::uint64_t lastTerm(const ReplicaState &S) {
  return S.Log.empty() ? S.Base.Term : S.Log.back().Term;
}

bool holdsEntry(const ReplicaState &S, std::uint64_t Index) {
  return !S.Log.empty() && Index >= S.Log.front().Index &&
         Index <= S.Log.back().Index;
}

const LogEntry &entryAt(const ReplicaState &S, std::uint64_t Index) {
  return S.Log[Index - S.Log.front().Index];
}

std::optional<std::uint64_t> termAt(const ReplicaState &S,
                                    std::uint64_t Index) {
  if (Index == S.Base.Index)
    return S.Base.Term;
  if (holdsEntry(S, Index))
    return entryAt(S, Index).Term;
  return std::nullopt;
}

bool isEmpty(const ReplicaState &S) { return lastIndex(S) == 0; }

void append(ReplicaState &S, LogEntry Entry) {
  if (S.DirtyFrom == 0)
    S.DirtyFrom = Entry.Index;
  if (Entry.Kind == EntryKind::Voters) {
    if (auto Voters = decodeVoters(Entry.Payload.Data))
      S.History.push_back({Entry.Index, *Voters});
  }
  S.Log.push_back(std::move(Entry));
}

void truncateFrom(ReplicaState &S, std::uint64_t Index) {
  while (!S.Log.empty() && S.Log.back().Index >= Index)
    S.Log.pop_back();
  while (S.History.size() > 1 && S.History.back().Index >= Index)
    S.History.pop_back();
  if (S.DirtyFrom == 0 || S.DirtyFrom > Index)
    S.DirtyFrom = Index;
  S.Synced = std::min(S.Synced, Index - 1);
  S.InFlight.LastIndex = std::min(S.InFlight.LastIndex, Index - 1);
}

void rebase(ReplicaState &S, Snapshot New, std::uint64_t Keep) {
  std::uint64_t Index = New.Index;
  VotersAt First = {Index, New.Voters};
  if (termAt(S, Index) != New.Term) {
    S.Log.clear();
    S.History.clear();
    S.ResetDirty = true;
    S.DirtyFrom = 0;
    S.Synced = std::min(S.Synced, S.Base.Index);
    S.InFlight.LastIndex = std::min(S.InFlight.LastIndex, S.Base.Index);
  }
  while (!S.Log.empty() && S.Log.front().Index + Keep <= Index)
    S.Log.pop_front();
  auto IsOld = [&](const VotersAt &V) { return V.Index <= Index; };
  S.History.erase(std::remove_if(S.History.begin(), S.History.end(), IsOld),
                  S.History.end());
  S.History.insert(S.History.begin(), std::move(First));
  S.Base = std::move(New);
  S.SnapshotDirty = true;
  S.SnapshotWanted = false;
}

const VoterSet &membersAt(const ReplicaState &S, std::uint64_t Index) {
  const VoterSet *Found = &S.History.front().Voters;
  for (const VotersAt &V : S.History) {
    if (V.Index <= Index)
      Found = &V.Voters;
  }
  return *Found;
}

void apply(ReplicaState &S, ReplicaEffects &E) {
  while (S.Applied < S.Commit) {
    const LogEntry &Entry = entryAt(S, ++S.Applied);
    S.PendingBytes -= std::min(S.PendingBytes, Entry.Payload.Data.size());
    E.Committed.push_back(Entry);
  }
  if (!S.SnapshotWanted &&
      S.Applied - S.Base.Index >= S.Config.SnapshotEntries) {
    S.SnapshotWanted = true;
    E.WantSnapshot = true;
  }
}

namespace {

bool isDirty(const ReplicaState &S) {
  return S.HardDirty || S.SnapshotDirty || S.DirtyFrom != 0;
}

} // namespace

void startWrite(ReplicaState &S, ReplicaEffects &E) {
  if (S.InFlight.Ticket != 0 || !isDirty(S))
    return;
  DiskWrite W;
  W.Group = S.Config.Group;
  W.Ticket = S.NextTicket++;
  if (S.HardDirty)
    W.Hard = S.Hard;
  if (S.SnapshotDirty)
    W.NewSnapshot = S.Base;
  W.ResetLog = S.ResetDirty;
  if (S.DirtyFrom != 0) {
    std::uint64_t First = std::max(S.DirtyFrom, S.Base.Index + 1);
    for (std::uint64_t I = First; I <= lastIndex(S); ++I)
      W.Entries.push_back(entryAt(S, I));
  }
  S.InFlight = {W.Ticket, lastIndex(S), S.HardDirty};
  S.HardDirty = false;
  S.SnapshotDirty = false;
  S.ResetDirty = false;
  S.DirtyFrom = 0;
  E.Writes.push_back(std::move(W));
}

std::uint64_t ticketForAll(const ReplicaState &S) {
  return isDirty(S) ? S.NextTicket : S.InFlight.Ticket;
}

std::uint64_t ticketForHard(const ReplicaState &S) {
  if (S.HardDirty)
    return S.NextTicket;
  return S.InFlight.HasHardState ? S.InFlight.Ticket : 0;
}

void sendAfter(ReplicaState &S, std::uint64_t Ticket, const HostId &To,
               Message M, ReplicaEffects &E) {
  if (Ticket == 0) {
    send(E, To, std::move(M));
    return;
  }
  S.HeldMessages.push_back({Ticket, {To, std::move(M)}});
}

void releaseHeld(ReplicaState &S, std::uint64_t Ticket, ReplicaEffects &E) {
  std::vector<HeldMessage> Waiting;
  for (HeldMessage &Held : S.HeldMessages) {
    if (Held.Ticket > Ticket) {
      Waiting.push_back(std::move(Held));
      continue;
    }
    E.Messages.push_back(std::move(Held.Content));
  }
  S.HeldMessages = std::move(Waiting);
}

} // namespace pimento::replica
