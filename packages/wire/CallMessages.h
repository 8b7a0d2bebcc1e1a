//===- CallMessages.h - Claims of calls that run at most once ---*- C++ -*-===//
//
// Before an entry host sends a call that must not run twice, it claims the
// call's idempotency key at the leader of a claim partition, which keeps the
// claims in a replicated log.
//
//   entry host            leader of the claim partition
//       ClaimRequest ->                        (repeated until the result)
//                    <-   ClaimReply
//       ClaimResult  ->                        (repeated until acknowledged)
//                    <-   ClaimResultAck
//
// A send permit is limited by a lease. At the entry host the lease starts when
// the host sent the request whose Sequence the reply cites; at the leader it
// starts when the send permit was committed, which is later.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Codes.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "wire/Blob.h"
#include "wire/MessageList.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace pimento {

/// Identifies one call that may not be repeated. Idempotency keys are scoped to
/// the service and the client account.
struct ClaimKey {
  ServiceId Service;
  AccountId Account;
  std::string Key; // The caller's Idempotency-Key.

  friend bool operator==(const ClaimKey &A, const ClaimKey &B) {
    return A.Service == B.Service && A.Account == B.Account && A.Key == B.Key;
  }
  friend bool operator<(const ClaimKey &A, const ClaimKey &B) {
    return std::tie(A.Service, A.Account, A.Key) <
           std::tie(B.Service, B.Account, B.Key);
  }

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Service, M.Account, M.Key);
  }
};

/// Requests the permit to run a call once. Safe to repeat.
struct ClaimRequest {
  static constexpr std::uint16_t WireType = 401;
  RequestId Request;
  ClaimKey Key;
  std::string BodySha256;                // Hash of method, path, query, body.
  IncarnationNumber Incarnation = 0;     // Incarnation of the entry host.
  Duration TimeLeft = Duration::zero();  // Time until the caller's deadline.
  Duration Retention = Duration::zero(); // How long the claim is kept.
  std::uint64_t Sequence = 0; // Starts at 1; incremented with each repeat.
  bool Sent = false;          // A byte of the call was sent to a server.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Request, M.Key, M.BodySha256, M.Incarnation, M.TimeLeft,
          M.Retention, M.Sequence, M.Sent);
  }
};

enum class ClaimState : std::uint8_t {
  Granted,   // The claim is durable; the request may send the call once.
  Recorded,  // The call ran before; the recorded answer is attached.
  Unknown,   // The call may have run; it will not be sent again.
  OtherBody, // The key was used with another body.
  Expired,   // The key was used and is past its retention.
  Refused,   // Not claimed, and nothing was sent; Reason has the cause.
  Waiting,   // Durable, or another request runs the call; a reply follows.
};

struct ClaimReply {
  static constexpr std::uint16_t WireType = 402;
  RequestId Request;
  ClaimState State = ClaimState::Refused;
  Code Reason = Code::Ok; // Set for Refused.
  int Status = 0;         // HTTP status of the recorded answer.
  std::string ContentType;
  Blob Body;
  bool Truncated = false; // The answer was too large to be recorded.
  ClaimKey Key;
  std::uint64_t Sequence = 0; // Claim request whose sending starts the lease.
  // For Granted: the first byte must be sent within this time.
  Duration Lease = Duration::zero();
  // For Waiting: another request with the same key is running.
  bool Joined = false;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Request, M.State, M.Reason, M.Status, M.ContentType, M.Body,
          M.Truncated, M.Key, M.Sequence, M.Lease, M.Joined);
  }
};

enum class ClaimOutcome : std::uint8_t {
  Answered, // The server's answer is attached and will be recorded.
  NotRun,   // The call did not run; the key is released.
  Unknown,  // The call may have run, but there is no complete answer.
};

/// Outcome of a claim. Repeated until it is acknowledged.
struct ClaimResult {
  static constexpr std::uint16_t WireType = 403;
  RequestId Request;
  ClaimKey Key;
  ClaimOutcome End = ClaimOutcome::Unknown;
  int Status = 0;
  std::string ContentType;
  Blob Body;
  bool Truncated = false;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Request, M.Key, M.End, M.Status, M.ContentType, M.Body,
          M.Truncated);
  }
};

/// Acknowledges that the result is durable.
struct ClaimResultAck {
  static constexpr std::uint16_t WireType = 404;
  RequestId Request;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Request);
  }
};

using CallMessages =
    MessageList<ClaimRequest, ClaimReply, ClaimResult, ClaimResultAck>;

} // namespace pimento
