#include "calls/Claims.h"

#include "base/Token.h"
#include "calls/ClaimsInternal.h"
#include "wire/Fields.h"

#include <algorithm>
#include <charconv>

namespace pimento::calls {

namespace {

constexpr JsonLimits EntryLimits = {4U << 20U, /*Depth=*/8,
                                    /*Values=*/1U << 17U};

ClaimQueue queueOf(const ClaimKey &Key) { return {Key.Service, Key.Account}; }

bool isEnded(const ClaimRecord &Record) {
  return Record.Phase != ClaimPhase::Waiting &&
         Record.Phase != ClaimPhase::Turn;
}

/// Context for applying one entry; collects the changes.
struct Applier {
  ClaimsState &State;
  std::vector<ClaimChange> Changes;
  ClaimCommandKind Command = ClaimCommandKind::Clock;

  void note(ClaimChange::Kind Outcome, const RequestId &Request,
            const ClaimKey &Key) {
    Changes.push_back({Outcome, Command, Request, Key});
  }
};

void dropAnswer(ClaimsState &State, ClaimRecord &Record) {
  State.AnswerBytes -= Record.Body.Data.size();
  Record.Body.Data.clear();
}

/// Removes ended records past their retention. The digest of a key whose call
/// may have run is kept forever. Without room for the digest the record itself
/// is kept, without its answer.
void expire(ClaimsState &State) {
  while (!State.Expiries.empty() &&
         State.Expiries.begin()->first <= State.Clock) {
    const ClaimKey Key = State.Expiries.begin()->second;
    State.Expiries.erase(State.Expiries.begin());
    ClaimRecord &Record = State.Records.at(Key);
    dropAnswer(State, Record);
    if (Record.Phase != ClaimPhase::Released) {
      if (State.UsedKeys.size() >= State.Limits.UsedKeys)
        continue;
      State.UsedKeys.insert(keyDigest(Key));
    }
    State.Records.erase(Key);
  }
}

bool hasRoom(const ClaimsState &State, const ClaimKey &Key) {
  if (State.Records.size() >= State.Limits.Records)
    return false;
  // Each record may become a used key, so room for its digest is reserved.
  if (State.Records.size() + State.UsedKeys.size() >= State.Limits.UsedKeys)
    return false;
  auto Queue = State.Queues.find(queueOf(Key));
  return Queue == State.Queues.end() ||
         Queue->second.size() < State.Limits.QueueLength;
}

/// Gives the turn to the front of a queue unless the front already has it.
void assignTurn(Applier &A, const ClaimQueue &Name) {
  auto Queue = A.State.Queues.find(Name);
  if (Queue == A.State.Queues.end())
    return;
  const ClaimKey &Front = Queue->second.front();
  ClaimRecord &Record = A.State.Records.at(Front);
  if (Record.Phase == ClaimPhase::Turn)
    return;
  Record.Phase = ClaimPhase::Turn;
  A.note(ClaimChange::Kind::Turn, Record.Owner, Front);
}

void leaveQueue(ClaimsState &State, const ClaimKey &Key) {
  auto Queue = State.Queues.find(queueOf(Key));
  if (Queue == State.Queues.end())
    return;
  auto &Keys = Queue->second;
  Keys.erase(std::remove(Keys.begin(), Keys.end(), Key), Keys.end());
  if (Keys.empty())
    State.Queues.erase(Queue);
}

void addRecord(ClaimsState &State, const ClaimCommand &C) {
  ClaimRecord Record;
  Record.Owner = C.Request;
  Record.Host = C.Host;
  Record.Incarnation = C.Incarnation;
  Record.BodySha256 = C.BodySha256;
  Record.Deadline = State.Clock + C.TimeLeft;
  Record.Retention = C.Retention;
  State.Records[C.Key] = std::move(Record);
  State.Queues[queueOf(C.Key)].push_back(C.Key);
}

/// Handles a claim of a key that has a record. Returns true if the record may
/// be replaced.
bool claimOverRecord(Applier &A, const ClaimCommand &C) {
  const ClaimRecord &Record = A.State.Records.at(C.Key);
  bool Free = Record.Phase == ClaimPhase::Released;
  if (Free && Record.Owner != C.Request)
    return true;
  if (Free) // A late repeat of the request that released the key.
    A.note(ClaimChange::Kind::Ended, C.Request, C.Key);
  else if (Record.BodySha256 != C.BodySha256)
    A.note(ClaimChange::Kind::Reused, C.Request, C.Key);
  else
    A.note(ClaimChange::Kind::Held, C.Request, C.Key);
  return false;
}

void applyClaim(Applier &A, const ClaimCommand &C) {
  ClaimsState &State = A.State;
  auto Found = State.Records.find(C.Key);
  if (Found != State.Records.end()) {
    if (!claimOverRecord(A, C))
      return;
    State.Expiries.erase({Found->second.Expires, C.Key});
    State.Records.erase(Found);
  }
  if (State.UsedKeys.count(keyDigest(C.Key)) != 0) {
    A.note(ClaimChange::Kind::Expired, C.Request, C.Key);
    return;
  }
  if (!hasRoom(State, C.Key)) {
    A.note(ClaimChange::Kind::Full, C.Request, C.Key);
    return;
  }
  addRecord(State, C);
  if (State.Queues.at(queueOf(C.Key)).front() == C.Key)
    assignTurn(A, queueOf(C.Key));
  else
    A.note(ClaimChange::Kind::Queued, C.Request, C.Key);
}

void applyTurn(Applier &A, const ClaimCommand &C) {
  auto Found = A.State.Records.find(C.Key);
  bool Holds = Found != A.State.Records.end() &&
               Found->second.Owner == C.Request &&
               Found->second.Phase == ClaimPhase::Turn;
  A.note(Holds ? ClaimChange::Kind::Turn : ClaimChange::Kind::Ignored,
         C.Request, C.Key);
}

/// Ends a record, or replaces the outcome of an ended record.
void endRecord(Applier &A, const ClaimKey &Key, ClaimRecord &Record,
               ClaimPhase Phase) {
  ClaimsState &State = A.State;
  if (isEnded(Record))
    State.Expiries.erase({Record.Expires, Key});
  Record.Phase = Phase;
  Record.Expires =
      State.Clock + (Phase == ClaimPhase::Released ? State.Limits.ReleasedTime
                                                   : Record.Retention);
  State.Expiries.insert({Record.Expires, Key});
  leaveQueue(State, Key);
  A.note(ClaimChange::Kind::Ended, Record.Owner, Key);
  assignTurn(A, queueOf(Key));
}

void keepAnswer(ClaimsState &State, ClaimRecord &Record,
                const ClaimCommand &C) {
  Record.Status = C.Status;
  Record.ContentType = C.ContentType;
  Record.Truncated = C.Truncated;
  bool Fits =
      State.AnswerBytes + C.Body.Data.size() <= State.Limits.AnswerBytes;
  if (!Fits) {
    Record.Truncated = true;
    return;
  }
  Record.Body = C.Body;
  State.AnswerBytes += Record.Body.Data.size();
}

/// Handles a release that arrives before its claim, for a request that was
/// given up. The release is recorded so that the late claim doesn't take the
/// key.
void rememberRelease(Applier &A, const ClaimCommand &C) {
  ClaimsState &State = A.State;
  bool Used = State.UsedKeys.count(keyDigest(C.Key)) != 0;
  if (C.End != ClaimOutcome::NotRun || Used || !hasRoom(State, C.Key)) {
    A.note(ClaimChange::Kind::Ignored, C.Request, C.Key);
    return;
  }
  ClaimRecord &Record = State.Records[C.Key];
  Record.Owner = C.Request;
  endRecord(A, C.Key, Record, ClaimPhase::Released);
}

/// Records the outcome that the owner reports; other requests are ignored. The
/// owner may replace Unknown, since only the owner knows what was sent and
/// received.
void applyFinish(Applier &A, const ClaimCommand &C) {
  auto Found = A.State.Records.find(C.Key);
  if (Found == A.State.Records.end()) {
    rememberRelease(A, C);
    return;
  }
  ClaimRecord &Record = Found->second;
  bool Settled =
      Record.Phase == ClaimPhase::Answered ||
      Record.Phase == ClaimPhase::Released ||
      (Record.Phase == ClaimPhase::Unknown && C.End == ClaimOutcome::Unknown);
  if (Record.Owner != C.Request || Settled) {
    A.note(ClaimChange::Kind::Ignored, C.Request, C.Key);
    return;
  }
  if (C.End == ClaimOutcome::Answered)
    keepAnswer(A.State, Record, C);
  ClaimPhase Phase = C.End == ClaimOutcome::Answered ? ClaimPhase::Answered
                     : C.End == ClaimOutcome::NotRun ? ClaimPhase::Released
                                                     : ClaimPhase::Unknown;
  endRecord(A, C.Key, Record, Phase);
}

/// Ends the claim of a lost host. A claim that never had its turn was not sent,
/// so it is released.
void applyLost(Applier &A, const ClaimCommand &C) {
  auto Found = A.State.Records.find(C.Key);
  bool Live = Found != A.State.Records.end() &&
              Found->second.Owner == C.Request && !isEnded(Found->second);
  if (!Live) {
    A.note(ClaimChange::Kind::Ignored, C.Request, C.Key);
    return;
  }
  bool HadTurn = Found->second.Phase == ClaimPhase::Turn;
  endRecord(A, C.Key, Found->second,
            HadTurn ? ClaimPhase::Unknown : ClaimPhase::Released);
}

void applyCommand(Applier &A, const ClaimCommand &C) {
  A.Command = C.Kind;
  switch (C.Kind) {
  case ClaimCommandKind::Clock:
    return;
  case ClaimCommandKind::Claim:
    applyClaim(A, C);
    return;
  case ClaimCommandKind::Turn:
    applyTurn(A, C);
    return;
  case ClaimCommandKind::Finish:
    applyFinish(A, C);
    return;
  case ClaimCommandKind::Lost:
    applyLost(A, C);
    return;
  }
}

std::uint64_t firstDigits(std::string_view Hex) {
  constexpr std::size_t DigitsOfWord = 16;
  std::uint64_t Word = 0;
  std::from_chars(Hex.data(), Hex.data() + DigitsOfWord, Word, 16);
  return Word;
}

} // namespace

KeyDigest keyDigest(const ClaimKey &Key) {
  std::string Text;
  for (const std::string *Part :
       {&Key.Service.Value, &Key.Account.Value, &Key.Key})
    Text += std::to_string(Part->size()) + ":" + *Part;
  std::string Hex = sha256Hex(Text);
  return {firstDigits(Hex), firstDigits(std::string_view(Hex).substr(16))};
}

std::uint32_t claimPartition(const ServiceId &Service, const AccountId &Account,
                             std::uint32_t Partitions) {
  KeyDigest Digest = keyDigest({Service, Account, {}});
  return static_cast<std::uint32_t>(Digest[0] % std::max(Partitions, 1U));
}

const char *toString(ClaimPhase P) {
  switch (P) {
  case ClaimPhase::Waiting:
    return "waiting";
  case ClaimPhase::Turn:
    return "turn";
  case ClaimPhase::Answered:
    return "answered";
  case ClaimPhase::Unknown:
    return "unknown";
  case ClaimPhase::Released:
    break;
  }
  return "released";
}

const char *toString(ClaimChange::Kind K) {
  switch (K) {
  case ClaimChange::Kind::Ignored:
    return "ignored";
  case ClaimChange::Kind::Queued:
    return "queued";
  case ClaimChange::Kind::Turn:
    return "turn";
  case ClaimChange::Kind::Ended:
    return "ended";
  case ClaimChange::Kind::Held:
    return "held";
  case ClaimChange::Kind::Reused:
    return "reused";
  case ClaimChange::Kind::Expired:
    return "expired";
  case ClaimChange::Kind::Full:
    break;
  }
  return "full";
}

Blob encodeBatch(const ClaimBatch &Batch) { return {wire::toBytes(Batch)}; }

std::vector<ClaimChange> applyClaims(ClaimsState &State, const Blob &Entry) {
  Failure Why;
  ClaimBatch Batch = valueOr<ClaimBatch>(
      [&] { return wire::fromBytes<ClaimBatch>(Entry.Data, EntryLimits); },
      ClaimBatch(), Why);
  if (!Why.Detail.empty())
    return {};
  State.Clock = std::max(State.Clock, Batch.Clock);
  expire(State);
  Applier A{State, {}, ClaimCommandKind::Clock};
  for (const ClaimCommand &Command : Batch.Commands)
    applyCommand(A, Command);
  return std::move(A.Changes);
}

} // namespace pimento::calls
