//===- Disk.h - File operations of one data folder --------------*- C++ -*-===//
//
//   Disk D;
//   if (int Error = openPosixDisk("/var/lib/pimentoglade", D))
//     ...
//
// The interface through which the log store reaches its disk, so that tests can
// replace it. One flat folder of files. Every function returns zero or an errno
// value. Data is durable only after Sync, and a new, renamed or removed name
// only after SyncFolder. After a failed Sync the content of the file is
// unknown.
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
  /// Lists the names of all files, in any order.
  std::function<int(std::vector<std::string> &Names)> List;
  /// Reads the whole file, from the disk instead of the page cache if possible.
  std::function<int(const std::string &Name, std::string &Data)> Read;
  /// Appends to a file and creates it if missing. After a failure a part of the
  /// data may have been written.
  std::function<int(const std::string &Name, std::string_view Data)> Append;
  std::function<int(const std::string &Name)> Sync;
  std::function<int(const std::string &Name, std::uint64_t Size)> Truncate;
  /// Replaces \p To if it exists.
  std::function<int(const std::string &From, const std::string &To)> Rename;
  std::function<int(const std::string &Name)> Remove;
  std::function<int()> SyncFolder;
};

/// Opens the folder \p Path, creating it if missing, and locks it against other
/// processes until \p D and all its copies are destroyed. Returns EBUSY if
/// another process holds the lock.
int openPosixDisk(const std::string &Path, Disk &D);

} // namespace pimento
