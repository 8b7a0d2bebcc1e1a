#include "evacuation/EvacuatedServers.h"

namespace pimento {

EvacuatedServers evacuatedServers(const EvacuationState &S,
                                  const ServerRegistry &Registry) {
  EvacuatedServers Found;
  if (S.DataCentres.empty())
    return Found;
  std::set<ServiceId> Elsewhere;
  for (const auto &[Id, Known] : Registry.Servers) {
    const ServerReport &R = Known.Report;
    bool IsUsable =
        R.Phase == ServerPhase::Ready || R.Phase == ServerPhase::Silent;
    bool IsHere = isEvacuated(S, R.DataCentre);
    if (IsHere)
      Found.Servers.insert(Id);
    if (IsUsable)
      (IsHere ? Found.Services : Elsewhere).insert(R.Service);
  }
  for (const ServiceId &Service : Elsewhere)
    Found.Services.erase(Service);
  return Found;
}

const BackendId *findEvacuated(const EvacuatedServers &E,
                               const PlacementReply &Placement) {
  if (E.Servers.count(Placement.First.Engine) > 0)
    return &Placement.First.Engine;
  for (const EnginePart &Helper : Placement.Helpers) {
    if (E.Servers.count(Helper.Engine) > 0)
      return &Helper.Engine;
  }
  return nullptr;
}

} // namespace pimento
