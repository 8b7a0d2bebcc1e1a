//===- SiteProcess.h - A host of a site that nobody lists -------*- C++ -*-===//
#pragma once

#include "base/Settings.h"
#include "routing/Adapter.h"

namespace pimento {

/// Runs an entry or a control host, as [join] role says, until SIGTERM or
/// SIGINT was handled. \p File is read again when it changes. Returns the
/// process's exit status.
int runSiteHost(const Settings &S, const std::string &File,
                const Adapter &Platform);

} // namespace pimento
