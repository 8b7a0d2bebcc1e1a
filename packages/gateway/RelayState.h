//===- RelayState.h - Paths and relayed requests of a host ------*- C++ -*-===//
//
// Parts of the state of an entry host (Gateway.h): what it does to tell lost
// paths from lost servers, requests that it handed over to another host, the
// relay, and requests that it relays for others.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "relay/ByteFlow.h"
#include "relay/PathWatch.h"
#include "relay/RelayPeers.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace pimento {

/// A new connection to a server, to see whether this host reaches it. It
/// carries a health check or a load query.
struct PathProbe {
  BackendId Server;
  ServiceId Service;
  bool IsForOthers = false; // Another host asked; the failure is no doubt of
                            // this host's.
  TimePoint SentAt{};
  TimePoint ExpiresAt{};
};

/// A server's failure that may be the fault of this host's path to it. It is
/// reported only once it is known to be the server's fault.
struct FaultReport {
  enum class Kind : std::uint8_t {
    Engine, // To be avoided by the placer.
    Plain,  // A failure for its ejection at this host.
    Crash,  // It broke off answers and takes no connection.
  };
  Kind What = Kind::Engine;
  BackendId Server;
  ServiceId Service;
  TimePoint At{};
  bool IsUnreached = false; // No connection to the server could be made.
  ServerCrash Crash;        // Of Kind::Crash; of others only the incarnation.
};

/// Another host's query whether this host reaches servers, until probes tell.
struct PathAsk {
  HostId From;
  std::uint64_t Sequence = 0;
  std::vector<DoubtedServer> Servers;
  TimePoint Since{};
  TimePoint ExpiresAt{};
  std::map<BackendId, PathFinding> Found;
};

/// A request of another host that this host relays. The call itself is one of
/// Gateway::Calls.
struct RelayedRequest {
  HostId From;
  std::uint64_t Id = 0;              // At that host.
  IncarnationNumber Incarnation = 0; // Of that host.
  RelayRequest Request;              // Until its body is whole.
  ByteSink Body;                     // Body as it arrives.
  ByteSource Answer;                 // Bytes that wait for credit.
  bool IsAdmitted = false; // Its body is whole and it was made a call.
  bool HasHead = false;    // The head of the answer was sent.
  bool HasEnded = false;   // All of the answer is in Answer.
  bool IsComplete = false; // The answer ended as a whole one.
  bool IsPaused = false;   // The server's answer is not read meanwhile.
  std::uint32_t Sends = 0; // Servers that the request was sent to.
  BackendId Server;        // The one that answers.
  IncarnationNumber ServerIncarnation = 0;
};

/// Paths of a host and its part in relaying.
struct RelayState {
  PathWatch Paths;
  RelayPeers Peers;
  std::map<ServiceId, TimePoint> HeardAt; // Latest bytes of a server's answer.
  std::map<UpstreamId, PathProbe> Probes;
  TimePoint NextOtherProbe{}; // See probeOtherService().
  TimePoint NextAskAt{};      // Other hosts are not asked before.
  TimePoint NextSearchAt{};   // Next search for further relays.
  std::vector<FaultReport> FaultReports;
  std::vector<PathAsk> Asks;
  std::map<std::uint64_t, ByteSource>
      Bodies; // Bodies being sent to relays, by the attempt's upstream id.
  std::map<ExchangeId, RelayedRequest> Taken; // Requests of other hosts.
  std::map<std::pair<HostId, std::uint64_t>, ExchangeId> TakenById;
  std::uint64_t NextTaken = 1;
};

} // namespace pimento
