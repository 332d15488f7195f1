#include "dispatch/hello_pace.hpp"

#include <boost/test/unit_test.hpp>

namespace jujubedrum
{

namespace
{

/// A caller's next attempt comes this long after the last one broke off.
constexpr milliseconds next_attempt{1300};

double hellos_per_second(bool holds_pools, std::size_t close, std::size_t far)
{
    const auto rate = [&](bool is_close, std::size_t count)
    {
        const auto interval =
            hello_pace::interval({holds_pools, is_close, close + far});
        return static_cast<double>(count) * 1000.0 /
               static_cast<double>(interval.count());
    };
    return rate(true, close) + rate(false, far);
}

} // namespace

BOOST_AUTO_TEST_SUITE(hello_pace_suite)

// Nine instances, three in each failure domain.
BOOST_AUTO_TEST_CASE(small_cluster_losses_noticed_before_next_attempt)
{
    for (const bool holds_pools : {false, true})
    {
        const auto interval = hello_pace::interval({holds_pools, true, 8});
        BOOST_TEST((hello_pace::lost_after(interval) < next_attempt));
    }
}

BOOST_AUTO_TEST_CASE(holder_silent_doubted_before_lost)
{
    for (const std::size_t peers : {2, 40, 300})
    {
        const auto interval = hello_pace::interval({true, false, peers});
        BOOST_TEST((hello_pace::doubt_after(interval) <
                    hello_pace::lost_after(interval)));
    }
}

// The sweep of 2026-12-04: at 300 instances each one sent and got 1,200 hellos
// a second.
BOOST_AUTO_TEST_CASE(instances_tenfold_hellos_not_tenfold)
{
    const double few = hellos_per_second(false, 9, 20);
    const double many = hellos_per_second(false, 99, 200);
    BOOST_TEST(many < 5 * few);
    BOOST_TEST(many < 300);
}

BOOST_AUTO_TEST_CASE(link_that_carries_jobs_never_slower)
{
    for (const bool holds_pools : {false, true})
    {
        for (std::size_t peers = 0; peers < 1000; peers += 7)
        {
            BOOST_TEST((hello_pace::interval({holds_pools, true, peers}) <=
                        hello_pace::interval({holds_pools, false, peers})));
        }
    }
}

BOOST_AUTO_TEST_CASE(promise_absent_or_absurd_is_bounded)
{
    BOOST_TEST((hello_pace::bounded(milliseconds(0)) > milliseconds(0)));
    BOOST_TEST(
        (hello_pace::bounded(milliseconds(4'000'000'000)) <= seconds(2)));
    BOOST_TEST((hello_pace::bounded(milliseconds(1)) >= milliseconds(100)));
    for (const std::size_t peers : {1, 36, 300})
    {
        for (const bool close : {false, true})
        {
            const auto own = hello_pace::interval({false, close, peers});
            BOOST_TEST((hello_pace::bounded(own) == own));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubedrum
