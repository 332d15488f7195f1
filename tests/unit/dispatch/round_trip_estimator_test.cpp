#include "dispatch/round_trip_estimator.hpp"

#include <boost/test/unit_test.hpp>

namespace jujubedrum
{

namespace
{

constexpr milliseconds min_timeout{50};
constexpr milliseconds max_timeout{250};

} // namespace

BOOST_AUTO_TEST_SUITE(round_trip_estimator_suite)

BOOST_AUTO_TEST_CASE(timeout_no_sample_is_the_minimum)
{
    const round_trip_estimator estimator;
    BOOST_CHECK(estimator.timeout(min_timeout, max_timeout) == min_timeout);
}

// Guards against a longer wait for a lost answer where the link is fast.
BOOST_AUTO_TEST_CASE(timeout_fast_replies_is_the_minimum)
{
    round_trip_estimator estimator;
    for (int i = 0; i < 20; ++i)
    {
        estimator.add(milliseconds(2));
    }
    BOOST_CHECK(estimator.timeout(min_timeout, max_timeout) == min_timeout);
}

// Guards against a fixed time-out that takes a full link for a server that is
// gone.
BOOST_AUTO_TEST_CASE(timeout_slow_replies_lies_above_them)
{
    round_trip_estimator estimator;
    for (int i = 0; i < 20; ++i)
    {
        estimator.add(milliseconds(i % 2 == 0 ? 60 : 100));
    }
    const milliseconds timeout = estimator.timeout(min_timeout, max_timeout);
    BOOST_CHECK(timeout > milliseconds(100));
    BOOST_CHECK(timeout < max_timeout);
}

BOOST_AUTO_TEST_CASE(timeout_very_slow_replies_is_the_maximum)
{
    round_trip_estimator estimator;
    estimator.add(milliseconds(900));
    BOOST_CHECK(estimator.timeout(min_timeout, max_timeout) == max_timeout);
}

BOOST_AUTO_TEST_CASE(timeout_fast_replies_again_returns_to_the_minimum)
{
    round_trip_estimator estimator;
    estimator.add(milliseconds(200));
    for (int i = 0; i < 60; ++i)
    {
        estimator.add(milliseconds(2));
    }
    BOOST_CHECK(estimator.timeout(min_timeout, max_timeout) == min_timeout);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubedrum
