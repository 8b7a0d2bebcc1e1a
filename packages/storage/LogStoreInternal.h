//===- LogStoreInternal.h - Parts of the store among each other ----*- C++
//-*-===//
#pragma once

#include "storage/LogStore.h"

namespace pimento::storage {

/// Snapshots, log, then what they made useless. After a failure the store must
/// not be used.
Result<void> writeAll(LogStore &S, const std::vector<DiskWrite> &Batch);

} // namespace pimento::storage
