#define BOOST_TEST_MODULE quarantine
#include <boost/test/unit_test.hpp>

#include "quarantine/AnswerHistory.h"

using namespace pimento;

namespace {
const TimePoint Start = TimePoint(seconds(100));
} // namespace

BOOST_AUTO_TEST_CASE(LatestAnswerIsKnownByAccountAndByPart) {
  AnswerHistory H;
  AccountId A("a");
  AccountId B("b");
  noteAnswered(H, A, PartId{1}, Start);
  noteAnswered(H, A, PartId{1}, Start - seconds(1));
  noteAnswered(H, B, PartId{1}, Start + seconds(2));
  BOOST_TEST((answeredAt(H, A, PartId{1}) == Start));
  BOOST_TEST((answeredAt(H, PartId{1}) == Start + seconds(2)));
  BOOST_TEST(!answeredAt(H, A, PartId{2}).has_value());
}

/// Millions of parts take bounded memory, and a part in use is not forgotten.
BOOST_AUTO_TEST_CASE(HistoryIsBounded) {
  AnswerHistory H;
  AccountId A("a");
  for (std::uint64_t I = 0; I < 100000; ++I) {
    noteAnswered(H, A, PartId{I + 10}, Start);
    noteAnswered(H, A, PartId{1}, Start);
  }
  BOOST_TEST(H.Recent.size() <= MaxHistoryEntries);
  BOOST_TEST(H.Older.size() <= MaxHistoryEntries);
  BOOST_TEST(answeredAt(H, A, PartId{1}).has_value());
  BOOST_TEST(!answeredAt(H, A, PartId{10}).has_value());
}
