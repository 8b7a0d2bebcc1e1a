//===- Calls.h - The requests in progress of one entry host -----*- C++ -*-===//
//
// The state machine of callers' requests on an entry host (a host that takes
// requests from client programs). A request is either a generation, which runs
// on model engines that the scheduler grants, or a plain call, which runs on a
// plain backend server. A plain call that may not be repeated first obtains a
// claim: a record in a replicated log that allows one entry host to send it.
//
//   CallsState State = makeCalls(Settings, Incarnation, Seed);
//   CallsEffects Out;
//   onCallerRequest(State, Exchange, Request, Dir, Now, Out);
//   ... execute Out.List in order, log Out.Decisions ...
//   tick(State, Dir, Now, Out); // At nextWakeup() at the latest.
//
// The functions are pure: they read no clock and do no I/O. Every request gets
// exactly one final answer before its time limit, and ends exactly once.
// Cancelling an attempt at its engines and reporting the outcome of a claim
// continue after the answer until they are confirmed or given up.
//
// Index
//   Phase, EventKind     states and events; Transitions.def is the table
//   Request              one request in progress
//   CallsState           all requests of the host
//   on...()              inputs
//   tick(), nextWakeup() timers
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

/// State of a request. docs/design/calls.md lists the effect of each event.
enum class Phase : std::uint8_t {
  Asking,     // Waiting for a grant from the scheduler.
  Reserving,  // Reserving memory at the members of a group, one at a time.
  Generating, // Receiving an engine's answer.
  Resuming,   // The stream broke; waiting to resume it at the same engine.
  BackingOff, // Waiting before the next attempt.
  Claiming,   // Waiting for the permit to send a claimed call.
  Calling,    // Waiting for a plain server's answer.
  Settling,   // The caller was answered or left; the call still runs.
  Delivering, // The final answer is queued; the caller is still reading.
  Ended,      // Removed right after the handler returns.
};
constexpr std::size_t PhaseCount = 9; // Without Ended.

enum class EventKind : std::uint8_t {
  CallerLeft,   // The caller's connection closed.
  Drained,      // The caller read bytes.
  Granted,      // The scheduler granted engines.
  Refused,      // The scheduler refused the grant request.
  ClaimReplied, // The claim partition replied.
  Sent,         // The first byte was sent to a backend server.
  Head,         // Status and headers arrived from a backend server.
  Data,         // Body bytes arrived from a backend server.
  End,          // A backend server's reply is complete.
  Failed,       // An upstream call failed.
  Wake,         // The request's own timer expired.
  Deadline,     // The time limit, less the answer margin, was reached.
  Cut,          // The limit of a graceful stop was reached.
};
constexpr std::size_t EventCount = 13;

const char *toString(Phase P);
const char *toString(EventKind E);

/// Timeouts, intervals and repeat limits of requests.
struct RequestTimings {
  // Time reserved before the caller's limit to send the final answer.
  Duration AnswerMargin = milliseconds(50);
  // Interval at which an unanswered claim request or result is repeated.
  Duration ClaimRepeatInterval = milliseconds(500);
  // Interval at which a claim is renewed while its call runs.
  Duration ClaimRenewalInterval = seconds(2);
  // An engine's stream without any byte for this long is resumed, and its call
  // stays open until the resumed one has a byte.
  Duration StreamIdleTimeout = seconds(5);
  // Delay before a broken stream is resumed; doubles with each resume.
  Duration ResumeDelay = milliseconds(50);
  // Resumes without a token in between before the attempt fails, or its silent
  // call goes on.
  std::uint32_t MaxResumes = 4;
  // Lease of memory reserved at the members of a group.
  Duration ReservationLease = seconds(2);
  // A repeatable call without a reply head is sent to another server as well
  // after this.
  Duration LookupTimeout = seconds(2);
  // How long a call may still answer after the caller's deadline.
  Duration SettleTime = seconds(10);
  // A caller that reads nothing of its final answer is disconnected then.
  Duration DeliveryIdleTimeout = seconds(30);
  // Time to write the answers of requests that a graceful stop ended.
  Duration ForcedStopGrace = seconds(1);
  // First interval between cancels of an attempt; doubles up to CancelLimit.
  Duration CancelRepeat = milliseconds(100);
  Duration CancelLimit = seconds(5);
  // Rounds of cancels before the attempt is reported to the scheduler as
  // Failed, because its state at the engines is not known.
  std::uint32_t MaxCancelRounds = 12;
  // How long the outcome of a claim is repeated without acknowledgement.
  Duration ResultTime = minutes(2);
};

/// A call to an engine beside the upstream call. One that sent nothing within
/// StreamIdleTimeout stays open while the stream is resumed over another
/// connection: as long as it is open, the engine keeps the attempt.
struct SilentCall {
  UpstreamId Upstream{}; // 0: none.
  EngineStream Stream;
  int Status = 0; // HTTP status of the reply; zero: no head yet.
  std::vector<HttpHeader> Headers;
  std::string Refusal;
  bool Resumed = false;
};

/// One attempt at one engine or at a group of engines.
struct EngineAttempt {
  AttemptId Id;
  Grant CurrentGrant; // Without engines: not granted yet.
  TimePoint GrantedAt;
  TimePoint SentAt;       // First byte sent; zero: nothing was sent.
  TimePoint FirstTokenAt; // Zero: no token arrived.
  EngineStream Stream;
  std::uint64_t NextOffset = 0; // Offset of the next token.
  std::uint64_t Prefilled = 0;  // Prompt tokens read, as the engine reports.
  std::uint32_t Resumes = 0;    // Stream resumes since the last token.
  std::size_t Reserved = 0;     // Group members with memory reserved.
  TimePoint NextReservation;    // Next renewal of the members' reservations.
  int Status = 0;               // HTTP status of the reply; zero: no head yet.
  std::vector<HttpHeader> Headers;
  std::string Refusal;  // Body of a reply whose status is not 200.
  TimePoint LastByte;   // When the engine last sent anything.
  bool Resumed = false; // The upstream call resumes a running attempt.
  SilentCall Silent;    // Open beside the upstream call.
};

/// An attempt at a silent engine that goes on while another engine is tried.
/// Its silent call stays open.
struct KeptAttempt {
  EngineAttempt Attempt;
  std::string Text;     // Answer so far; unused for streamed answers.
  SilentCall Resume;    // Asks the engine to resume the stream.
  TimePoint NextResume; // When the engine is asked again.
};

/// The part of a request that generates text.
struct GenerationPart {
  Completion Params;
  std::vector<std::uint64_t> Prefixes; // Hashes of the prompt's prefixes.
  std::uint64_t PromptTokens = 0;      // Estimate of the prompt's length.
  std::uint32_t Weight = 1;            // Paid priority.
  EngineAttempt CurrentAttempt;
  std::string Text;              // Answer so far; unused for streamed answers.
  std::vector<KeptAttempt> Kept; // At silent engines, in order of sending.
};

/// When a claim request was sent. A lease on sending starts at that time.
struct ClaimSendRecord {
  std::uint64_t Sequence = 0;
  TimePoint At;
};

/// A repeatable call at a server that sent no reply head within LookupTimeout.
/// It stays open while other servers are tried.
struct LateCall {
  UpstreamId Upstream{};
  BackendId Server;
  bool Sent = false;               // A byte may have been sent.
  bool MayReuseConnection = false; // The call may use an idle connection.
  int Status = 0;                  // HTTP status; zero: none yet.
  std::vector<HttpHeader> Headers;
  std::string Answer;
};

/// The part of a request that calls a plain service.
struct CallPart {
  PlainCall Params;
  bool Repeatable = true;
  Duration Retention = Duration::zero();
  std::uint64_t Sequence = 0; // Newest claim request's number; zero: none sent.
  std::deque<ClaimSendRecord> ClaimSends; // The most recent claim requests.
  bool Queued = false;                    // The claim is known to be durable.
  bool Joined = false;             // Another request with this key is running.
  std::optional<TimePoint> SendBy; // End of the lease on sending.
  bool Sent = false;               // A byte may have been sent.
  BackendId Server;                // Server in use; empty: none.
  bool MayReuseConnection = false; // The call may use an idle connection.
  int Status = 0;                  // HTTP status of the answer; zero: none yet.
  std::vector<HttpHeader> Headers;
  std::string Answer;
  bool WasLate = false; // The server's silence counts as its outcome already.
  std::vector<LateCall> Late; // At silent servers, in order of sending.
};

/// One request in progress.
struct Request {
  RequestId Id;
  ExchangeId Exchange{};
  Phase State = Phase::Asking;
  AccountId Account;
  ServiceId Service;
  TimePoint Arrived;
  TimePoint Deadline;           // The caller's limit less the answer margin.
  TimePoint Wake;               // The request's timer; TimePoint::max(): none.
  TimePoint Indexed;            // Key of this request in CallsState::Timers.
  std::uint32_t Attempts = 0;   // Attempts begun.
  std::vector<BackendId> Avoid; // Backend servers that failed this request.
  BackendId AttemptServer;      // Server of the last attempt; empty: none.
  TimePoint AttemptStarted;     // When that server was chosen.
  bool MayHaveRun = false;   // An attempt was sent and may have been executed.
  Problem LastFailure;       // Last attempt's failure; answered if not retried.
  bool Streaming = false;    // The head of a streamed reply was sent.
  bool Paused = false;       // Reading from upstream is paused.
  UpstreamId Upstream{};     // Upstream call in flight; 0: none.
  std::uint64_t Held = 0;    // This request's share of CallsState::Bytes.
  std::uint64_t Pending = 0; // Bytes that the caller has not read.
  std::optional<GenerationPart> Generation; // Either Generation or Call is set.
  std::optional<CallPart> Call;
};

/// Engines that may still hold resources of an ended attempt. The cancel is
/// repeated until each of them confirms it.
struct Cleanup {
  Release Report;                     // Sent to the scheduler at the end.
  std::vector<GrantedEngine> Engines; // Engines that have not confirmed.
  std::map<std::uint64_t, BackendId> InFlight; // Open cancels, by UpstreamId.
  std::uint32_t Rounds = 0;
  TimePoint Next; // Next round of cancels.
};

/// The outcome of a claim that the partition has not acknowledged.
struct PendingClaimResult {
  ClaimResult Result;
  TimePoint Next;  // Next repeat.
  TimePoint Until; // End of the repeats; the leader's own timeout decides then.
};

/// What an upstream call is for.
enum class UpstreamUse : std::uint8_t { Main, KeepReserved, Cancel };
struct UpstreamOwner {
  UpstreamUse Use = UpstreamUse::Main;
  RequestId Request;
  AttemptId Attempt; // Set for KeepReserved and Cancel.
};

/// Names a queue of calls that may not be repeated: all calls of one client
/// account to one service.
using TurnQueue = std::pair<ServiceId, AccountId>;

struct CallsState {
  HostId Host;
  IncarnationNumber Incarnation = 0;
  std::uint64_t IdHigh = 0; // Upper half of request ids; new on each start.
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
  std::set<std::pair<TimePoint, RequestId>> Timers; // One entry per request.
  std::map<AttemptId, Cleanup> Cleanups;
  std::map<RequestId, PendingClaimResult> Results;
  // Claimed calls of each queue, in order of arrival at this host.
  std::map<TurnQueue, std::deque<RequestId>> Turns;
  std::map<ServiceId, RetryBudget> Budgets;
  FailureEpisodes Episodes; // Failures of backend servers.
  std::map<ModelName, TokenRatio> Ratios;
  HealthState Health;
  std::uint64_t Bytes = 0; // Bodies and buffers of all requests.
  // Next repeat of Cleanups and Results; never later than the first one due.
  TimePoint NextFollowUp = TimePoint::max();
  TimePoint DrainUntil; // End of the graceful stop; zero: not stopping.
};

/// An empty state. \p Seed drives jitter and choices.
CallsState makeCalls(const Settings &S, IncarnationNumber Incarnation,
                     std::uint64_t Seed);

//===----------------------------------------------------------------------===//
// Callers
//===----------------------------------------------------------------------===//

/// Admits or refuses a caller's request under /v1/completions,
/// /v1/chat/completions or /v1/services/.../calls/. Any other path is answered
/// with NotFound.
void onCallerRequest(CallsState &State, ExchangeId Exchange,
                     HttpRequest Incoming, const Directory &Dir, TimePoint Now,
                     CallsEffects &Out);
/// The caller's connection closed before the exchange was over.
void onCallerLeft(CallsState &State, ExchangeId Exchange, const Directory &Dir,
                  TimePoint Now, CallsEffects &Out);
/// The caller read bytes of a reply; \p Pending bytes are still to be written.
/// Must be called after each write, with zero once the reply is written.
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

/// Whether an upstream call was opened by this module: its id has the highest
/// bit set.
bool ownsUpstream(UpstreamId Upstream);

/// The first byte of the call was sent.
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
/// An engine disappeared or restarted, so it holds nothing of earlier attempts.
void onBackendGone(CallsState &State, const BackendId &Backend,
                   CallsEffects &Out);

//===----------------------------------------------------------------------===//
// Time and stopping
//===----------------------------------------------------------------------===//

/// Handles all timers that are due.
void tick(CallsState &State, const Directory &Dir, TimePoint Now,
          CallsEffects &Out);
/// When tick() has work to do next; TimePoint::max() if no timer is set.
TimePoint nextWakeup(const CallsState &State);

/// Starts the graceful stop: requests still in progress after Drain.Limit are
/// ended with a problem reply. Set Directory::RefuseNew to refuse new requests.
void beginDrain(CallsState &State, TimePoint Now, CallsEffects &Out);
/// Ends all requests in progress now, as at the limit of a graceful stop.
void cutAll(CallsState &State, const Directory &Dir, TimePoint Now,
            CallsEffects &Out);
/// Whether no request, cleanup or unacknowledged claim outcome is left.
bool idle(const CallsState &State);

} // namespace pimento::calls
