//===- CallMessages.h - Claims of calls that run at most once ---*- C++ -*-===//
//
//   entry host            leader of the claim partition
//       ClaimRequest ->                        (repeated until a result)
//                    <-   ClaimReply
//       ClaimResult  ->                        (repeated until acknowledged)
//                    <-   ClaimResultAck
//
// A lease on sending counts, at the entry host, from the moment at which it
// sent the request whose Sequence the reply cites; at the leader from the
// moment at which the leave to send was committed, which is later.
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

/// Names one call that may not be repeated. Keys are scoped to the account.
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

/// Asks for leave to run a call once. Sending it again is harmless.
struct ClaimRequest {
  static constexpr std::uint16_t WireType = 401;
  RequestId Request;
  ClaimKey Key;
  std::string BodySha256;                // Of method, path and body.
  IncarnationNumber Incarnation = 0;     // Of the asking entry host.
  Duration TimeLeft = Duration::zero();  // Until the caller's deadline.
  Duration Retention = Duration::zero(); // How long the claim is kept.
  std::uint64_t Sequence = 0; // Raised by one with each repeat; from 1.
  bool Sent = false;          // A byte of the call has left the entry host.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Request, M.Key, M.BodySha256, M.Incarnation, M.TimeLeft,
          M.Retention, M.Sequence, M.Sent);
  }
};

enum class ClaimState : std::uint8_t {
  Granted,   // Durable; it is this request's turn to send, once.
  Recorded,  // It ran before; the recorded answer is attached.
  Unknown,   // It may have run; it will not be sent again.
  OtherBody, // The key was used with another body.
  Expired,   // The key is older than its retention.
  Refused,   // Not claimed and nothing was sent: see Reason.
  Waiting,   // Durable or joined to a running call; an answer follows.
};

struct ClaimReply {
  static constexpr std::uint16_t WireType = 402;
  RequestId Request;
  ClaimState State = ClaimState::Refused;
  Code Reason = Code::Ok; // Of Refused.
  int Status = 0;         // HTTP status of the recorded answer.
  std::string ContentType;
  Blob Body;
  bool Truncated = false; // The answer was too large to be recorded whole.
  ClaimKey Key;
  std::uint64_t Sequence = 0; // Of the request that the lease counts from.
  Duration Lease = Duration::zero(); // Granted: the first byte leaves within.
  bool Joined = false; // Waiting: for another request with the same key.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Request, M.State, M.Reason, M.Status, M.ContentType, M.Body,
          M.Truncated, M.Key, M.Sequence, M.Lease, M.Joined);
  }
};

enum class ClaimEnd : std::uint8_t {
  Answered, // The server's answer is attached and is recorded.
  NotRun,   // Proved; the key is free again.
  Unknown,  // Sent, and no whole answer came.
};

/// What became of a granted claim. Repeated until it is acknowledged.
struct ClaimResult {
  static constexpr std::uint16_t WireType = 403;
  RequestId Request;
  ClaimKey Key;
  ClaimEnd End = ClaimEnd::Unknown;
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

/// The result is durable.
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
