//===- Gateway.h - Request forwarding of an entry host ----------*- C++ -*-===//
//
//   Gateway S = makeGateway(Start, Now);
//   for (Effect &E : reduceGateway(S, Event, Now)) ...
//
// Accepts callers' requests, finds the route and the client account, chooses a
// backend server, forwards the request's bytes unchanged, and returns the
// answer. Written for sites whose hosts find each other by seed addresses. The
// reducer is a pure function of state, event and time: it uses no clock, socket
// or random device.
//
// Stages of a request: Placing (engines only) -> Reserving (long prompts) ->
// Sent -> Answering; Pausing between two attempts.
//
// Invariants
// * A request that must run at most once is sent again only if it provably did
//   not run, and reported as not run only in that case.
// * An answer reaches its caller complete or is recognizably truncated. It
//   belongs to the request's own attempt and comes from the backend server that
//   was addressed.
// * An answer that may still come is not given up because it is late: its
//   attempt goes on until another server has answered, or the time is up.
// * Work for a caller that disconnected is cancelled, unless the request must
//   run at most once and has been sent.
//
// Admission.cpp   routes and accounts
// Attempt.cpp     attempts and their failures
// Answer.cpp      answers and streams
// ConfirmPart.cpp streams that ended with their connection: whether they are
//                 whole
// HedgePart.cpp   another server is tried while an attempt is late
// PlacePart.cpp   placement on engines
// ReservePart.cpp memory reservations at helpers
// SpeedPart.cpp   load reports of engines suspected of being slow
// QuarantinePart.cpp requests, and parts of prompts, that crash servers
// CrashCheckPart.cpp servers that broke off answers: whether they still run
// RunPart.cpp     what servers may be at work on after their calls have ended
// ServerNoticePart.cpp what servers say of themselves in answers
// LeavingPart.cpp servers that announced in answers that they leave
// PausePart.cpp   servers that want no requests for a time
// ServerUse.cpp   whether a server may get a request now, and why not
// ServerListPart.cpp the same for operators
// LimitPart.cpp   servers that named a limit of requests
// PathPart.cpp    paths of this host to the servers
// PathQueryPart.cpp other hosts' findings on servers that this host does not
//                 reach, and findings for them
// FaultReportPart.cpp what is held against servers once a path is not at fault
// HandOverPart.cpp requests handed over to another host
// RelayPart.cpp   requests that other hosts handed over to this one
// RoutingPart.cpp configurations sent by control hosts
// SitePart.cpp    control hosts, other entry hosts, shutdown
//
//===----------------------------------------------------------------------===//
#pragma once

#include "answer/EventSplitter.h"
#include "base/Random.h"
#include "base/RequestDigest.h"
#include "base/Settings.h"
#include "calls/Health.h"
#include "gateway/ControlLink.h"
#include "gateway/RelayState.h"
#include "hedge/RepeatBudget.h"
#include "hedge/SlowAnswers.h"
#include "node/Events.h"
#include "placement/PermitQueue.h"
#include "placement/Placer.h"
#include "quarantine/CrashQuarantine.h"
#include "routing/Adapter.h"
#include "routing/RequestLimits.h"
#include "routing/Routing.h"
#include "routing/RoutingUpdate.h"
#include "routing/Servers.h"

#include <deque>
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
  IncarnationNumber Incarnation = 0; // Incarnation of this process.
  std::uint64_t Seed = 1;            // Seed of all random choices.
};

enum class CallStage : std::uint8_t {
  Placing,        // Waits for the choice of engines.
  AwaitingPermit, // Waits for the permit to use a limited server.
  AwaitingPath,   // Waits until it is known whether this host or the servers
                  // are at fault, or for a host that can take the request.
  Reserving,      // Waits for memory reservations at helpers.
  Sent,           // Being sent to a backend server, or to another host; no
                  // answer yet.
  Answering,      // The head of the answer has arrived.
  Confirming, // The connection ended a stream that has no length; the engine is
              // asked whether it still runs.
  Pausing,    // Waits between two attempts.
};

const char *toString(CallStage S);

/// Memory reserved for a request at a helper, an engine that prefills a part of
/// its prompt. Orders are the HTTP requests that reserve or release memory.
struct Reservation {
  BackendId Engine;
  std::string Address;
  std::string Ticket;
  std::uint64_t Tokens = 0;
  UpstreamId Order{};  // Pending order; zero: none.
  TimePoint Expires{}; // The engine then frees the memory.
  int Status = 0;      // HTTP status of the latest answer to an order.
  bool Granted = false;
  bool IsUnconfirmed = false; // An order without an answer may yet take effect.
};

/// A reservation to be released. Release orders are repeated until the engine
/// confirms one or the reservation expires.
struct PendingRelease {
  std::string Address;
  std::string Ticket;
  UpstreamId Order{}; // Pending order; zero: none.
  bool Confirmed = false;
  TimePoint NextAt{};      // Next order, or timeout of the pending one.
  TimePoint ExpiresAt{};   // Expiry of the reservation.
  TimePoint RepeatUntil{}; // Releases continue until then, because an
                           // unanswered order may still renew the reservation.
};

/// A query of an engine's load that has no answer yet.
struct SpeedQuery {
  BackendId Engine;
  int Status = 0; // HTTP status of the answer; zero: no head yet.
  std::string Body;
  TimePoint ExpiresAt{};
};

/// A query that confirms the end of a call's stream.
struct EndQuery {
  std::uint64_t Ticket = 0; // Of the call, which is Confirming.
  std::string Report;       // The engine's load report as far as it arrived.
};

/// A query whether a backend server still runs after it broke off answers. If
/// it has crashed, the requests are suspects.
struct CrashCheck {
  ServerCrash Crash; // Age is unused.
  bool IsEngine = false;
  bool IsConnected = false; // The server took the query's connection.
  TimePoint CrashedAt{};
  TimePoint ExpiresAt{};
};

/// The server that gave an answer.
struct AnsweringServer {
  BackendId Server;
  IncarnationNumber Incarnation = 0;
  std::string Address;
  std::string ClientAttemptId; // Of the request; empty: it had none.
  bool IsRequest = false; // It answered a caller's request, and no order, query
                          // or probe of this host's own.
};

/// An incarnation of a backend server that announced in an answer that it
/// leaves.
struct LeavingServer {
  IncarnationNumber Incarnation = 0;
  TimePoint Since{};
  bool IsKnownByControl = false; // Control hosts report that it leaves.
};

/// An incarnation of a backend server that turned a request of this host away
/// and wants none until a time. Afterwards it gets one at a time until it takes
/// one.
struct PausedServer {
  IncarnationNumber Incarnation = 0;
  TimePoint Until{};
  std::uint64_t Probe = 0; // Ticket of the latest request after Until.
};

/// Why a backend server gets no request of this host now.
enum class SendBlock : std::uint8_t {
  None,
  NotReady, // It is not up, or leaves, by what is reported of it.
  Leaving,  // It announced that it leaves.
  NoPath,   // This host does not reach it, or is not sure to.
  Paused,   // It wants no requests for a time.
  Probed,   // One request is under way to see whether it takes requests again.
  Ejected,  // Requests to it failed; it gets one if there is no other server.
  Limited,  // It named a limit; it gets requests by permit.
};

/// What is at fault if an attempt fails.
enum class FaultSide : std::uint8_t {
  Server,
  Path,   // The server, or this host's path to it.
  Nobody, // This host did not send the request, or a relay did.
};

/// One sending of a request to a backend server.
struct CallAttempt {
  BackendId Server;
  IncarnationNumber ServerIncarnation = 0;
  std::string Address;
  UpstreamId Upstream{}; // Open exchange with the server; zero: none.
  std::vector<UpstreamId> EndQueries; // Pending queries whether the answer that
                                      // has ended is whole.
  TimePoint EndedAt{};         // The connection ended, of such an answer.
  TimePoint NextEndQueryAt{};  // Another one is sent, without an answer.
  Duration EndQueryLimit = {}; // Of the latest query.
  TimePoint Began{};
  TimePoint HeadAt{};     // Receipt of the answer's head; the epoch: none.
  TimePoint LastBytes{};  // Last receipt of answer bytes; Began if none came.
  Duration Forecast = {}; // Forecast time to the first event; zero: none.
  bool BytesSent = false;
  bool IsKept = false; // On a connection that had been used before.
  std::string Failure; // Of the connection, for logs; empty: none.
  FaultSide Fault = FaultSide::Server; // What a failure says.
  bool IsDoubted = false;     // The path was probed, since nothing came.
  bool IsAccused = false;     // The server's silence was held against it.
  bool HasNoHedge = false;    // No hedge may begin, as a log line says.
  bool IsSlow = false;        // It was decided whether its slowness is hedged.
  TimePoint SilenceProbeAt{}; // The silent engine was last probed.
  HostId Relay; // Host that the request was handed over to; empty: none.
  std::uint32_t RelaySends = 0; // Servers that the relay may send it to; they
                                // count as sends until the relay says how many.
  ByteSink Taken;               // Bytes of the relay's answer.
  int Status = 0;               // HTTP status; zero: no head yet.
  std::vector<HttpHeader> Headers;
  AnswerInfo Answer;
  std::string Body;         // Body of an answer that is buffered.
  bool IsForwarded = false; // Events are forwarded as they arrive.
  bool HasEvents = false;   // A complete event has arrived.
  bool IsPaused = false;    // The answer is not read, since its caller is slow.
};

/// An admitted request, from its arrival to its final answer.
struct GatewayCall {
  std::uint64_t Ticket = 0; // Unique in this incarnation of the host.
  ExchangeId Exchange{};    // Zero: the caller disconnected, or it is a hedge.
  RequestInfo Info;
  HttpMethod Method = HttpMethod::Get;
  std::string Target;
  SharedText Body;
  RequestDigest Digest;                    // Of Account, Target and Body.
  std::shared_ptr<const RouteTable> Table; // Owns Path.
  const Route *Path = nullptr;
  ServiceId Service;
  bool OnEngine = false;
  AccountId Account;
  int Priority = 0;
  TimePoint Arrived{};
  TimePoint Deadline{}; // Deadline of the final answer.
  CallStage Stage = CallStage::Sent;

  bool IsRelayed = false;     // Another host handed the request over.
  TimePoint PathWaitUntil{};  // Of AwaitingPath; the epoch: it did not wait.
  std::uint32_t MaxSends = 1; // Servers that the request may be sent to.
  std::uint32_t Sends = 0;    // Attempts that sent bytes to a server.
  std::uint32_t AttemptCount = 0; // All attempts, also without a connection.
  bool MayHaveRun = false;        // A server may have run the request.
  std::vector<BackendId> TriedServers;
  BackendId FaultyServer; // Server at fault if the attempt fails; empty: the
                          // server that the attempt was sent to.
  Code LastFailure = Code::Ok;   // Of the latest attempt that failed.
  std::string LastFailureReason; // Of the same, for logs; empty: none failed.
  TimePoint LastFailureAt{};

  std::uint64_t Hedge = 0;   // Ticket of the call's hedge; zero: none. A hedge
                             // may have one, too.
  std::uint64_t HedgeOf = 0; // Of a hedge: ticket of the call that it hedges.
  TimePoint HedgedAt{};      // Of a hedge: when it began.
  bool IsForSlow = false;    // Of a hedge: for a slow attempt, by a token of
                             // Gateway::SlowAnswers.
  TimePoint NextHedgeAt{};   // No hedge of the call begins before.
  bool IsRetryDue = false;   // The retry budget is charged as it is sent.

  CallAttempt Attempt;
  bool Placed = false;            // The placer counts the request on engines.
  bool IsRemotePlacement = false; // Another host, the placer, was asked.
  TimePoint PlacementRequestedAt{};
  bool Acknowledged = false; // The placer replied that the request waits.
  PlacementReply Placement;
  std::vector<Reservation> Reserved;
  TimePoint RenewAt{}; // Next renewal of all reservations.

  bool IsTrial = false;  // It or a part of its prompt is in quarantine; it is
                         // sent once to see whether servers still crash.
  bool Replying = false; // The head of an answer was sent to the caller.
  bool IsEventStream = false; // By the head that was sent.
  EventSplitter Events;       // State of the stream to the caller.
  TimePoint FirstEventAt{};
  TimePoint LastEventAt{};
  Duration LongestEventGap = {}; // Longest time between two events.
  std::size_t UnreadBytes = 0; // Of the stream, which the caller has not read.
  TimePoint CheckAt{};         // Time of the call's entry in Gateway::Timers.
};

/// A configuration that this host knows of and lacks.
struct MissingRouting {
  std::uint64_t Number = 0;
  TimePoint LearnedAt{}; // When this host learned that it is committed.
};

/// By which rate this host uses the limits of backend servers.
enum class LimitRole : std::uint8_t {
  Follower, // The placer uses them for this host.
  Placer,   // Uses them for all hosts.
  Alone,    // Chooses servers by itself, while the placer is not reachable.
};

/// A request that arrived before the host's first configuration and waits for
/// it.
struct HeldRequest {
  ExchangeId Exchange{};
  HttpRequest Request;
  TimePoint Arrived{};
  TimePoint HoldUntil{}; // The request is refused at this time.
};

struct Gateway {
  Settings Config;
  Adapter Platform;
  HostId Self;
  IncarnationNumber Incarnation = 0;
  Random Rng;
  SiteRetryLimits RetryRules;

  std::shared_ptr<const RouteTable> Routes; // Null before the first
                                            // configuration.
  RoutingVersion Routing;                // Text of the configuration in force.
  RoutingForm Form = RoutingForm::Delta; // In which the next one is taken.
  std::deque<MissingRouting> MissingRoutings; // In order of their numbers.
  bool Stale = false; // Requests are refused, since a newer configuration has
                      // been missing for too long.
  ServerRegistry Servers;
  std::map<BackendId, LeavingServer> Leaving;
  std::map<BackendId, PausedServer> Paused;
  std::map<ServiceId, std::vector<calls::PlainServer>> PlainServers;
  calls::HealthState Health;
  SiteRetryBudget Retries;
  hedge::SlowAnswers SlowAnswers;
  std::vector<HeldRequest> Held; // In order of arrival.
  TimePoint Started{};
  ControlLink Link;

  std::map<std::uint64_t, GatewayCall> Calls; // By ticket.
  std::map<ExchangeId, std::uint64_t> ByExchange;
  std::map<UpstreamId, std::uint64_t> ByUpstream;       // Requests and orders.
  std::set<std::pair<TimePoint, std::uint64_t>> Timers; // Next check of calls.
  std::uint64_t NextTicket = 1;
  std::uint64_t NextUpstream = 1;

  PlacerState Engines; // Placements of all entry hosts while this host is the
                       // placer, else of its own requests.
  HostId Placer;       // Placer last followed; empty or Self: this host.
  TimePoint PlacerAvoidedUntil{}; // Set after the placer did not answer; this
                                  // host places its own requests until then.
  std::map<HostId, IncarnationNumber>
      RequesterIncarnations; // Of entry hosts that sent placement requests.
  std::vector<PendingRelease> Releases;
  std::map<UpstreamId, SpeedQuery> SpeedQueries;
  std::map<UpstreamId, EndQuery> EndQueries;
  CrashQuarantine Quarantine; // What crashes servers, and own evidence.
  RequestLimits NamedLimits;  // Named by backend servers.
  std::uint64_t ControlLimitDigest = 0; // Of the active control host.
  LimitRole RoleForLimits = LimitRole::Follower;
  PermitQueue Permits; // Budgets of plain servers.
  TimePoint NextLimitLog{};
  std::map<UpstreamId, CrashCheck> CrashChecks;
  std::uint64_t ControlQuarantineDigest = 0; // Of the active control host.
  std::map<Suspect, std::uint64_t>
      Clearances; // To be reported: complete answers since the last report.
  std::set<Suspect> NewlyWatched; // Whose latest answers are to be reported.
  HostId WatchSource;             // Control host that named the watched ones.
  std::map<HostId, TimePoint> LostHosts; // When a host's link was lost.
  RelayState Relays; // Paths to servers, and requests by way of other hosts.

  std::size_t CallerBytes = 0; // As told by the process; see CallerRequest.

  bool Stopping = false;
  TimePoint RefuseAt{}; // During shutdown: new requests are refused from then.
  TimePoint StopListeningAt{};
  TimePoint StopAt{};     // Calls that are still open are ended then.
  TimePoint ExitBy{};     // The process ends then, whatever is unwritten.
  bool HandsOver = false; // All calls have ended; what servers may still be at
                          // work on is told to a control host.
  std::uint64_t HandOverSequence = 0; // Of the message that tells it.
  TimePoint HandOverUntil{};          // No answer is awaited any longer.
};

/// Returns the initial state of an entry host.
Gateway makeGateway(const GatewayStart &Start, TimePoint Now);

/// Processes an event and returns the effects that the host must carry out.
Effects reduceGateway(Gateway &S, const Event &E, TimePoint Now);

/// Whether the load balancer should send callers to this host.
bool isReady(const Gateway &S);

/// Returns the time by which the next Tick event is needed.
TimePoint nextWakeup(const Gateway &S, TimePoint Now);

/// Bytes that the state holds of callers' and other hosts' requests, and of
/// answers to them that are not handed to the process yet.
std::size_t heldBytes(const Gateway &S);

/// Returns the current values of the gauges in the metrics.
std::vector<MetricSample> gatewayGauges(const Gateway &S, TimePoint Now);

} // namespace pimento
