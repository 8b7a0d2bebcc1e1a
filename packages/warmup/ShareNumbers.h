//===- ShareNumbers.h - Numbers of hosts that share limits ------*- C++ -*-===//
//
//   std::uint64_t Number = shareNumber(N, Host, Claimed, Now);   // At the
//   leader. expireShareNumbers(N, Now);
//
// The leader of the control hosts gives each entry host a number, by which
// limits are split. A number stays with its host, also while the host is cut
// off and goes on by what it knew; it is free again once the host has been away
// for longer than any cut. A new leader learns the numbers from the hosts that
// have them.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <map>

namespace pimento {

struct NumberedHost {
  std::uint64_t Number = 0;
  TimePoint SeenAt{};
};

struct ShareNumbers {
  std::map<HostId, NumberedHost> Hosts;
};

/// Returns the number of a host that is in touch, which begins with one.
/// \p Claimed: the number that the host has; zero: none.
std::uint64_t shareNumber(ShareNumbers &N, const HostId &Host,
                          std::uint64_t Claimed, TimePoint Now);

/// Frees the numbers of hosts that have been away for long.
void expireShareNumbers(ShareNumbers &N, TimePoint Now);

/// The highest number that a host has, also one that is away; zero: none.
std::uint64_t shareCount(const ShareNumbers &N);

} // namespace pimento
