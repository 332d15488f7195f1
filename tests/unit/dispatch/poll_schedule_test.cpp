#include "dispatch/poll_schedule.hpp"

#include <boost/test/unit_test.hpp>

namespace jujubedrum
{

namespace
{

struct poll_schedule_fixture
{
    instant now = seconds(10);
    poll_schedule schedule{now};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(poll_schedule_suite, poll_schedule_fixture)

BOOST_AUTO_TEST_CASE(server_idle_polls_wait_longer_than_busy)
{
    BOOST_TEST(this->schedule.wait(false, this->now).count() >
               this->schedule.wait(true, this->now).count());
}

// Guards against a lost poll reply that hides the end of a short task beyond
// its objective (156 ms for tasks of 60 ms; day scale-2 of 2026-12-04).
BOOST_AUTO_TEST_CASE(poll_unanswered_run_end_found_within_objective)
{
    constexpr milliseconds reply_time{60};
    constexpr milliseconds objective{156};
    constexpr milliseconds run_time{60};
    this->schedule.on_unanswered(this->now);
    BOOST_TEST(this->schedule.backoff().count() == 0);
    BOOST_TEST(this->schedule.wait(true, this->now).count() == 0);
    this->schedule.on_answer(this->now);
    const auto wait = this->schedule.wait(true, this->now);
    BOOST_TEST((run_time + wait + reply_time).count() < objective.count());
}

BOOST_AUTO_TEST_CASE(start_unanswered_polls_are_short)
{
    const auto before = this->schedule.wait(true, this->now);
    this->schedule.on_request_unanswered(this->now);
    BOOST_TEST(this->schedule.wait(true, this->now).count() < before.count());
    this->now += seconds(10);
    BOOST_TEST(this->schedule.wait(true, this->now).count() == before.count());
}

BOOST_AUTO_TEST_CASE(poll_unanswered_once_server_not_timed_out)
{
    this->now += milliseconds(460);
    this->schedule.on_unanswered(this->now);
    BOOST_TEST(!this->schedule.timed_out(this->now));
}

// Two consecutive losses occur on links that lose a quarter of the answers.
BOOST_AUTO_TEST_CASE(polls_unanswered_in_quick_succession_server_not_timed_out)
{
    this->now += milliseconds(90);
    this->schedule.on_unanswered(this->now);
    this->now += milliseconds(60);
    this->schedule.on_unanswered(this->now);
    BOOST_TEST(!this->schedule.timed_out(this->now));
}

BOOST_AUTO_TEST_CASE(server_unresponsive_times_out_and_backoff_grows)
{
    milliseconds last{0};
    for (int poll = 0; poll < 30; ++poll)
    {
        this->now += milliseconds(60) + this->schedule.backoff();
        this->schedule.on_unanswered(this->now);
        BOOST_TEST(this->schedule.backoff().count() >= last.count());
        last = this->schedule.backoff();
    }
    BOOST_TEST(this->schedule.timed_out(this->now));
    BOOST_TEST(last.count() == 500);
    this->schedule.on_answer(this->now);
    BOOST_TEST(!this->schedule.timed_out(this->now));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubedrum
