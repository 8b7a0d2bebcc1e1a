#define BOOST_TEST_MODULE base
#include <boost/test/unit_test.hpp>

#include "base/Http.h"
#include "base/Ids.h"
#include "base/Random.h"
#include "base/Token.h"

using namespace pimento;

BOOST_AUTO_TEST_CASE(ParsingRestoresFormattedRequestId) {
  RequestId Id{0x0123456789abcdefULL, 42};
  RequestId Read;
  BOOST_TEST(toString(Id) == "0123456789abcdef000000000000002a");
  BOOST_TEST(parseRequestId(toString(Id), Read));
  BOOST_TEST(Read == Id);
}

BOOST_AUTO_TEST_CASE(MalformedAttemptIdsAreRejected) {
  AttemptId Id;
  std::string Valid = toString(AttemptId{{1, 2}, 3});
  BOOST_TEST(parseAttemptId(Valid, Id));
  BOOST_TEST(Id.Number == 3U);
  for (const std::string &Malformed :
       {std::string(), Valid + "x", Valid.substr(1), std::string(40, 'g'),
        toString(RequestId{1, 2}), toString(RequestId{1, 2}) + "-",
        "0X" + Valid.substr(2), toString(RequestId{1, 2}) + "-99999999999"})
    BOOST_TEST(!parseAttemptId(Malformed, Id), Malformed);
}

BOOST_AUTO_TEST_CASE(SameSeedGivesSameRandomNumbers) {
  Random A(7);
  Random B(7);
  for (int I = 0; I < 100; ++I)
    BOOST_TEST(below(A, 10) == below(B, 10));
  double Value = uniform(A);
  BOOST_TEST((Value >= 0 && Value < 1));
  BOOST_TEST((between(A, seconds(2), seconds(1)) == seconds(2)));
}

BOOST_AUTO_TEST_CASE(TokenFunctionsReturnKnownValues) {
  BOOST_TEST(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223"
                                 "b00361a396177a9cb410ff61f20015ad");
  BOOST_TEST(hmacSha256Hex("key", "The quick brown fox jumps over the lazy "
                                  "dog") == "f7bc83f430538424b13298e6aa6fb143"
                                            "ef4d59a14946175997479dbc2d1a3cd8");
  BOOST_TEST(equalConstantTime("same", "same"));
  BOOST_TEST(!equalConstantTime("same", "sane"));
  BOOST_TEST(!equalConstantTime("same", "longer"));
  BOOST_TEST(bearerToken("Bearer secret") == "secret");
  BOOST_TEST(bearerToken("Basic secret").empty());
  BOOST_TEST(bearerToken(nullptr).empty());
}

BOOST_AUTO_TEST_CASE(HeaderLookupIgnoresCase) {
  std::vector<HttpHeader> Headers = {{"X-Request-Id", "7"}, {"Other", "8"}};
  BOOST_TEST(headerValue(Headers, "x-request-id") == "7");
  BOOST_TEST(headerValue(Headers, "X-Request").empty());
}
