//===- Servers.h - Registry of backend servers ------------------*- C++ -*-===//
//
//   ServerRegistry Registry;
//   if (applyReport(Registry, Report, SeenAt)) ...   // The entry changed.
//   tickServers(Registry, Limits, Now);             // Marks silent servers.
//
// The registry merges the reports that backend servers send about themselves.
// Reports may arrive late, more than once, out of order, and after their server
// has died. Incarnations are ordered by the server's start time, and reports of
// one incarnation by their sequence number. An incarnation that has announced
// its departure never becomes ready again. An earlier incarnation that goes on
// reporting replaces a later one that has fallen silent. If several servers
// report the same address, it belongs to the one that started last.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "wire/SiteMessages.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace pimento {

/// Identifies an incarnation of a backend server in few bytes; the same at all
/// hosts.
using ServerKey = std::uint64_t;

ServerKey serverKey(const ServerReport &Report);

/// A backend server's entry in the registry.
struct KnownServer {
  ServerReport Report;        // Age is unused.
  TimePoint LastSeen;         // Time of its latest report to any control host.
  std::uint64_t Revision = 0; // Registry revision of the entry's last change.
  TimePoint ColdUntil{}; // By its reports; the epoch or a past time: it is not
                         // cold.
  TimePoint StartedAt{}; // First report of this incarnation, if it started
                         // while the registry was in use; the epoch: earlier.
};

/// Time limits for servers that send no reports.
struct ServerLimits {
  Duration SilentAfter = seconds(5);  // Time without a report after which a
                                      // server gets no new requests.
  Duration ForgetAfter = seconds(60); // Time without a report after which the
                                      // entry is removed.
};

/// The known backend servers. The revision lets a reader request only later
/// changes.
struct ServerRegistry {
  std::map<BackendId, KnownServer> Servers;
  std::uint64_t Revision = 0; // Incremented by each change of an entry.
  std::map<std::uint64_t, BackendId>
      ByRevision; // Of each entry's last change. An entry that was removed may
                  // still be listed.
  std::unordered_map<ServerKey, BackendId>
      ByKey; // Of each entry. One that was removed may still be listed.
  TimePoint FilledAt{}; // First report of all; the epoch: none yet.
};

/// Merges a report that was received at \p SeenAt. Returns true if the server's
/// incarnation, service, address, data centre, slots or phase changed, or the
/// time at which it ceases to be cold. Outdated reports are ignored, except one
/// that announces the server's departure.
bool applyReport(ServerRegistry &Registry, const ServerReport &Report,
                 TimePoint SeenAt);

/// Marks a server that deregistered as gone, unless the registry knows a later
/// incarnation than \p Incarnation; zero matches any incarnation. Returns true
/// if the entry changed.
bool deregisterServer(ServerRegistry &Registry, const BackendId &Id,
                      std::uint64_t Incarnation, TimePoint Now);

/// Marks servers without recent reports as silent and removes expired entries.
/// Returns true if any server became silent.
bool tickServers(ServerRegistry &Registry, const ServerLimits &Limits,
                 TimePoint Now);

/// Returns the time by which tickServers() must be called next.
TimePoint nextServerTick(const ServerRegistry &Registry,
                         const ServerLimits &Limits, TimePoint Now);

/// Returns the reports of the servers that changed after \p Revision, in the
/// order of their changes, with the reports' ages at \p Now. Costs as much as
/// there are changes.
std::vector<ServerReport> changedServers(const ServerRegistry &Registry,
                                         std::uint64_t Revision, TimePoint Now);

/// Returns a digest of the servers that are not gone and where they are. Equal
/// digests: two hosts know the same servers in the same phases, whatever the
/// revisions of their registries, and the same ones are cold at \p Now.
std::uint64_t serversDigest(const ServerRegistry &Registry, TimePoint Now);

/// Returns the phase's name in logs.
const char *toString(ServerPhase P);

} // namespace pimento
