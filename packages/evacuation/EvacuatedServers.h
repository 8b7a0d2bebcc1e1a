//===- EvacuatedServers.h - Servers that get nothing ------------*- C++ -*-===//
//
//   EvacuatedServers E = evacuatedServers(State, Registry);
//   if (E.Servers.count(Server) > 0) ...  // Gets no request.
//   if (E.Services.count(Service) > 0) ... // No server is left; refuse now.
//
// Answers the load of a data centre that is evacuated: its servers stay in the
// registry and finish what they run, and get nothing more. A request that no
// other server can take is refused at once, since waiting would not help it.
// Computed anew when the state or the registry changes, so that each send costs
// one lookup. Performs no I/O.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "evacuation/Evacuation.h"
#include "routing/Servers.h"

#include <set>

namespace pimento {

struct EvacuatedServers {
  std::set<BackendId> Servers;  // In evacuated data centres, in any phase.
  std::set<ServiceId> Services; // With such servers, and none elsewhere that is
                                // ready or may only be silent.
};

EvacuatedServers evacuatedServers(const EvacuationState &S,
                                  const ServerRegistry &Registry);

/// Returns an engine of the placement, the first one or one that reads a part,
/// which is evacuated; null if none is.
const BackendId *findEvacuated(const EvacuatedServers &E,
                               const PlacementReply &Placement);

} // namespace pimento
