#include "base/bounded_ring.hpp"
#include "base/time.hpp"

#include <boost/test/unit_test.hpp>

using namespace jujubedrum;

BOOST_AUTO_TEST_SUITE(bounded_ring_suite)

// Guards against a queue that grows without bound under a burst.
BOOST_AUTO_TEST_CASE(try_push_full_ring_refuses)
{
    bounded_ring<int> ring(2);
    BOOST_TEST(ring.try_push(1));
    BOOST_TEST(ring.try_push(2));
    BOOST_TEST(!ring.try_push(3));
    BOOST_TEST(ring.pop(microseconds(0)).value() == 1);
    BOOST_TEST(ring.try_push(3));
    BOOST_TEST(ring.pop(microseconds(0)).value() == 2);
    BOOST_TEST(ring.pop(microseconds(0)).value() == 3);
}

// Guards against losing queued elements when the ring is closed.
BOOST_AUTO_TEST_CASE(pop_closed_ring_drains_first)
{
    bounded_ring<int> ring(2);
    BOOST_TEST(ring.try_push(1));
    ring.close();
    BOOST_TEST(!ring.try_push(2));
    BOOST_TEST(ring.pop(microseconds(0)).value() == 1);
    BOOST_TEST(!ring.pop(microseconds(0)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
