// Calls of backend servers and operators.

#include "control/ControlTurn.h"

#include "base/Problem.h"
#include "wire/Fields.h"

#include <algorithm>

namespace pimento::control {

namespace {

constexpr int TemporaryRedirect = 307;

/// Servers are kept on the disk at most so often.
constexpr Duration KeepInterval = milliseconds(1500);
/// A server that an earlier start knew has so long to report itself.
constexpr Duration RecallTime = milliseconds(3000);
constexpr JsonLimits KeptLimits = {/*Bytes=*/8U << 20U, /*Depth=*/8,
                                   /*Values=*/1U << 18U};

/// Sends an operator to the leader, as far as it is known.
void redirect(ControlTurn &T, ExchangeId Exchange, const HttpRequest &R) {
  HostId Leader = leader(T.S.Log);
  if (Leader.empty() || Leader == T.S.Self || !isCurrent(T.S, T.Now)) {
    refuse(T, Exchange, Code::NoLeader, "no leader is known here");
    return;
  }
  HttpReply Reply;
  Reply.Status = TemporaryRedirect;
  Reply.Headers.push_back(
      {"Location", "http://" + Leader.Value + ":" + T.S.CallerPort + R.Path});
  reply(T, Exchange, std::move(Reply));
}

void putRouting(ControlTurn &T, ExchangeId Exchange, const HttpRequest &R,
                const std::string &Text) {
  ControlHost &S = T.S;
  if (!isLeader(S, T.Now)) {
    redirect(T, Exchange, R);
    return;
  }
  RoutingConfig Config;
  std::string Fault = S.Platform.DecodeRouting(Text, Config);
  if (Fault.empty())
    Fault = findFault(Config);
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
  if (Config.Number <= S.Newest.Number) {
    // There is nothing to change, but it may not be in force everywhere yet.
    PendingRouting Known;
    Known.Exchange = Exchange;
    Known.Number = Config.Number;
    Known.Asked = T.Now;
    Known.Committed = T.Now;
    S.Puts.push_back(Known);
    settlePuts(T);
    return;
  }
  for (const PendingRouting &Put : S.Puts) {
    if (Put.Number < Config.Number)
      continue;
    PendingRouting Same = Put; // Answered once that one is in force.
    Same.Exchange = Exchange;
    Same.Asked = T.Now;
    S.Puts.push_back(Same);
    return;
  }
  proposeRouting(T, Exchange, Config.Number, Text);
}

void readRouting(ControlTurn &T, ExchangeId Exchange, const HttpRequest &R) {
  const ControlHost &S = T.S;
  if (role(S.Log) != ReplicaRole::Leader) {
    redirect(T, Exchange, R);
    return;
  }
  std::optional<std::uint64_t> Barrier = readBarrier(S.Log, T.Now);
  if (!Barrier || S.Log.Applied < *Barrier || !isLeader(S, T.Now) ||
      S.Newest.Number == 0) {
    refuse(T, Exchange, Code::ControlUnavailable,
           "this host cannot tell the newest configuration");
    return;
  }
  reply(T, Exchange, jsonReply(200, S.Newest.Text.Data));
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

/// Whether a report to this host reaches the entry hosts.
bool canSpread(const ControlTurn &T) {
  return isCurrent(T.S, T.Now) && T.S.StopAt == TimePoint();
}

void serverReported(ControlTurn &T, ExchangeId Exchange,
                    const ServerReport &Report) {
  if (!canSpread(T)) {
    refuse(T, Exchange, Code::ControlUnavailable,
           "this host is cut off from the leader or stops");
    return;
  }
  if (takeReport(T.S.Servers, Report, T.Now)) {
    logServer(T, Report.Id, "it reported itself");
    T.S.NewsDue = true;
  }
  relay(T, Report);
  reply(T, Exchange, jsonReply(200, T.S.Platform.EncodeReportReply("")));
}

void serverLeft(ControlTurn &T, ExchangeId Exchange, const ServerLeft &Call) {
  if (!canSpread(T)) {
    refuse(T, Exchange, Code::ControlUnavailable,
           "this host is cut off from the leader or stops");
    return;
  }
  if (takeLeave(T.S.Servers, Call.Id, Call.Incarnation, T.Now)) {
    logServer(T, Call.Id, "it left");
    relay(T, T.S.Servers.Servers.at(Call.Id).Report);
    T.S.NewsDue = true;
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

  void operator()(const BadCall &C) const {
    HttpReply Reply = problemReply({Code::BadRequest, C.Detail, {}, {}});
    Reply.Status = C.Status;
    reply(T, Exchange, std::move(Reply));
  }
  void operator()(const ReadyQuery &) const { readyQuery(T, Exchange); }
  void operator()(const ServerReported &C) const {
    serverReported(T, Exchange, C.Report);
  }
  void operator()(const ServerLeft &C) const { serverLeft(T, Exchange, C); }
  void operator()(const PutRouting &C) const {
    putRouting(T, Exchange, R, C.Text);
  }
  void operator()(const ReadRouting &) const { readRouting(T, Exchange, R); }
  void operator()(const ReadMetrics &) const {
    // The shell answers these itself, wherever it serves them.
    refuse(T, Exchange, Code::NotFound, "");
  }
};

} // namespace

void platformCall(ControlTurn &T, ExchangeId Exchange, const HttpRequest &R) {
  std::visit(Answer{T, Exchange, R}, T.S.Platform.DecodeCall(R));
}

void tickServers(ControlTurn &T) {
  if (T.Now < T.S.NextServers)
    return;
  if (pimento::tickServers(T.S.Servers, T.S.Limits, T.Now)) {
    for (const auto &[Id, Known] : T.S.Servers.Servers) {
      if (Known.Revision == T.S.Servers.Revision)
        logServer(T, Id, "no report for long");
    }
    T.S.NewsDue = true;
  }
  T.S.NextServers = nextServerTick(T.S.Servers, T.S.Limits, T.Now);
}

void recallServers(ControlHost &S, const std::string &Bytes, TimePoint Now) {
  if (Bytes.empty())
    return;
  Failure Why;
  ControlHeartbeat Kept = valueOr<ControlHeartbeat>(
      [&] { return wire::fromBytes<ControlHeartbeat>(Bytes, KeptLimits); },
      ControlHeartbeat(), Why);
  for (const ServerReport &Report : Kept.Reports)
    takeReport(S.Servers, Report,
               std::min(Now, Now + RecallTime - S.Limits.SilentAfter));
  S.KeptRevision = S.Servers.Revision;
}

void keepServers(ControlTurn &T) {
  ControlHost &S = T.S;
  if (S.KeptRevision == S.Servers.Revision || T.Now < S.NextKeep)
    return;
  S.KeptRevision = S.Servers.Revision;
  S.NextKeep = T.Now + KeepInterval;
  ControlHeartbeat Kept;
  Kept.Reports = changedServers(S.Servers, 0, T.Now);
  T.Out.push_back(KeepServers{wire::toBytes(Kept)});
}

} // namespace pimento::control
