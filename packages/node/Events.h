//===- Events.h - What a host hears and what it does ------------*- C++ -*-===//
//
// The whole of a host's behaviour is reduce(State, Event, Now) -> effects. A
// session is a list of these; golden files hold them.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Decision.h"
#include "base/Http.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "wire/Messages.h"

#include <string>
#include <variant>
#include <vector>

namespace pimento {

//===----------------------------------------------------------------------===//
// Events
//===----------------------------------------------------------------------===//

/// Time passed. Comes at least every TickInterval.
struct Tick {};

/// A proved peer sent a message.
struct PeerMessage {
  HostId From;
  Incarnation Life = 0; // Of the sender's process.
  Message Content;
};

/// A caller or backend server sent a whole request to the caller port.
struct CallerRequest {
  ExchangeId Exchange{};
  HttpRequest Request;
};

/// An operator sent a whole request to the operator port.
struct OperatorRequest {
  ExchangeId Exchange{};
  HttpRequest Request;
};

/// The other side of an exchange closed its connection; the id is dead.
struct ExchangeLeft {
  ExchangeId Exchange{};
};

/// Part of a stream went out towards the caller.
struct ExchangeDrained {
  ExchangeId Exchange{};
  std::size_t PendingBytes = 0; // Still waiting in the host.
};

struct UpstreamSent {
  UpstreamId Call{};
};
struct UpstreamHead {
  UpstreamId Call{};
  int Status = 0;
  std::vector<HttpHeader> Headers;
};
struct UpstreamData {
  UpstreamId Call{};
  std::string Bytes;
};
/// The answer ended; Delimited: by its length or its last chunk.
struct UpstreamEnd {
  UpstreamId Call{};
  bool Delimited = false;
};
struct UpstreamFailed {
  UpstreamId Call{};
  UpstreamFailure Why;
};

/// The system asks the process to stop: once to drain, twice to stop at once.
struct StopRequested {};

using Event =
    std::variant<Tick, PeerMessage, CallerRequest, OperatorRequest,
                 ExchangeLeft, ExchangeDrained, UpstreamSent, UpstreamHead,
                 UpstreamData, UpstreamEnd, UpstreamFailed, StopRequested>;

//===----------------------------------------------------------------------===//
// Effects
//===----------------------------------------------------------------------===//

struct SendPeer {
  HostId To;
  Message Content;
};

struct SendReply {
  ExchangeId Exchange{};
  HttpReply Reply;
};
struct StartStream {
  ExchangeId Exchange{};
  int Status = 200;
  std::vector<HttpHeader> Headers;
};
struct SendChunk {
  ExchangeId Exchange{};
  std::string Bytes;
};
struct EndStream {
  ExchangeId Exchange{};
};
/// Breaks the connection, so that the caller sees a cut answer.
struct AbortExchange {
  ExchangeId Exchange{};
};

struct OpenUpstream {
  UpstreamId Call{};
  UpstreamRequest Request;
  /// The shell checks the clock again when it carries the effect out: past
  /// this time nothing is sent and UpstreamFailed says so.
  TimePoint SendBy = TimePoint::max();
};
struct AbortUpstream {
  UpstreamId Call{};
};
/// Stops or goes on reading an answer, for the sake of a slow caller.
struct PauseUpstream {
  UpstreamId Call{};
};
struct ResumeUpstream {
  UpstreamId Call{};
};

struct LogDecision {
  DecisionRecord Record;
};
struct RecordSample {
  MetricSample Sample;
};

/// Ends the process.
struct Exit {
  int Status = 0;
};

using Effect =
    std::variant<SendPeer, SendReply, StartStream, SendChunk, EndStream,
                 AbortExchange, OpenUpstream, AbortUpstream, PauseUpstream,
                 ResumeUpstream, LogDecision, RecordSample, Exit>;

using Effects = std::vector<Effect>;

/// Longest time between two ticks.
constexpr Duration TickInterval = milliseconds(10);

} // namespace pimento
