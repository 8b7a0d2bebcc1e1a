//===- Routing.h - Routes, services and client accounts ---------*- C++ -*-===//
//
// A routing configuration maps requests, by host name and path prefix, to
// services, and lists the client accounts with their API keys. It is replaced
// as a whole; the configuration with the highest number is in force.
//
//   RoutingConfig C = ...;                    // Decoded by the adapter.
//   if (std::string Why = findConfigError(C); !Why.empty()) ...
//   RouteTable T = makeRouteTable(C);
//   if (const Route *R = findRoute(T, "api.example", "/files/7")) ...
//
//   RoutingConfig    routes, services, client accounts and limits for callers
//   EngineProfile    prefill and decode speed of a service's engines
//   findConfigError()      validates a configuration
//   RouteTable       a configuration with indexes for look-ups
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pimento {

/// Whether the requests of a route may be retried.
enum class CallKind : std::uint8_t {
  Idempotent, // May run more than once.
  Once,       // Must run at most once for each attempt of the caller.
  Stream,     // Answered by a stream of events; retried only if resumable.
};

const char *toString(CallKind K);

/// A service that receives a share of a route's requests.
struct RouteTarget {
  ServiceId Service;
  std::uint64_t Weight = 1; // Relative to the route's other targets; zero: no
                            // requests.
};

/// Handling of the requests to one host name and path prefix.
struct Route {
  std::string Name;
  std::string Host;       // Lower case, without a port.
  std::string PathPrefix; // Begins and ends with a slash.
  CallKind Kind = CallKind::Idempotent;
  std::vector<RouteTarget> Targets;
  Duration TimeLimit = seconds(30); // Longest time to the end of the answer.
  Duration Objective = Duration::zero(); // Target time to the answer or, for a
                                         // stream, to the first event.
  Duration InterEventObjective =
      Duration::zero(); // Target gap between two events; zero: none.
  Duration EventTimeout =
      Duration::zero(); // A caller of a stream gives up after this time without
                        // an event; zero: never.
  std::uint32_t Attempts = 1; // Most backend servers that a request may reach.
  int Priority = 0;           // Zero: highest priority.
  bool Public = false;        // Requests need no API key.
  bool Resumable = false;     // A stream may resume at another backend server.
  std::uint64_t TextDigest = 0; // Of the text that it was decoded from; zero:
                                // not known.
};

/// Capacity and speed of a service's engines, from their data sheet. An engine
/// is a backend server that runs a language model: it prefills prompts and
/// decodes answers in steps.
struct EngineProfile {
  std::uint32_t Slots = 1;          // Requests that run at once.
  std::uint64_t MemoryTokens = 0;   // Prompt and answer tokens held at once.
  std::uint32_t StepsPerEvent = 1;  // Decode steps in an event interval.
  std::uint32_t ChunkTokens = 2048; // Prompt tokens prefilled in one step.
  Duration Step = milliseconds(1);  // Step without prefill or decode work.
  Duration StepTimePerSequence = Duration::zero(); // Per decoding request.
  Duration StepTimePerThousandContext =
      Duration::zero(); // Per 1000 context tokens of the decoding requests.
  Duration StepTimePerHelper =
      Duration::zero(); // Per helper of a split prompt.
  double PrefillTokensPerSecond = 1;
  Duration PrefillTimePerMillionPairs =
      Duration::zero(); // Per million pairs of a token and an earlier token.
};

/// A service in the operator's configuration.
struct RoutedService {
  ServiceId Name;
  std::uint32_t Connections = 0; // Limit to one backend server, over all hosts;
                                 // zero: no limit.
  std::optional<EngineProfile> Engine; // Empty: the servers are no engines.
  std::string HealthPath; // A server answers GET there while it runs; empty: no
                          // such path.
  Duration ColdTime = Duration::zero(); // A server is cold for so long after
                                        // its start; zero: not known to be.
  double ColdPerSecond = 0; // Requests a second that a cold server takes from
                            // all hosts together; zero: no limit.
};

/// A client account in the operator's configuration.
struct RoutedAccount {
  AccountId Name;
  std::vector<std::string> Keys;
  std::optional<int> Priority; // Overrides the route's priority.
};

/// Limits for callers' requests and connections.
struct CallerLimits {
  std::uint64_t HeaderBytes = 16U << 10U;
  std::uint64_t BodyBytes = 4U << 20U;
  Duration HeaderTime = seconds(30); // Time to receive all headers.
  Duration IdleTime = minutes(1); // Idle time of a connection between requests.
};

/// A routing configuration as decoded by the adapter.
struct RoutingConfig {
  std::uint64_t Number = 0;
  std::vector<Route> Routes;
  std::vector<RoutedService> Services;
  std::vector<RoutedAccount> Accounts;
  CallerLimits Limits;
};

/// Validates a configuration. Returns a message that describes the first error,
/// or an empty string for a valid configuration.
std::string findConfigError(const RoutingConfig &C);

/// An immutable configuration with its indexes.
struct RouteTable {
  RoutingConfig Config;
  // Routes by host name in lower case; the longest prefix first.
  std::unordered_map<std::string, std::vector<const Route *>> ByHost;
  std::unordered_map<std::string, const RoutedAccount *> ByKey;
  std::map<ServiceId, const RoutedService *> ByService;
};

/// Builds the table. The indexes point into the table, so it must not be copied
/// or moved.
std::shared_ptr<const RouteTable> makeRouteTable(RoutingConfig C);

/// Returns the route of \p Host, with or without a port, whose path prefix is
/// the longest one that \p Path begins with; null if no route matches.
const Route *findRoute(const RouteTable &T, std::string_view Host,
                       std::string_view Path);

/// Returns the client account with the API key \p Key, or null.
const RoutedAccount *findAccount(const RouteTable &T, const std::string &Key);

/// Whether requests need an API key, unless their route is public.
inline bool needsKeys(const RouteTable &T) {
  return !T.Config.Accounts.empty();
}

/// Selects a target by weight. \p Draw is a random number of any size.
const ServiceId &chooseTarget(const Route &R, std::uint64_t Draw);

} // namespace pimento
