// What control hosts tell each other and the entry hosts.

#include "control/ControlTurn.h"

#include <algorithm>

namespace pimento::control {

namespace {

constexpr Duration NewsInterval = milliseconds(400);
/// Silence after which a control host counts as dead.
constexpr Duration ControlSilence = milliseconds(1300);
/// A control host that nothing names any more is forgotten after so long.
constexpr Duration ForgetControl = seconds(20);
/// An entry host that asks no more is not told anything.
constexpr Duration EntrySilence = milliseconds(1200);
constexpr Duration ForgetEntry = seconds(20);
/// An entry host that has run for so long has come up for good.
constexpr Duration SettlingTime = seconds(5);
constexpr std::size_t MaxWaitingReports = 8192;
/// A configuration that is not in force at an entry host after so long, and the
/// time that it takes over a slow link, is sent again.
constexpr Duration SendAgainAfter = milliseconds(500);
constexpr double SlowLinkBytesPerSecond = 200e3;
/// Of configurations that are under way to entry hosts: more of them would hold
/// up the replicated log's heartbeats on the leader's link.
constexpr std::size_t MaxBytesUnderWay = std::size_t{4} << 20U;

/// Everyone that might be a control host.
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

std::vector<ServerReport> takeReports(ControlTurn &T, ControlPeer &Peer) {
  if (Peer.RequestsFullState) {
    Peer.RequestsFullState = false;
    Peer.Reports.clear();
    Peer.Since.clear();
    std::vector<ServerReport> All = changedServers(T.S.Servers, 0, T.Now);
    auto IsSilent = [](const ServerReport &R) {
      return R.Phase == ServerPhase::Silent; // Each host judges silence.
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

void sendNews(ControlTurn &T) {
  ControlHost &S = T.S;
  std::vector<HostId> Living = livingControls(S, T.Now);
  for (const HostId &Host : contacts(S)) {
    ControlPeer &Peer = S.Controls[Host];
    ControlHeartbeat News;
    News.Known = Living;
    News.Leaving = S.StopAt != TimePoint();
    News.RequestsFullState = Peer.Heard == TimePoint();
    if (T.Now < Peer.Heard + ControlSilence)
      News.Reports = takeReports(T, Peer);
    else
      Peer.RequestsFullState = true;
    send(T, Host, std::move(News));
  }
  S.NextNews = T.Now + NewsInterval;
}

void forgetHosts(ControlTurn &T) {
  ControlHost &S = T.S;
  std::vector<HostId> Named = S.Seeds;
  for (const Member &Who : members(S.Log).Members)
    Named.push_back(Who.Host);
  for (auto It = S.Controls.begin(); It != S.Controls.end();) {
    bool IsNamed =
        std::find(Named.begin(), Named.end(), It->first) != Named.end();
    bool Old = T.Now > It->second.Heard + ForgetControl;
    It = Old && !IsNamed ? S.Controls.erase(It) : std::next(It);
  }
  for (auto It = S.Entries.begin(); It != S.Entries.end();) {
    bool Old = T.Now > It->second.Heard + ForgetEntry;
    It = Old ? S.Entries.erase(It) : std::next(It);
  }
}

bool isLiving(const EntryPeer &Entry, TimePoint Now) {
  return Now < Entry.Heard + EntrySilence;
}

bool mayPlace(const ControlTurn &T, const HostId &Host) {
  auto Found = T.S.Entries.find(Host);
  return Found != T.S.Entries.end() && isLiving(Found->second, T.Now) &&
         Found->second.Ready;
}

/// The placer that most entry hosts ask; empty: none that lives and is ready.
HostId placerInUse(const ControlTurn &T) {
  std::map<HostId, std::size_t> Votes;
  for (const auto &[Host, Entry] : T.S.Entries) {
    if (isLiving(Entry, T.Now) && mayPlace(T, Entry.Placer))
      Votes[Entry.Placer] += 1;
  }
  auto Fewer = [](const auto &A, const auto &B) { return A.second < B.second; };
  auto Most = std::max_element(Votes.begin(), Votes.end(), Fewer);
  return Most == Votes.end() ? HostId() : Most->first;
}

/// Answers the pattern of rolling restarts, in which hosts go one after the
/// other: who started last is stopped last. A host that just came up may be
/// one that keeps failing, so it has to have run for a while.
HostId nextPlacer(const ControlTurn &T) {
  HostId Best;
  Duration BestUptime = {};
  for (const auto &[Host, Entry] : T.S.Entries) {
    if (!mayPlace(T, Host))
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

/// The leader keeps the host that places requests while it lives and is ready.
/// A new leader keeps the one that the entry hosts ask already.
void choosePlacer(ControlTurn &T) {
  ControlHost &S = T.S;
  if (!isLeader(S, T.Now)) {
    S.Placer = HostId();
    return;
  }
  if (mayPlace(T, S.Placer))
    return;
  HostId Before = S.Placer;
  S.Placer = placerInUse(T);
  if (S.Placer.empty())
    S.Placer = nextPlacer(T);
  if (S.Placer == Before)
    return;
  DecisionRecord Record{"placer", {}, "the one before is not ready", {}};
  Record.add("placer", S.Placer.Value);
  Record.add("before", Before.Value);
  log(T, std::move(Record));
  S.NewsDue = true;
}

std::uint64_t livingEntries(const ControlTurn &T) {
  std::uint64_t Count = 0;
  for (const auto &[Host, Entry] : T.S.Entries)
    Count += isLiving(Entry, T.Now) ? 1 : 0;
  return Count;
}

bool isUnderWay(const ControlTurn &T, const EntryPeer &Entry) {
  auto Bytes = static_cast<double>(T.S.Newest.Text.Data.size());
  Duration Transfer = fromSeconds(Bytes / SlowLinkBytesPerSecond);
  return Entry.Config < Entry.SentConfig &&
         T.Now < Entry.SentAt + SendAgainAfter + Transfer;
}

/// Answers the pattern of a large configuration for many hosts: each gets it
/// once, some at a time.
bool maySendConfig(const ControlTurn &T, const EntryPeer &Entry) {
  const ControlHost &S = T.S;
  bool Lacks = S.Newest.Number > std::max(Entry.Config, Entry.SentConfig);
  if (!Lacks || !isCurrent(S, T.Now))
    return false;
  std::size_t Bytes = 0;
  for (const auto &[Host, Other] : S.Entries)
    Bytes += isUnderWay(T, Other) ? S.Newest.Text.Data.size() : 0;
  return Bytes == 0 || Bytes + S.Newest.Text.Data.size() <= MaxBytesUnderWay;
}

/// What \p Entry lacks; all servers where \p Whole.
SiteState stateFor(ControlTurn &T, EntryPeer &Entry, bool Whole) {
  const ControlHost &S = T.S;
  SiteState State;
  State.Current = isCurrent(S, T.Now);
  State.Leader = leader(S.Log);
  State.Config = S.Newest.Number;
  if (maySendConfig(T, Entry)) {
    State.Text = S.Newest.Text;
    Entry.SentConfig = S.Newest.Number;
    Entry.SentAt = T.Now;
  }
  State.ControlIncarnation = S.Incarnation;
  State.Revision = S.Servers.Revision;
  State.Whole = Whole;
  State.Base = Whole ? 0 : Entry.SentRevision;
  State.Servers =
      changedServers(S.Servers, Whole ? 0 : Entry.SentRevision, T.Now);
  Entry.SentRevision = S.Servers.Revision;
  State.Controls = livingControls(S, T.Now);
  State.Entries = livingEntries(T);
  State.Placer = S.Placer;
  return State;
}

void tellEntries(ControlTurn &T) {
  for (auto &[Host, Entry] : T.S.Entries) {
    if (isLiving(Entry, T.Now))
      send(T, Host, stateFor(T, Entry, false));
  }
}

} // namespace

std::vector<HostId> livingControls(const ControlHost &S, TimePoint Now) {
  std::vector<HostId> Living = {S.Self};
  for (const auto &[Host, Peer] : S.Controls) {
    if (Peer.Heard != TimePoint() && Now < Peer.Heard + ControlSilence)
      Living.push_back(Host);
  }
  return Living;
}

void tickSpread(ControlTurn &T) {
  if (T.Now < T.S.NextNews)
    return;
  sendNews(T);
  forgetHosts(T);
  choosePlacer(T);
}

void onControlHeartbeat(ControlTurn &T, const HostId &From,
                        const ControlHeartbeat &M) {
  ControlHost &S = T.S;
  ControlPeer &Peer = S.Controls[From];
  if (Peer.Heard == TimePoint() || T.Now > Peer.Heard + ControlSilence) {
    DecisionRecord Record{"control_host_heard", {}, "its news came", {}};
    Record.add("control", From.Value);
    log(T, std::move(Record));
  }
  Peer.Heard = T.Now;
  Peer.Leaving = M.Leaving;
  Peer.RequestsFullState = Peer.RequestsFullState || M.RequestsFullState;
  for (const HostId &Host : M.Known) {
    if (Host != S.Self)
      S.Controls[Host]; // Told of this host with the next news.
  }
  for (const ServerReport &Report : M.Reports) {
    if (takeReport(S.Servers, Report, T.Now - Report.Age))
      S.NewsDue = true;
  }
}

void entrySync(ControlTurn &T, const HostId &From,
               IncarnationNumber Incarnation, const EntrySync &M) {
  EntryPeer &Entry = T.S.Entries[From];
  if (Entry.Incarnation != Incarnation || !isLiving(Entry, T.Now)) {
    Entry = EntryPeer();
    Entry.Incarnation = Incarnation;
  }
  Entry.Heard = T.Now;
  Entry.Ready = M.Ready;
  Entry.Placer = M.Placer;
  Entry.Uptime = M.Uptime;
  Entry.Config = M.Config;
  if (!isUnderWay(T, Entry))
    Entry.SentConfig = M.Config;
  bool Whole = M.ControlIncarnation != T.S.Incarnation ||
               M.Revision > T.S.Servers.Revision;
  Entry.SentRevision = Whole ? 0 : M.Revision;
  choosePlacer(T);
  SiteState State = stateFor(T, Entry, Whole);
  State.Sequence = M.Sequence;
  send(T, From, std::move(State));
  settlePuts(T);
}

void entryLost(ControlTurn &T, const HostId &Host) {
  T.S.Entries.erase(Host);
  choosePlacer(T);
}

void relay(ControlTurn &T, const ServerReport &Report) {
  for (auto &[Host, Peer] : T.S.Controls) {
    if (Peer.RequestsFullState || Peer.Reports.size() >= MaxWaitingReports) {
      Peer.RequestsFullState = true;
      continue;
    }
    Peer.Reports.push_back(Report);
    Peer.Since.push_back(T.Now);
  }
}

void spreadChanges(ControlTurn &T) {
  ControlHost &S = T.S;
  if (S.NewsDue) {
    tellEntries(T);
    sendNews(T);
    S.NewsDue = false;
  }
  for (auto &[Host, Entry] : S.Entries) {
    if (isLiving(Entry, T.Now) && maySendConfig(T, Entry))
      send(T, Host, stateFor(T, Entry, false));
  }
}

} // namespace pimento::control
