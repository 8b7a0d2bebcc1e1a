//===- Membership.h - Which hosts are alive ---------------------*- C++ -*-===//
//
// Every ProbeInterval a host pings one other, in a shuffled order. Where the
// answer is late it asks a few others to ping for it. A host that answers
// nobody is suspected; it refutes by raising its version, or is held for dead
// after SuspicionTimeout. News rides on pings and acknowledgements and, at
// once, on gossip to a few hosts. What one host sends does not depend on the
// number of hosts.
//
//   dead host      Dead: no answer to anybody within the suspicion time
//   slow host      Alive, Slow: answers come, late
//   silent link    Alive, Direct false: others reach it, this host does not
//
// This file is the liveness of hosts; Backends.h the registry of backend
// servers, which shares the pings and the gossip. One MembershipState holds
// both.
//
// Index
//   MembershipConfig, MembershipState, MembershipOutputs
//   onTick() onMessage() onAnnounce() leave()     inputs
//   hostViews() aliveHosts() isAlive()            questions on hosts
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
  IncarnationNumber Incarnation =
      0;                     // Of this process; a restart takes a higher one.
  std::vector<HostId> Hosts; // All configured hosts, this one included.
  MembershipSettings Timing;
  std::uint32_t IndirectProbes = 3; // Hosts asked to ping for us.
  std::uint32_t Fanout = 3;         // Hosts that gossip goes to.
  std::uint32_t OwnFanout = 8;      // Where the news is its own.
  std::uint32_t DeadProbeEvery = 4; // Every so many probes a dead host too.
  Duration GossipDelay = milliseconds(20); // Gathers news.
  std::size_t NewsBytes = 1200;            // News on one ping, about.
  std::size_t GossipBytes = 8U << 10U;     // News in one gossip, about.
  std::size_t PageBytes = 48U << 10U;      // Of one registry page, about.
  Duration SyncInterval = seconds(3);      // Between registry pulls at rest.
  Duration TombstoneTime = minutes(10);    // Gone servers are remembered.
};

/// What this host holds of another.
struct HostView {
  HostStatus Status =
      HostStatus::Dead; // Dead with Incarnation zero: never heard of.
  IncarnationNumber Incarnation = 0;
  std::uint64_t Version = 0;
  TimePoint Since;                       // Of the status.
  bool Direct = true;                    // It answers this host itself.
  bool Slow = false;                     // Its answers come late.
  Duration RoundTrip = Duration::zero(); // Smoothed; zero: unknown.
};

/// A ping that was sent and is not answered.
struct Probe {
  HostId Target;
  TimePoint Sent;
  bool Indirect = false; // Other hosts were asked.
};

/// A ping sent on behalf of another host.
struct RelayedProbe {
  HostId Requester;
  std::uint64_t AskerSequence = 0;
  HostId Target;
  TimePoint Sent;
};

/// News that still has to be told.
struct News {
  std::uint32_t Sends = 0; // On pings and acknowledgements, so far.
  bool Pushed = false;     // Went out by gossip.
  bool Own = false;        // This host was the first to know.
};

struct MembershipState {
  MembershipConfig Config;
  Random Rng;
  TimePoint Started;
  std::uint64_t Version = 1; // Of this host's own record.
  HostStatus Own = HostStatus::Alive;
  std::map<HostId, HostView> Hosts; // All others.
  std::vector<HostId> Running;      // Others that are not dead, sorted.
  std::uint64_t HostHash = 0;       // Of what is known of all hosts.
  std::vector<HostId> ProbeOrder;
  std::size_t NextInOrder = 0;
  std::map<std::uint64_t, Probe> Probes;         // By sequence.
  std::map<std::uint64_t, RelayedProbe> Relayed; // By sequence.
  std::map<HostId, TimePoint> Suspects;          // When each is to be dead.
  std::uint64_t NextSequence = 1;
  TimePoint NextProbe;
  std::uint32_t ProbeCount = 0;
  TimePoint LastTick;
  std::map<HostId, News> QueuedHostUpdates;
  std::map<BackendId, News> QueuedBackendUpdates;
  TimePoint NextGossip = TimePoint::max();
  BackendsState Backends;
};

enum class HostChangeKind : std::uint8_t { Status, Incarnation, Direct, Slow };

struct HostChange {
  HostId Host;
  HostChangeKind Kind = HostChangeKind::Status;
  HostView View; // As it is now.
};

struct MembershipOutputs {
  std::vector<Outbound> Messages;
  std::vector<HostChange> Hosts;
  std::vector<BackendChange> Backends;
  std::vector<LoadReport> Loads; // For the holders of the engines' cells.
  std::vector<DecisionRecord> Decisions;
};

MembershipState makeMembership(const MembershipConfig &Config,
                               std::uint64_t Seed, TimePoint Now);

/// Call when nextDeadline() has come; calling more often is harmless.
void onTick(MembershipState &S, TimePoint Now, MembershipOutputs &Out);
TimePoint nextDeadline(const MembershipState &S);

/// False where \p M is not of this part. Load reports are not.
bool onMessage(MembershipState &S, const HostId &From, const Message &M,
               TimePoint Now, MembershipOutputs &Out);

/// A backend server announced itself to this host. False where the
/// announcement is older than what is known and was ignored.
bool onAnnounce(MembershipState &S, const Announcement &A, TimePoint Now,
                MembershipOutputs &Out);

/// The connection to \p Host broke, as it does when a process ends: it is
/// probed at once and not only when its turn comes.
void onLinkLost(MembershipState &S, const HostId &Host, TimePoint Now,
                MembershipOutputs &Out);

/// This host drains: it is told to all as Leaving, or as Dead where \p Final,
/// just before the process ends.
void leave(MembershipState &S, bool Final, TimePoint Now,
           MembershipOutputs &Out);

/// Whether \p Host is thought to run: alive, suspected or leaving. True for
/// this host itself.
bool isAlive(const MembershipState &S, const HostId &Host);

/// All hosts that are alive, this one included, sorted.
std::vector<HostId> aliveHosts(const MembershipState &S);

/// The view of another host; null where it is not configured.
const HostView *hostView(const MembershipState &S, const HostId &Host);

/// Whether a majority of the configured hosts is alive, this one included.
bool seesMajority(const MembershipState &S);

} // namespace pimento
