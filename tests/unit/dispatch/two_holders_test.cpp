#include "node_fixture.hpp"

#include <sstream>
#include <string>

#include <boost/test/unit_test.hpp>

namespace jujubedrum
{

namespace
{

constexpr std::size_t server_count = 3;
/// Longer than an instance waits before it takes a pool again that it has lost.
constexpr milliseconds cut_time{4500};
constexpr milliseconds job_interval{40};
constexpr milliseconds job_limit{1500};
constexpr int run_ms = 300;

/// Two instances of a failure domain, which both hold its pools while they are
/// cut off from each other and from the store. The servers start whatever they
/// are told to.
struct two_holders_fixture : node_fixture
{
    two_holders_fixture()
    {
        for (std::size_t i = 0; i < server_count; ++i)
        {
            const std::string id = "s" + std::to_string(i);
            this->add_server(id);
            this->servers[id]->set_checks_capacity(false);
        }
        for (const std::string& name : {std::string("a"), std::string("b")})
        {
            this->relay_links_to(name);
            this->start_node(name);
        }
        BOOST_REQUIRE(this->wait_for_servers("a", server_count));
        BOOST_REQUIRE(
            this->wait([&] { return this->nodes["b"]->node().ready(); }));
    }
    void cut_off(bool value)
    {
        this->store.set_fault(value ? log_store_standin::fault::unresponsive
                                    : log_store_standin::fault::none);
        for (const auto& [name, relay] : this->relays)
        {
            value ? relay->blackhole(true, true) : relay->heal();
        }
    }
    /// Submits jobs at both instances by turns until the cut has ended and the
    /// instances have met again.
    void submit_in_cut()
    {
        this->submitting = true;
        this->submit_next();
        this->run_for(milliseconds(500));
        this->cut_off(true);
        this->run_for(cut_time / 2);
        this->on_cut();
        this->run_for(cut_time / 2);
        BOOST_TEST_MESSAGE("tokens: " << this->token_of("a") << " and "
                                      << this->token_of("b"));
        this->cut_off(false);
        this->run_for(seconds(2));
        this->submitting = false;
        this->run_for(job_limit);
        BOOST_TEST(this->record.total_starts() > 0U);
        for (const std::string& violation : this->record.violations())
        {
            BOOST_ERROR(violation);
        }
    }
    void submit_next()
    {
        if (!this->submitting)
        {
            return;
        }
        std::ostringstream id;
        id.width(16);
        id.fill('0');
        id << ++this->jobs;
        this->submit(this->jobs % 2 == 0 ? "a" : "b", id.str(), 2, run_ms,
                     job_limit);
        this->loop.after(job_interval, [this] { this->submit_next(); });
    }

    std::function<void()> on_cut = [] {};
    bool submitting = false;
    int jobs = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(two_holders_suite, two_holders_fixture)

// Guards against a server above its capacity, since two instances act as its
// holder (review/2).
BOOST_AUTO_TEST_CASE(both_cut_off_servers_within_capacity)
{
    this->submit_in_cut();
}

// The same with requests that are carried out late.
BOOST_AUTO_TEST_CASE(both_cut_off_requests_late_servers_within_capacity)
{
    this->on_cut = [this]
    {
        for (const auto& [id, server] : this->servers)
        {
            server->delay_starts(2, milliseconds(300));
            server->delay_renewals(1, milliseconds(300));
        }
    };
    this->submit_in_cut();
}

// The same with a server that restarts and has seen no fencing token since.
BOOST_AUTO_TEST_CASE(both_cut_off_server_restarted_within_capacity)
{
    this->on_cut = [this]
    {
        this->servers["s0"]->delay_starts(3, milliseconds(400));
        this->run_for(milliseconds(200));
        this->servers["s0"]->crash();
    };
    this->submit_in_cut();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubedrum
