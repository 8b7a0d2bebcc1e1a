// Backend servers that name a limit of requests a second. All hosts together
// keep it, on every path to a server, and other servers take the work.

#include "gateway/tests/CrashSite.h"
#include "testing/KnownRed.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace pimento;
using namespace pimento::testing;

namespace {

constexpr const char *LimitHeader = "Server-Limit";
/// The pages' contactMs: all hosts know a limit after this time.
constexpr Duration ContactTime = seconds(3);
constexpr Duration Window = seconds(4);
/// What a server may get beyond its limit, by the pages.
constexpr double AllowedFactor = 1.5;
constexpr double AllowedExtra = 5;
/// About the rate of the users' sites.
constexpr Duration CallInterval = milliseconds(22);

/// Most requests that the server got in a window that begins at or after
/// \p From.
std::size_t mostInWindow(const CrashEngine &E, TimePoint From) {
  std::size_t Most = 0;
  for (auto It = E.Received.begin(); It != E.Received.end(); ++It) {
    if (*It < From)
      continue;
    auto End = std::upper_bound(It, E.Received.end(), *It + Window);
    Most = std::max(Most, static_cast<std::size_t>(End - It));
  }
  return Most;
}

std::size_t receivedSince(const CrashEngine &E, TimePoint From) {
  return static_cast<std::size_t>(
      E.Received.end() -
      std::lower_bound(E.Received.begin(), E.Received.end(), From));
}

double allowed(double Limit) {
  return AllowedFactor * Limit * toSeconds(Window) + AllowedExtra;
}

/// Index of the first plain server of the site.
constexpr std::size_t FirstPlain = 10;

struct LimitSite {
  CrashSite Site;
  TimePoint NamedAt{};
  Duration PlainEvery = CallInterval;
  TimePoint PlainAt{};

  explicit LimitSite(std::uint64_t Seed) : Site(Seed) {
    Site.Load.SoundEvery = CallInterval;
  }

  /// Runs the site with requests to its engines and its plain service.
  void run(Duration Time, const std::function<void()> &Action = {}) {
    PlainAt = std::max(PlainAt, Site.now());
    Site.run(Time, [&] {
      while (PlainEvery != Duration::max() && Site.now() >= PlainAt) {
        PlainAt += PlainEvery;
        Site.callPlain(Site.anyEntry(), Site.Callers.size() % 2 == 0);
      }
      if (Action)
        Action();
    });
  }
  void name(std::size_t Server, const std::string &Limit) {
    Site.Engines[Server].ExtraHeaders = {{LimitHeader, Limit}};
    if (NamedAt == TimePoint())
      NamedAt = Site.now();
  }
  /// Checks that the server kept to its limit since it was known.
  void expectKept(const char *Case, std::size_t Server, double Limit) {
    std::size_t Most =
        mostInWindow(Site.Engines[Server], NamedAt + ContactTime);
    checkUnlessKnownRed(Case, static_cast<double>(Most) <= allowed(Limit),
                        std::to_string(Most) + " requests in a window, " +
                            std::to_string(allowed(Limit)) + " allowed");
  }
};

} // namespace

/// Guards against a limit that is not known to those who choose the engine: the
/// placer, and hosts that place alone while it is lost.
BOOST_AUTO_TEST_CASE(LimitOfAnEngineIsKept) {
  const char *Case = "LimitOfAnEngineIsKept";
  LimitSite L(31);
  L.run(seconds(2));
  L.name(0, "0.5");
  L.name(1, "1.25");
  L.run(seconds(14));
  L.expectKept(Case, 0, 0.5);
  L.expectKept(Case, 1, 1.25);
  TimePoint From = L.NamedAt + ContactTime;
  checkUnlessKnownRed(Case, receivedSince(L.Site.Engines[1], From) >= 4,
                      "the limited engine gets nothing");
  BOOST_TEST(L.Site.soundShare(From, L.Site.now() - seconds(2)) > 0.9);
}

/// Guards against hosts that each keep the limit alone and exceed it together.
BOOST_AUTO_TEST_CASE(LimitOfAPlainServerIsKept) {
  const char *Case = "LimitOfAPlainServerIsKept";
  LimitSite L(32);
  L.run(seconds(2));
  L.name(FirstPlain, "0.5");
  L.name(FirstPlain + 1, "1.25");
  L.run(seconds(14));
  L.expectKept(Case, FirstPlain, 0.5);
  L.expectKept(Case, FirstPlain + 1, 1.25);
  TimePoint From = L.NamedAt + ContactTime;
  checkUnlessKnownRed(Case,
                      receivedSince(L.Site.Engines[FirstPlain + 1], From) >= 4,
                      "the limited server gets nothing");
}

/// Guards against a limit that is forgotten, or counted from zero, by a new
/// placer, a new leader, or hosts that start.
BOOST_AUTO_TEST_CASE(LimitIsKeptOverLossesOfHosts) {
  const char *Case = "LimitIsKeptOverLossesOfHosts";
  LimitSite L(33);
  L.run(seconds(2));
  for (std::size_t I : {std::size_t{0}, std::size_t{1}, FirstPlain})
    L.name(I, "1.25");
  L.run(seconds(4));
  for (int I = 0; I < 4; ++I) {
    HostId Placer = L.Site.Entries.begin()->second.State.Link.Placer;
    if (L.Site.Entries.count(Placer) > 0)
      L.Site.killEntry(Placer, seconds(1));
    L.run(seconds(2));
  }
  HostId Leader = L.Site.Control.leader();
  L.Site.Control.losePower(Leader);
  L.run(seconds(4));
  L.Site.Control.start(Leader, false);
  L.run(seconds(4));
  for (std::size_t I : {std::size_t{0}, std::size_t{1}, FirstPlain})
    L.expectKept(Case, I, 1.25);
}
