//===- Claims.h - Calls that run at most once: replicated state -*- C++ -*-===//
//
// The replicated state machine of a claim partition. A claim records that one
// entry host may run the call with a given idempotency key, and later the
// outcome of that call. Claims are split into partitions, each with its own
// replicated log. The calls of one account to one service form a queue; only
// the front of the queue has its turn, that is, may be sent.
//
// Applying an entry is deterministic: replicas that apply the same entries hold
// the same state. Time enters only through the clock in the entries, which
// counts the time during which the partition had a leader.
//
//   ClaimsState State;
//   std::vector<ClaimChange> Changes = applyClaims(State, Entry);
//
// Index
//   claimPartition() the partition of a call
//   ClaimCommand     command in a log entry
//   ClaimRecord      state of one key
//   ClaimsState      state of one partition
//   ClaimChange      result of an applied command
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

/// The partition, below \p Partitions, of all calls of one client account to
/// one service. It does not depend on the idempotency key.
std::uint32_t claimPartition(const ServiceId &Service, const AccountId &Account,
                             std::uint32_t Partitions);

enum class ClaimCommandKind : std::uint8_t {
  Clock,  // Only advances the clock.
  Claim,  // A request claims the call.
  Turn,   // Renews the lease on sending of the request whose turn it is.
  Finish, // Outcome reported by the entry host that held the claim.
  Lost,   // The entry host is dead, or silent past the deadline.
};

struct ClaimCommand {
  ClaimCommandKind Kind = ClaimCommandKind::Clock;
  RequestId Request;
  ClaimKey Key;
  // Set for Claim.
  HostId Host; // Entry host of the request.
  IncarnationNumber Incarnation = 0;
  std::string BodySha256;
  Duration TimeLeft = Duration::zero(); // Until the caller's deadline.
  Duration Retention = Duration::zero();
  // Set for Finish.
  ClaimOutcome End = ClaimOutcome::Unknown;
  int Status = 0; // HTTP status of the answer.
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
  Duration Clock = Duration::zero(); // Clock of the partition.
  std::vector<ClaimCommand> Commands;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Clock, M.Commands);
  }
};

enum class ClaimPhase : std::uint8_t {
  Waiting,  // Queued behind earlier calls of the account; never had its turn.
  Turn,     // May be sent; only its entry host knows whether it was.
  Answered, // The call ran; its answer is recorded.
  Unknown,  // The call may have run.
  Released, // The call did not run; another request may claim the key.
};

const char *toString(ClaimPhase P);

struct ClaimRecord {
  RequestId Owner;
  HostId Host; // Entry host of the owner.
  IncarnationNumber Incarnation = 0;
  std::string BodySha256;
  ClaimPhase Phase = ClaimPhase::Waiting;
  Duration Deadline = Duration::zero();  // Call's limit on ClaimsState::Clock.
  Duration Retention = Duration::zero(); // How long the ended record is kept.
  Duration Expires = Duration::zero();   // End of retention; set when ended.
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

/// Limits of one partition; must be the same on every replica.
struct ClaimLimits {
  std::uint64_t Records = 200000;         // Records of live and ended calls.
  std::uint64_t AnswerBytes = 64U << 20U; // Total size of recorded answers.
  std::uint64_t UsedKeys = 2000000;       // Expired keys; 16 bytes each.
  std::uint64_t QueueLength = 1000;       // Calls of one account to a service.
  Duration ReleasedTime = minutes(2);     // Retention of released records.
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
  std::map<ClaimQueue, std::deque<ClaimKey>> Queues; // The front has its turn.
  std::set<std::pair<Duration, ClaimKey>> Expiries;  // Ended records by expiry.
  // Keys past their retention; a call with such a key is never run again.
  std::unordered_set<KeyDigest, KeyDigestHash> UsedKeys;
  std::uint64_t AnswerBytes = 0;
};

/// Result of one command, or the change of turn that the command caused.
struct ClaimChange {
  enum class Kind : std::uint8_t {
    Ignored, // The command changed nothing.
    Queued,  // The claim is durable and waits for its turn.
    Turn,    // The call may be sent within a lease from the proposal on.
    Ended,   // The record is now Answered, Unknown or Released.
    Held,    // The key belongs to another request's record.
    Reused,  // The key was used with another body.
    Expired, // The key was used and is past its retention.
    Full,    // A limit was reached; no record was added.
  };
  Kind Outcome = Kind::Ignored;
  ClaimCommandKind Command = ClaimCommandKind::Clock; // Command that caused it.
  RequestId Request;
  ClaimKey Key;
};

const char *toString(ClaimChange::Kind K);

Blob encodeBatch(const ClaimBatch &Batch);

/// Applies one entry and returns the changes in the order of the commands. When
/// a record ends, the Turn of the next record in its queue directly follows the
/// Ended change. An entry that can't be decoded changes nothing on any replica.
std::vector<ClaimChange> applyClaims(ClaimsState &State, const Blob &Entry);

/// Encodes a snapshot of the state without its limits.
Blob encodeClaims(const ClaimsState &State);
/// Decodes a snapshot; \p Limits come from the settings. Fails with
/// WireMalformed.
Result<ClaimsState> decodeClaims(const Blob &Snapshot,
                                 const ClaimLimits &Limits);

} // namespace pimento::calls
