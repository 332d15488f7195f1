#include "platform/append_rate_limiter.hpp"
#include "platform/instance_list.hpp"
#include "platform/record_log.hpp"

#include <boost/test/unit_test.hpp>

using namespace jujubedrum;

BOOST_AUTO_TEST_SUITE(standin_platform_suite)

// Guards against offsets that change when old records are dropped.
BOOST_AUTO_TEST_CASE(read_after_retention_keeps_offsets)
{
    record_log log(2, seconds(100));
    BOOST_TEST(log.append("a", seconds(0)) == 0U);
    BOOST_TEST(log.append("b", seconds(0)) == 1U);
    BOOST_TEST(log.append("c", seconds(1)) == 2U);
    const record_page page = log.read(0, 10, 0);
    BOOST_TEST(page.first_retained == 1U);
    BOOST_TEST(page.next == 3U);
    BOOST_REQUIRE(page.records.size() == 2U);
    BOOST_TEST(page.records[0].first == 1U);
    BOOST_TEST(page.records[0].second == "b");
}

// Guards against records kept beyond the retention time, and against an empty
// stream whose reads return a next offset below its head.
BOOST_AUTO_TEST_CASE(expire_old_records_moves_first_retained)
{
    record_log log(10, seconds(5));
    log.append("a", seconds(0));
    log.expire(seconds(6));
    const record_page page = log.read(0, 10, 0);
    BOOST_TEST(page.records.empty());
    BOOST_TEST(page.first_retained == 1U);
    BOOST_TEST(page.next == 1U);
}

// Guards against a next offset that skips records beyond the page size, and
// against a lagging read that returns an offset before the one requested.
BOOST_AUTO_TEST_CASE(read_limited_or_lagging_never_skips)
{
    record_log log(10, seconds(5));
    log.append("a", seconds(0));
    log.append("b", seconds(0));
    BOOST_TEST(log.read(0, 1, 0).next == 1U);
    BOOST_TEST(log.read(0, 10, 1).records.size() == 1U);
    const record_page behind = log.read(2, 10, 1);
    BOOST_TEST(behind.records.empty());
    BOOST_TEST(behind.next == 2U);
}

// Guards against a stand-in that accepts a higher append rate than the real
// platform.
BOOST_AUTO_TEST_CASE(reserve_over_rate_waits_then_refuses)
{
    append_rate_limiter limiter(10);
    const instant now = seconds(10);
    BOOST_TEST((limiter.reserve(now) == microseconds(0)));
    BOOST_TEST((limiter.reserve(now) == microseconds(0)));
    BOOST_TEST((limiter.reserve(now) == milliseconds(100)));
    for (int i = 0; i < 9; ++i)
    {
        BOOST_TEST(limiter.reserve(now).has_value());
    }
    BOOST_TEST(!limiter.reserve(now).has_value());
    BOOST_TEST(limiter.reserve(now + seconds(1)).has_value());
}

// Guards against deltas that omit a change, and against a full list that
// includes an instance in the state "gone".
BOOST_AUTO_TEST_CASE(read_list_after_changes_returns_delta)
{
    instance_list list;
    list.put("b1", {{"port", 1}}, seconds(1));
    list.put("b2", {{"port", 2}}, seconds(1));
    list.put("b1", {{"state", "gone"}}, seconds(2));
    const auto delta = list.read(2, seconds(3));
    BOOST_TEST(!delta["full"].get<bool>());
    BOOST_TEST(delta["version"] == 3);
    BOOST_REQUIRE(delta["changes"].size() == 1U);
    BOOST_TEST(delta["changes"][0]["state"] == "gone");
    const auto full = list.read(0, seconds(3));
    BOOST_TEST(full["full"].get<bool>());
    BOOST_REQUIRE(full["changes"].size() == 1U);
    BOOST_TEST(full["changes"][0]["name"] == "b2");
}

// Guards against a lagging or frozen list that shows newer changes.
BOOST_AUTO_TEST_CASE(read_list_lagging_or_frozen_hides_new_changes)
{
    instance_list list;
    list.put("b1", {{"port", 1}}, seconds(1));
    list.set_lag(seconds(5));
    BOOST_TEST(list.read(0, seconds(5))["changes"].empty());
    BOOST_TEST(list.read(0, seconds(6))["changes"].size() == 1U);
    list.set_frozen(true, seconds(6));
    list.put("b2", {{"port", 2}}, seconds(7));
    BOOST_TEST(list.read(1, seconds(60))["changes"].empty());
    BOOST_TEST(list.read(1, seconds(60))["version"] == 1);
    list.set_frozen(false, seconds(60));
    BOOST_TEST(list.read(1, seconds(60))["changes"].size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
