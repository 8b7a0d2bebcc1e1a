// Backend servers that named a limit of requests: what this host learns from
// their answers and tells others, the budgets, and permits for plain servers.

#include "gateway/GatewayTurn.h"

#include <algorithm>
#include <set>

namespace pimento::gateway {

namespace {

constexpr int ServiceUnavailable = 503;
/// Share of a limit that all hosts which choose servers for themselves, without
/// the placer, use together. The placer may use the whole limit meanwhile.
constexpr double AloneShare = 0.5;
/// Timeout of a permit request: the placer replies at once, also if the request
/// waits. Shorter where another server can take the request.
constexpr Duration PermitTimeout = milliseconds(120);
constexpr Duration OptionalPermitTimeout = milliseconds(40);
/// Interval at which a waiting request is sent again, in case the placer lost
/// it.
constexpr Duration PermitResendInterval = milliseconds(300);
/// Time in which limits are collected before the control host is told.
constexpr Duration LimitReportDelay = milliseconds(50);
/// Interval at which the placer logs how much of the limits is used.
constexpr Duration UseLogInterval = seconds(5);

/// Interval at which servers that turned warm are looked for.
constexpr Duration ColdInterval = milliseconds(50);

bool isPlacer(const Gateway &S) { return S.Link.Placer == S.Self; }

/// The rate that this host may use of a limit.
double ownRate(const Gateway &S, double PerSecond) {
  if (isPlacer(S))
    return PerSecond;
  return PerSecond * AloneShare /
         static_cast<double>(std::max<std::uint64_t>(1, S.Link.Entries));
}

/// Tokens of a bucket for a limit that is new to this host. The placer starts
/// without tokens, since the server may just have got many requests. Hosts on
/// their own start at random fill levels, so that they do not all send at the
/// same time.
double firstTokens(Gateway &S) { return isPlacer(S) ? 0 : uniform(S.Rng); }

/// Servers that named a limit, or are cold.
std::set<BackendId> limitedIds(const Gateway &S) {
  std::set<BackendId> Ids;
  for (const auto &[Server, Known] : S.NamedLimits.Servers)
    Ids.insert(Server);
  for (const auto &[Server, Known] : S.Cold.Servers)
    Ids.insert(Server);
  return Ids;
}

void logLimit(GatewayTurn &T, const ServerLimit &Limit, const char *Reason) {
  constexpr double NoLimit = -1;
  DecisionRecord Record{"server_limit", {}, Reason, {}};
  Record.add("server", Limit.Server.Value);
  Record.add("per_second", Limit.PerSecond.value_or(NoLimit));
  Record.add("age_ms", toMilliseconds(Limit.Age));
  log(T, std::move(Record));
}

/// Servers of the call's service that were not tried; all if all were.
std::vector<calls::PlainServer> untriedServers(const GatewayTurn &T,
                                               const GatewayCall &C) {
  std::vector<calls::PlainServer> All = usableServers(T, C);
  std::vector<calls::PlainServer> Untried;
  for (const calls::PlainServer &Server : All) {
    if (std::find(C.TriedServers.begin(), C.TriedServers.end(),
                  Server.Backend) == C.TriedServers.end())
      Untried.push_back(Server);
  }
  return Untried.empty() ? All : Untried;
}

/// The servers that take the call without a permit and are healthy.
std::vector<calls::PlainServer> openServers(const GatewayTurn &T,
                                            const GatewayCall &C) {
  std::vector<calls::PlainServer> Open = untriedServers(T, C);
  auto IsClosed = [&](const calls::PlainServer &Server) {
    return needsPermit(T.S, Server) || isEjected(T.S, Server.Backend, T.Now);
  };
  Open.erase(std::remove_if(Open.begin(), Open.end(), IsClosed), Open.end());
  return Open;
}

/// The servers that take the call with a permit only.
std::vector<BackendId> limitedServers(const GatewayTurn &T,
                                      const GatewayCall &C, bool MayBeEjected) {
  std::vector<BackendId> Limited;
  for (const calls::PlainServer &Server : untriedServers(T, C)) {
    bool IsUsable = MayBeEjected || !isEjected(T.S, Server.Backend, T.Now);
    if (needsPermit(T.S, Server) && IsUsable)
      Limited.push_back(Server.Backend);
  }
  return Limited;
}

PermitRequest makePermitRequest(const GatewayTurn &T, const GatewayCall &C,
                                bool IsOptional) {
  PermitRequest Spec;
  Spec.Ticket = C.Ticket;
  Spec.Servers = limitedServers(T, C, /*MayBeEjected=*/false);
  if (Spec.Servers.empty())
    Spec.Servers = limitedServers(T, C, /*MayBeEjected=*/true);
  Spec.Account = C.Account;
  Spec.Priority = C.Priority;
  if (!IsOptional)
    Spec.TimeLeft = C.Deadline - T.Now;
  return Spec;
}

void useOpenServer(GatewayTurn &T, GatewayCall &C, Duration RetryAfter) {
  std::vector<calls::PlainServer> Open = openServers(T, C);
  calls::ServerChoice Choice =
      chooseServer(T.S.Health, Open, C.TriedServers, T.S.Rng, T.Now);
  if (Choice.Server != nullptr) {
    sendToPlain(T, C, *Choice.Server);
    return;
  }
  fail(T, C, C.MayHaveRun ? Code::BackendFailed : Code::QueueFull,
       "all backend servers of the service are at their limits", RetryAfter);
}

void usePermit(GatewayTurn &T, GatewayCall &C, const PermitReply &M) {
  if (M.Result != Code::Ok) {
    count(T, "pimento_permits_total", "result=\"refused\"");
    useOpenServer(T, C, M.RetryAfter);
    return;
  }
  count(T, "pimento_permits_total", "result=\"granted\"");
  for (const calls::PlainServer &Server : untriedServers(T, C)) {
    if (Server.Backend != M.Server)
      continue;
    sendToPlain(T, C, Server);
    return;
  }
  useOpenServer(T, C, Duration::zero());
}

/// Asks this host's own queue, as the placer or on its own.
void requestLocally(GatewayTurn &T, GatewayCall &C, bool IsOptional) {
  C.IsRemotePlacement = false;
  updateLimitRole(T);
  PermitReply Reply = requestPermit(T.S.Permits, {T.S.Self, C.Ticket},
                                    makePermitRequest(T, C, IsOptional), T.Now);
  if (Reply.Result == Code::Ok && Reply.Server.empty())
    checkAt(T, C, C.Deadline);
  else
    usePermit(T, C, Reply);
}

void requestRemotely(GatewayTurn &T, GatewayCall &C, bool IsOptional) {
  C.IsRemotePlacement = true;
  C.Acknowledged = false;
  send(T, T.S.Link.Placer, makePermitRequest(T, C, IsOptional));
  checkAt(T, C,
          std::min(C.Deadline, T.Now + (IsOptional ? OptionalPermitTimeout
                                                   : PermitTimeout)));
}

void logUse(GatewayTurn &T, const BackendId &Server, const LimitBucket &B) {
  DecisionRecord Record{"limit_use", {}, "permits of the placer so far", {}};
  Record.add("server", Server.Value);
  Record.add("per_second", B.PerSecond);
  Record.add("permits", static_cast<std::int64_t>(B.Taken));
  log(T, std::move(Record));
}

} // namespace

bool needsPermit(const Gateway &S, const calls::PlainServer &Server) {
  return limitOf(S.NamedLimits, Server.Backend, Server.Incarnation) ||
         coldServer(S.Cold, Server.Backend, Server.Incarnation) != nullptr;
}

void refreshLimits(GatewayTurn &T, bool IsReset) {
  Gateway &S = T.S;
  std::map<BackendId, LimitBucket> &Plain = S.Permits.Buckets;
  std::set<BackendId> Limited = limitedIds(S);
  for (const BackendId &Server : Limited) {
    BucketInput Input;
    auto Report = S.Servers.Servers.find(Server);
    if (Report != S.Servers.Servers.end())
      Input.Incarnation = Report->second.Report.Incarnation;
    if (auto Limit = limitOf(S.NamedLimits, Server, Input.Incarnation))
      Input.NamedRate = ownRate(S, std::max(*Limit, MinPerSecond));
    bool IsEngine = S.Engines.Engines.count(Server) > 0;
    auto &Buckets = IsEngine ? S.Engines.Limits : Plain;
    if (Input.NamedRate && (IsReset || Buckets.count(Server) == 0))
      Input.FirstTokens = firstTokens(S);
    Input.IsReset = IsReset;
    refreshBucket(Buckets, S.Cold, Server, Input, T.Now);
  }
  for (auto *Buckets : {&Plain, &S.Engines.Limits}) {
    for (auto It = Buckets->begin(); It != Buckets->end();)
      It = Limited.count(It->first) > 0 ? std::next(It) : Buckets->erase(It);
  }
}

void updateLimitRole(GatewayTurn &T) {
  Gateway &S = T.S;
  LimitRole Role = LimitRole::Follower;
  if (isPlacer(S))
    Role = LimitRole::Placer;
  else if (placesHere(S, T.Now))
    Role = LimitRole::Alone;
  if (Role == S.RoleForLimits)
    return;
  S.RoleForLimits = Role;
  refreshLimits(T, /*IsReset=*/true);
}

void noteLimit(GatewayTurn &T, const AnsweringServer &From, int Status,
               const AnswerInfo &Answer) {
  // A refusal, or an answer to a query, may lack a limit that still holds.
  bool IsWhole = From.IsRequest && !Answer.NotRun &&
                 Answer.ClientAttemptId == From.ClientAttemptId;
  bool NamesLimit =
      Answer.RequestLimit && (!Answer.NotRun || Status == ServiceUnavailable);
  if ((!IsWhole && !NamesLimit) ||
      !observeLimit(T.S.NamedLimits, From.Server, From.Incarnation,
                    Answer.RequestLimit, T.Now))
    return;
  ServerLimit Limit;
  Limit.Server = From.Server;
  Limit.Incarnation = From.Incarnation;
  Limit.PerSecond = Answer.RequestLimit;
  logLimit(T, Limit,
           Limit.PerSecond ? "an answer names a limit"
                           : "an answer names no limit any more");
  refreshLimits(T, /*IsReset=*/false);
  syncSoon(T.S.Link, T.Now + LimitReportDelay);
  send(T, T.S.Link.Placer, LimitNotice{Limit});
}

void onLimitRecords(GatewayTurn &T, const std::vector<ServerLimit> &Records) {
  bool Changed = false;
  for (const ServerLimit &Record : Records) {
    if (!applyLimit(T.S.NamedLimits, Record, T.Now))
      continue;
    Changed = true;
    logLimit(T, Record, "another host reported a change");
  }
  if (Changed)
    refreshLimits(T, /*IsReset=*/false);
}

LimitUpdate limitReport(const GatewayTurn &T) {
  LimitUpdate M;
  M.Digest = limitDigest(T.S.NamedLimits);
  if (M.Digest != T.S.ControlLimitDigest)
    M.Records = limitRecords(T.S.NamedLimits, 0, T.Now);
  return M;
}

void askForPermit(GatewayTurn &T, GatewayCall &C) {
  bool IsOptional = !openServers(T, C).empty();
  if (IsOptional && areCold(T.S.Cold, limitedServers(T, C, false))) {
    useOpenServer(T, C, Duration::zero());
    return;
  }
  C.Stage = CallStage::AwaitingPermit;
  C.PlacementRequestedAt = T.Now;
  if (placesHere(T.S, T.Now))
    requestLocally(T, C, IsOptional);
  else
    requestRemotely(T, C, IsOptional);
}

void onPermitRequest(GatewayTurn &T, const HostId &From,
                     const PermitRequest &M) {
  updateLimitRole(T);
  send(T, From, requestPermit(T.S.Permits, {From, M.Ticket}, M, T.Now));
}

void onPermitReply(GatewayTurn &T, const HostId &From, const PermitReply &M) {
  GatewayCall *C = findCall(T, M.Ticket);
  bool Expected = C != nullptr && C->Stage == CallStage::AwaitingPermit &&
                  C->IsRemotePlacement && From == T.S.Link.Placer;
  if (!Expected)
    return;
  if (M.Result == Code::Ok && M.Server.empty()) {
    C->Acknowledged = true;
    checkAt(T, *C, std::min(C->Deadline, T.Now + PermitResendInterval));
    return;
  }
  usePermit(T, *C, M);
}

void checkPermit(GatewayTurn &T, GatewayCall &C) {
  bool IsOptional = !openServers(T, C).empty();
  if (!C.IsRemotePlacement) {
    checkAt(T, C, C.Deadline);
    return;
  }
  if (C.Acknowledged && !placesHere(T.S, T.Now)) {
    requestRemotely(T, C, IsOptional);
    return;
  }
  if (IsOptional) {
    useOpenServer(T, C, Duration::zero());
    return;
  }
  if (!C.Acknowledged)
    avoidPlacer(T, C);
  requestLocally(T, C, IsOptional);
}

void withdrawPermit(GatewayTurn &T, const GatewayCall &C) {
  if (C.Stage != CallStage::AwaitingPermit)
    return;
  pimento::withdrawPermit(T.S.Permits, {T.S.Self, C.Ticket});
  if (C.IsRemotePlacement)
    send(T, T.S.Link.Placer,
         PlacementUpdate{C.Ticket, PlacementStage::Ended, {}});
}

void tickLimits(GatewayTurn &T) {
  Gateway &S = T.S;
  updateLimitRole(T);
  for (auto &[Key, Reply] : tickPermits(S.Permits, T.Now)) {
    if (Key.first != S.Self) {
      send(T, Key.first, std::move(Reply));
      continue;
    }
    GatewayCall *C = findCall(T, Key.second);
    bool Waits = C != nullptr && C->Stage == CallStage::AwaitingPermit &&
                 !C->IsRemotePlacement;
    if (Waits)
      usePermit(T, *C, Reply);
  }
  if (T.Now < S.NextLimitLog)
    return;
  S.NextLimitLog = T.Now + UseLogInterval;
  expireLimits(S.NamedLimits, S.Servers, T.Now);
  if (S.RoleForLimits != LimitRole::Placer)
    return;
  for (const auto *Buckets : {&S.Permits.Buckets, &S.Engines.Limits}) {
    for (const auto &[Server, B] : *Buckets)
      logUse(T, Server, B);
  }
}

void refreshCold(GatewayTurn &T) {
  Gateway &S = T.S;
  S.NextColdUpdate = T.Now + ColdInterval;
  ColdInput Input;
  Input.Routes = S.Routes.get();
  Input.Registry = &S.Servers;
  Input.InformedAt = S.Link.CurrentAt;
  Input.IsPlacer = S.Link.Placer == S.Self;
  Input.ShareNumber = S.Link.ShareNumber;
  Input.ShareCount = S.Link.ShareCount;
  std::vector<ColdChange> Changes = updateCold(S.Cold, Input, T.Now);
  bool IsDue =
      !Changes.empty() || (S.Cold.IsRoleNew && !S.Cold.Servers.empty());
  if (IsDue)
    refreshLimits(T, /*IsReset=*/false);
  S.Cold.IsRoleNew = false;
  Duration Informed = T.Now - S.Link.CurrentAt;
  for (DecisionRecord &Record : describeChanges(S.Cold, Changes, Informed))
    log(T, std::move(Record));
}

void tickCold(GatewayTurn &T) {
  if (T.Now >= T.S.NextColdUpdate)
    refreshCold(T);
}

void noteWarmup(GatewayTurn &T, const BackendId &Server, Duration Time) {
  auto Known = T.S.Servers.Servers.find(Server);
  if (Known == T.S.Servers.Servers.end())
    return;
  ServerReport Report = Known->second.Report;
  Report.WarmupTime = Time;
  Report.NamesWarmup = true;
  if (applyReport(T.S.Servers, Report, T.Now))
    refreshCold(T);
}

} // namespace pimento::gateway
