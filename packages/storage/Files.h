//===- Files.h - Identity and snapshot files --------------------*- C++ -*-===//
//
// Internal. Files of both kinds are written under a temporary name, synced and
// then renamed, so that a file under its final name is always complete.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Result.h"
#include "storage/LogStore.h"

#include <optional>
#include <string>

namespace pimento::storage {

constexpr const char *IdentityName = "identity";
constexpr const char *TemporarySuffix = ".tmp";

/// The failure of a disk operation that returned the errno value \p Error.
boost::leaf::error_id diskFailure(const char *Operation,
                                  const std::string &Name, int Error);

/// Replaces the content of \p Name by \p Data; durable once the folder is
/// synced.
Result<void> replaceFile(const Disk &Files, const std::string &Name,
                         std::string_view Data);

Result<Identity> readIdentity(const Disk &Files);
Result<void> writeIdentity(const Disk &Files, const Identity &I);

/// What the name of a snapshot file encodes.
struct SnapshotName {
  GroupId Group = 0;
  std::uint64_t Index = 0;
  std::uint64_t Term = 0;
};

std::string toString(const SnapshotName &N);
std::optional<SnapshotName> parseSnapshotName(const std::string &Name);
std::string segmentName(std::uint64_t Sequence);
std::optional<std::uint64_t> parseSegmentName(const std::string &Name);

Result<void> writeSnapshot(const Disk &Files, GroupId Group, const Snapshot &S);
Result<Snapshot> readSnapshot(const Disk &Files, const SnapshotName &Name);

} // namespace pimento::storage
