//===- Backends.h - The registry of backend servers -------------*- C++ -*-===//
//
// There is no list of backend servers: they announce themselves to any host.
// The host that hears an announcement makes or changes the server's record,
// which gossip carries to all hosts, and tells the server's watchers: two of
// the hosts that rank highest for its id among those alive. The first watcher
// declares a server gone that nobody has heard within AnnounceTimeout, after
// asking the other watchers and the host that heard it last.
//
// Of two records the higher life wins, then the one that left, then the higher
// version. A server that said it leaves stays out for the rest of that life. A
// server that fell silent comes back by an announcement newer than the last one
// known. Records of gone servers are kept for TombstoneTime, and a host that
// saw no majority for half of it forgets its registry and learns it anew.
//
// Index
//   BackendsState       plain state, part of MembershipState
//   BackendChange       output
//   findBackend() ...   questions
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "wire/MembershipMessages.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace pimento {

constexpr std::size_t RegistryBuckets = 128;
constexpr std::size_t MaxBackends = 50000; // Further ones are refused.

/// The last announcement of a server that this host knows of.
struct Heard {
  IncarnationNumber Incarnation = 0;
  std::uint64_t Sequence = 0;
  TimePoint At;      // Not after; by the local clock.
  HostId By;         // Whoever heard it; empty: this host.
  TimePoint Told;    // When this host last told the watchers.
  TimePoint Queried; // When the other watchers were asked, if At is older.
};

/// Hosts that are kept in mind for each server. The first watches; a host
/// that hears the server, or asks about it, turns to two others among them.
constexpr std::size_t WatcherCount = 3;
using WatcherList = std::array<HostId, WatcherCount>; // Empty: none.

/// The hosts that rank highest for one server, with their ranks.
struct Watchers {
  WatcherList Hosts;
  std::array<std::uint64_t, WatcherCount> Ranks{};
};

struct BackendsState {
  std::map<BackendId, BackendRecord> Records; // Gone ones included.
  std::map<BackendId, Heard> Heards;          // Of servers met or watched.
  std::map<BackendId, TimePoint> GoneSince;   // Of the gone ones.
  std::map<BackendId, Watchers> Watch;        // Of those that are not gone.
  std::set<BackendId> Mine; // Those whose first watcher is this host.
  std::array<std::uint64_t, RegistryBuckets> Hashes{};     // Of those here.
  std::array<std::uint64_t, RegistryBuckets> GoneHashes{}; // Of gone ones.
  TimePoint NextSweep; // For silence and gone servers.
  TimePoint NextSync;  // Registry pull allowed from here on.
  HostId DiffersFrom;  // Whose digest was another one; empty: nobody's.
  TimePoint DiffersSince;
  TimePoint LastMajority; // When a majority of hosts was last seen.
  bool Ready = false;     // Learnt the registry since the start.
};

struct BackendChange {
  BackendRecord Record; // As it is now; Status Gone: no longer there.
};

struct MembershipState;

/// The record; null where none is known or it is gone.
const BackendRecord *findBackend(const MembershipState &S, const BackendId &Id);

/// Engines that offer \p Model and take new work, by id.
std::vector<const BackendRecord *> enginesOf(const MembershipState &S,
                                             const ModelName &Model);

/// Plain servers that run \p Service and take new work, by id.
std::vector<const BackendRecord *> serversOf(const MembershipState &S,
                                             const ServiceId &Service);

/// All that are not gone, leaving ones included, by id.
std::vector<const BackendRecord *> allBackends(const MembershipState &S);

/// The hosts that watch \p Id, as this host sees it; the last ones are empty
/// where too few hosts are alive.
WatcherList watchersOf(const MembershipState &S, const BackendId &Id);

/// Whether the registry was learnt since the start: a host that has just
/// started knows few backend servers.
bool registryReady(const MembershipState &S);

} // namespace pimento
