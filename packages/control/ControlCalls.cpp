// Calls of backend servers and operators to a control host.

#include "control/ControlTurn.h"

#include "base/Problem.h"
#include "routing/AliveServers.h"
#include "wire/Fields.h"

#include <algorithm>

namespace pimento::control {

namespace {

constexpr int TemporaryRedirect = 307;

/// Shortest interval between two writes of the servers to the disk.
constexpr Duration ServersWriteInterval = milliseconds(1500);
/// Time for a server restored from an earlier start to send its first report.
constexpr Duration RestoredReportTimeout = milliseconds(3000);
constexpr JsonLimits StoredServersLimits = {/*Bytes=*/8U << 20U, /*Depth=*/8,
                                            /*Values=*/1U << 18U};

void putRouting(ControlTurn &T, ExchangeId Exchange, const HttpRequest &R,
                const std::string &Text) {
  ControlHost &S = T.S;
  if (!isLeader(S, T.Now)) {
    redirect(T, Exchange, R);
    return;
  }
  RoutingConfig Config;
  std::string Fault = S.Platform.DecodeRouting(Text, S.LastValid.get(), Config);
  if (Fault.empty())
    Fault = findConfigError(Config);
  if (!Fault.empty()) {
    DecisionRecord Record{"routing_refused", {}, Fault, {}};
    Record.add("number", static_cast<std::int64_t>(Config.Number));
    log(T, std::move(Record));
    constexpr int BadRequest = 400;
    HttpReply Reply = problemReply({Code::DocumentInvalid, Fault, {}, {}});
    Reply.Status = BadRequest;
    reply(T, Exchange, std::move(Reply));
    return;
  }
  std::uint64_t Number = Config.Number;
  S.LastValid = std::make_shared<const RoutingConfig>(std::move(Config));
  if (Number <= S.NewestRouting.Number) {
    // A configuration that is stored already may not be in force at every entry
    // host yet, so the answer waits for that.
    PendingRouting Known;
    Known.Exchange = Exchange;
    Known.Number = Number;
    Known.RequestedAt = T.Now;
    Known.CommittedAt = T.Now;
    S.PendingPuts.push_back(Known);
    answerPendingPuts(T);
    return;
  }
  for (const PendingRouting &Put : S.PendingPuts) {
    if (Put.Number < Number)
      continue;
    PendingRouting Same = Put; // Answered together with the pending one.
    Same.Exchange = Exchange;
    Same.RequestedAt = T.Now;
    S.PendingPuts.push_back(Same);
    return;
  }
  proposeRouting(T, Exchange, Number, Text);
}

void readRouting(ControlTurn &T, ExchangeId Exchange, const HttpRequest &R) {
  const ControlHost &S = T.S;
  if (role(S.Log) != ReplicaRole::Leader) {
    redirect(T, Exchange, R);
    return;
  }
  std::optional<std::uint64_t> Barrier = readBarrier(S.Log, T.Now);
  if (!Barrier || S.Log.Applied < *Barrier || !isLeader(S, T.Now) ||
      S.NewestRouting.Number == 0) {
    refuse(T, Exchange, Code::ControlUnavailable,
           "this host does not know the newest configuration");
    return;
  }
  reply(T, Exchange, jsonReply(200, S.NewestRouting.Text));
}

void logServer(ControlTurn &T, const BackendId &Id, const char *Reason) {
  const KnownServer &Known = T.S.Servers.Servers.at(Id);
  DecisionRecord Record{"server_changed", {}, Reason, {}};
  Record.add("server", Id.Value);
  Record.add("service", Known.Report.Service.Value);
  Record.add("address", Known.Report.Address);
  Record.add("phase", std::string(toString(Known.Report.Phase)));
  Record.add("sequence", static_cast<std::int64_t>(Known.Report.Sequence));
  log(T, std::move(Record));
}

/// Whether the entry hosts learn of a report that this host accepts.
bool canForwardReports(const ControlTurn &T) {
  return isCurrent(T.S, T.Now) && T.S.StopAt == TimePoint();
}

void serverReported(ControlTurn &T, ExchangeId Exchange,
                    const ServerReport &Report) {
  if (!canForwardReports(T)) {
    refuse(T, Exchange, Code::ControlUnavailable,
           "this host is not up to date with the leader or is stopping");
    return;
  }
  bool HasChanged = applyReport(T.S.Servers, Report, T.Now);
  if (HasChanged) {
    logServer(T, Report.Id, "the backend server reported a change");
    updateHosts(T);
  }
  if (!HasChanged && isAliveOnly(Report))
    relayAlive(T, Report);
  else
    relay(T, Report);
  reply(T, Exchange, jsonReply(200, T.S.Platform.EncodeReportReply("")));
}

void serverLeft(ControlTurn &T, ExchangeId Exchange,
                const ServerDeregistered &Call) {
  if (!canForwardReports(T)) {
    refuse(T, Exchange, Code::ControlUnavailable,
           "this host is not up to date with the leader or is stopping");
    return;
  }
  if (deregisterServer(T.S.Servers, Call.Id, Call.Incarnation, T.Now)) {
    logServer(T, Call.Id, "the backend server deregistered");
    relay(T, T.S.Servers.Servers.at(Call.Id).Report);
    updateHosts(T);
  }
  reply(T, Exchange, jsonReply(200, "{}"));
}

void readyQuery(ControlTurn &T, ExchangeId Exchange) {
  if (isCurrent(T.S, T.Now) && T.S.StopAt == TimePoint())
    reply(T, Exchange, jsonReply(200, "{}"));
  else
    refuse(T, Exchange, Code::ControlUnavailable, "");
}

struct Answer {
  ControlTurn &T;
  ExchangeId Exchange;
  const HttpRequest &R;

  void operator()(const InvalidCall &C) const {
    HttpReply Reply = problemReply({Code::BadRequest, C.Detail, {}, {}});
    Reply.Status = C.Status;
    reply(T, Exchange, std::move(Reply));
  }
  void operator()(const ReadyQuery &) const { readyQuery(T, Exchange); }
  void operator()(const ServerReported &C) const {
    serverReported(T, Exchange, C.Report);
  }
  void operator()(const ServerDeregistered &C) const {
    serverLeft(T, Exchange, C);
  }
  void operator()(const PutRouting &C) const {
    putRouting(T, Exchange, R, C.Text);
  }
  void operator()(const ReadRouting &) const { readRouting(T, Exchange, R); }
  void operator()(const EvacuateDataCentre &C) const {
    orderEvacuation(T, Exchange, R, {C.DataCentre, C.Start});
  }
  void operator()(const ReadMetrics &) const {
    // The process shell answers metrics requests itself.
    refuse(T, Exchange, Code::NotFound, "");
  }
};

} // namespace

void redirect(ControlTurn &T, ExchangeId Exchange, const HttpRequest &R) {
  HostId Leader = leader(T.S.Log);
  if (Leader.empty() || Leader == T.S.Self || !isCurrent(T.S, T.Now)) {
    refuse(T, Exchange, Code::NoLeader,
           "this host knows no current leader of the log");
    return;
  }
  HttpReply Reply;
  Reply.Status = TemporaryRedirect;
  Reply.Headers.push_back(
      {"Location", "http://" + Leader.Value + ":" + T.S.CallerPort + R.Path});
  reply(T, Exchange, std::move(Reply));
}

void onPlatformCall(ControlTurn &T, ExchangeId Exchange, const HttpRequest &R) {
  if (!quarantineCall(T, Exchange, R) && !routingCall(T, Exchange, R) &&
      !limitCall(T, Exchange, R) && !pathsCall(T, Exchange, R) &&
      !evacuationCall(T, Exchange, R))
    std::visit(Answer{T, Exchange, R}, T.S.Platform.DecodeCall(R));
}

void tickServers(ControlTurn &T) {
  if (T.Now < T.S.NextServerTick)
    return;
  if (pimento::tickServers(T.S.Servers, T.S.Limits, T.Now)) {
    for (const auto &[Id, Known] : T.S.Servers.Servers) {
      if (Known.Revision == T.S.Servers.Revision)
        logServer(T, Id, "the backend server has sent no report for too long");
    }
    updateHosts(T);
  }
  rememberDataCentres(T);
  T.S.NextServerTick = nextServerTick(T.S.Servers, T.S.Limits, T.Now);
}

void restoreServers(ControlHost &S, const std::string &Bytes, TimePoint Now) {
  if (Bytes.empty())
    return;
  Failure Why;
  ControlHeartbeat Stored = valueOr<ControlHeartbeat>(
      [&] {
        return wire::fromBytes<ControlHeartbeat>(Bytes, StoredServersLimits);
      },
      ControlHeartbeat(), Why);
  for (const ServerReport &Report : Stored.Reports)
    applyReport(
        S.Servers, Report,
        std::min(Now, Now + RestoredReportTimeout - S.Limits.SilentAfter));
  S.StoredRevision = S.Servers.Revision;
  for (const QuarantineRecord &Record : Stored.Quarantine.Records)
    applyRecord(S.Quarantine, Record, Now);
  S.StoredQuarantine = quarantineDigest(S.Quarantine);
}

void storeServers(ControlTurn &T) {
  ControlHost &S = T.S;
  std::uint64_t Digest = quarantineDigest(S.Quarantine);
  bool IsStored =
      S.StoredRevision == S.Servers.Revision && S.StoredQuarantine == Digest;
  if (IsStored || T.Now < S.NextServersWrite)
    return;
  S.StoredQuarantine = Digest;
  S.StoredRevision = S.Servers.Revision;
  S.NextServersWrite = T.Now + ServersWriteInterval;
  ControlHeartbeat Stored;
  Stored.Reports = changedServers(S.Servers, 0, T.Now);
  Stored.Quarantine.Records = quarantineRecords(S.Quarantine, T.Now);
  T.Out.push_back(StoreServers{wire::toBytes(Stored)});
}

void onServersLeaving(ControlTurn &T,
                      const std::vector<ServerReport> &Reports) {
  for (const ServerReport &Report : Reports) {
    if (!applyReport(T.S.Servers, Report, T.Now - Report.Age))
      continue;
    logServer(T, Report.Id, "an entry host reported that it is leaving");
    relay(T, T.S.Servers.Servers.at(Report.Id).Report);
    updateHosts(T);
  }
}

} // namespace pimento::control
