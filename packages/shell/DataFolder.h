//===- DataFolder.h - Opening of the data folder ----------------*- C++ -*-===//
#pragma once

#include "base/Settings.h"
#include "storage/LogStore.h"

#include <map>
#include <optional>
#include <string>

namespace pimento {

/// The open data folder of a host and the contents recovered from it. Empty on
/// a host without a data folder.
struct DataFolder {
  std::optional<LogStore> Store;
  std::map<GroupId, Recovered> RecoveredGroups;
};

/// Opens the folder named by the settings, if any. Returns an error message, or
/// an empty string on success. Never writes to a folder that is corrupt,
/// belongs to another host or is locked by another process.
std::string openDataFolder(const Settings &S, DataFolder &Folder);

/// Stores the list of known backend servers for loadServers() after a restart.
/// Returns an error message, or an empty string on success. Needs an open
/// store.
std::string saveServers(DataFolder &Folder, const std::string &Bytes);
/// Returns the bytes stored by the last saveServers(); empty if there are none
/// or they cannot be read. Needs an open store.
std::string loadServers(const DataFolder &Folder);

} // namespace pimento
