//===- Gateway.h - The entry host of a site nobody lists --------*- C++ -*-===//
//
//   Gateway S = makeGateway(Start, Now);
//   for (Effect &E : reduceGateway(S, Event, Now)) ...
//
// Takes callers' requests, finds route and account, chooses a backend server,
// passes the bytes on as they are, and the answer back. Pure: no clock, no
// socket, no random device.
//
// A request's life: Placing (engines only) -> Reserving (long prompts) ->
// Sent -> Answering; Pausing between two sends.
//
// What holds whatever happens
// * A request that may run once is sent again only with proof that it did not
//   run, and refused as "not run" only with that proof.
// * An answer goes to its caller whole, or is seen to be cut. It is that of the
//   request's own try, made by the server that was asked.
// * Work for a caller that left ends.
//
// Parts: Admission.cpp (routes, accounts), Attempt.cpp (sending, failures),
// Answer.cpp (answers, streams), PlacePart.cpp (engines), SitePart.cpp (control
// hosts, the entry hosts among each other, stop).
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Random.h"
#include "base/Settings.h"
#include "calls/Health.h"
#include "gateway/ControlLink.h"
#include "gateway/EventSplitter.h"
#include "gateway/Placer.h"
#include "gateway/RepeatBudget.h"
#include "node/Events.h"
#include "routing/Adapter.h"
#include "routing/Routing.h"
#include "routing/Servers.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pimento {

struct GatewayStart {
  Settings Config;
  Adapter Platform;
  IncarnationNumber Incarnation = 0; // Of this process.
  std::uint64_t Seed = 1;            // Of every random choice.
};

enum class CallStage : std::uint8_t {
  Placing,   // Waits for engines.
  Reserving, // Waits for memory at helpers.
  Sent,      // At a backend server, without an answer yet.
  Answering, // Its answer's head is here.
  Pausing,   // Between two sends.
};

const char *toString(CallStage S);

/// Memory reserved at an engine for one request.
struct Reservation {
  BackendId Engine;
  std::string Address;
  std::string Ticket;
  std::uint64_t Tokens = 0;
  UpstreamId Order{};  // Under way; zero: answered.
  TimePoint Expires{}; // At the engine.
  int Status = 0;      // Of the order's answer.
  bool Granted = false;
  bool IsUnconfirmed =
      false; // An order got no answer: it may yet be carried out.
};

/// A reservation that is to be given back, until an engine says so or it runs
/// out.
struct PendingRelease {
  std::string Address;
  std::string Ticket;
  UpstreamId Order{}; // Under way; zero: none.
  bool Confirmed = false;
  TimePoint NextAt{}; // Of the next order, or the end of the one under way.
  TimePoint Until{};  // It runs out by itself.
  TimePoint RepeatUntil{}; // An order that got no answer may yet make it anew.
};

/// One try at one backend server.
struct CallAttempt {
  BackendId Server;
  IncarnationNumber ServerIncarnation = 0;
  std::string Address;
  UpstreamId Upstream{}; // Zero: none is open.
  TimePoint Began{};
  TimePoint LastBytes{};  // Of the answer; Began where none came.
  Duration Forecast = {}; // Until the first event; zero: not forecast.
  bool BytesSent = false;
  int Status = 0; // Zero: no head yet.
  std::vector<HttpHeader> Headers;
  AnswerInfo Answer;
  std::string Body;         // Of an answer that is not passed on as it comes.
  bool IsForwarded = false; // Its events go to the caller as they come.
};

struct GatewayCall {
  std::uint64_t Ticket = 0; // Unique in this life.
  ExchangeId Exchange{};    // Zero: the caller left.
  RequestInfo Info;
  HttpMethod Method = HttpMethod::Get;
  std::string Target;
  std::string Body;
  std::shared_ptr<const RouteTable> Table; // Keeps Path alive.
  const Route *Path = nullptr;
  ServiceId Service;
  bool OnEngine = false;
  AccountId Account;
  int Priority = 0;
  TimePoint Arrived{};
  TimePoint Until{}; // The final answer is due.
  CallStage Stage = CallStage::Sent;

  std::uint32_t Sends = 0;        // That reached a server, as far as is known.
  std::uint32_t AttemptCount = 0; // Connections included that carried nothing.
  bool MayHaveRun = false;        // Some send may have run.
  std::vector<BackendId> TriedServers;
  BackendId FaultyServer; // Of the attempt's failure; empty: its server.
  Code LastFailure = Code::Ok;

  CallAttempt Attempt;
  bool Placed = false; // The placer counts it.
  bool IsRemotePlacement = false;
  TimePoint PlacementRequestedAt{};
  bool Acknowledged = false; // The placer said that it waits.
  PlacementReply Placement;
  std::vector<Reservation> Reserved;
  TimePoint RenewAt{}; // Of all that is reserved.

  bool Replying = false; // The caller has the head of an answer.
  EventSplitter Events;  // Of the stream to the caller.
  TimePoint FirstEventAt{};
  TimePoint LastEventAt{};
  Duration LongestEventGap = {}; // Between two events.
  TimePoint CheckAt{};           // Its entry in Timers.
};

/// A request that came before this host knew any configuration.
struct HeldRequest {
  ExchangeId Exchange{};
  HttpRequest Request;
  TimePoint Arrived{};
  TimePoint Until{}; // Refused then.
};

struct Gateway {
  Settings Config;
  Adapter Platform;
  HostId Self;
  IncarnationNumber Incarnation = 0;
  Random Rng;
  SiteRetryLimits RetryRules;

  std::shared_ptr<const RouteTable> Routes; // Null: none is known yet.
  ServerRegistry Servers;
  std::map<ServiceId, std::vector<calls::PlainServer>> PlainServers;
  calls::HealthState Health;
  SiteRetryBudget Retries;
  std::vector<HeldRequest> Held; // In order of arrival.
  TimePoint Started{};
  ControlLink Link;

  std::map<std::uint64_t, GatewayCall> Calls; // By ticket.
  std::map<ExchangeId, std::uint64_t> ByExchange;
  std::map<UpstreamId, std::uint64_t> ByUpstream;       // Requests and orders.
  std::set<std::pair<TimePoint, std::uint64_t>> Timers; // Of calls.
  std::uint64_t NextTicket = 1;
  std::uint64_t NextUpstream = 1;

  PlacerState Engines; // Of all requests while this host places them, else of
                       // its own.
  HostId Placer;       // Who placed last; empty or Self: this host.
  TimePoint PlacerAvoidedUntil{}; // It did not answer.
  std::map<HostId, IncarnationNumber>
      RequesterIncarnations; // Of hosts that asked here.
  std::vector<PendingRelease> Releases;
  std::map<HostId, TimePoint> LostHosts; // Whose link broke then.

  bool Stopping = false;
  TimePoint RefuseAt{}; // New requests, while it stops.
  TimePoint StopListeningAt{};
  TimePoint StopAt{};
};

Gateway makeGateway(const GatewayStart &Start, TimePoint Now);

Effects reduceGateway(Gateway &S, const Event &E, TimePoint Now);

/// Whether the balancer should send callers here.
bool isReady(const Gateway &S);

/// When a Tick is needed next at the latest.
TimePoint nextWakeup(const Gateway &S, TimePoint Now);

std::vector<MetricSample> gatewayGauges(const Gateway &S, TimePoint Now);

} // namespace pimento
