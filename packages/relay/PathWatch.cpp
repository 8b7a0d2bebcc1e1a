#include "relay/PathWatch.h"

#include <algorithm>

namespace pimento {

namespace {

/// Time in which other hosts answer whether they reach a server.
constexpr Duration DoubtTime = milliseconds(400);
/// Interval at which other hosts are asked about a server in doubt.
constexpr Duration AskInterval = milliseconds(150);
/// What was found of a server is not relied on for longer.
constexpr Duration EvidenceTime = seconds(2);
/// A failure that was not repeated is forgotten after this time.
constexpr Duration FailureRetention = seconds(3);
constexpr Duration ForgetInterval = milliseconds(500);
/// Servers of a service that are probed in turn, at least a few of each kind of
/// path, and few enough that a round takes less than a second.
constexpr std::size_t SampleSize = 8;
constexpr Duration ProbeInterval = milliseconds(100);
/// Probes that are sent at once when a service begins to be watched.
constexpr std::size_t FirstProbes = 3;
/// Servers that must be lost, or reached again, for a change of state; all of a
/// smaller service.
constexpr std::size_t ServersForCut = 2;
constexpr std::size_t ServersForReturn = 3;
/// A path that is back is used after it worked for this time, which doubles
/// with each cut that follows within FlapTime.
constexpr Duration ReturnDelay = milliseconds(300);
constexpr Duration MaxReturnDelay = seconds(4);
constexpr Duration FlapTime = seconds(10);
/// Without any server for this time, requests are refused at once. A server may
/// be silent for a moment.
constexpr Duration NoneUpDelay = milliseconds(300);

bool hasFailed(const ServerPath &P) { return P.FailedAt != TimePoint(); }

bool isRecent(TimePoint At, TimePoint Now) {
  return At != TimePoint() && Now < At + EvidenceTime;
}

bool isInDoubt(const ServerPath &P, TimePoint Now) {
  return hasFailed(P) && P.Finding == PathFinding::Unknown &&
         Now < P.FailedAt + DoubtTime;
}

/// Whether another host has lately reached the server and this host does not.
bool isLost(const ServerPath &P, TimePoint Now) {
  return hasFailed(P) && P.Finding == PathFinding::Reached &&
         isRecent(P.FoundAt, Now) && isRecent(P.LastFailedAt, Now);
}

/// Whether other hosts are to be asked about the server. What was found before
/// is asked about again while the server is not reached.
bool isToBeAsked(const ServerPath &P, TimePoint Now) {
  bool IsOpen =
      P.Finding == PathFinding::Unknown || Now >= P.FoundAt + EvidenceTime / 2;
  return hasFailed(P) && isRecent(P.LastFailedAt, Now) && IsOpen;
}

TimePoint nextAsk(const ServerPath &P) {
  return P.AskedAt == TimePoint() ? TimePoint() : P.AskedAt + AskInterval;
}

void setState(ServicePath &S, PathState State, TimePoint Now) {
  if (S.State == PathState::Cut)
    S.CutEndedAt = Now;
  if (State == PathState::Cut) {
    bool IsFlap = S.CutEndedAt != TimePoint() && Now < S.CutEndedAt + FlapTime;
    S.Flaps = IsFlap ? S.Flaps + 1 : 0;
  }
  S.State = State;
  S.StateSince = Now;
  S.ReachedSince = TimePoint();
}

/// Servers that this host lost and others reach, and those that it reached
/// since the first of these was lost.
struct LossCount {
  std::size_t Lost = 0;
  std::size_t Reached = 0;
};

LossCount countLosses(const PathWatch &W, const std::vector<BackendId> &Ready,
                      TimePoint Now) {
  LossCount Count;
  TimePoint Since = TimePoint::max();
  for (const BackendId &Server : Ready) {
    auto P = W.Servers.find(Server);
    if (P == W.Servers.end() || !isLost(P->second, Now))
      continue;
    Count.Lost += 1;
    Since = std::min(Since, P->second.FailedAt);
  }
  for (const BackendId &Server : Ready) {
    auto P = W.Servers.find(Server);
    if (P != W.Servers.end() && P->second.ReachedAt > Since)
      Count.Reached += 1;
  }
  return Count;
}

/// What the latest probes of the sample found.
struct SampleCount {
  std::size_t Reached = 0;
  std::size_t Failed = 0; // Servers that are down are left out.
  std::size_t Down = 0;
};

SampleCount countSample(const PathWatch &W, const ServicePath &S,
                        TimePoint Now) {
  SampleCount Count;
  for (const BackendId &Server : S.Sample) {
    auto Found = W.Servers.find(Server);
    if (Found == W.Servers.end())
      continue;
    const ServerPath &P = Found->second;
    if (!hasFailed(P)) {
      Count.Reached += isRecent(P.ReachedAt, Now) ? 1 : 0;
      continue;
    }
    if (!isRecent(P.LastFailedAt, Now))
      continue;
    if (P.Finding == PathFinding::Unreached)
      Count.Down += 1;
    else
      Count.Failed += 1;
  }
  return Count;
}

Duration returnDelay(const ServicePath &S) {
  constexpr std::size_t MaxDoublings = 8;
  Duration Delay = ReturnDelay;
  for (std::size_t I = 0; I < std::min(S.Flaps, MaxDoublings); ++I)
    Delay = std::min(2 * Delay, MaxReturnDelay);
  return Delay;
}

/// Whether enough of the sample were reached for long enough.
bool isBack(ServicePath &S, const SampleCount &Count, std::size_t Ready,
            TimePoint Now) {
  std::size_t Up = Ready > Count.Down ? Ready - Count.Down : 1;
  bool IsReached = Count.Reached > Count.Failed &&
                   Count.Reached >= std::min(ServersForReturn, Up);
  if (!IsReached) {
    S.ReachedSince = TimePoint();
    return false;
  }
  if (S.ReachedSince == TimePoint())
    S.ReachedSince = Now;
  return Now >= S.ReachedSince + returnDelay(S);
}

/// What is known of all servers of a service.
struct ServiceCount {
  std::size_t Reached = 0;
  std::size_t Failed = 0;
  std::size_t Lost = 0; // Of the failed ones: reached by other hosts.
  TimePoint FailedSince = TimePoint::max();
};

ServiceCount countServers(const PathWatch &W,
                          const std::vector<BackendId> &Ready, TimePoint Now) {
  ServiceCount Count;
  for (const BackendId &Server : Ready) {
    auto Found = W.Servers.find(Server);
    if (Found == W.Servers.end())
      continue;
    const ServerPath &P = Found->second;
    if (!hasFailed(P)) {
      Count.Reached += isRecent(P.ReachedAt, Now) ? 1 : 0;
      continue;
    }
    if (!isRecent(P.LastFailedAt, Now))
      continue;
    Count.Failed += 1;
    Count.Lost += isLost(P, Now) ? 1 : 0;
    Count.FailedSince = std::min(Count.FailedSince, P.FailedAt);
  }
  return Count;
}

/// Whether as many servers failed as are probed, and neither this host nor any
/// that it asked reaches one. That holds until one is reached.
bool isNoneUp(const PathWatch &W, const ServicePath &S,
              const std::vector<BackendId> &Ready, TimePoint Now) {
  ServiceCount Count = countServers(W, Ready, Now);
  if (Count.Reached > 0 || Count.Lost > 0)
    return false;
  return S.State == PathState::NoneUp ||
         (Count.Failed >= std::min(SampleSize, Ready.size()) &&
          Now - Count.FailedSince >= NoneUpDelay);
}

bool isIn(const std::vector<BackendId> &List, const BackendId &Server) {
  return std::find(List.begin(), List.end(), Server) != List.end();
}

/// In which order servers are taken into the sample: those that failed, then
/// those of which nothing is known, last those that are down.
int sampleRank(const PathWatch &W, const BackendId &Server) {
  auto P = W.Servers.find(Server);
  if (P == W.Servers.end() || !hasFailed(P->second))
    return 1;
  return P->second.Finding == PathFinding::Unreached ? 2 : 0;
}

constexpr int WorstRank = 2;

/// Keeps the sample full. A server that is down gives its place to one that may
/// not be.
void fillSample(const PathWatch &W, ServicePath &S,
                const std::vector<BackendId> &Ready) {
  auto IsUnfit = [&](const BackendId &Server) {
    return !isIn(Ready, Server) || sampleRank(W, Server) == WorstRank;
  };
  S.Sample.erase(std::remove_if(S.Sample.begin(), S.Sample.end(), IsUnfit),
                 S.Sample.end());
  for (int Rank = 0; Rank <= WorstRank; ++Rank) {
    for (const BackendId &Server : Ready) {
      if (S.Sample.size() >= SampleSize)
        return;
      if (sampleRank(W, Server) == Rank && !isIn(S.Sample, Server))
        S.Sample.push_back(Server);
    }
  }
}

PathState nextState(const PathWatch &W, ServicePath &S,
                    const std::vector<BackendId> &Ready, TimePoint Now) {
  SampleCount Count = countSample(W, S, Now);
  if (S.State == PathState::Cut) {
    if (isNoneUp(W, S, Ready, Now))
      return PathState::NoneUp;
    return isBack(S, Count, Ready.size(), Now) ? PathState::Direct
                                               : PathState::Cut;
  }
  LossCount Losses = countLosses(W, Ready, Now);
  bool IsCut = Losses.Lost >= std::min(ServersForCut, Ready.size()) &&
               Losses.Lost > Losses.Reached;
  if (IsCut && !Ready.empty())
    return PathState::Cut;
  if (isNoneUp(W, S, Ready, Now))
    return PathState::NoneUp;
  if (isBack(S, Count, Ready.size(), Now))
    return PathState::Direct;
  return PathState::Watched;
}

} // namespace

const char *toString(PathState State) {
  switch (State) {
  case PathState::Direct:
    return "direct";
  case PathState::Watched:
    return "watched";
  case PathState::Cut:
    return "cut";
  case PathState::NoneUp:
    return "none_up";
  }
  return "unknown";
}

void noteReached(PathWatch &W, const ServiceId &Service,
                 const BackendId &Server, TimePoint Now) {
  W.AnyReachedAt = Now;
  ServerPath &P = W.Servers[Server];
  P.Service = Service;
  P.ReachedAt = Now;
  W.Failed.erase(Server);
  P.FailedAt = TimePoint();
  P.Finding = PathFinding::Unknown;
}

void noteFailed(PathWatch &W, const ServiceId &Service, const BackendId &Server,
                TimePoint Now) {
  ServerPath &P = W.Servers[Server];
  P.Service = Service;
  P.LastFailedAt = Now;
  if (!hasFailed(P)) {
    W.Failed.insert(Server);
    P.FailedAt = Now;
    P.AskedAt = TimePoint();
    P.Finding = PathFinding::Unknown;
  }
  watchService(W, Service, Now);
}

void noteFinding(PathWatch &W, const BackendId &Server, PathFinding Finding,
                 TimePoint Now) {
  auto Found = W.Servers.find(Server);
  if (Found == W.Servers.end() || !hasFailed(Found->second) ||
      Finding == PathFinding::Unknown)
    return;
  ServerPath &P = Found->second;
  // A host that reaches the server proves that it runs; one that does not may
  // have lost its path as well.
  bool IsStronger =
      Finding == PathFinding::Reached || P.Finding != PathFinding::Reached;
  if (!IsStronger && isRecent(P.FoundAt, Now))
    return;
  P.Finding = Finding;
  P.FoundAt = Now;
}

FailureVerdict verdictOf(const PathWatch &W, const BackendId &Server,
                         TimePoint FailedAt, TimePoint Now) {
  auto Found = W.Servers.find(Server);
  if (Found != W.Servers.end()) {
    const ServerPath &P = Found->second;
    if (P.ReachedAt > FailedAt)
      return FailureVerdict::ServerAtFault;
    if (P.Finding == PathFinding::Reached)
      return FailureVerdict::PathAtFault;
    if (P.Finding == PathFinding::Unreached)
      return FailureVerdict::ServerAtFault;
  }
  if (Now < FailedAt + DoubtTime)
    return FailureVerdict::Open;
  return W.AnyReachedAt > FailedAt ? FailureVerdict::ServerAtFault
                                   : FailureVerdict::Undecided;
}

bool isPathDoubted(const PathWatch &W, const BackendId &Server, TimePoint Now) {
  auto Found = W.Servers.find(Server);
  if (Found == W.Servers.end())
    return false;
  const ServerPath &P = Found->second;
  return isInDoubt(P, Now) || isLost(P, Now);
}

std::vector<DoubtedServer> takeDoubts(PathWatch &W, std::size_t Max,
                                      TimePoint Now) {
  std::vector<std::pair<TimePoint, BackendId>> Due;
  for (const BackendId &Id : W.Failed) {
    const ServerPath &P = W.Servers.at(Id);
    if (isToBeAsked(P, Now) && Now >= nextAsk(P))
      Due.emplace_back(P.AskedAt, Id);
  }
  std::sort(Due.begin(), Due.end());
  std::vector<DoubtedServer> Doubts;
  for (const auto &[AskedAt, Id] : Due) {
    if (Doubts.size() == Max)
      break;
    ServerPath &P = W.Servers.at(Id);
    P.AskedAt = Now;
    Doubts.push_back({Id, 0, Now - P.FailedAt});
  }
  return Doubts;
}

std::vector<DoubtedServer> lostServers(const PathWatch &W, std::size_t Max,
                                       TimePoint Now) {
  std::vector<ServiceId> Services = cutServices(W);
  std::vector<DoubtedServer> Lost;
  for (const ServiceId &Service : Services) {
    std::size_t Count = std::max<std::size_t>(1, Max / Services.size());
    for (const BackendId &Id : W.Failed) {
      const ServerPath &P = W.Servers.at(Id);
      if (P.Service != Service || Count == 0 || Lost.size() == Max)
        continue;
      Lost.push_back({Id, 0, Now - P.LastFailedAt});
      Count -= 1;
    }
  }
  return Lost;
}

PathState pathState(const PathWatch &W, const ServiceId &Service) {
  auto Found = W.Services.find(Service);
  return Found == W.Services.end() ? PathState::Direct : Found->second.State;
}

void watchService(PathWatch &W, const ServiceId &Service, TimePoint Now) {
  ServicePath &S = W.Services[Service];
  if (S.State != PathState::Direct)
    return;
  setState(S, PathState::Watched, Now);
  S.Sample.clear();
  S.NextProbe = 0;
  S.Burst = FirstProbes;
  S.ProbeAt = Now;
}

bool updateState(PathWatch &W, const ServiceId &Service,
                 const std::vector<BackendId> &Ready, TimePoint Now) {
  auto Found = W.Services.find(Service);
  if (Found == W.Services.end() || Found->second.State == PathState::Direct)
    return false;
  ServicePath &S = Found->second;
  fillSample(W, S, Ready);
  PathState State =
      Ready.empty() ? PathState::Direct : nextState(W, S, Ready, Now);
  if (State == S.State)
    return false;
  setState(S, State, Now);
  return true;
}

std::vector<BackendId> takeProbes(PathWatch &W, const ServiceId &Service,
                                  const std::vector<BackendId> &Ready,
                                  TimePoint Now) {
  std::vector<BackendId> Probes;
  auto Found = W.Services.find(Service);
  if (Found == W.Services.end() || Found->second.State == PathState::Direct ||
      Now < Found->second.ProbeAt)
    return Probes;
  ServicePath &S = Found->second;
  fillSample(W, S, Ready);
  std::size_t Count =
      std::min(std::max<std::size_t>(S.Burst, 1), S.Sample.size());
  S.Burst = 0;
  for (std::size_t I = 0; I < Count; ++I)
    Probes.push_back(S.Sample[S.NextProbe++ % S.Sample.size()]);
  S.ProbeAt = Now + ProbeInterval;
  return Probes;
}

std::vector<ServiceId> watchedServices(const PathWatch &W) {
  std::vector<ServiceId> Services;
  for (const auto &[Service, S] : W.Services) {
    if (S.State != PathState::Direct)
      Services.push_back(Service);
  }
  return Services;
}

std::vector<ServiceId> cutServices(const PathWatch &W) {
  std::vector<ServiceId> Services;
  for (const auto &[Service, S] : W.Services) {
    if (S.State == PathState::Cut)
      Services.push_back(Service);
  }
  return Services;
}

std::vector<ServiceId> unreachedServices(const PathWatch &W) {
  std::vector<ServiceId> Services;
  for (const auto &[Service, S] : W.Services) {
    if (S.State == PathState::Cut || S.State == PathState::NoneUp)
      Services.push_back(Service);
  }
  return Services;
}

TimePoint nextProbe(const PathWatch &W) {
  TimePoint Next = TimePoint::max();
  for (const auto &[Service, S] : W.Services) {
    if (S.State != PathState::Direct)
      Next = std::min(Next, S.ProbeAt);
  }
  return Next;
}

TimePoint nextDoubt(const PathWatch &W, TimePoint Now) {
  TimePoint Next = TimePoint::max();
  for (const BackendId &Id : W.Failed) {
    const ServerPath &P = W.Servers.at(Id);
    if (isToBeAsked(P, Now))
      Next = std::min(Next, nextAsk(P));
  }
  return Next;
}

void forgetPaths(PathWatch &W, TimePoint Now) {
  if (Now < W.ForgetAt)
    return;
  W.ForgetAt = Now + ForgetInterval;
  for (auto It = W.Servers.begin(); It != W.Servers.end();) {
    const ServerPath &P = It->second;
    TimePoint Latest = std::max(P.ReachedAt, P.LastFailedAt);
    bool IsOld = Now > Latest + FailureRetention;
    if (IsOld)
      W.Failed.erase(It->first);
    It = IsOld ? W.Servers.erase(It) : std::next(It);
  }
  for (auto It = W.Services.begin(); It != W.Services.end();) {
    const ServicePath &S = It->second;
    bool IsOld = S.State == PathState::Direct && Now > S.StateSince + FlapTime;
    It = IsOld ? W.Services.erase(It) : std::next(It);
  }
}

} // namespace pimento
