//===- Process.h - One host as a process ------------------------*- C++ -*-===//
//
//   Settings S = ...;
//   return runHost(S);
//
// Owns the loop, the sockets, the disk, the log and the metrics; turns what
// happens into events, and carries the node's effects out.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Settings.h"

namespace pimento {

/// Runs until SIGTERM or SIGINT was handled. Returns the process's exit
/// status: 0 after a graceful stop, 1 where it could not start or had to cut
/// requests.
int runHost(const Settings &S);

} // namespace pimento
