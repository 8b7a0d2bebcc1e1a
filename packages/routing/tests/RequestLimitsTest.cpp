#include <boost/test/unit_test.hpp>

#include "routing/RequestLimits.h"

using namespace pimento;

namespace {

const TimePoint Start = TimePoint(seconds(100));
const BackendId Server("i-1");

/// Sends all that \p From knows to \p To.
void tell(const RequestLimits &From, RequestLimits &To, TimePoint Now) {
  for (const ServerLimit &Record : limitRecords(From, 0, Now))
    applyLimit(To, Record, Now);
}

} // namespace

BOOST_AUTO_TEST_CASE(LatestAnswerOfTheIncarnationCounts) {
  RequestLimits L;
  BOOST_TEST(!observeLimit(L, Server, 1, std::nullopt, Start));
  BOOST_TEST(L.Servers.empty());
  BOOST_TEST(observeLimit(L, Server, 1, 2.5, Start));
  BOOST_TEST(!observeLimit(L, Server, 1, 2.5, Start + seconds(1)));
  BOOST_TEST(*limitOf(L, Server, 1) == 2.5);
  BOOST_TEST(observeLimit(L, Server, 1, 0.3, Start + seconds(2)));
  BOOST_TEST(*limitOf(L, Server, 1) == 0.3);
  BOOST_TEST(!limitOf(L, Server, 2).has_value());
  BOOST_TEST(observeLimit(L, Server, 1, std::nullopt, Start + seconds(3)));
  BOOST_TEST(!limitOf(L, Server, 1).has_value());
}

/// Guards against a limit that comes back from a host which has not heard that
/// it ended.
BOOST_AUTO_TEST_CASE(OlderRecordDoesNotBringALimitBack) {
  RequestLimits A;
  RequestLimits B;
  observeLimit(A, Server, 1, 2.5, Start);
  tell(A, B, Start + milliseconds(10));
  BOOST_TEST(limitDigest(A) == limitDigest(B));
  observeLimit(A, Server, 1, std::nullopt, Start + seconds(1));
  tell(B, A, Start + seconds(2));
  BOOST_TEST(!limitOf(A, Server, 1).has_value());
  tell(A, B, Start + seconds(2));
  BOOST_TEST(!limitOf(B, Server, 1).has_value());
  BOOST_TEST(limitDigest(A) == limitDigest(B));
}

/// Guards against a server that names another number in each answer, which all
/// hosts would be told each time.
BOOST_AUTO_TEST_CASE(SmallChangesAreNotTold) {
  RequestLimits L;
  observeLimit(L, Server, 1, 2.5, Start);
  std::uint64_t Digest = limitDigest(L);
  for (int I = 1; I < 20; ++I)
    BOOST_TEST(
        !observeLimit(L, Server, 1, 2.4 + 0.01 * I, Start + milliseconds(I)));
  BOOST_TEST(limitDigest(L) == Digest);
  BOOST_TEST(observeLimit(L, Server, 1, 2.0, Start + seconds(1)));
  BOOST_TEST(observeLimit(L, Server, 1, 0.0, Start + seconds(2)));
  BOOST_TEST(!observeLimit(L, Server, 1, 0.0, Start + seconds(3)));
}

BOOST_AUTO_TEST_CASE(OnlyChangedRecordsAreSent) {
  RequestLimits L;
  observeLimit(L, Server, 1, 2.5, Start);
  std::uint64_t Before = L.Revision;
  observeLimit(L, BackendId("i-2"), 1, 1.0, Start);
  observeLimit(L, Server, 1, 2.5, Start + seconds(1));
  std::vector<ServerLimit> Records = limitRecords(L, Before, Start);
  BOOST_REQUIRE(Records.size() == 1U);
  BOOST_TEST(Records[0].Server.Value == "i-2");
}

BOOST_AUTO_TEST_CASE(RestartedServerHasNoLimit) {
  RequestLimits L;
  observeLimit(L, Server, 1, 2.5, Start);
  BOOST_TEST(observeLimit(L, Server, 2, std::nullopt, Start + seconds(1)));
  BOOST_TEST(!limitOf(L, Server, 2).has_value());
  BOOST_TEST(!observeLimit(L, Server, 1, 2.5, Start + seconds(2)));
}

/// Guards against records that pile up, and against a limited server that gets
/// no requests for a while and is then taken for a sound one.
BOOST_AUTO_TEST_CASE(RecordsOfServersThatAreGoneExpire) {
  RequestLimits L;
  ServerRegistry Registry;
  ServerReport Report;
  Report.Id = Server;
  Report.Incarnation = 1;
  applyReport(Registry, Report, Start);
  observeLimit(L, Server, 1, 2.5, Start);
  observeLimit(L, BackendId("gone"), 1, 2.5, Start);
  expireLimits(L, Registry, Start + seconds(20));
  BOOST_TEST(limitedServers(L) == 2U);
  expireLimits(L, Registry, Start + seconds(40));
  BOOST_TEST(limitedServers(L) == 1U);
  BOOST_TEST(limitOf(L, Server, 1).has_value());
}
