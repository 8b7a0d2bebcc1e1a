#include "membership/MembershipParts.h"

#include <algorithm>

namespace pimento {

namespace {

constexpr std::size_t HostUpdateBytes = 24; // Approximate size on the wire.
// Number of pings that carry one update. Gossip has reached nearly all hosts by
// then; pings reach the few that it missed, and registry comparison the rest.
constexpr std::uint32_t SendLimit = 6;

HostUpdate currentUpdate(const MembershipState &S, const HostId &Host) {
  if (Host == S.Config.Self)
    return ownUpdate(S);
  return updateOf(Host, S.Hosts.at(Host));
}

/// At most \p Most keys of \p All, those with the fewest sends first.
template <class Id>
std::vector<Id> leastSent(const std::map<Id, QueuedUpdate> &All,
                          std::size_t Most) {
  std::vector<std::pair<std::uint32_t, const Id *>> Order;
  Order.reserve(All.size());
  for (const auto &Entry : All)
    Order.emplace_back(Entry.second.Sends, &Entry.first);
  std::size_t Count = std::min(Most, Order.size());
  std::partial_sort(
      Order.begin(), Order.begin() + static_cast<std::ptrdiff_t>(Count),
      Order.end(), [](const auto &A, const auto &B) {
        return A.first != B.first ? A.first < B.first : *A.second < *B.second;
      });
  std::vector<Id> Chosen;
  for (std::size_t I = 0; I < Count; ++I)
    Chosen.push_back(*Order[I].second);
  return Chosen;
}

template <class Id>
void countSend(std::map<Id, QueuedUpdate> &All, const Id &Key) {
  QueuedUpdate &Item = All.at(Key);
  if (++Item.Sends >= SendLimit && Item.Pushed)
    All.erase(Key);
}

} // namespace

HostUpdate ownUpdate(const MembershipState &S) {
  return {S.Config.Self, S.Config.Incarnation, S.Version, S.OwnStatus};
}

HostUpdate updateOf(const HostId &Host, const HostView &View) {
  return {Host, View.Incarnation, View.Version, View.Status};
}

std::size_t recordBytes(const BackendRecord &R) {
  constexpr std::size_t Fixed = 48;
  std::size_t Bytes = Fixed + R.Id.Value.size() + R.Address.size() +
                      R.DataCentre.Value.size() + R.Service.Value.size();
  for (const ModelName &Model : R.Models)
    Bytes += 2 + Model.Value.size();
  return Bytes;
}

void queueHostUpdate(MembershipState &S, const HostId &Host, bool IsOrigin,
                     TimePoint Now) {
  S.QueuedHostUpdates[Host] = {0, false, IsOrigin};
  S.NextGossip = std::min(S.NextGossip, Now + S.Config.GossipDelay);
}

void queueBackendUpdate(MembershipState &S, const BackendId &Id, bool IsOrigin,
                        TimePoint Now) {
  S.QueuedBackendUpdates[Id] = {0, false, IsOrigin};
  S.NextGossip = std::min(S.NextGossip, Now + S.Config.GossipDelay);
}

UpdatePage takeUpdates(MembershipState &S, const HostId &To, TimePoint Now) {
  UpdatePage Page;
  Page.Hosts.push_back(ownUpdate(S));
  auto Target = S.Hosts.find(To);
  if (Target != S.Hosts.end() && Target->second.Incarnation != 0 &&
      Target->second.Status != HostStatus::Alive)
    Page.Hosts.push_back(updateOf(To, Target->second)); // Lets To refute.
  std::size_t Left = S.Config.PingUpdateBytes;

  for (const HostId &Host : leastSent(
           S.QueuedHostUpdates, S.Config.PingUpdateBytes / HostUpdateBytes)) {
    if (Left < HostUpdateBytes)
      break;
    Left -= HostUpdateBytes;
    Page.Hosts.push_back(currentUpdate(S, Host));
    countSend(S.QueuedHostUpdates, Host);
  }
  constexpr std::size_t MostRecords = 32;
  for (const BackendId &Id : leastSent(S.QueuedBackendUpdates, MostRecords)) {
    const BackendRecord &R = S.Backends.Records.at(Id);
    std::size_t Bytes = recordBytes(R);
    if (Bytes > Left && !Page.Backends.empty())
      break;
    Left -= std::min(Left, Bytes);
    Page.Backends.push_back(recordToSend(S, R, Now));
    countSend(S.QueuedBackendUpdates, Id);
  }
  return Page;
}

void pushGossip(MembershipState &S, TimePoint Now, MembershipOutputs &Out) {
  S.NextGossip = TimePoint::max();
  Gossip G;
  G.Hosts.push_back(ownUpdate(S));
  std::size_t Left = S.Config.GossipBytes;
  bool IsOrigin = false;
  for (auto &[Host, Item] : S.QueuedHostUpdates) {
    if (Item.Pushed || Left < HostUpdateBytes)
      continue;
    Item.Pushed = true;
    IsOrigin |= Item.IsOrigin;
    Left -= HostUpdateBytes;
    if (Host != S.Config.Self)
      G.Hosts.push_back(currentUpdate(S, Host));
  }
  for (auto &[Id, Item] : S.QueuedBackendUpdates) {
    const BackendRecord &R = S.Backends.Records.at(Id);
    if (Item.Pushed || Left < recordBytes(R))
      continue;
    Item.Pushed = true;
    IsOrigin |= Item.IsOrigin;
    Left -= recordBytes(R);
    G.Backends.push_back(recordToSend(S, R, Now));
  }
  std::uint32_t Count = IsOrigin ? S.Config.OriginFanout : S.Config.Fanout;
  for (const HostId &To : randomHosts(S, Count, HostId()))
    Out.Messages.push_back({To, G});
  // A full gossip means that more updates may be queued; the next one is
  // delayed so that a burst does not flood the network.
  constexpr std::size_t MinSpareBytes = 1024;
  if (Left < MinSpareBytes)
    S.NextGossip = Now + S.Config.GossipDelay * 5;
}

std::vector<HostId> randomHosts(MembershipState &S, std::size_t Count,
                                const HostId &Except) {
  std::vector<HostId> Chosen;
  constexpr std::size_t DrawsPerHost = 4;
  std::size_t Draws = DrawsPerHost * Count;
  while (Chosen.size() < Count && Draws-- > 0 && !S.Running.empty()) {
    const HostId &Host = S.Running[below(S.Rng, S.Running.size())];
    if (Host == Except ||
        std::find(Chosen.begin(), Chosen.end(), Host) != Chosen.end())
      continue;
    Chosen.push_back(Host);
  }
  return Chosen;
}

} // namespace pimento
