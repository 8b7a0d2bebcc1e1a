#define BOOST_TEST_MODULE quarantine
#include <boost/test/unit_test.hpp>

#include "quarantine/AnswerHistory.h"

using namespace pimento;

namespace {
const TimePoint Start = TimePoint(seconds(100));

Suspect part(const AccountId &Account, PartId Part) {
  return {Account, Part, RequestDigest()};
}
} // namespace

BOOST_AUTO_TEST_CASE(LatestAnswerIsKnownByAccountAndByPart) {
  AnswerHistory H;
  AccountId A("a");
  AccountId B("b");
  noteAnswered(H, part(A, PartId{1}), Start, 1);
  noteAnswered(H, part(A, PartId{1}), Start - seconds(1), 1);
  noteAnswered(H, part(B, PartId{1}), Start + seconds(2), 1);
  BOOST_TEST((answeredAt(H, part(A, PartId{1})) == Start));
  BOOST_TEST((answeredAt(H, PartId{1}) == Start + seconds(2)));
  BOOST_TEST(!answeredAt(H, part(A, PartId{2})).has_value());
}

/// Millions of parts take bounded memory, and a part in use is not forgotten.
BOOST_AUTO_TEST_CASE(HistoryIsBounded) {
  AnswerHistory H;
  AccountId A("a");
  for (std::uint64_t I = 0; I < 100000; ++I) {
    noteAnswered(H, part(A, PartId{I + 10}), Start, 1);
    noteAnswered(H, part(A, PartId{1}), Start, 1);
  }
  BOOST_TEST(H.Recent.size() <= MaxHistoryEntries);
  BOOST_TEST(H.Older.size() <= MaxHistoryEntries);
  BOOST_TEST(answeredAt(H, part(A, PartId{1})).has_value());
  BOOST_TEST(!answeredAt(H, part(A, PartId{10})).has_value());
}

/// Guards against an account that clears the request of another one by naming a
/// part: the two kinds of suspects share no entry.
BOOST_AUTO_TEST_CASE(AnswersToPartsAndRequestsAreKeptApart) {
  AnswerHistory H;
  Suspect Request{AccountId("a"), PartId{}, RequestDigest{7, 9}};
  noteAnswered(H, Request, Start, 1);
  BOOST_TEST((answeredAt(H, Request) == Start));
  Suspect Other{AccountId("a"), PartId{}, RequestDigest{7, 8}};
  BOOST_TEST(!answeredAt(H, Other).has_value());
  for (std::uint64_t I = 0; I < 1000; ++I)
    noteAnswered(H, part(AccountId("a"), PartId{I}), Start + seconds(1), 1);
  BOOST_TEST((answeredAt(H, Request) == Start));
}
