//===- PermitQueue.h - Requests that wait for limited servers ---*- C++ -*-===//
//
//   PermitReply R = requestPermit(Q, Key, Spec, Now);
//   for (auto &[Key, Reply] : tickPermits(Q, Now)) ...   // That waited.
//
// A backend server that named a limit gets a request only with a permit, which
// one host, the placer, grants for all hosts. Requests that wait are ordered by
// priority, then by account, those with fewer permits first, then by arrival. A
// request that cannot get a permit in time is refused at once. Pattern: one
// token bucket a server, one queue in front of it.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "placement/LimitBudget.h"
#include "placement/ReadQueue.h"
#include "wire/SiteMessages.h"

#include <map>
#include <utility>
#include <vector>

namespace pimento {

struct WaitingPermit {
  PlacementKey Key;
  PermitRequest Spec;
  TimePoint Since{};
  bool WasLimited = false; // A server was limited as it began to wait.
};

struct PermitQueue {
  std::map<BackendId, LimitBucket> Buckets; // Of limited servers.
  std::vector<WaitingPermit> Waiting;
  std::map<AccountId, std::uint64_t>
      Granted; // Permits by account since requests last waited for none.
};

/// Grants a permit, lets the request wait or refuses it. A request without time
/// to wait is granted or refused at once. Repeating a request that waits keeps
/// its place.
PermitReply requestPermit(PermitQueue &Q, const PlacementKey &Key,
                          const PermitRequest &Spec, TimePoint Now);

/// Grants permits to waiting requests and refuses those that cannot get one in
/// time. Returns the replies.
std::vector<std::pair<PlacementKey, PermitReply>> tickPermits(PermitQueue &Q,
                                                              TimePoint Now);

/// Returns the time by which tickPermits() must be called next;
/// TimePoint::max() if no request waits.
TimePoint nextPermitTick(const PermitQueue &Q, TimePoint Now);

/// Removes a request that no longer waits.
void withdrawPermit(PermitQueue &Q, const PlacementKey &Key);

/// Removes the waiting requests of an entry host that stopped.
void dropPermits(PermitQueue &Q, const HostId &Host);

} // namespace pimento
