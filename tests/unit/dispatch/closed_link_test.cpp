#include "node_fixture.hpp"
#include "peer_standin.hpp"
#include "silent_peer.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace jujubedrum
{

namespace
{

constexpr std::uint64_t task_cpu = 6800;
/// TCP delivers a segment that was lost in a cut of 0.3 s with its third
/// transmission, 600 ms after the first one.
constexpr milliseconds held_up_for{650};

/// An accepting instance without servers, and two holders with a server each.
/// The links to the first holder pass a relay.
struct held_up_link_fixture : node_fixture
{
    held_up_link_fixture()
    {
        this->add_server("s1", "d1");
        this->add_server("s2", "d2");
        this->relay = &this->relay_links_to("h1");
        // Started first, and with the smallest name, so that it opens the
        // links.
        this->start_node("a0", "d0");
        this->start_node("h1", "d1");
        this->start_node("h2", "d2");
        BOOST_REQUIRE(this->wait_for_servers("h1", 1));
        BOOST_REQUIRE(this->wait_for_servers("h2", 1));
        BOOST_REQUIRE(this->wait(
            [this]
            {
                return this->free_cpu_at_a0("h1") >= task_cpu &&
                       this->free_cpu_at_a0("h2") >= task_cpu;
            }));
    }
    /// Returns the free capacity of a holder as the accepting instance sees it.
    std::uint64_t free_cpu_at_a0(const std::string& holder)
    {
        const auto state =
            nlohmann::json::parse(this->nodes["a0"]->node().dump());
        for (const auto& peer : state["peers"])
        {
            if (peer["name"] == holder)
            {
                return peer["free_cpu"].get<std::uint64_t>();
            }
        }
        return 0;
    }
    /// Submits a job to the first holder while the link to it is held up. The
    /// accepting instance closes the link and connects again.
    void submit_over_held_up_link(int run_ms)
    {
        this->submit("h2", "00000000000000f2", 2, 400);
        BOOST_REQUIRE(this->wait(
            [this] { return this->free_cpu_at_a0("h2") < task_cpu; }));
        this->relay->delay_open_connections(held_up_for);
        submit_message message = this->submission_of(job, run_ms);
        message.terms.target = milliseconds(60);
        message.terms.stretch = 1.6;
        message.terms.time_left = milliseconds(1500);
        this->nodes["a0"]->node().submit(message.request, message.terms,
                                         [this](const job_result& result)
                                         { this->results[job] = result; });
        this->run_for(milliseconds(50));
    }

    static constexpr const char* job = "00000000000000aa";
    fault_relay* relay = nullptr;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(closed_link_suite, held_up_link_fixture)

// Guards against two runs of a task: a submission that is held up on a closed
// link is started after its resubmission was refused and given to another
// holder.
BOOST_AUTO_TEST_CASE(submission_held_up_resubmission_refused_runs_once)
{
    this->submit_over_held_up_link(400);
    this->submit("h1", "00000000000000f1", 2, 550);
    BOOST_REQUIRE(this->wait_for(job));
    this->run_for(seconds(1));
    BOOST_TEST(this->record.violations().empty());
    BOOST_TEST(this->record.starts_of(job) <= 1U);
}

// Guards against a job whose run is stopped and repeated, since the holder
// notices the end of the earlier link.
BOOST_AUTO_TEST_CASE(submission_held_up_resubmission_taken_runs_once)
{
    this->submit_over_held_up_link(700);
    BOOST_REQUIRE(this->wait_for(job));
    this->run_for(milliseconds(500));
    BOOST_CHECK(this->results[job].outcome == job_outcome::completed);
    BOOST_TEST(this->record.violations().empty());
    BOOST_TEST(this->record.starts_of(job) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(closed_link_earlier_version_suite, node_fixture)

// Guards against the same during an update: an accepting instance of an earlier
// version does not tell which of its links it has closed.
BOOST_AUTO_TEST_CASE(accepting_instance_linked_again_earlier_link_not_read)
{
    this->add_server("s1");
    this->start_node("a");
    BOOST_REQUIRE(this->wait_for_servers("a", 1));
    silent_peer earlier(this->loop, this->member_of("a"), false);
    this->run_for(milliseconds(100));
    const silent_peer newer(this->loop, this->member_of("a"), false);
    this->run_for(milliseconds(100));
    earlier.send(this->submission_of("0000000000000001", 100));
    this->run_for(milliseconds(500));
    BOOST_TEST(this->record.total_starts() == 0U);
}

// The same for a holder of an earlier version, which may still start what it
// reads on the closed link.
BOOST_AUTO_TEST_CASE(holder_linked_again_refusal_not_given_to_another)
{
    this->start_node("a");
    const std::string job = "0000000000000001";
    std::optional<peer_standin> holder;
    const auto link_holder = [&]
    {
        holder.reset();
        holder.emplace(this->loop, "holder", this->member_of("a"),
                       std::vector<pool_hold>{{{"d9", 0}, 1024, true}}, "d9", 1,
                       false);
    };
    link_holder();
    BOOST_REQUIRE(this->wait([&] { return this->nodes["a"]->node().ready(); }));
    this->submit("a", job, 1, 300);
    BOOST_REQUIRE(this->wait([&] { return !holder->submissions().empty(); }));
    const peer_standin other(this->loop, "other", this->member_of("a"),
                             std::vector<pool_hold>{{{"d8", 1}, 1024, true}});
    BOOST_REQUIRE(this->wait([&] { return other.linked(); }));
    link_holder();
    BOOST_REQUIRE(this->wait([&] { return !holder->submissions().empty(); }));
    holder->send(
        result_message{holder->submissions().back().ticket,
                       {job_outcome::refused, "busy", milliseconds(100)},
                       {}});
    BOOST_REQUIRE(this->wait_for(job));
    BOOST_CHECK(this->results[job].outcome == job_outcome::incomplete);
    BOOST_TEST(other.submissions().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubedrum
