#define BOOST_TEST_MODULE fakes
#include <boost/test/unit_test.hpp>

#include "fakes/AnswerText.h"

using namespace pimento::fakes;

BOOST_AUTO_TEST_CASE(TokensRoundUp) {
  BOOST_TEST(tokensOf("") == 0U);
  BOOST_TEST(tokensOf("a") == 1U);
  BOOST_TEST(tokensOf("abcd") == 1U);
  BOOST_TEST(tokensOf("abcde") == 2U);
}

BOOST_AUTO_TEST_CASE(AnswersMatchTheDocumentedFunction) {
  // Computed from docs/ENGINE-PROTOCOL.md with an independent program.
  BOOST_TEST(answerToken(0, 0) == "txq ");
  BOOST_TEST(answerToken(0, 1) == "wyn ");
  BOOST_TEST(answerToken(0x0123456789abcdefULL, 1000000) == "uhg ");
}

BOOST_AUTO_TEST_CASE(AnswersDependOnThePromptAndTheOffset) {
  std::string Whole = answerText("one prompt", 0, 100);
  BOOST_TEST(Whole.size() == 100 * BytesPerToken);
  BOOST_TEST(Whole != answerText("other prompt", 0, 100));
  BOOST_TEST(answerText("one prompt", 40, 60) ==
             Whole.substr(40 * BytesPerToken));
  BOOST_TEST(answerText("one prompt", 40, 60) !=
             Whole.substr(39 * BytesPerToken, 60 * BytesPerToken));
}
