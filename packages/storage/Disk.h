//===- Disk.h - The few things that are asked of a disk ---------*- C++ -*-===//
//
//   Disk D;
//   if (int Error = openPosixDisk("/var/lib/pimentoglade", D))
//     ...
//
// One flat folder of files. Every function returns zero or an errno value.
// Nothing lasts before Sync, and no new, renamed or removed name lasts before
// SyncFolder. After a Sync that failed nothing is known of the file any more.
//
//===----------------------------------------------------------------------===//
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace pimento {

struct Disk {
  /// The names of all files, in any order.
  std::function<int(std::vector<std::string> &Names)> List;
  /// The whole file, as the disk holds it where that can be told from a cache.
  std::function<int(const std::string &Name, std::string &Data)> Read;
  /// Adds to the end of a file; makes it where there is none. A failure may
  /// leave a part behind.
  std::function<int(const std::string &Name, std::string_view Data)> Append;
  std::function<int(const std::string &Name)> Sync;
  std::function<int(const std::string &Name, std::uint64_t Size)> Truncate;
  /// Replaces \p To where it exists.
  std::function<int(const std::string &From, const std::string &To)> Rename;
  std::function<int(const std::string &Name)> Remove;
  std::function<int()> SyncFolder;
};

/// The folder \p Path, made where it is missing. Locks it against other
/// processes until \p D and its copies are gone; EBUSY where it is locked.
int openPosixDisk(const std::string &Path, Disk &D);

} // namespace pimento
