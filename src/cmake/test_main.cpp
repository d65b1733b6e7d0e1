// Defines the main function of each unit test program.
#define BOOST_TEST_MODULE bluebell
#include <boost/test/unit_test.hpp>
