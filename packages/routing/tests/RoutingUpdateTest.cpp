#include <boost/test/unit_test.hpp>

#include "base/Random.h"
#include "routing/RoutingUpdate.h"

using namespace pimento;

namespace {

std::string tableText(std::size_t Routes, std::uint64_t Number) {
  std::string Text = "{\"version\":" + std::to_string(Number) + ",\"routes\":[";
  for (std::size_t I = 0; I < Routes; ++I)
    Text += "{\"name\":\"r" + std::to_string(I * 7919) +
            "\",\"timeoutMs\":10000,\"service\":\"s\"},";
  return Text + "]}";
}

const RoutingVersion Eight = {8, tableText(2000, 8)};

RoutingVersion changed(std::uint64_t Number) {
  RoutingVersion Next = {Number, tableText(2000, Number)};
  Next.Text.replace(Next.Text.size() / 2, 5, "other");
  return Next;
}

} // namespace

BOOST_AUTO_TEST_CASE(UpdatesRestoreTheText) {
  RoutingVersion Next = changed(9);
  for (const RoutingUpdate &Update :
       {wholeUpdate(Next), deltaUpdate(Eight, Next)}) {
    RoutingVersion Have = Eight;
    BOOST_TEST((applyUpdate(Update, Have) == UpdateFault::None));
    BOOST_TEST(Have.Number == 9U);
    BOOST_TEST((Have.Text == Next.Text));
  }
  BOOST_TEST(deltaUpdate(Eight, Next).Packed.Data.size() < 300U);
}

BOOST_AUTO_TEST_CASE(UpdateWithoutItsBaseChangesNothing) {
  RoutingUpdate Update = deltaUpdate(Eight, changed(9));
  RoutingVersion Have = {7, tableText(2000, 7)};
  BOOST_TEST((applyUpdate(Update, Have) == UpdateFault::BaseMissing));
  BOOST_TEST(Have.Number == 7U);
  RoutingVersion None;
  BOOST_TEST((applyUpdate(Update, None) == UpdateFault::BaseMissing));
}

/// Guards against half a table in force: the base has the same number but other
/// content.
BOOST_AUTO_TEST_CASE(UpdateOfAnotherTextIsRefusedByItsDigest) {
  RoutingUpdate Update = deltaUpdate(Eight, changed(9));
  RoutingVersion Have = Eight;
  Have.Text.replace(200, 5, "wrong");
  std::string Before = Have.Text;
  BOOST_TEST((applyUpdate(Update, Have) == UpdateFault::DigestMismatch));
  BOOST_TEST((Have.Text == Before));
}

BOOST_AUTO_TEST_CASE(DamagedUpdatesChangeNothing) {
  RoutingUpdate Update = deltaUpdate(Eight, changed(9));
  Random R(7);
  for (int I = 0; I < 500; ++I) {
    RoutingUpdate Bad = Update;
    std::string &Bytes = Bad.Packed.Data;
    Bytes[below(R, Bytes.size())] ^= static_cast<char>(1 + below(R, 255));
    RoutingVersion Have = Eight;
    UpdateFault Fault = applyUpdate(Bad, Have);
    BOOST_REQUIRE(Fault == UpdateFault::None ? Have.Text == changed(9).Text
                                             : Have.Text == Eight.Text);
  }
}

BOOST_AUTO_TEST_CASE(WholeTextIsSentWhereADifferenceIsNotSmaller) {
  RoutingVersion Other = {9, std::string(500, 'x')};
  BOOST_TEST(deltaUpdate(Eight, Other).Base == 0U);
  BOOST_TEST(deltaUpdate(RoutingVersion(), changed(9)).Base == 0U);
}
