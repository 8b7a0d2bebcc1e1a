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
                   std::size_t Count, bool RefusesWithoutId = false) {
  ServerSite Site = busySite(Seed);
  Site.run(seconds(3));
  for (std::size_t I = 0; I < Count; ++I) {
    Site.Engines[First + I].Arrivals.clear();
    Site.Engines[First + I].RetryAfter = "4";
    Site.Engines[First + I].RefusesWithoutId = RefusesWithoutId;
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

/// Guards against DRAIN while the control hosts are lost, and with them the way
/// to other hosts: each host that got the announcement keeps to it.
BOOST_AUTO_TEST_CASE(LeavingServerGetsNoRequestWithoutControlHosts) {
  ServerSite Site = busySite(45);
  Site.run(seconds(3));
  for (const HostId &Host : Site.Control.Seeds)
    Site.Control.losePower(Host);
  for (std::size_t Server : {std::size_t(0), FirstPlain}) {
    Site.Engines[Server].ExtraHeaders = {{"Server-Leaving", "1"}};
    Site.Engines[Server].Arrivals.clear();
  }
  Site.run(seconds(4));
  for (std::size_t Server : {std::size_t(0), FirstPlain}) {
    for (const auto &[Host, Times] : Site.Engines[Server].Arrivals) {
      TimePoint Allowed = Times.front() + DrainTime;
      BOOST_TEST((Times.back() <= Allowed));
    }
  }
}

/// Guards against DRAIN after the placer is lost: the next one knows nothing of
/// its own.
BOOST_AUTO_TEST_CASE(LeavingEngineGetsNoRequestFromTheNextPlacer) {
  ServerSite Site = busySite(46);
  Site.run(seconds(3));
  Site.Engines[0].ExtraHeaders = {{"Server-Leaving", "1"}};
  Site.run(seconds(1));
  HostId Placer = Site.Entries.begin()->second.State.Link.Placer;
  BOOST_TEST_REQUIRE(Site.Entries.count(Placer) == 1U);
  Site.killEntry(Placer, milliseconds(500));
  TimePoint From = Site.now();
  Site.run(seconds(8));
  BOOST_TEST(arrivedSince(Site.Engines[0], From) == 0U);
  BOOST_TEST(Site.soundShare(From + seconds(3), Site.now() - seconds(2)) > 0.9);
}

/// Guards against callers that wait until their time limit, or are sent to
/// servers that leave, where no other is left.
BOOST_AUTO_TEST_CASE(CallersAreRefusedAtOnceWhereAllServersLeave) {
  ServerSite Site = busySite(47);
  Site.run(seconds(3));
  for (std::size_t I = 0; I < 4; ++I)
    Site.Engines[FirstPlain + I].ExtraHeaders = {{"Server-Leaving", "1"}};
  Site.run(seconds(3));
  std::string Attempt = Site.callPlain(Site.anyEntry());
  BOOST_TEST(Site.Callers[Attempt].Status == 503);
  BOOST_TEST(Site.Callers[Attempt].Sends == 0);
  BOOST_TEST(Site.Callers[Attempt].RetryAfter > 0.0);
}

/// Guards against a server that is avoided since the one before it at the same
/// address has left.
BOOST_AUTO_TEST_CASE(NextServerAtTheAddressGetsRequests) {
  ServerSite Site = busySite(48);
  Site.run(seconds(3));
  Site.Engines[FirstPlain].ExtraHeaders = {{"Server-Leaving", "1"}};
  Site.run(seconds(3));
  Site.Engines[FirstPlain].ExtraHeaders.clear();
  Site.crash(FirstPlain); // Starts again under another id.
  Site.run(seconds(6));
  BOOST_TEST(arrivedSince(Site.Engines[FirstPlain], Site.now() - seconds(2)) >
             10U);
}

/// Guards against another server that is taken for the one that leaves, and
/// against other values of the header.
BOOST_AUTO_TEST_CASE(OnlyTheAnnouncementCounts) {
  ServerSite Site = busySite(49);
  Site.run(seconds(3));
  for (const char *Value : {"0", "", "true", "11"}) {
    Site.Engines[FirstPlain].ExtraHeaders = {{"Server-Leaving", Value}};
    Site.run(seconds(1));
  }
  BOOST_TEST(arrivedSince(Site.Engines[FirstPlain], Site.now() - seconds(1)) >
             5U);
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

/// Guards against callers that wait, or come back too early or all at once,
/// where all servers want no requests for a time.
BOOST_AUTO_TEST_CASE(CallersLearnWhenServersWantRequestsAgain) {
  ServerSite Site = busySite(50);
  Site.run(seconds(3));
  for (std::size_t I = 0; I < 4; ++I)
    Site.Engines[FirstPlain + I].RetryAfter = "6";
  Site.run(seconds(2));
  std::set<double> Waits;
  for (const auto &[Host, N] : Site.Entries) {
    std::string Attempt = Site.callPlain(Host);
    const CallerView &View = Site.Callers[Attempt];
    BOOST_TEST(View.Status == 503);
    BOOST_TEST(View.RetryAfter > 3.5);
    BOOST_TEST(View.RetryAfter < 8.0);
    Waits.insert(View.RetryAfter);
  }
  BOOST_TEST(Waits.size() == Site.Entries.size());
}

/// Guards against a server that is lost for good after a pause, and against all
/// that waited being sent at its end.
BOOST_AUTO_TEST_CASE(ServersAreProbedOneRequestAtATimeAfterAPause) {
  ServerSite Site = busySite(51);
  Site.run(seconds(3));
  SiteServer &E = Site.Engines[FirstPlain];
  E.Arrivals.clear();
  E.RetryAfter = "0.8";
  Site.run(seconds(8));
  for (const auto &[Host, Times] : E.Arrivals) {
    // One for each pause, and those that crossed the first refusal.
    BOOST_TEST(Times.size() <= 8 / 0.8 + MaxUnwanted);
  }
  E.RetryAfter.clear();
  Site.run(seconds(3));
  BOOST_TEST(arrivedSince(E, Site.now() - seconds(1)) > 5U);
}

/// Guards against a server that is lost, and against a crash, for a header that
/// is no time.
BOOST_AUTO_TEST_CASE(RetryAfterThatIsNoTimeIsIgnored) {
  ServerSite Site = busySite(52);
  Site.run(seconds(3));
  SiteServer &E = Site.Engines[FirstPlain];
  const std::string Values[] = {"-3",
                                "inf",
                                "nan",
                                "soon",
                                "1e3",
                                "0",
                                "Wed, 21 Oct 2026 07:28:00 GMT",
                                std::string(10000, '9')};
  for (const std::string &Value : Values) {
    E.RetryAfter = Value;
    Site.run(milliseconds(500));
  }
  for (const auto &[Host, N] : Site.Entries)
    BOOST_TEST(N.State.Paused.empty());
}

/// Guards against BUDGET: a plain server turns requests away without repeating
/// their ids, and says when it wants some again.
BOOST_AUTO_TEST_CASE(PausesArePartOfRefusalsWithoutAnId) {
  checkUnwanted("PausesArePartOfRefusalsWithoutAnId", 53, FirstPlain, 4,
                /*RefusesWithoutId=*/true);
}

/// Guards against BUDGET of engines that refuse without the request's id.
BOOST_AUTO_TEST_CASE(PausesArePartOfEnginesRefusalsWithoutAnId) {
  checkUnwanted("PausesArePartOfEnginesRefusalsWithoutAnId", 54, 0, 10,
                /*RefusesWithoutId=*/true);
}

/// Guards against DRAIN: a server that turns requests away says that it leaves,
/// in refusals that do not repeat the request's id.
BOOST_AUTO_TEST_CASE(LeavingIsPartOfRefusalsWithoutAnId) {
  ServerSite Site = busySite(55);
  Site.run(seconds(3));
  SiteServer &E = Site.Engines[FirstPlain];
  E.ExtraHeaders = {{"Server-Leaving", "1"}};
  E.RefusesWithoutId = true;
  E.RetryAfter = "0.1";
  TimePoint From = Site.now();
  Site.run(seconds(8));
  std::size_t Late = arrivedSince(E, From + DrainTime + seconds(1));
  checkUnlessKnownRed("LeavingIsPartOfRefusalsWithoutAnId", Late == 0,
                      std::to_string(Late) + " late requests");
}

/// Guards against BUDGET by queries of this host's own: a server that wants no
/// requests is probed meanwhile, since another one is not reached.
BOOST_AUTO_TEST_CASE(ServersThatWantNoRequestsAreNotProbed) {
  ServerSite Site = busySite(56);
  Site.run(seconds(3));
  SiteServer &E = Site.Engines[FirstPlain];
  E.RetryAfter = "4";
  Site.run(seconds(1));
  for (const auto &[Host, N] : Site.Entries)
    BOOST_TEST(N.State.Paused.size() == 1U);
  E.Queries.clear();
  for (const auto &[Host, N] : Site.Entries)
    Site.cutHost(Host, {CutKind::Reset,
                        {Site.Engines[FirstPlain + 1].Address,
                         Site.Engines[FirstPlain + 2].Address}});
  Site.run(milliseconds(2500));
  std::size_t Most = 0;
  for (const auto &[Host, Times] : E.Queries)
    Most = std::max(Most, Times.size());
  checkUnlessKnownRed("ServersThatWantNoRequestsAreNotProbed",
                      Most <= MaxUnwanted,
                      std::to_string(Most) + " queries of one host");
}
