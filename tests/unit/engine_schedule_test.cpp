#include "engine_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <iostream>

using namespace jujubedrum;
using namespace jujubedrum::tests;

namespace
{

std::uint64_t first_seed()
{
    const char* text = std::getenv("JUJUBEDRUM_SEED");
    return text == nullptr ? 20261204 : std::strtoull(text, nullptr, 10);
}

/// Runs a test bed with all kinds of faults, in an order given by the seed.
class engine_schedule
{
public:
    engine_schedule(std::uint64_t seed, injected_bug bug)
        : testbed(seed, 4, 5)
    {
        this->testbed.bug = bug;
        this->testbed.servers[4].domain = "d2";
        this->testbed.publish();
    }

    /// Returns the first violation, or an empty text.
    std::string run()
    {
        for (int i = 0; i < 200 && this->testbed.violations.empty(); ++i)
        {
            this->inject_random_event();
            this->testbed.run(milliseconds(this->random().below(60)));
            if (i % 20 == 0)
            {
                this->testbed.check_slots();
            }
        }
        this->testbed.clear_faults();
        this->testbed.run(seconds(16));
        this->testbed.check_slots();
        for (const auto& [token, request] : this->testbed.requests)
        {
            if (request.replies == 0 && !request.instance_died)
            {
                return "no reply to a request about " + request.id;
            }
        }
        return this->testbed.violations.empty() ? ""
                                                : this->testbed.violations[0];
    }

    engine_testbed testbed;

private:
    random_source& random() { return this->testbed.random; }
    std::size_t random_instance()
    {
        return this->random().below(this->testbed.instances.size());
    }
    bool chance(std::uint64_t of) { return this->random().below(of) == 0; }

    std::string random_job_id()
    {
        auto at = this->testbed.jobs.begin();
        std::advance(at, static_cast<std::ptrdiff_t>(
                             this->random().below(this->testbed.jobs.size())));
        return at->first;
    }

    void submit()
    {
        const std::size_t at = this->random_instance();
        std::string id;
        if (this->chance(2))
        {
            id = this->testbed.chosen_id();
        }
        else if (this->testbed.instances[at].engine &&
                 !this->testbed.instances[at].suspended)
        {
            id = this->testbed.new_id(at);
        }
        else
        {
            return;
        }
        const std::string payload = this->chance(8) ? "\"poison\"" : "1";
        // One random draw per statement, because compilers evaluate arguments
        // in different orders.
        const std::size_t tasks = 1 + this->random().below(12);
        const bool repeatable = this->chance(2);
        const int run_ms = static_cast<int>(10 + this->random().below(300));
        const int deadline_ms =
            static_cast<int>(100 + this->random().below(4000));
        const std::string body = this->testbed.body(
            id, tasks, repeatable, run_ms, deadline_ms, payload);
        this->submit_if_running(this->chance(2) ? at : this->random_instance(),
                                body);
        if (this->chance(4))
        {
            this->submit_if_running(this->random_instance(), body);
        }
    }

    void submit_if_running(std::size_t instance, const std::string& body)
    {
        if (this->testbed.instances[instance].engine)
        {
            this->testbed.submit(instance, body);
        }
    }

    void repeat_random_request()
    {
        if (this->testbed.jobs.empty())
        {
            return;
        }
        const std::string id = this->random_job_id();
        const std::size_t at = this->random_instance();
        if (!this->testbed.instances[at].engine)
        {
            return;
        }
        switch (this->random().below(5))
        {
        case 0:
            this->testbed.collect(at, id);
            break;
        case 1:
            this->testbed.cancel(at, id);
            break;
        default:
            this->testbed.submit(at, this->testbed.jobs[id].body);
        }
    }

    void inject_server_faults()
    {
        testbed_server& server =
            this->testbed
                .servers[this->random().below(this->testbed.servers.size())];
        server.slowdown = this->chance(3) ? 8.0 : 1.0;
        server.fail = this->chance(4);
        server.refuse = this->chance(4);
        server.draining = this->chance(6);
        server.drop_reply = this->chance(4);
        server.reply_delay = milliseconds(this->chance(4) ? 700 : 0);
        server.listed = !this->chance(6);
        server.partition = this->chance(8) ? 1 : 0;
        this->testbed.publish();
    }

    void inject_platform_faults()
    {
        auto& faults = this->testbed.faults;
        faults.log_down = this->chance(4);
        faults.log_slow = this->chance(4);
        faults.drop_append_replies = this->chance(3);
        faults.list_down = this->chance(4);
        faults.list_lag = seconds(this->chance(3) ? 3 : 0);
        faults.drop_request = this->chance(3) ? 0.3 : 0.0;
        faults.drop_reply = this->chance(3) ? 0.3 : 0.0;
        faults.peer_delay = milliseconds(this->chance(4) ? 300 : 1);
    }

    void inject_instance_event()
    {
        const std::size_t at = this->random_instance();
        testbed_instance& instance = this->testbed.instances[at];
        switch (this->random().below(6))
        {
        case 0:
            this->testbed.kill(at);
            break;
        case 1:
            this->testbed.restart(
                at, this->chance(3) ? this->testbed.chosen_id() : "");
            break;
        case 2:
            this->testbed.suspend(at);
            break;
        case 3:
            this->testbed.resume(at);
            break;
        case 4:
            instance.partition = instance.partition == 0 ? 1 : 0;
            break;
        default:
            if (this->chance(3))
            {
                this->testbed.send(at, drain_event{});
            }
        }
    }

    void inject_random_event()
    {
        switch (this->random().below(12))
        {
        case 0:
            this->inject_server_faults();
            break;
        case 1:
            this->inject_platform_faults();
            break;
        case 2:
            this->inject_instance_event();
            break;
        case 3:
            this->testbed.edit(this->chance(2) ? "{\"weight\":2}" : "{}");
            break;
        case 4:
        case 5:
        case 6:
        case 7:
            this->repeat_random_request();
            break;
        default:
            this->submit();
        }
    }
};

int schedule_count()
{
    const char* text = std::getenv("JUJUBEDRUM_SCHEDULES");
    return text == nullptr ? 60 : std::atoi(text);
}

struct totals
{
    std::size_t steps = 0;
    /// Replies by result.
    std::map<std::string, std::size_t> results;
};

/// Returns the seed of the first schedule with a violation, or nothing.
std::optional<std::uint64_t> first_violation(injected_bug bug, int schedules,
                                             totals& seen)
{
    const std::uint64_t first = first_seed();
    std::cout << "engine schedules: first seed " << first << '\n';
    for (std::uint64_t seed = first;
         seed < first + static_cast<std::uint64_t>(schedules); ++seed)
    {
        engine_schedule schedule(seed, bug);
        const std::string fault = schedule.run();
        seen.steps += schedule.testbed.steps;
        for (const auto& [token, request] : schedule.testbed.requests)
        {
            ++seen.results[schedule.testbed.result(token)];
        }
        if (!fault.empty())
        {
            std::cout << "seed " << seed << ": " << fault << '\n';
            return seed;
        }
    }
    return std::nullopt;
}

} // namespace

BOOST_AUTO_TEST_SUITE(engine_schedule_suite)

// Guards against any violation of the guarantees under mixed faults.
BOOST_AUTO_TEST_CASE(schedule_all_faults_keeps_guarantees)
{
    totals seen;
    const auto seed =
        first_violation(injected_bug::none, schedule_count(), seen);
    std::cout << "engine schedules: " << seen.steps << " steps\n";
    for (const auto& [result, count] : seen.results)
    {
        std::cout << "engine schedules: " << count << ' ' << result << '\n';
    }
    for (const char* result : {"complete", "failed", "not_run", "in_progress"})
    {
        BOOST_TEST(seen.results[result] > 0);
    }
    BOOST_TEST(!seed.has_value());
}

// Guards against checks that do not detect a second start.
BOOST_AUTO_TEST_CASE(schedule_injected_bug_is_detected)
{
    totals seen;
    for (const injected_bug bug :
         {injected_bug::unknown_as_not_started, injected_bug::same_incarnation})
    {
        BOOST_TEST(first_violation(bug, 60, seen).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()
