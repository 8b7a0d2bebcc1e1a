//===- Adapter.h - Translation of a platform's protocol ---------*- C++ -*-===//
//
// Each platform has its own names for headers, paths and fields. An adapter is
// a set of functions that translate between those names and the types below. It
// keeps no state and makes no decisions. The process receives its adapter at
// startup.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Http.h"
#include "base/Ids.h"
#include "base/RequestInfo.h"
#include "base/Time.h"
#include "routing/Routing.h"
#include "wire/SiteMessages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pimento {

//===----------------------------------------------------------------------===//
// Calls from the platform: load balancer, backend servers and operators
//===----------------------------------------------------------------------===//

/// The load balancer asks whether this host accepts callers' requests.
struct ReadyQuery {};
/// A backend server announces itself and its state.
struct ServerReported {
  ServerReport Report;
};
/// A backend server deregisters.
struct ServerDeregistered {
  BackendId Id;
  std::uint64_t Incarnation = 0; // Zero: not specified.
};
/// An operator replaces the routing configuration.
struct PutRouting {
  std::string Text; // Body of the request, unchanged.
};
/// An operator reads the newest routing configuration.
struct ReadRouting {};
/// An operator or a monitoring system reads the metrics.
struct ReadMetrics {};
/// An operator evacuates a data centre, so that its backend servers get nothing
/// more, or has them used again.
struct EvacuateDataCentre {
  DataCentreId DataCentre;
  bool Start = true; // False: the servers are used again.
};
/// The call has an unknown path or a malformed body.
struct InvalidCall {
  int Status = 404;
  std::string Detail;
};

using PlatformCall =
    std::variant<InvalidCall, ReadyQuery, ServerReported, ServerDeregistered,
                 PutRouting, ReadRouting, ReadMetrics, EvacuateDataCentre>;

//===----------------------------------------------------------------------===//
// Requests to backend servers and their answers
//===----------------------------------------------------------------------===//

/// A backend server that prefills a part of a long prompt.
struct HelperInfo {
  std::string Address;
  std::string Ticket; // Name of the memory reservation there; empty: none.
};

/// Information that the entry host adds to a request when it forwards the
/// request to a backend server.
struct ForwardInfo {
  Duration TimeLeft = Duration::zero(); // Time until the request's deadline.
  BackendId Expected;    // Server that is to run the request; any other server
                         // at the address refuses the request.
  AccountId Account;     // Empty: none.
  std::string LastEvent; // Id of the event after which a stream resumes; empty:
                         // the stream starts at its beginning.
  std::optional<int> PriorityClass; // 0: highest priority; 9: lowest.
  std::vector<HelperInfo> Helpers;
};

/// Information from the head of a backend server's answer.
struct AnswerInfo {
  std::string ClientAttemptId; // Id of the answered attempt; empty: not given.
  bool Stamped = false; // The answer carries the stamp that backend servers add
                        // to their answers.
  bool NotRun = false;  // The server did not run the request and will not.
  std::string FaultyServer; // Address of another server that is at fault.
  BackendId Server; // The answering server, in answers to health checks; empty:
                    // not given.
  bool Misdirected = false; // Another server than the expected one answered.
  bool IsLeaving = false;   // The server gets no new requests from now on.
  bool Events = false;      // The body is a stream of events.
  std::optional<Duration> RetryAfter; // The server wants no request from this
                                      // host for so long; empty: not given.
  std::optional<double> RequestLimit; // Requests a second that the server takes
                                      // from all hosts; empty: no limit.
  std::optional<Duration> WarmupTime; // The server is cold for so long; empty:
                                      // not given.
};

/// An HTTP request to an engine that reserves or releases memory, or asks for
/// the engine's load.
struct EngineOrder {
  HttpMethod Method = HttpMethod::Post;
  std::string Target;
  std::vector<HttpHeader> Headers;
  std::string Body;
};

/// Information from an engine's load report.
struct EngineLoad {
  double Slowness = 1; // Time of the engine's work relative to its data sheet.
};

struct Adapter {
  PlatformCall (*DecodeCall)(const HttpRequest &R) = nullptr;
  /// Parses a configuration. Returns a description of the first error, or an
  /// empty string on success. Routes whose text is the same as in \p Before,
  /// which may be null, are copied from there instead of parsed.
  std::string (*DecodeRouting)(std::string_view Text,
                               const RoutingConfig *Before,
                               RoutingConfig &C) = nullptr;
  RequestInfo (*DecodeRequestInfo)(const HttpRequest &R) = nullptr;
  /// Whether a header, named in lower case, concerns the connection, the caller
  /// or this system, so that it may not stand in a trailer.
  bool (*IsReservedField)(std::string_view Name) = nullptr;
  /// Returns all headers of a request to a backend server.
  std::vector<HttpHeader> (*EncodeForward)(const RequestInfo &C,
                                           const ForwardInfo &F) = nullptr;
  AnswerInfo (*DecodeAnswer)(int Status,
                             const std::vector<HttpHeader> &Headers) = nullptr;
  /// Returns the header, name and value, that tells a caller to retry after
  /// \p D.
  HttpHeader (*EncodeRetryAfter)(Duration D) = nullptr;
  /// Returns the order that reserves memory for \p Tokens or renews the
  /// reservation \p Ticket; the reservation expires after \p Hold.
  EngineOrder (*EncodeReserve)(const std::string &Ticket, std::uint64_t Tokens,
                               Duration Hold) = nullptr;
  EngineOrder (*EncodeRelease)(const std::string &Ticket) = nullptr;
  /// Returns the request for an engine's load report. Another engine than
  /// \p Expected refuses it; empty: any answers.
  EngineOrder (*EncodeLoadQuery)(const BackendId &Expected) = nullptr;
  /// Parses a load report; empty if it is malformed.
  std::optional<EngineLoad> (*DecodeLoadReport)(std::string_view Body) =
      nullptr;
  /// Returns the incarnation of the engine that wrote a load report; 0: the
  /// report does not tell.
  IncarnationNumber (*DecodeReportIncarnation)(std::string_view Body) = nullptr;
  /// Returns the body that acknowledges a backend server's report.
  /// \p NextAddress is the address for its next report, or empty.
  std::string (*EncodeReportReply)(const std::string &NextAddress) = nullptr;
  /// Name of the request header that a backend server repeats in its answer.
  const char *ClientAttemptIdHeader = "";
};

} // namespace pimento
