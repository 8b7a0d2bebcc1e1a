#include "warmup/ColdShares.h"

#include <xxhash.h>

#include <algorithm>

namespace pimento {

namespace {

/// Shares of the bound. That of the hosts on their own counts twice.
constexpr double PlacerPart = 0.5;
constexpr double OtherPlacerPart = 0.25;
constexpr double AlonePart = 0.125;
/// Part of a share that may be spent at once.
constexpr double BurstPart = 0.2;
/// Requests in one second of a host that holds a share on its own.
constexpr double AloneRequests = 1.5;
/// Lowest rate of a share, in requests a second. It adds no whole request to a
/// second.
constexpr double MinRate = 0.1;

/// The share of which any second holds at most \p Requests, a number of whole
/// requests being what counts.
ColdShare shareOf(double Requests, double PerSecond) {
  if (Requests < 1)
    return {};
  ColdShare Share;
  Share.Burst = std::max(1.0, Requests * BurstPart);
  Share.PerSecond =
      std::clamp(Requests - Share.Burst, MinRate, std::max(MinRate, PerSecond));
  return Share;
}

} // namespace

double mostInASecond(double PerSecond, const ColdBounds &Bounds) {
  return PerSecond * Bounds.Overshoot + Bounds.Slack;
}

ColdShares sharesOf(double PerSecond, const ColdBounds &Bounds) {
  double Most = mostInASecond(PerSecond, Bounds);
  // A small bound goes to the placer first.
  double ForPlacer = std::max(Most * PlacerPart, std::min(Most, 1.0));
  double Rest = (Most - ForPlacer) / (1 - PlacerPart);
  double ForAlone = Rest * AlonePart;
  ColdShares Shares;
  Shares.Placer = shareOf(ForPlacer, PerSecond);
  Shares.OtherPlacer = shareOf(Rest * OtherPlacerPart, PerSecond);
  if (ForAlone < 1)
    return Shares;
  Shares.HostsEach = std::max<std::uint64_t>(
      1, static_cast<std::uint64_t>(ForAlone / AloneRequests));
  Shares.Alone =
      shareOf(ForAlone / static_cast<double>(Shares.HostsEach), PerSecond);
  return Shares;
}

bool isHolder(const ColdShares &Shares, const BackendId &Server,
              std::uint64_t Number, std::uint64_t Count) {
  if (Number == 0 || Number > Count || Shares.HostsEach == 0)
    return false;
  std::uint64_t Groups = (Count + Shares.HostsEach - 1) / Shares.HostsEach;
  std::uint64_t Hash = XXH3_64bits(Server.Value.data(), Server.Value.size());
  return Hash % Groups == (Number - 1) % Groups;
}

} // namespace pimento
