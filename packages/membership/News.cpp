#include "membership/MembershipParts.h"

#include <algorithm>

namespace pimento {

namespace {

constexpr std::size_t HostUpdateBytes = 24; // On the wire, about.
// How often one piece of news rides on pings. Gossip reaches nearly all hosts
// before; this is for the few that it missed, and comparing registries for
// those that this misses too.
constexpr std::uint32_t SendLimit = 6;

HostUpdate hostNews(const MembershipState &S, const HostId &Host) {
  if (Host == S.Config.Self)
    return ownUpdate(S);
  return updateOf(Host, S.Hosts.at(Host));
}

/// The keys of \p All, least told first.
template <class Id>
std::vector<Id> leastTold(const std::map<Id, News> &All, std::size_t Most) {
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

template <class Id> void countSend(std::map<Id, News> &All, const Id &Key) {
  News &Item = All.at(Key);
  if (++Item.Sends >= SendLimit && Item.Pushed)
    All.erase(Key);
}

} // namespace

HostUpdate ownUpdate(const MembershipState &S) {
  return {S.Config.Self, S.Config.Incarnation, S.Version, S.Own};
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

void addHostNews(MembershipState &S, const HostId &Host, bool Own,
                 TimePoint Now) {
  S.QueuedHostUpdates[Host] = {0, false, Own};
  S.NextGossip = std::min(S.NextGossip, Now + S.Config.GossipDelay);
}

void addBackendNews(MembershipState &S, const BackendId &Id, bool Own,
                    TimePoint Now) {
  S.QueuedBackendUpdates[Id] = {0, false, Own};
  S.NextGossip = std::min(S.NextGossip, Now + S.Config.GossipDelay);
}

NewsPage takeNews(MembershipState &S, const HostId &To, TimePoint Now) {
  NewsPage Page;
  Page.Hosts.push_back(ownUpdate(S));
  auto Target = S.Hosts.find(To);
  if (Target != S.Hosts.end() && Target->second.Incarnation != 0 &&
      Target->second.Status != HostStatus::Alive)
    Page.Hosts.push_back(updateOf(To, Target->second)); // It may refute.
  std::size_t Left = S.Config.NewsBytes;

  for (const HostId &Host :
       leastTold(S.QueuedHostUpdates, S.Config.NewsBytes / HostUpdateBytes)) {
    if (Left < HostUpdateBytes)
      break;
    Left -= HostUpdateBytes;
    Page.Hosts.push_back(hostNews(S, Host));
    countSend(S.QueuedHostUpdates, Host);
  }
  constexpr std::size_t MostRecords = 32;
  for (const BackendId &Id : leastTold(S.QueuedBackendUpdates, MostRecords)) {
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
  bool Own = false;
  for (auto &[Host, Item] : S.QueuedHostUpdates) {
    if (Item.Pushed || Left < HostUpdateBytes)
      continue;
    Item.Pushed = true;
    Own |= Item.Own;
    Left -= HostUpdateBytes;
    if (Host != S.Config.Self)
      G.Hosts.push_back(hostNews(S, Host));
  }
  for (auto &[Id, Item] : S.QueuedBackendUpdates) {
    const BackendRecord &R = S.Backends.Records.at(Id);
    if (Item.Pushed || Left < recordBytes(R))
      continue;
    Item.Pushed = true;
    Own |= Item.Own;
    Left -= recordBytes(R);
    G.Backends.push_back(recordToSend(S, R, Now));
  }
  std::uint32_t Count = Own ? S.Config.OwnFanout : S.Config.Fanout;
  for (const HostId &To : randomHosts(S, Count, HostId()))
    Out.Messages.push_back({To, G});
  // A burst is spread over time instead of filling the network at once.
  constexpr std::size_t Nearly = 1024;
  if (Left < Nearly)
    S.NextGossip = Now + S.Config.GossipDelay * 5;
}

std::vector<HostId> randomHosts(MembershipState &S, std::size_t Count,
                                const HostId &Except) {
  std::vector<HostId> Chosen;
  constexpr std::size_t Patience = 4; // Draws for one host.
  std::size_t Draws = Patience * Count;
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
