#include "warmup/ShareNumbers.h"

#include <algorithm>
#include <set>

namespace pimento {

namespace {

/// Time for which the number of a host that is away is kept.
constexpr Duration NumberRetention = seconds(60);
/// Highest number that a host may claim; bounds what a faulty host can do to
/// the shares of others.
constexpr std::uint64_t MaxNumber = 4096;

} // namespace

std::uint64_t shareNumber(ShareNumbers &N, const HostId &Host,
                          std::uint64_t Claimed, TimePoint Now) {
  auto Found = N.Hosts.find(Host);
  if (Found != N.Hosts.end()) {
    Found->second.SeenAt = Now;
    return Found->second.Number;
  }
  std::set<std::uint64_t> Taken;
  for (const auto &[Other, Known] : N.Hosts)
    Taken.insert(Known.Number);
  std::uint64_t Number = Claimed;
  bool IsUsable =
      Claimed != 0 && Claimed <= MaxNumber && Taken.count(Claimed) == 0;
  if (!IsUsable) {
    Number = 1;
    while (Taken.count(Number) > 0)
      ++Number;
  }
  N.Hosts[Host] = {Number, Now};
  return Number;
}

void expireShareNumbers(ShareNumbers &N, TimePoint Now) {
  for (auto It = N.Hosts.begin(); It != N.Hosts.end();) {
    bool IsExpired = Now > It->second.SeenAt + NumberRetention;
    It = IsExpired ? N.Hosts.erase(It) : std::next(It);
  }
}

std::uint64_t shareCount(const ShareNumbers &N) {
  std::uint64_t Count = 0;
  for (const auto &[Host, Known] : N.Hosts)
    Count = std::max(Count, Known.Number);
  return Count;
}

} // namespace pimento
