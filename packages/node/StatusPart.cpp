// Status pages and gauges: the host's internal state as JSON and metrics.

#include "node/Turn.h"

#include "base/Json.h"

namespace pimento::node {

namespace {

const char *toString(HostStatus S) {
  switch (S) {
  case HostStatus::Alive:
    return "alive";
  case HostStatus::Suspect:
    return "suspect";
  case HostStatus::Dead:
    return "dead";
  case HostStatus::Leaving:
    return "leaving";
  }
  return "dead";
}

const char *toString(BackendStatus S) {
  switch (S) {
  case BackendStatus::Serving:
    return "serving";
  case BackendStatus::Leaving:
    return "leaving";
  case BackendStatus::Gone:
    return "gone";
  }
  return "gone";
}

const char *toString(DrainPhase P) {
  switch (P) {
  case DrainPhase::Serving:
    return "serving";
  case DrainPhase::Unready:
    return "unready";
  case DrainPhase::Refusing:
    return "refusing";
  case DrainPhase::Stopped:
    return "stopped";
  }
  return "stopped";
}

Json logJson(const ReplicaState &Log, TimePoint Now) {
  ReplicaStatus R = status(Log, Now);
  Json Members = Json::array();
  for (const MemberStatus &M : R.Members)
    Members.push_back({{"host", M.Who.Host.Value},
                       {"learner", M.Who.Learner},
                       {"synced", M.Synced},
                       {"silence_ms", toMilliseconds(M.Silence)},
                       {"caught_up", M.CaughtUp}});
  Json Result = {{"group", R.Group},   {"role", pimento::toString(R.Role)},
                 {"formed", R.Formed}, {"admitted", R.Admitted},
                 {"lease", R.Lease},   {"leader", R.Leader.Value},
                 {"term", R.Term},     {"last_index", R.LastIndex},
                 {"commit", R.Commit}, {"applied", R.Applied},
                 {"synced", R.Synced}, {"snapshot_index", R.SnapshotIndex},
                 {"members", Members}};
  if (R.Halted != Code::Ok) {
    Result["halted"] = pimento::toString(R.Halted);
    Result["halt_reason"] = R.HaltReason;
  }
  return Result;
}

Json cellsJson(const NodeState &S) {
  Json Cells = Json::array();
  for (const CellAssignment &Cell : S.Cells.Cells) {
    Json Line = {{"model", Cell.Model.Value},
                 {"index", Cell.Index},
                 {"holder", Cell.Holder.Value},
                 {"epoch", Cell.Epoch}};
    auto Held = S.HeldCells.find(Cell.id());
    if (Held != S.HeldCells.end()) {
      CellFigures F = cellFigures(Held->second);
      Line["waiting"] = F.Waiting;
      Line["grants"] = F.Grants;
      Line["engines"] = F.Engines;
      Line["ejected"] = F.Ejected;
      Line["memory_tokens"] = F.MemoryTokens;
      Line["held_tokens"] = F.HeldTokens;
      Line["cancelling_tokens"] = F.CancellingTokens;
      Line["prefix_entries"] = F.PrefixEntries;
      Line["accounts"] = F.Accounts;
    }
    Cells.push_back(std::move(Line));
  }
  return Cells;
}

Json documentsJson(const NodeState &S) {
  Json Documents = Json::object();
  for (const auto &[Service, Held] : S.Spread.Documents)
    Documents[Service.Value] = Held.Number;
  return Documents;
}

Json claimsJson(const NodeState &S) {
  Json Claims = Json::array();
  for (const auto &[Group, Partition] : S.Control.Claims)
    Claims.push_back({{"group", Group},
                      {"leading", Partition.Leader.Leading},
                      {"records", Partition.Applied.Records.size()},
                      {"waiting", Partition.Leader.Waiters.size()},
                      {"answer_bytes", Partition.Applied.AnswerBytes}});
  return Claims;
}

} // namespace

std::string statusText(const NodeState &S, TimePoint Now) {
  ServeVerdict Fresh = verdict(S.Spread, Now);
  Json Age = nullptr;
  if (Fresh.Age != Duration::max())
    Age = toMilliseconds(Fresh.Age);
  Json Logs = Json::array();
  for (const auto &[Group, Log] : S.Control.Logs)
    Logs.push_back(logJson(Log, Now));
  Json Root = {{"host", S.Self.Value},
               {"life", S.Incarnation},
               {"phase", toString(S.Drain)},
               {"ready", isReady(S, Now)},
               {"fresh",
                {{"serving", Fresh.Serve},
                 {"reason", pimento::toString(Fresh.Reason)},
                 {"age_ms", Age},
                 {"reports", Fresh.Reports}}},
               {"requests", S.Calls.Requests.size()},
               {"request_bytes", S.Calls.Bytes},
               {"cleanups", S.Calls.Cleanups.size()},
               {"documents", documentsJson(S)},
               {"cells", cellsJson(S)},
               {"claims", claimsJson(S)},
               {"orders", Json::parse(ordersText(S))},
               {"logs", Logs}};
  return Root.dump() + "\n";
}

std::string hostsText(const NodeState &S, TimePoint Now) {
  Json Hosts = Json::array();
  for (const PeerSettings &Peer : S.Config.Peers) {
    Json Line = {{"host", Peer.Name.Value},
                 {"data_centre", Peer.DataCentre.Value},
                 {"voter", Peer.Voter}};
    if (Peer.Name == S.Self) {
      Line["status"] = "self";
    } else if (const HostView *View = hostView(S.Members, Peer.Name)) {
      Line["status"] = toString(View->Status);
      Line["since_ms"] = toMilliseconds(Now - View->Since);
      Line["direct"] = View->Direct;
      Line["slow"] = View->Slow;
      Line["round_trip_us"] = toMicroseconds(View->RoundTrip);
    }
    Hosts.push_back(std::move(Line));
  }
  return Json({{"hosts", Hosts}}).dump() + "\n";
}

std::string backendsText(const NodeState &S) {
  Json Backends = Json::array();
  for (const BackendRecord *Record : allBackends(S.Members)) {
    Json Models = Json::array();
    for (const ModelName &Model : Record->Models)
      Models.push_back(Model.Value);
    Backends.push_back(
        {{"id", Record->Id.Value},
         {"kind", Record->Kind == BackendKind::Engine ? "engine" : "plain"},
         {"status", toString(Record->Status)},
         {"address", Record->Address},
         {"data_centre", Record->DataCentre.Value},
         {"service", Record->Service.Value},
         {"models", Models},
         {"memory_tokens", Record->MemoryTokens}});
  }
  return Json({{"backends", Backends}}).dump() + "\n";
}

} // namespace pimento::node

namespace pimento {

std::vector<MetricSample> nodeGauges(const NodeState &S, TimePoint Now) {
  CellFigures Sum;
  for (const auto &[Id, Cell] : S.HeldCells) {
    CellFigures F = cellFigures(Cell);
    Sum.Waiting += F.Waiting;
    Sum.Grants += F.Grants;
    Sum.Ejected += F.Ejected;
    Sum.MemoryTokens += F.MemoryTokens;
    Sum.HeldTokens += F.HeldTokens;
    Sum.CancellingTokens += F.CancellingTokens;
  }
  std::vector<MetricSample> Out;
  auto Gauge = [&](const char *Name, auto Value, std::string Label = "") {
    Out.push_back({SampleKind::Gauge, Name, std::move(Label),
                   static_cast<double>(Value)});
  };
  ServeVerdict Fresh = verdict(S.Spread, Now);
  Gauge("pimento_serving", Fresh.Serve ? 1 : 0);
  if (Fresh.Age != Duration::max())
    Gauge("pimento_stamp_age_seconds", toSeconds(Fresh.Age));
  Gauge("pimento_requests", S.Calls.Requests.size());
  Gauge("pimento_cells_held", S.HeldCells.size());
  Gauge("pimento_cells_waiting", Sum.Waiting);
  Gauge("pimento_cells_grants", Sum.Grants);
  Gauge("pimento_cells_ejected_engines", Sum.Ejected);
  Gauge("pimento_cells_memory_tokens", Sum.MemoryTokens);
  Gauge("pimento_cells_held_tokens", Sum.HeldTokens);
  Gauge("pimento_cells_cancelling_tokens", Sum.CancellingTokens);
  for (const auto &[Group, Log] : S.Control.Logs) {
    ReplicaStatus R = status(Log, Now);
    std::string Label = "log=\"" + std::to_string(Group) + "\"";
    Gauge("pimento_log_lease", R.Lease ? 1 : 0, Label);
    Gauge("pimento_log_unapplied_entries", R.LastIndex - R.Applied, Label);
    Gauge("pimento_log_unsaved_entries", R.LastIndex - R.SnapshotIndex, Label);
  }
  return Out;
}

} // namespace pimento
