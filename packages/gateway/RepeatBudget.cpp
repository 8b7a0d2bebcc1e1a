#include "gateway/RepeatBudget.h"

#include <algorithm>

namespace pimento {

namespace {

/// Of the allowance: hosts come and go, and count each other late.
constexpr double SafeShare = 0.8;

void dropOld(std::deque<TimePoint> &Times, TimePoint Oldest) {
  while (!Times.empty() && Times.front() < Oldest)
    Times.pop_front();
}

RepeatCounts &countsOf(RepeatBudget &Budget, const ServiceId &Service,
                       const RepeatLimits &Limits, TimePoint Now) {
  RepeatCounts &Counts = Budget[Service];
  dropOld(Counts.Requests, Now - Limits.Window);
  dropOld(Counts.Repeats, Now - Limits.Window);
  return Counts;
}

} // namespace

void onRequest(RepeatBudget &Budget, const ServiceId &Service,
               const RepeatLimits &Limits, TimePoint Now) {
  countsOf(Budget, Service, Limits, Now).Requests.push_back(Now);
}

double repeatsLeft(RepeatBudget &Budget, const ServiceId &Service,
                   const RepeatLimits &Limits, std::uint64_t Hosts,
                   TimePoint Now) {
  const RepeatCounts &Counts = countsOf(Budget, Service, Limits, Now);
  auto Sharers = static_cast<double>(std::max<std::uint64_t>(1, Hosts));
  double Allowed = Limits.Share * static_cast<double>(Counts.Requests.size()) +
                   SafeShare * static_cast<double>(Limits.Allowance) / Sharers;
  return Allowed - static_cast<double>(Counts.Repeats.size());
}

bool takeRepeat(RepeatBudget &Budget, const ServiceId &Service,
                const RepeatLimits &Limits, std::uint64_t Hosts,
                TimePoint Now) {
  if (repeatsLeft(Budget, Service, Limits, Hosts, Now) < 1)
    return false;
  Budget[Service].Repeats.push_back(Now);
  return true;
}

} // namespace pimento
