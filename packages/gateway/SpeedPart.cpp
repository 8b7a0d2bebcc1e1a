// Queries the load reports of engines that are suspected of being slow.

#include "gateway/GatewayTurn.h"
#include "placement/EngineSpeed.h"

namespace pimento::gateway {

namespace {

/// Engines answer at once, so a later answer is taken as lost.
constexpr Duration QueryTimeout = milliseconds(500);
constexpr std::size_t MaxReportBytes = 64U << 10U;
constexpr int StatusOk = 200;

void sendQuery(GatewayTurn &T, const BackendId &Id) {
  Gateway &S = T.S;
  SpeedQuery Query;
  Query.Engine = Id;
  Query.ExpiresAt = T.Now + QueryTimeout;
  UpstreamId Upstream = queryLoad(T, S.Engines.Engines.at(Id).Address, Id);
  S.SpeedQueries[Upstream] = std::move(Query);
}

void recordAnswer(GatewayTurn &T, const SpeedQuery &Query) {
  std::optional<EngineLoad> Load;
  if (Query.Status == StatusOk)
    Load = T.S.Platform.DecodeLoadReport(Query.Body);
  count(T, "pimento_speed_queries_total",
        Load ? "result=\"answered\"" : "result=\"failed\"");
  auto Found = T.S.Engines.Engines.find(Query.Engine);
  if (!Load || Found == T.S.Engines.Engines.end())
    return;
  TimePoint SeenBefore = Found->second.SpeedSeenAt;
  double Before =
      recordSlowness(T.S.Engines, Query.Engine, Load->Slowness, T.Now);
  double Slowness = Found->second.Slowness;
  if (Slowness == Before)
    return;
  DecisionRecord Record{"engine_speed", {}, "the engine reported it", {}};
  Record.add("server", Query.Engine.Value);
  Record.add("slowness", Slowness);
  Record.add("before", Before);
  Record.add("before_age_ms", SeenBefore == TimePoint()
                                  ? -1
                                  : toMilliseconds(T.Now - SeenBefore));
  log(T, std::move(Record));
}

} // namespace

void tickSpeeds(GatewayTurn &T) {
  auto &Queries = T.S.SpeedQueries;
  for (auto It = Queries.begin(); It != Queries.end();) {
    if (T.Now < It->second.ExpiresAt) {
      ++It;
      continue;
    }
    T.Out.push_back(calls::AbortUpstream{It->first});
    count(T, "pimento_speed_queries_total", "result=\"failed\"");
    It = Queries.erase(It);
  }
  if (!placesHere(T.S, T.Now))
    return;
  for (const BackendId &Id : takeSpeedQueries(T.S.Engines, T.Now)) {
    if (!isToBeSpared(T.S, Id, T.Now))
      sendQuery(T, Id);
  }
}

TimePoint nextSpeedTick(const Gateway &S, TimePoint Now) {
  TimePoint Next =
      placesHere(S, Now) ? nextSpeedQuery(S.Engines) : TimePoint::max();
  for (const auto &[Upstream, Query] : S.SpeedQueries)
    Next = std::min(Next, Query.ExpiresAt);
  return Next;
}

bool speedQueryEvent(GatewayTurn &T, const Event &E) {
  auto Found = T.S.SpeedQueries.find(upstreamOf(E));
  if (Found == T.S.SpeedQueries.end())
    return false;
  SpeedQuery &Query = Found->second;
  if (const auto *Head = std::get_if<UpstreamHead>(&E)) {
    Query.Status = Head->Status;
    return true;
  }
  if (const auto *Data = std::get_if<UpstreamData>(&E)) {
    if (Query.Body.size() + Data->Bytes.size() <= MaxReportBytes)
      Query.Body += Data->Bytes;
    return true;
  }
  recordAnswer(T, Query);
  T.S.SpeedQueries.erase(Found);
  return true;
}

} // namespace pimento::gateway
