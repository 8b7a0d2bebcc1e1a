#include "placement/EngineSpeed.h"

#include <algorithm>

namespace pimento {

namespace {

/// An engine is queried at most once in this time.
constexpr Duration QueryInterval = seconds(1);
/// Interval between checks while any engine is suspected.
constexpr Duration CheckInterval = milliseconds(25);
/// Bounds the load of the queries on this host.
constexpr std::size_t MaxQueriesPerCheck = 3;
/// An engine is suspected if a first event takes longer than its forecast time
/// times SuspicionRatio, plus SuspicionMargin.
constexpr double SuspicionRatio = 1.5;
constexpr Duration SuspicionMargin = milliseconds(50);
/// Reports below this slowness count as the speed of the data sheet.
constexpr double MinSlowness = 1.2;
constexpr double MaxSlowness = 10;

/// Time from which the engine is to be queried.
TimePoint queryAt(const PlacerEngine &E) {
  TimePoint Earliest = E.SpeedQueriedAt == TimePoint()
                           ? TimePoint()
                           : E.SpeedQueriedAt + QueryInterval;
  if (E.Slowness > 1)
    return Earliest;
  TimePoint Suspect = TimePoint::max();
  for (const EngineShare &Share : E.Shares) {
    if (!Share.Decoding)
      Suspect = std::min(Suspect, Share.SuspectAt);
  }
  return std::max(Earliest, Suspect);
}

} // namespace

TimePoint suspectAt(TimePoint Since, TimePoint Forecast) {
  if (Forecast <= Since)
    return TimePoint::max();
  return Since + fromSeconds(toSeconds(Forecast - Since) * SuspicionRatio) +
         SuspicionMargin;
}

std::vector<BackendId> takeSpeedQueries(PlacerState &S, TimePoint Now) {
  std::vector<BackendId> Queries;
  if (Now < S.SpeedCheckAt)
    return Queries;
  std::vector<std::pair<TimePoint, const BackendId *>> Due;
  S.SpeedCheckAt = TimePoint::max();
  for (const auto &[Id, E] : S.Engines) {
    TimePoint At = queryAt(E);
    if (At <= Now && E.Ready)
      Due.emplace_back(E.SpeedQueriedAt, &Id);
    else if (At > Now)
      S.SpeedCheckAt = std::min(S.SpeedCheckAt, At);
  }
  // Those that were queried the longest time ago go first.
  std::sort(Due.begin(), Due.end());
  for (const auto &[QueriedAt, Id] : Due) {
    if (Queries.size() == MaxQueriesPerCheck)
      break;
    S.Engines.at(*Id).SpeedQueriedAt = Now;
    Queries.push_back(*Id);
  }
  if (!Due.empty())
    S.SpeedCheckAt = Now;
  if (S.SpeedCheckAt != TimePoint::max())
    S.SpeedCheckAt = std::max(S.SpeedCheckAt, Now + CheckInterval);
  return Queries;
}

TimePoint nextSpeedQuery(const PlacerState &S) { return S.SpeedCheckAt; }

double recordSlowness(PlacerState &S, const BackendId &Id, double Slowness,
                      TimePoint Now) {
  auto Found = S.Engines.find(Id);
  if (Found == S.Engines.end())
    return 1;
  PlacerEngine &E = Found->second;
  double Before = E.Slowness;
  E.Slowness = Slowness < MinSlowness ? 1 : std::min(Slowness, MaxSlowness);
  E.SpeedSeenAt = Now;
  for (PrefillItem &Item : E.Prefills.Items)
    Item.Left = fromSeconds(toSeconds(Item.Left) * E.Slowness / Before);
  if (E.Slowness > 1)
    S.SpeedCheckAt = std::min(S.SpeedCheckAt, E.SpeedQueriedAt + QueryInterval);
  return Before;
}

} // namespace pimento
