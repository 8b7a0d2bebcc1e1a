// Backend servers that announce in their answers that they leave: they get no
// further request from this host, which tells the control hosts.

#include "gateway/GatewayTurn.h"

#include <algorithm>

namespace pimento::gateway {

namespace {

/// Servers that are remembered; the one that announced first is forgotten
/// first.
constexpr std::size_t MaxLeaving = 1024;
/// Delay of a report, so that one message carries all that leave together.
constexpr Duration ReportDelay = milliseconds(10);

void dropOldest(Gateway &S) {
  auto Older = [](const auto &A, const auto &B) {
    return A.second.Since < B.second.Since;
  };
  S.Leaving.erase(std::min_element(S.Leaving.begin(), S.Leaving.end(), Older));
}

void logLeaving(GatewayTurn &T, const BackendId &Server, const char *Reason) {
  DecisionRecord Record{"server_changed", {}, Reason, {}};
  Record.add("server", Server.Value);
  Record.add("phase", std::string(toString(ServerPhase::Draining)));
  log(T, std::move(Record));
}

} // namespace

bool isLeaving(const Gateway &S, const BackendId &Server,
               IncarnationNumber Incarnation) {
  auto Found = S.Leaving.find(Server);
  return Found != S.Leaving.end() && Found->second.Incarnation == Incarnation;
}

void serverLeaves(GatewayTurn &T, const BackendId &Server,
                  IncarnationNumber Incarnation) {
  Gateway &S = T.S;
  if (Server.empty() || isLeaving(S, Server, Incarnation))
    return;
  if (S.Leaving.size() >= MaxLeaving)
    dropOldest(S);
  S.Leaving[Server] = LeavingServer{Incarnation, T.Now};
  logLeaving(T, Server,
             "the backend server announced in an answer that it "
             "is leaving");
  count(T, "pimento_servers_leaving_total");
  syncSoon(S.Link, T.Now + ReportDelay);
  auto Known = S.Servers.Servers.find(Server);
  if (Known == S.Servers.Servers.end() ||
      Known->second.Report.Incarnation != Incarnation)
    return;
  ServerReport Report = Known->second.Report;
  Report.Phase = ServerPhase::Draining;
  if (applyReport(S.Servers, Report, Known->second.LastSeen))
    serversChanged(T);
}

void noteLeaving(GatewayTurn &T, const AnsweringServer &From,
                 const AnswerInfo &Answer) {
  if (Answer.IsLeaving)
    serverLeaves(T, From.Server, From.Incarnation);
}

ServerReport knownPhase(GatewayTurn &T, const ServerReport &R) {
  ServerReport Known = R;
  if (!isLeaving(T.S, R.Id, R.Incarnation))
    return Known;
  LeavingServer &Leaving = T.S.Leaving.at(R.Id);
  Leaving.IsKnownByControl =
      R.Phase == ServerPhase::Draining || R.Phase == ServerPhase::Gone;
  if (!Leaving.IsKnownByControl)
    Known.Phase = ServerPhase::Draining;
  return Known;
}

std::vector<ServerReport> leavingReports(const GatewayTurn &T) {
  std::vector<ServerReport> Reports;
  for (const auto &[Id, Leaving] : T.S.Leaving) {
    auto Known = T.S.Servers.Servers.find(Id);
    if (Leaving.IsKnownByControl || Known == T.S.Servers.Servers.end() ||
        Known->second.Report.Incarnation != Leaving.Incarnation)
      continue;
    Reports.push_back(Known->second.Report);
    Reports.back().Age = T.Now - Known->second.LastSeen;
  }
  return Reports;
}

} // namespace pimento::gateway
