//===- RepeatBudget.h - Retry budget of a site ------------------*- C++ -*-===//
//
// Limits retries so that a failing service does not get more load because it
// fails. In any time window, all entry hosts together may retry a share of the
// requests plus a fixed allowance. Each host keeps to its part: the share of
// its own requests and an equal part of the allowance.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <deque>
#include <map>

namespace pimento {

struct SiteRetryLimits {
  double Share = 0.1;    // Retries per request in a window.
  double Allowance = 30; // Further retries in a window, whole site.
  Duration Window = seconds(10);
};

/// Requests and retries that this host sent to a service within a window.
struct SiteRetryCounts {
  std::deque<TimePoint> Requests;
  std::deque<TimePoint> Retries;
};

using SiteRetryBudget = std::map<ServiceId, SiteRetryCounts>;

/// Counts a caller's request, which raises the budget by its share.
void onRequest(SiteRetryBudget &Budget, const ServiceId &Service,
               const SiteRetryLimits &Limits, TimePoint Now);

/// Counts one retry and returns true, unless the budget of this host, one of
/// \p Hosts hosts, is used up.
bool takeSiteRetry(SiteRetryBudget &Budget, const ServiceId &Service,
                   const SiteRetryLimits &Limits, std::uint64_t Hosts,
                   TimePoint Now);

/// Gives the latest retry back, which reached no server.
void returnSiteRetry(SiteRetryBudget &Budget, const ServiceId &Service);

/// Retries that this host may still send in the current window.
double siteRetriesLeft(SiteRetryBudget &Budget, const ServiceId &Service,
                       const SiteRetryLimits &Limits, std::uint64_t Hosts,
                       TimePoint Now);

} // namespace pimento
