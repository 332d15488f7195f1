#include "placement/owned_slots.hpp"
#include "placement/server_stats.hpp"

#include "placement_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace jujubedrum;

namespace
{

struct stats_fixture : placement_fixture
{
    stats_fixture()
    {
        const auto list = this->servers(10, 1);
        this->stats.set_servers(list);
        this->pool.set_servers(
            list, slot_map::build(list, this->entries(1, 1), "e0"));
    }

    void fail(const std::string& server, int times, instant now)
    {
        for (int i = 0; i < times; ++i)
        {
            this->stats.on_failed(server, now);
        }
    }

    void record_run_times(const std::string& server, microseconds run_time)
    {
        for (int i = 0; i < 50; ++i)
        {
            this->stats.on_finished(server, "trip", seconds(9), run_time, {});
        }
    }

    server_stats stats;
    slot_pool pool;
    random_source random{1};
    owned_slots policy{{this->pool, this->stats, this->random}};
    task_demand demand{"trip", 1, seconds(9), true, {}, {}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(server_stats_suite, stats_fixture)

// Guards against placement by declared run times, which are often wrong.
BOOST_AUTO_TEST_CASE(expected_run_time_wrong_declaration_is_learned)
{
    for (int repetition = 0; repetition < 10; ++repetition)
    {
        this->record_run_times("b1", milliseconds(100));
        this->record_run_times("b2", milliseconds(300));
    }
    const auto fast = this->stats.expected_run_time("b1", "trip", seconds(9));
    const auto slow = this->stats.expected_run_time("b2", "trip", seconds(9));
    BOOST_TEST((fast > milliseconds(80) && fast < milliseconds(125)));
    BOOST_TEST((slow > milliseconds(240) && slow < milliseconds(375)));
}

// Guards against sending all tasks to a server that fails at once and thus
// appears to be fast.
BOOST_AUTO_TEST_CASE(pick_fast_failing_server_is_avoided)
{
    this->record_run_times("b1", milliseconds(100));
    this->record_run_times("b2", milliseconds(20));
    this->fail("b2", 3, {});
    BOOST_TEST(this->stats.slowness("b2") > this->stats.slowness("b1"));
    this->fail("b2", 3, {});
    BOOST_TEST((this->stats.admission("b2", {}) == admission_state::ejected));
    for (int i = 0; i < 72; ++i)
    {
        const auto choice = this->policy.pick(this->demand, "", {});
        BOOST_REQUIRE(choice.has_value());
        BOOST_TEST(choice->server != "b2");
        this->policy.started(*choice, {});
    }
    BOOST_TEST(!this->policy.pick(this->demand, "", {}).has_value());
}

// Guards against ejecting so many servers that the others are overloaded.
BOOST_AUTO_TEST_CASE(on_failed_all_servers_ejects_at_most_share)
{
    for (int i = 0; i < 10; ++i)
    {
        this->fail("b" + std::to_string(i), 20, {});
    }
    BOOST_TEST(this->stats.ejected("d0") == 3U);
}

// Guards against sending many tasks to an ejected server before a probe has
// succeeded, and against a server that is never readmitted.
BOOST_AUTO_TEST_CASE(admission_after_ejection_time_allows_one_probe)
{
    this->fail("b3", 10, {});
    const instant due = seconds(1);
    const auto probe = this->policy.pick(this->demand, "", due);
    BOOST_REQUIRE(probe.has_value());
    BOOST_TEST(probe->server == "b3");
    BOOST_TEST(probe->probe);
    this->policy.started(*probe, due);
    BOOST_TEST((this->stats.admission("b3", due) == admission_state::ejected));
    this->stats.on_failed("b3", due);
    this->policy.finished(*probe, due);
    // The second ejection lasts twice as long.
    BOOST_TEST((this->stats.admission("b3", due + milliseconds(1900)) ==
                admission_state::ejected));
    const instant again = due + seconds(2);
    BOOST_TEST((this->stats.admission("b3", again) == admission_state::probe));
    this->stats.on_probe_started("b3");
    this->stats.on_finished("b3", "trip", seconds(9), milliseconds(50), again);
    BOOST_TEST((this->stats.admission("b3", again) == admission_state::open));
}

// Guards against using a task that may run only once as a probe.
BOOST_AUTO_TEST_CASE(pick_not_repeatable_is_never_a_probe)
{
    this->fail("b3", 10, {});
    this->demand.repeatable = false;
    const auto choice = this->policy.pick(this->demand, "", seconds(1));
    BOOST_REQUIRE(choice.has_value());
    BOOST_TEST(choice->server != "b3");
}

// Guards against new tasks on a server that reported that it is leaving while
// the lagging list still names it as live.
BOOST_AUTO_TEST_CASE(pick_leaving_server_is_never_chosen)
{
    auto list = this->servers(2, 1);
    list[0] = this->server(0, 1, server_state::leaving);
    const auto map = slot_map::build(list, this->entries(1, 1), "e0");
    for (const char* name :
         {"owned_slots", "round_robin", "random_choice", "two_choices"})
    {
        placement_reason why;
        slot_pool slots;
        slots.set_servers(list, map);
        const auto any =
            make_policy(name, {slots, this->stats, this->random}, why);
        for (int i = 0; i < 8; ++i)
        {
            const auto choice = any->pick(this->demand, "", {});
            BOOST_REQUIRE(choice.has_value());
            BOOST_TEST(choice->server == "b1");
            any->started(*choice, {});
        }
        slots.mark_leaving("b1");
        slots.set_servers(list, map);
        any->begin_round({});
        BOOST_TEST(!any->pick(this->demand, "", {}).has_value());
    }
}

// Guards against starting long tasks on a slow server while a fast slot is
// about to become free.
BOOST_AUTO_TEST_CASE(pick_fast_slot_soon_free_waits)
{
    for (int repetition = 0; repetition < 10; ++repetition)
    {
        this->record_run_times("b0", milliseconds(100));
        for (int i = 1; i < 10; ++i)
        {
            this->record_run_times("b" + std::to_string(i), milliseconds(800));
        }
    }
    for (int i = 0; i < 8; ++i)
    {
        const auto choice = this->policy.pick(this->demand, "", {});
        BOOST_REQUIRE(choice.has_value());
        BOOST_TEST(choice->server == "b0");
        this->policy.started(*choice, {});
    }
    this->policy.begin_round({});
    BOOST_TEST(!this->policy.pick(this->demand, "", {}).has_value());
    // A second copy of a running task must not wait.
    BOOST_TEST(this->policy.pick(this->demand, "b0", {}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
