//===- ControlHost.h - State and reducer of a control host ------*- C++ -*-===//
//
//   ControlHost S = makeControlHost(Start, Now);
//   for (Effect &E : reduceControl(S, Event, Now)) ...
//
// A control host keeps a replica of the log of routing configurations, receives
// the reports of backend servers and the calls of operators, and sends entry
// hosts (which take callers' requests) the configuration and the servers. No
// list of hosts is configured: a control host learns of the others from a few
// seed addresses and from their heartbeats. A host's name is its IP address.
//
// The leader of the log also chooses the placer, the entry host that chooses
// the engines for all requests, and adds and removes voters.
//
// Index
//   ControlStart      what the process determined before its first event
//   ControlHost       the state
//   reduceControl()   the reducer
//
// Parts: ControlLog.cpp (replicated log, voters), ControlCalls.cpp (calls of
// backend servers and operators), ControlRouting.cpp (configurations on their
// way to entry hosts), ControlLimits.cpp (limits that backend servers name),
// ControlPaths.cpp (entry hosts without paths to servers),
// ControlEvacuation.cpp (data centres whose servers get nothing more),
// ControlSpread.cpp (heartbeats to control hosts, updates to entry hosts).
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Random.h"
#include "base/Settings.h"
#include "control/VoterPlan.h"
#include "evacuation/Evacuation.h"
#include "node/Events.h"
#include "quarantine/CrashQuarantine.h"
#include "replica/Replica.h"
#include "routing/Adapter.h"
#include "routing/RequestLimits.h"
#include "routing/RoutingUpdate.h"
#include "routing/Servers.h"
#include "warmup/ShareNumbers.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pimento {

/// Input of makeControlHost().
struct ControlStart {
  Settings Config;
  Adapter Platform;
  IncarnationNumber Incarnation = 0; // Incarnation of this process.
  std::uint64_t Seed = 1;            // Seed of all random choices.
  IncarnationNumber DiskIncarnation = 0;
  DiskStart Start = 0;
  std::map<GroupId, Recovered> Found; // Log contents read from the disk.
  std::string KeptServers; // Servers stored by an earlier start; empty: none.
};

/// A routing configuration as stored in the log and its snapshots.
struct StoredRouting {
  std::uint64_t Number = 0; // Version number; zero: none.
  Blob Text;                // Written by earlier versions: the whole text.
  RoutingUpdate Update; // Number zero: Text is used. In the log, its base is
                        // the configuration with the highest number before.
  Blob Evacuation; // In the log: an order; in a snapshot: the state. One value,
                   // since earlier versions limit how many they read. Empty:
                   // none.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Number, M.Text, M.Update, M.Evacuation);
  }
};

/// The newest configuration and what was prepared to send it.
struct RoutingCopies {
  std::deque<RoutingVersion> Earlier; // Configurations before the newest one,
                                      // oldest first.
  std::map<std::uint64_t, RoutingUpdate>
      Updates; // To the newest one, by the base; zero: the whole text.
};

/// The newest configuration proposed in a term, which may not be committed yet.
struct ProposedRouting {
  std::uint64_t Term = 0;
  RoutingVersion Newest;
};

/// What another host knows of the limits that backend servers name.
struct LimitPeer {
  std::uint64_t Digest = 0;       // Of the limits known there.
  std::uint64_t SentDigest = 0;   // Of the limits after the last message to it.
  std::uint64_t SentRevision = 0; // Revision of the limits sent to it.
};

/// State kept for another control host.
struct ControlPeer {
  TimePoint LastSeen{}; // Time of the host's last heartbeat; the epoch: none.
  bool Leaving = false; // The host announced that it is stopping.
  bool RequestsFullState = true;     // A heartbeat is to carry all servers.
  TimePoint NextFullStateAt{};       // It carries them then at the earliest.
  std::vector<ServerReport> Reports; // Reports not sent yet.
  std::vector<TimePoint> Since;      // Arrival time of each of Reports.
  std::string Alive; // Reports without a change that were not sent yet, packed.
  TimePoint AliveSince{};   // Arrival time of the first of them.
  bool TakesAlive = false;  // It reads such reports.
  bool KnowsOthers = false; // It told of a server that this host does not know;
                            // it is asked for all servers.
  TimePoint NextAskAt{};    // It is asked then at the earliest.
  std::uint64_t QuarantineDigest = 0; // Of the quarantines known there.
  LimitPeer Limits;                   // What it knows of limits.
};

/// State kept for an entry host that synchronises with this host.
struct EntryPeer {
  TimePoint LastSeen{};
  Duration SyncInterval = milliseconds(500); // Between its queries.
  IncarnationNumber Incarnation = 0;
  bool Ready = false;
  HostId Placer;            // Placer that the entry host uses; empty: none.
  Duration Uptime = {};     // Uptime reported in its last message.
  std::uint64_t Config = 0; // Configuration in force at the entry host.
  TimePoint ConfigSince{};  // When the host first reported it.
  RoutingForm Form = RoutingForm::Plain; // Accepted there.
  bool Stale = false; // It refuses requests, since it lacks a configuration.
  std::uint64_t SentConfig = 0;   // Newest configuration sent there.
  std::size_t SentBytes = 0;      // Size of the message with SentConfig.
  TimePoint SentAt{};             // When SentConfig was sent; the epoch: never.
  std::uint64_t SentRevision = 0; // Revision of Servers sent to it.
  std::uint64_t SentChanges = 0;  // ControlHost::Changes when it was last sent
                                  // a state.
  std::uint64_t ShareNumber = 0;  // Given by this host as leader; zero: none.
  std::uint64_t SentSequence = 0; // Sequence of the last EntrySync answered.
  std::uint64_t QuarantineDigest = 0; // Of the quarantines known there.
  std::uint64_t WatchDigest = 0;      // Of the watched parts known there.
  LimitPeer Limits;                   // What it knows of limits.
  DataCentreId DataCentre;
  bool IsCutOff = false; // It lost its paths to servers that other hosts reach.
  std::vector<ServiceId> Unreached; // Services whose servers it does not reach.
  TimePoint UnreachedSince{};       // The epoch: it reaches all services.
  std::uint64_t Evacuation = 0; // Revision of the evacuations in force there.
};

/// A digest of the servers, kept until they change.
struct KnownDigest {
  std::uint64_t Revision = 0; // Of the servers.
  std::uint64_t Digest = 0;
  TimePoint At{}; // Which servers are cold depends on the time.
};

/// Progress of the newest configuration towards the entry hosts.
struct RoutingSpread {
  std::uint64_t Number = 0; // Of the configuration; zero: none.
  TimePoint BeganAt{};      // When this host learned that it is committed.
  std::uint64_t Copies = 0; // Whole texts sent to entry hosts.
  std::uint64_t Deltas = 0; // Differences sent to entry hosts.
  std::uint64_t Bytes = 0;  // Of both.
  HostId LastHost;          // Host that reported it last.
  bool IsComplete = false;  // In force at every entry host in contact.
};

/// An operator's configuration that is not acknowledged yet.
struct PendingRouting {
  ExchangeId Exchange{};
  std::uint64_t Number = 0;
  std::uint64_t Index = 0; // Index of the proposal in the log; zero: none.
  std::uint64_t Term = 0;  // Term of the proposal.
  TimePoint RequestedAt{};
  TimePoint CommittedAt{}; // The epoch: not committed yet.
};

/// An operator's order to evacuate a data centre, or to end that, which is not
/// acknowledged yet.
struct PendingEvacuation {
  ExchangeId Exchange{};
  EvacuationOrder Order;
  std::uint64_t Index = 0; // Index of the proposal in the log.
  std::uint64_t Term = 0;  // Term of the proposal.
  TimePoint RequestedAt{};
  TimePoint CommittedAt{};    // The epoch: not committed yet.
  std::uint64_t Revision = 0; // Of the evacuations with the order applied.
};

/// State of a control host.
struct ControlHost {
  Settings Config;
  Adapter Platform;
  HostId Self;
  IncarnationNumber Incarnation = 0;
  std::vector<HostId> Seeds;
  std::string CallerPort; // Port for callers; the same on every host.
  Random Rng;             // Spreads entry hosts over those that relay.

  ReplicaState Log;
  RoutingVersion NewestRouting;
  RoutingCopies Copies;
  ProposedRouting Proposed;
  std::shared_ptr<const RoutingConfig> LastValid; // Last one validated here.
  TimePoint LeadershipChangedAt{}; // When WasLeading last changed.
  ServerLimits Limits;
  ServerRegistry Servers;
  KnownDigest ServersDigest;
  RequestLimits NamedLimits;                // Named by backend servers.
  TimePoint LimitsDueAt = TimePoint::max(); // Changed limits are sent then.
  CrashQuarantine Quarantine; // Requests and parts that crash servers.
  std::map<Suspect, TimePoint> Clearances; // To be sent to control hosts.
  std::uint64_t StoredQuarantine = 0;      // Digest of those on the disk.
  std::map<HostId, ControlPeer> Controls;
  std::map<HostId, EntryPeer> Entries;
  ShareNumbers Shares; // Of entry hosts, given as leader.
  RoutingSpread Spread;
  std::vector<PendingRouting> PendingPuts;
  EvacuationState Evacuation; // Of all orders that are committed.
  std::vector<PendingEvacuation> PendingEvacuations;
  KnownDataCentres DataCentres; // Of servers and entry hosts so far.
  TimePoint StartedAt{};
  HostId Placer; // Placer chosen by this host as leader; empty: none.
  VoterTarget Voters;

  TimePoint NextControlHeartbeat{};
  TimePoint NextServerTick{};
  TimePoint NextServersWrite{};
  std::uint64_t StoredRevision = 0; // Revision of Servers on the disk.
  TimePoint StopAt{};       // When the process exits; the epoch: not stopping.
  TimePoint DiskFailedAt{}; // When a write failed; the epoch: never.
  bool UpdateDue = false;   // A change has to be sent to other hosts.
  TimePoint NextUpdateAt{}; // No more entry hosts are sent it before.
  HostId LastUpdated;       // Entry host that was sent one last; others follow.
  bool RoutingDue = false;  // More hosts are to be sent the configuration.
  std::uint64_t HeartbeatChanges = 0; // Changes at the last heartbeats.
  std::uint64_t Changes = 0; // Number of changes that hosts are to be sent.
  bool WasLeading = false;   // Result of isLeader() after the last event.
};

/// Returns the state after a start.
ControlHost makeControlHost(const ControlStart &Start, TimePoint Now);

/// Handles one event and returns the effects to execute.
Effects reduceControl(ControlHost &S, const Event &E, TimePoint Now);

/// The latest time at which the next Tick is needed.
TimePoint nextWakeup(const ControlHost &S, TimePoint Now);

/// Current values of the control host's gauges.
std::vector<MetricSample> controlGauges(const ControlHost &S, TimePoint Now);

} // namespace pimento
