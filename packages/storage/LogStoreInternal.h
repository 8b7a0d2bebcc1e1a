//===- LogStoreInternal.h - Internal functions of the log store -*- C++ -*-===//
#pragma once

#include "storage/LogStore.h"

namespace pimento::storage {

/// Writes and syncs the snapshot files, then the log, and then removes files
/// that are no longer needed. After a failure the store must not be used.
Result<void> writeAll(LogStore &S, const std::vector<DiskWrite> &Batch);

} // namespace pimento::storage
