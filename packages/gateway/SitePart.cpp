// Messages of control hosts, loss of other entry hosts, and readiness for the
// load balancer.

#include "gateway/GatewayTurn.h"

#include "base/Problem.h"
#include "base/SettingText.h"

#include <algorithm>
#include <set>

namespace pimento::gateway {

namespace {

/// Time after which a host without a link counts as stopped; before that it may
/// only have lost the link.
constexpr Duration LostHostGracePeriod = milliseconds(1500);
/// Rebuilds the list of each service's backend servers that accept new
/// requests.
void refreshPlainServers(Gateway &S) {
  S.PlainServers.clear();
  std::map<ServiceId, std::vector<calls::PlainServer>> Silent;
  for (const auto &[Id, Known] : S.Servers.Servers) {
    const ServerReport &R = Known.Report;
    if (S.Evacuated.Servers.count(Id) > 0)
      continue;
    calls::PlainServer Server{Id, R.Incarnation, R.Address, R.DataCentre};
    if (R.Phase == ServerPhase::Ready)
      S.PlainServers[R.Service].push_back(std::move(Server));
    else if (R.Phase == ServerPhase::Silent)
      Silent[R.Service].push_back(std::move(Server));
  }
  // A service without ready servers falls back on its silent ones.
  for (auto &[Service, Servers] : Silent) {
    if (S.PlainServers.count(Service) == 0)
      S.PlainServers[Service] = std::move(Servers);
  }
}

void logServer(GatewayTurn &T, const ServerReport &R) {
  DecisionRecord Record{
      "server_changed", {}, "a control host reported a change", {}};
  Record.add("server", R.Id.Value);
  Record.add("service", R.Service.Value);
  Record.add("phase", std::string(toString(R.Phase)));
  Record.add("age_ms", toMilliseconds(R.Age));
  log(T, std::move(Record));
}

bool applyServers(GatewayTurn &T, const SiteState &M) {
  Gateway &S = T.S;
  bool Changed = false;
  noteReplaced(T, M.Servers);
  for (const ServerReport &Reported : M.Servers) {
    ServerReport R = knownPhase(T, Reported);
    if (!applyReport(S.Servers, R, T.Now - R.Age))
      continue;
    Changed = true;
    logServer(T, R);
  }
  if (!M.ListsAllServers)
    return Changed;
  std::set<BackendId> Ids;
  for (const ServerReport &R : M.Servers)
    Ids.insert(R.Id);
  for (auto It = S.Servers.Servers.begin(); It != S.Servers.Servers.end();) {
    bool Listed = Ids.count(It->first) > 0;
    Changed = Changed || !Listed;
    It = Listed ? std::next(It) : S.Servers.Servers.erase(It);
  }
  return Changed;
}

void tickLostHosts(GatewayTurn &T) {
  auto &Lost = T.S.LostHosts;
  for (auto It = Lost.begin(); It != Lost.end();) {
    if (T.Now < It->second + LostHostGracePeriod) {
      ++It;
      continue;
    }
    dropHost(T.S.Engines, It->first);
    dropPermits(T.S.Permits, It->first);
    It = Lost.erase(It);
  }
}

LinkReport reportOf(const Gateway &S, TimePoint Now) {
  LinkReport Report;
  Report.Config = S.Routes ? S.Routes->Config.Number : 0;
  Report.Ready = isReady(S);
  Report.DataCentre = S.Engines.Here;
  Report.Uptime = Now - S.Started;
  Report.Form = S.Form;
  Report.Stale = S.Stale;
  Report.IsPlacer = S.Link.Placer == S.Self;
  return Report;
}

/// Adds what this host learned of engines and servers to a query.
void addReports(GatewayTurn &T, EntrySync &Sync) {
  Sync.Quarantine = quarantineReport(T);
  Sync.Limits = limitReport(T);
  Sync.Leaving = leavingReports(T);
  Sync.Unreached = unreachedServices(T.S.Relays.Paths);
  Sync.IsCutOff = !cutServices(T.S.Relays.Paths).empty();
  Sync.Evacuation = T.S.Evacuation.Revision;
  Sync.WantsRelays = wantsRelayList(T.S, T.Now);
}

} // namespace

void serversChanged(GatewayTurn &T) {
  T.S.Evacuated = evacuatedServers(T.S.Evacuation, T.S.Servers);
  T.S.Engines.Evacuation = T.S.Evacuation;
  refreshPlainServers(T.S);
  if (T.S.Routes)
    setEngines(T.S.Engines, *T.S.Routes, T.S.Servers);
  refreshCold(T);
  refreshLimits(T, /*IsReset=*/false);
}

void tickSite(GatewayTurn &T) {
  Gateway &S = T.S;
  checkStale(T);
  std::optional<Outbound> Query =
      tickLink(S.Link, reportOf(S, T.Now), S.Rng, T.Now);
  if (Query) {
    if (auto *Sync = std::get_if<EntrySync>(&Query->Content)) {
      addReports(T, *Sync);
      if (Query->To != S.Link.RevisionFrom)
        Sync->ServersDigest = serversDigest(S.Servers, T.Now);
    }
    send(T, Query->To, std::move(Query->Content));
  }
  tickLostHosts(T);
  tickStop(T);
}

void onSiteState(GatewayTurn &T, const HostId &From, const SiteState &M) {
  Gateway &S = T.S;
  bool WasReady = isReady(S);
  HostId ActiveControl = S.Link.ActiveControl;
  // Also from a control host that is not current: a quarantine holds while the
  // control hosts have no leader.
  onQuarantineUpdate(T, From, M.Quarantine);
  onLimitRecords(T, M.Limits.Records);
  S.ControlLimitDigest = M.Limits.Digest;
  if (!applySiteState(S.Link, From, M, T.Now)) {
    onEvacuations(T, From, M.Evacuation);
    return;
  }
  if (From == M.Leader && !M.Placer.empty())
    placerNamed(S.Cold.Lease, M.Placer == S.Self, T.Now);
  onRelayList(T, M.Relays);
  bool ServersChanged = applyServers(T, M);
  bool RoutesChanged = applyRouting(T, M);
  if (ServersChanged || RoutesChanged)
    serversChanged(T);
  onEvacuations(T, From, M.Evacuation); // With the servers of the message.
  checkStale(T);
  followPlacer(T);
  if (ActiveControl != S.Link.ActiveControl) {
    DecisionRecord Record{
        "control_host", {}, "this control host is the leader", {}};
    Record.add("control", S.Link.ActiveControl.Value);
    Record.add("before", ActiveControl.Value);
    log(T, std::move(Record));
  }
  if (isReady(S))
    tickHeld(T);
  if (isReady(S) != WasReady) {
    syncSoon(S.Link, T.Now);
    log(T, {"ready",
            {},
            isReady(S) ? "this host accepts callers' requests"
                       : "this host does not accept callers' requests",
            {}});
  }
}

void operatorCall(GatewayTurn &T, ExchangeId Exchange, const HttpRequest &R) {
  if (serversCall(T, Exchange, R))
    return;
  PlatformCall Call = T.S.Platform.DecodeCall(R);
  if (!std::holds_alternative<ReadyQuery>(Call)) {
    T.Out.push_back(calls::SendReply{
        Exchange,
        problemReply(
            {Code::NotFound, "no such call on an entry host", {}, {}})});
    return;
  }
  bool Ready = isReady(T.S);
  HttpReply Reply =
      Ready ? jsonReply(200, "{}")
            : problemReply({Code::HostNotFresh,
                            "this host does not accept callers' requests",
                            {},
                            {}});
  T.Out.push_back(calls::SendReply{Exchange, std::move(Reply)});
}

} // namespace pimento::gateway
