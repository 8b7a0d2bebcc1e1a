#include "relay/RelayPeers.h"

#include <algorithm>

namespace pimento {

namespace {

/// A host that does not reply within this time is not used. It may have to
/// probe servers first.
constexpr Duration ReplyTimeout = milliseconds(350);
/// A reply is relied on for this time.
constexpr Duration ReachTime = milliseconds(1500);
/// Relays in use are asked again at this interval, so that a lost one is found
/// and their load is known.
constexpr Duration RefreshInterval = milliseconds(400);
/// A timeout that is noticed so much later says that this host was held up.
constexpr Duration HeldUpTime = milliseconds(100);
/// A host is asked again at the earliest after this time.
constexpr Duration MinAskInterval = milliseconds(40);
constexpr Duration Avoidance = milliseconds(500);
/// A relay in the same data centre is preferred while it has fewer requests of
/// other hosts than this.
constexpr std::uint64_t NearLoad = 16;

bool isUsable(const RelayPeer &Peer, const ServiceId &Service, TimePoint Now) {
  auto Reaches = Peer.ReachesAt.find(Service);
  return Now >= Peer.AvoidUntil && Reaches != Peer.ReachesAt.end() &&
         Now < Reaches->second + ReachTime;
}

std::uint64_t loadOf(const RelayPeer &Peer) {
  return std::max<std::uint64_t>(Peer.Load, Peer.InFlight);
}

std::uint64_t markAsked(RelayPeers &P, RelayPeer &Peer, TimePoint Now) {
  Peer.PendingQuery = ++P.LastSequence;
  Peer.AskedAt = Now;
  return Peer.PendingQuery;
}

using HostList = std::vector<HostId>;

const HostId &drawLessLoaded(const RelayPeers &P, const HostList &Hosts,
                             Random &Rng) {
  const HostId &A = Hosts[below(Rng, Hosts.size())];
  const HostId &B = Hosts[below(Rng, Hosts.size())];
  return loadOf(P.Hosts.at(A)) <= loadOf(P.Hosts.at(B)) ? A : B;
}

HostList usableHosts(const RelayPeers &P, const ServiceId &Service,
                     TimePoint Now) {
  HostList Hosts;
  for (const auto &[Host, Peer] : P.Hosts) {
    if (isUsable(Peer, Service, Now))
      Hosts.push_back(Host);
  }
  return Hosts;
}

void shuffle(HostList &Hosts, Random &Rng) {
  for (std::size_t I = Hosts.size(); I > 1; --I)
    std::swap(Hosts[I - 1], Hosts[below(Rng, I)]);
}

} // namespace

void setCandidates(RelayPeers &P, const std::vector<RelayCandidate> &List,
                   TimePoint Now) {
  P.ListedAt = Now;
  for (auto It = P.Hosts.begin(); It != P.Hosts.end();) {
    auto Is = [&](const RelayCandidate &C) { return C.Host == It->first; };
    bool IsListed = std::any_of(List.begin(), List.end(), Is);
    bool IsUsed = It->second.InFlight > 0;
    for (const auto &[Service, At] : It->second.ReachesAt)
      IsUsed = IsUsed || Now < At + ReachTime;
    It = IsListed || IsUsed ? std::next(It) : P.Hosts.erase(It);
  }
  for (const RelayCandidate &C : List)
    P.Hosts[C.Host].DataCentre = C.DataCentre;
}

std::vector<std::pair<HostId, std::uint64_t>>
takeHostsToAsk(RelayPeers &P, const DataCentreId &Here, Random &Rng,
               std::size_t Count, TimePoint Now) {
  HostList Hosts;
  for (const auto &[Host, Peer] : P.Hosts) {
    bool IsAskable = Peer.PendingQuery == 0 && Now >= Peer.AvoidUntil &&
                     Now >= Peer.AskedAt + MinAskInterval;
    if (IsAskable)
      Hosts.push_back(Host);
  }
  shuffle(Hosts, Rng);
  auto IsElsewhere = [&](const HostId &Host) {
    return P.Hosts.at(Host).DataCentre != Here;
  };
  auto Elsewhere = std::find_if(Hosts.begin(), Hosts.end(), IsElsewhere);
  if (Elsewhere != Hosts.end())
    std::iter_swap(Hosts.begin(), Elsewhere);
  std::vector<std::pair<HostId, std::uint64_t>> Asked;
  for (const HostId &Host : Hosts) {
    if (Asked.size() == Count)
      break;
    Asked.emplace_back(Host, markAsked(P, P.Hosts.at(Host), Now));
  }
  return Asked;
}

std::vector<std::pair<HostId, std::uint64_t>> takeRelaysToAsk(RelayPeers &P,
                                                              TimePoint Now) {
  std::vector<std::pair<HostId, std::uint64_t>> Asked;
  for (auto &[Host, Peer] : P.Hosts) {
    bool IsUsed = Peer.InFlight > 0;
    for (const auto &[Service, At] : Peer.ReachesAt)
      IsUsed = IsUsed || Now < At + ReachTime;
    if (IsUsed && Peer.PendingQuery == 0 &&
        Now >= Peer.AskedAt + RefreshInterval)
      Asked.emplace_back(Host, markAsked(P, Peer, Now));
  }
  return Asked;
}

void noteReply(RelayPeers &P, const HostId &From, const PathReply &Reply,
               const std::vector<ServiceId> &Reached, TimePoint Now) {
  auto Found = P.Hosts.find(From);
  if (Found == P.Hosts.end() || Reply.Sequence != Found->second.PendingQuery)
    return;
  RelayPeer &Peer = Found->second;
  Peer.PendingQuery = 0;
  Peer.Load = Reply.Relayed;
  if (!Reply.TakesRequests)
    return;
  for (const ServiceId &Service : Reached)
    Peer.ReachesAt[Service] = Now;
}

void avoidRelay(RelayPeers &P, const HostId &Host, TimePoint Now) {
  auto Found = P.Hosts.find(Host);
  if (Found == P.Hosts.end())
    return;
  Found->second.AvoidUntil = Now + Avoidance;
  Found->second.ReachesAt.clear();
  Found->second.PendingQuery = 0;
}

std::vector<HostId> takeSilentHosts(RelayPeers &P, TimePoint Now) {
  std::vector<HostId> Silent;
  for (auto &[Host, Peer] : P.Hosts) {
    if (Peer.PendingQuery == 0 || Now < Peer.AskedAt + ReplyTimeout)
      continue;
    bool WasHeldUp = Now > Peer.AskedAt + ReplyTimeout + HeldUpTime;
    Peer.PendingQuery = 0;
    if (WasHeldUp)
      continue;
    Silent.push_back(Host);
    avoidRelay(P, Host, Now);
  }
  return Silent;
}

HostId chooseRelay(const RelayPeers &P, const ServiceId &Service,
                   const DataCentreId &Here, Random &Rng, TimePoint Now,
                   const HostId &Avoid) {
  HostList Hosts = usableHosts(P, Service, Now);
  Hosts.erase(std::remove(Hosts.begin(), Hosts.end(), Avoid), Hosts.end());
  if (Hosts.empty())
    return HostId();
  HostList Near;
  for (const HostId &Host : Hosts) {
    const RelayPeer &Peer = P.Hosts.at(Host);
    if (Peer.DataCentre == Here && loadOf(Peer) < NearLoad)
      Near.push_back(Host);
  }
  return drawLessLoaded(P, Near.empty() ? Hosts : Near, Rng);
}

std::size_t relayCount(const RelayPeers &P, const ServiceId &Service,
                       TimePoint Now) {
  return usableHosts(P, Service, Now).size();
}

TimePoint nextReplyTimeout(const RelayPeers &P) {
  TimePoint Next = TimePoint::max();
  for (const auto &[Host, Peer] : P.Hosts) {
    if (Peer.PendingQuery != 0)
      Next = std::min(Next, Peer.AskedAt + ReplyTimeout);
  }
  return Next;
}

} // namespace pimento
