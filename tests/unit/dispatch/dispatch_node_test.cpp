#include "node_fixture.hpp"

#include <boost/test/unit_test.hpp>

namespace jujubedrum
{

BOOST_FIXTURE_TEST_SUITE(dispatch_node_suite, node_fixture)

BOOST_AUTO_TEST_CASE(job_at_any_instance_completes)
{
    this->add_server("s1");
    this->add_server("s2");
    this->start_node("a");
    this->start_node("b");
    BOOST_REQUIRE(this->wait_for_servers("a", 2));
    BOOST_REQUIRE(this->wait([&] { return this->nodes["b"]->node().ready(); }));
    this->submit("a", "0000000000000001", 2, 30);
    this->submit("b", "0000000000000002", 2, 30);
    BOOST_REQUIRE(this->wait_for("0000000000000001"));
    BOOST_REQUIRE(this->wait_for("0000000000000002"));
    BOOST_CHECK(this->results["0000000000000001"].outcome ==
                job_outcome::completed);
    BOOST_CHECK(this->results["0000000000000002"].outcome ==
                job_outcome::completed);
    BOOST_TEST(this->record.violations().empty());
}

// Guards against losing or doubling a job when its holder, not the instance
// that submitted it, is killed: it runs again, but never while its first run
// may still exist.
BOOST_AUTO_TEST_CASE(holder_killed_job_runs_again_without_overlap)
{
    this->add_server("s1");
    this->add_server("s2");
    this->start_node("a");
    this->start_node("b");
    BOOST_REQUIRE(this->wait_for_servers("a", 2));
    BOOST_REQUIRE(this->wait([&] { return this->nodes["b"]->node().ready(); }));
    this->submit("b", "0000000000000001", 4, 600);
    BOOST_REQUIRE(this->wait([&] { return this->record.total_starts() == 4; }));
    this->nodes.erase("a");
    BOOST_REQUIRE(this->wait_for("0000000000000001"));
    BOOST_CHECK(this->results["0000000000000001"].outcome ==
                job_outcome::completed);
    BOOST_TEST(this->record.total_starts() > 4);
    BOOST_TEST(this->record.violations().empty());
}

// With the store down, the successor derives its fencing token without it.
BOOST_AUTO_TEST_CASE(holder_killed_store_down_pool_taken_over)
{
    this->add_server("s1");
    this->start_node("a");
    this->start_node("b");
    BOOST_REQUIRE(this->wait_for_servers("a", 1));
    BOOST_REQUIRE(this->wait([&] { return this->nodes["b"]->node().ready(); }));
    this->store.set_fault(log_store_standin::fault::unresponsive);
    this->nodes.erase("a");
    BOOST_REQUIRE(this->wait_for_servers("b", 1));
    this->submit("b", "0000000000000001", 1, 30);
    BOOST_REQUIRE(this->wait_for("0000000000000001"));
    BOOST_CHECK(this->results["0000000000000001"].outcome ==
                job_outcome::completed);
    BOOST_TEST(this->record.violations().empty());
}

// After a restart of all instances, tokens have to exceed the earlier ones.
BOOST_AUTO_TEST_CASE(all_restarted_jobs_served_again)
{
    this->add_server("s1");
    this->start_node("a");
    BOOST_REQUIRE(this->wait_for_servers("a", 1));
    this->submit("a", "0000000000000001", 1, 5000);
    BOOST_REQUIRE(this->wait([&] { return this->record.total_starts() == 1; }));
    this->nodes.clear();
    this->store.compact();
    this->start_node("a");
    BOOST_REQUIRE(this->wait_for_servers("a", 1));
    this->submit("a", "0000000000000002", 2, 30);
    BOOST_REQUIRE(this->wait_for("0000000000000002"));
    BOOST_CHECK(this->results["0000000000000002"].outcome ==
                job_outcome::completed);
    BOOST_TEST(this->record.violations().empty());
}

// A planned stop hands its servers over without ending any run.
BOOST_AUTO_TEST_CASE(holder_draining_jobs_end_and_successor_serves)
{
    this->add_server("s1");
    this->add_server("s2");
    this->start_node("a");
    this->start_node("b");
    BOOST_REQUIRE(this->wait_for_servers("a", 2));
    BOOST_REQUIRE(this->wait([&] { return this->nodes["b"]->node().ready(); }));
    this->submit("b", "0000000000000001", 1, 500);
    BOOST_REQUIRE(this->wait([&] { return this->record.total_starts() == 1; }));
    this->nodes["a"]->node().drain();
    BOOST_REQUIRE(
        this->wait([&] { return this->nodes["a"]->node().drained(); }));
    this->nodes.erase("a");
    BOOST_REQUIRE(this->wait_for_servers("b", 2));
    BOOST_REQUIRE(this->wait_for("0000000000000001"));
    BOOST_CHECK(this->results["0000000000000001"].outcome ==
                job_outcome::completed);
    BOOST_TEST(this->record.total_starts() == 1);
}

// The answer to a start is lost; the poll reply shows the run.
BOOST_AUTO_TEST_CASE(start_answer_lost_task_runs_once)
{
    this->add_server("s1");
    this->start_node("a");
    BOOST_REQUIRE(this->wait_for_servers("a", 1));
    this->servers["s1"]->drop_start_replies(1);
    this->submit("a", "0000000000000001", 1, 300);
    BOOST_REQUIRE(this->wait_for("0000000000000001"));
    BOOST_CHECK(this->results["0000000000000001"].outcome ==
                job_outcome::completed);
    BOOST_TEST(this->record.total_starts() == 1);
    BOOST_TEST(this->record.violations().empty());
}

// Guards against a start request that takes effect after its validity, when the
// task may have been started again.
BOOST_AUTO_TEST_CASE(start_carried_out_late_is_refused_by_then)
{
    this->add_server("s1");
    this->start_node("a");
    BOOST_REQUIRE(this->wait_for_servers("a", 1));
    this->servers["s1"]->delay_starts(1, milliseconds(700));
    this->submit("a", "0000000000000001", 1, 1200);
    BOOST_REQUIRE(this->wait_for("0000000000000001"));
    BOOST_CHECK(this->results["0000000000000001"].outcome ==
                job_outcome::completed);
    BOOST_TEST(this->record.total_starts() == 1);
    BOOST_TEST(this->record.violations().empty());
}

// The stop of an unanswered start is lost as well. The stop is repeated, and
// the task does not wait forever for either answer.
BOOST_AUTO_TEST_CASE(start_and_its_stop_lost_task_runs_once)
{
    this->add_server("s1");
    this->start_node("a");
    BOOST_REQUIRE(this->wait_for_servers("a", 1));
    this->servers["s1"]->delay_starts(1, milliseconds(2000));
    this->servers["s1"]->drop_stop_requests(2);
    this->submit("a", "0000000000000001", 1, 100);
    BOOST_REQUIRE(this->wait_for("0000000000000001"));
    BOOST_CHECK(this->results["0000000000000001"].outcome ==
                job_outcome::completed);
    BOOST_TEST(this->record.total_starts() == 1);
    BOOST_TEST(this->record.violations().empty());
}

BOOST_AUTO_TEST_CASE(server_crashed_task_runs_elsewhere)
{
    this->add_server("s1");
    this->start_node("a");
    BOOST_REQUIRE(this->wait_for_servers("a", 1));
    this->submit("a", "0000000000000001", 1, 400);
    BOOST_REQUIRE(this->wait([&] { return this->record.total_starts() == 1; }));
    this->servers["s1"]->crash();
    BOOST_REQUIRE(this->wait_for("0000000000000001"));
    BOOST_CHECK(this->results["0000000000000001"].outcome ==
                job_outcome::completed);
    BOOST_TEST(this->record.total_starts() == 2);
    BOOST_TEST(this->record.violations().empty());
}

// Guards against counting unanswered polls as lease renewals: the tasks of a
// server that did not answer never ran elsewhere (day scale-2 of 2026-12-04).
BOOST_AUTO_TEST_CASE(server_unresponsive_task_runs_elsewhere_after_lease_expiry)
{
    this->add_server("s1");
    this->start_node("a");
    BOOST_REQUIRE(this->wait_for_servers("a", 1));
    this->submit("a", "0000000000000001", 1, 2500, milliseconds(15000));
    BOOST_REQUIRE(this->wait([&] { return this->record.total_starts() == 1; }));
    this->add_server("s2");
    this->servers["s1"]->set_unresponsive(true);
    BOOST_REQUIRE(this->wait_for("0000000000000001"));
    BOOST_CHECK(this->results["0000000000000001"].outcome ==
                job_outcome::completed);
    BOOST_TEST(this->record.total_starts() == 2);
    BOOST_TEST(this->record.violations().empty());
}

BOOST_AUTO_TEST_CASE(server_draining_gets_no_new_tasks)
{
    this->add_server("s1");
    this->add_server("s2");
    this->start_node("a");
    BOOST_REQUIRE(this->wait_for_servers("a", 2));
    this->servers["s1"]->set_draining(true);
    this->write_entry("s1");
    BOOST_REQUIRE(this->wait_for_servers("a", 2));
    BOOST_REQUIRE(this->wait([&] { return this->servers_of("a") == 1; }));
}

// The store dropped the part of its history that holds the removal.
BOOST_AUTO_TEST_CASE(server_entry_removed_in_lost_history_is_detected)
{
    this->add_server("s1");
    this->add_server("s2");
    this->start_node("a");
    BOOST_REQUIRE(this->wait_for_servers("a", 2));
    const auto removed = std::move(this->servers["s1"]);
    this->servers.erase("s1");
    this->store.write_server("s1", "");
    this->store.compact();
    BOOST_REQUIRE(this->wait([&] { return this->servers_of("a") == 1; }));
}

// Guards against starting tasks for ever on a server whose entry is gone: it
// was removed only once nothing ran there.
BOOST_AUTO_TEST_CASE(server_entry_removed_while_busy_gets_no_new_tasks)
{
    this->add_server("s1");
    this->add_server("s2");
    this->start_node("a");
    BOOST_REQUIRE(this->wait_for_servers("a", 2));
    this->submit("a", "0000000000000001", 4, 6000, milliseconds(30000));
    BOOST_REQUIRE(this->wait([&] { return this->record.total_starts() == 4; }));
    const auto removed = std::move(this->servers["s2"]);
    this->servers.erase("s2");
    this->store.write_server("s2", "");
    BOOST_REQUIRE(
        this->wait([&] { return this->usable_cpu_of("a") <= 16000; }));
    BOOST_TEST(this->results.count("0000000000000001") == 0);
    BOOST_REQUIRE(this->wait_for("0000000000000001"));
    BOOST_TEST(this->record.total_starts() == 4);
    BOOST_TEST(this->record.violations().empty());
}

// An unreadable entry names no server to use, but what runs there is kept.
BOOST_AUTO_TEST_CASE(server_entry_unreadable_no_new_tasks_until_it_is_back)
{
    this->add_server("s1");
    this->add_server("s2");
    this->start_node("a");
    BOOST_REQUIRE(this->wait_for_servers("a", 2));
    this->submit("a", "0000000000000001", 4, 4000, milliseconds(30000));
    BOOST_REQUIRE(this->wait([&] { return this->record.total_starts() == 4; }));
    auto without_entry = std::move(this->servers["s2"]);
    this->servers.erase("s2");
    this->store.write_server("s2", R"({"backend":5})");
    BOOST_REQUIRE(
        this->wait([&] { return this->usable_cpu_of("a") <= 16000; }));
    BOOST_TEST(this->results.count("0000000000000001") == 0);
    BOOST_REQUIRE(this->wait_for("0000000000000001"));
    BOOST_CHECK(this->results["0000000000000001"].outcome ==
                job_outcome::completed);
    BOOST_TEST(this->record.total_starts() == 4);
    this->servers["s2"] = std::move(without_entry);
    this->write_entry("s2");
    BOOST_REQUIRE(this->wait([&] { return this->usable_cpu_of("a") > 16000; }));
    BOOST_TEST(this->record.violations().empty());
}

// Guards against entries of another writer that end the process or keep the
// instance from following the list, which it reads in pages of one key here.
BOOST_AUTO_TEST_CASE(server_entries_of_another_writer_others_stay_in_use)
{
    const auto entry_with = [](const std::string& port, const std::string& cpu)
    {
        return R"({"backend":"service","zone":"d1","state":"ready",)"
               R"("address":"127.0.0.1:)" +
               port + R"(","capacity":{"cpu":)" + cpu + "}}";
    };
    const std::vector<std::string> odd_entries = {"{}",
                                                  "\xff\xfe",
                                                  std::string(200'000, '['),
                                                  std::string(100'000, '[') +
                                                      std::string(100'000, ']'),
                                                  entry_with("99999", "16000"),
                                                  entry_with("9", "1e999"),
                                                  entry_with("9", "-1")};
    const auto write_odd_entries = [&](const std::string& prefix)
    {
        for (std::size_t i = 0; i < odd_entries.size(); ++i)
        {
            this->store.write_server(prefix + std::to_string(i),
                                     odd_entries[i]);
        }
    };
    this->store.set_page_size(1);
    write_odd_entries("odd &part=9#%/?");
    this->add_server("s1");
    this->start_node("a");
    BOOST_REQUIRE(this->wait_for_servers("a", 1));
    write_odd_entries("z ");
    this->add_server("s2");
    BOOST_REQUIRE(this->wait_for_servers("a", 2));
    this->submit("a", "0000000000000001", 4, 30);
    BOOST_REQUIRE(this->wait_for("0000000000000001"));
    BOOST_CHECK(this->results["0000000000000001"].outcome ==
                job_outcome::completed);
    BOOST_TEST(this->usable_cpu_of("a") <= 32000);
    BOOST_TEST(this->record.violations().empty());
}

// After a restart of all instances, requests arrive before any pool is taken.
BOOST_AUTO_TEST_CASE(just_started_job_waits_for_first_holder)
{
    this->add_server("s1");
    this->start_node("a");
    this->submit("a", "0000000000000001", 1, 30);
    BOOST_REQUIRE(this->wait_for("0000000000000001"));
    BOOST_CHECK(this->results["0000000000000001"].outcome ==
                job_outcome::completed);
    BOOST_TEST(this->record.total_starts() == 1);
}

// When there has been no holder for long, jobs are refused at once.
BOOST_AUTO_TEST_CASE(no_holder_for_long_refused_at_once)
{
    this->start_node("a");
    this->submit("a", "0000000000000001", 1, 30);
    BOOST_REQUIRE(this->wait_for("0000000000000001"));
    this->submit("a", "0000000000000002", 1, 30);
    BOOST_REQUIRE(this->results.count("0000000000000002") == 1);
    BOOST_CHECK(this->results["0000000000000002"].outcome ==
                job_outcome::refused);
}

// Guards against a refusal of a job of which a task has started.
BOOST_AUTO_TEST_CASE(no_holder_refused_and_not_run)
{
    this->start_node("a");
    this->submit("a", "0000000000000001", 1, 30);
    BOOST_REQUIRE(this->wait_for("0000000000000001"));
    BOOST_CHECK(this->results["0000000000000001"].outcome ==
                job_outcome::refused);
    BOOST_TEST(this->results["0000000000000001"].retry_after.count() > 0);
    BOOST_TEST(this->record.total_starts() == 0);
}

// Guards against giving up runs of a restarted server when its new entry
// arrives after they were started (seed 101 of the soak).
BOOST_AUTO_TEST_CASE(server_crashed_entry_late_runs_of_new_incarnation_kept)
{
    this->add_server("s1");
    this->start_node("a");
    BOOST_REQUIRE(this->wait_for_servers("a", 1));
    this->submit("a", "0000000000000001", 1, 1500);
    BOOST_REQUIRE(this->wait([&] { return this->record.total_starts() == 1; }));
    this->servers["s1"]->crash();
    BOOST_REQUIRE(this->wait([&] { return this->record.total_starts() == 2; }));
    this->write_entry("s1");
    BOOST_REQUIRE(this->wait_for("0000000000000001"));
    BOOST_TEST(this->record.total_starts() == 2);
    BOOST_TEST(this->record.violations().empty());
}

// Guards against taking over the pools of another failure domain as soon as a
// network partition begins, although its servers cannot be reached (incident of
// 2026-12-04 on kangiyo-coop).
BOOST_AUTO_TEST_CASE(domain_unreachable_pools_taken_only_after_grace_period)
{
    this->add_server("s1", "d1");
    this->add_server("s2", "d2");
    this->start_node("a", "d1");
    this->start_node("b", "d2");
    BOOST_REQUIRE(this->wait_for_servers("a", 1));
    BOOST_REQUIRE(this->wait_for_servers("b", 1));
    // The store has to have answered for longer than the grace period.
    const instant known = event_loop::now();
    this->wait([known] { return event_loop::now() - known >= seconds(6); });
    const instant disconnected_at = event_loop::now();
    this->nodes.erase("b");
    BOOST_REQUIRE(this->wait_for_servers("a", 2));
    BOOST_CHECK(event_loop::now() - disconnected_at >= seconds(5));
}

// Guards against taking over the pools of another failure domain when a
// partition heals: the entries of its servers returned before its instances
// were linked again, so its pools were taken, and taken back 3 s later
// (incident inc-3d75, a partition of 5.4 s).
BOOST_AUTO_TEST_CASE(domain_reconnected_pools_taken_only_after_grace_period)
{
    this->add_server("s1", "d1");
    this->add_server("s2", "d2");
    this->start_node("a", "d1");
    this->start_node("b", "d2");
    BOOST_REQUIRE(this->wait_for_servers("a", 1));
    BOOST_REQUIRE(this->wait_for_servers("b", 1));
    auto cut_off = std::move(this->servers["s2"]);
    this->servers.erase("s2");
    this->nodes.erase("b");
    const instant cut = event_loop::now();
    this->wait([cut] { return event_loop::now() - cut >= seconds(6); });
    this->servers["s2"] = std::move(cut_off);
    this->write_entry("s2");
    const instant healed = event_loop::now();
    BOOST_REQUIRE(this->wait_for_servers("a", 2));
    BOOST_CHECK(event_loop::now() - healed >= seconds(5));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubedrum
