//===- CallsInternal.h - For those who extend the calls ---------*- C++ -*-===//
//
// Index
//   Context, Event       what a handler gets
//   Transitions.def      the table; one handler for each phase and event
//   dispatch()           looks a handler up and runs it
//   Outcomes.cpp         final answers, timers, held bytes
//   Generation.cpp       asks, grants, groups, tries
//   GenerationStream.cpp an engine's answer
//   PlainCalls.cpp       claims and the choice of a server
//   PlainUpstream.cpp    a plain server's answer
//   Cleanups.cpp         what is followed up behind the answer
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

/// One event for one request; only the fields of its kind are set.
struct Event {
  EventKind Kind = EventKind::Wake;
  const Grant *Granted = nullptr;
  const Refusal *Refused = nullptr;
  const ClaimReply *Claimed = nullptr;
  const UpstreamFailure *Failure = nullptr;
  const std::vector<HttpHeader> *Headers = nullptr;
  int Status = 0;
  std::string_view Bytes;
  std::uint64_t Pending = 0;
};

using Handler = void (*)(Context &, Request &, const Event &);

/// One row of the table.
struct Transition {
  Phase From = Phase::Asking;
  EventKind On = EventKind::Wake;
  Handler Run = nullptr;
  const char *Name = "";    // Of the handler.
  const char *Next = "";    // Phases it may lead to; "-": stays.
  const char *Effects = ""; // In words.
};

/// The row of \p From and \p On.
const Transition &transition(Phase From, EventKind On);
/// Whether a row allows this next phase.
bool allows(const Transition &Row, Phase Next);

/// Keeps the index of timers in step with the request's Wake and Deadline.
void reindex(Context &C, Request &R);

/// Runs the handler of \p E and takes the request out once it ended.
void dispatch(Context &C, const RequestId &Id, const Event &E);

//===----------------------------------------------------------------------===//
// Outcomes.cpp
//===----------------------------------------------------------------------===//

DecisionRecord &decide(Context &C, const char *Kind, const RequestId &Id,
                       std::string Reason);
void count(Context &C, const char *Name, std::string Label = {},
           double Value = 1);

/// Counts \p Bytes as held by \p R from now on, in place of what it held.
void hold(Context &C, Request &R, std::uint64_t Bytes);
/// Bytes of a request's own data: prompt, body, collected answer.
std::uint64_t bufferedBytes(const Request &R);

void openUpstream(Context &C, Request &R, UpstreamRequest Upstream,
                  std::optional<TimePoint> SendBy = std::nullopt);
/// Opens an upstream call of another use; gives its id.
UpstreamId openUpstreamFor(Context &C, UpstreamRequest Upstream,
                           UpstreamOwner Owner);
/// Breaks the upstream call in flight off, if there is one.
void abortUpstream(Context &C, Request &R);

/// Time until the deadline; zero where it has passed or none counts any more.
Duration timeLeft(const Request &R, TimePoint Now);
/// Counts a first try for the service's budget of retries.
void countFirstAttempt(Context &C, const Request &R);

/// Gives the caller \p Why as the one final answer: a problem reply, or the
/// event that ends its stream.
void answerProblem(Context &C, Request &R, Problem Why);
void answerReply(Context &C, Request &R, HttpReply Reply);
/// Ends a streamed answer.
void answerStreamEnd(Context &C, Request &R, std::string Last, bool Whole);
/// \p NotRun while that is proved, otherwise \p Failed.
Code codeByProof(const Request &R, Code NotRun, Code Failed);

/// Whether another try is allowed; takes it out of the budget.
bool acquireRetry(Context &C, Request &R);
/// Waits for the backoff of the next try.
void backOff(Context &C, Request &R);

//===----------------------------------------------------------------------===//
// Generation.cpp, PlainCalls.cpp, Cleanups.cpp
//===----------------------------------------------------------------------===//

void startGeneration(Context &C, Request &R);
void startCall(Context &C, Request &R);
/// Asks the scheduler for another try.
void requestNextGrant(Context &C, Request &R);
/// Why a try at an engine ended without an answer.
struct AttemptFailure {
  Code NotRun = Code::RefusedByBackend; // Said while nothing can have run.
  std::string Detail;
  bool ProvedNotRun = false; // The engine refused it before running it.
};
/// Ends the current try as failed: frees its engines, then tries again or
/// gives the final answer.
void failAttempt(Context &C, Request &R, const AttemptFailure &Why);
/// Sends the prompt to the engine, or to the leader of a group.
void sendGenerate(Context &C, Request &R);
/// Waits to go on with a broken stream, or fails the try.
void resumeLater(Context &C, Request &R, const char *Reason);
/// Ends the current try; its engines are told to cancel it where \p Cancel.
void concludeAttempt(Context &C, Request &R, AttemptEnd End, bool Cancel);
void keepReservations(Context &C, Request &R);

/// Chooses a plain server and calls it.
void sendCall(Context &C, Request &R);
/// Sends claims of the account's next calls, in order of arrival.
void sendNextClaim(Context &C, const TurnQueue &Queue);
/// Sends the ask for the claim of \p R once more.
void sendClaim(Context &C, Request &R);
/// Gives the account's turn on and tells the partition the outcome.
void endClaim(Context &C, Request &R, ClaimEnd End);
/// Gives the account's turn on; the partition knows the outcome.
void releaseTurn(Context &C, const Request &R);
/// Gives the answer that a caller hears now while the call goes on.
void settle(Context &C, Request &R);

void startCleanup(Context &C, Cleanup Work);
void onCancelReply(Context &C, UpstreamId Upstream, const AttemptId &Attempt,
                   bool Confirmed);
/// Repeats what is due of cleanups and outcomes.
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
PIMENTO_HANDLER(readHead)
PIMENTO_HANDLER(readData)
PIMENTO_HANDLER(endStream)
PIMENTO_HANDLER(failStream)
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
