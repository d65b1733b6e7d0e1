// Entry point shared by the unit test programs.
#define BOOST_TEST_MODULE bluebell
#include <boost/test/unit_test.hpp>
