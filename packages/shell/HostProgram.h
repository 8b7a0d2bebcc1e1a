//===- HostProgram.h - Role-specific part of a host process -----*- C++ -*-===//
//
// Internal to the shell. A process runs the event loop and the I/O; a
// HostProgram holds the part that differs between the kinds of hosts: a reducer
// that turns events into effects, its clock and its gauges.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Settings.h"
#include "node/Events.h"
#include "shell/DataFolder.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace pimento {

struct HostProgram {
  HostId Self;
  std::string SitePort; // Peer port of all hosts; empty: settings list peers.
  std::string SettingsFile; // Reloaded when it changes; empty: never reloaded.
  TimePoint (*Now)() = nullptr;
  std::function<Effects(const Event &, TimePoint)> Reduce;
  std::function<TimePoint(TimePoint)> NextTick; // Time of the next Tick event.
  std::function<std::vector<MetricSample>(TimePoint)> Gauges;
  /// Bytes of callers' requests and of their answers in the state; empty: not
  /// counted.
  std::function<std::size_t()> HeldBytes;
  /// Whether a request is open that this host handed over to the given host, or
  /// took from it; empty: never.
  std::function<bool(const HostId &)> IsRelaying;
  /// Whether a header, named in lower case, concerns the connection, the caller
  /// or this system, so that it may not stand in a trailer. Null: none does.
  bool (*IsReservedField)(std::string_view Name) = nullptr;
};

/// Returns a random seed from the system's entropy source.
std::uint64_t systemSeed();
/// Returns the incarnation number of this run of the process: the wall-clock
/// time in microseconds, so that later runs get higher numbers.
IncarnationNumber makeIncarnation();

/// Gives each large body a mapping of its own, so that its memory goes back to
/// the system with it.
void boundAllocator();

/// Opens the data folder. On failure, logs the error and returns false.
bool openDataFolderOrLog(const Settings &S, DataFolder &Folder);

/// Listens and runs the event loop until an Exit effect. Returns the process's
/// exit status; 1 if an address cannot be bound.
int runProgram(const Settings &S, DataFolder &Folder,
               IncarnationNumber Incarnation, HostProgram Program);

} // namespace pimento
