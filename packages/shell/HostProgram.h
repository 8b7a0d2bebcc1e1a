//===- HostProgram.h - The reducer that a process runs ----------*- C++ -*-===//
//
// Internal to the shell: what differs between the kinds of hosts.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Settings.h"
#include "node/Events.h"
#include "shell/DataFolder.h"

#include <functional>
#include <string>
#include <vector>

namespace pimento {

struct HostProgram {
  HostId Self;
  std::string SitePort;     // Empty: the settings list all hosts.
  std::string SettingsFile; // Read again when it changes; empty: never.
  TimePoint (*Now)() = nullptr;
  std::function<Effects(const Event &, TimePoint)> Reduce;
  std::function<TimePoint(TimePoint)> NextTick; // When a Tick is due.
  std::function<std::vector<MetricSample>(TimePoint)> Gauges;
};

std::uint64_t systemSeed();
IncarnationNumber makeIncarnation();

/// Opens the data folder, or logs why it cannot be used.
bool openDataFolderOrLog(const Settings &S, DataFolder &Folder);

/// Runs until the program exits; returns the process's exit status.
int runProgram(const Settings &S, DataFolder &Folder,
               IncarnationNumber Incarnation, HostProgram Program);

} // namespace pimento
