//===- Effects.h - What the requests in progress ask for --------*- C++ -*-===//
//
// The reducer returns these; whoever runs it carries them out in order.
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

/// The one reply of an exchange that is not streamed.
struct SendReply {
  ExchangeId Exchange{};
  HttpReply Reply;
};

/// Begins a streamed reply; its body is empty.
struct StartStream {
  ExchangeId Exchange{};
  HttpReply Head;
};

struct StreamBytes {
  ExchangeId Exchange{};
  std::string Bytes;
};

/// Ends a streamed reply once all of it is written.
struct EndStream {
  ExchangeId Exchange{};
  bool Whole = true; // False: break the connection off, with no last chunk.
};

/// Closes a caller's connection that takes no bytes any more.
struct CloseExchange {
  ExchangeId Exchange{};
};

/// Opens an upstream call. Where SendBy is set, the clock is read right
/// before the first byte: past it nothing is sent and the call fails with
/// BytesSent false.
struct OpenUpstream {
  UpstreamId Upstream{};
  UpstreamRequest Request;
  std::optional<TimePoint> SendBy;
};

/// Breaks an upstream call off; nothing more is heard of it and its connection
/// is never used again.
struct AbortUpstream {
  UpstreamId Upstream{};
};

/// Stops reading an upstream call's bytes, or goes on with it.
struct PauseUpstream {
  UpstreamId Upstream{};
  bool Paused = true;
};

/// To the host that schedules the model's cell; who carries it out repeats it
/// until it is answered or withdrawn.
struct SendGrantRequest {
  GrantRequest Content;
};
/// Gives up an ask or a grant.
struct SendWithdraw {
  AttemptId Attempt;
};
/// The attempt ended at its engines.
struct SendRelease {
  Release Content;
};
/// How far an attempt has come; totals.
struct NoteProgress {
  AttemptId Attempt;
  std::uint64_t PrefillTokens = 0;
  std::uint64_t OutputTokens = 0;
};

/// To the leader of the claim's partition.
struct SendClaim {
  ClaimRequest Content;
};
struct SendClaimResult {
  ClaimResult Content;
};

using CallsEffect =
    std::variant<SendReply, StartStream, StreamBytes, EndStream, CloseExchange,
                 OpenUpstream, AbortUpstream, PauseUpstream, SendGrantRequest,
                 SendWithdraw, SendRelease, NoteProgress, SendClaim,
                 SendClaimResult>;

struct CallsEffects {
  std::vector<CallsEffect> List; // In order.
  std::vector<DecisionRecord> Decisions;
  std::vector<MetricSample> Samples;
};

} // namespace pimento::calls
