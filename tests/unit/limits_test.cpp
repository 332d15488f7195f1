#include "limits/admission.hpp"
#include "limits/retry_budget.hpp"
#include "limits/team_quota.hpp"

#include <boost/test/unit_test.hpp>

using namespace jujubedrum;

namespace
{

const std::vector<weighted_instance> three = {{"c", 2}, {"a", 1}, {"b", 1}};

submission job(const std::string& task)
{
    job_reason why;
    return *submission::parse(
        R"({"team":"t","tasks":[{"kind":"k","payload":0,)" + task + "}]}",
        submission_limits(), why);
}

} // namespace

BOOST_AUTO_TEST_SUITE(limits_suite)

// Guards against shares that add up to more than the quota.
BOOST_AUTO_TEST_CASE(set_share_all_instances_sum_to_quota)
{
    for (std::uint64_t in_flight : {0, 1, 2, 7, 100})
    {
        std::uint64_t cap = 0;
        double rate = 0;
        for (const weighted_instance& one : three)
        {
            team_quota quota({80, in_flight, 10});
            quota.set_share(three, one.name, seconds(1));
            cap += quota.in_flight_cap();
            rate += quota.rate();
        }
        BOOST_TEST(cap == in_flight);
        BOOST_TEST(rate == 80.0);
    }
    team_quota absent({80, 100, 10});
    absent.set_share(three, "d", seconds(1));
    BOOST_TEST(!absent.admit(1, seconds(100)));
    BOOST_TEST(!absent.start_task());
}

// Guards against a team exceeding its rate or its tasks in flight.
BOOST_AUTO_TEST_CASE(admit_bucket_bounds_rate_and_flight)
{
    team_quota quota({40, 4, 10});
    quota.set_share(three, "c", seconds(1));
    BOOST_TEST(quota.admit(20, seconds(1)));
    BOOST_TEST(!quota.admit(1, seconds(1)));
    BOOST_TEST(
        (*quota.time_until_admission(10, seconds(1)) == milliseconds(500)));
    BOOST_TEST(!quota.time_until_admission(21, seconds(1)).has_value());
    quota.refund(5);
    BOOST_TEST(quota.admit(5, seconds(1)));
    std::uint64_t admitted = 0;
    for (int tick = 0; tick < 1000; ++tick)
    {
        admitted += quota.admit(1, seconds(1) + milliseconds(10) * tick);
    }
    BOOST_TEST(admitted >= 198);
    BOOST_TEST(admitted <= 200);
    BOOST_TEST(quota.start_task());
    BOOST_TEST(quota.start_task());
    BOOST_TEST(!quota.start_task());
    quota.finish_task();
    BOOST_TEST(quota.start_task());
}

// Guards against never admitting a job that needs more tokens than the share
// gains in one second.
BOOST_AUTO_TEST_CASE(admit_small_share_holds_one_job)
{
    team_quota quota({2, 4, 10});
    quota.set_share(three, "a", seconds(1));
    BOOST_TEST(quota.admit(10, seconds(1)));
    BOOST_TEST(!quota.admit(10, seconds(20)));
    BOOST_TEST(quota.admit(10, seconds(21)));
}

// Guards against crediting tokens for the time that an instance was not listed.
BOOST_AUTO_TEST_CASE(set_share_relisted_instance_gains_no_tokens)
{
    team_quota quota({40, 4, 10});
    quota.set_share(three, "c", seconds(1));
    BOOST_TEST(quota.admit(20, seconds(1)));
    quota.set_share(three, "gone", seconds(1));
    quota.set_share(three, "c", seconds(100));
    BOOST_TEST(!quota.admit(1, seconds(100)));
}

// Guards against queueing jobs that cannot finish in time.
BOOST_AUTO_TEST_CASE(check_impossible_job_is_refused)
{
    admission gate(10);
    capacity_view capacity{1000, 2.0, 2};
    const submission plain = job(R"("run_ms":100,"memory_mb":1000)");
    const auto check = [&](std::optional<milliseconds> deadline)
    { return gate.check(plain, deadline, capacity); };
    BOOST_TEST((check(std::nullopt) == admission_verdict::admitted));
    BOOST_TEST((check(milliseconds(49)) == admission_verdict::never_runs));
    BOOST_TEST((check(milliseconds(50)) == admission_verdict::admitted));
    BOOST_TEST((gate.check(job(R"("memory_mb":1001)"), {}, capacity) ==
                admission_verdict::never_runs));
    gate.on_queued("t", 9, milliseconds(100));
    BOOST_TEST((gate.estimated_wait(capacity) == milliseconds(450)));
    BOOST_TEST(
        (check(milliseconds(499)) == admission_verdict::deadline_too_near));
    BOOST_TEST((check(milliseconds(500)) == admission_verdict::admitted));
    gate.on_queued("t", 1, milliseconds(100));
    BOOST_TEST((check(std::nullopt) == admission_verdict::queue_full));
    gate.on_dequeued("t", 10, milliseconds(90));
    BOOST_TEST((gate.estimated_wait(capacity) == microseconds(0)));
}

// Guards against a burst of one team displacing the tasks of other teams.
BOOST_AUTO_TEST_CASE(team_to_shed_is_furthest_over_its_share)
{
    admission gate(100);
    gate.set_weight("heavy", 4);
    gate.on_queued("heavy", 40, milliseconds(1));
    gate.on_queued("burst", 30, milliseconds(1));
    gate.on_queued("small", 5, milliseconds(1));
    BOOST_TEST(gate.team_to_shed("small", 5).value() == "burst");
    BOOST_TEST(gate.team_to_shed("heavy", 10).value() == "burst");
    BOOST_TEST(!gate.team_to_shed("burst", 1).has_value());
}

// Guards against retries that multiply the load when everything fails.
BOOST_AUTO_TEST_CASE(try_spend_bounded_by_recent_starts)
{
    retry_budget budget;
    const auto spend = [&budget](instant now)
    {
        int spent = 0;
        while (spent < 10'000 && budget.try_spend(now))
        {
            ++spent;
        }
        return spent;
    };
    for (int i = 0; i < 1000; ++i)
    {
        budget.on_first_start(seconds(100) + milliseconds(i));
    }
    BOOST_TEST(spend(seconds(101)) == 110);
    BOOST_TEST(spend(seconds(109)) == 0);
    BOOST_TEST(spend(seconds(200)) == 10);
}

// Guards against synchronised retries and retries past the deadline.
BOOST_AUTO_TEST_CASE(delay_jittered_within_bounds_and_deadline)
{
    const retry_budget budget;
    random_source random(1);
    for (std::uint32_t attempt = 0; attempt < 2000; ++attempt)
    {
        const auto delay =
            budget.delay(attempt, seconds(1), std::nullopt, random);
        BOOST_TEST((*delay >= milliseconds(20)));
        BOOST_TEST((*delay <= milliseconds(500)));
    }
    BOOST_TEST((*budget.delay(1, seconds(1), {}, random) !=
                *budget.delay(1, seconds(1), {}, random)));
    BOOST_TEST(
        !budget.delay(1, seconds(1), seconds(1) + milliseconds(20), random));
}

BOOST_AUTO_TEST_SUITE_END()
