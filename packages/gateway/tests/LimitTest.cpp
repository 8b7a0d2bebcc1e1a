// Backend servers that name a limit of requests a second. All hosts together
// keep it, on every path to a server, and other servers take the work.

#include "gateway/tests/ServerSite.h"
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
std::size_t mostInWindow(const SiteServer &E, TimePoint From) {
  std::size_t Most = 0;
  for (auto It = E.Received.begin(); It != E.Received.end(); ++It) {
    if (*It < From)
      continue;
    auto End = std::upper_bound(It, E.Received.end(), *It + Window);
    Most = std::max(Most, static_cast<std::size_t>(End - It));
  }
  return Most;
}

std::size_t receivedSince(const SiteServer &E, TimePoint From) {
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
  ServerSite Site;
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

/// Guards against a limit that is spent in one burst or not at all where
/// callers wait: all plain servers are limited and more is asked than they
/// take.
BOOST_AUTO_TEST_CASE(LimitsOfAllPlainServersAreUsedEvenly) {
  LimitSite L(34);
  L.run(seconds(2));
  for (std::size_t I = 0; I < 4; ++I)
    L.name(FirstPlain + I, "2");
  L.run(seconds(3));
  TimePoint From = L.Site.now();
  L.run(seconds(12));
  for (std::size_t I = 0; I < 4; ++I) {
    const SiteServer &E = L.Site.Engines[FirstPlain + I];
    L.expectKept("LimitsOfAllPlainServersAreUsedEvenly", FirstPlain + I, 2);
    // Twelve seconds at 2 a second; a fifth is for the ways between hosts.
    BOOST_TEST(receivedSince(E, From) >= 19U);
    for (auto It = E.Received.begin(); It + 2 < E.Received.end(); ++It) {
      bool IsBurst = *It > From && *(It + 2) - *It < milliseconds(250);
      BOOST_TEST(!IsBurst);
    }
  }
}

/// Guards against requests that wait for a permit they cannot get until their
/// time is over.
BOOST_AUTO_TEST_CASE(WhatLimitsDoNotAllowIsRefusedAtOnce) {
  LimitSite L(35);
  L.run(seconds(2));
  for (std::size_t I = 0; I < 4; ++I)
    L.name(FirstPlain + I, "0.3");
  L.run(seconds(4));
  std::vector<std::string> Attempts;
  Attempts.reserve(60);
  L.PlainEvery = Duration::max();
  for (int I = 0; I < 60; ++I)
    Attempts.push_back(L.Site.callPlain(L.Site.anyEntry()));
  L.run(milliseconds(100));
  std::size_t Refused = 0;
  for (const std::string &Attempt : Attempts) {
    const CallerView &View = L.Site.Callers[Attempt];
    Refused += View.Status == 503 && View.RetryAfter >= 0.1 ? 1 : 0;
  }
  // Four servers at 0.3 a second take few of them in the second that they have.
  BOOST_TEST(Refused >= 50U);
}

/// The same for engines, whose requests wait longer.
BOOST_AUTO_TEST_CASE(LimitsOfAllEnginesAreKeptAndUsed) {
  LimitSite L(36);
  L.PlainEvery = Duration::max();
  L.run(seconds(2));
  for (std::size_t I = 0; I < FirstPlain; ++I)
    L.name(I, "1");
  L.run(seconds(3));
  TimePoint From = L.Site.now();
  L.run(seconds(12));
  std::size_t Sum = 0;
  for (std::size_t I = 0; I < FirstPlain; ++I) {
    L.expectKept("LimitsOfAllEnginesAreKeptAndUsed", I, 1);
    Sum += receivedSince(L.Site.Engines[I], From);
  }
  BOOST_TEST(Sum >= 96U); // Of 120.
}

/// Guards against a limit that stays after the server has withdrawn it, is
/// lowered or raised too late, or survives a restart.
BOOST_AUTO_TEST_CASE(LimitHoldsForAsLongAsTheServerSaysSo) {
  LimitSite L(37);
  L.run(seconds(2));
  L.name(0, "0.3");
  L.name(FirstPlain, "0.3");
  L.run(seconds(8));
  L.expectKept("LimitHoldsForAsLongAsTheServerSaysSo", 0, 0.3);
  L.expectKept("LimitHoldsForAsLongAsTheServerSaysSo", FirstPlain, 0.3);
  L.name(FirstPlain, "5");
  L.run(seconds(8));
  TimePoint Raised = L.Site.now() - seconds(4);
  BOOST_TEST(receivedSince(L.Site.Engines[FirstPlain], Raised) >= 12U);
  L.Site.Engines[0].ExtraHeaders.clear();
  L.Site.Engines[FirstPlain].ExtraHeaders.clear();
  L.run(seconds(6));
  for (const auto &[Name, N] : L.Site.Entries)
    BOOST_TEST(limitedServers(N.State.NamedLimits) == 0U);
  L.name(FirstPlain, "0.3");
  L.run(seconds(3));
  L.Site.Engines[FirstPlain].ExtraHeaders.clear();
  L.Site.crash(FirstPlain); // Starts again under another id.
  L.run(seconds(6));
  TimePoint Back = L.Site.now() - seconds(2);
  BOOST_TEST(receivedSince(L.Site.Engines[FirstPlain], Back) >= 10U);
}

/// Guards against hosts that exceed a limit together while no placer answers
/// and no control host leads.
BOOST_AUTO_TEST_CASE(LimitIsKeptByHostsOnTheirOwn) {
  const char *Case = "LimitIsKeptByHostsOnTheirOwn";
  LimitSite L(38);
  L.run(seconds(2));
  L.name(0, "1.25");
  L.name(FirstPlain, "1.25");
  L.run(seconds(3));
  for (const HostId &Host : L.Site.Control.Seeds)
    L.Site.Control.losePower(Host);
  HostId Placer = L.Site.Entries.begin()->second.State.Link.Placer;
  L.Site.killEntry(Placer, seconds(20));
  L.run(seconds(12));
  L.expectKept(Case, 0, 1.25);
  L.expectKept(Case, FirstPlain, 1.25);
}

BOOST_AUTO_TEST_CASE(ValuesThatAreNoLimitsChangeNothing) {
  LimitSite L(39);
  L.run(seconds(1));
  std::vector<std::string> Values = {
      "",    "x",  "-1", "nan", "inf",   "1e3x",
      "1,5", "+2", " ",  "0x2", "1e400", std::string(10000, '9')};
  for (const std::string &Value : Values) {
    L.name(FirstPlain, Value);
    L.name(0, Value);
    L.run(milliseconds(300));
    for (const auto &[Name, N] : L.Site.Entries)
      BOOST_TEST(limitedServers(N.State.NamedLimits) == 0U, Value);
  }
  L.Site.Engines[FirstPlain].ExtraHeaders = {{LimitHeader, "1"},
                                             {LimitHeader, "1"}};
  L.run(milliseconds(300));
  for (const auto &[Name, N] : L.Site.Entries)
    BOOST_TEST(limitedServers(N.State.NamedLimits) == 0U);
}

/// Guards against requests refused for a limit though a server has permits
/// left, since all servers of the service are ejected for failures.
BOOST_AUTO_TEST_CASE(EjectedServersAreUsedWithinTheirLimits) {
  LimitSite L(40);
  L.run(seconds(2));
  for (std::size_t I = 0; I < 4; ++I)
    L.name(FirstPlain + I, "4");
  L.run(seconds(2));
  TimePoint From = L.Site.now();
  L.run(seconds(4), [&] {
    for (auto &[Name, N] : L.Site.Entries) {
      for (auto &[Server, Health] : N.State.Health.Servers)
        Health.EjectedUntil = L.Site.now() + seconds(1);
    }
  });
  std::size_t Sum = 0;
  for (std::size_t I = 0; I < 4; ++I)
    Sum += receivedSince(L.Site.Engines[FirstPlain + I], From);
  BOOST_TEST(Sum >= 40U); // Of 64.
}
