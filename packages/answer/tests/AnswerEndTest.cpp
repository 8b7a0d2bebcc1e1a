#define BOOST_TEST_MODULE answer
#include <boost/test/unit_test.hpp>

#include "answer/AnswerEnd.h"

using namespace pimento;

namespace {

EndedAnswer eventStream(bool IsDelimited) {
  EndedAnswer A;
  A.IsDelimited = IsDelimited;
  A.IsEvents = true;
  A.HasEvents = true;
  A.IsEngine = true;
  return A;
}

} // namespace

/// Guards against a stream that its server ends properly, by its last chunk, in
/// the middle of an event: it reached the caller as complete.
BOOST_AUTO_TEST_CASE(StreamThatEndsWithinAnEventIsBrokenOff) {
  for (bool IsDelimited : {false, true}) {
    for (bool IsRest : {false, true}) {
      for (bool IsEngine : {false, true}) {
        EndedAnswer A = eventStream(IsDelimited);
        A.IsRest = IsRest;
        A.IsEngine = IsEngine;
        A.IsWithinEvent = true;
        BOOST_TEST((judgeEnd(A) == AnswerEnd::BrokenOff));
      }
    }
  }
}

/// Guards against an empty stream that is framed as a whole one.
BOOST_AUTO_TEST_CASE(StreamWithoutEventsIsBrokenOff) {
  for (bool IsDelimited : {false, true}) {
    EndedAnswer A = eventStream(IsDelimited);
    A.HasEvents = false;
    BOOST_TEST((judgeEnd(A) == AnswerEnd::BrokenOff));
  }
}

/// A stream that was broken off after its last event has nothing left to send.
BOOST_AUTO_TEST_CASE(RestOfAStreamMayBeEmptyIfItsEndIsMarked) {
  EndedAnswer A = eventStream(true);
  A.HasEvents = false;
  A.IsRest = true;
  BOOST_TEST((judgeEnd(A) == AnswerEnd::Complete));
  A.IsDelimited = false;
  BOOST_TEST((judgeEnd(A) == AnswerEnd::BrokenOff));
}

/// Guards against an engine that crashes between two events: its connection
/// ends as that of one that has finished.
BOOST_AUTO_TEST_CASE(EndOfAConnectionIsConfirmedByTheEngine) {
  BOOST_TEST((judgeEnd(eventStream(true)) == AnswerEnd::Complete));
  BOOST_TEST((judgeEnd(eventStream(false)) == AnswerEnd::Unconfirmed));
  EndedAnswer Plain = eventStream(false);
  Plain.IsEngine = false;
  BOOST_TEST((judgeEnd(Plain) == AnswerEnd::Complete));
}

/// A body that is no stream of events may end with its connection.
BOOST_AUTO_TEST_CASE(OtherBodiesEndWithTheirFraming) {
  EndedAnswer A;
  BOOST_TEST((judgeEnd(A) == AnswerEnd::Complete));
  A.IsDelimited = true;
  BOOST_TEST((judgeEnd(A) == AnswerEnd::Complete));
}
