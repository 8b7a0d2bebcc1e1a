//===- CallsInternal.h - Shared by the sources of calls ---------*- C++ -*-===//
//
// Index
//   Context, Event       arguments of a handler
//   Transitions.def      the table; one handler for each phase and event
//   dispatch()           looks up a handler and runs it
//   Outcomes.cpp         final answers, timers, held bytes
//   Generation.cpp       grant requests, grants, groups, attempts
//   GenerationStream.cpp an engine's answer
//   PlainCalls.cpp       claims and the choice of a server
//   PlainUpstream.cpp    a plain server's answer
//   KeptAttempts.cpp     attempts at silent engines, beside another attempt
//   LateCalls.cpp        repeatable calls at servers that are silent
//   Cleanups.cpp         cancels and claim outcomes repeated after the answer
//
//===----------------------------------------------------------------------===//
#pragma once

#include "calls/Calls.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace pimento::calls {

struct Context {
  CallsState &S;
  const Directory &Dir;
  TimePoint Now;
  CallsEffects &Out;
};

/// One event for one request; only the fields that belong to Kind are set.
struct Event {
  EventKind Kind = EventKind::Wake;
  const Grant *Granted = nullptr;
  const Refusal *Refused = nullptr;
  const ClaimReply *Claimed = nullptr;
  const UpstreamFailure *Failure = nullptr;
  const std::vector<HttpHeader> *Headers = nullptr;
  int Status = 0;
  std::string_view Bytes;
  UpstreamId Upstream{}; // Of Sent, Head, Data, End and Failed.
  std::uint64_t Pending = 0;
};

using Handler = void (*)(Context &, Request &, const Event &);

/// One row of the table.
struct Transition {
  Phase From = Phase::Asking;
  EventKind On = EventKind::Wake;
  Handler Run = nullptr;
  const char *Name = "";    // Name of the handler.
  const char *Next = "";    // Allowed next phases; "-": the phase is kept.
  const char *Effects = ""; // Description of the effects.
};

/// The row of \p From and \p On.
const Transition &transition(Phase From, EventKind On);
/// Whether \p Row allows \p Next as the next phase.
bool allows(const Transition &Row, Phase Next);

/// Updates CallsState::Timers after a change of Wake, Deadline or the kept
/// attempts.
void reindex(Context &C, Request &R);

/// Runs the handler of \p E and removes the request once it has ended. An
/// unknown \p Id is ignored.
void dispatch(Context &C, const RequestId &Id, const Event &E);

//===----------------------------------------------------------------------===//
// Outcomes.cpp
//===----------------------------------------------------------------------===//

/// Appends a decision record and returns it.
DecisionRecord &decide(Context &C, const char *Kind, const RequestId &Id,
                       std::string Reason);
void count(Context &C, const char *Name, std::string Label = {},
           double Value = 1);

/// Sets the bytes held by \p R to \p Bytes and updates CallsState::Bytes.
void setHeldBytes(Context &C, Request &R, std::uint64_t Bytes);
/// Bytes of a request's prompt, body and collected answer.
std::uint64_t bufferedBytes(const Request &R);

void openUpstream(Context &C, Request &R, UpstreamRequest Upstream,
                  std::optional<TimePoint> SendBy = std::nullopt);
/// Opens an upstream call for \p Owner and returns its id.
UpstreamId openUpstreamFor(Context &C, UpstreamRequest Upstream,
                           UpstreamOwner Owner);
/// Aborts the upstream call in flight, if there is one.
void abortUpstream(Context &C, Request &R);

/// Time until the deadline; zero if the deadline has passed or was removed.
Duration timeLeft(const Request &R, TimePoint Now);
/// Counts a first attempt for the service's retry budget.
void countFirstAttempt(Context &C, const Request &R);

/// Sends \p Why as the final answer: as a problem reply, or as the event that
/// ends a stream already begun.
void answerProblem(Context &C, Request &R, Problem Why);
void answerReply(Context &C, Request &R, HttpReply Reply);
/// Ends a streamed answer.
void answerStreamEnd(Context &C, Request &R, std::string Last, bool Complete);
/// Returns \p NotRun if no attempt can have run, otherwise \p Failed.
Code codeByProof(const Request &R, Code NotRun, Code Failed);

/// Whether another attempt is allowed; consumes one retry from the budget
/// unless the attempt had started before its server began to fail.
bool acquireRetry(Context &C, Request &R);
/// Schedules the next attempt after its backoff.
void backOff(Context &C, Request &R);

//===----------------------------------------------------------------------===//
// Generation.cpp, PlainCalls.cpp, Cleanups.cpp
//===----------------------------------------------------------------------===//

void startGeneration(Context &C, Request &R);
void startCall(Context &C, Request &R);
/// Starts a new attempt by sending a grant request to the scheduler.
void requestNextGrant(Context &C, Request &R);
/// Why an attempt at an engine ended without an answer.
struct AttemptFailure {
  Code NotRun = Code::RefusedByBackend; // Reported if nothing can have run.
  std::string Detail;
  bool ProvedNotRun = false; // The engine refused the attempt unexecuted.
};
/// Ends the current attempt as failed: frees its engines, then schedules a
/// retry, goes on with a kept attempt or sends the final answer.
void failAttempt(Context &C, Request &R, const AttemptFailure &Why);
/// Sends the prompt to the engine, or to the leader of a group.
void sendGenerate(Context &C, Request &R);
/// Lets the next grant request avoid the engine of \p T.
void avoidEngine(Request &R, const EngineAttempt &T);
/// Aborts a silent call, if it is open.
void dropSilentCall(Context &C, SilentCall &Call);
/// Makes the silent call of the current attempt the upstream call again.
void continueSilentCall(Context &C, Request &R);
/// Schedules the resume of a broken stream. After RequestTimings::MaxResumes
/// resumes without a token the attempt fails; if it has a silent call, that
/// call goes on, while another engine is asked for if a retry is allowed.
void resumeLater(Context &C, Request &R, const char *Reason);
/// Ends the current attempt. With \p Cancel, it is cancelled at its engines
/// before its grant is released; otherwise the grant is released at once. If no
/// engine was granted yet, the grant request is withdrawn.
void concludeAttempt(Context &C, Request &R, AttemptEnd End, bool Cancel);
/// As concludeAttempt() for the granted attempt \p T, whose calls have ended.
void releaseEngines(Context &C, Request &R, const EngineAttempt &T,
                    AttemptEnd End, bool Cancel);
/// Whether no engine of \p T can hold anything: no byte was sent.
bool holdsNothing(const EngineAttempt &T);
/// Renews the reservations of a group's members, if that is due.
void keepReservations(Context &C, const RequestId &Id, EngineAttempt &T);

/// Keeps the current attempt, whose silent call goes on, and backs off before
/// another engine is asked for.
void keepAttempt(Context &C, Request &R, const AttemptFailure &Why);
/// Makes the newest kept attempt the current one; false if there is none.
bool resumeKept(Context &C, Request &R);
/// Ends all kept attempts, because another one answers or the request ends.
void dropKept(Context &C, Request &R);
/// Whether \p Attempt is a kept attempt of \p R.
bool isKept(const Request &R, const AttemptId &Attempt);
/// Handles an event of a kept attempt's call: the first bytes make it the
/// current attempt. Returns false if \p E belongs to another call.
bool handleKept(Context &C, Request &R, const Event &E);
/// When followKept() has work to do next; TimePoint::max(): never.
TimePoint nextKeptWork(const Request &R);
/// Resumes kept attempts and renews their reservations. Returns whether
/// anything was due.
bool followKept(Context &C, Request &R);

/// The plain servers of the service of \p R.
const std::vector<PlainServer> &serversOf(const Context &C, const Request &R);
/// Chooses a plain server and calls it.
void sendCall(Context &C, Request &R);
/// Whether the service has a server that was not tried for \p R.
bool hasUntriedServer(const Context &C, const Request &R);
/// Whether a late call of \p R is open at \p Server.
bool hasLateCall(const Request &R, const BackendId &Server);
/// Leaves the call in flight open as a late call, so that another server can be
/// tried.
void keepLateCall(Request &R);
/// Makes the newest late call the call in flight; false if there is none.
bool resumeLateCall(Context &C, Request &R);
/// Aborts all late calls.
void dropLateCalls(Context &C, Request &R);
/// Whether \p E belongs to a late call.
bool isLate(const Request &R, const Event &E);
/// Ends the request with the answer of its call in flight.
void answerCall(Context &C, Request &R);
/// Whether the body has the length that the headers state.
bool lengthFits(const std::vector<HttpHeader> &Headers,
                const std::string &Answer);
/// Whether the answer's head belongs to \p R; records whether the server echoes
/// request ids.
bool acceptHead(Context &C, const Request &R, const BackendId &Server,
                const std::vector<HttpHeader> &Headers, bool ReusedConnection);
/// Sends the first claim request of the queue that is not durable yet, so that
/// claims become durable in order of arrival.
void sendNextClaim(Context &C, const TurnQueue &Queue);
/// Sends the claim request of \p R, or repeats it with the next sequence.
void sendClaim(Context &C, Request &R);
/// Removes \p R from its queue and reports the outcome to the partition.
void endClaim(Context &C, Request &R, ClaimOutcome End);
/// Removes \p R from its queue and lets the next call claim. For outcomes that
/// the partition already knows.
void releaseTurn(Context &C, const Request &R);
/// Detaches \p R from its caller; the call continues for SettleTime at most.
void detachCaller(Context &C, Request &R);

void startCleanup(Context &C, Cleanup Work);
void onCancelReply(Context &C, UpstreamId Upstream, const AttemptId &Attempt,
                   bool Confirmed);
/// Repeats the cancels and claim outcomes that are due.
void repeatDueWork(Context &C);

#define PIMENTO_HANDLER(Name) void Name(Context &C, Request &R, const Event &E);
PIMENTO_HANDLER(ignore)
PIMENTO_HANDLER(leaveAsking)
PIMENTO_HANDLER(leaveTry)
PIMENTO_HANDLER(leaveBackoff)
PIMENTO_HANDLER(leaveClaim)
PIMENTO_HANDLER(leaveCall)
PIMENTO_HANDLER(leaveDelivery)
PIMENTO_HANDLER(drainStream)
PIMENTO_HANDLER(drainDelivery)
PIMENTO_HANDLER(useGrant)
PIMENTO_HANDLER(returnGrant)
PIMENTO_HANDLER(useRefusal)
PIMENTO_HANDLER(useClaimReply)
PIMENTO_HANDLER(noteSent)
PIMENTO_HANDLER(noteCallSent)
PIMENTO_HANDLER(readReserveHead)
PIMENTO_HANDLER(readReserveData)
PIMENTO_HANDLER(endReserve)
PIMENTO_HANDLER(failReserve)
PIMENTO_HANDLER(readKept)
PIMENTO_HANDLER(readHead)
PIMENTO_HANDLER(readData)
PIMENTO_HANDLER(endStream)
PIMENTO_HANDLER(failStream)
PIMENTO_HANDLER(noteLateSent)
PIMENTO_HANDLER(readLateHead)
PIMENTO_HANDLER(readLateData)
PIMENTO_HANDLER(endLate)
PIMENTO_HANDLER(failLate)
PIMENTO_HANDLER(readCallHead)
PIMENTO_HANDLER(readCallData)
PIMENTO_HANDLER(endCall)
PIMENTO_HANDLER(failCall)
PIMENTO_HANDLER(stallReserve)
PIMENTO_HANDLER(checkStream)
PIMENTO_HANDLER(resumeNow)
PIMENTO_HANDLER(tryAgain)
PIMENTO_HANDLER(repeatClaim)
PIMENTO_HANDLER(checkCall)
PIMENTO_HANDLER(renewSettling)
PIMENTO_HANDLER(stallDelivery)
PIMENTO_HANDLER(expireAsking)
PIMENTO_HANDLER(expireTry)
PIMENTO_HANDLER(expireBackoff)
PIMENTO_HANDLER(expireClaim)
PIMENTO_HANDLER(expireCall)
PIMENTO_HANDLER(expireSettling)
#undef PIMENTO_HANDLER

} // namespace pimento::calls
