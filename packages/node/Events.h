//===- Events.h - Events and effects of a host ------------------*- C++ -*-===//
//
// A host's behaviour is the function reduce(State, Event, Now) -> effects. The
// golden files of the tests record sessions as lists of events and effects.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/ConnectionEnd.h"
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

/// Timer event; occurs at least every NodeTickInterval.
struct Tick {
  std::size_t CallerBytes = 0; // See CallerRequest.
};

/// An authenticated peer sent a message.
struct PeerMessage {
  HostId From;
  IncarnationNumber Incarnation = 0; // Incarnation of the sender's process.
  Message Content;
};

/// The last site link to a peer broke.
struct PeerLost {
  HostId Host;
};

/// The last link to a peer that carries relayed requests broke, or was closed
/// since it was idle.
struct RelayLinkLost {
  HostId Host;
};

/// A caller or backend server sent a complete request to the caller port.
struct CallerRequest {
  ExchangeId Exchange{};
  HttpRequest Request;
  std::size_t CallerBytes = 0; // Of other requests that are being read, and of
                               // replies that are being written.
};

/// An operator sent a complete request to the operator port.
struct OperatorRequest {
  ExchangeId Exchange{};
  HttpRequest Request;
};

/// The connection of an exchange ended; the id is no longer valid.
struct ExchangeLeft {
  ExchangeId Exchange{};
  ConnectionEnd How = ConnectionEnd::Close;
};

/// Part of a reply was written to the caller's connection.
struct ExchangeDrained {
  ExchangeId Exchange{};
  std::size_t PendingBytes = 0; // Bytes still buffered in the host.
};

/// The first bytes of an upstream call's request were sent.
struct UpstreamSent {
  UpstreamId Call{};
  bool IsKept = false; // On a connection that had been used before; otherwise a
                       // new connection was made.
};
/// The status and headers of an upstream response arrived.
struct UpstreamHead {
  UpstreamId Call{};
  int Status = 0;
  std::vector<HttpHeader> Headers;
};
/// Part of the body of an upstream response arrived.
struct UpstreamData {
  UpstreamId Call{};
  std::string Bytes;
};
/// The response ended. Delimited: its end was marked by the content length or
/// the last chunk, not only by the connection's end.
struct UpstreamEnd {
  UpstreamId Call{};
  bool Delimited = false;
};
/// An upstream call failed before its response ended.
struct UpstreamFailed {
  UpstreamId Call{};
  UpstreamFailure Why;
};

/// The write with this ticket was synced to the disk.
struct DiskWritten {
  GroupId Group = 0;
  std::uint64_t Ticket = 0;
};
/// A write failed; no later write will be performed.
struct DiskFailed {
  Code Reason = Code::StorageFailed;
  std::string Detail;
};

/// The process was asked to stop. The first request starts the drain, the
/// second one stops the process at once.
struct StopRequested {};

/// The settings file was read again and is valid.
struct SettingsRead {
  Settings Config;
};

using Event =
    std::variant<Tick, PeerMessage, PeerLost, CallerRequest, OperatorRequest,
                 ExchangeLeft, ExchangeDrained, UpstreamSent, UpstreamHead,
                 UpstreamData, UpstreamEnd, UpstreamFailed, DiskWritten,
                 DiskFailed, StopRequested, SettingsRead, RelayLinkLost>;

//===----------------------------------------------------------------------===//
// Effects, besides those of calls/Effects.h
//===----------------------------------------------------------------------===//

struct SendPeer {
  HostId To;
  Message Content;
};

/// Synced together with all other writes of the turn, then reported by
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

/// Replaces the file from which a later start loads the known backend servers.
struct StoreServers {
  std::string Bytes;
};

/// Stops accepting connections from callers.
struct StopAcceptingCallers {};

/// Ends the process, once all replies are written to their callers.
struct Exit {
  int Status = 0;
  Duration FlushTime = milliseconds(500); // The process ends after this time,
                                          // although replies are unwritten.
};

using Effect =
    std::variant<SendPeer, calls::SendReply, calls::StartStream,
                 calls::StreamBytes, calls::EndStream, calls::CloseExchange,
                 calls::OpenUpstream, calls::AbortUpstream,
                 calls::PauseUpstream, WriteDisk, LogDecision, RecordSample,
                 StoreServers, StopAcceptingCallers, Exit>;

using Effects = std::vector<Effect>;

} // namespace pimento
