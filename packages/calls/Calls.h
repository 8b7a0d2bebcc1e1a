//===- Calls.h - The requests in progress of one entry host -----*- C++ -*-===//
//
//   CallsState State = makeCalls(Settings, Incarnation, Seed);
//   CallsEffects Out;
//   onCallerRequest(State, Exchange, Request, Dir, Now, Out);
//   ... carry out Out.List in order, log Out.Decisions ...
//   tick(State, Dir, Now, Out); // At nextWakeup() at the latest.
//
// Pure: no clock, no I/O. Every request that comes in gets exactly one final
// answer before its time limit, and ends exactly once. What an attempt may
// still hold at an engine, and the outcome of a claim, are followed up behind
// the answer until they are confirmed.
//
// Index
//   Phase, EventKind     the states of a request; Transitions.def is the table
//   Request              one request in progress
//   CallsState           all of them
//   on...()              inputs
//   tick(), nextWakeup() time
//   beginDrain(), idle() graceful stop
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Http.h"
#include "base/Ids.h"
#include "base/Random.h"
#include "base/Settings.h"
#include "base/Time.h"
#include "calls/CallerApi.h"
#include "calls/Directory.h"
#include "calls/Effects.h"
#include "calls/Health.h"
#include "calls/RetryBudget.h"
#include "engine/Prefix.h"
#include "engine/Stream.h"
#include "wire/CallMessages.h"
#include "wire/ScheduleMessages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pimento::calls {

/// Where a request stands. docs/design/calls.md lists what each event does.
enum class Phase : std::uint8_t {
  Asking,     // Waits for a grant of the scheduler.
  Reserving,  // Holds memory at the members of a group, one after the other.
  Generating, // An engine's answer is on its way.
  Resuming,   // The answer broke off; waits to go on at the same engine.
  BackingOff, // Waits before another try.
  Claiming,   // Waits for leave to run a call once.
  Calling,    // A plain server's answer is on its way.
  Settling,   // The caller has its answer or left; a call is still awaited.
  Delivering, // The final answer is given; the caller still reads.
  Ended,      // Nothing is left; it is taken out at once.
};
constexpr std::size_t PhaseCount = 9; // Without Ended.

enum class EventKind : std::uint8_t {
  CallerLeft,   // The caller's connection is gone.
  Drained,      // The caller took bytes.
  Granted,      // By the scheduler.
  Refused,      // By the scheduler.
  ClaimReplied, // By the claim's partition.
  Sent,         // The first byte left for a backend server.
  Head,         // Status and headers of a backend server.
  Data,         // Bytes of a backend server.
  End,          // A backend server's reply is complete.
  Failed,       // An upstream call broke off.
  Wake,         // The request's own timer.
  Deadline,     // The time limit, less the margin for the answer.
  Cut,          // The bound on a graceful stop has passed.
};
constexpr std::size_t EventCount = 13;

const char *toString(Phase P);
const char *toString(EventKind E);

/// Times of a request's life.
struct RequestTimings {
  Duration AnswerMargin = milliseconds(50); // Before the caller's limit.
  Duration ClaimRepeatInterval =
      milliseconds(500);                      // Of a claim without an answer.
  Duration ClaimRenewalInterval = seconds(2); // While the call runs.
  Duration StreamIdleTimeout = seconds(5);    // Engine without any byte.
  Duration ResumeDelay = milliseconds(50);    // Before going on; doubled.
  std::uint32_t MaxResumes = 4;               // Without a token in between.
  Duration ReservationLease = seconds(2);     // Of a group's members.
  Duration LookupTimeout = seconds(2);        // Then a look-up goes elsewhere.
  Duration SettleTime = seconds(10);          // For a late answer of a call.
  Duration DeliveryIdleTimeout = seconds(30); // Caller that takes no bytes.
  Duration ForcedStopGrace = seconds(1);      // To write what was cut.
  Duration CancelRepeat = milliseconds(100);  // Doubled up to its limit.
  Duration CancelLimit = seconds(5);
  std::uint32_t MaxCancelRounds = 12; // Then the scheduler is told "not known".
  Duration ResultTime = minutes(2);   // For which an outcome is repeated.
};

/// A try at one engine, or at a group of engines.
struct EngineAttempt {
  AttemptId Id;
  Grant CurrentGrant; // No engines: not granted yet.
  TimePoint GrantedAt;
  TimePoint SentAt;       // Zero: nothing was sent.
  TimePoint FirstTokenAt; // Zero: none came.
  EngineStream Stream;
  std::uint64_t NextOffset = 0; // Offset of the next token.
  std::uint64_t Prefilled = 0;  // Prompt tokens read, as the engine says.
  std::uint32_t Resumes = 0;    // Since the last token.
  std::size_t Reserved = 0;     // Members that hold their memory.
  TimePoint NextReservation;    // When members are asked again while running.
  int Status = 0;               // Of the reply's head; zero: none came.
  std::vector<HttpHeader> Headers;
  std::string Refusal;  // Body of a reply other than 200.
  TimePoint LastByte;   // Sign of life of the engine.
  bool Resumed = false; // The upstream call goes on with the attempt.
};

/// The part of a request that asks for generated text.
struct GenerationPart {
  Completion Params;
  std::vector<std::uint64_t> Prefixes; // Hashes of the prompt's prefixes.
  std::uint64_t PromptTokens = 0;      // Estimated.
  std::uint32_t Weight = 1;            // Paid priority.
  EngineAttempt CurrentAttempt;        // The current one.
  std::string Text;                    // Collected where it is not streamed.
};

/// When a claim was asked for; a lease on sending counts from here.
struct ClaimSendRecord {
  std::uint64_t Sequence = 0;
  TimePoint At;
};

/// The part of a request that calls a plain service.
struct CallPart {
  PlainCall Params;
  bool Repeatable = true;
  Duration Retention = Duration::zero();
  std::uint64_t Sequence = 0;             // Of the newest ask for the claim.
  std::deque<ClaimSendRecord> ClaimSends; // The newest few.
  bool Queued = false;                    // The claim is known to be durable.
  bool Joined = false;                    // Another request runs this call.
  std::optional<TimePoint> SendBy;        // End of the lease on sending.
  bool Sent = false;                      // A byte may have left this host.
  BackendId Server;                       // The one in use; empty: none.
  bool MayReuseConnection = false; // The call may use an idle connection.
  int Status = 0;                  // Of the answer; zero: none came.
  std::vector<HttpHeader> Headers;
  std::string Answer;
};

/// One request in progress.
struct Request {
  RequestId Id;
  ExchangeId Exchange{};
  Phase State = Phase::Asking;
  AccountId Account;
  ServiceId Service;
  TimePoint Arrived;
  TimePoint Deadline;           // Less the margin.
  TimePoint Wake;               // Own timer; TimePoint::max(): none.
  TimePoint Indexed;            // Its key in CallsState::Timers.
  std::uint32_t Attempts = 0;   // Attempts begun.
  std::vector<BackendId> Avoid; // Backend servers that failed it.
  BackendId AttemptServer;      // Of the current or last try; empty: none.
  TimePoint AttemptStarted;     // When that server was chosen.
  bool MayHaveRun = false;      // A try was sent; no proof that it didn't run.
  Problem LastFailure;          // Of the try before; the answer if none helps.
  bool Streaming = false;       // The caller has seen the head.
  bool Paused = false;          // Upstream is not read.
  UpstreamId Upstream{};        // The one in flight; 0: none.
  std::uint64_t Held = 0;       // Bytes of it counted in CallsState::Bytes.
  std::uint64_t Pending = 0;    // Bytes that the caller has not taken.
  std::optional<GenerationPart> Generation; // One of the two is set.
  std::optional<CallPart> Call;
};

/// What an ended attempt may still hold at engines. They are told to cancel it
/// until each of them confirms.
struct Cleanup {
  Release Report;                              // Sent once all confirmed.
  std::vector<GrantedEngine> Engines;          // That have not confirmed.
  std::map<std::uint64_t, BackendId> InFlight; // By UpstreamId.
  std::uint32_t Rounds = 0;
  TimePoint Next;
};

/// The outcome of a claim on its way to the partition.
struct PendingClaimResult {
  ClaimResult Result;
  TimePoint Next;  // Next repeat.
  TimePoint Until; // Given up then; the partition finds out by itself.
};

/// What an upstream call is for.
enum class UpstreamUse : std::uint8_t { Main, KeepReserved, Cancel };
struct UpstreamOwner {
  UpstreamUse Use = UpstreamUse::Main;
  RequestId Request;
  AttemptId Attempt; // Of KeepReserved and Cancel.
};

/// Calls that may not be repeated, of one account to one service.
using TurnQueue = std::pair<ServiceId, AccountId>;

struct CallsState {
  HostId Host;
  IncarnationNumber Incarnation = 0;
  std::uint64_t IdHigh = 0; // Upper half of this life's request ids.
  std::uint64_t NextRequest = 1;
  std::uint64_t NextUpstream = 1;
  LimitSettings Limits;
  RetrySettings Retries;
  DrainSettings Drain;
  RequestTimings Times;
  Random Rng;
  std::map<RequestId, Request> Requests;
  std::unordered_map<std::uint64_t, RequestId> Exchanges;     // By ExchangeId.
  std::unordered_map<std::uint64_t, UpstreamOwner> Upstreams; // By UpstreamId.
  std::set<std::pair<TimePoint, RequestId>> Timers; // One for each request.
  std::map<AttemptId, Cleanup> Cleanups;
  std::map<RequestId, PendingClaimResult> Results;
  std::map<TurnQueue, std::deque<RequestId>> Turns; // In order of arrival here.
  std::map<ServiceId, RetryBudget> Budgets;
  FailureEpisodes Episodes; // Of backend servers.
  std::map<ModelName, TokenRatio> Ratios;
  HealthState Health;
  std::uint64_t Bytes = 0; // Held by all requests, bodies and buffers.
  TimePoint NextFollowUp = TimePoint::max(); // Cleanups and Results; no later
                                             // than the first that is due.
  TimePoint DrainUntil;                      // Zero: not stopping.
};

/// An empty state. \p Seed drives jitter and choices.
CallsState makeCalls(const Settings &S, IncarnationNumber Incarnation,
                     std::uint64_t Seed);

//===----------------------------------------------------------------------===//
// Callers
//===----------------------------------------------------------------------===//

/// A caller's request under /v1/completions, /v1/chat/completions or
/// /v1/services/.../calls/. Any other path hears NotFound.
void onCallerRequest(CallsState &State, ExchangeId Exchange,
                     HttpRequest Incoming, const Directory &Dir, TimePoint Now,
                     CallsEffects &Out);
/// The caller's connection closed before the exchange was over.
void onCallerLeft(CallsState &State, ExchangeId Exchange, const Directory &Dir,
                  TimePoint Now, CallsEffects &Out);
/// The caller took bytes; \p Pending are still to be written. Told after each
/// write; with zero once all of a reply was written.
void onCallerDrained(CallsState &State, ExchangeId Exchange,
                     std::uint64_t Pending, const Directory &Dir, TimePoint Now,
                     CallsEffects &Out);

//===----------------------------------------------------------------------===//
// Other hosts
//===----------------------------------------------------------------------===//

void onGrant(CallsState &State, const Grant &G, const Directory &Dir,
             TimePoint Now, CallsEffects &Out);
void onRefusal(CallsState &State, const Refusal &R, const Directory &Dir,
               TimePoint Now, CallsEffects &Out);
void onClaimReply(CallsState &State, const ClaimReply &R, const Directory &Dir,
                  TimePoint Now, CallsEffects &Out);
void onClaimResultAck(CallsState &State, const ClaimResultAck &A);

//===----------------------------------------------------------------------===//
// Backend servers
//===----------------------------------------------------------------------===//

/// Whether an upstream call belongs to these requests: their ids have the
/// highest bit set.
bool ownsUpstream(UpstreamId Upstream);

/// The first byte left this host.
void onUpstreamSent(CallsState &State, UpstreamId Upstream,
                    const Directory &Dir, TimePoint Now, CallsEffects &Out);
void onUpstreamHead(CallsState &State, UpstreamId Upstream, int Status,
                    const std::vector<HttpHeader> &Headers,
                    const Directory &Dir, TimePoint Now, CallsEffects &Out);
void onUpstreamData(CallsState &State, UpstreamId Upstream,
                    std::string_view Bytes, const Directory &Dir, TimePoint Now,
                    CallsEffects &Out);
/// The reply is complete by the rules of HTTP.
void onUpstreamEnd(CallsState &State, UpstreamId Upstream, const Directory &Dir,
                   TimePoint Now, CallsEffects &Out);
void onUpstreamFailed(CallsState &State, UpstreamId Upstream,
                      const UpstreamFailure &Why, const Directory &Dir,
                      TimePoint Now, CallsEffects &Out);
/// An engine is gone or began a new life: it holds nothing any more.
void onBackendGone(CallsState &State, const BackendId &Backend,
                   CallsEffects &Out);

//===----------------------------------------------------------------------===//
// Time and stopping
//===----------------------------------------------------------------------===//

/// Handles all timers that are due.
void tick(CallsState &State, const Directory &Dir, TimePoint Now,
          CallsEffects &Out);
/// When tick() has something to do next; TimePoint::max(): nothing waits.
TimePoint nextWakeup(const CallsState &State);

/// Bounds the graceful stop: requests still in progress after Drain.Limit are
/// cut, and told so. Directory::RefuseNew keeps new ones out.
void beginDrain(CallsState &State, TimePoint Now, CallsEffects &Out);
/// Cuts all requests in progress now.
void cutAll(CallsState &State, const Directory &Dir, TimePoint Now,
            CallsEffects &Out);
/// Whether no request, cleanup or claim's outcome is left.
bool idle(const CallsState &State);

} // namespace pimento::calls
