// Paths of this host to backend servers: what connections tell of them, probes,
// and what becomes of requests when a path is lost or back.

#include "gateway/GatewayTurn.h"

#include "base/SettingText.h"

#include <algorithm>

namespace pimento::gateway {

namespace {

/// A connection within a site is made within a few milliseconds.
constexpr Duration ProbeTimeout = milliseconds(120);
/// A timeout that is noticed so much later says that this host was held up.
constexpr Duration HeldUpTime = milliseconds(100);
constexpr Duration OtherProbeInterval = milliseconds(100);
/// Signs after which the path of a request is probed: no connection after this
/// time; no byte of an answer; no further event.
constexpr Duration ConnectDoubt = milliseconds(60);
constexpr Duration PlainDoubt = milliseconds(120);
constexpr Duration EngineDoubt = milliseconds(250);
constexpr Duration MinEventDoubt = milliseconds(300);
/// Bytes of any server of the service within this time speak for the path.
constexpr Duration HeardTime = milliseconds(100);
/// An answer whose bytes came within this time when the path was lost goes on.
constexpr Duration LivingTime = milliseconds(150);

const ServerReport *reportOf(const Gateway &S, const BackendId &Server) {
  auto Found = S.Servers.Servers.find(Server);
  return Found == S.Servers.Servers.end() ? nullptr : &Found->second.Report;
}

/// Sends a query that the server answers at once over a new connection.
UpstreamRequest probeRequest(const Gateway &S, const ServerReport &R,
                             EngineOrder Query) {
  UpstreamRequest Request = orderRequest(S, R.Address, std::move(Query));
  Request.MayReuse = false;
  Request.ConnectTimeout = ProbeTimeout;
  return Request;
}

/// The query for a server; empty if none is known.
std::optional<EngineOrder> probeQuery(const Gateway &S, const ServerReport &R) {
  if (S.Engines.Engines.count(R.Id) > 0)
    return S.Platform.EncodeLoadQuery(BackendId());
  auto Service = S.Routes->ByService.find(R.Service);
  if (Service == S.Routes->ByService.end() ||
      Service->second->HealthPath.empty())
    return std::nullopt;
  EngineOrder Query;
  Query.Method = HttpMethod::Get;
  Query.Target = Service->second->HealthPath;
  return Query;
}

void logState(GatewayTurn &T, const ServiceId &Service, PathState Before) {
  const char *Reason = "";
  PathState State = pathState(T.S.Relays.Paths, Service);
  switch (State) {
  case PathState::Direct:
    Reason = "this host reaches the backend servers of the service";
    break;
  case PathState::Watched:
    Reason = "this host failed to reach backend servers of the service";
    break;
  case PathState::Cut:
    Reason = "other hosts reach backend servers that this host does not reach";
    break;
  case PathState::NoneUp:
    Reason = "no host that was asked reaches a backend server of the service";
    break;
  }
  DecisionRecord Record{"path", {}, Reason, {}};
  Record.add("service", Service.Value);
  Record.add("state", std::string(toString(State)));
  Record.add("before", std::string(toString(Before)));
  Record.add("relays", static_cast<std::int64_t>(
                           relayCount(T.S.Relays.Peers, Service, T.Now)));
  log(T, std::move(Record));
}

std::vector<std::uint64_t> callsOf(const Gateway &S, const ServiceId &Service) {
  std::vector<std::uint64_t> Tickets;
  for (const auto &[Ticket, C] : S.Calls) {
    if (C.Service == Service)
      Tickets.push_back(Ticket);
  }
  return Tickets;
}

/// Whether the call waits in vain for a server that this host lost: it has no
/// connection, or may be sent again and gets no bytes.
bool isStranded(const GatewayCall &C, TimePoint Now) {
  bool IsAtServer =
      C.Stage == CallStage::Sent || C.Stage == CallStage::Answering;
  if (!IsAtServer || !C.Attempt.Relay.empty() ||
      C.Attempt.Upstream == UpstreamId{})
    return false;
  if (!C.Attempt.BytesSent)
    return true;
  return mayRunAgain(C) && Now >= C.Attempt.LastBytes + LivingTime;
}

/// The path to the service's servers is lost: sends requests that wait in vain
/// by way of other hosts.
void pathLost(GatewayTurn &T, const ServiceId &Service) {
  for (std::uint64_t Ticket : callsOf(T.S, Service)) {
    GatewayCall *C = findCall(T, Ticket);
    if (C == nullptr || !isStranded(*C, T.Now))
      continue;
    const char *Reason = "this host lost its path to the backend server";
    if (C->Attempt.BytesSent) {
      // The path may come back, and the answer with it.
      startHedge(T, *C, Reason);
      continue;
    }
    C->Attempt.Fault = FaultSide::Nobody;
    attemptFailed(T, *C, false, Code::NoPath, Reason);
  }
}

bool isReadyFor(const ServerReport &R, const ServiceId &Service) {
  return R.Service == Service && R.Phase == ServerPhase::Ready;
}

/// Servers of the service that may be probed.
std::vector<BackendId> serversToProbe(const GatewayTurn &T,
                                      const ServiceId &Service) {
  std::vector<BackendId> Servers;
  for (const auto &[Id, Known] : T.S.Servers.Servers) {
    if (isReadyFor(Known.Report, Service) && !isToBeSpared(T.S, Id, T.Now))
      Servers.push_back(Id);
  }
  return Servers;
}

void updateService(GatewayTurn &T, const ServiceId &Service) {
  PathWatch &W = T.S.Relays.Paths;
  PathState Before = pathState(W, Service);
  if (Before == PathState::Direct)
    return;
  if (!updateState(W, Service, serversToProbe(T, Service), T.Now))
    return;
  logState(T, Service, Before);
  PathState State = pathState(W, Service);
  count(T, "pimento_path_changes_total",
        std::string("state=\"") + toString(State) + "\"");
  // Control hosts name the placer and relays by what hosts reach.
  if (State != PathState::Watched)
    syncSoon(T.S.Link, T.Now);
  if (State == PathState::Cut)
    pathLost(T, Service);
  wakeWaiting(T, Service);
}

/// Whether a new connection to the server is being made that will tell of its
/// path.
bool isProbed(const Gateway &S, const BackendId &Server) {
  for (const auto &[Upstream, Check] : S.CrashChecks) {
    if (Check.Crash.Server == Server && !Check.IsConnected)
      return true;
  }
  for (const auto &[Upstream, Probe] : S.Relays.Probes) {
    if (Probe.Server == Server)
      return true;
  }
  return false;
}

/// A server of another service, chosen at random.
const ServerReport *serverOfOtherService(GatewayTurn &T,
                                         const ServiceId &Service) {
  std::vector<const ServerReport *> Others;
  for (const auto &[Id, Known] : T.S.Servers.Servers) {
    if (Known.Report.Phase == ServerPhase::Ready &&
        Known.Report.Service != Service)
      Others.push_back(&Known.Report);
  }
  return Others.empty() ? nullptr : Others[below(T.S.Rng, Others.size())];
}

/// Failures whose verdict needs to know whether this host reaches any server.
std::optional<std::pair<TimePoint, ServiceId>>
oldestOpenFailure(const Gateway &S) {
  std::optional<std::pair<TimePoint, ServiceId>> Oldest;
  auto Add = [&](TimePoint At, const ServiceId &Service) {
    if (!Oldest || At < Oldest->first)
      Oldest = {At, Service};
  };
  for (const FaultReport &A : S.Relays.FaultReports)
    Add(A.At, A.Service);
  for (const PathAsk &Ask : S.Relays.Asks) {
    const ServerReport *R = reportOf(S, Ask.Servers.front().Server);
    if (R != nullptr)
      Add(Ask.Since, R->Service);
  }
  return Oldest;
}

/// A host that reaches no server at all has most likely lost its own path. If
/// nothing else tells, a server of another service is probed.
void probeOtherService(GatewayTurn &T) {
  RelayState &R = T.S.Relays;
  auto Oldest = oldestOpenFailure(T.S);
  if (!Oldest || R.Paths.AnyReachedAt > Oldest->first ||
      T.Now < R.NextOtherProbe)
    return;
  R.NextOtherProbe = T.Now + OtherProbeInterval;
  if (const ServerReport *Server = serverOfOtherService(T, Oldest->second))
    probePath(T, Server->Id, /*IsForOthers=*/true);
}

void probeFailed(GatewayTurn &T, const PathProbe &Probe) {
  bool WasHeldUp = T.Now > Probe.ExpiresAt + HeldUpTime;
  if (WasHeldUp)
    return;
  probeForOthersFailed(T, Probe);
  if (!Probe.IsForOthers)
    noteFailed(T.S.Relays.Paths, Probe.Service, Probe.Server, T.Now);
}

/// Whether most servers of the service are not among those whose paths are in
/// doubt.
bool areFew(const Gateway &S, const ServiceId &Service, std::size_t Doubted) {
  return 2 * Doubted < readyServers(S, Service);
}

Duration answerDoubt(const GatewayCall &C) {
  const CallAttempt &A = C.Attempt;
  if (A.LastBytes != A.Began)
    return std::max(MinEventDoubt, 2 * C.Path->InterEventObjective);
  return C.OnEngine ? EngineDoubt + A.Forecast : PlainDoubt;
}

} // namespace

std::size_t readyServers(const Gateway &S, const ServiceId &Service) {
  const auto &Servers = S.Servers.Servers;
  auto IsReady = [&](const auto &Known) {
    return isReadyFor(Known.second.Report, Service);
  };
  return std::count_if(Servers.begin(), Servers.end(), IsReady);
}

void probePath(GatewayTurn &T, const BackendId &Server, bool IsForOthers) {
  const ServerReport *R = reportOf(T.S, Server);
  if (R == nullptr || !T.S.Routes || isProbed(T.S, Server) ||
      isToBeSpared(T.S, Server, T.Now))
    return;
  std::optional<EngineOrder> Query = probeQuery(T.S, *R);
  if (!Query)
    return;
  PathProbe Probe;
  Probe.Server = Server;
  Probe.Service = R->Service;
  Probe.IsForOthers = IsForOthers;
  Probe.SentAt = T.Now;
  Probe.ExpiresAt = T.Now + ProbeTimeout;
  UpstreamId Id{T.S.NextUpstream++};
  T.Out.push_back(
      calls::OpenUpstream{Id, probeRequest(T.S, *R, *Query), std::nullopt});
  T.S.Relays.Probes.emplace(Id, std::move(Probe));
  count(T, "pimento_path_probes_total");
}

void pathReached(GatewayTurn &T, const BackendId &Server) {
  const ServerReport *R = reportOf(T.S, Server);
  if (R == nullptr)
    return;
  noteReached(T.S.Relays.Paths, R->Service, Server, T.Now);
  updateService(T, R->Service);
  settlePaths(T);
}

void pathFailed(GatewayTurn &T, const BackendId &Server) {
  const ServerReport *R = reportOf(T.S, Server);
  if (R == nullptr)
    return;
  noteFailed(T.S.Relays.Paths, R->Service, Server, T.Now);
  updateService(T, R->Service);
  syncSoonForRelays(T);
}

void settlePaths(GatewayTurn &T) {
  settleFaultReports(T);
  settleAsks(T);
}

bool pathProbeEvent(GatewayTurn &T, const Event &E) {
  auto &Probes = T.S.Relays.Probes;
  auto Found = Probes.find(upstreamOf(E));
  if (Found == Probes.end())
    return false;
  PathProbe Probe = Found->second;
  UpstreamId Id = Found->first;
  if (const auto *Failed = std::get_if<UpstreamFailed>(&E)) {
    Probes.erase(Found);
    if (!Failed->Why.IsLocal && !Failed->Why.BytesSent) {
      probeFailed(T, Probe);
      updateService(T, Probe.Service);
      settlePaths(T);
    }
    return true;
  }
  if (std::holds_alternative<UpstreamSent>(E)) {
    pathReached(T, Probe.Server);
    return true;
  }
  if (!std::holds_alternative<UpstreamHead>(E))
    return true;
  // The connection was made; the answer itself is not needed.
  Probes.erase(Found);
  T.Out.push_back(calls::AbortUpstream{Id});
  return true;
}

void tickPaths(GatewayTurn &T) {
  RelayState &R = T.S.Relays;
  for (auto It = R.Probes.begin(); It != R.Probes.end();) {
    if (T.Now < It->second.ExpiresAt) {
      ++It;
      continue;
    }
    PathProbe Probe = It->second;
    T.Out.push_back(calls::AbortUpstream{It->first});
    It = R.Probes.erase(It);
    auto Path = R.Paths.Servers.find(Probe.Server);
    bool IsReached =
        Path != R.Paths.Servers.end() && Path->second.ReachedAt >= Probe.SentAt;
    if (!IsReached)
      probeFailed(T, Probe);
  }
  for (const ServiceId &Service : watchedServices(R.Paths)) {
    std::vector<BackendId> Ready = serversToProbe(T, Service);
    for (const BackendId &Server : takeProbes(R.Paths, Service, Ready, T.Now))
      probePath(T, Server, /*IsForOthers=*/false);
    updateService(T, Service);
  }
  askOtherHosts(T);
  settlePaths(T);
  probeOtherService(T);
  forgetPaths(R.Paths, T.Now);
}

TimePoint nextPathTick(const Gateway &S, TimePoint Now) {
  const RelayState &R = S.Relays;
  TimePoint Next = std::min({nextProbe(R.Paths), nextReplyTimeout(R.Peers),
                             std::max(nextDoubt(R.Paths, Now), R.NextAskAt)});
  for (const auto &[Upstream, Probe] : R.Probes)
    Next = std::min(Next, Probe.ExpiresAt);
  for (const PathAsk &Ask : R.Asks)
    Next = std::min(Next, Ask.ExpiresAt);
  if (oldestOpenFailure(S))
    Next = std::min(Next, Now + milliseconds(20));
  return Next;
}

void heardFrom(GatewayTurn &T, const GatewayCall &C) {
  if (C.Attempt.Relay.empty())
    T.S.Relays.HeardAt[C.Service] = T.Now;
}

TimePoint doubtAt(const GatewayTurn &T, const GatewayCall &C) {
  const CallAttempt &A = C.Attempt;
  if (A.IsDoubted || !A.Relay.empty())
    return TimePoint::max();
  if (!A.BytesSent)
    return A.Began + ConnectDoubt;
  TimePoint At = A.LastBytes + answerDoubt(C);
  auto Heard = T.S.Relays.HeardAt.find(C.Service);
  if (Heard != T.S.Relays.HeardAt.end())
    At = std::max(At, Heard->second + HeardTime);
  return At;
}

void doubtPath(GatewayTurn &T, GatewayCall &C) {
  C.Attempt.IsDoubted = true;
  probePath(T, C.Attempt.Server, /*IsForOthers=*/false);
}

void wakeWaiting(GatewayTurn &T, const ServiceId &Service) {
  for (std::uint64_t Ticket : callsOf(T.S, Service)) {
    GatewayCall *C = findCall(T, Ticket);
    if (C != nullptr && C->Stage == CallStage::AwaitingPath)
      leavePathWait(T, *C);
  }
}

bool isPathBlocked(const Gateway &S, const BackendId &Server, TimePoint Now) {
  const PathWatch &W = S.Relays.Paths;
  if (W.Failed.count(Server) == 0 || !isPathDoubted(W, Server, Now))
    return false;
  const ServiceId &Service = W.Servers.at(Server).Service;
  std::size_t Doubted = 0;
  for (const BackendId &Id : W.Failed) {
    if (W.Servers.at(Id).Service == Service && isPathDoubted(W, Id, Now))
      Doubted += 1;
  }
  return areFew(S, Service, Doubted);
}

std::vector<BackendId> pathBlockedServers(const Gateway &S, TimePoint Now) {
  const PathWatch &W = S.Relays.Paths;
  std::map<ServiceId, std::vector<BackendId>> Doubted;
  for (const BackendId &Id : W.Failed) {
    if (isPathDoubted(W, Id, Now))
      Doubted[W.Servers.at(Id).Service].push_back(Id);
  }
  std::vector<BackendId> Blocked;
  for (const auto &[Service, Servers] : Doubted) {
    if (areFew(S, Service, Servers.size()))
      Blocked.insert(Blocked.end(), Servers.begin(), Servers.end());
  }
  return Blocked;
}

bool isCutOff(const Gateway &S, const ServiceId &Service) {
  return pathState(S.Relays.Paths, Service) == PathState::Cut;
}

} // namespace pimento::gateway
