//===- Membership.h - Which hosts are alive ---------------------*- C++ -*-===//
//
// A SWIM-style failure detector. Every ProbeInterval a host pings one other
// host, in a shuffled order. When the acknowledgement is late, it asks a few
// hosts to ping the target on its behalf. A host that acknowledges neither is
// suspected. It refutes the suspicion by raising its version, or is declared
// dead after SuspicionTimeout. Updates are piggybacked on pings and
// acknowledgements, and sent at once by gossip to a few hosts. The rate at
// which one host sends does not depend on the number of hosts.
//
//   dead host      Dead: no acknowledgement within the suspicion timeout
//   slow host      Alive, Slow: acknowledgements arrive late
//   broken link    Alive, Direct false: only other hosts reach the target
//
// This file covers the liveness of hosts. Backends.h covers the registry of
// backend servers, which shares the pings and the gossip. One MembershipState
// holds both.
//
// Index
//   MembershipConfig, MembershipState, MembershipOutputs
//   onTick() onMessage() onAnnounce() leave()     inputs
//   hostView() aliveHosts() isAlive()             queries about hosts
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Decision.h"
#include "base/Ids.h"
#include "base/Random.h"
#include "base/Settings.h"
#include "base/Time.h"
#include "membership/Announcement.h"
#include "membership/Backends.h"
#include "wire/Messages.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace pimento {

struct MembershipConfig {
  HostId Self;
  IncarnationNumber Incarnation = 0; // Incarnation of this process.
  std::vector<HostId> Hosts; // All configured hosts, including this one.
  MembershipSettings Timing;
  std::uint32_t IndirectProbes = 3; // Hosts asked to ping on our behalf.
  std::uint32_t Fanout = 3;         // Recipients of relayed gossip.
  std::uint32_t OriginFanout = 8;   // Recipients of this host's own findings.
  // Every this many probe rounds, one dead host is probed as well.
  std::uint32_t DeadProbeEvery = 4;
  Duration GossipDelay = milliseconds(20); // Batches updates into one gossip.
  std::size_t PingUpdateBytes = 1200;  // Approximate size of updates on a ping.
  std::size_t GossipBytes = 8U << 10U; // Approximate size of one gossip.
  std::size_t PageBytes = 48U << 10U;  // Approximate size of a registry page.
  // Minimum time between registry pulls once the registry is learned. The pages
  // of one pull follow at once.
  Duration SyncInterval = seconds(3);
  Duration TombstoneTime = minutes(10); // How long gone servers are recorded.
};

/// This host's view of another host.
struct HostView {
  // Dead with Incarnation zero: the host was never seen.
  HostStatus Status = HostStatus::Dead;
  IncarnationNumber Incarnation = 0;
  std::uint64_t Version = 0;
  TimePoint Since;    // Time of the last status change.
  bool Direct = true; // Acknowledges this host's own pings.
  bool Slow = false;  // Acknowledgements arrive after ProbeTimeout.
  Duration RoundTrip = Duration::zero(); // Smoothed; zero: unknown.
};

/// A ping without an acknowledgement so far.
struct Probe {
  HostId Target;
  TimePoint Sent;
  bool Indirect = false; // Other hosts were asked to ping the target.
};

/// A ping sent on behalf of another host.
struct RelayedProbe {
  HostId Requester;
  std::uint64_t RequesterSequence = 0;
  HostId Target;
  TimePoint Sent;
};

/// An update that still has to be disseminated.
struct QueuedUpdate {
  std::uint32_t Sends = 0; // Pings and acknowledgements that carried it.
  bool Pushed = false;     // Sent by gossip.
  bool IsOrigin = false;   // This host was the first to know.
};

struct MembershipState {
  MembershipConfig Config;
  Random Rng;
  TimePoint Started;
  std::uint64_t Version = 1; // Version of this host's own update.
  HostStatus OwnStatus = HostStatus::Alive;
  std::map<HostId, HostView> Hosts; // All hosts other than this one.
  std::vector<HostId> Running;      // Other hosts that are not dead, sorted.
  std::uint64_t HostHash = 0;       // Hash of the views of all hosts.
  std::vector<HostId> ProbeOrder;
  std::size_t NextInOrder = 0;
  std::map<std::uint64_t, Probe> Probes;         // By sequence.
  std::map<std::uint64_t, RelayedProbe> Relayed; // By sequence.
  std::map<HostId, TimePoint> Suspects;          // When each is declared dead.
  std::uint64_t NextSequence = 1;
  TimePoint NextProbe;
  std::uint32_t ProbeCount = 0;
  TimePoint LastTick;
  std::map<HostId, QueuedUpdate> QueuedHostUpdates;
  std::map<BackendId, QueuedUpdate> QueuedBackendUpdates;
  TimePoint NextGossip = TimePoint::max();
  BackendsState Backends;
};

enum class HostChangeKind : std::uint8_t { Status, Incarnation, Direct, Slow };

struct HostChange {
  HostId Host;
  HostChangeKind Kind = HostChangeKind::Status;
  HostView View; // View after the change.
};

struct MembershipOutputs {
  std::vector<Outbound> Messages;
  std::vector<HostChange> Hosts;
  std::vector<BackendChange> Backends;
  std::vector<LoadReport> Loads; // For the hosts that schedule the engines.
  std::vector<DecisionRecord> Decisions;
};

MembershipState makeMembership(const MembershipConfig &Config,
                               std::uint64_t Seed, TimePoint Now);

/// Advances timers. Call at nextDeadline(); calling more often is harmless.
void onTick(MembershipState &S, TimePoint Now, MembershipOutputs &Out);
TimePoint nextDeadline(const MembershipState &S);

/// Handles a message from a peer. False where \p M does not belong to
/// membership; load reports do not.
bool onMessage(MembershipState &S, const HostId &From, const Message &M,
               TimePoint Now, MembershipOutputs &Out);

/// Handles a backend server's announcement to this host. False where it was
/// ignored: it has no id, is not newer than the last known one, or the registry
/// is full.
bool onAnnounce(MembershipState &S, const Announcement &A, TimePoint Now,
                MembershipOutputs &Out);

/// Probes \p Host at once after its connection broke, since a broken connection
/// often means that the process ended.
void onLinkLost(MembershipState &S, const HostId &Host, TimePoint Now,
                MembershipOutputs &Out);

/// Announces this host as Leaving when it starts to drain, or as Dead where
/// \p Final is set, just before the process ends.
void leave(MembershipState &S, bool Final, TimePoint Now,
           MembershipOutputs &Out);

/// Whether \p Host is considered running: alive, suspected or leaving. True
/// for this host itself.
bool isAlive(const MembershipState &S, const HostId &Host);

/// All running hosts, including this one, sorted.
std::vector<HostId> aliveHosts(const MembershipState &S);

/// The view of another host; null where that host is not configured.
const HostView *hostView(const MembershipState &S, const HostId &Host);

/// Whether a majority of the configured hosts runs, counting this one.
bool seesMajority(const MembershipState &S);

} // namespace pimento
