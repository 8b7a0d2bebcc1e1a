// Failures of servers that may be the fault of this host's path to them. They
// are reported only once the path is known not to be at fault, so that a host
// that lost its paths has no sound server avoided and no sound request
// quarantined.

#include "gateway/GatewayTurn.h"

#include <algorithm>

namespace pimento::gateway {

namespace {

/// Reports that wait for a verdict; more are dropped.
constexpr std::size_t MaxReports = 256;

const char *toString(FaultReport::Kind What) {
  switch (What) {
  case FaultReport::Kind::Engine:
    return "engine_failed";
  case FaultReport::Kind::Plain:
    return "server_failed";
  case FaultReport::Kind::Crash:
    return "crash";
  }
  return "unknown";
}

void logReport(GatewayTurn &T, const FaultReport &R, bool Holds,
               const char *Reason) {
  DecisionRecord Record{"fault_report", {}, Reason, {}};
  Record.add("server", R.Server.Value);
  Record.add("service", R.Service.Value);
  Record.add("what", std::string(toString(R.What)));
  Record.add("holds", Holds);
  Record.add("age_ms", toMilliseconds(T.Now - R.At));
  log(T, std::move(Record));
  count(T, "pimento_fault_reports_total",
        std::string("holds=\"") + (Holds ? "1" : "0") + "\"");
}

/// Whether the server was to take requests, by what is reported of it.
bool wasUp(const Gateway &S, const BackendId &Server) {
  auto Known = S.Servers.Servers.find(Server);
  if (Known == S.Servers.Servers.end())
    return false;
  ServerPhase Phase = Known->second.Report.Phase;
  return Phase == ServerPhase::Ready || Phase == ServerPhase::Silent;
}

void execute(GatewayTurn &T, FaultReport &R) {
  if (R.IsUnreached && wasUp(T.S, R.Server))
    serverEnded(T, R.Server, R.Crash.Incarnation);
  switch (R.What) {
  case FaultReport::Kind::Engine:
    reportEngineFault(T, R.Server);
    return;
  case FaultReport::Kind::Plain:
    recordOutcome(T.S.Health, R.Server, /*Succeeded=*/false,
                  plainServers(T.S, R.Service), T.Now);
    return;
  case FaultReport::Kind::Crash:
    R.Crash.Age += T.Now - R.At;
    crashConfirmed(T, R.Crash);
    return;
  }
}

/// Executes or drops the report if its verdict is known. Returns whether it is.
bool settle(GatewayTurn &T, FaultReport &R) {
  const PathWatch &W = T.S.Relays.Paths;
  bool IsCrash = R.What == FaultReport::Kind::Crash;
  auto Path = W.Servers.find(R.Server);
  bool IsBack = Path != W.Servers.end() && Path->second.ReachedAt > R.At;
  if (IsCrash && IsBack) {
    logReport(T, R, false, "the server takes connections again");
    return true;
  }
  switch (verdictOf(W, R.Server, R.At, T.Now)) {
  case FailureVerdict::Open:
    return false;
  case FailureVerdict::PathAtFault:
    logReport(T, R, false, "another host reaches the server");
    return true;
  case FailureVerdict::Undecided:
    logReport(T, R, false, "this host reaches no server at all");
    return true;
  case FailureVerdict::ServerAtFault:
    execute(T, R);
    logReport(T, R, true, "this host's path is not at fault");
    return true;
  }
  return true;
}

} // namespace

void holdFaultReport(GatewayTurn &T, FaultReport R) {
  std::vector<FaultReport> &List = T.S.Relays.FaultReports;
  if (R.Server.empty() || List.size() >= MaxReports)
    return;
  auto Known = T.S.Servers.Servers.find(R.Server);
  if (Known == T.S.Servers.Servers.end())
    return;
  R.Service = Known->second.Report.Service;
  R.At = T.Now;
  List.push_back(std::move(R));
}

void settleFaultReports(GatewayTurn &T) {
  std::vector<FaultReport> &List = T.S.Relays.FaultReports;
  if (List.empty())
    return;
  std::vector<FaultReport> Open = std::move(List);
  List.clear();
  std::vector<FaultReport> Kept;
  for (FaultReport &R : Open) {
    if (!settle(T, R))
      Kept.push_back(std::move(R));
  }
  // Settling may have added some.
  List.insert(List.begin(), std::make_move_iterator(Kept.begin()),
              std::make_move_iterator(Kept.end()));
}

void reportEngineFault(GatewayTurn &T, const BackendId &Server) {
  // No request has this ticket, so nothing but the failure is recorded.
  constexpr std::uint64_t NoTicket = 0;
  updateStage(T.S.Engines, {T.S.Self, NoTicket}, PlacementStage::Failed, Server,
              T.Now);
  if (!T.S.Link.Placer.empty())
    send(T, T.S.Link.Placer,
         PlacementUpdate{NoTicket, PlacementStage::Failed, Server});
}

} // namespace pimento::gateway
