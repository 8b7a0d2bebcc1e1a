// Backend servers that broke off answers: whether they have crashed, and with
// which requests. A connection may break although its server runs.

#include "gateway/GatewayTurn.h"

#include <algorithm>

namespace pimento::gateway {

namespace {

/// Time in which a server that still runs takes a connection.
constexpr Duration CrashCheckTimeout = milliseconds(400);
/// A server that took the connection may be slow to answer. One that closes it
/// within this time has ended.
constexpr Duration AnswerTimeout = seconds(3);

CrashedRequest crashedRequest(const GatewayTurn &T, const GatewayCall &C) {
  CrashedRequest Request;
  Request.Account = C.Account;
  Request.Request = C.Digest;
  Request.RanFor = T.Now - C.Attempt.Began;
  Request.Parts = reportedParts(C);
  return Request;
}

ServerCrash crashOf(const GatewayTurn &T, const GatewayCall &C) {
  ServerCrash Crash;
  Crash.Server = C.Attempt.Server;
  Crash.Incarnation = C.Attempt.ServerIncarnation;
  Crash.Requests = {crashedRequest(T, C)};
  return Crash;
}

void logCheck(GatewayTurn &T, const CrashCheck &Check, const char *Reason,
              bool HasCrashed) {
  DecisionRecord Record{"crash_check", {}, Reason, {}};
  Record.add("server", Check.Crash.Server.Value);
  Record.add("incarnation", static_cast<std::int64_t>(Check.Crash.Incarnation));
  Record.add("crashed", HasCrashed);
  Record.add("requests",
             static_cast<std::int64_t>(Check.Crash.Requests.size()));
  Record.add("age_ms", toMilliseconds(T.Now - Check.CrashedAt));
  log(T, std::move(Record));
}

void checkConfirmed(GatewayTurn &T, CrashCheck &Check, const char *Reason) {
  logCheck(T, Check, Reason, /*HasCrashed=*/true);
  Check.Crash.Age = T.Now - Check.CrashedAt;
  crashConfirmed(T, Check.Crash);
}

/// No connection to the server could be made: it has crashed, or this host has
/// lost its path.
void checkFailed(GatewayTurn &T, CrashCheck &Check, const char *Reason) {
  logCheck(T, Check, Reason, /*HasCrashed=*/true);
  Check.Crash.Age = T.Now - Check.CrashedAt;
  FaultReport A;
  A.What = FaultReport::Kind::Crash;
  A.Server = Check.Crash.Server;
  A.Crash = std::move(Check.Crash);
  holdFaultReport(T, A);
  pathFailed(T, A.Server);
}

/// Sends a query over a new connection, since a kept one may have ended with
/// the server that ran before at the address.
UpstreamId sendQuery(GatewayTurn &T, const std::string &Address,
                     EngineOrder Query) {
  UpstreamRequest Request = orderRequest(T.S, Address, std::move(Query));
  Request.MayReuse = false;
  UpstreamId Id{T.S.NextUpstream++};
  T.Out.push_back(calls::OpenUpstream{Id, std::move(Request), std::nullopt});
  return Id;
}

UpstreamId queryHealth(GatewayTurn &T, const std::string &Address,
                       const std::string &Path) {
  EngineOrder Query;
  Query.Method = HttpMethod::Get;
  Query.Target = Path;
  return sendQuery(T, Address, std::move(Query));
}

UpstreamId queryEngine(GatewayTurn &T, const std::string &Address,
                       const BackendId &Engine) {
  return sendQuery(T, Address, T.S.Platform.EncodeLoadQuery(Engine));
}

/// Asks the call's server whether it runs. Returns zero if it cannot be asked.
UpstreamId queryServer(GatewayTurn &T, const GatewayCall &C) {
  if (C.OnEngine)
    return queryEngine(T, C.Attempt.Address, C.Attempt.Server);
  auto Service = C.Table->ByService.find(C.Service);
  if (Service == C.Table->ByService.end() ||
      Service->second->HealthPath.empty())
    return UpstreamId{};
  return queryHealth(T, C.Attempt.Address, Service->second->HealthPath);
}

/// Whether another server answers at the address, since the one that was asked
/// has ended.
bool isReplaced(const GatewayTurn &T, const CrashCheck &Check, const Event &E) {
  const auto *Head = std::get_if<UpstreamHead>(&E);
  if (Head == nullptr)
    return false;
  AnswerInfo Answer = T.S.Platform.DecodeAnswer(Head->Status, Head->Headers);
  bool IsOther = !Answer.Server.empty() && Answer.Server != Check.Crash.Server;
  return IsOther || Answer.Misdirected;
}

/// Whether the server took the connection and is only late with its answer.
bool isSilent(const CrashCheck &Check, const UpstreamFailed &E) {
  return Check.IsConnected && E.Why.TimedOut;
}

} // namespace

void checkCrash(GatewayTurn &T, const GatewayCall &C) {
  if (!C.Attempt.Relay.empty())
    return; // The relay checks it.
  // It may go on although the connection broke, and end later.
  noteUnfinished(T, C);
  if (isToBeSpared(T.S, C.Attempt.Server, T.Now))
    return;
  for (auto &[Upstream, Check] : T.S.CrashChecks) {
    bool IsSame = Check.Crash.Server == C.Attempt.Server &&
                  Check.Crash.Incarnation == C.Attempt.ServerIncarnation;
    if (!IsSame)
      continue;
    Check.Crash.Requests.push_back(crashedRequest(T, C));
    return;
  }
  UpstreamId Query = queryServer(T, C);
  if (Query == UpstreamId{})
    return;
  CrashCheck Check;
  Check.Crash = crashOf(T, C);
  Check.IsEngine = C.OnEngine;
  Check.CrashedAt = T.Now;
  Check.ExpiresAt = T.Now + CrashCheckTimeout;
  T.S.CrashChecks.emplace(Query, std::move(Check));
}

void recordCrash(GatewayTurn &T, const GatewayCall &C, bool IsUnreached) {
  FaultReport A;
  A.What = FaultReport::Kind::Crash;
  A.Server = C.Attempt.Server;
  A.Crash = crashOf(T, C);
  holdFaultReport(T, std::move(A));
  if (IsUnreached)
    pathFailed(T, C.Attempt.Server);
  else
    probePath(T, C.Attempt.Server, /*IsForOthers=*/false);
}

void crashConfirmed(GatewayTurn &T, const ServerCrash &Crash) {
  bool IsEngine = T.S.Engines.Engines.count(Crash.Server) > 0;
  count(T, IsEngine ? "pimento_engine_crashes_total"
                    : "pimento_plain_server_crashes_total");
  reportCrash(T, Crash);
}

bool crashCheckConnected(GatewayTurn &T, const UpstreamSent &E) {
  auto Found = T.S.CrashChecks.find(E.Call);
  if (Found == T.S.CrashChecks.end())
    return false;
  Found->second.IsConnected = true;
  Found->second.ExpiresAt = Found->second.CrashedAt + AnswerTimeout;
  pathReached(T, Found->second.Crash.Server);
  return true;
}

bool crashCheckEvent(GatewayTurn &T, const Event &E) {
  auto Found = T.S.CrashChecks.find(upstreamOf(E));
  if (Found == T.S.CrashChecks.end())
    return false;
  CrashCheck Check = std::move(Found->second);
  UpstreamId Query = Found->first;
  T.S.CrashChecks.erase(Found);
  if (const auto *Failed = std::get_if<UpstreamFailed>(&E)) {
    if (isSilent(Check, *Failed))
      logCheck(T, Check, "no answer in time", false);
    else if (Check.IsConnected)
      checkConfirmed(T, Check, "the server closed the connection at once");
    else
      checkFailed(T, Check, "the server takes no connection any more");
    return true;
  }
  T.Out.push_back(calls::AbortUpstream{Query});
  if (isReplaced(T, Check, E))
    checkConfirmed(T, Check, "another server answers at the address");
  else
    logCheck(T, Check, "the server still runs", false);
  return true;
}

void tickCrashChecks(GatewayTurn &T) {
  auto &Checks = T.S.CrashChecks;
  for (auto It = Checks.begin(); It != Checks.end();) {
    if (T.Now < It->second.ExpiresAt) {
      ++It;
      continue;
    }
    T.Out.push_back(calls::AbortUpstream{It->first});
    CrashCheck Check = std::move(It->second);
    It = Checks.erase(It);
    if (!Check.IsEngine || Check.IsConnected)
      logCheck(T, Check, "no answer in time", false);
    else
      checkFailed(T, Check, "no connection for the load query in time");
  }
}

} // namespace pimento::gateway
