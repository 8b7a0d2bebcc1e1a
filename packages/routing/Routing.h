//===- Routing.h - Which service serves a request ---------------*- C++ -*-===//
//
//   RoutingConfig C = ...;                    // Decoded by the adapter.
//   if (std::string Why = findFault(C); !Why.empty()) ...
//   RouteTable T = makeRouteTable(C);
//   if (const Route *R = findRoute(T, "api.example", "/files/7")) ...
//
// Index
//   RoutingConfig    routes, services, client accounts and callers' limits
//   EngineProfile      how fast the engines of a service read and write
//   findFault()      why a configuration must not be put in force
//   RouteTable       the same, indexed for look-ups
//
// A configuration is replaced as a whole; the highest number is in force.
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

/// What may be done again with a request of a route.
enum class CallKind : std::uint8_t {
  Idempotent, // May run more than once.
  Once,       // At most once for each try of the caller.
  Stream,     // Answered by events; once, unless it is resumable.
};

const char *toString(CallKind K);

/// One of the services that share a route's requests.
struct RouteTarget {
  ServiceId Service;
  std::uint64_t Weight = 1; // Share among the route's targets; zero: none.
};

/// Requests of one host name whose path begins with one prefix.
struct Route {
  std::string Name;
  std::string Host;       // Lower case, without a port.
  std::string PathPrefix; // Begins and ends with a slash.
  CallKind Kind = CallKind::Idempotent;
  std::vector<RouteTarget> Targets;
  Duration TimeLimit = seconds(30);      // Longest time to the answer.
  Duration Objective = Duration::zero(); // To the answer or first event.
  Duration InterEventObjective =
      Duration::zero(); // Between two events; zero: none.
  Duration EventTimeout =
      Duration::zero();       // A caller of a stream goes after so
                              // long without an event; zero: stays.
  std::uint32_t Attempts = 1; // Backend servers that one request may reach.
  int Priority = 0;           // Zero is the most urgent.
  bool Public = false;        // Needs no key.
  bool Resumable = false;     // A stream may go on at another server.
};

/// Speeds of the engines behind a service, from their data sheet.
struct EngineProfile {
  std::uint32_t Slots = 1;          // Requests that run at once.
  std::uint64_t MemoryTokens = 0;   // Prompt and answer tokens held at once.
  std::uint32_t StepsPerEvent = 1;  // Steps of a pass while any request writes.
  std::uint32_t ChunkTokens = 2048; // Prompt tokens read in a step.
  Duration Step = milliseconds(1);  // One step that neither reads nor writes.
  Duration StepTimePerSequence = Duration::zero();
  Duration StepTimePerThousandContext = Duration::zero(); // Of each writer.
  Duration StepTimePerHelper = Duration::zero(); // While a prompt is spread.
  double PrefillTokensPerSecond = 1;
  Duration PrefillTimePerMillionPairs =
      Duration::zero(); // Of a token and an earlier.
};

/// A service as the operator describes it.
struct RoutedService {
  ServiceId Name;
  std::uint32_t Connections = 0; // Most of all hosts to one server; zero: any.
  std::optional<EngineProfile> Engine; // Nothing: a plain service.
};

struct RoutedAccount {
  AccountId Name;
  std::vector<std::string> Keys;
  std::optional<int> Priority; // Takes the place of the route's.
};

/// What callers may send.
struct CallerLimits {
  std::uint64_t HeaderBytes = 16U << 10U;
  std::uint64_t BodyBytes = 4U << 20U;
  Duration HeaderTime = seconds(30); // For all headers of a request.
  Duration IdleTime = minutes(1);    // Of a connection between requests.
};

struct RoutingConfig {
  std::uint64_t Number = 0;
  std::vector<Route> Routes;
  std::vector<RoutedService> Services;
  std::vector<RoutedAccount> Accounts;
  CallerLimits Limits;
};

/// Why the configuration may not be put in force, for people; empty where it
/// may.
std::string findFault(const RoutingConfig &C);

/// A configuration in force, with its indexes.
struct RouteTable {
  RoutingConfig Config;
  // By host; the longest prefix first.
  std::unordered_map<std::string, std::vector<const Route *>> ByHost;
  std::unordered_map<std::string, const RoutedAccount *> ByKey;
  std::map<ServiceId, const RoutedService *> ByService;
};

/// The indexes point into the table, which therefore stays where it is.
std::shared_ptr<const RouteTable> makeRouteTable(RoutingConfig C);

/// The route of \p Host, with or without a port, whose prefix is the longest
/// that begins \p Path; null where there is none.
const Route *findRoute(const RouteTable &T, std::string_view Host,
                       std::string_view Path);

/// The account that holds \p Key; null where nobody does.
const RoutedAccount *findAccount(const RouteTable &T, const std::string &Key);

/// Whether requests need a key, unless their route is public.
inline bool needsKeys(const RouteTable &T) {
  return !T.Config.Accounts.empty();
}

/// The target that \p Draw, any number, falls on; by weight.
const ServiceId &chooseTarget(const Route &R, std::uint64_t Draw);

} // namespace pimento
