//===- SiteRetryBudget.h - Second tries within a site's budget -----*- C++
//-*-===//
//
// Answers the pattern of a failing service that gets more load because it
// fails. All hosts together may send a share of the requests again, and some
// more on top, in any window. Each host keeps to its part: the share of its own
// requests and an equal part of what is allowed on top.
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
  double Share = 0.1;           // Of the requests in a window.
  std::uint64_t Allowance = 30; // On top, for the whole site.
  Duration Window = seconds(10);
};

/// What one service got from this host in a window.
struct SiteRetryCounts {
  std::deque<TimePoint> Requests;
  std::deque<TimePoint> Retries;
};

using SiteRetryBudget = std::map<ServiceId, SiteRetryCounts>;

void onRequest(SiteRetryBudget &Budget, const ServiceId &Service,
               const SiteRetryLimits &Limits, TimePoint Now);

/// Counts one repeat and returns true, unless it would pass this host's part
/// among \p Hosts hosts.
bool takeSiteRetry(SiteRetryBudget &Budget, const ServiceId &Service,
                   const SiteRetryLimits &Limits, std::uint64_t Hosts,
                   TimePoint Now);

/// Retries that are left to this host now.
double siteRetriesLeft(SiteRetryBudget &Budget, const ServiceId &Service,
                       const SiteRetryLimits &Limits, std::uint64_t Hosts,
                       TimePoint Now);

} // namespace pimento
