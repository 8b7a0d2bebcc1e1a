#include <boost/test/unit_test.hpp>

#include "base/RequestDigest.h"

using namespace pimento;

/// Guards against two requests that are taken for one: another account, path,
/// query or body is another request, wherever the border of two fields lies.
BOOST_AUTO_TEST_CASE(DigestTellsRequestsApart) {
  AccountId A("a");
  RequestDigest D = digestOf(A, "/p?q=1", "body");
  BOOST_TEST(!D.empty());
  BOOST_TEST((digestOf(A, "/p?q=1", "body") == D));
  BOOST_TEST((digestOf(AccountId("b"), "/p?q=1", "body") != D));
  BOOST_TEST((digestOf(A, "/p?q=2", "body") != D));
  BOOST_TEST((digestOf(A, "/p?q=1", "Body") != D));
  BOOST_TEST((digestOf(A, "/p?q=1b", "ody") != D));
  BOOST_TEST((digestOf(AccountId("a/"), "p?q=1", "body") != D));
  BOOST_TEST((digestOf(A, "/p?q=1", "") != digestOf(A, "/p", "")));
}

BOOST_AUTO_TEST_CASE(DigestIsReadBack) {
  RequestDigest D = digestOf(AccountId("a"), "/p", std::string(100000, 'x'));
  RequestDigest Read;
  BOOST_TEST(parseRequestDigest(toString(D), Read));
  BOOST_TEST((Read == D));
  BOOST_TEST(!parseRequestDigest("bad", Read));
  BOOST_TEST((Read == D));
}
