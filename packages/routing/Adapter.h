//===- Adapter.h - What a platform's adapter translates ---------*- C++ -*-===//
//
// A platform names its headers, paths and fields in its own way. An adapter is
// a set of functions that turn them into the types below and back; it keeps no
// state and decides nothing. The one in use is handed to the process at its
// start.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Http.h"
#include "base/Ids.h"
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
// Calls to the platform's side of a host
//===----------------------------------------------------------------------===//

/// The balancer asks whether this host takes callers.
struct ReadyQuery {};
/// A backend server reports itself.
struct ServerReported {
  ServerReport Report;
};
/// A backend server leaves.
struct ServerLeft {
  BackendId Id;
  std::uint64_t Incarnation = 0; // Zero: not said.
};
/// An operator puts a configuration in force.
struct PutRouting {
  std::string Text; // As it came.
};
/// An operator reads the newest configuration.
struct ReadRouting {};
/// Operators read the counters.
struct ReadMetrics {};
/// The call's body or path is not understood.
struct BadCall {
  int Status = 404;
  std::string Detail;
};

using PlatformCall =
    std::variant<BadCall, ReadyQuery, ServerReported, ServerLeft, PutRouting,
                 ReadRouting, ReadMetrics>;

//===----------------------------------------------------------------------===//
// Requests of callers
//===----------------------------------------------------------------------===//

/// What the head of a caller's request says.
struct RequestInfo {
  std::string ClientAttemptId; // Of this one try of the caller; empty: none.
  std::string Host;            // Which the caller named.
  std::string Key;             // Of a client account; empty: none.
  std::optional<Duration> TimeLimit; // The caller goes after it.
  std::string LastEvent; // The stream goes on behind it; empty: from the start.
  std::uint64_t PromptTokens = 0;           // Zero: no prompt.
  std::uint64_t AnswerTokens = 0;           // Most that it asks for.
  std::uint64_t ExpectedTokens = 0;         // The caller's guess; zero: none.
  std::vector<HttpHeader> ForwardedHeaders; // Headers for the backend server.
};

/// A backend server that helps with a long prompt.
struct HelperInfo {
  std::string Address;
  std::string Ticket; // Of the memory reserved there; empty: none.
};

/// What this system adds to a request on its way to a backend server.
struct ForwardInfo {
  Duration TimeLeft = Duration::zero();
  BackendId Expected;               // Any other server refuses.
  AccountId Account;                // Empty: none.
  std::string LastEvent;            // Empty: from the start.
  std::optional<int> PriorityClass; // 0 first, 9 last.
  std::vector<HelperInfo> Helpers;
};

/// What the head of a backend server's answer says.
struct AnswerInfo {
  std::string ClientAttemptId; // Whose answer it is; empty: it does not say.
  bool Stamped = false;        // Made by a backend server.
  bool NotRun = false;      // The server did not run the request and will not.
  std::string FaultyServer; // Address of another server that is at fault.
  bool Events = false;      // The body is a series of events.
};

/// An order to an engine.
struct EngineOrder {
  HttpMethod Method = HttpMethod::Post;
  std::string Target;
  std::vector<HttpHeader> Headers;
  std::string Body;
};

struct Adapter {
  PlatformCall (*DecodeCall)(const HttpRequest &R) = nullptr;
  /// Reads a configuration; returns what cannot be read, or an empty text.
  std::string (*DecodeRouting)(std::string_view Text,
                               RoutingConfig &C) = nullptr;
  RequestInfo (*DecodeRequestInfo)(const HttpRequest &R) = nullptr;
  /// All headers of a request to a backend server.
  std::vector<HttpHeader> (*EncodeForward)(const RequestInfo &C,
                                           const ForwardInfo &F) = nullptr;
  AnswerInfo (*DecodeAnswer)(int Status,
                             const std::vector<HttpHeader> &Headers) = nullptr;
  /// The name of the header by which callers are told when to come back, and
  /// its value.
  HttpHeader (*EncodeRetryAfter)(Duration D) = nullptr;
  EngineOrder (*EncodeReserve)(const std::string &Ticket, std::uint64_t Tokens,
                               Duration Hold) = nullptr;
  EngineOrder (*EncodeRelease)(const std::string &Ticket) = nullptr;
  /// The body that acknowledges a report; \p NextAddress: where to report
  /// next, or empty.
  std::string (*EncodeReportReply)(const std::string &NextAddress) = nullptr;
  /// The header that a backend server repeats in its answer.
  const char *ClientAttemptIdHeader = "";
};

} // namespace pimento
