//===- Effects.h - Effects of the requests in progress ----------*- C++ -*-===//
//
// The functions of Calls.h append these effects; their caller executes them in
// order.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Decision.h"
#include "base/Http.h"
#include "base/Time.h"
#include "wire/CallMessages.h"
#include "wire/ScheduleMessages.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pimento::calls {

/// The complete reply of an exchange that is not streamed.
struct SendReply {
  ExchangeId Exchange{};
  HttpReply Reply;
};

/// Begins a streamed reply; Head has no body.
struct StartStream {
  ExchangeId Exchange{};
  HttpReply Head;
};

struct StreamBytes {
  ExchangeId Exchange{};
  std::string Bytes;
};

/// Ends a streamed reply after all its bytes are written.
struct EndStream {
  ExchangeId Exchange{};
  bool IsComplete = true; // False: close the connection without the last chunk.
};

/// Closes the connection of a caller that stopped reading.
struct CloseExchange {
  ExchangeId Exchange{};
};

/// Opens an upstream call. If SendBy is set, the clock is read right before
/// the first byte is sent; past SendBy nothing is sent and the call fails with
/// BytesSent false.
struct OpenUpstream {
  UpstreamId Upstream{};
  UpstreamRequest Request;
  std::optional<TimePoint> SendBy;
};

/// Aborts an upstream call. The call reports no further events and its
/// connection is not reused.
struct AbortUpstream {
  UpstreamId Upstream{};
};

/// Pauses or resumes reading from an upstream call.
struct PauseUpstream {
  UpstreamId Upstream{};
  bool Paused = true;
};

/// Sends a grant request (a request for engines) to the host that schedules
/// the model's cell (a bounded set of engines of one model). The executor of
/// the effect repeats the message until it is answered or withdrawn.
struct SendGrantRequest {
  GrantRequest Content;
};
/// Withdraws a grant request, or returns an unused grant.
struct SendWithdraw {
  AttemptId Attempt;
};
/// Reports to the scheduler that the attempt ended at its engines.
struct SendRelease {
  Release Content;
};
/// Reports the progress of an attempt, in tokens since its start.
struct NoteProgress {
  AttemptId Attempt;
  std::uint64_t PrefillTokens = 0;
  std::uint64_t OutputTokens = 0;
};

/// Sends a claim request to the leader of the claim's partition.
struct SendClaim {
  ClaimRequest Content;
};
/// Sends the outcome of a claim to the leader of the claim's partition.
struct SendClaimResult {
  ClaimResult Content;
};

using CallsEffect =
    std::variant<SendReply, StartStream, StreamBytes, EndStream, CloseExchange,
                 OpenUpstream, AbortUpstream, PauseUpstream, SendGrantRequest,
                 SendWithdraw, SendRelease, NoteProgress, SendClaim,
                 SendClaimResult>;

struct CallsEffects {
  std::vector<CallsEffect> List; // In order of execution.
  std::vector<DecisionRecord> Decisions;
  std::vector<MetricSample> Samples;
};

} // namespace pimento::calls
