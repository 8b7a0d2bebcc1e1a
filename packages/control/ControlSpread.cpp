// Heartbeats between control hosts, updates to entry hosts, choice of the
// placer.

#include "control/ControlTurn.h"

#include "routing/AliveServers.h"

#include <algorithm>

namespace pimento::control {

namespace {

constexpr Duration ControlHeartbeatInterval = milliseconds(400);
/// Silence after which a control host counts as unreachable.
constexpr Duration ControlHostTimeout = milliseconds(1300);
/// Silence after which a control host that is neither a seed nor a member is
/// removed from the state.
constexpr Duration ControlHostRetention = seconds(20);
constexpr Duration EntryHostRetention = seconds(20);
/// Uptime after which an entry host counts as settled rather than as one that
/// may keep failing at its start.
constexpr Duration SettlingTime = seconds(5);
constexpr std::size_t MaxWaitingReports = 8192;
/// Time between two lists of all servers for the same control host. One that is
/// short of time seems to be silent now and then; lists would take more of it.
constexpr Duration FullStateInterval = seconds(5);
/// Bounds of the intervals of entry hosts' queries that are believed.
constexpr Duration MinSyncInterval = milliseconds(100);
constexpr Duration MaxSyncInterval = seconds(5);
constexpr std::size_t MaxWaitingAliveBytes = std::size_t{256} << 10U;
/// Entry hosts that are sent a change in one turn, and the time between two
/// such turns. All of them in one turn would take longer than the leader's
/// lease.
constexpr std::size_t MaxUpdatesPerTurn = 16;
constexpr Duration UpdatePause = milliseconds(60);

/// All hosts that may be control hosts: seeds, known hosts and members.
std::vector<HostId> contacts(const ControlHost &S) {
  std::vector<HostId> Hosts = S.Seeds;
  for (const auto &[Host, Peer] : S.Controls)
    Hosts.push_back(Host);
  for (const Member &Who : members(S.Log).Members)
    Hosts.push_back(Who.Host);
  std::sort(Hosts.begin(), Hosts.end());
  Hosts.erase(std::unique(Hosts.begin(), Hosts.end()), Hosts.end());
  Hosts.erase(std::remove(Hosts.begin(), Hosts.end(), S.Self), Hosts.end());
  return Hosts;
}

std::vector<ServerReport> takePendingReports(ControlTurn &T,
                                             ControlPeer &Peer) {
  if (Peer.RequestsFullState && T.Now >= Peer.NextFullStateAt) {
    Peer.RequestsFullState = false;
    Peer.NextFullStateAt = T.Now + FullStateInterval;
    Peer.Reports.clear();
    Peer.Since.clear();
    Peer.Alive.clear();
    std::vector<ServerReport> All = changedServers(T.S.Servers, 0, T.Now);
    auto IsSilent = [](const ServerReport &R) {
      // Each control host detects silence itself.
      return R.Phase == ServerPhase::Silent;
    };
    All.erase(std::remove_if(All.begin(), All.end(), IsSilent), All.end());
    return All;
  }
  std::vector<ServerReport> Reports = std::move(Peer.Reports);
  for (std::size_t I = 0; I < Reports.size(); ++I)
    Reports[I].Age = T.Now - Peer.Since[I];
  Peer.Reports.clear();
  Peer.Since.clear();
  return Reports;
}

void relay(ControlTurn &T, ControlPeer &Peer, const ServerReport &Report) {
  if (Peer.Reports.size() >= MaxWaitingReports) {
    Peer.RequestsFullState = true;
    return;
  }
  Peer.Reports.push_back(Report);
  Peer.Since.push_back(T.Now);
}

void sendHeartbeats(ControlTurn &T) {
  ControlHost &S = T.S;
  std::vector<HostId> LiveHosts = liveControlHosts(S, T.Now);
  for (const HostId &Host : contacts(S)) {
    ControlPeer &Peer = S.Controls[Host];
    ControlHeartbeat Heartbeat;
    Heartbeat.Known = LiveHosts;
    Heartbeat.Leaving = S.StopAt != TimePoint();
    bool Asks = Peer.KnowsOthers && T.Now >= Peer.NextAskAt;
    Heartbeat.RequestsFullState = Peer.LastSeen == TimePoint() || Asks;
    Heartbeat.TakesAlive = true;
    if (Asks) {
      Peer.KnowsOthers = false;
      Peer.NextAskAt = T.Now + FullStateInterval;
    }
    Heartbeat.Quarantine = quarantineUpdateFor(T, Peer);
    Heartbeat.Limits = limitUpdateFor(T, Peer.Limits);
    if (T.Now < Peer.LastSeen + ControlHostTimeout) {
      Heartbeat.Reports = takePendingReports(T, Peer);
      Heartbeat.Alive.Data = std::move(Peer.Alive);
      Heartbeat.AliveAge = T.Now - Peer.AliveSince;
      Peer.Alive.clear();
    } else {
      Peer.RequestsFullState = true;
    }
    send(T, Host, std::move(Heartbeat));
  }
  S.NextControlHeartbeat = T.Now + ControlHeartbeatInterval;
}

void forgetHosts(ControlTurn &T) {
  ControlHost &S = T.S;
  std::vector<HostId> AlwaysKept = S.Seeds;
  for (const Member &Who : members(S.Log).Members)
    AlwaysKept.push_back(Who.Host);
  for (auto It = S.Controls.begin(); It != S.Controls.end();) {
    bool IsAlwaysKept = std::find(AlwaysKept.begin(), AlwaysKept.end(),
                                  It->first) != AlwaysKept.end();
    bool IsExpired = T.Now > It->second.LastSeen + ControlHostRetention;
    It = IsExpired && !IsAlwaysKept ? S.Controls.erase(It) : std::next(It);
  }
  expireShareNumbers(S.Shares, T.Now);
  for (auto It = S.Entries.begin(); It != S.Entries.end();) {
    bool IsExpired = T.Now > It->second.LastSeen + EntryHostRetention;
    It = IsExpired ? S.Entries.erase(It) : std::next(It);
  }
}

/// Whether some ready entry host has not lost its paths to servers.
bool hasUncutEntry(const ControlTurn &T) {
  auto IsUncut = [&](const auto &Known) {
    return isReadyEntry(T, Known.first) && !Known.second.IsCutOff;
  };
  return std::any_of(T.S.Entries.begin(), T.S.Entries.end(), IsUncut);
}

/// A host that lost its paths to servers is the placer only if all hosts have.
bool isPlacerCandidate(const ControlTurn &T, const HostId &Host) {
  if (!isReadyEntry(T, Host))
    return false;
  return !T.S.Entries.at(Host).IsCutOff || !hasUncutEntry(T);
}

/// The placer used by most entry hosts; empty if none is reachable and ready.
HostId mostUsedPlacer(const ControlTurn &T) {
  std::map<HostId, std::size_t> Votes;
  for (const auto &[Host, Entry] : T.S.Entries) {
    if (isReachable(Entry, T.Now) && isPlacerCandidate(T, Entry.Placer))
      Votes[Entry.Placer] += 1;
  }
  auto Fewer = [](const auto &A, const auto &B) { return A.second < B.second; };
  auto Most = std::max_element(Votes.begin(), Votes.end(), Fewer);
  return Most == Votes.end() ? HostId() : Most->first;
}

/// Picks the settled host with the shortest uptime; if no host is settled, the
/// one with the longest uptime. In a rolling restart, which stops hosts one
/// after the other, the host that started last is stopped last, so the placer
/// moves least often. A host that just started may keep failing, so settled
/// hosts are preferred.
HostId pickNewPlacer(const ControlTurn &T) {
  HostId Best;
  Duration BestUptime = {};
  for (const auto &[Host, Entry] : T.S.Entries) {
    if (!isPlacerCandidate(T, Host))
      continue;
    bool Settled = Entry.Uptime >= SettlingTime;
    bool BestSettled = BestUptime >= SettlingTime;
    bool Younger = Entry.Uptime < BestUptime;
    bool Better = Settled == BestSettled ? Younger == Settled : Settled;
    if (!Best.empty() && !Better)
      continue;
    Best = Host;
    BestUptime = Entry.Uptime;
  }
  return Best;
}

/// Chooses the placer at the leader. The current placer stays while it is
/// reachable and ready; a new leader keeps the one that the entry hosts use.
void choosePlacer(ControlTurn &T) {
  ControlHost &S = T.S;
  if (!isLeader(S, T.Now)) {
    S.Placer = HostId();
    return;
  }
  if (isPlacerCandidate(T, S.Placer))
    return;
  HostId Before = S.Placer;
  S.Placer = mostUsedPlacer(T);
  if (S.Placer.empty())
    S.Placer = pickNewPlacer(T);
  if (S.Placer == Before)
    return;
  DecisionRecord Record{
      "placer",
      {},
      "this leader had no reachable and ready placer that reaches the servers",
      {}};
  Record.add("placer", S.Placer.Value);
  Record.add("before", Before.Value);
  log(T, std::move(Record));
  updateHosts(T);
}

std::uint64_t liveEntryHostCount(const ControlTurn &T) {
  std::uint64_t Count = 0;
  for (const auto &[Host, Entry] : T.S.Entries)
    Count += isReachable(Entry, T.Now) ? 1 : 0;
  return Count;
}

/// The digest of this host's servers, kept for a moment, since many
/// entry hosts ask at the same time after a change of the leader.
std::uint64_t ownServersDigest(ControlHost &S, TimePoint Now) {
  constexpr Duration MaxAge = milliseconds(100);
  bool IsKnown = S.ServersDigest.Revision == S.Servers.Revision &&
                 Now < S.ServersDigest.At + MaxAge;
  if (!IsKnown)
    S.ServersDigest = {S.Servers.Revision, serversDigest(S.Servers, Now), Now};
  return S.ServersDigest.Digest;
}

/// The state that \p Entry lacks; all servers if \p Whole.
SiteState siteStateFor(ControlTurn &T, EntryPeer &Entry, bool Whole) {
  const ControlHost &S = T.S;
  SiteState State;
  State.IsCurrent = isCurrent(S, T.Now);
  State.Leader = leader(S.Log);
  State.Config = S.NewestRouting.Number;
  State.Quarantine =
      quarantineUpdateFor(T, Entry.QuarantineDigest, Entry.WatchDigest);
  Entry.QuarantineDigest = State.Quarantine.Digest;
  Entry.WatchDigest = State.Quarantine.WatchDigest;
  State.Limits = limitUpdateFor(T, Entry.Limits);
  if (Entry.Evacuation != S.Evacuation.Revision)
    State.Evacuation = S.Evacuation;
  // The receiver uses no more of a state that may be out of date.
  if (!State.IsCurrent)
    return State;
  Entry.SentChanges = S.Changes;
  State.ControlIncarnation = S.Incarnation;
  State.Revision = S.Servers.Revision;
  State.ListsAllServers = Whole;
  State.BaseRevision = Whole ? 0 : Entry.SentRevision;
  State.Servers =
      changedServers(S.Servers, Whole ? 0 : Entry.SentRevision, T.Now);
  Entry.SentRevision = S.Servers.Revision;
  State.Controls = liveControlHosts(S, T.Now);
  State.EntryHosts = liveEntryHostCount(T);
  State.Placer = S.Placer;
  State.ShareNumber = Entry.ShareNumber;
  State.ShareCount = shareCount(S.Shares);
  return State;
}

/// Sends the next hosts in turn what has changed. Hosts that asked since have
/// it by their answers. Returns whether there are more.
bool updateEntryHosts(ControlTurn &T) {
  auto &Entries = T.S.Entries;
  std::size_t Sent = 0;
  auto It = Entries.upper_bound(T.S.LastUpdated);
  for (std::size_t Left = Entries.size(); Left > 0; --Left, ++It) {
    if (It == Entries.end())
      It = Entries.begin();
    auto &[Host, Entry] = *It;
    bool HasAll = Entry.SentChanges == T.S.Changes;
    if (HasAll || !isReachable(Entry, T.Now))
      continue;
    if (Sent == MaxUpdatesPerTurn)
      return true;
    send(T, Host, siteStateFor(T, Entry, false));
    T.S.LastUpdated = Host;
    Sent += 1;
  }
  return false;
}

} // namespace

void updateHosts(ControlTurn &T) {
  T.S.UpdateDue = true;
  T.S.Changes += 1;
}

std::vector<HostId> liveControlHosts(const ControlHost &S, TimePoint Now) {
  std::vector<HostId> LiveHosts = {S.Self};
  for (const auto &[Host, Peer] : S.Controls) {
    if (Peer.LastSeen != TimePoint() &&
        Now < Peer.LastSeen + ControlHostTimeout)
      LiveHosts.push_back(Host);
  }
  return LiveHosts;
}

void tickSpread(ControlTurn &T) {
  if (T.Now < T.S.NextControlHeartbeat)
    return;
  sendHeartbeats(T);
  forgetHosts(T);
  choosePlacer(T);
}

void onControlHeartbeat(ControlTurn &T, const HostId &From,
                        const ControlHeartbeat &M) {
  ControlHost &S = T.S;
  ControlPeer &Peer = S.Controls[From];
  if (Peer.LastSeen == TimePoint() ||
      T.Now > Peer.LastSeen + ControlHostTimeout) {
    DecisionRecord Record{
        "control_host_heard",
        {},
        "first heartbeat of the control host, or first after a silence",
        {}};
    Record.add("control", From.Value);
    log(T, std::move(Record));
  }
  Peer.LastSeen = T.Now;
  Peer.Leaving = M.Leaving;
  if (M.RequestsFullState) {
    Peer.RequestsFullState = true;
    Peer.NextFullStateAt = T.Now;
  }
  for (const HostId &Host : M.Known) {
    if (Host != S.Self)
      S.Controls[Host]; // Sends that host a heartbeat next time.
  }
  Peer.TakesAlive = M.TakesAlive;
  for (const ServerReport &Report : M.Reports) {
    if (applyReport(S.Servers, Report, T.Now - Report.Age))
      updateHosts(T);
  }
  for (const AliveServer &Alive : aliveServers(M.Alive.Data)) {
    AliveResult Result = applyAlive(S.Servers, Alive, T.Now - M.AliveAge);
    Peer.KnowsOthers = Peer.KnowsOthers || Result == AliveResult::Unknown;
    if (Result == AliveResult::Changed)
      updateHosts(T);
  }
  Peer.QuarantineDigest = M.Quarantine.Digest;
  onQuarantineUpdate(T, From, SenderRole::ControlHost, M.Quarantine);
  onLimitUpdate(T, Peer.Limits, M.Limits);
}

void onEntrySync(ControlTurn &T, const HostId &From,
                 IncarnationNumber Incarnation, const EntrySync &M) {
  EntryPeer &Entry = T.S.Entries[From];
  if (Entry.Incarnation != Incarnation || !isReachable(Entry, T.Now)) {
    Entry = EntryPeer();
    Entry.Incarnation = Incarnation;
  }
  Entry.LastSeen = T.Now;
  Entry.SyncInterval = std::clamp(M.Interval, MinSyncInterval, MaxSyncInterval);
  Entry.Ready = M.Ready;
  Entry.Placer = M.Placer;
  Entry.Uptime = M.Uptime;
  Entry.DataCentre = M.DataCentre;
  Entry.ShareNumber = isLeader(T.S, T.Now)
                          ? shareNumber(T.S.Shares, From, M.ShareNumber, T.Now)
                          : 0;
  Entry.Evacuation = M.Evacuation;
  onPathsReported(T, From, Entry, M);
  onConfigReported(T, From, Entry, M);
  Entry.QuarantineDigest = M.Quarantine.Digest;
  Entry.WatchDigest = M.Quarantine.WatchDigest;
  onQuarantineUpdate(T, From, SenderRole::EntryHost, M.Quarantine);
  onLimitUpdate(T, Entry.Limits, M.Limits);
  onServersLeaving(T, M.Leaving);
  bool Whole = M.ControlIncarnation != T.S.Incarnation ||
               M.Revision > T.S.Servers.Revision;
  // After a change of the leader, hosts have its servers under the numbers of
  // another control host. A list of all for each host would keep it busy.
  bool HasSame = Whole && M.ServersDigest != 0 &&
                 M.ServersDigest == ownServersDigest(T.S, T.Now);
  Whole = Whole && !HasSame;
  if (HasSame)
    Entry.SentRevision = T.S.Servers.Revision;
  else
    Entry.SentRevision = Whole ? 0 : M.Revision;
  choosePlacer(T);
  SiteState State = siteStateFor(T, Entry, Whole);
  State.Sequence = M.Sequence;
  State.HasSameServers = HasSame;
  if (M.WantsRelays)
    State.Relays = relayCandidates(T, From, M.DataCentre);
  send(T, From, std::move(State));
  answerPendingPuts(T);
  answerPendingEvacuations(T);
}

void onEntryHostLost(ControlTurn &T, const HostId &Host) {
  T.S.Entries.erase(Host);
  choosePlacer(T);
}

void relay(ControlTurn &T, const ServerReport &Report) {
  for (auto &[Host, Peer] : T.S.Controls)
    relay(T, Peer, Report);
}

void relayAlive(ControlTurn &T, const ServerReport &Report) {
  for (auto &[Host, Peer] : T.S.Controls) {
    if (!Peer.TakesAlive) {
      relay(T, Peer, Report);
      continue;
    }
    if (Peer.Alive.size() >= MaxWaitingAliveBytes) {
      Peer.RequestsFullState = true;
      continue;
    }
    if (Peer.Alive.empty())
      Peer.AliveSince = T.Now;
    addAlive(Peer.Alive, Report);
  }
}

void spreadChanges(ControlTurn &T) {
  ControlHost &S = T.S;
  if (S.UpdateDue && T.Now >= S.NextUpdateAt) {
    S.UpdateDue = updateEntryHosts(T);
    if (S.HeartbeatChanges != S.Changes)
      sendHeartbeats(T);
    S.HeartbeatChanges = S.Changes;
    S.NextUpdateAt = T.Now + UpdatePause;
  }
  std::vector<HostId> Behind = hostsToUpdate(T);
  S.RoutingDue = !Behind.empty();
  for (const HostId &Host : Behind) {
    EntryPeer &Entry = S.Entries.at(Host);
    SiteState State = siteStateFor(T, Entry, false);
    addRouting(T, Entry, State);
    send(T, Host, std::move(State));
  }
}

} // namespace pimento::control
