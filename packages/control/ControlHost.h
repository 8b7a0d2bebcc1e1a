//===- ControlHost.h - Control of a site that nobody lists ------*- C++ -*-===//
//
//   ControlHost S = makeControlHost(Start, Now);
//   for (Effect &E : reduceControl(S, Event, Now)) ...
//
// A control host keeps the replicated log of configurations, hears the backend
// servers and operators, and tells entry hosts what they need. It learns of the
// other control hosts from a few seeds and from each other. A host's name is
// its IP address.
//
// Index
//   ControlStart      what the process found out before its first event
//   ControlHost       the state
//   reduceControl()   the reducer
//
// Parts: ControlLog.cpp (replicated log, voters), ControlCalls.cpp (backend
// servers and operators), ControlSpread.cpp (other hosts).
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Settings.h"
#include "control/VoterPlan.h"
#include "node/Events.h"
#include "replica/Replica.h"
#include "routing/Adapter.h"
#include "routing/Servers.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pimento {

struct ControlStart {
  Settings Config;
  Adapter Platform;
  IncarnationNumber Incarnation = 0; // Of this process.
  std::uint64_t Seed = 1;            // Of every random choice.
  IncarnationNumber DiskIncarnation = 0;
  DiskStart Start = 0;
  std::map<GroupId, Recovered> Found;
  std::string KeptServers; // Of an earlier start; empty: none.
};

/// The newest configuration that the log holds.
struct StoredRouting {
  std::uint64_t Number = 0; // Zero: none.
  Blob Text;                // As the operator sent it.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Number, M.Text);
  }
};

/// Another control host.
struct ControlPeer {
  TimePoint Heard{}; // The epoch: never.
  bool Leaving = false;
  bool RequestsFullState = true;     // Is owed every report.
  std::vector<ServerReport> Reports; // Not sent yet; ages count from Since.
  std::vector<TimePoint> Since;
};

/// An entry host that asks this host.
struct EntryPeer {
  TimePoint Heard{};
  IncarnationNumber Incarnation = 0;
  bool Ready = false;
  HostId Placer;            // That it asks; empty: none.
  Duration Uptime = {};     // When it was heard last.
  std::uint64_t Config = 0; // In force there.
  std::uint64_t SentConfig = 0;
  TimePoint SentAt{};             // Of SentConfig; the epoch: nothing was sent.
  std::uint64_t SentRevision = 0; // Of this host's servers.
  std::uint64_t SentSequence = 0; // Its last question answered.
};

/// An operator's configuration that was proposed and not acknowledged yet.
struct PendingRouting {
  ExchangeId Exchange{};
  std::uint64_t Number = 0;
  std::uint64_t Index = 0; // In the log.
  std::uint64_t Term = 0;
  TimePoint Asked{};
  TimePoint Committed{}; // The epoch: not yet.
};

struct ControlHost {
  Settings Config;
  Adapter Platform;
  HostId Self;
  IncarnationNumber Incarnation = 0;
  std::vector<HostId> Seeds;
  std::string CallerPort; // The same on every host.

  ReplicaState Log;
  StoredRouting Newest;
  TimePoint NewestAt{}; // Committed as far as known here; the epoch: restored.
  TimePoint LeadsSince{}; // Of the newest time that this host led.
  std::uint64_t HighestProposed = 0;
  ServerLimits Limits;
  ServerRegistry Servers;
  std::map<HostId, ControlPeer> Controls;
  std::map<HostId, EntryPeer> Entries;
  std::vector<PendingRouting> Puts;
  HostId Placer; // Chosen by the leader.
  VoterTarget Voters;

  TimePoint NextNews{};
  TimePoint NextServers{};
  TimePoint NextKeep{};
  std::uint64_t KeptRevision = 0; // Of the servers on the disk.
  TimePoint StopAt{};             // The epoch: not stopping.
  TimePoint FailedAt{};           // Of the disk; the epoch: it works.
  bool NewsDue = false; // Something changed that others should hear at once.
  bool WasLeader = false;
};

ControlHost makeControlHost(const ControlStart &Start, TimePoint Now);

Effects reduceControl(ControlHost &S, const Event &E, TimePoint Now);

/// When a Tick is needed next at the latest.
TimePoint nextWakeup(const ControlHost &S, TimePoint Now);

std::vector<MetricSample> controlGauges(const ControlHost &S, TimePoint Now);

} // namespace pimento
