#include <boost/test/unit_test.hpp>

#include "answer/EventSplitter.h"

using namespace pimento;

BOOST_AUTO_TEST_CASE(LineEndsBetweenEventsAreNoEvent) {
  EventSplitter S;
  takeEvents(S, "id: 1\ndata: x\n\n\n");
  BOOST_TEST(!isWithinEvent(S));
  takeEvents(S, "i");
  BOOST_TEST(isWithinEvent(S));
}

BOOST_AUTO_TEST_CASE(OnlyCompleteEventsAreForwarded) {
  EventSplitter S;
  BOOST_TEST(takeEvents(S, "id: 1\nda").empty());
  BOOST_TEST(takeEvents(S, "ta: x\n").empty());
  BOOST_TEST(S.LastId.empty());
  BOOST_TEST(takeEvents(S, "\nid: 2\n") == "id: 1\ndata: x\n\n");
  BOOST_TEST(S.LastId == "1");
  BOOST_TEST(S.Partial == "id: 2\n");
  BOOST_TEST(S.Events == 1U);
}

BOOST_AUTO_TEST_CASE(AnySplitOfAStreamGivesTheSameBytes) {
  std::string Whole = "id: 1\ndata: a\n\nid:2\ndata: b\r\n\r\n: hint\n\n"
                      "id: 3\ndata: c\n\n";
  for (std::size_t Split = 0; Split <= Whole.size(); ++Split) {
    EventSplitter S;
    std::string Forwarded = takeEvents(S, Whole.substr(0, Split));
    Forwarded += takeEvents(S, Whole.substr(Split));
    BOOST_TEST(Forwarded == Whole);
    BOOST_TEST(S.LastId == "3");
    BOOST_TEST(S.Events == 4U);
  }
}

/// Guards against an answer without end, which looks like an event that never
/// ends.
BOOST_AUTO_TEST_CASE(OverlongEventIsNeverForwarded) {
  EventSplitter S;
  BOOST_TEST(takeEvents(S, std::string(MaxEventBytes, 'x')).empty());
  BOOST_TEST(!isOverlong(S));
  BOOST_TEST(takeEvents(S, "x").empty());
  BOOST_TEST(isOverlong(S));
}
