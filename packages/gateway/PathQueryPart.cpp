// Whether other hosts reach servers that this host does not reach, and the same
// for them.

#include "gateway/GatewayTurn.h"

#include "base/SettingText.h"

#include <algorithm>

namespace pimento::gateway {

namespace {

/// Hosts that are asked about a doubt at a time. One may have lost its paths
/// as well.
constexpr std::size_t HostsToAsk = 2;
/// Relays that this host wants to know while it is cut off from a service.
constexpr std::size_t WantedRelays = 3;
constexpr std::size_t MaxServersAsked = 8;
/// Least time between queries to hosts that are not in use as relays, and
/// between searches for more of these.
constexpr Duration AskPause = milliseconds(10);
constexpr Duration SearchInterval = milliseconds(200);
constexpr std::size_t MaxAsks = 256;
/// A host that asks waits a little longer than this.
constexpr Duration AskTimeout = milliseconds(250);
/// A connection that was made longer ago says nothing of the path now.
constexpr Duration MaxFindingAge = milliseconds(300);
/// A list of hosts that may be asked is renewed after this time; while paths
/// are in doubt after the shorter one.
constexpr Duration ListRenewal = seconds(10);
constexpr Duration ListRenewalInDoubt = milliseconds(400);
constexpr Duration ListDelay = milliseconds(5);

const ServerReport *reportOf(const Gateway &S, const BackendId &Server) {
  auto Found = S.Servers.Servers.find(Server);
  return Found == S.Servers.Servers.end() ? nullptr : &Found->second.Report;
}

/// The servers with the incarnations that this host knows.
std::vector<DoubtedServer> describe(const Gateway &S,
                                    std::vector<DoubtedServer> Servers) {
  std::vector<DoubtedServer> Known;
  for (DoubtedServer &D : Servers) {
    const ServerReport *R = reportOf(S, D.Server);
    if (R == nullptr)
      continue;
    D.Incarnation = R->Incarnation;
    Known.push_back(std::move(D));
  }
  return Known;
}

bool wantsMoreRelays(const Gateway &S, TimePoint Now) {
  for (const ServiceId &Service : cutServices(S.Relays.Paths)) {
    if (relayCount(S.Relays.Peers, Service, Now) < WantedRelays)
      return true;
  }
  return false;
}

void sendQueries(GatewayTurn &T,
                 const std::vector<std::pair<HostId, std::uint64_t>> &Hosts,
                 const std::vector<DoubtedServer> &Servers) {
  for (const auto &[Host, Sequence] : Hosts) {
    PathQuery Query;
    Query.Sequence = Sequence;
    Query.Servers = Servers;
    send(T, Host, std::move(Query));
    count(T, "pimento_path_queries_total");
  }
}

/// What this host knows of a server that another host asks about; empty if it
/// has to probe.
std::optional<PathFinding> knownFinding(const Gateway &S, const PathAsk &Ask,
                                        const DoubtedServer &D) {
  const ServerReport *R = reportOf(S, D.Server);
  if (R == nullptr || R->Incarnation != D.Incarnation)
    return PathFinding::Unknown;
  const PathWatch &W = S.Relays.Paths;
  auto Path = W.Servers.find(D.Server);
  Duration Age = std::min(D.Age, MaxFindingAge);
  if (Path != W.Servers.end() && Path->second.ReachedAt > Ask.Since - Age)
    return PathFinding::Reached;
  auto Found = Ask.Found.find(D.Server);
  if (Found == Ask.Found.end())
    return std::nullopt;
  // This host does not reach it either: only if it reaches others does that
  // say something of the server.
  if (W.AnyReachedAt > Ask.Since)
    return Found->second;
  return std::nullopt;
}

/// Replies if all findings are known or the time is over. Returns whether it
/// did.
bool reply(GatewayTurn &T, const PathAsk &Ask) {
  PathReply Reply;
  Reply.Sequence = Ask.Sequence;
  bool IsOver = T.Now >= Ask.ExpiresAt;
  for (const DoubtedServer &D : Ask.Servers) {
    std::optional<PathFinding> Finding = knownFinding(T.S, Ask, D);
    if (!Finding && !IsOver)
      return false;
    Reply.Servers.push_back({D.Server, Finding.value_or(PathFinding::Unknown)});
  }
  Reply.Relayed = T.S.Relays.Taken.size();
  Reply.TakesRequests = takesRelays(T.S);
  send(T, Ask.From, std::move(Reply));
  return true;
}

} // namespace

void askOtherHosts(GatewayTurn &T) {
  RelayState &R = T.S.Relays;
  for (const HostId &Host : takeSilentHosts(R.Peers, T.Now))
    relaySilent(T, Host);
  std::vector<DoubtedServer> Lost =
      describe(T.S, lostServers(R.Paths, MaxServersAsked, T.Now));
  if (!Lost.empty())
    sendQueries(T, takeRelaysToAsk(R.Peers, T.Now), Lost);
  bool HasDoubts = nextDoubt(R.Paths, T.Now) <= T.Now;
  bool Searches =
      !Lost.empty() && T.Now >= R.NextSearchAt && wantsMoreRelays(T.S, T.Now);
  if (T.Now < R.NextAskAt || (!HasDoubts && !Searches))
    return;
  R.NextAskAt = T.Now + AskPause;
  auto Hosts =
      takeHostsToAsk(R.Peers, T.S.Engines.Here, T.S.Rng, HostsToAsk, T.Now);
  if (Hosts.empty())
    return;
  R.NextSearchAt = T.Now + SearchInterval;
  std::vector<DoubtedServer> Servers = Lost;
  if (HasDoubts)
    Servers = describe(T.S, takeDoubts(R.Paths, MaxServersAsked, T.Now));
  sendQueries(T, Hosts, Servers);
}

bool wantsRelayList(const Gateway &S, TimePoint Now) {
  const RelayState &R = S.Relays;
  if (R.Peers.ListedAt == TimePoint())
    return true;
  bool IsInDoubt = nextProbe(R.Paths) != TimePoint::max();
  return Now >=
         R.Peers.ListedAt + (IsInDoubt ? ListRenewalInDoubt : ListRenewal);
}

void syncSoonForRelays(GatewayTurn &T) {
  if (wantsRelayList(T.S, T.Now))
    syncSoon(T.S.Link, T.Now + ListDelay);
}

void onRelayList(GatewayTurn &T, const std::vector<RelayCandidate> &List) {
  std::vector<RelayCandidate> Others;
  for (const RelayCandidate &C : List) {
    if (C.Host != T.S.Self)
      Others.push_back(C);
  }
  if (!Others.empty())
    setCandidates(T.S.Relays.Peers, Others, T.Now);
}

void onPathQuery(GatewayTurn &T, const HostId &From, const PathQuery &M) {
  RelayState &R = T.S.Relays;
  if (R.Asks.size() >= MaxAsks || M.Servers.empty() ||
      M.Servers.size() > MaxServersAsked)
    return;
  PathAsk Ask;
  Ask.From = From;
  Ask.Sequence = M.Sequence;
  Ask.Servers = M.Servers;
  Ask.Since = T.Now;
  Ask.ExpiresAt = T.Now + AskTimeout;
  if (reply(T, Ask))
    return;
  R.Asks.push_back(Ask);
  for (const DoubtedServer &D : M.Servers) {
    if (!knownFinding(T.S, Ask, D))
      probePath(T, D.Server, /*IsForOthers=*/true);
  }
}

void onPathReply(GatewayTurn &T, const HostId &From, const PathReply &M) {
  RelayState &R = T.S.Relays;
  std::vector<ServiceId> Reached;
  for (const PathReport &Report : M.Servers) {
    const ServerReport *Server = reportOf(T.S, Report.Server);
    if (Server == nullptr)
      continue;
    noteFinding(R.Paths, Report.Server, Report.Finding, T.Now);
    if (Report.Finding == PathFinding::Reached)
      Reached.push_back(Server->Service);
  }
  noteReply(R.Peers, From, M, Reached, T.Now);
  settleFaultReports(T);
  tickPaths(T);
  for (const ServiceId &Service : Reached)
    wakeWaiting(T, Service);
}

void probeForOthersFailed(GatewayTurn &T, const PathProbe &Probe) {
  for (PathAsk &Ask : T.S.Relays.Asks) {
    for (const DoubtedServer &D : Ask.Servers) {
      if (D.Server == Probe.Server && Probe.SentAt >= Ask.Since - D.Age)
        Ask.Found[D.Server] = PathFinding::Unreached;
    }
  }
}

void settleAsks(GatewayTurn &T) {
  std::vector<PathAsk> &Asks = T.S.Relays.Asks;
  auto IsDone = [&](const PathAsk &Ask) { return reply(T, Ask); };
  Asks.erase(std::remove_if(Asks.begin(), Asks.end(), IsDone), Asks.end());
}

} // namespace pimento::gateway
