#include "backend/slot_queue.hpp"
#include "backend/start_counter.hpp"
#include "backend/task_plan.hpp"

#include <boost/test/unit_test.hpp>

using namespace jujubedrum;

namespace
{

task_plan plan(const std::string& payload, const server_faults& faults = {})
{
    server_options server;
    server.speed = 2.0;
    const auto request = standin_task::parse({{"task", "j/0"},
                                              {"kind", "k"},
                                              {"payload", payload},
                                              {"memory_mb", 100},
                                              {"run_ms", 100},
                                              {"lease_ms", 400}});
    return task_plan::make(request.value(), server, faults);
}

} // namespace

BOOST_AUTO_TEST_SUITE(standin_backend_suite)

// Guards against a repeated start that the stand-in does not count: scenarios
// that check at-most-once execution would then miss it.
BOOST_AUTO_TEST_CASE(count_repeated_start_is_reported)
{
    start_counter starts(10);
    starts.count("j/0");
    starts.count("j/1");
    starts.count("j/0");
    starts.count("jj/0");
    BOOST_TEST(starts.total() == 4U);
    BOOST_TEST(starts.repeated() == 1U);
    BOOST_TEST(starts.tasks("j").size() == 2U);
    BOOST_TEST(starts.tasks("j")["j/0"] == 2);
    BOOST_TEST(starts.tasks("").size() == 3U);
}

// Guards against plans that ignore the run time, failure or memory use in the
// payload, the lease or an injected fault: scenarios depend on each of them.
BOOST_AUTO_TEST_CASE(make_plan_follows_payload_lease_and_faults)
{
    BOOST_TEST((plan("x").run_time == milliseconds(50)));
    BOOST_TEST((plan(R"({"actual_ms":600})").run_time == milliseconds(300)));
    BOOST_TEST(plan(R"({"actual_ms":6000})").error == "lease_expired");
    BOOST_TEST(plan(R"({"fail":true})").error == "failed");
    BOOST_TEST(plan(R"({"use_memory_mb":200})").error == "memory_exceeded");
    server_faults faults;
    faults.update({{"slow_factor", 4}});
    BOOST_TEST((plan("x", faults).run_time == milliseconds(200)));
    faults.update({{"fail_all", true}});
    BOOST_TEST(plan("x", faults).error == "failed");
}

// Guards against starts out of arrival order or beyond slots and memory.
BOOST_AUTO_TEST_CASE(start_ready_keeps_order_slots_and_memory)
{
    slot_queue queue(2, 100);
    task_entry first;
    task_entry second;
    task_entry third;
    first.memory_mb = 60;
    second.memory_mb = 60;
    third.memory_mb = 10;
    queue.add(first);
    queue.add(second);
    queue.add(third);
    BOOST_TEST(queue.start_ready().size() == 1U);
    BOOST_TEST(queue.waiting() == 2U);
    queue.remove(first);
    BOOST_TEST(queue.start_ready().size() == 2U);
    BOOST_TEST(queue.used_memory_mb() == 70);
}

BOOST_AUTO_TEST_SUITE_END()
