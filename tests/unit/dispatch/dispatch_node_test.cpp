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

// The holder dies with a job of another instance: the job runs again, but
// never while its first run may still be there.
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

// The same with the store down: the successor derives its token.
BOOST_AUTO_TEST_CASE(holder_killed_store_down_pool_taken_over)
{
    this->add_server("s1");
    this->start_node("a");
    this->start_node("b");
    BOOST_REQUIRE(this->wait_for_servers("a", 1));
    BOOST_REQUIRE(this->wait([&] { return this->nodes["b"]->node().ready(); }));
    this->store.set_fault(log_store_standin::fault::silent);
    this->nodes.erase("a");
    BOOST_REQUIRE(this->wait_for_servers("b", 1));
    this->submit("b", "0000000000000001", 1, 30);
    BOOST_REQUIRE(this->wait_for("0000000000000001"));
    BOOST_CHECK(this->results["0000000000000001"].outcome ==
                job_outcome::completed);
    BOOST_TEST(this->record.violations().empty());
}

// All instances at once: tokens have to rise beyond those before.
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

// A planned stop hands its servers over and cuts nothing off.
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

// The answer to a start is lost: the run is found in the listing.
BOOST_AUTO_TEST_CASE(start_answer_lost_task_runs_once)
{
    this->add_server("s1");
    this->start_node("a");
    BOOST_REQUIRE(this->wait_for_servers("a", 1));
    this->servers["s1"]->lose_answers(1);
    this->submit("a", "0000000000000001", 1, 300);
    BOOST_REQUIRE(this->wait_for("0000000000000001"));
    BOOST_CHECK(this->results["0000000000000001"].outcome ==
                job_outcome::completed);
    BOOST_TEST(this->record.total_starts() == 1);
    BOOST_TEST(this->record.violations().empty());
}

// A start is carried out seconds late, after the task ran elsewhere.
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

// The stop of an unanswered start is lost as well: it is repeated, and the task
// waits for neither of them for good.
BOOST_AUTO_TEST_CASE(start_and_its_stop_lost_task_runs_once)
{
    this->add_server("s1");
    this->start_node("a");
    BOOST_REQUIRE(this->wait_for_servers("a", 1));
    this->servers["s1"]->delay_starts(1, milliseconds(2000));
    this->servers["s1"]->lose_stops(2);
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

// Day scale-2 of 2026-12-04: each unanswered look was taken to renew the
// lease, so the tasks of a silent server never ran elsewhere.
BOOST_AUTO_TEST_CASE(server_unresponsive_task_runs_elsewhere_after_lease_expiry)
{
    this->add_server("s1");
    this->start_node("a");
    BOOST_REQUIRE(this->wait_for_servers("a", 1));
    this->submit("a", "0000000000000001", 1, 2500, milliseconds(15000));
    BOOST_REQUIRE(this->wait([&] { return this->record.total_starts() == 1; }));
    this->add_server("s2");
    this->servers["s1"]->set_silent(true);
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

// The store dropped the history in which the entry was removed.
BOOST_AUTO_TEST_CASE(server_entry_removed_in_compacted_history_is_noticed)
{
    this->add_server("s1");
    this->add_server("s2");
    this->start_node("a");
    BOOST_REQUIRE(this->wait_for_servers("a", 2));
    const auto gone = std::move(this->servers["s1"]);
    this->servers.erase("s1");
    this->store.write_server("s1", "");
    this->store.compact();
    BOOST_REQUIRE(this->wait([&] { return this->servers_of("a") == 1; }));
}

// After a restart of all instances requests come before any pool is taken.
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

// Without hope for a holder the caller learns it at once.
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

// A refusal has to be true: no task of the job has started.
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

// Seed 101 of the soak: the entry of a server's new life came after tasks had
// been started in it, and these were taken for lost.
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

// The incident of 2026-12-04 on kangiyo-coop: at the first moment of a cut an
// instance took the pools of the domain behind it, which it could not reach.
BOOST_AUTO_TEST_CASE(domain_unreachable_pools_taken_only_after_grace_period)
{
    this->add_server("s1", "d1");
    this->add_server("s2", "d2");
    this->start_node("a", "d1");
    this->start_node("b", "d2");
    BOOST_REQUIRE(this->wait_for_servers("a", 1));
    BOOST_REQUIRE(this->wait_for_servers("b", 1));
    // The store has to have answered for longer than the patience.
    const instant known = event_loop::now();
    this->wait([known] { return event_loop::now() - known >= seconds(6); });
    const instant lost = event_loop::now();
    this->nodes.erase("b");
    BOOST_REQUIRE(this->wait_for_servers("a", 2));
    BOOST_CHECK(event_loop::now() - lost >= seconds(5));
}

// Incident inc-3d75: as a cut of 5.4 s healed, the entries of the other
// domain's servers were back before its instances were linked again, and its
// pools were taken, and taken back 3 s later.
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
