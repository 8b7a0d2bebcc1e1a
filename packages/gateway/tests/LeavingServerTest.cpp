// Backend servers that announce in their answers that they leave, or until when
// they want no requests.

#include "gateway/tests/ServerSite.h"
#include "testing/KnownRed.h"

#include <boost/test/unit_test.hpp>

using namespace pimento;
using namespace pimento::testing;

namespace {

/// The pages' drainMs: no request reaches a server that leaves after this time.
constexpr Duration DrainTime = seconds(2);
/// A host may send a server so many requests in the span in which it wants
/// none.
constexpr std::size_t MaxUnwanted = 2;
/// Requests that cross the refusal do not count.
constexpr Duration RefusalSlack = milliseconds(500);
constexpr Duration CallInterval = milliseconds(22);
/// Index of the first plain server of the site.
constexpr std::size_t FirstPlain = 10;

/// A site with requests to its engines and its plain service.
ServerSite busySite(std::uint64_t Seed) {
  ServerSite Site(Seed);
  Site.Load.SoundEvery = CallInterval;
  Site.Load.PlainEvery = CallInterval;
  return Site;
}

/// Requests that reached the server since \p From, from any host.
std::size_t arrivedSince(const SiteServer &E, TimePoint From) {
  std::size_t Count = 0;
  for (const auto &[Host, Times] : E.Arrivals)
    Count += static_cast<std::size_t>(
        Times.end() - std::lower_bound(Times.begin(), Times.end(), From));
  return Count;
}

/// Most requests that a host sent to the server in a span of \p Wanted that
/// begins with one of them, the first RefusalSlack left out.
std::size_t mostUnwanted(const SiteServer &E, Duration Wanted) {
  std::size_t Most = 0;
  for (const auto &[Host, Times] : E.Arrivals) {
    for (TimePoint First : Times) {
      auto Begin =
          std::upper_bound(Times.begin(), Times.end(), First + RefusalSlack);
      auto End = std::lower_bound(Begin, Times.end(), First + Wanted);
      Most = std::max(Most, static_cast<std::size_t>(End - Begin));
    }
  }
  return Most;
}

void checkLeaving(const char *Name, std::uint64_t Seed, std::size_t Server) {
  ServerSite Site = busySite(Seed);
  Site.run(seconds(3));
  Site.Engines[Server].ExtraHeaders = {{"Server-Leaving", "1"}};
  TimePoint From = Site.now();
  Site.run(seconds(10));
  std::size_t Late =
      arrivedSince(Site.Engines[Server], From + DrainTime + seconds(1));
  checkUnlessKnownRed(Name, Late == 0, std::to_string(Late) + " late requests");
}

void checkUnwanted(const char *Name, std::uint64_t Seed, std::size_t First,
                   std::size_t Count) {
  ServerSite Site = busySite(Seed);
  Site.run(seconds(3));
  for (std::size_t I = 0; I < Count; ++I) {
    Site.Engines[First + I].Arrivals.clear();
    Site.Engines[First + I].RetryAfter = "4";
  }
  Site.run(seconds(15));
  std::size_t Most = 0;
  for (std::size_t I = 0; I < Count; ++I)
    Most = std::max(Most, mostUnwanted(Site.Engines[First + I], seconds(4)));
  checkUnlessKnownRed(Name, Most <= MaxUnwanted,
                      std::to_string(Most) + " requests in one span");
}

} // namespace

/// Guards against DRAIN: an engine says in its answers that it leaves, and goes
/// on to get requests.
BOOST_AUTO_TEST_CASE(EngineThatLeavesByHeaderGetsNoRequest) {
  checkLeaving("EngineThatLeavesByHeaderGetsNoRequest", 41, 0);
}

/// Guards against DRAIN on plain servers.
BOOST_AUTO_TEST_CASE(PlainServerThatLeavesByHeaderGetsNoRequest) {
  checkLeaving("PlainServerThatLeavesByHeaderGetsNoRequest", 42, FirstPlain);
}

/// Guards against BUDGET: all plain servers say when they want requests again,
/// and a host goes on to send them some.
BOOST_AUTO_TEST_CASE(PlainServersGetNothingUntilTheyWantRequests) {
  checkUnwanted("PlainServersGetNothingUntilTheyWantRequests", 43, FirstPlain,
                4);
}

/// Guards against BUDGET on engines.
BOOST_AUTO_TEST_CASE(EnginesGetNothingUntilTheyWantRequests) {
  checkUnwanted("EnginesGetNothingUntilTheyWantRequests", 44, 0, 10);
}
