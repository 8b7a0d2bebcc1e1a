//===- GatewayTurn.h - Internal interface of the gateway --------*- C++ -*-===//
//
// Functions shared by the source files of the gateway. A turn is one call of
// reduceGateway(): its state, its time and the effects so far.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "gateway/Gateway.h"

namespace pimento::gateway {

struct GatewayTurn {
  Gateway &S;
  TimePoint Now;
  Effects Out;
};

/// Retry-After for requests refused during shutdown; another host can serve the
/// retry at once.
constexpr Duration StopRetryAfter = milliseconds(20);

// Gateway.cpp
/// Returns the open call with \p Ticket, or null.
GatewayCall *findCall(GatewayTurn &T, std::uint64_t Ticket);
/// Schedules checkCall() for \p At, or for the call's next renewal of its
/// reservations if that is earlier. Replaces an earlier schedule.
void checkAt(GatewayTurn &T, GatewayCall &C, TimePoint At);
/// Schedules checkCall() for \p At, unless it is scheduled for an earlier time.
void checkBy(GatewayTurn &T, GatewayCall &C, TimePoint At);
void log(GatewayTurn &T, DecisionRecord Record);
/// Starts a decision record about a call, with its attempt id, ticket and age.
DecisionRecord record(const GatewayTurn &T, const GatewayCall &C,
                      const char *Kind, std::string Reason);
/// Returns the ids of a prompt's first parts for a log line.
std::string partsText(const std::vector<PartId> &Parts);
void count(GatewayTurn &T, const char *Name, std::string Label = "");
void sample(GatewayTurn &T, const char *Name, std::string Label, Duration D);
/// Sends a message to another host; does nothing for this host or an empty id.
void send(GatewayTurn &T, const HostId &To, Message M);
/// Sends an answer to a caller; does nothing if the caller disconnected.
void reply(GatewayTurn &T, ExchangeId Exchange, HttpReply Reply);

/// Returns the upstream exchange of an event, or zero.
UpstreamId upstreamOf(const Event &E);

// Admission.cpp
/// Admits a caller's request and starts its first attempt, or holds or refuses
/// the request.
void admit(GatewayTurn &T, ExchangeId Exchange, const HttpRequest &R,
           TimePoint Arrived);
/// Admits a request of another host, or refuses it.
void admitRelayed(GatewayTurn &T, ExchangeId Exchange, RelayRequest R);
/// Admits or refuses the requests held until the first configuration.
void tickHeld(GatewayTurn &T);
/// Ends the call with an error answer to its caller, or truncates the stream if
/// its head was sent. Invalidates \p C.
void fail(GatewayTurn &T, GatewayCall &C, Code Number, const char *Reason,
          Duration RetryAfter = Duration::zero());
/// Logs the call's result, frees its resources and removes it. Invalidates
/// \p C.
void finish(GatewayTurn &T, GatewayCall &C, int Status, Code Result,
            const char *Reason);
/// Ends a call that has no caller, or no more, without a result. Invalidates
/// \p C.
void removeCall(GatewayTurn &T, GatewayCall &C);
/// Cancels the work for a caller that disconnected.
void callerLeft(GatewayTurn &T, ExchangeId Exchange, const char *Reason);

// HedgePart.cpp
/// Time at which another server is tried for the call, whose attempt is late;
/// the maximum: never.
TimePoint hedgeAt(const GatewayCall &C);
/// Time at which the call's attempt is slower than most answers of its route;
/// the maximum: never, or that was so before.
TimePoint slowAt(const GatewayTurn &T, const GatewayCall &C);
/// Tries another server for the call, whose attempt is slow, if the operator
/// allows for that and it harms nobody. May invalidate \p C.
void hedgeSlowAttempt(GatewayTurn &T, GatewayCall &C);
/// Records how long the call's attempt took to its answer, or to be given up.
void noteAnswerTime(GatewayTurn &T, const GatewayCall &C);
/// Tries another server for the call while its attempt goes on, if it may run
/// again and has sends left. May invalidate \p C.
void startHedge(GatewayTurn &T, GatewayCall &C, const char *Reason,
                bool IsForSlow = false);
/// The call's engine is silent and takes no connection: releases memory at
/// helpers, and tries another server at once. May invalidate \p C.
void serverIsDead(GatewayTurn &T, GatewayCall &C);
/// The head of the call's answer was sent to the caller.
void replyBegan(GatewayTurn &T, const GatewayCall &C);
/// Whether the hedge's answer goes on with what the caller has.
bool mayTakeOver(const GatewayCall &H);
/// The hedge gets the caller of the call that it hedges, which ends with its
/// attempt.
void takeOver(GatewayTurn &T, GatewayCall &H, const char *Reason);
/// The call's attempt failed: its hedge, if it has one, takes over. Returns
/// whether it did; \p C is then invalid.
bool continueWithHedge(GatewayTurn &T, GatewayCall &C);
/// Ends the call's hedge, if it has one.
void dropHedge(GatewayTurn &T, GatewayCall &C, const char *Reason);
/// A hedge ended in vain; its call goes on. Invalidates \p H.
void hedgeFailed(GatewayTurn &T, GatewayCall &H, const char *Reason);

// Attempt.cpp
/// Returns the servers of this data centre that are healthy, little loaded and
/// untried by the call.
std::vector<calls::PlainServer> nearServers(const GatewayTurn &T,
                                            const GatewayCall &C);
/// Time at which the current attempt is late.
TimePoint overdueAt(const GatewayCall &C);
/// Whether a later server reports the address of the attempt's server, which
/// has ended then. Connections to the address are taken all the same.
bool isAddressTaken(const Gateway &S, const CallAttempt &A);
/// Whether the call's engine, which is silent, took no connection for long
/// enough to be dead. A host that lost its path may still have an open one.
bool isDead(const GatewayTurn &T, const GatewayCall &C);
/// Holds a failure of the call against the server, once this host's path to it
/// is known not to be at fault.
void holdPathFault(GatewayTurn &T, const GatewayCall &C,
                   const BackendId &FaultyServer);
/// Charges the retry budget for a call that is sent, if that is due. Returns
/// false if there is no retry left; the call has ended then.
bool chargeRetry(GatewayTurn &T, GatewayCall &C);
/// Starts an attempt: chooses a backend server, or requests a placement on
/// engines. May end the call.
void startAttempt(GatewayTurn &T, GatewayCall &C);
/// Sends the call to a plain server.
void sendToPlain(GatewayTurn &T, GatewayCall &C,
                 const calls::PlainServer &Server);
/// Sends the request to the backend server in C.Attempt.
void sendAttempt(GatewayTurn &T, GatewayCall &C,
                 const std::vector<HelperInfo> &Helpers);
/// The plain servers of a service that accept requests, by what they report.
const std::vector<calls::PlainServer> &plainServers(const Gateway &S,
                                                    const ServiceId &Service);
void upstreamSent(GatewayTurn &T, const UpstreamSent &E);
void upstreamFailed(GatewayTurn &T, UpstreamId Upstream,
                    const UpstreamFailure &Why);
/// Chooses how the call is sent next: to a server of this host's choice or the
/// placer's, or by way of another host. May end the call.
void beginAttempt(GatewayTurn &T, GatewayCall &C);
/// Schedules checkCall() for an attempt that was sent.
void scheduleCheck(GatewayTurn &T, GatewayCall &C);
/// Result code of a request that gets no further attempt. \p Number is the code
/// of its last failure.
Code finalCode(const GatewayCall &C, Code Number);
/// Ends a failed attempt, and retries or ends the call. \p Ran: the server may
/// have run the request.
void attemptFailed(GatewayTurn &T, GatewayCall &C, bool Ran, Code Number,
                   const char *Reason);
/// Handles the call's timer: deadline, overdue answers, placement and renewals.
void checkCall(GatewayTurn &T, GatewayCall &C);
/// Whether another server may run the request after one may have run it.
bool mayRunAgain(const GatewayCall &C);
/// Detaches the call from its current attempt. \p Abort also closes the
/// exchange with the backend server.
void closeAttempt(GatewayTurn &T, GatewayCall &C, bool Abort);
/// Whether the limits, the deadline and the retry budget allow another attempt
/// now and the caller is still connected.
bool maySendAgain(GatewayTurn &T, const GatewayCall &C);

// Answer.cpp
void upstreamHead(GatewayTurn &T, const UpstreamHead &E);
void upstreamData(GatewayTurn &T, const UpstreamData &E);
void upstreamEnd(GatewayTurn &T, const UpstreamEnd &E);

/// Sends the head of the call's answer to the caller, unless one was sent; that
/// of a hedge waits until it takes over.
void beginStream(GatewayTurn &T, GatewayCall &C);
/// Ends the call's stream as complete. Invalidates \p C.
void completeStream(GatewayTurn &T, GatewayCall &C);

// ConfirmPart.cpp
/// Asks the engine that gave the call's stream for its load report. An engine
/// that crashed between two events closes its connections as one that has
/// finished does, but answers nothing any more; another one may answer at its
/// address.
void confirmEnd(GatewayTurn &T, GatewayCall &C);
/// Processes an event that belongs to the query by which the end of a stream is
/// confirmed. Returns false for any other event.
bool confirmationEvent(GatewayTurn &T, const Event &E);
/// Whether the engine has taken a connection since its stream ended, which one
/// that crashed does not; less certain than its report. False unless the call
/// waits for that.
bool mayBeWhole(const GatewayTurn &T, const GatewayCall &C);
/// Drops the queries of a call whose end is not confirmed yet.
void dropConfirmation(GatewayTurn &T, GatewayCall &C);
/// Handles the timer of a call whose end is not confirmed yet.
void checkConfirming(GatewayTurn &T, GatewayCall &C);

// HeldBytes.cpp
/// Whether a request with a body of this size may be taken in, by the bytes
/// that this host holds.
bool hasRoomFor(const Gateway &S, std::size_t BodyBytes);
/// An answer of \p Size bytes has grown by \p Added: fails the attempts with
/// the longest answers while this host holds too many bytes. May end calls.
void boundAnswers(GatewayTurn &T, std::size_t Size, std::size_t Added);
/// Sets the bytes of its stream that the caller has not read. Once it has
/// caught up, its server's silence counts again.
void setUnread(GatewayTurn &T, GatewayCall &C, std::size_t Bytes);
/// Stops reading the stream's answer while its caller lags behind, and reads on
/// once it does not.
void followReader(GatewayTurn &T, GatewayCall &C);

// StopPart.cpp
/// Begins the shutdown: unready first, then refusing, then gone.
void stopRequested(GatewayTurn &T);
/// Proceeds with the shutdown, if one has begun.
void tickStop(GatewayTurn &T);
/// Whether the call, which no server has got, could not be finished before this
/// host stops. It is then told so, and another host can serve it at once.
bool isTooLateToSend(const GatewayTurn &T, const GatewayCall &C);
/// Refuses a call that is too late to send. Invalidates \p C.
void refuseLate(GatewayTurn &T, GatewayCall &C);

// PlacePart.cpp
/// Requests engines for the call from the placer. Places the call locally if
/// this host is the placer, no placer is known or the placer is avoided. May
/// end the call.
void requestPlacement(GatewayTurn &T, GatewayCall &C);
/// The placer did not reply to the call's request: this host chooses servers by
/// itself for a while.
void avoidPlacer(GatewayTurn &T, const GatewayCall &C);
void onPlacementReply(GatewayTurn &T, const HostId &From,
                      const PlacementReply &M);
void onPlacementRequest(GatewayTurn &T, const HostId &From,
                        IncarnationNumber Incarnation,
                        const PlacementRequest &M);
void onPlacementUpdate(GatewayTurn &T, const HostId &From,
                       const PlacementUpdate &M);
/// Reports the call's new stage to the placer.
void reportStage(GatewayTurn &T, GatewayCall &C, PlacementStage Stage,
                 const BackendId &FaultyServer = BackendId());
/// A call that waits for engines needs none any more.
void withdrawPlacement(GatewayTurn &T, const GatewayCall &C);
/// Handles the timer of a call that waits for engines.
void checkPlacing(GatewayTurn &T, GatewayCall &C);
/// Answers waiting placement requests.
void tickPlacing(GatewayTurn &T);
/// Follows a change of the placer: moves waiting requests to the new placer and
/// reports running ones to it.
void followPlacer(GatewayTurn &T);

/// Whether this host chooses engines itself: it is the placer, or none is known
/// or the placer is avoided.
bool placesHere(const Gateway &S, TimePoint Now);

/// Returns the engine, or null if this host does not know it.
const PlacerEngine *engineOf(const Gateway &S, const BackendId &Id);

// ReservePart.cpp
/// Returns an HTTP request that carries an order or a query to an engine.
UpstreamRequest orderRequest(const Gateway &S, const std::string &Address,
                             EngineOrder Order);
/// Asks an engine for its load report; returns the id of the query. Another
/// engine at the address refuses it. \p MayReuse: an open connection may be
/// used, which may have fallen silent by itself.
UpstreamId queryLoad(GatewayTurn &T, const std::string &Address,
                     const BackendId &Engine, bool MayReuse = true);
/// Sends orders that reserve memory at the helpers of the call's placement.
void reserve(GatewayTurn &T, GatewayCall &C);
/// Schedules checkReserving() for the time at which unanswered orders fail.
void checkReservationsLater(GatewayTurn &T, GatewayCall &C);
/// Returns the helpers of the call's placement with their reservations.
std::vector<HelperInfo> helpersOf(const GatewayTurn &T, const GatewayCall &C);
/// Processes an event that belongs to an order about memory. Returns false for
/// any other event.
bool reservationEvent(GatewayTurn &T, const Event &E);
/// Releases all reservations of the call.
void freeReservations(GatewayTurn &T, GatewayCall &C);
/// Repeats releases that are not confirmed.
void tickReleases(GatewayTurn &T);
/// Handles the timer of a call that waits for reservations: fails the attempt
/// if an order got no answer in time, since the engine may not have reserved
/// the memory.
void checkReserving(GatewayTurn &T, GatewayCall &C);
/// Renews the call's granted reservations when they are due.
void renewReservations(GatewayTurn &T, GatewayCall &C);

// SpeedPart.cpp
/// Queries the load reports of engines that are suspected of being slow.
void tickSpeeds(GatewayTurn &T);
/// Returns the time by which tickSpeeds() must be called next.
TimePoint nextSpeedTick(const Gateway &S, TimePoint Now);
/// Processes an event that belongs to a query of an engine's load. Returns
/// false for any other event.
bool speedQueryEvent(GatewayTurn &T, const Event &E);

// QuarantinePart.cpp
/// Refuses the call if it or a part of its prompt is in quarantine, unless it
/// is sent as a trial. Returns whether it was refused; \p C is then invalid.
bool refuseQuarantined(GatewayTurn &T, GatewayCall &C);
/// Whether the call is suspected of crashing servers by so many crashes that it
/// is not sent to another one.
bool isSuspectOfCrashes(const GatewayTurn &T, const GatewayCall &C);
/// Reports to a control host without the usual delay between reports.
void reportEvidenceSoon(GatewayTurn &T);
/// Reports a crash with what is known of its suspects.
void reportCrash(GatewayTurn &T, const ServerCrash &Crash);
/// Records that a backend server answered the call completely.
void noteComplete(GatewayTurn &T, const GatewayCall &C);
/// What a control host is to know of suspects of crashes.
QuarantineUpdate quarantineReport(GatewayTurn &T);
/// Merges what a control host knows of suspects of crashes.
void onQuarantineUpdate(GatewayTurn &T, const HostId &From,
                        const QuarantineUpdate &M);

// RunPart.cpp
/// The parts of the call's prompt that are reported with a crash.
std::vector<PartId> reportedParts(const GatewayCall &C);
/// The call, or its current try, ends before its server has: remembers that the
/// server may still be at work on it. Does nothing if no server is.
void noteUnfinished(GatewayTurn &T, const GatewayCall &C);
/// A server has ended as far as this host knows: reports what it may have been
/// at work on.
void serverEnded(GatewayTurn &T, const BackendId &Server,
                 IncarnationNumber Incarnation);
/// The same for servers that, by these reports, have been replaced, or are gone
/// without an announcement. To be called before the reports are applied.
void noteReplaced(GatewayTurn &T, const std::vector<ServerReport> &Reports);
/// What this host hands over to a control host as it stops.
std::vector<ServerRun> unfinishedRuns(const Gateway &S, TimePoint Now);
/// Whether this host, which has no calls left, may end: what servers may be at
/// work on is known to a control host, or there was no answer in time.
bool hasHandedOver(GatewayTurn &T);

// CrashCheckPart.cpp
/// A backend server broke off its answer to the call: asks it whether it still
/// runs.
void checkCrash(GatewayTurn &T, const GatewayCall &C);
/// Records that the call's server has crashed, if this host's path is not at
/// fault. \p IsUnreached: no connection to it could be made.
void recordCrash(GatewayTurn &T, const GatewayCall &C, bool IsUnreached);
/// Reports a crash.
void crashConfirmed(GatewayTurn &T, const ServerCrash &Crash);
/// A new connection of a query whether a server runs was made. Returns false if
/// the exchange is another one.
bool crashCheckConnected(GatewayTurn &T, const UpstreamSent &E);
/// Processes an event that belongs to a query whether a server still runs.
/// Returns false for any other event.
bool crashCheckEvent(GatewayTurn &T, const Event &E);
/// Ends the queries that were not answered in time.
void tickCrashChecks(GatewayTurn &T);

// ServerNoticePart.cpp
/// Records what the server of the call's attempt says of itself in its answer.
void noteAnswer(GatewayTurn &T, const GatewayCall &C);
/// The same for the answer to an order, a query or a probe; does nothing for
/// one to a request.
void noteQueryAnswer(GatewayTurn &T, const UpstreamHead &E);

// EvacuationPart.cpp
/// Merges the evacuated data centres that a control host sent. Waiting requests
/// that are left without a server are refused.
void onEvacuations(GatewayTurn &T, const HostId &From,
                   const EvacuationState &M);
/// Refuses the call if all servers of its service are in evacuated data
/// centres.
bool refuseEvacuated(GatewayTurn &T, GatewayCall &C);
/// Has the call placed again if an engine of its placement is in an evacuated
/// data centre.
bool leaveEvacuatedEngines(GatewayTurn &T, GatewayCall &C);

// LeavingPart.cpp
/// Whether the incarnation announced in an answer to this host that it leaves.
bool isLeaving(const Gateway &S, const BackendId &Server,
               IncarnationNumber Incarnation);
/// The incarnation announced that it leaves: sends it nothing from now on, and
/// tells the control hosts.
void serverLeaves(GatewayTurn &T, const BackendId &Server,
                  IncarnationNumber Incarnation);
/// Records whether the answer announces that its server leaves.
void noteLeaving(GatewayTurn &T, const AnsweringServer &From,
                 const AnswerInfo &Answer);
/// Returns the report of a control host with the phase that this host knows.
ServerReport knownPhase(GatewayTurn &T, const ServerReport &R);
/// What a control host is to know of servers that leave.
std::vector<ServerReport> leavingReports(const GatewayTurn &T);

// ServerUse.cpp
/// Why a request with \p Ticket may not be sent to the server now, whatever
/// else is known; None if it may.
SendBlock blockOf(const Gateway &S, const BackendId &Server,
                  IncarnationNumber Incarnation, std::uint64_t Ticket,
                  TimePoint Now);
/// Why the server gets no request now, or fewer than others.
SendBlock blockOf(const Gateway &S, const ServerReport &R, TimePoint Now);
const std::vector<SendBlock> &allSendBlocks();
/// Returns the block as a name in metrics and lists.
const char *nameOf(SendBlock Block);
/// Returns the block as a reason in logs.
const char *toString(SendBlock Block);
/// Servers to which blockOf() lets nothing be sent, in order; without those
/// that accept no requests by what is reported of them.
std::vector<BackendId> blockedServers(const Gateway &S, std::uint64_t Ticket,
                                      TimePoint Now);
/// The plain servers of the call's service that may get it now.
std::vector<calls::PlainServer> usableServers(const GatewayTurn &T,
                                              const GatewayCall &C);
/// Whether requests to the server failed so often that others are preferred.
bool isEjected(const Gateway &S, const BackendId &Server, TimePoint Now);
/// Whether the server leaves, or wants no requests now: it is spared this
/// host's own queries as well.
bool isToBeSpared(const Gateway &S, const BackendId &Server, TimePoint Now);
/// If no server of the call's service may get it now, and some want requests
/// again later: the time after which its caller should come back.
std::optional<Duration> pauseOfAll(GatewayTurn &T, const GatewayCall &C);

// ServerListPart.cpp
/// Answers operators' requests for the servers that this host knows. Returns
/// false for any other request.
bool serversCall(GatewayTurn &T, ExchangeId Exchange, const HttpRequest &R);
/// Adds the numbers of servers by block.
void addServerGauges(const Gateway &S, TimePoint Now,
                     std::vector<MetricSample> &Samples);

// PausePart.cpp
/// Whether the server wants no requests now, or takes one at a time.
SendBlock pauseOf(const Gateway &S, const BackendId &Server,
                  IncarnationNumber Incarnation, std::uint64_t Ticket,
                  TimePoint Now);
SendBlock pauseOf(const Gateway &S, const BackendId &Server,
                  const PausedServer &Paused, std::uint64_t Ticket,
                  TimePoint Now);
/// Records until when the server wants no requests, or that it takes them
/// again.
void notePause(GatewayTurn &T, const AnsweringServer &From, int Status,
               const AnswerInfo &Answer);
/// Records that the call is sent to its server, which may be paused no more.
void noteProbe(GatewayTurn &T, const GatewayCall &C);
/// Time after which a caller should come back for servers that want requests
/// at \p Until. Callers are spread out.
Duration untilReturn(GatewayTurn &T, TimePoint Until);
/// Ends a call for which no server wants requests now; its caller should come
/// back after \p Wait.
void failPaused(GatewayTurn &T, GatewayCall &C, Duration Wait);

// PathPart.cpp
/// Number of servers of the service that accept requests, by what they report.
std::size_t readyServers(const Gateway &S, const ServiceId &Service);
/// Probes the server by a new connection, unless a probe is under way.
/// \p IsForOthers: a failure is not counted as one of this host.
void probePath(GatewayTurn &T, const BackendId &Server, bool IsForOthers);
/// A new connection to the server was made.
void pathReached(GatewayTurn &T, const BackendId &Server);
/// No connection to the server could be made.
void pathFailed(GatewayTurn &T, const BackendId &Server);
/// Settles what waits for knowledge of paths.
void settlePaths(GatewayTurn &T);
/// Processes an event that belongs to a probe. Returns false for any other.
bool pathProbeEvent(GatewayTurn &T, const Event &E);
/// Probes servers, asks other hosts and updates the states of the paths.
void tickPaths(GatewayTurn &T);
/// Returns the time by which tickPaths() must be called next.
TimePoint nextPathTick(const Gateway &S, TimePoint Now);
/// Bytes of a server's answer to the call arrived.
void heardFrom(GatewayTurn &T, const GatewayCall &C);
/// Time at which the path of the call's attempt is in doubt.
TimePoint doubtAt(const GatewayTurn &T, const GatewayCall &C);
/// Probes the path of the call's attempt.
void doubtPath(GatewayTurn &T, GatewayCall &C);
/// Whether requests of the service go by way of other hosts.
bool isCutOff(const Gateway &S, const ServiceId &Service);
/// Whether the server should get no request, since this host may not reach it
/// and reaches most others of its service.
bool isPathBlocked(const Gateway &S, const BackendId &Server, TimePoint Now);
/// All such servers.
std::vector<BackendId> pathBlockedServers(const Gateway &S, TimePoint Now);
/// Lets requests go on that wait for the state of the path.
void wakeWaiting(GatewayTurn &T, const ServiceId &Service);

// PathQueryPart.cpp
/// Asks other hosts about servers in doubt, and relays whether they still are.
void askOtherHosts(GatewayTurn &T);
/// Whether control hosts are to name hosts that may be asked.
bool wantsRelayList(const Gateway &S, TimePoint Now);
/// Asks the control host soon for such hosts, if they are needed.
void syncSoonForRelays(GatewayTurn &T);
void onRelayList(GatewayTurn &T, const std::vector<RelayCandidate> &List);
void onPathQuery(GatewayTurn &T, const HostId &From, const PathQuery &M);
void onPathReply(GatewayTurn &T, const HostId &From, const PathReply &M);
/// A probe on behalf of other hosts failed.
void probeForOthersFailed(GatewayTurn &T, const PathProbe &Probe);
/// Replies to hosts whose queries can be answered.
void settleAsks(GatewayTurn &T);

// FaultReportPart.cpp
/// Reports a server's failure once the path to it is known not to be at fault.
void holdFaultReport(GatewayTurn &T, FaultReport A);
void settleFaultReports(GatewayTurn &T);
/// Has the engine avoided for a while by the placer.
void reportEngineFault(GatewayTurn &T, const BackendId &Server);

// HandOverPart.cpp
/// Hands the call over to another host, lets it wait or refuses it, if this
/// host's path requires that. Returns false if the call is to be sent directly.
bool usesOtherPath(GatewayTurn &T, GatewayCall &C);
/// Lets a call go on that waits for the state of the path, if that is known or
/// its time is over.
void leavePathWait(GatewayTurn &T, GatewayCall &C);
/// Ends the attempt at a relay. \p Abort: the relay is told.
void closeRelay(GatewayTurn &T, GatewayCall &C, bool Abort);
void onRelayBodyCredit(GatewayTurn &T, const HostId &From,
                       const RelayBodyCredit &M);
void onRelayHead(GatewayTurn &T, const HostId &From, const RelayHead &M);
void onRelayData(GatewayTurn &T, const HostId &From, const RelayData &M);
void onRelayEnd(GatewayTurn &T, const HostId &From, const RelayEnd &M);
void onRelayRefusal(GatewayTurn &T, const HostId &From, const RelayRefusal &M);
/// The link to the relay was lost: its requests go on elsewhere if they may.
void relayLost(GatewayTurn &T, const HostId &Host);
/// The relay does not reply to queries: requests that may run again and get no
/// bytes go on elsewhere.
void relaySilent(GatewayTurn &T, const HostId &Host);
/// The caller has read its answer up to \p PendingBytes.
void callerRead(GatewayTurn &T, ExchangeId Exchange, std::size_t PendingBytes);

// RelayPart.cpp
/// Whether the exchange is that of a request of another host.
bool isRelayed(ExchangeId Exchange);
/// Whether this host can take a request of another host.
bool takesRelays(const Gateway &S);
/// Refuses a request of another host.
void refuseRelayed(GatewayTurn &T, ExchangeId Exchange, Code Number,
                   const char *Reason, Duration RetryAfter,
                   std::uint32_t Sends);
/// Records how a call of another host ended.
void relayedEnds(GatewayTurn &T, const GatewayCall &C);
/// Turns the answers to requests of other hosts into messages to them.
void forwardRelayedAnswers(GatewayTurn &T);
void onRelayRequest(GatewayTurn &T, const HostId &From,
                    IncarnationNumber Incarnation, const RelayRequest &M);
void onRelayBody(GatewayTurn &T, const HostId &From, const RelayBody &M);
void onRelayCredit(GatewayTurn &T, const HostId &From, const RelayCredit &M);
void onRelayCancel(GatewayTurn &T, const HostId &From, std::uint64_t Id);
/// Ends the requests of a host that cannot be reached any more.
void dropTaken(GatewayTurn &T, const HostId &From);

// LimitPart.cpp
/// Whether the server named a limit or is cold, so that only the placer permits
/// requests.
bool needsPermit(const Gateway &S, const calls::PlainServer &Server);
/// Brings the budgets in line with the limits that are known. \p IsReset: the
/// budgets start anew, since this host has another role.
void refreshLimits(GatewayTurn &T, bool IsReset);
/// Starts the budgets anew if this host became the placer, or began or ceased
/// to choose servers by itself.
void updateLimitRole(GatewayTurn &T);
/// Records whether the answer names a limit.
void noteLimit(GatewayTurn &T, const AnsweringServer &From, int Status,
               const AnswerInfo &Answer);
/// Merges limits that other hosts know of.
void onLimitRecords(GatewayTurn &T, const std::vector<ServerLimit> &Records);
/// What a control host is to know of limits.
LimitUpdate limitReport(const GatewayTurn &T);
/// Asks for the permit to send the call to a limited server. May end the call.
void askForPermit(GatewayTurn &T, GatewayCall &C);
void onPermitRequest(GatewayTurn &T, const HostId &From,
                     const PermitRequest &M);
void onPermitReply(GatewayTurn &T, const HostId &From, const PermitReply &M);
/// Handles the timer of a call that waits for a permit.
void checkPermit(GatewayTurn &T, GatewayCall &C);
/// Ends the call's wait for a permit, if it waits.
void withdrawPermit(GatewayTurn &T, const GatewayCall &C);
/// Answers requests that wait for permits; logs the use of limits.
void tickLimits(GatewayTurn &T);

/// Brings the list of cold servers and their budgets up to date.
void refreshCold(GatewayTurn &T);
/// The same, if it was not done for a while.
void tickCold(GatewayTurn &T);
/// A server told in an answer for how long it is cold.
void noteWarmup(GatewayTurn &T, const BackendId &Server, Duration Time);

// RoutingPart.cpp
/// Puts the configuration of a message in force. Returns whether it did.
bool applyRouting(GatewayTurn &T, const SiteState &M);
/// Refuses requests, or serves again, by how long a newer configuration has
/// been missing.
void checkStale(GatewayTurn &T);

// SitePart.cpp
/// Follows a change of the list of backend servers.
void serversChanged(GatewayTurn &T);
/// Queries the control host, drops the placements of lost hosts and advances a
/// shutdown.
void tickSite(GatewayTurn &T);
void onSiteState(GatewayTurn &T, const HostId &From, const SiteState &M);
/// Answers the load balancer's readiness query; refuses any other call.
void operatorCall(GatewayTurn &T, ExchangeId Exchange, const HttpRequest &R);

} // namespace pimento::gateway
