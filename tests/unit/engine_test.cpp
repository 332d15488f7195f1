#include "engine_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace jujubedrum;
using namespace jujubedrum::tests;

namespace
{

/// Three engines and four backend servers of four slots.
struct engine_fixture
{
    engine_testbed testbed{1};

    void teardown()
    {
        this->testbed.check_slots();
        for (const std::string& text : this->testbed.violations)
        {
            BOOST_ERROR(text);
        }
    }

    std::string id(bool chosen, std::size_t instance = 0)
    {
        return chosen ? this->testbed.chosen_id()
                      : this->testbed.new_id(instance);
    }

    /// Advances the clock until the request is answered and returns its result.
    std::string await_result(request_token token,
                             microseconds span = seconds(30))
    {
        this->testbed.wait(token, span);
        return this->testbed.result(token);
    }

    outcome_reason reason(request_token token)
    {
        const auto& answer = this->testbed.at(token).answer;
        return answer && answer->result() != nullptr
                   ? answer->result()->reason()
                   : outcome_reason::none;
    }

    /// Returns the index of the instance that runs the job.
    std::size_t runner(const std::string& id)
    {
        const auto& runners = this->testbed.jobs[id].runners;
        for (std::size_t i = 0; i < this->testbed.instances.size(); ++i)
        {
            if (runners.contains(this->testbed.instances[i].incarnation))
            {
                return i;
            }
        }
        BOOST_FAIL("no instance runs " + id);
        return 0;
    }

    std::size_t other(std::size_t instance) const
    {
        return (instance + 1) % this->testbed.instances.size();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(engine_suite, engine_fixture)

// Guards against a second run, or a lost answer, of a job that still runs.
BOOST_AUTO_TEST_CASE(resubmission_while_running_shares_the_run)
{
    for (const bool chosen : {false, true})
    {
        const std::string body =
            this->testbed.body(this->id(chosen), 3, false, 500);
        const auto first = this->testbed.submit(0, body);
        this->testbed.run(milliseconds(100));
        const auto second = this->testbed.submit(1, body);
        const auto third = this->testbed.submit(0, body);
        for (const auto token : {first, second, third})
        {
            BOOST_TEST(this->await_result(token) == "complete");
        }
        BOOST_TEST(this->testbed.starts(this->testbed.at(first).id) == 3);
    }
}

// Guards against a finished job that runs again.
BOOST_AUTO_TEST_CASE(resubmission_finished_returns_stored_answer)
{
    for (const bool chosen : {false, true})
    {
        const std::string body = this->testbed.body(this->id(chosen), 2);
        const auto first = this->testbed.submit(0, body);
        BOOST_TEST(this->await_result(first) == "complete");
        const auto again = this->testbed.submit(2, body);
        BOOST_TEST(this->await_result(again) == "complete");
        BOOST_TEST(this->testbed.starts(this->testbed.at(first).id) == 2);
    }
}

// Guards against a job of a dead process that starts again or never ends.
BOOST_AUTO_TEST_CASE(resubmission_instance_dead_is_failed)
{
    for (const bool chosen : {false, true})
    {
        for (const bool replaced : {false, true})
        {
            engine_fixture fresh;
            const std::string id = fresh.id(chosen);
            const std::string body = fresh.testbed.body(id, 2, false, 3000);
            fresh.testbed.submit(0, body);
            fresh.testbed.run(milliseconds(300));
            const std::size_t runner = fresh.runner(id);
            fresh.testbed.kill(runner);
            if (replaced)
            {
                fresh.testbed.restart(runner);
            }
            fresh.testbed.run(seconds(15));
            const auto again = fresh.testbed.submit(fresh.other(runner), body);
            BOOST_TEST(fresh.await_result(again) == "failed");
            BOOST_TEST((fresh.reason(again) == outcome_reason::instance_dead));
            BOOST_TEST(fresh.testbed.starts(id) == 2);
            fresh.teardown();
        }
    }
}

// Guards against an instance that lost a claim and does not wait for the answer
// of the instance that won it.
BOOST_AUTO_TEST_CASE(claim_lost_to_running_holder_waits_for_its_answer)
{
    const std::string id = this->id(true);
    const std::string body = this->testbed.body(id, 2, false, 4000, 20'000);
    this->testbed.submit(0, body);
    this->testbed.run(milliseconds(300));
    const std::size_t runner = this->runner(id);
    // The holder cannot be reached until the other instance claims the id.
    this->testbed.instances[runner].partition = 1;
    const auto again = this->testbed.submit(this->other(runner), body);
    this->testbed.run(milliseconds(450));
    this->testbed.instances[runner].partition = 0;
    BOOST_TEST(this->await_result(again) == "complete");
    BOOST_TEST(this->testbed.starts(id) == 2);
}

// Guards against another instance that starts the job of a suspended one.
BOOST_AUTO_TEST_CASE(resubmission_instance_suspended_is_in_progress)
{
    for (const bool chosen : {false, true})
    {
        const std::string id = this->id(chosen);
        const std::string body = this->testbed.body(id, 2, false, 400, 60'000);
        const std::string short_deadline =
            this->testbed.body(id, 2, false, 400, 2000);
        this->testbed.submit(0, body);
        this->testbed.run(milliseconds(100));
        const std::size_t runner = this->runner(id);
        this->testbed.suspend(runner);
        const auto again =
            this->testbed.submit(this->other(runner), short_deadline);
        BOOST_TEST(this->await_result(again) == "in_progress");
        this->testbed.resume(runner);
        this->testbed.run(seconds(5));
        const auto last = this->testbed.submit(this->other(runner), body);
        BOOST_TEST(this->await_result(last) == "complete");
        BOOST_TEST(this->testbed.starts(id) == 2);
    }
}

// Guards against a start after the deadline of a request that reached its
// instance while the process was suspended.
BOOST_AUTO_TEST_CASE(submission_to_suspended_issuer_past_deadline_is_not_run)
{
    const std::string id = this->id(false);
    this->testbed.suspend(0);
    const std::string body = this->testbed.body(id, 2, false, 50, 1500);
    const auto forwarded = this->testbed.submit(1, body);
    BOOST_TEST(this->await_result(forwarded) == "in_progress");
    this->testbed.run(seconds(1));
    this->testbed.resume(0);
    this->testbed.run(seconds(1));
    BOOST_TEST(this->testbed.starts(id) == 0);
    BOOST_TEST(this->await_result(this->testbed.submit(1, body)) == "not_run");
}

// Guards against a task of an overdue job that takes the slot freed by the
// first event after a suspension.
BOOST_AUTO_TEST_CASE(suspended_instance_resumed_past_deadline_starts_nothing)
{
    const std::string id = this->id(false);
    const auto token =
        this->testbed.submit(0, this->testbed.body(id, 100, false, 300, 2000));
    this->testbed.run(milliseconds(100));
    const int started = this->testbed.starts(id);
    this->testbed.suspend(0);
    this->testbed.run(seconds(4));
    this->testbed.resume(0);
    BOOST_TEST(this->await_result(token) == "failed");
    BOOST_TEST(this->testbed.starts(id) == started);
}

// Guards against a second run while the instance that runs the job is
// unreachable.
BOOST_AUTO_TEST_CASE(resubmission_holder_unreachable_is_in_progress)
{
    for (const bool chosen : {false, true})
    {
        const std::string id = this->id(chosen);
        const std::string body = this->testbed.body(id, 2, false, 1500, 60'000);
        this->testbed.submit(0, body);
        this->testbed.run(milliseconds(200));
        const std::size_t runner = this->runner(id);
        this->testbed.instances[runner].partition = 1;
        const auto again = this->testbed.submit(this->other(runner), body);
        BOOST_TEST(this->await_result(again) == "in_progress");
        this->testbed.instances[runner].partition = 0;
        this->testbed.run(seconds(5));
        const auto last = this->testbed.submit(this->other(runner), body);
        BOOST_TEST(this->await_result(last) == "complete");
        BOOST_TEST(this->testbed.starts(id) == 2);
    }
}

// Guards against a log outage that blocks jobs with issued ids, starts a job
// with an unclaimed id, or loses the outcome of a known one.
BOOST_AUTO_TEST_CASE(log_down_only_new_chosen_ids_wait_for_it)
{
    const std::string known = this->testbed.body(this->id(true), 2);
    BOOST_TEST(this->await_result(this->testbed.submit(0, known)) ==
               "complete");
    this->testbed.faults.log_down = true;
    BOOST_TEST(this->await_result(this->testbed.submit(
                   0, this->testbed.body(this->id(false), 2))) == "complete");
    const std::string id = this->id(true);
    const std::string fresh = this->testbed.body(id, 2);
    const auto unclaimed = this->testbed.submit(0, fresh);
    BOOST_TEST(this->await_result(unclaimed) == "in_progress");
    BOOST_TEST((this->reason(unclaimed) == outcome_reason::log_unavailable));
    BOOST_TEST(this->testbed.starts(id) == 0);
    BOOST_TEST(this->await_result(this->testbed.submit(1, known)) ==
               "complete");
    this->testbed.faults.log_down = false;
    BOOST_TEST(this->await_result(this->testbed.submit(0, fresh)) ==
               "complete");
    BOOST_TEST(this->testbed.starts(id) == 2);
}

// Guards against a claim that stays unresolved because the reply to its append
// was lost.
BOOST_AUTO_TEST_CASE(claim_reply_lost_is_resolved_by_reading)
{
    this->testbed.faults.drop_append_replies = true;
    int complete = 0;
    for (int i = 0; i < 20; ++i)
    {
        const std::string id = this->id(true);
        const auto token = this->testbed.submit(0, this->testbed.body(id, 1));
        const std::string result = this->await_result(token);
        complete += result == "complete" ? 1 : 0;
        BOOST_TEST((result == "complete") == (this->testbed.starts(id) == 1));
    }
    BOOST_TEST(complete > 0);
}

// Guards against a start of a job whose earlier outcome has expired.
BOOST_AUTO_TEST_CASE(resubmission_after_retention_is_failed)
{
    for (const bool chosen : {false, true})
    {
        const std::string id = this->id(chosen);
        const std::string body = this->testbed.body(id, 1);
        BOOST_TEST(this->await_result(this->testbed.submit(0, body)) ==
                   "complete");
        this->testbed.run(seconds(70));
        const auto late = this->testbed.submit(0, body);
        BOOST_TEST(this->await_result(late) == "failed");
        BOOST_TEST((this->reason(late) == outcome_reason::id_expired));
        BOOST_TEST(this->testbed.starts(id) == 1);
    }
}

// Guards against a submission of another body that affects the job with the
// same id.
BOOST_AUTO_TEST_CASE(resubmission_other_body_is_conflict)
{
    for (const bool chosen : {false, true})
    {
        const std::string id = this->id(chosen);
        const auto first =
            this->testbed.submit(0, this->testbed.body(id, 2, false, 800));
        this->testbed.run(milliseconds(100));
        for (std::size_t instance = 0; instance < 3; ++instance)
        {
            BOOST_TEST(this->await_result(this->testbed.submit(
                           instance, this->testbed.body(id, 3))) == "conflict");
        }
        BOOST_TEST(this->await_result(first) == "complete");
    }
}

// Guards against a second run of a job whose copies arrive at once.
BOOST_AUTO_TEST_CASE(concurrent_copies_run_once)
{
    for (const bool chosen : {false, true})
    {
        const std::string id = this->id(chosen);
        const std::string body = this->testbed.body(id, 2, false, 100, 60'000);
        std::vector<request_token> tokens;
        for (std::size_t instance : {0, 1, 2, 1, 0})
        {
            tokens.push_back(this->testbed.submit(instance, body));
        }
        for (const auto token : tokens)
        {
            BOOST_TEST(this->await_result(token) == "complete");
        }
        BOOST_TEST(this->testbed.starts(id) == 2);
    }
}

// Guards against not_run for a job that was forwarded to the preferred instance
// of its claim stream and ran there, but whose reply was lost.
BOOST_AUTO_TEST_CASE(forwarded_reply_lost_log_down_is_not_refused)
{
    for (const int deadline : {1500, 8000})
    {
        for (int i = 0; i < 6; ++i)
        {
            engine_fixture fresh;
            fresh.testbed.faults.drop_reply = 1;
            const std::string id = fresh.id(true);
            const auto token = fresh.testbed.submit(
                0, fresh.testbed.body(id, 1, false, 50, deadline));
            fresh.testbed.run(milliseconds(500));
            fresh.testbed.faults.log_down = true;
            const std::string result = fresh.await_result(token);
            BOOST_TEST(result != "none");
            BOOST_TEST((result != "not_run" || fresh.testbed.starts(id) == 0));
        }
    }
}

// Guards against not_run, while the log is down, for a job that an unreachable
// instance runs.
BOOST_AUTO_TEST_CASE(resubmission_log_down_holder_unreachable_is_not_refused)
{
    const std::string id = this->id(true);
    const std::string body = this->testbed.body(id, 1, false, 20'000, 60'000);
    const std::string short_deadline =
        this->testbed.body(id, 1, false, 20'000, 5000);
    this->testbed.submit(0, body);
    this->testbed.run(milliseconds(300));
    const std::size_t runner = this->runner(id);
    this->testbed.instances[runner].partition = 1;
    this->testbed.run(seconds(12));
    this->testbed.faults.log_down = true;
    const auto again =
        this->testbed.submit(this->other(runner), short_deadline);
    BOOST_TEST(this->await_result(again) != "not_run");
}

// Guards against not_run, for lack of capacity or time, for a job that another
// instance runs.
BOOST_AUTO_TEST_CASE(resubmission_at_draining_instance_is_not_refused)
{
    for (int i = 0; i < 6; ++i)
    {
        const std::string id = this->id(true);
        const std::string body = this->testbed.body(id, 1, false, 3000, 60'000);
        const auto first = this->testbed.submit(0, body);
        this->testbed.run(milliseconds(200));
        const std::size_t other = this->other(this->runner(id));
        this->testbed.send(other, drain_event{});
        for (std::size_t n = 0; n < 3; ++n)
        {
            // The draining instance is isolated and has to decide without its
            // peers.
            this->testbed.instances[n].partition = n == other ? 0 : 1;
        }
        const auto again = this->testbed.submit(other, body);
        BOOST_TEST(this->await_result(again) == "in_progress");
        this->testbed.clear_faults();
        this->testbed.run(seconds(12));
        BOOST_TEST((this->testbed.at(first).instance_died ||
                    this->await_result(first) == "complete"));
    }
}

// Guards against a start of a job that its caller cancelled while its id was
// being claimed.
BOOST_AUTO_TEST_CASE(cancel_while_claiming_starts_nothing)
{
    this->testbed.faults.log_slow = true;
    const std::string id = this->id(true);
    const auto token = this->testbed.submit(0, this->testbed.body(id, 2));
    this->testbed.run(milliseconds(100));
    const auto cancelled = this->testbed.cancel(0, id);
    BOOST_TEST(this->await_result(cancelled) == "not_run");
    BOOST_TEST(this->await_result(token) == "not_run");
    BOOST_TEST((this->reason(token) == outcome_reason::cancelled));
    this->testbed.run(seconds(5));
    BOOST_TEST(this->testbed.starts(id) == 0);
}

// Guards against a start after the deadline passed, or after the drain began,
// while the id was being claimed.
BOOST_AUTO_TEST_CASE(claim_won_too_late_is_not_run)
{
    this->testbed.faults.log_slow = true;
    const std::string late = this->id(true);
    const auto token =
        this->testbed.submit(0, this->testbed.body(late, 1, false, 10, 300));
    BOOST_TEST(this->await_result(token) == "not_run");
    BOOST_TEST((this->reason(token) == outcome_reason::deadline));
    const std::string drained = this->id(true);
    const auto other = this->testbed.submit(0, this->testbed.body(drained, 1));
    this->testbed.run(milliseconds(100));
    for (std::size_t instance = 0; instance < 3; ++instance)
    {
        this->testbed.send(instance, drain_event{});
    }
    BOOST_TEST(this->await_result(other) == "not_run");
    BOOST_TEST((this->reason(other) == outcome_reason::draining));
    BOOST_TEST(this->testbed.starts(late) + this->testbed.starts(drained) == 0);
}

// Guards against a failed job that starts more tasks or ends twice.
BOOST_AUTO_TEST_CASE(job_with_failing_task_ends_once_and_starts_no_more)
{
    const std::string id = this->id(false);
    const auto token = this->testbed.submit(
        0, this->testbed.body(id, 100, false, 50, 30'000, "\"poison\""));
    BOOST_TEST(this->await_result(token) == "failed");
    const int started = this->testbed.starts(id);
    BOOST_TEST(started < 100);
    this->testbed.run(seconds(10));
    BOOST_TEST(this->testbed.starts(id) == started);
    BOOST_TEST(this->testbed.at(token).replies == 1);
}

// Guards against jobs with failing tasks that eject the servers they ran on.
BOOST_AUTO_TEST_CASE(failing_tasks_leave_servers_in_use)
{
    for (int i = 0; i < 30; ++i)
    {
        this->await_result(this->testbed.submit(
            0, this->testbed.body("", 8, false, 20, 5000, "\"poison\"")));
    }
    std::vector<int> before;
    for (const testbed_server& server : this->testbed.servers)
    {
        before.push_back(server.received);
    }
    BOOST_TEST(this->await_result(this->testbed.submit(
                   0, this->testbed.body("", 40, false, 20, 9000))) ==
               "complete");
    for (std::size_t i = 0; i < before.size(); ++i)
    {
        BOOST_TEST(this->testbed.servers[i].received > before[i]);
    }
}

// Guards against a job that outlives its deadline or starts after it.
BOOST_AUTO_TEST_CASE(deadline_passed_ends_job)
{
    const auto slow =
        this->testbed.submit(0, this->testbed.body("", 64, false, 500, 2000));
    const auto queued =
        this->testbed.submit(0, this->testbed.body("", 1, false, 500, 1000));
    for (testbed_server& server : this->testbed.servers)
    {
        server.slowdown = 100;
    }
    this->testbed.run(milliseconds(2100));
    BOOST_TEST(this->testbed.result(slow) == "failed");
    BOOST_TEST(this->testbed.result(queued) == "not_run");
    const int started = this->testbed.starts(this->testbed.at(slow).id);
    this->testbed.run(seconds(5));
    BOOST_TEST(this->testbed.starts(this->testbed.at(slow).id) == started);
}

// Guards against a drain that interrupts running jobs or admits new ones.
BOOST_AUTO_TEST_CASE(drain_finishes_running_jobs_and_refuses_others)
{
    const auto running =
        this->testbed.submit(0, this->testbed.body("", 30, false, 300, 30'000));
    const auto queued =
        this->testbed.submit(0, this->testbed.body("", 2, false, 300, 40'000));
    this->testbed.run(milliseconds(50));
    this->testbed.send(0, drain_event{});
    const auto refused = this->testbed.submit(0, this->testbed.body("", 1));
    BOOST_TEST(this->await_result(queued) == "not_run");
    BOOST_TEST(this->await_result(refused) == "not_run");
    BOOST_TEST(this->await_result(running) == "complete");
    BOOST_TEST(this->testbed.instances[0].engine->idle());
}

// Guards against new work for a server that is leaving.
BOOST_AUTO_TEST_CASE(leaving_server_gets_no_new_work)
{
    this->testbed.servers[0].draining = true;
    this->testbed.servers[1].listed = false;
    this->testbed.publish();
    this->testbed.run(seconds(3));
    const int listed_before = this->testbed.servers[1].received;
    for (std::size_t instance : {0, 1, 2})
    {
        BOOST_TEST(this->await_result(this->testbed.submit(
                       instance, this->testbed.body("", 20, false, 20,
                                                    9000))) == "complete");
    }
    BOOST_TEST(this->testbed.servers[1].received == listed_before);
    const int refused = this->testbed.servers[0].received;
    BOOST_TEST(this->await_result(this->testbed.submit(
                   0, this->testbed.body("", 40, false, 20, 9000))) ==
               "complete");
    BOOST_TEST(this->testbed.servers[0].received == refused);
}

// Guards against a second send of a task that must run at most once.
BOOST_AUTO_TEST_CASE(non_repeatable_task_unknown_is_not_sent_again)
{
    for (testbed_server& server : this->testbed.servers)
    {
        server.drop_reply = true;
    }
    const std::string id = this->id(false);
    BOOST_TEST(this->await_result(this->testbed.submit(
                   0, this->testbed.body(id, 1))) == "failed");
    this->testbed.run(seconds(5));
    BOOST_TEST(this->testbed.starts(id) == 1);
}

// Guards against retries that multiply the load when everything fails.
BOOST_AUTO_TEST_CASE(retry_budget_everything_fails_bounds_duplicates)
{
    for (testbed_server& server : this->testbed.servers)
    {
        server.fail = true;
    }
    const instant begin = this->testbed.now;
    for (int i = 0; i < 60; ++i)
    {
        this->testbed.submit(0, this->testbed.body("", 10, true, 20, 5000));
        this->testbed.run(milliseconds(100));
    }
    this->testbed.run(seconds(6));
    int duplicates = 0;
    for (const auto& [task, count] : this->testbed.task_starts)
    {
        duplicates += count - 1;
    }
    const auto firsts = static_cast<double>(this->testbed.task_starts.size());
    const double span =
        std::chrono::duration<double>(this->testbed.now - begin).count();
    BOOST_TEST(duplicates <= 0.1 * firsts + span + 10);
}

// Guards against a failed first attempt that ends the job while its hedge is
// still in flight.
BOOST_AUTO_TEST_CASE(hedge_first_attempt_fails_hedge_answers)
{
    for (int i = 0; i < 40; ++i)
    {
        this->await_result(
            this->testbed.submit(0, this->testbed.body("", 8, true, 50, 9000)));
    }
    this->testbed.servers[1].drop_reply = true;
    this->testbed.servers[1].reply_delay = seconds(3);
    const auto token =
        this->testbed.submit(0, this->testbed.body("", 16, true, 50, 20'000));
    BOOST_TEST(this->await_result(token) == "complete");
    BOOST_TEST(this->testbed.starts(this->testbed.at(token).id) > 16);
    BOOST_TEST(this->testbed.at(token).replies == 1);
}

// Guards against stop messages for tasks that do not run and against repeated
// ones.
BOOST_AUTO_TEST_CASE(repeated_cancel_stops_each_running_task_once)
{
    std::vector<request_token> tokens;
    for (int i = 0; i < 20; ++i)
    {
        tokens.push_back(this->testbed.submit(
            0, this->testbed.body("", 30, false, 3000, 60'000)));
    }
    this->testbed.run(milliseconds(500));
    std::vector<request_token> cancels;
    for (int round = 0; round < 2; ++round)
    {
        for (const auto token : tokens)
        {
            cancels.push_back(
                this->testbed.cancel(0, this->testbed.at(token).id));
        }
    }
    this->testbed.run(seconds(5));
    for (const auto token : cancels)
    {
        BOOST_TEST(this->testbed.at(token).replies == 1);
    }
    BOOST_TEST(!this->testbed.task_stops.empty());
    for (const auto& [task, count] : this->testbed.task_stops)
    {
        BOOST_TEST(count == 1);
        BOOST_TEST(this->testbed.task_starts.contains(task));
    }
}

// Guards against partitioned instances that take over each other's share.
BOOST_AUTO_TEST_CASE(quota_partitioned_instances_stay_within_bound)
{
    this->testbed.edit(
        R"({"quota":{"tasks_per_second":30,"in_flight":6},
            "max_tasks_per_job":5})");
    this->testbed.run(seconds(3));
    for (std::size_t i = 0; i < 3; ++i)
    {
        this->testbed.instances[i].partition = static_cast<int>(i);
    }
    this->testbed.faults.list_down = true;
    for (testbed_server& server : this->testbed.servers)
    {
        server.partition = -1;
    }
    this->testbed.run(seconds(15));
    int admitted = 0;
    for (int step = 0; step < 200; ++step)
    {
        for (std::size_t instance = 0; instance < 3; ++instance)
        {
            const auto token = this->testbed.submit(
                instance, this->testbed.body("", 1, false, 100, 20'000));
            admitted += this->testbed.result(token) == "none" ? 1 : 0;
        }
        int busy = 0;
        for (const testbed_instance& instance : this->testbed.instances)
        {
            for (const auto& [server, open] : instance.busy)
            {
                busy += open;
            }
        }
        BOOST_REQUIRE(busy <= 6);
        this->testbed.run(milliseconds(50));
    }
    // 10 s at 30 tasks/s and a full bucket of one second.
    BOOST_TEST(admitted <= 30 * 11);
    BOOST_TEST(admitted > 30 * 5);
}

// Guards against rounded shares that exceed the quota or leave a team without
// any.
BOOST_AUTO_TEST_CASE(quota_uneven_shares_add_up)
{
    this->testbed.edit(R"({"quota":{"tasks_per_second":30,"in_flight":2}})");
    this->testbed.run(seconds(3));
    int caps = 0;
    for (const testbed_instance& instance : this->testbed.instances)
    {
        const std::string state = instance.engine->dump(this->testbed.now);
        const std::string key = "\"in_flight_cap\":";
        caps += std::stoi(state.substr(state.find(key) + key.size()));
    }
    BOOST_TEST(caps == 2);
}

// Guards against a restarted instance that serves an older configuration.
BOOST_AUTO_TEST_CASE(restart_lagging_log_adopts_peer_revision)
{
    this->testbed.edit("{\"weight\":2}");
    this->testbed.run(seconds(1));
    const auto newest =
        this->testbed.instances[0].engine->document().revision();
    this->testbed.faults.log_down = true;
    this->testbed.restart(2);
    this->testbed.run(milliseconds(200));
    BOOST_TEST(!this->testbed.instances[2].engine->ready());
    this->testbed.run(seconds(6));
    BOOST_TEST(this->testbed.instances[2].engine->document().revision() ==
               newest);
    BOOST_TEST(this->testbed.instances[2].engine->ready());
}

// Guards against a configuration that is lost when the log's retention removes
// its records.
BOOST_AUTO_TEST_CASE(snapshot_is_appended_before_retention)
{
    for (std::size_t i = 0; i < 3; ++i)
    {
        this->testbed.kill(i);
    }
    this->testbed.tunables.log_retention = seconds(30);
    this->testbed.edit("{\"weight\":3}");
    for (std::size_t i = 0; i < 3; ++i)
    {
        this->testbed.restart(i);
    }
    this->testbed.run(seconds(100));
    const auto revision =
        this->testbed.instances[0].engine->document().revision();
    for (std::size_t i = 0; i < 3; ++i)
    {
        this->testbed.kill(i);
    }
    this->testbed.restart(0);
    this->testbed.run(seconds(5));
    BOOST_TEST(this->testbed.instances[0].engine->document().revision() ==
               revision);
    BOOST_TEST(revision > 0);
}

// Guards against a full queue that keeps out a team within its share.
BOOST_AUTO_TEST_CASE(full_queue_sheds_team_furthest_over_share)
{
    std::vector<request_token> over_share;
    for (int i = 0; i < 29; ++i)
    {
        over_share.push_back(this->testbed.submit(
            0, this->testbed.body("", 690, false, 1, 60'000)));
    }
    std::string body = this->testbed.body("", 600, false, 1, 60'000);
    body.replace(body.find("\"team\":\"t\""), 10, "\"team\":\"u\"");
    const auto within_share = this->testbed.submit(0, body);
    int shed = 0;
    for (const auto token : over_share)
    {
        shed += this->testbed.result(token) == "not_run" ? 1 : 0;
    }
    BOOST_TEST(shed >= 1);
    BOOST_TEST(this->testbed.result(within_share) == "none");
}

BOOST_AUTO_TEST_SUITE_END()
