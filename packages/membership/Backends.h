//===- Backends.h - The registry of backend servers -------------*- C++ -*-===//
//
// No list of backend servers is configured: each server announces itself
// periodically to any host. The host that receives an announcement creates or
// updates the server's record. Gossip carries the record to all hosts.
//
// For each server the live hosts are ranked by rendezvous hashing of its id.
// The three highest are its watchers. The host that receives announcements
// regularly notifies up to two of them. The first watcher declares the server
// gone when no announcement arrived for AnnounceTimeout, after querying the
// other watchers and the host that received the last announcement.
//
// Of two records of a server, the higher incarnation wins, then the record of
// a server that announced its departure, then the higher version. A server that
// announced its departure stays out for the rest of its incarnation. A server
// that was declared gone for silence returns with an announcement newer than
// the last known one. Records of gone servers are kept for TombstoneTime. A
// host that saw no majority of hosts for half of that time clears its registry
// and learns it again from other hosts.
//
// Index
//   BackendsState       plain state, part of MembershipState
//   BackendChange       output
//   findBackend() ...   queries
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

/// Backend ids are hashed into this many buckets, which hosts compare.
constexpr std::size_t RegistryBuckets = 128;
/// Maximum number of records, including those of gone servers. Announcements
/// and records of further servers are ignored.
constexpr std::size_t MaxBackends = 50000;

/// The last announcement of a server that this host knows of.
struct LastAnnouncement {
  IncarnationNumber Incarnation = 0; // Incarnation of the server.
  std::uint64_t Sequence = 0;
  TimePoint ReceivedAt; // Upper bound of the time of receipt, local clock.
  HostId ReceivedBy;    // Host that received or reported it; empty: this host.
  TimePoint WatchersNotified; // When this host last notified the watchers.
  TimePoint WatchersQueried;  // Last query of the other watchers.
};

/// Number of watchers of each server. The first watcher detects silence. A host
/// that receives an announcement, or queries for one, contacts up to two
/// watchers other than itself.
constexpr std::size_t WatcherCount = 3;
using WatcherList = std::array<HostId, WatcherCount>; // Empty id: no host.

/// The hosts that rank highest for one server, with their ranks.
struct Watchers {
  WatcherList Hosts;
  std::array<std::uint64_t, WatcherCount> Ranks{};
};

struct BackendsState {
  std::map<BackendId, BackendRecord> Records; // Includes gone servers.
  // Last announcements of servers that this host received or watches.
  std::map<BackendId, LastAnnouncement> LastAnnouncements;
  std::map<BackendId, TimePoint> GoneSince;   // Gone servers only.
  std::map<BackendId, Watchers> WatchersById; // Servers that are not gone.
  std::set<BackendId> WatchedHere; // Servers whose first watcher is this host.
  // Hashes of the records of servers that are not gone, by bucket.
  std::array<std::uint64_t, RegistryBuckets> Hashes{};
  std::array<std::uint64_t, RegistryBuckets> GoneHashes{}; // Gone servers.
  TimePoint NextSweep;    // Next check for silent servers and old tombstones.
  TimePoint NextSync;     // Earliest time of the next registry pull.
  HostId DiffersFromPeer; // Peer whose digest differed first; empty: none.
  TimePoint DiffersSince;
  TimePoint LastMajority; // When a majority of hosts was last seen.
  bool Ready = false;     // Learned the registry since this process started.
};

struct BackendChange {
  BackendRecord Record; // Current record; Status Gone: removed.
};

struct MembershipState;

/// The record of \p Id; null where it is unknown or gone.
const BackendRecord *findBackend(const MembershipState &S, const BackendId &Id);

/// Engines that offer \p Model and accept new requests, by id.
std::vector<const BackendRecord *> enginesOf(const MembershipState &S,
                                             const ModelName &Model);

/// Plain servers that run \p Service and accept new requests, by id.
std::vector<const BackendRecord *> serversOf(const MembershipState &S,
                                             const ServiceId &Service);

/// All backend servers that are not gone, by id; includes leaving ones.
std::vector<const BackendRecord *> allBackends(const MembershipState &S);

/// The hosts that watch \p Id in this host's view. The last entries are empty
/// where too few hosts are alive.
WatcherList watchersOf(const MembershipState &S, const BackendId &Id);

/// Whether this host has learned the registry since it started. Until then it
/// knows few backend servers.
bool registryReady(const MembershipState &S);

} // namespace pimento
