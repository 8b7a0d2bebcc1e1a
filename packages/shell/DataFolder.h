//===- DataFolder.h - The data folder at the start --------------*- C++ -*-===//
#pragma once

#include "base/Settings.h"
#include "storage/LogStore.h"

#include <map>
#include <optional>
#include <string>

namespace pimento {

/// What a host's data folder held; nothing on a host without one.
struct DataFolder {
  std::optional<LogStore> Store;
  std::map<GroupId, Recovered> RecoveredGroups;
};

/// Opens the folder that the settings name, if any. Returns why it cannot be
/// used, or an empty text. A folder that is corrupt, another host's or locked
/// by another process is never written to.
std::string openDataFolder(const Settings &S, DataFolder &Folder);

/// Keeps what a later start is to find in keptServers(). Returns why it could
/// not, or an empty text.
std::string saveServers(DataFolder &Folder, const std::string &Bytes);
/// What was kept last; empty where nothing was, or it cannot be read.
std::string loadServers(const DataFolder &Folder);

} // namespace pimento
