#include "dispatch/look_schedule.hpp"

#include <boost/test/unit_test.hpp>

namespace jujubedrum
{

namespace
{

struct look_schedule_fixture
{
    instant now = seconds(10);
    look_schedule schedule{now};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(look_schedule_suite, look_schedule_fixture)

BOOST_AUTO_TEST_CASE(server_idle_looks_wait_longer_than_busy)
{
    BOOST_TEST(this->schedule.wait(false, this->now).count() >
               this->schedule.wait(true, this->now).count());
}

// Day scale-2 of 2026-12-04: each lost answer to a look hid the end of short
// tasks beyond their objective (156 ms for tasks of 60 ms).
BOOST_AUTO_TEST_CASE(answer_lost_end_found_within_objective)
{
    constexpr milliseconds reply_time{60};
    constexpr milliseconds objective{156};
    constexpr milliseconds run_time{60};
    this->schedule.on_unanswered(this->now);
    BOOST_TEST(this->schedule.pause().count() == 0);
    BOOST_TEST(this->schedule.wait(true, this->now).count() == 0);
    this->schedule.on_answer(this->now);
    const auto wait = this->schedule.wait(true, this->now);
    BOOST_TEST((run_time + wait + reply_time).count() < objective.count());
}

BOOST_AUTO_TEST_CASE(start_answer_lost_looks_are_short)
{
    const auto before = this->schedule.wait(true, this->now);
    this->schedule.on_order_unanswered(this->now);
    BOOST_TEST(this->schedule.wait(true, this->now).count() < before.count());
    this->now += seconds(10);
    BOOST_TEST(this->schedule.wait(true, this->now).count() == before.count());
}

BOOST_AUTO_TEST_CASE(answer_lost_once_server_not_silent)
{
    this->now += milliseconds(460);
    this->schedule.on_unanswered(this->now);
    BOOST_TEST(!this->schedule.silent(this->now));
}

// Two losses in a row happen where a quarter of the answers is lost.
BOOST_AUTO_TEST_CASE(answers_lost_in_quick_succession_server_not_silent)
{
    this->now += milliseconds(90);
    this->schedule.on_unanswered(this->now);
    this->now += milliseconds(60);
    this->schedule.on_unanswered(this->now);
    BOOST_TEST(!this->schedule.silent(this->now));
}

BOOST_AUTO_TEST_CASE(server_dark_silent_and_looked_at_ever_less)
{
    milliseconds last{0};
    for (int look = 0; look < 30; ++look)
    {
        this->now += milliseconds(60) + this->schedule.pause();
        this->schedule.on_unanswered(this->now);
        BOOST_TEST(this->schedule.pause().count() >= last.count());
        last = this->schedule.pause();
    }
    BOOST_TEST(this->schedule.silent(this->now));
    BOOST_TEST(last.count() == 500);
    this->schedule.on_answer(this->now);
    BOOST_TEST(!this->schedule.silent(this->now));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubedrum
