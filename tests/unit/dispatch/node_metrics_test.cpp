#include "logging.hpp"
#include "node/latency_histogram.hpp"

#include <boost/test/unit_test.hpp>

namespace jujubedrum
{

BOOST_AUTO_TEST_SUITE(node_metrics_suite)

BOOST_AUTO_TEST_CASE(histogram_counts_times_up_to_each_limit)
{
    latency_histogram times;
    for (const int ms : {1, 2, 3, 150, 60000})
    {
        times.add(milliseconds(ms));
    }
    BOOST_TEST(times.cumulative_count(0) == 2);
    BOOST_TEST(times.cumulative_count(1) == 3);
    BOOST_TEST(times.cumulative_count(6) == 4);
    BOOST_TEST(times.cumulative_count(latency_histogram::upper_bounds.size() -
                                      1) == 4);
    BOOST_TEST(times.count() == 5);
}

// Under a flood of requests, logging must not use up the processor time.
BOOST_AUTO_TEST_CASE(log_budget_beyond_rate_refused_until_next_second)
{
    log_budget budget(2);
    BOOST_TEST(budget.admit(10));
    BOOST_TEST(budget.admit(10));
    BOOST_TEST(!budget.admit(10));
    BOOST_TEST(budget.admit(11));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubedrum
