#include "placement/grant_book.hpp"

#include "base/random_source.hpp"
#include "placement_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <functional>
#include <memory>

using namespace jujubedrum;

namespace
{

/// One instance with its pool and grant book.
struct test_peer
{
    test_peer(const std::string& name,
              const std::vector<backend_server>& servers,
              const std::vector<entry_instance>& entries)
        : book(name, this->pool, this->stats)
    {
        this->pool.set_servers(servers,
                               slot_map::build(servers, entries, name));
        this->book.set_peers(entries, "d0");
    }

    slot_pool pool;
    server_stats stats;
    grant_book book;
};

struct grant_fixture : placement_fixture
{
    explicit grant_fixture(std::size_t count = 2)
        : list(this->servers(6, 1))
        , names(this->entries(count, 1))
    {
        for (const entry_instance& entry : this->names)
        {
            this->peers.push_back(std::make_unique<test_peer>(
                entry.name, this->list, this->names));
        }
    }

    test_peer& peer(const std::string& name)
    {
        return *this->peers.at(std::stoul(name.substr(1)));
    }

    [[nodiscard]] unsigned capacity(const std::string& server) const
    {
        unsigned total = 0;
        for (const auto& side : this->peers)
        {
            total += side ? side->pool.find(server)->capacity() : 0;
        }
        return total;
    }

    /// Delivers one report from each instance to each other one.
    void exchange_reports(instant now)
    {
        for (const entry_instance& from : this->names)
        {
            for (const entry_instance& to : this->names)
            {
                if (from.name != to.name && this->peers[index(from)] &&
                    this->peers[index(to)])
                {
                    grant_book& book = this->peer(from.name).book;
                    book.on_revoked(to.name,
                                    this->peer(to.name).book.on_report(
                                        book.report_for(to.name), now));
                }
            }
        }
    }

    static std::size_t index(const entry_instance& entry)
    {
        return std::stoul(entry.name.substr(1));
    }

    std::vector<backend_server> list;
    std::vector<entry_instance> names;
    std::vector<std::unique_ptr<test_peer>> peers;
};

/// Random requests, lost and repeated messages, and dead instances among four.
class grant_schedule : public grant_fixture
{
public:
    explicit grant_schedule(std::uint64_t seed)
        : grant_fixture(4)
        , random(seed)
    {
    }

    void run(bool deaths)
    {
        for (int i = 0; i < 300; ++i)
        {
            this->now += milliseconds(this->random.below(400));
            this->step();
            if (deaths && i == 150)
            {
                this->kill(this->random.below(4));
            }
            this->check(!deaths);
        }
        this->check_all_slots_returned();
    }

private:
    void step()
    {
        const std::size_t at = this->random.below(4);
        if (!this->peers[at])
        {
            return;
        }
        switch (this->random.below(6))
        {
        case 0:
            this->request(at);
            break;
        case 1:
            for (const auto& sent : this->peers[at]->book.tick(this->now))
            {
                this->send_report(at, sent.lender, sent.report);
            }
            break;
        case 2:
            this->start_task(at);
            break;
        case 3:
            this->end_task(at);
            break;
        case 4:
            this->heartbeat(at);
            break;
        default:
            this->deliver();
        }
    }

    void request(std::size_t at)
    {
        const auto plan = this->peers[at]->book.plan_request(
            1 + this->random.below(10), this->now);
        if (plan)
        {
            this->send([this, plan = *plan] { this->lend(plan); });
        }
    }

    void lend(const planned_request& plan)
    {
        const std::size_t to = std::stoul(plan.lender.substr(1));
        const std::string& from = plan.request.report.borrower;
        if (!this->peers[to])
        {
            return;
        }
        const auto reply = this->peers[to]->book.lend(plan.request, this->now);
        this->send(
            [this, from, reply]
            {
                if (this->peers[std::stoul(from.substr(1))])
                {
                    this->peer(from).book.on_reply(reply, this->now);
                }
            });
    }

    void heartbeat(std::size_t at)
    {
        const std::string to = "e" + std::to_string(this->random.below(4));
        if (to != this->names[at].name)
        {
            this->send_report(at, to, this->peers[at]->book.report_for(to));
        }
    }

    void send_report(std::size_t from, const std::string& to,
                     const grant_report& report)
    {
        this->send(
            [this, from, to, report]
            {
                if (!this->peers[std::stoul(to.substr(1))])
                {
                    return;
                }
                const auto unknown =
                    this->peer(to).book.on_report(report, this->now);
                if (this->peers[from])
                {
                    this->peers[from]->book.on_revoked(to, unknown);
                }
            });
    }

    /// Drops one message in five and sends one in five twice.
    void send(const std::function<void()>& message)
    {
        const std::size_t loss_case = this->random.below(5);
        for (std::size_t copies = loss_case == 0   ? 0
                                  : loss_case == 1 ? 2
                                                   : 1;
             copies > 0; --copies)
        {
            this->messages.push_back(message);
        }
    }

    void deliver()
    {
        if (!this->messages.empty())
        {
            const std::size_t at = this->random.below(this->messages.size());
            const auto message = this->messages[at];
            this->messages.erase(this->messages.begin() +
                                 static_cast<std::ptrdiff_t>(at));
            message();
        }
    }

    void start_task(std::size_t at)
    {
        const std::string server = "b" + std::to_string(this->random.below(6));
        if (this->peers[at]->pool.find(server)->free() > 0)
        {
            this->peers[at]->pool.started(server);
        }
    }

    void end_task(std::size_t at)
    {
        this->peers[at]->pool.finished("b" +
                                       std::to_string(this->random.below(6)));
    }

    void kill(std::size_t victim)
    {
        this->peers[victim].reset();
        for (const auto& side : this->peers)
        {
            if (side)
            {
                side->book.on_peer_dead(this->names[victim].name);
            }
        }
    }

    void check(bool all_alive)
    {
        for (const backend_server& server : this->list)
        {
            BOOST_REQUIRE(this->capacity(server.name()) <= server.slots());
            for (const auto& side : this->peers)
            {
                const auto* entry =
                    side ? side->pool.find(server.name()) : nullptr;
                BOOST_REQUIRE((!all_alive || entry == nullptr ||
                               entry->busy <= entry->capacity()));
            }
        }
    }

    /// Delivers all messages, then requires that each slot of an instance that
    /// is not dead is usable again.
    void check_all_slots_returned()
    {
        while (!this->messages.empty())
        {
            this->deliver();
        }
        this->now += seconds(9);
        for (const auto& side : this->peers)
        {
            if (side)
            {
                side->book.tick(this->now);
            }
        }
        this->exchange_reports(this->now);
        unsigned owned = 0;
        unsigned usable = 0;
        for (const auto& side : this->peers)
        {
            owned += side ? side->pool.owned() : 0;
            usable += side ? side->pool.capacity() : 0;
        }
        BOOST_REQUIRE(usable == owned);
    }

    random_source random;
    instant now = seconds(10);
    std::deque<std::function<void()>> messages;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(grant_book_suite, grant_fixture)

// Guards against slots that stay lent forever when the reply is lost.
BOOST_AUTO_TEST_CASE(lend_lost_reply_slots_are_returned)
{
    const auto plan = this->peer("e0").book.plan_request(3, seconds(1));
    BOOST_REQUIRE(plan.has_value());
    test_peer& lender = this->peer(plan->lender);
    const auto reply = lender.book.lend(plan->request, seconds(1));
    BOOST_TEST(lender.pool.lent() >= 3U);
    // The request is still open, since the reply may yet arrive.
    this->exchange_reports(seconds(1));
    BOOST_TEST(lender.pool.lent() >= 3U);
    this->peer("e0").book.tick(seconds(3));
    this->exchange_reports(seconds(3));
    BOOST_TEST(lender.pool.lent() == 0U);
    // The late reply must not be used.
    BOOST_TEST(!this->peer("e0").book.on_reply(reply, seconds(4)));
    BOOST_TEST(this->peer("e0").pool.borrowed() == 0U);
}

// Guards against a second grant for a request that was sent twice.
BOOST_AUTO_TEST_CASE(lend_repeated_request_gives_same_grant)
{
    const auto plan = this->peer("e0").book.plan_request(3, seconds(1));
    test_peer& lender = this->peer(plan->lender);
    const auto first = lender.book.lend(plan->request, seconds(1));
    const auto second = lender.book.lend(plan->request, seconds(1));
    BOOST_TEST((first.grant == second.grant));
    BOOST_TEST(lender.book.lent_grants() == 1U);
}

// Guards against slots that stay lent to a dead instance.
BOOST_AUTO_TEST_CASE(on_peer_dead_borrower_slots_return)
{
    const auto plan = this->peer("e0").book.plan_request(3, seconds(1));
    test_peer& lender = this->peer(plan->lender);
    lender.book.lend(plan->request, seconds(1));
    lender.book.on_peer_dead("e0");
    BOOST_TEST(lender.pool.lent() == 0U);
    BOOST_TEST(lender.pool.free() == lender.pool.owned());
}

// Guards against borrowed slots that are kept although no task needs them, and
// against returning slots that are in use.
BOOST_AUTO_TEST_CASE(tick_idle_slots_are_returned)
{
    test_peer& borrower = this->peer("e0");
    const auto plan = borrower.book.plan_request(2, seconds(1));
    borrower.book.on_reply(
        this->peer("e1").book.lend(plan->request, seconds(1)), seconds(1));
    const unsigned borrowed = borrower.pool.borrowed();
    std::string used;
    for (const auto& [name, entry] : borrower.pool.servers())
    {
        used = entry.borrowed > 0 ? name : used;
    }
    while (borrower.pool.find(used)->free() > 0)
    {
        borrower.pool.started(used);
    }
    borrower.book.tick(seconds(4));
    const auto reports = borrower.book.tick(seconds(9));
    BOOST_TEST(borrower.pool.borrowed() < borrowed);
    BOOST_TEST(borrower.pool.find(used)->borrowed > 0U);
    for (const planned_report& sent : reports)
    {
        this->peer("e1").book.on_report(sent.report, seconds(9));
    }
    BOOST_TEST(this->peer("e1").pool.lent() == borrower.pool.borrowed());
}

// Guards against lending so many slots that the tasks of the lender wait.
BOOST_AUTO_TEST_CASE(lend_large_request_keeps_reserve)
{
    const auto plan = this->peer("e0").book.plan_request(690, seconds(1));
    test_peer& lender = this->peer("e1");
    lender.book.lend(plan->request, seconds(1));
    BOOST_TEST(lender.pool.free() >= lender.pool.owned() * 3 / 10);
}

// Guards against slots that stay lent after another instance became their
// owner.
BOOST_AUTO_TEST_CASE(on_slots_changed_moved_slots_are_recalled)
{
    const auto plan = this->peer("e0").book.plan_request(3, seconds(1));
    test_peer& lender = this->peer("e1");
    this->peer("e0").book.on_reply(lender.book.lend(plan->request, seconds(1)),
                                   seconds(1));
    lender.pool.set_servers(this->list, slot_map());
    lender.book.on_slots_changed();
    BOOST_TEST(lender.pool.lent() == 0U);
    this->exchange_reports(seconds(2));
    BOOST_TEST(this->peer("e0").pool.borrowed() == 0U);
}

// Guards against slots that two instances use at once, and against slots that
// no instance can use again, with lost, repeated and reordered messages.
BOOST_AUTO_TEST_CASE(schedule_random_messages_shares_no_slot)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed)
    {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            grant_schedule(seed).run(false);
        }
    }
}

// Guards against the same faults when an instance fails during the run.
BOOST_AUTO_TEST_CASE(schedule_instance_dies_shares_no_slot)
{
    for (std::uint64_t seed = 1001; seed <= 1300; ++seed)
    {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            grant_schedule(seed).run(true);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
