// Data centres that an operator evacuated: requests that were on their way to
// their servers go elsewhere, or are refused if there are no others.

#include "gateway/GatewayTurn.h"

namespace pimento::gateway {

namespace {

/// Refuses a waiting call that is left without a server. One that waits for a
/// permit asks anew, since its permit may be for an evacuated server.
void reviewWaiting(GatewayTurn &T, GatewayCall &C) {
  bool IsWaiting = C.Stage == CallStage::Placing ||
                   C.Stage == CallStage::AwaitingPermit ||
                   C.Stage == CallStage::AwaitingPath;
  if (!IsWaiting || refuseEvacuated(T, C) ||
      C.Stage != CallStage::AwaitingPermit)
    return;
  withdrawPermit(T, C);
  beginAttempt(T, C);
}

} // namespace

void onEvacuations(GatewayTurn &T, const HostId &From,
                   const EvacuationState &M) {
  if (!applyState(T.S.Evacuation, M))
    return;
  serversChanged(T);
  syncSoon(T.S.Link, T.Now); // The operator's answer waits for the report.
  DecisionRecord Record = recordOf(T.S.Evacuation, "evacuation_in_force",
                                   "a control host reported a change");
  Record.add("control", From.Value);
  log(T, std::move(Record));
  std::vector<std::uint64_t> Tickets;
  for (const auto &[Ticket, C] : T.S.Calls)
    Tickets.push_back(Ticket);
  for (std::uint64_t Ticket : Tickets) {
    if (GatewayCall *C = findCall(T, Ticket))
      reviewWaiting(T, *C);
  }
}

bool refuseEvacuated(GatewayTurn &T, GatewayCall &C) {
  if (T.S.Evacuated.Services.count(C.Service) == 0)
    return false;
  count(T, "pimento_evacuation_refused_total");
  if (C.Stage == CallStage::Placing)
    withdrawPlacement(T, C);
  fail(T, C, finalCode(C, Code::NoBackend),
       "all backend servers of the service are in evacuated data centres");
  return true;
}

bool leaveEvacuatedEngines(GatewayTurn &T, GatewayCall &C) {
  const BackendId *Engine =
      C.Placed ? findEvacuated(T.S.Evacuated, C.Placement) : nullptr;
  if (Engine == nullptr)
    return false;
  count(T, "pimento_evacuation_moved_total");
  C.AttemptCount += 1; // Bounds how often other engines are chosen.
  C.FaultyServer = *Engine;
  C.Attempt.Fault = FaultSide::Nobody;
  attemptFailed(T, C, false, Code::NoBackend, toString(SendBlock::Evacuated));
  return true;
}

} // namespace pimento::gateway
