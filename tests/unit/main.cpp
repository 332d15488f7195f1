#define BOOST_TEST_MODULE jujubedrum
#include <boost/test/unit_test.hpp>
