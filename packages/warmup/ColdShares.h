//===- ColdShares.h - Shares of a cold server's requests --------*- C++ -*-===//
//
//   ColdShares S = sharesOf(Service.ColdPerSecond, Bounds);
//   if (isHolder(S, Server, Number, Count))
//     ... // This host may spend S.Alone at the server.
//
// A cold backend server bears a number of requests in any one second, summed
// over all hosts, whether these reach each other or not. The number is split
// into shares that are never spent twice:
// * that of the placer, for all hosts that reach it;
// * that of another placer, which was replaced and does not know it yet, or
// does
//   not know whether it was;
// * those of hosts that choose servers by themselves. A part of a request a
//   second would be of no use to a host, so a few hosts hold a whole share of
//   each server, and each host holds shares of some servers.
// Pattern of load: many servers return cold at once, before many hosts of which
// some are cut off.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"

#include <cstdint>

namespace pimento {

/// What a cold server bears beyond the requests a second that its service
/// names.
struct ColdBounds {
  double Overshoot = 1; // Factor.
  double Slack = 0;     // Further requests in one second.
};

/// A token bucket at one cold server: any second holds at most PerSecond +
/// Burst requests. Both zero: no request at all.
struct ColdShare {
  double PerSecond = 0;
  double Burst = 0; // Tokens that the bucket holds; at least one, or none.
};

struct ColdShares {
  ColdShare Placer;
  ColdShare OtherPlacer;
  ColdShare Alone;             // Of each host that holds a share of the server.
  std::uint64_t HostsEach = 0; // Hosts that hold a share of one server.
};

/// Most requests that a cold server bears in one second.
double mostInASecond(double PerSecond, const ColdBounds &Bounds);

/// Splits what a cold server takes. The shares of hosts on their own are
/// counted twice, since hosts may know two different counts of hosts at the
/// same time.
ColdShares sharesOf(double PerSecond, const ColdBounds &Bounds);

/// Whether host \p Number of \p Count holds a share of the server. Numbers
/// begin with one; zero holds none. No server has more than Shares.HostsEach
/// holders by the same count.
bool isHolder(const ColdShares &Shares, const BackendId &Server,
              std::uint64_t Number, std::uint64_t Count);

} // namespace pimento
