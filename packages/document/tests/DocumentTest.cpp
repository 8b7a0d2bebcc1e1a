#define BOOST_TEST_MODULE document
#include <boost/test/unit_test.hpp>

#include "document/Document.h"
#include "document/Spread.h"
#include "document/Store.h"
BOOST_AUTO_TEST_CASE(Compiles) { BOOST_TEST(true); }
