#include "gateway/tests/HostPaths.h"

#include <algorithm>

namespace pimento::testing {

namespace {

/// Idle connections that a host keeps for each server.
constexpr std::size_t MaxIdle = 8;

const HostCut *cutOf(const HostPaths &Paths, const HostId &Host,
                     const std::string &Address) {
  auto Found = Paths.Cuts.find(Host);
  if (Found == Paths.Cuts.end())
    return nullptr;
  const HostCut &Cut = Found->second;
  bool IsBehind = Cut.Addresses.empty() || Cut.Addresses.count(Address) > 0;
  return IsBehind ? &Cut : nullptr;
}

} // namespace

bool isCut(const HostPaths &Paths, const HostId &Host,
           const std::string &Address) {
  return cutOf(Paths, Host, Address) != nullptr;
}

bool losesBytes(const HostPaths &Paths, const HostId &Host,
                const std::string &Address) {
  const HostCut *Cut = cutOf(Paths, Host, Address);
  return Cut != nullptr && Cut->Kind == CutKind::Hang;
}

PathResult openPath(HostPaths &Paths, const HostId &Host,
                    const std::string &Address, bool MayReuse) {
  const HostCut *Cut = cutOf(Paths, Host, Address);
  bool Hangs = losesBytes(Paths, Host, Address) || Paths.Silent.count(Address);
  auto Idle = Paths.Idle.find({Host, Address});
  if (MayReuse && Idle != Paths.Idle.end() && Idle->second > 0) {
    --Idle->second;
    if (Hangs)
      return PathResult::KeptHangs;
    bool Breaks = Cut != nullptr && Cut->Kind == CutKind::Reset;
    return Breaks ? PathResult::KeptBreaks : PathResult::Kept;
  }
  if (Hangs)
    return PathResult::Hangs;
  return Cut == nullptr ? PathResult::New : PathResult::Refused;
}

void keepPath(HostPaths &Paths, const HostId &Host,
              const std::string &Address) {
  std::size_t &Count = Paths.Idle[{Host, Address}];
  Count = std::min(Count + 1, MaxIdle);
}

void dropAddress(HostPaths &Paths, const std::string &Address) {
  for (auto &[Key, Count] : Paths.Idle) {
    if (Key.second == Address)
      Count = 0;
  }
}

} // namespace pimento::testing
