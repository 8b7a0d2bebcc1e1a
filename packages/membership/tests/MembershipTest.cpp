#define BOOST_TEST_MODULE membership
#include <boost/test/unit_test.hpp>

#include "membership/Membership.h"
BOOST_AUTO_TEST_CASE(Compiles) { BOOST_TEST(true); }
