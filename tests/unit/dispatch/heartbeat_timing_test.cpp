#include "dispatch/heartbeat_timing.hpp"

#include <boost/test/unit_test.hpp>

namespace jujubedrum
{

namespace
{

/// Time between a caller's failed attempt and its next one.
constexpr milliseconds next_attempt_delay{1300};
/// Time until a dead link is closed.
constexpr milliseconds link_check_interval{100};
/// Two stop requests of which the first is lost, and the stop itself.
constexpr milliseconds max_stop_time{2 * 65 + 50};

double heartbeats_per_second(bool holds_pools, std::size_t prioritized,
                             std::size_t regular)
{
    const auto rate = [&](bool is_prioritized, std::size_t count)
    {
        const auto interval = heartbeat_timing::interval(
            {holds_pools, is_prioritized, prioritized + regular});
        return static_cast<double>(count) * 1000.0 /
               static_cast<double>(interval.count());
    };
    return rate(true, prioritized) + rate(false, regular);
}

} // namespace

BOOST_AUTO_TEST_SUITE(heartbeat_timing_suite)

// Nine instances, three in each failure domain.
BOOST_AUTO_TEST_CASE(small_cluster_dead_peer_detected_before_next_attempt)
{
    for (const bool holds_pools : {false, true})
    {
        const auto interval =
            heartbeat_timing::interval({holds_pools, true, 8});
        BOOST_TEST(
            (heartbeat_timing::dead_timeout(interval) < next_attempt_delay));
    }
}

// Guards against tasks that outlive a caller's attempt in a large cluster.
BOOST_AUTO_TEST_CASE(any_size_link_with_open_jobs_dead_before_next_attempt)
{
    for (const bool holds_pools : {false, true})
    {
        for (std::size_t peers = 0; peers < 1000; peers += 7)
        {
            const auto interval =
                heartbeat_timing::interval({holds_pools, false, peers, true});
            BOOST_TEST((heartbeat_timing::dead_timeout(interval) +
                            link_check_interval + max_stop_time <
                        next_attempt_delay));
        }
    }
}

BOOST_AUTO_TEST_CASE(holder_unanswered_suspect_before_dead)
{
    for (const std::size_t peers : {2, 40, 300})
    {
        const auto interval = heartbeat_timing::interval({true, false, peers});
        BOOST_TEST((heartbeat_timing::suspect_timeout(interval) <
                    heartbeat_timing::dead_timeout(interval)));
    }
}

// Guards against heartbeats in proportion to the number of instances: in the
// sweep of 2026-12-04, each of 300 instances sent and received 1,200 a second.
BOOST_AUTO_TEST_CASE(instances_tenfold_heartbeats_below_tenfold)
{
    const double few = heartbeats_per_second(false, 9, 20);
    const double many = heartbeats_per_second(false, 99, 200);
    BOOST_TEST(many < 5 * few);
    BOOST_TEST(many < 300);
}

BOOST_AUTO_TEST_CASE(prioritized_link_interval_never_longer)
{
    for (const bool holds_pools : {false, true})
    {
        for (std::size_t peers = 0; peers < 1000; peers += 7)
        {
            BOOST_TEST(
                (heartbeat_timing::interval({holds_pools, true, peers}) <=
                 heartbeat_timing::interval({holds_pools, false, peers})));
        }
    }
}

BOOST_AUTO_TEST_CASE(interval_missing_or_out_of_range_is_clamped)
{
    BOOST_TEST(
        (heartbeat_timing::clamp_interval(milliseconds(0)) > milliseconds(0)));
    BOOST_TEST((heartbeat_timing::clamp_interval(milliseconds(4'000'000'000)) <=
                seconds(2)));
    BOOST_TEST((heartbeat_timing::clamp_interval(milliseconds(1)) >=
                milliseconds(100)));
    for (const std::size_t peers : {1, 36, 300})
    {
        for (const bool prioritized : {false, true})
        {
            const auto own =
                heartbeat_timing::interval({false, prioritized, peers});
            BOOST_TEST((heartbeat_timing::clamp_interval(own) == own));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubedrum
