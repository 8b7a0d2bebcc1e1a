#include "membership/Hashing.h"
#include "membership/MembershipParts.h"

#include <xxhash.h>

#include <algorithm>

namespace pimento {

namespace {

/// Rendezvous hashing: of all hosts those with the highest rank watch.
std::uint64_t rankOf(const HostId &Host, const BackendId &Id) {
  return mix(hashText(Host.Value) ^ mix(hashText(Id.Value)));
}

/// Puts \p Host where it belongs in \p W. True where this changed something.
bool offer(Watchers &W, const HostId &Host, std::uint64_t Rank) {
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
  offer(W, S.Config.Self, mix(hashText(S.Config.Self.Value) ^ IdHash));
  for (const HostId &Host : S.Running)
    offer(W, Host, mix(hashText(Host.Value) ^ IdHash));
  return W;
}

void store(MembershipState &S, const BackendId &Id, Watchers W) {
  if (W.Hosts[0] == S.Config.Self)
    S.Backends.Mine.insert(Id);
  else
    S.Backends.Mine.erase(Id);
  S.Backends.Watch[Id] = std::move(W);
}

} // namespace

std::uint64_t hashText(std::string_view Text) {
  return XXH64(Text.data(), Text.size(), 0);
}

void watch(MembershipState &S, const BackendId &Id) {
  if (S.Backends.Watch.count(Id) == 0)
    store(S, Id, rankAll(S, Id));
}

void unwatch(MembershipState &S, const BackendId &Id) {
  S.Backends.Watch.erase(Id);
  S.Backends.Mine.erase(Id);
}

void hostJoins(MembershipState &S, const HostId &Host) {
  for (auto &[Id, W] : S.Backends.Watch) {
    Watchers Changed = W;
    if (offer(Changed, Host, rankOf(Host, Id)))
      store(S, Id, std::move(Changed));
  }
}

void hostLeaves(MembershipState &S, const HostId &Host) {
  for (auto &[Id, W] : S.Backends.Watch) {
    if (std::find(W.Hosts.begin(), W.Hosts.end(), Host) != W.Hosts.end())
      store(S, Id, rankAll(S, Id));
  }
}

WatcherList watchersOf(const MembershipState &S, const BackendId &Id) {
  auto Found = S.Backends.Watch.find(Id);
  if (Found != S.Backends.Watch.end())
    return Found->second.Hosts;
  return rankAll(S, Id).Hosts;
}

} // namespace pimento
