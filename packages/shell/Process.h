//===- Process.h - Host process ---------------------------------*- C++ -*-===//
//
//   Settings S = ...;
//   return runHost(S);
//
// Owns the event loop, the sockets, the disk, the log and the metrics. Passes
// I/O and timers to the node's reducer as events and executes the effects that
// the reducer returns.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Settings.h"

namespace pimento {

/// Runs until SIGTERM or SIGINT was handled. Returns the process's exit status:
/// 0 after a graceful stop, 1 if the host could not start or had to abort
/// requests.
int runHost(const Settings &S);

} // namespace pimento
