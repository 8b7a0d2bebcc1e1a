//===- Claims.h - Calls that run at most once: replicated state -*- C++ -*-===//
//
// What a claim partition's replicated log applies. Deterministic: each replica
// that applies the same entries holds the same state. Time enters only through
// the clock that entries carry, which counts the time for which the partition
// had a leader.
//
//   ClaimsState State;
//   std::vector<ClaimChange> Changes = applyClaims(State, Entry);
//
// Index
//   claimPartition() which partition keeps a call
//   ClaimCommand     what a leader proposes, in batches
//   ClaimRecord      one key
//   ClaimsState      one partition
//   ClaimChange      what an applied command came to
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "base/Result.h"
#include "base/Time.h"
#include "wire/Blob.h"
#include "wire/CallMessages.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace pimento::calls {

/// One of \p Partitions: the same for all calls of one client account to one
/// service, whatever their keys.
std::uint32_t claimPartition(const ServiceId &Service, const AccountId &Account,
                             std::uint32_t Partitions);

enum class ClaimCommandKind : std::uint8_t {
  Clock,  // Nothing but the time.
  Claim,  // A request wants to run the call.
  Turn,   // The request whose turn it is gets a new lease on sending.
  Finish, // The outcome, from the entry host that held the claim.
  Lost,   // The entry host is gone, or silent past the deadline.
};

struct ClaimCommand {
  ClaimCommandKind Kind = ClaimCommandKind::Clock;
  RequestId Request;
  ClaimKey Key;
  HostId Host; // Of Claim: the entry host.
  IncarnationNumber Incarnation = 0;
  std::string BodySha256;                // Of Claim.
  Duration TimeLeft = Duration::zero();  // Of Claim.
  Duration Retention = Duration::zero(); // Of Claim.
  ClaimEnd End = ClaimEnd::Unknown;      // Of Finish.
  int Status = 0;                        // Of Finish, with the answer below.
  std::string ContentType;
  Blob Body;
  bool Truncated = false;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Kind, M.Request, M.Key, M.Host, M.Incarnation, M.BodySha256,
          M.TimeLeft, M.Retention, M.End, M.Status, M.ContentType, M.Body,
          M.Truncated);
  }
};

/// One entry of the log.
struct ClaimBatch {
  Duration Clock = Duration::zero(); // Of the partition.
  std::vector<ClaimCommand> Commands;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Clock, M.Commands);
  }
};

enum class ClaimPhase : std::uint8_t {
  Waiting,  // Behind earlier calls of the account; never had its turn.
  Turn,     // May be sent by its entry host, which alone knows whether it was.
  Answered, // It ran; the answer is kept.
  Unknown,  // It may have run.
  Released, // Proved not to have run; the key is free for another request.
};

const char *toString(ClaimPhase P);

struct ClaimRecord {
  RequestId Owner;
  HostId Host; // Entry host of the owner.
  IncarnationNumber Incarnation = 0;
  std::string BodySha256;
  ClaimPhase Phase = ClaimPhase::Waiting;
  Duration Deadline = Duration::zero();  // Of the call, by the clock.
  Duration Retention = Duration::zero(); // From the end on.
  Duration Expires = Duration::zero();   // Once ended.
  int Status = 0;
  std::string ContentType;
  Blob Body;
  bool Truncated = false;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Owner, M.Host, M.Incarnation, M.BodySha256, M.Phase, M.Deadline,
          M.Retention, M.Expires, M.Status, M.ContentType, M.Body, M.Truncated);
  }
};

/// Must be the same on every replica of a partition.
struct ClaimLimits {
  std::uint64_t Records = 200000;         // Running and recorded.
  std::uint64_t AnswerBytes = 64U << 20U; // Of all recorded answers.
  std::uint64_t UsedKeys = 2000000;       // Past retention; 16 bytes each.
  std::uint64_t QueueLength = 1000;       // Calls of one account to a service.
  Duration ReleasedTime = minutes(2);     // For which a release is remembered.
};

/// First half of the SHA-256 of service, account and key.
using KeyDigest = std::array<std::uint64_t, 2>;
struct KeyDigestHash {
  std::size_t operator()(const KeyDigest &D) const { return D[0]; }
};

using ClaimQueue = std::pair<ServiceId, AccountId>;

struct ClaimsState {
  ClaimLimits Limits;
  Duration Clock = Duration::zero();
  std::map<ClaimKey, ClaimRecord> Records;
  std::map<ClaimQueue, std::deque<ClaimKey>> Queues;     // Front has the turn.
  std::set<std::pair<Duration, ClaimKey>> Expiries;      // Of ended records.
  std::unordered_set<KeyDigest, KeyDigestHash> UsedKeys; // Never run again.
  std::uint64_t AnswerBytes = 0;
};

/// What became of one command.
struct ClaimChange {
  enum class Kind : std::uint8_t {
    Ignored, // It changed nothing.
    Queued,  // Durable; waits for its turn.
    Turn,    // May be sent, with a lease from the proposal's time on.
    Ended,   // Answered, Unknown or Released: see the record.
    Held,    // The key belongs to another request: see the record.
    Reused,  // The key belongs to another body.
    Expired, // The key was used and is past its retention.
    Full,    // No room; nothing was kept.
  };
  Kind Outcome = Kind::Ignored;
  ClaimCommandKind Command = ClaimCommandKind::Clock; // That led to it.
  RequestId Request;
  ClaimKey Key;
};

const char *toString(ClaimChange::Kind K);

Blob encodeBatch(const ClaimBatch &Batch);

/// Applies one entry. An entry that can't be read changes nothing on any
/// replica. Changes come in the order of the commands; the turn that an end
/// hands on comes right behind it.
std::vector<ClaimChange> applyClaims(ClaimsState &State, const Blob &Entry);

/// The whole state but its limits, for a snapshot.
Blob encodeClaims(const ClaimsState &State);
/// Fails with WireMalformed; \p Limits are those of the settings.
Result<ClaimsState> decodeClaims(const Blob &Snapshot,
                                 const ClaimLimits &Limits);

} // namespace pimento::calls
