#include "hedge/RepeatBudget.h"

#include <algorithm>

namespace pimento {

namespace {

/// Share of the allowance that hosts use. The rest is a margin, since the
/// number of hosts is known late when hosts start or stop.
constexpr double AllowanceShare = 0.8;

void dropOld(std::deque<TimePoint> &Times, TimePoint Oldest) {
  while (!Times.empty() && Times.front() < Oldest)
    Times.pop_front();
}

SiteRetryCounts &countsOf(SiteRetryBudget &Budget, const ServiceId &Service,
                          const SiteRetryLimits &Limits, TimePoint Now) {
  SiteRetryCounts &Counts = Budget[Service];
  dropOld(Counts.Requests, Now - Limits.Window);
  dropOld(Counts.Retries, Now - Limits.Window);
  return Counts;
}

} // namespace

void onRequest(SiteRetryBudget &Budget, const ServiceId &Service,
               const SiteRetryLimits &Limits, TimePoint Now) {
  countsOf(Budget, Service, Limits, Now).Requests.push_back(Now);
}

double siteRetriesLeft(SiteRetryBudget &Budget, const ServiceId &Service,
                       const SiteRetryLimits &Limits, std::uint64_t Hosts,
                       TimePoint Now) {
  const SiteRetryCounts &Counts = countsOf(Budget, Service, Limits, Now);
  auto Sharers = static_cast<double>(std::max<std::uint64_t>(1, Hosts));
  double Allowed = Limits.Share * static_cast<double>(Counts.Requests.size()) +
                   AllowanceShare * Limits.Allowance / Sharers;
  return Allowed - static_cast<double>(Counts.Retries.size());
}

bool takeSiteRetry(SiteRetryBudget &Budget, const ServiceId &Service,
                   const SiteRetryLimits &Limits, std::uint64_t Hosts,
                   TimePoint Now) {
  if (siteRetriesLeft(Budget, Service, Limits, Hosts, Now) < 1)
    return false;
  Budget[Service].Retries.push_back(Now);
  return true;
}

void returnSiteRetry(SiteRetryBudget &Budget, const ServiceId &Service) {
  auto Found = Budget.find(Service);
  if (Found != Budget.end() && !Found->second.Retries.empty())
    Found->second.Retries.pop_back();
}

} // namespace pimento
