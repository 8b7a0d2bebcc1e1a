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
#include "base/Settings.h"
#include "base/Time.h"
#include "calls/Effects.h"
#include "storage/Records.h"
#include "wire/Messages.h"

#include <string>
#include <variant>
#include <vector>

namespace pimento {

/// Longest time between two ticks.
constexpr Duration NodeTickInterval = milliseconds(20);

//===----------------------------------------------------------------------===//
// Events
//===----------------------------------------------------------------------===//

/// Time passed. Comes at least every NodeTickInterval.
struct Tick {};

/// A proved peer sent a message.
struct PeerMessage {
  HostId From;
  IncarnationNumber Incarnation = 0; // Of the sender's process.
  Message Content;
};

/// The last connection to a peer broke.
struct PeerLost {
  HostId Host;
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

/// Part of a reply went out towards the caller.
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

/// The write with this ticket is synced.
struct DiskWritten {
  GroupId Group = 0;
  std::uint64_t Ticket = 0;
};
/// A write failed; no later one will be carried out.
struct DiskFailed {
  Code Reason = Code::StorageFailed;
  std::string Detail;
};

/// The system asks the process to stop: once to drain, twice to stop at once.
struct StopRequested {};

/// The settings file was read again and is good.
struct SettingsRead {
  Settings Config;
};

using Event =
    std::variant<Tick, PeerMessage, PeerLost, CallerRequest, OperatorRequest,
                 ExchangeLeft, ExchangeDrained, UpstreamSent, UpstreamHead,
                 UpstreamData, UpstreamEnd, UpstreamFailed, DiskWritten,
                 DiskFailed, StopRequested, SettingsRead>;

//===----------------------------------------------------------------------===//
// Effects, besides those of calls/Effects.h
//===----------------------------------------------------------------------===//

struct SendPeer {
  HostId To;
  Message Content;
};

/// Synced together with all other writes of the turn, then told as
/// DiskWritten.
struct WriteDisk {
  DiskWrite Write;
};

struct LogDecision {
  DecisionRecord Record;
};
struct RecordSample {
  MetricSample Sample;
};

/// Replaces the file that tells a later start which backend servers there were.
struct KeepServers {
  std::string Bytes;
};

/// Takes no new connections of callers.
struct StopListening {};

/// Ends the process.
struct Exit {
  int Status = 0;
};

using Effect =
    std::variant<SendPeer, calls::SendReply, calls::StartStream,
                 calls::StreamBytes, calls::EndStream, calls::CloseExchange,
                 calls::OpenUpstream, calls::AbortUpstream,
                 calls::PauseUpstream, WriteDisk, LogDecision, RecordSample,
                 KeepServers, StopListening, Exit>;

using Effects = std::vector<Effect>;

} // namespace pimento
