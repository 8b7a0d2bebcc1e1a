#include "calls/ClaimLeader.h"

#include "calls/ClaimsInternal.h"

#include <algorithm>

namespace pimento::calls {

namespace {

constexpr Duration SweepInterval = milliseconds(500);
constexpr Duration WaiterTime = seconds(30); // Waiters are dropped after this
                                             // long without a repeat.

struct LeaderContext {
  ClaimLeader &L;
  const ClaimsState &Applied;
  TimePoint Now;
  ClaimEffects &Out;
};

const ClaimRecord *findRecord(const LeaderContext &C, const ClaimKey &Key) {
  auto Found = C.Applied.Records.find(Key);
  return Found == C.Applied.Records.end() ? nullptr : &Found->second;
}

bool isLive(const ClaimRecord &Record) {
  return Record.Phase == ClaimPhase::Waiting ||
         Record.Phase == ClaimPhase::Turn;
}

/// The send lease, extended by the largest clock drift. After this time on the
/// leader's clock, the lease has expired on any entry host's clock.
Duration leaseWithDrift(const ClaimLeader &L) {
  auto Drift = static_cast<std::int64_t>(L.Settings.DriftPerMille);
  return L.Settings.SendLease * (1000 + Drift) / 1000;
}

void decide(LeaderContext &C, const RequestId &Id, std::string Reason,
            const HostId &Host) {
  DecisionRecord Record;
  Record.Kind = "claim";
  Record.Request = Id;
  Record.Reason = std::move(Reason);
  Record.add("host", Host.Value)
      .add("pending", static_cast<std::int64_t>(C.L.Pending.size()))
      .add("in_flight", static_cast<std::int64_t>(C.L.InFlight.size()));
  C.Out.Decisions.push_back(std::move(Record));
}

//===----------------------------------------------------------------------===//
// Proposals
//===----------------------------------------------------------------------===//

Duration clockNow(const LeaderContext &C) {
  return C.L.ClockBase + (C.Now - C.L.Since);
}

ClaimBatch takeBatch(LeaderContext &C) {
  ClaimBatch Batch;
  Batch.Clock = clockNow(C);
  std::size_t Bytes = 0;
  while (!C.L.Pending.empty() &&
         Batch.Commands.size() < C.L.Settings.BatchCommands &&
         Bytes < C.L.Settings.BatchBytes) {
    Bytes += C.L.Pending.front().Body.Data.size();
    Batch.Commands.push_back(std::move(C.L.Pending.front()));
    C.L.Pending.pop_front();
  }
  return Batch;
}

void propose(LeaderContext &C) {
  ClaimBatch Batch = takeBatch(C);
  C.Out.Samples.push_back({SampleKind::Distribution,
                           "pimento_claim_batch_commands",
                           {},
                           static_cast<double>(Batch.Commands.size())});
  std::uint64_t Ticket = C.L.NextTicket++;
  C.L.InFlight[Ticket] = C.Now;
  C.L.LastProposal = C.Now;
  C.Out.List.emplace_back(ProposeClaims{Ticket, encodeBatch(Batch)});
}

/// Proposes pending commands up to EntriesInFlight. Commands that arrive while
/// the limit is reached are collected into larger batches.
void flush(LeaderContext &C) {
  while (!C.L.Pending.empty() &&
         C.L.InFlight.size() < C.L.Settings.EntriesInFlight)
    propose(C);
}

void proposeTurn(LeaderContext &C, const ClaimKey &Key, ClaimWaiter &Waiter) {
  if (Waiter.Proposed)
    return;
  Waiter.Proposed = true;
  C.L.Pending.push_back(turnCommand(Key, Waiter.Last.Request));
}

void proposeClaim(LeaderContext &C, const ClaimKey &Key, ClaimWaiter &Waiter) {
  // Without room the request stays unanswered and is repeated. It can't be
  // refused, because only a log entry can show that the key was not used.
  if (Waiter.Proposed || C.L.Pending.size() >= C.L.Settings.PendingCommands)
    return;
  Waiter.Proposed = true;
  C.L.Pending.push_back(claimCommand(Key, Waiter.Host, Waiter.Last));
}

void proposeLost(LeaderContext &C, const ClaimKey &Key,
                 const ClaimRecord &Record, const char *Why) {
  if (!C.L.ProposedLost.insert(Record.Owner).second)
    return;
  C.L.Pending.push_back(lostCommand(Key, Record.Owner));
  decide(C, Record.Owner, Why, Record.Host);
}

//===----------------------------------------------------------------------===//
// Replies
//===----------------------------------------------------------------------===//

void reply(LeaderContext &C, const ClaimWaiter &Waiter, ClaimReply Content) {
  Content.Request = Waiter.Last.Request;
  Content.Key = Waiter.Last.Key;
  C.Out.List.emplace_back(SendClaimReply{Waiter.Host, std::move(Content)});
}

void replyState(LeaderContext &C, const ClaimWaiter &Waiter, ClaimState State,
                Code Reason = Code::Ok) {
  ClaimReply Content;
  Content.State = State;
  Content.Reason = Reason;
  reply(C, Waiter, std::move(Content));
}

void replyWaiting(LeaderContext &C, const ClaimWaiter &Waiter, bool Joined) {
  ClaimReply Content;
  Content.State = ClaimState::Waiting;
  Content.Joined = Joined;
  reply(C, Waiter, std::move(Content));
}

void replyGranted(LeaderContext &C, const ClaimWaiter &Waiter,
                  std::uint64_t Sequence) {
  ClaimReply Content;
  Content.State = ClaimState::Granted;
  Content.Sequence = Sequence;
  Content.Lease = C.L.Settings.SendLease;
  reply(C, Waiter, std::move(Content));
}

void replyEnded(LeaderContext &C, const ClaimWaiter &Waiter,
                const ClaimRecord &Record) {
  if (Record.Phase == ClaimPhase::Unknown) {
    replyState(C, Waiter, ClaimState::Unknown);
    return;
  }
  ClaimReply Content;
  Content.State = ClaimState::Recorded;
  Content.Status = Record.Status;
  Content.ContentType = Record.ContentType;
  Content.Body = Record.Body;
  Content.Truncated = Record.Truncated;
  reply(C, Waiter, std::move(Content));
}

void eraseWaiter(ClaimLeader &L, const ClaimKey &Key, const RequestId &Id) {
  auto Found = L.Waiters.find(Key);
  if (Found == L.Waiters.end())
    return;
  Found->second.erase(Id);
  if (Found->second.empty())
    L.Waiters.erase(Found);
}

ClaimWaiter *findWaiter(ClaimLeader &L, const ClaimKey &Key,
                        const RequestId &Id) {
  auto Found = L.Waiters.find(Key);
  if (Found == L.Waiters.end())
    return nullptr;
  auto Waiter = Found->second.find(Id);
  return Waiter == Found->second.end() ? nullptr : &Waiter->second;
}

//===----------------------------------------------------------------------===//
// Requests
//===----------------------------------------------------------------------===//

/// Handles a repeated claim request from the owner of a record.
void answerOwner(LeaderContext &C, const ClaimKey &Key,
                 const ClaimRecord &Record, ClaimWaiter &Waiter) {
  if (isLive(Record))
    C.L.OwnerLastSeen[Record.Owner] = C.Now;
  switch (Record.Phase) {
  case ClaimPhase::Waiting:
    replyWaiting(C, Waiter, /*Joined=*/false);
    return;
  case ClaimPhase::Turn:
    break;
  case ClaimPhase::Answered:
  case ClaimPhase::Unknown:
    replyEnded(C, Waiter, Record);
    eraseWaiter(C.L, Key, Record.Owner);
    return;
  case ClaimPhase::Released: // A late repeat, sent before the release.
    eraseWaiter(C.L, Key, Record.Owner);
    return;
  }
  if (Waiter.Last.Sent)
    return;
  auto Permit = C.L.SendPermits.find(Record.Owner);
  bool Fresh = Permit != C.L.SendPermits.end() &&
               Permit->second.Sequence != 0 && C.Now < Permit->second.Until;
  if (Fresh)
    replyGranted(C, Waiter, Permit->second.Sequence);
  // At the entry host the lease started with an earlier claim request and may
  // have expired; a new lease requires a new log entry.
  constexpr std::uint64_t RepeatsPerPermit = 2;
  if (!Fresh ||
      Waiter.Last.Sequence > Permit->second.Sequence + RepeatsPerPermit)
    proposeTurn(C, Key, Waiter);
}

/// Handles a claim request for a key whose record another request owns.
void answerOtherRequest(LeaderContext &C, const ClaimKey &Key,
                        const ClaimRecord &Record, ClaimWaiter &Waiter) {
  if (Record.Phase == ClaimPhase::Released) {
    proposeClaim(C, Key, Waiter);
    return;
  }
  RequestId Id = Waiter.Last.Request;
  if (Record.BodySha256 != Waiter.Last.BodySha256) {
    replyState(C, Waiter, ClaimState::OtherBody);
    eraseWaiter(C.L, Key, Id);
  } else if (isLive(Record)) {
    replyWaiting(C, Waiter, /*Joined=*/true);
  } else {
    replyEnded(C, Waiter, Record);
    eraseWaiter(C.L, Key, Id);
  }
}

void answerWaiter(LeaderContext &C, const ClaimKey &Key, ClaimWaiter &Waiter) {
  const ClaimRecord *Record = findRecord(C, Key);
  if (Record != nullptr && Record->Owner == Waiter.Last.Request) {
    answerOwner(C, Key, *Record, Waiter);
  } else if (Record != nullptr) {
    answerOtherRequest(C, Key, *Record, Waiter);
  } else if (C.Applied.UsedKeys.count(keyDigest(Key)) != 0) {
    replyState(C, Waiter, ClaimState::Expired);
    eraseWaiter(C.L, Key, RequestId(Waiter.Last.Request));
  } else {
    proposeClaim(C, Key, Waiter);
  }
}

/// Records the incarnation of a host. Returns false if the message is from an
/// earlier incarnation.
bool noteIncarnation(ClaimLeader &L, const HostId &Host,
                     IncarnationNumber Incarnation) {
  IncarnationNumber &Known = L.NewestIncarnations[Host];
  if (Incarnation < Known)
    return false;
  Known = Incarnation;
  L.DeadHosts.erase(Host);
  return true;
}

//===----------------------------------------------------------------------===//
// Applied entries
//===----------------------------------------------------------------------===//

/// Grants a send permit. The lease starts with a claim request that arrived
/// before the proposal, so that no later leader can have passed the turn to
/// another request within the lease.
void grantSendPermit(LeaderContext &C, const ClaimChange &Change,
                     TimePoint ProposedAt) {
  const ClaimRecord *Record = findRecord(C, Change.Key);
  bool HasTurn = Record != nullptr && Record->Owner == Change.Request &&
                 Record->Phase == ClaimPhase::Turn;
  if (!HasTurn)
    return; // The record ended in the same entry; its change follows.
  ClaimSendPermit &Permit = C.L.SendPermits[Change.Request];
  Permit.Sequence = 0;
  Permit.Until = C.Now + leaseWithDrift(C.L);
  ClaimWaiter *Waiter = findWaiter(C.L, Change.Key, Change.Request);
  if (Waiter == nullptr)
    return; // The entry host will repeat its claim request.
  if (Change.Command != ClaimCommandKind::Finish &&
      Change.Command != ClaimCommandKind::Lost)
    Waiter->Proposed = false;
  bool Citable = Waiter->ReceivedAt <= ProposedAt &&
                 C.Now < Waiter->ReceivedAt + C.L.Settings.SendLease;
  if (!Citable) {
    proposeTurn(C, Change.Key, *Waiter);
    return;
  }
  Permit.Sequence = Waiter->Last.Sequence;
  decide(C, Change.Request, "permit to send the call once was granted",
         Waiter->Host);
  replyGranted(C, *Waiter, Permit.Sequence);
}

void acknowledge(LeaderContext &C, const RequestId &Id) {
  auto Owed = C.L.Acks.find(Id);
  if (Owed == C.L.Acks.end())
    return;
  C.Out.List.emplace_back(SendClaimAck{Owed->second, {Id}});
  C.L.Acks.erase(Owed);
}

/// Replies to all requests that wait for this key.
void endWaiters(LeaderContext &C, const ClaimKey &Key) {
  const ClaimRecord *Record = findRecord(C, Key);
  auto Found = C.L.Waiters.find(Key);
  if (Record == nullptr || Found == C.L.Waiters.end())
    return;
  if (isLive(*Record))
    return; // The key was claimed again in the same entry; its change follows.
  std::vector<RequestId> Ended;
  for (auto &[Id, Waiter] : Found->second) {
    if (Record->Phase == ClaimPhase::Released) {
      if (Id == Record->Owner)
        Ended.push_back(Id);
      else
        proposeClaim(C, Key, Waiter);
      continue;
    }
    replyEnded(C, Waiter, *Record);
    Ended.push_back(Id);
  }
  for (const RequestId &Id : Ended)
    eraseWaiter(C.L, Key, Id);
}

void onEnded(LeaderContext &C, const ClaimChange &Change) {
  C.L.SendPermits.erase(Change.Request);
  C.L.OwnerLastSeen.erase(Change.Request);
  C.L.ProposedLost.erase(Change.Request);
  endWaiters(C, Change.Key);
}

void refuseWaiter(LeaderContext &C, const ClaimChange &Change, ClaimState State,
                  Code Reason) {
  ClaimWaiter *Waiter = findWaiter(C.L, Change.Key, Change.Request);
  if (Waiter == nullptr)
    return;
  decide(C, Change.Request, toString(Change.Outcome), Waiter->Host);
  replyState(C, *Waiter, State, Reason);
  eraseWaiter(C.L, Change.Key, Change.Request);
}

void onQueuedOrHeld(LeaderContext &C, const ClaimChange &Change) {
  ClaimWaiter *Waiter = findWaiter(C.L, Change.Key, Change.Request);
  if (Waiter == nullptr)
    return;
  Waiter->Proposed = false;
  answerWaiter(C, Change.Key, *Waiter);
}

void onChange(LeaderContext &C, const ClaimChange &Change,
              TimePoint ProposedAt) {
  switch (Change.Outcome) {
  case ClaimChange::Kind::Ignored:
    C.L.ProposedLost.erase(Change.Request);
    break;
  case ClaimChange::Kind::Queued:
  case ClaimChange::Kind::Held:
    onQueuedOrHeld(C, Change);
    break;
  case ClaimChange::Kind::Turn:
    grantSendPermit(C, Change, ProposedAt);
    break;
  case ClaimChange::Kind::Ended:
    onEnded(C, Change);
    break;
  case ClaimChange::Kind::Reused:
    refuseWaiter(C, Change, ClaimState::OtherBody, Code::Ok);
    break;
  case ClaimChange::Kind::Expired:
    refuseWaiter(C, Change, ClaimState::Expired, Code::Ok);
    break;
  case ClaimChange::Kind::Full:
    refuseWaiter(C, Change, ClaimState::Refused, Code::Overloaded);
    break;
  }
  bool IsFinal = Change.Outcome == ClaimChange::Kind::Ended ||
                 Change.Outcome == ClaimChange::Kind::Ignored;
  if (Change.Command == ClaimCommandKind::Finish && IsFinal)
    acknowledge(C, Change.Request);
}

//===----------------------------------------------------------------------===//
// Sweeps
//===----------------------------------------------------------------------===//

bool isHostGone(const ClaimLeader &L, const ClaimRecord &Record) {
  auto Incarnation = L.NewestIncarnations.find(Record.Host);
  return L.DeadHosts.count(Record.Host) != 0 ||
         (Incarnation != L.NewestIncarnations.end() &&
          Incarnation->second > Record.Incarnation);
}

bool isOwnerSilent(const LeaderContext &C, const ClaimRecord &Record) {
  Duration Limit = C.L.Settings.OwnerTimeout;
  if (clockNow(C) < Record.Deadline + Limit)
    return false;
  auto LastSeen = C.L.OwnerLastSeen.find(Record.Owner);
  TimePoint Last = LastSeen == C.L.OwnerLastSeen.end()
                       ? C.L.Since
                       : std::max(LastSeen->second, C.L.Since);
  return C.Now - Last >= Limit;
}

/// Whether the send lease has expired, so that the entry host can't begin to
/// send the call.
bool leaseExpired(const LeaderContext &C, const ClaimRecord &Record) {
  auto Permit = C.L.SendPermits.find(Record.Owner);
  TimePoint Until = C.L.Since + leaseWithDrift(C.L);
  if (Permit != C.L.SendPermits.end())
    Until = std::max(Until, Permit->second.Until);
  return C.Now >= Until;
}

void sweepRecord(LeaderContext &C, const ClaimKey &Key) {
  const ClaimRecord &Record = C.Applied.Records.at(Key);
  bool Gone = isHostGone(C.L, Record);
  if (!Gone && !isOwnerSilent(C, Record))
    return;
  if (Record.Phase == ClaimPhase::Turn && !leaseExpired(C, Record))
    return;
  proposeLost(C, Key, Record,
              Gone ? "entry host of the claim is dead or restarted"
                   : "entry host of the claim is silent past the deadline");
}

void dropOldWaiters(LeaderContext &C) {
  for (auto It = C.L.Waiters.begin(); It != C.L.Waiters.end();) {
    auto &OfKey = It->second;
    for (auto W = OfKey.begin(); W != OfKey.end();) {
      bool Old = W->second.ReceivedAt + WaiterTime < C.Now;
      W = Old ? OfKey.erase(W) : std::next(W);
    }
    It = OfKey.empty() ? C.L.Waiters.erase(It) : std::next(It);
  }
}

void sweep(LeaderContext &C) {
  for (const auto &[Name, Keys] : C.Applied.Queues) {
    for (const ClaimKey &Key : Keys)
      sweepRecord(C, Key);
  }
  dropOldWaiters(C);
  bool Idle = C.L.Pending.empty() && C.L.InFlight.empty();
  bool IsClockDue = C.Now - C.L.LastProposal >= C.L.Settings.ClockInterval;
  if (Idle && IsClockDue && !C.Applied.Expiries.empty())
    C.L.Pending.emplace_back();
}

bool isSettled(const ClaimRecord &Record, const ClaimResult &Ended) {
  if (Record.Owner != Ended.Request)
    return false;
  return Record.Phase == ClaimPhase::Answered ||
         Record.Phase == ClaimPhase::Released ||
         (Record.Phase == ClaimPhase::Unknown &&
          Ended.End == ClaimOutcome::Unknown);
}

} // namespace

void becomeLeader(ClaimLeader &Leader, const ClaimsState &Applied,
                  TimePoint Now) {
  stopLeading(Leader);
  Leader.Leading = true;
  Leader.Since = Now;
  Leader.ClockBase = Applied.Clock;
  Leader.NextSweep = Now + SweepInterval;
  Leader.LastProposal = Now;
}

void stopLeading(ClaimLeader &Leader) {
  Leader.Leading = false;
  Leader.Waiters.clear();
  Leader.SendPermits.clear();
  Leader.Acks.clear();
  Leader.OwnerLastSeen.clear();
  Leader.ProposedLost.clear();
  Leader.Pending.clear();
  Leader.InFlight.clear();
}

void onClaimRequest(ClaimLeader &Leader, const ClaimsState &Applied,
                    const HostId &From, const ClaimRequest &Received,
                    TimePoint Now, ClaimEffects &Out) {
  LeaderContext C{Leader, Applied, Now, Out};
  if (!Leader.Leading || !noteIncarnation(Leader, From, Received.Incarnation))
    return;
  ClaimWaiter &Waiter = Leader.Waiters[Received.Key][Received.Request];
  if (Received.Sequence < Waiter.Last.Sequence)
    return; // A newer repeat arrived first.
  Waiter.Host = From;
  Waiter.Last = Received;
  Waiter.ReceivedAt = Now;
  answerWaiter(C, Received.Key, Waiter);
  flush(C);
}

void onClaimResult(ClaimLeader &Leader, const ClaimsState &Applied,
                   const HostId &From, const ClaimResult &Ended, TimePoint Now,
                   ClaimEffects &Out) {
  LeaderContext C{Leader, Applied, Now, Out};
  if (!Leader.Leading)
    return;
  eraseWaiter(Leader, Ended.Key, Ended.Request);
  const ClaimRecord *Record = findRecord(C, Ended.Key);
  if (Record != nullptr && isSettled(*Record, Ended)) {
    Out.List.emplace_back(SendClaimAck{From, {Ended.Request}});
    return;
  }
  if (!Leader.Acks.emplace(Ended.Request, From).second)
    return; // A Finish for this outcome is already pending.
  Leader.Pending.push_back(finishCommand(Ended));
  flush(C);
}

void onClaimsApplied(ClaimLeader &Leader, const ClaimsState &Applied,
                     std::uint64_t Ticket,
                     const std::vector<ClaimChange> &Changes, TimePoint Now,
                     ClaimEffects &Out) {
  LeaderContext C{Leader, Applied, Now, Out};
  auto Proposal = Leader.InFlight.find(Ticket);
  if (!Leader.Leading || Proposal == Leader.InFlight.end())
    return;
  TimePoint ProposedAt = Proposal->second;
  Leader.InFlight.erase(Proposal);
  Out.Samples.push_back({SampleKind::Distribution,
                         "pimento_claim_commit_seconds",
                         {},
                         toSeconds(Now - ProposedAt)});
  for (const ClaimChange &Change : Changes)
    onChange(C, Change, ProposedAt);
  flush(C);
}

void onClaimsRefused(ClaimLeader &Leader, std::uint64_t Ticket) {
  Leader.InFlight.erase(Ticket);
  for (auto &[Key, OfKey] : Leader.Waiters) {
    for (auto &[Id, Waiter] : OfKey)
      Waiter.Proposed = false;
  }
  Leader.Acks.clear();
  Leader.ProposedLost.clear();
}

void onHostIncarnation(ClaimLeader &Leader, const HostId &Host,
                       IncarnationNumber Incarnation, bool Dead) {
  IncarnationNumber &Known = Leader.NewestIncarnations[Host];
  if (Incarnation < Known)
    return;
  Known = Incarnation;
  if (Dead)
    Leader.DeadHosts.insert(Host);
  else
    Leader.DeadHosts.erase(Host);
}

void tickClaims(ClaimLeader &Leader, const ClaimsState &Applied, TimePoint Now,
                ClaimEffects &Out) {
  LeaderContext C{Leader, Applied, Now, Out};
  if (!Leader.Leading || Now < Leader.NextSweep)
    return;
  Leader.NextSweep = Now + SweepInterval;
  sweep(C);
  flush(C);
}

TimePoint nextClaimWakeup(const ClaimLeader &Leader) {
  return Leader.Leading ? Leader.NextSweep : TimePoint::max();
}

} // namespace pimento::calls
