// Sends a request to a backend server and handles failed attempts.

#include "gateway/GatewayTurn.h"

#include <algorithm>

namespace pimento::gateway {

namespace {

/// Limit of all attempts of a request. The route's limit does not bound
/// attempts that fail to connect, since those do not count toward it.
constexpr std::uint32_t MaxServerAttempts = 6;
/// Least time before the deadline for another attempt.
constexpr Duration MinTimeLeft = milliseconds(20);
/// A server in the same data centre accepts a connection within a few
/// milliseconds.
constexpr Duration PlainConnectTime = milliseconds(150);
constexpr Duration EngineConnectTime = milliseconds(300);
/// An idempotent call is retried at another server after this multiple of its
/// objective.
constexpr int OverdueObjectives = 2;
constexpr Duration MinOverdueTime = milliseconds(150);
constexpr int RelayOverdueFactor = 2;
/// A stream resumes at another server after this multiple of its inter-event
/// objective without an event.
constexpr int StallIntervals = 4;
constexpr Duration MinStallTime = milliseconds(1000);
/// A sound engine may be silent for this time. Afterwards it is probed, and it
/// is dead if it has taken no connection for DeadTime.
constexpr Duration EngineSilence = milliseconds(1500);
constexpr Duration SilenceProbeInterval = milliseconds(500);
constexpr Duration DeadTime = seconds(1);
/// Share of the callers' event timeout that limits the stall time. A later
/// event would find no caller.
constexpr double MaxStallShare = 0.6;

bool wasTried(const GatewayCall &C, const BackendId &Server) {
  return std::find(C.TriedServers.begin(), C.TriedServers.end(), Server) !=
         C.TriedServers.end();
}

/// Returns nearServers(), or all servers if there are none.
std::vector<calls::PlainServer> serversFor(const GatewayTurn &T,
                                           const GatewayCall &C) {
  std::vector<calls::PlainServer> Near = nearServers(T, C);
  return Near.empty() ? usableServers(T, C) : Near;
}

void startPlain(GatewayTurn &T, GatewayCall &C) {
  std::vector<calls::PlainServer> Servers = serversFor(T, C);
  std::optional<Duration> Wait;
  if (Servers.empty())
    Wait = pauseOfAll(T, C);
  if (Wait) {
    failPaused(T, C, *Wait);
    return;
  }
  calls::ServerChoice Choice =
      chooseServer(T.S.Health, Servers, C.TriedServers, T.S.Rng, T.Now);
  if (Choice.Server == nullptr) {
    fail(T, C, C.MayHaveRun ? Code::BackendFailed : Code::NoBackend,
         "no backend server of the service is available");
    return;
  }
  if (C.HedgeOf != 0 && wasTried(C, Choice.Server->Backend)) {
    fail(T, C, Code::NoBackend, "no other backend server is available");
    return;
  }
  if (needsPermit(T.S, *Choice.Server))
    askForPermit(T, C);
  else
    sendToPlain(T, C, *Choice.Server);
}

std::uint32_t connectionLimit(const Gateway &S, const GatewayCall &C) {
  auto Service = C.Table->ByService.find(C.Service);
  if (Service == C.Table->ByService.end() || Service->second->Connections == 0)
    return 0;
  // Counts one host more than is known, since this host learns late of a new
  // one.
  return std::max<std::uint32_t>(
      2, Service->second->Connections /
             static_cast<std::uint32_t>(S.Link.Entries + 1));
}

Duration stallTime(const Route &R) {
  Duration Stall =
      std::max(MinStallTime, StallIntervals * R.InterEventObjective);
  if (R.EventTimeout > Duration::zero())
    Stall =
        std::min(Stall, fromSeconds(toSeconds(R.EventTimeout) * MaxStallShare));
  return Stall;
}

/// Time of the next probe whether the call's engine, which sends nothing, is
/// dead. While it is, memory that others reserved for the call is of no use.
TimePoint silenceCheckAt(const GatewayCall &C) {
  const CallAttempt &A = C.Attempt;
  bool MayBeDead = C.OnEngine && A.Relay.empty() && A.BytesSent &&
                   mayRunAgain(C) && C.UnreadBytes < FlowWindowBytes / 2;
  if (!MayBeDead)
    return TimePoint::max();
  return std::max(A.LastBytes + EngineSilence,
                  A.SilenceProbeAt + SilenceProbeInterval);
}

bool isAtPlainServer(const GatewayCall &C) {
  return !C.OnEngine && !C.Attempt.Server.empty() && C.Attempt.Relay.empty();
}

/// Holds a failed attempt against \p FaultyServer; later, if this host's path
/// to it may be at fault.
void recordFault(GatewayTurn &T, GatewayCall &C,
                 const BackendId &FaultyServer) {
  FaultSide Fault =
      C.Attempt.Relay.empty() ? C.Attempt.Fault : FaultSide::Nobody;
  if (C.Placed)
    reportStage(T, C, PlacementStage::Failed,
                Fault == FaultSide::Server ? FaultyServer : BackendId());
  if (isAtPlainServer(C)) {
    if (Fault == FaultSide::Server)
      onCallEnded(T.S.Health, C.Attempt.Server, /*Succeeded=*/false,
                  plainServers(T.S, C.Service), T.Now);
    else
      onCallDropped(T.S.Health, C.Attempt.Server);
  }
  if (Fault == FaultSide::Path)
    holdPathFault(T, C, FaultyServer);
}

void logFailedAttempt(GatewayTurn &T, const GatewayCall &C, bool Ran,
                      Code Number, const char *Reason) {
  DecisionRecord Record = record(T, C, "try_failed", Reason);
  Record.add("server", C.Attempt.Server.Value);
  Record.add("address", C.Attempt.Address);
  Record.add("culprit", C.FaultyServer.Value);
  Record.add("may_have_run", Ran);
  Record.add("code", static_cast<std::int64_t>(Number));
  Record.add("status", static_cast<std::int64_t>(C.Attempt.Status));
  Record.add("sends", static_cast<std::int64_t>(C.Sends));
  Record.add("stage", std::string(toString(C.Stage)));
  Record.add("since_bytes_ms", toMilliseconds(T.Now - C.Attempt.LastBytes));
  Record.add("try_ms", toMilliseconds(T.Now - C.Attempt.Began));
  Record.add("kept_connection", C.Attempt.IsKept);
  Record.add("connection", C.Attempt.Failure);
  constexpr std::int64_t NotGiven = -1;
  const AnswerInfo &Answer = C.Attempt.Answer;
  Record.add("answer_has_id", !Answer.ClientAttemptId.empty());
  Record.add("retry_after_ms",
             Answer.RetryAfter ? toMilliseconds(*Answer.RetryAfter) : NotGiven);
  Record.add("account", C.Account.Value);
  Record.add("request_digest", toString(C.Digest));
  if (C.OnEngine) {
    bool HasHead = C.Attempt.HeadAt != TimePoint();
    constexpr std::int64_t None = -1;
    Record.add("answering_ms",
               HasHead ? toMilliseconds(T.Now - C.Attempt.HeadAt) : None);
    Record.add("events", static_cast<std::int64_t>(C.Events.Events));
    Record.add("parts", partsText(C.Info.Parts));
  }
  log(T, std::move(Record));
}

/// Whether the server could not be connected to. A host that was held up sees
/// timeouts that say nothing.
bool isLostPath(const GatewayCall &C, const UpstreamFailure &Why,
                TimePoint Now) {
  constexpr Duration HeldUpTime = milliseconds(100);
  Duration Limit = C.OnEngine ? EngineConnectTime : PlainConnectTime;
  bool WasHeldUp = Why.TimedOut && Now > C.Attempt.Began + Limit + HeldUpTime;
  return !Why.BytesSent && !Why.IsLocal && !WasHeldUp;
}

/// Counts the ways in which connections to backend servers fail.
void countFailedConnection(GatewayTurn &T, const UpstreamFailure &Why) {
  const char *How = "refused";
  if (Why.IsLocal)
    How = "not_tried";
  else if (Why.TimedOut)
    How = "timed_out";
  else if (Why.BytesSent)
    How = "broke";
  count(T, "pimento_connections_failed_total",
        std::string("how=\"") + How + "\",kept=\"" + (Why.IsKept ? "1" : "0") +
            "\"");
}

/// Whether a server is at work on the call's current try, or is being asked
/// whether it was to the end.
bool isAtServer(const GatewayCall &C) {
  return C.Attempt.Upstream != UpstreamId{} || !C.Attempt.EndQueries.empty();
}

/// Ends the exchange of a failed attempt, if it is still open.
void abandonUpstream(GatewayTurn &T, GatewayCall &C) {
  if (isAtServer(C))
    noteUnfinished(T, C);
  dropConfirmation(T, C);
  if (C.Attempt.Upstream == UpstreamId{})
    return;
  T.S.ByUpstream.erase(C.Attempt.Upstream);
  if (C.Attempt.Relay.empty())
    T.Out.push_back(calls::AbortUpstream{C.Attempt.Upstream});
  else
    closeRelay(T, C, /*Abort=*/true);
  C.Attempt.Upstream = UpstreamId{};
}

} // namespace

std::vector<calls::PlainServer> nearServers(const GatewayTurn &T,
                                            const GatewayCall &C) {
  std::vector<calls::PlainServer> Near = usableServers(T, C);
  calls::HealthSearch Search(T.S.Health);
  auto IsUnfit = [&](const calls::PlainServer &Server) {
    const calls::ServerHealth *Health = Search.find(Server.Backend);
    bool Ejected = Health != nullptr &&
                   (Health->EjectedUntil > T.Now || Health->IsHalfOpen);
    bool Busy = Health != nullptr && Health->InFlight >= 2;
    return Server.DataCentre != T.S.Engines.Here || Ejected ||
           wasTried(C, Server.Backend) || Busy;
  };
  Near.erase(std::remove_if(Near.begin(), Near.end(), IsUnfit), Near.end());
  return Near;
}

TimePoint overdueAt(const GatewayCall &C) {
  const Route &R = *C.Path;
  // An answer that is held back for a slow reader is not late.
  if (C.UnreadBytes >= FlowWindowBytes / 2)
    return TimePoint::max();
  // A relay that may try other servers itself is left more time.
  int Factor = C.Attempt.RelaySends > 1 ? RelayOverdueFactor : 1;
  if (R.Kind == CallKind::Stream) {
    Duration Wait = stallTime(R);
    if (C.Attempt.LastBytes == C.Attempt.Began)
      Wait += C.Attempt.Forecast;
    return C.Attempt.LastBytes + Factor * Wait;
  }
  return C.Attempt.Began +
         Factor * std::max(MinOverdueTime, OverdueObjectives * R.Objective);
}

bool isAddressTaken(const Gateway &S, const CallAttempt &A) {
  auto IsLater = [&](const auto &Known) {
    const ServerReport &R = Known.second.Report;
    return R.Address == A.Address && R.Phase != ServerPhase::Gone &&
           R.Incarnation > A.ServerIncarnation;
  };
  const auto &Servers = S.Servers.Servers;
  return std::any_of(Servers.begin(), Servers.end(), IsLater);
}

bool isDead(const GatewayTurn &T, const GatewayCall &C) {
  if (isAddressTaken(T.S, C.Attempt))
    return true;
  const PathWatch &W = T.S.Relays.Paths;
  const BackendId &Server = C.Attempt.Server;
  auto Path = W.Servers.find(Server);
  if (W.Failed.count(Server) == 0 || Path == W.Servers.end() ||
      T.Now < Path->second.FailedAt + DeadTime || isCutOff(T.S, C.Service))
    return false;
  return verdictOf(W, Server, Path->second.FailedAt, T.Now) ==
         FailureVerdict::ServerAtFault;
}

void holdPathFault(GatewayTurn &T, const GatewayCall &C,
                   const BackendId &FaultyServer) {
  FaultReport A;
  A.What = C.OnEngine ? FaultReport::Kind::Engine : FaultReport::Kind::Plain;
  A.Server = FaultyServer;
  A.IsUnreached = !C.Attempt.BytesSent && FaultyServer == C.Attempt.Server;
  A.Crash.Incarnation = C.Attempt.ServerIncarnation;
  holdFaultReport(T, std::move(A));
  // Without a connection the server has just been found not to be reached.
  if (C.Attempt.BytesSent)
    probePath(T, FaultyServer, /*IsForOthers=*/false);
}

const std::vector<calls::PlainServer> &plainServers(const Gateway &S,
                                                    const ServiceId &Service) {
  static const std::vector<calls::PlainServer> None;
  auto Found = S.PlainServers.find(Service);
  return Found == S.PlainServers.end() ? None : Found->second;
}

Code finalCode(const GatewayCall &C, Code Number) {
  if (!C.MayHaveRun)
    return info(Number).Result == Outcome::NotRun ? Number
                                                  : Code::RefusedByBackend;
  if (C.Path->Kind == CallKind::Once)
    return Code::OutcomeUnknown;
  return C.Replying ? Code::StreamCut : Code::BackendFailed;
}

void scheduleCheck(GatewayTurn &T, GatewayCall &C) {
  TimePoint At = std::min(
      {C.Deadline, doubtAt(T, C), silenceCheckAt(C), hedgeAt(C), slowAt(T, C)});
  checkAt(T, C, std::max(At, T.Now + milliseconds(1)));
}

bool mayRunAgain(const GatewayCall &C) {
  return C.Path->Kind == CallKind::Idempotent ||
         (C.Path->Kind == CallKind::Stream && C.Path->Resumable);
}

bool maySendAgain(GatewayTurn &T, const GatewayCall &C) {
  if (C.AttemptCount >= MaxServerAttempts || C.Sends >= C.MaxSends ||
      T.Now + MinTimeLeft > C.Deadline)
    return false;
  bool HasCaller = C.Exchange != ExchangeId{} || C.HedgeOf != 0;
  if (!HasCaller)
    return false;
  bool IsRetry = C.Sends > 0 || C.HedgeOf != 0;
  return !IsRetry || siteRetriesLeft(T.S.Retries, C.Service, T.S.RetryRules,
                                     T.S.Link.Entries, T.Now) >= 1;
}

void sendToPlain(GatewayTurn &T, GatewayCall &C,
                 const calls::PlainServer &Server) {
  C.Attempt.Server = Server.Backend;
  C.Attempt.ServerIncarnation = Server.Incarnation;
  C.Attempt.Address = Server.Address;
  onCallStarted(T.S.Health, Server, T.Now);
  sendAttempt(T, C, {});
}

bool chargeRetry(GatewayTurn &T, GatewayCall &C) {
  if (!C.IsRetryDue)
    return true;
  C.IsRetryDue = false;
  if (takeSiteRetry(T.S.Retries, C.Service, T.S.RetryRules, T.S.Link.Entries,
                    T.Now))
    return true;
  if (isAtPlainServer(C))
    onCallDropped(T.S.Health, C.Attempt.Server);
  fail(T, C, Code::BackendFailed, "the site's retries are used up");
  return false;
}

void startAttempt(GatewayTurn &T, GatewayCall &C) {
  if (refuseQuarantined(T, C))
    return;
  if (C.Sends > 0 && !C.IsRetryDue)
    takeSiteRetry(T.S.Retries, C.Service, T.S.RetryRules, T.S.Link.Entries,
                  T.Now);
  beginAttempt(T, C);
}

void beginAttempt(GatewayTurn &T, GatewayCall &C) {
  C.Attempt = CallAttempt();
  if (usesOtherPath(T, C))
    return;
  if (C.OnEngine)
    requestPlacement(T, C);
  else
    startPlain(T, C);
}

void sendAttempt(GatewayTurn &T, GatewayCall &C,
                 const std::vector<HelperInfo> &Helpers) {
  Gateway &S = T.S;
  if (isTooLateToSend(T, C)) {
    refuseLate(T, C);
    return;
  }
  SendBlock Block = blockOf(S, C.Attempt.Server, C.Attempt.ServerIncarnation,
                            C.Ticket, T.Now);
  if (Block != SendBlock::None) {
    C.AttemptCount += 1; // Bounds how often another server is chosen.
    C.Attempt.Fault = FaultSide::Nobody;
    attemptFailed(T, C, false, Code::NoBackend, toString(Block));
    return;
  }
  if (!chargeRetry(T, C))
    return;
  noteProbe(T, C);
  ForwardInfo Forward;
  Forward.TimeLeft = C.Deadline - T.Now;
  Forward.Expected = C.Attempt.Server;
  Forward.Account = C.Account;
  Forward.LastEvent = C.Events.LastId;
  Forward.Helpers = Helpers;
  UpstreamRequest Request;
  Request.Address = C.Attempt.Address;
  Request.Method = C.Method;
  Request.Target = C.Target;
  Request.Headers = S.Platform.EncodeForward(C.Info, Forward);
  Request.Body = C.Body;
  Request.MayReuse = mayRunAgain(C);
  Request.ConnectTimeout = C.OnEngine ? EngineConnectTime : PlainConnectTime;
  Request.EchoHeader = {S.Platform.ClientAttemptIdHeader,
                        C.Info.ClientAttemptId};
  Request.ConnectionLimit = connectionLimit(S, C);
  C.Attempt.Upstream = UpstreamId{S.NextUpstream++};
  C.Attempt.Began = T.Now;
  C.Attempt.LastBytes = T.Now;
  C.Events.Partial.clear();
  C.Stage = CallStage::Sent;
  C.AttemptCount += 1;
  S.ByUpstream[C.Attempt.Upstream] = C.Ticket;
  T.Out.push_back(
      calls::OpenUpstream{C.Attempt.Upstream, std::move(Request), C.Deadline});
  scheduleCheck(T, C);
}

void upstreamSent(GatewayTurn &T, const UpstreamSent &E) {
  auto Found = T.S.ByUpstream.find(E.Call);
  if (Found == T.S.ByUpstream.end())
    return;
  GatewayCall &C = *findCall(T, Found->second);
  if (C.Attempt.Upstream != E.Call || C.Attempt.BytesSent)
    return;
  C.Attempt.BytesSent = true;
  C.Attempt.IsKept = E.IsKept;
  C.Sends += 1;
  if (!E.IsKept)
    pathReached(T, C.Attempt.Server);
}

void upstreamFailed(GatewayTurn &T, UpstreamId Upstream,
                    const UpstreamFailure &Why) {
  auto Found = T.S.ByUpstream.find(Upstream);
  if (Found == T.S.ByUpstream.end())
    return;
  GatewayCall &C = *findCall(T, Found->second);
  T.S.ByUpstream.erase(Found);
  C.Attempt.Upstream = UpstreamId{};
  C.Attempt.IsKept = Why.IsKept;
  C.Attempt.Failure = Why.Detail;
  countFailedConnection(T, Why);
  if (Why.BytesSent && !C.Attempt.BytesSent) {
    C.Attempt.BytesSent = true;
    C.Sends += 1;
  }
  if (!Why.Malformed)
    C.Attempt.Fault = Why.IsLocal ? FaultSide::Nobody : FaultSide::Path;
  if (isLostPath(C, Why, T.Now))
    pathFailed(T, C.Attempt.Server);
  if (Why.BytesSent && !Why.TimedOut && !Why.Malformed)
    checkCrash(T, C);
  else if (Why.BytesSent)
    noteUnfinished(T, C);
  attemptFailed(T, C, Why.BytesSent,
                Why.BytesSent ? Code::BackendFailed : Code::ConnectFailed,
                Why.BytesSent ? "the connection broke"
                              : "no connection to the backend server");
}

void closeAttempt(GatewayTurn &T, GatewayCall &C, bool Abort) {
  if (Abort && isAtServer(C))
    noteUnfinished(T, C);
  dropConfirmation(T, C);
  if (C.Attempt.Upstream == UpstreamId{})
    return;
  T.S.ByUpstream.erase(C.Attempt.Upstream);
  if (!C.Attempt.Relay.empty()) {
    closeRelay(T, C, Abort);
  } else if (Abort) {
    T.Out.push_back(calls::AbortUpstream{C.Attempt.Upstream});
    if (!C.OnEngine)
      onCallDropped(T.S.Health, C.Attempt.Server);
  }
  C.Attempt.Upstream = UpstreamId{};
}

void attemptFailed(GatewayTurn &T, GatewayCall &C, bool Ran, Code Number,
                   const char *Reason) {
  logFailedAttempt(T, C, Ran, Number, Reason);
  count(T, "pimento_tries_failed_total",
        std::string("code=\"") + toString(Number) + "\"");
  abandonUpstream(T, C);
  freeReservations(T, C);
  BackendId FaultyServer =
      C.FaultyServer.empty() ? C.Attempt.Server : C.FaultyServer;
  C.FaultyServer = BackendId();
  recordFault(T, C, FaultyServer);
  C.MayHaveRun = C.MayHaveRun || Ran;
  if (!FaultyServer.empty())
    C.TriedServers.push_back(std::move(FaultyServer));
  C.LastFailure = Number;
  C.LastFailureReason = Reason;
  C.LastFailureAt = T.Now;
  bool Allowed = !C.MayHaveRun || (mayRunAgain(C) && !isSuspectOfCrashes(T, C));
  if (Allowed && continueWithHedge(T, C))
    return;
  if (Allowed && maySendAgain(T, C)) {
    startAttempt(T, C);
    return;
  }
  fail(T, C, finalCode(C, Number), Reason);
}

namespace {

/// Holds the call's silence against its server, once for each attempt.
void accuseLate(GatewayTurn &T, GatewayCall &C) {
  if (C.Attempt.IsAccused || !C.Attempt.Relay.empty())
    return;
  C.Attempt.IsAccused = true;
  holdPathFault(T, C, C.Attempt.Server);
}

/// Tries another server for a call whose attempt is late. The attempt goes on.
void checkLate(GatewayTurn &T, GatewayCall &C) {
  std::uint64_t Ticket = C.Ticket;
  if (T.Now >= slowAt(T, C))
    hedgeSlowAttempt(T, C);
  else if (T.Now >= hedgeAt(C)) {
    accuseLate(T, C);
    startHedge(T, C, "no answer or event from the backend server in time");
  }
  if (findCall(T, Ticket) != nullptr)
    scheduleCheck(T, C);
}

} // namespace

void checkCall(GatewayTurn &T, GatewayCall &C) {
  if (T.Now >= C.Deadline) {
    bool Waiting = !C.MayHaveRun && !C.Attempt.BytesSent;
    fail(T, C, Waiting ? Code::DeadlineUnreachable : Code::DeadlineExceeded,
         "the time limit passed");
    return;
  }
  renewReservations(T, C);
  if (C.Stage == CallStage::Placing) {
    checkPlacing(T, C);
    return;
  }
  if (C.Stage == CallStage::AwaitingPermit) {
    checkPermit(T, C);
    return;
  }
  if (C.Stage == CallStage::Reserving) {
    checkReserving(T, C);
    return;
  }
  if (C.Stage == CallStage::Confirming) {
    checkConfirming(T, C);
    return;
  }
  if (C.Stage == CallStage::AwaitingPath) {
    leavePathWait(T, C);
    return;
  }
  bool AtServer = C.Stage == CallStage::Sent || C.Stage == CallStage::Answering;
  if (!AtServer) {
    checkAt(T, C, C.Deadline);
    return;
  }
  if (T.Now >= doubtAt(T, C))
    doubtPath(T, C);
  if (T.Now >= silenceCheckAt(C)) {
    if (isAddressTaken(T.S, C.Attempt) || (C.HedgeOf != 0 && isDead(T, C))) {
      C.Attempt.Fault = FaultSide::Path;
      attemptFailed(T, C, true, Code::BackendFailed,
                    "the engine is silent and takes no connection");
      return;
    }
    C.Attempt.SilenceProbeAt = T.Now;
    probePath(T, C.Attempt.Server, /*IsForOthers=*/false);
    std::uint64_t Ticket = C.Ticket;
    if (isDead(T, C))
      serverIsDead(T, C);
    if (findCall(T, Ticket) == nullptr)
      return;
  }
  checkLate(T, C);
}

} // namespace pimento::gateway
