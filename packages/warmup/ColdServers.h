//===- ColdServers.h - Which servers are cold, and this host's share -*- C++
//-*-===//
//
//   ColdServers Cold;
//   Cold.Bounds = {Settings.Cold.Overshoot, Settings.Cold.Slack};
//   placerNamed(Cold.Lease, Placer == Self, Now);    // The leader named it.
//   for (const ColdChange &C : updateCold(Cold, Input, Now)) ...   // Log it.
//   if (const ColdServer *Server = coldServer(Cold, Id, Incarnation))
//     ColdShare Mine = ownShare(Cold, *Server, Id, Now);
//
// A service names for how long a server is cold after its start, and how many
// requests a second a cold server takes. A server's report says for how long it
// stays cold; where it says nothing, a server that started while the site was
// running is cold for the time that the service names. A host that has not been
// told of the servers for a while takes all servers of such services for cold
// ones, since any may have become cold again.
//
// Pattern of failure: servers that return together are sent the requests that
// waited for them, and crash again. See ColdShares.h for the shares.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Decision.h"
#include "placement/LimitBudget.h"
#include "routing/Routing.h"
#include "routing/Servers.h"
#include "warmup/ColdShares.h"

#include <map>
#include <optional>
#include <vector>

namespace pimento {

/// Whether this host is the one placer, as far as it can be sure.
struct PlacerLease {
  TimePoint NamedAt{}; // The leader last named this host; the epoch: another.
  TimePoint Since{};   // It has done so without a gap since.
};

/// The leader named this host as the placer, or another one.
void placerNamed(PlacerLease &Lease, bool IsSelf, TimePoint Now);

/// Whether no other host can be sure that it is the placer. An earlier placer
/// was sure for a while after it was named last.
bool isSurePlacer(const PlacerLease &Lease, TimePoint Now);

/// A server that is cold by what this host knows.
struct ColdServer {
  IncarnationNumber Incarnation = 0;
  TimePoint Until{};       // It is warm then.
  bool IsPresumed = false; // This host's knowledge is old; it may be warm.
  double PerSecond = 0;    // By its service.
  ColdShares Shares;
};

/// What this host does about cold servers.
enum class ColdRole : std::uint8_t {
  Placer,      // Spends the share for all hosts.
  OtherPlacer, // The same, but is not sure that there is no other placer.
  Alone,       // Spends its own share, or none.
};

const char *toString(ColdRole R);

struct ColdServers {
  ColdBounds Bounds;
  PlacerLease Lease;
  std::uint64_t ShareNumber = 0; // Of this host; zero: none was given yet.
  std::uint64_t ShareCount = 0;
  ColdRole Role = ColdRole::Alone;
  bool IsRoleNew = false; // The last update changed the role or the share
                          // numbers: shares are spent anew, from nothing.
  std::map<BackendId, ColdServer> Servers;
};

/// What an update looks at.
struct ColdInput {
  const RouteTable *Routes = nullptr; // Null: none yet.
  const ServerRegistry *Registry = nullptr;
  TimePoint InformedAt{}; // A control host last told what it knows.
  bool IsPlacer = false;  // This host is the placer as far as it knows.
  std::uint64_t ShareNumber = 0;
  std::uint64_t ShareCount = 0;
};

/// A server that turned cold or warm.
struct ColdChange {
  BackendId Server;
  IncarnationNumber Incarnation = 0;
  bool IsCold = false;
  bool IsPresumed = false;
  Duration Left = {}; // Time for which it stays cold.
  double PerSecond = 0;
};

/// Brings the list of cold servers and this host's role up to date. Returns
/// what changed.
std::vector<ColdChange> updateCold(ColdServers &Cold, const ColdInput &Input,
                                   TimePoint Now);

/// The log lines for the changes: one for each server that is cold or warm, and
/// one for all that may be cold. \p Informed: age of what this host knows.
std::vector<DecisionRecord>
describeChanges(const ColdServers &Cold, const std::vector<ColdChange> &Changes,
                Duration Informed);

/// The server if it is cold; null if it is warm.
const ColdServer *coldServer(const ColdServers &Cold, const BackendId &Id,
                             IncarnationNumber Incarnation);

/// What this host may spend at the server in its role.
ColdShare ownShare(const ColdServers &Cold, const ColdServer &Server,
                   const BackendId &Id);

/// When a server known by \p Known ceases to be cold; a past time if it is
/// warm. \p ColdTime: for which its service says that it is after its start.
TimePoint coldUntil(const KnownServer &Known, Duration ColdTime);

/// Whether all of the servers are known to be cold.
bool areCold(const ColdServers &Cold, const std::vector<BackendId> &Servers);

/// Adds the share of a cold server to \p Bucket, which already holds the rate
/// of a limit that the server named, if \p HasLimit: the lower one holds.
void applyShare(LimitBucket &Bucket, bool HasLimit, const ColdServer &Server,
                const ColdShare &Share);

/// What a bucket of a limited server is made from.
struct BucketInput {
  std::optional<double> NamedRate; // This host's part of a limit that the
                                   // server named; empty: it named none.
  double FirstTokens = 0; // Of a new bucket, unless the server is cold.
  IncarnationNumber Incarnation = 0; // Of the server.
  bool IsReset = false;              // The bucket of a named limit starts anew.
};

/// Brings the bucket of a server in line with its limits; removes it if the
/// server has none. A bucket of a cold server starts without tokens.
void refreshBucket(std::map<BackendId, LimitBucket> &Buckets,
                   const ColdServers &Cold, const BackendId &Server,
                   const BucketInput &Input, TimePoint Now);

} // namespace pimento
