#include "membership/Hashing.h"
#include "membership/MembershipParts.h"

#include <xxhash.h>

#include <algorithm>

namespace pimento {

namespace {

/// Rendezvous hashing: the hosts with the highest ranks watch a server.
std::uint64_t rankOf(const HostId &Host, const BackendId &Id) {
  return mix(hashText(Host.Value) ^ mix(hashText(Id.Value)));
}

/// Inserts \p Host into \p W by rank. True where \p W changed.
bool insertByRank(Watchers &W, const HostId &Host, std::uint64_t Rank) {
  std::size_t Place = 0;
  while (Place < WatcherCount && !W.Hosts[Place].empty() &&
         Rank <= W.Ranks[Place])
    ++Place;
  if (Place == WatcherCount)
    return false;
  for (std::size_t I = WatcherCount - 1; I > Place; --I) {
    W.Hosts[I] = W.Hosts[I - 1];
    W.Ranks[I] = W.Ranks[I - 1];
  }
  W.Hosts[Place] = Host;
  W.Ranks[Place] = Rank;
  return true;
}

Watchers rankAll(const MembershipState &S, const BackendId &Id) {
  Watchers W;
  std::uint64_t IdHash = mix(hashText(Id.Value));
  insertByRank(W, S.Config.Self, mix(hashText(S.Config.Self.Value) ^ IdHash));
  for (const HostId &Host : S.Running)
    insertByRank(W, Host, mix(hashText(Host.Value) ^ IdHash));
  return W;
}

void storeWatchers(MembershipState &S, const BackendId &Id, Watchers W) {
  if (W.Hosts[0] == S.Config.Self)
    S.Backends.WatchedHere.insert(Id);
  else
    S.Backends.WatchedHere.erase(Id);
  S.Backends.WatchersById[Id] = std::move(W);
}

} // namespace

std::uint64_t hashText(std::string_view Text) {
  return XXH64(Text.data(), Text.size(), 0);
}

void watch(MembershipState &S, const BackendId &Id) {
  if (S.Backends.WatchersById.count(Id) == 0)
    storeWatchers(S, Id, rankAll(S, Id));
}

void unwatch(MembershipState &S, const BackendId &Id) {
  S.Backends.WatchersById.erase(Id);
  S.Backends.WatchedHere.erase(Id);
}

void onHostUp(MembershipState &S, const HostId &Host) {
  for (auto &[Id, W] : S.Backends.WatchersById) {
    Watchers Changed = W;
    if (insertByRank(Changed, Host, rankOf(Host, Id)))
      storeWatchers(S, Id, std::move(Changed));
  }
}

void onHostDown(MembershipState &S, const HostId &Host) {
  for (auto &[Id, W] : S.Backends.WatchersById) {
    if (std::find(W.Hosts.begin(), W.Hosts.end(), Host) != W.Hosts.end())
      storeWatchers(S, Id, rankAll(S, Id));
  }
}

WatcherList watchersOf(const MembershipState &S, const BackendId &Id) {
  auto Found = S.Backends.WatchersById.find(Id);
  if (Found != S.Backends.WatchersById.end())
    return Found->second.Hosts;
  return rankAll(S, Id).Hosts;
}

} // namespace pimento
