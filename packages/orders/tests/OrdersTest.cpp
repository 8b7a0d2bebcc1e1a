#define BOOST_TEST_MODULE orders
#include <boost/test/unit_test.hpp>

#include "orders/Orders.h"

using namespace pimento;

namespace {

OrderCommand begin(const char *Engine, const char *Model) {
  OrderCommand C;
  C.Kind = OrderCommandKind::Begin;
  C.Backend = BackendId(Engine);
  C.Life = 1;
  C.Name = Model;
  C.LoadLimit = 2;
  return C;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Book)

BOOST_AUTO_TEST_CASE(OneOpenOrderAndOneBudget) {
  OrderBook B;
  BOOST_CHECK_EQUAL(apply(B, begin("e1", "atlas")).Fence, 1U);
  BOOST_CHECK(!apply(B, begin("e1", "boreas")).Accepted);
  BOOST_CHECK(apply(B, begin("e2", "atlas")).Accepted);
  BOOST_CHECK(!apply(B, begin("e3", "atlas")).Accepted);
  OrderCommand Undo = begin("e1", "atlas");
  Undo.Order = OrderKind::Unload;
  Undo.Replaces = 1;
  BOOST_CHECK_EQUAL(apply(B, Undo).Fence, 3U);
  BOOST_CHECK_EQUAL(openLoads(B), 2U); // The share goes with the undoing.
  OrderCommand End;
  End.Kind = OrderCommandKind::End;
  End.Backend = BackendId("e1");
  End.Fence = 1;
  BOOST_CHECK(!apply(B, End).Accepted);
  End.Fence = 3;
  BOOST_CHECK(apply(B, End).Accepted);
  BOOST_CHECK_EQUAL(openLoads(B), 1U);
}

BOOST_AUTO_TEST_CASE(NumbersRiseAboveWhatAnEngineHasSeen) {
  OrderBook B;
  OrderCommand C = begin("e1", "atlas");
  C.Floor = 41;
  BOOST_CHECK_EQUAL(apply(B, C).Fence, 42U);
  BOOST_CHECK_EQUAL(apply(B, begin("e2", "atlas")).Fence, 43U);
}

BOOST_AUTO_TEST_CASE(CommandsAndBooksTravelWhole) {
  OrderBook B;
  OrderCommand C = begin("e1", "atlas");
  C.Floor = 7;
  C.At = hours(24 * 365 * 50);
  std::string Bytes = encodeCommand(C);
  BOOST_CHECK(isOrderCommand(Bytes));
  BOOST_CHECK(!isOrderCommand("x"));
  apply(B, *decodeOrderCommand(Bytes));
  OrderCommand End;
  End.Kind = OrderCommandKind::End;
  End.Backend = C.Backend;
  End.Fence = 8;
  End.Life = 1;
  apply(B, End);
  apply(B, begin("e2", "atlas"));
  OrderBook Read = *decodeBook(encodeBook(B));
  BOOST_CHECK_EQUAL(encodeBook(Read), encodeBook(B));
  BOOST_CHECK_EQUAL(Read.LastFence, 9U);
  BOOST_CHECK(wasLoaded(findEngine(Read, C.Backend), 1, ModelName("atlas")));
  BOOST_CHECK(!wasLoaded(findEngine(Read, C.Backend), 2, ModelName("atlas")));
  BOOST_CHECK(findEngine(Read, BackendId("e2"))->Open);
}

BOOST_AUTO_TEST_SUITE_END()
