//===- SiteProcess.h - Host process that joins through seeds ----*- C++ -*-===//
#pragma once

#include "base/Settings.h"
#include "routing/Adapter.h"

namespace pimento {

/// Runs an entry host (takes callers' requests) or a control host (keeps the
/// replicated log), as selected by [join] role, until SIGTERM or SIGINT was
/// handled. The settings need not list the other hosts. Reloads \p File when it
/// changes. Returns the process's exit status.
int runSiteHost(const Settings &S, const std::string &File,
                const Adapter &Platform);

} // namespace pimento
