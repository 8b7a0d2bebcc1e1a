//===- RelayMessages.h - Requests by way of another host --------*- C++ -*-===//
//
// An entry host that has lost its paths to the backend servers of a service
// hands requests over to another entry host, the relay, which sends them to a
// server and returns the answer. These messages travel on links of their own,
// so that bodies and streams delay no heartbeat or placement.
//
//   either entry host              PathQuery, PathReply
//   handing host to relay          RelayRequest, RelayBody, RelayCredit,
//                                  RelayCancel
//   relay to handing host          RelayBodyCredit, RelayHead, RelayData,
//                                  RelayEnd, RelayRefusal
//
// Bytes flow by credit: a sender sends no more than the receiver asked for.
// Offsets show a message that was lost.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Codes.h"
#include "base/Ids.h"
#include "base/RequestInfo.h"
#include "base/Time.h"
#include "wire/Blob.h"
#include "wire/MessageList.h"

#include <cstdint>
#include <string>
#include <vector>

namespace pimento {

/// A backend server to which a host could make no connection.
struct DoubtedServer {
  BackendId Server;
  IncarnationNumber Incarnation = 0;
  Duration Age = {}; // Time since the failure.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Server, M.Incarnation, M.Age);
  }
};

/// Asks another entry host whether it can connect to these servers.
struct PathQuery {
  static constexpr std::uint16_t WireType = 821;
  std::uint64_t Sequence = 0; // Number of the query, repeated in the reply.
  std::vector<DoubtedServer> Servers;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Sequence, M.Servers);
  }
};

/// Whether a host can connect to a server.
enum class PathFinding : std::uint8_t {
  Unknown,   // Not known, or the host's own paths are in doubt.
  Reached,   // It connected after the failure that was asked about.
  Unreached, // It could not, although it reaches other servers.
};

struct PathReport {
  BackendId Server;
  PathFinding Finding = PathFinding::Unknown;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Server, M.Finding);
  }
};

/// The answer to a PathQuery.
struct PathReply {
  static constexpr std::uint16_t WireType = 822;
  std::uint64_t Sequence = 0;
  std::vector<PathReport> Servers;
  std::uint64_t Relayed = 0; // Requests of other hosts under way at the sender.
  bool TakesRequests = false; // The sender is ready to relay.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Sequence, M.Servers, M.Relayed, M.TakesRequests);
  }
};

/// Hands a caller's request over.
struct RelayRequest {
  static constexpr std::uint16_t WireType = 823;
  std::uint64_t Id = 0;    // Unique in the sender's incarnation.
  RequestInfo Info;        // LastEvent: where the stream is to go on.
  std::uint8_t Method = 0; // HttpMethod.
  std::string Target;
  Blob Body;                  // The first bytes of the body.
  std::uint64_t BodySize = 0; // Of the whole body.
  Duration TimeLeft = {};     // Time left until the request's deadline.
  Duration Waited = {};       // Time since the request reached the sender.
  std::uint64_t Routing = 0;  // Configuration in force at the sender; the relay
                              // must not have an older one.
  std::uint32_t SendsLeft = 1;  // Servers that the request may be sent to.
  std::vector<BackendId> Avoid; // Servers at which an attempt failed.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Id, M.Info, M.Method, M.Target, M.Body, M.BodySize, M.TimeLeft,
          M.Waited, M.Routing, M.SendsLeft, M.Avoid);
  }
};

/// Further bytes of a request's body.
struct RelayBody {
  static constexpr std::uint16_t WireType = 824;
  std::uint64_t Id = 0;
  std::uint64_t Offset = 0; // Of the first byte in the body.
  Blob Bytes;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Id, M.Offset, M.Bytes);
  }
};

/// How much of a request's body may be sent in all.
struct RelayBodyCredit {
  static constexpr std::uint16_t WireType = 825;
  std::uint64_t Id = 0;
  std::uint64_t Until = 0; // Bytes from the body's beginning.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Id, M.Until);
  }
};

/// The head of a backend server's answer.
struct RelayHead {
  static constexpr std::uint16_t WireType = 826;
  std::uint64_t Id = 0;
  int Status = 0; // HTTP status.
  std::vector<HttpHeader> Headers;
  BackendId Server;                  // The server that answers.
  IncarnationNumber Incarnation = 0; // Of that server.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Id, M.Status, M.Headers, M.Server, M.Incarnation);
  }
};

/// Bytes of an answer's body.
struct RelayData {
  static constexpr std::uint16_t WireType = 827;
  std::uint64_t Id = 0;
  std::uint64_t Offset = 0; // Of the first byte in the answer's body.
  Blob Bytes;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Id, M.Offset, M.Bytes);
  }
};

/// The end of an answer.
struct RelayEnd {
  static constexpr std::uint16_t WireType = 828;
  std::uint64_t Id = 0;
  bool IsComplete = false;
  std::uint64_t Size = 0;  // Of the answer's body.
  std::uint32_t Sends = 0; // Servers that the request was sent to.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Id, M.IsComplete, M.Size, M.Sends);
  }
};

/// The relay gives no server's answer.
struct RelayRefusal {
  static constexpr std::uint16_t WireType = 829;
  std::uint64_t Id = 0;
  Code Number = Code::NoBackend;
  std::string Reason;
  Duration RetryAfter = {}; // For the caller; zero: none.
  bool MayHaveRun = false;  // A server may have run the request.
  std::uint32_t Sends = 0;  // Servers that the request was sent to.
  bool IsOfHost = false;    // Another host may take the request.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Id, M.Number, M.Reason, M.RetryAfter, M.MayHaveRun, M.Sends,
          M.IsOfHost);
  }
};

/// How much of an answer's body may be sent in all.
struct RelayCredit {
  static constexpr std::uint16_t WireType = 830;
  std::uint64_t Id = 0;
  std::uint64_t Until = 0; // Bytes from the answer's beginning.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Id, M.Until);
  }
};

/// The answer is not needed any more.
struct RelayCancel {
  static constexpr std::uint16_t WireType = 831;
  std::uint64_t Id = 0;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Id);
  }
};

using RelayMessages =
    MessageList<PathQuery, PathReply, RelayRequest, RelayBody, RelayBodyCredit,
                RelayHead, RelayData, RelayEnd, RelayRefusal, RelayCredit,
                RelayCancel>;

} // namespace pimento
