#include <boost/test/unit_test.hpp>

#include "placement/ReadQueue.h"

using namespace pimento;

namespace {

PlacementKey key(std::uint64_t Ticket) { return {HostId("h"), Ticket}; }

} // namespace

BOOST_AUTO_TEST_CASE(PartsGoAheadOfWholePrompts) {
  PrefillQueue Q;
  pushPrefill(Q, key(1), milliseconds(500), true);
  pushPrefill(Q, key(2), milliseconds(100), false);
  pushPrefill(Q, key(3), milliseconds(50), true);
  BOOST_REQUIRE(Q.Items.size() == 3U);
  BOOST_TEST(Q.Items[0].Key.second == 3U);
  BOOST_TEST(Q.Items[1].Key.second == 1U);
  BOOST_TEST(Q.Items[2].Key.second == 2U);
  BOOST_TEST((prefillBacklog(Q) == milliseconds(650)));
}

BOOST_AUTO_TEST_CASE(PrefillAdvancesInQueueOrder) {
  PrefillQueue Q;
  pushPrefill(Q, key(1), milliseconds(500), true);
  advancePrefills(Q, milliseconds(200));
  pushPrefill(Q, key(2), milliseconds(100), true);
  advancePrefills(Q, milliseconds(150));
  BOOST_REQUIRE(Q.Items.size() == 1U);
  BOOST_TEST((Q.Items[0].Left == milliseconds(250)));
  advancePrefills(Q, seconds(9));
  BOOST_TEST(Q.Items.empty());
}

BOOST_AUTO_TEST_CASE(RemovedRequestLeavesTheQueue) {
  PrefillQueue Q;
  pushPrefill(Q, key(1), milliseconds(500), true);
  pushPrefill(Q, key(2), milliseconds(100), false);
  removePrefill(Q, key(1));
  BOOST_TEST((prefillBacklog(Q) == milliseconds(100)));
}
