#define BOOST_TEST_MODULE schedule
#include <boost/test/unit_test.hpp>
