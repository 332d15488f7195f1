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

/// Engines under all faults at once, in an order given by the seed.
class engine_schedule
{
public:
    engine_schedule(std::uint64_t seed, broken_rule broken)
        : bed(seed, 4, 5)
    {
        this->bed.broken = broken;
        this->bed.servers[4].domain = "d2";
        this->bed.publish();
    }

    /// Returns the first violation, or an empty text.
    std::string run()
    {
        for (int i = 0; i < 200 && this->bed.violations.empty(); ++i)
        {
            this->disturb();
            this->bed.run(milliseconds(this->random().below(60)));
            if (i % 20 == 0)
            {
                this->bed.check_slots();
            }
        }
        this->bed.heal();
        this->bed.run(seconds(16));
        this->bed.check_slots();
        for (const auto& [token, request] : this->bed.requests)
        {
            if (request.replies == 0 && !request.lost)
            {
                return "no reply about " + request.id;
            }
        }
        return this->bed.violations.empty() ? "" : this->bed.violations[0];
    }

    engine_bed bed;

private:
    random_source& random() { return this->bed.random; }
    std::size_t node() { return this->random().below(this->bed.nodes.size()); }
    bool chance(std::uint64_t of) { return this->random().below(of) == 0; }

    std::string known_id()
    {
        auto at = this->bed.jobs.begin();
        std::advance(at, static_cast<std::ptrdiff_t>(
                             this->random().below(this->bed.jobs.size())));
        return at->first;
    }

    void submit()
    {
        const std::size_t at = this->node();
        std::string id;
        if (this->chance(2))
        {
            id = this->bed.chosen_id();
        }
        else if (this->bed.nodes[at].engine && !this->bed.nodes[at].frozen)
        {
            id = this->bed.new_id(at);
        }
        else
        {
            return;
        }
        const std::string payload = this->chance(8) ? "\"poison\"" : "1";
        // One draw a statement, since compilers order arguments differently.
        const std::size_t tasks = 1 + this->random().below(12);
        const bool repeatable = this->chance(2);
        const int run_ms = static_cast<int>(10 + this->random().below(300));
        const int deadline_ms =
            static_cast<int>(100 + this->random().below(4000));
        const std::string body =
            this->bed.body(id, tasks, repeatable, run_ms, deadline_ms, payload);
        this->ask(this->chance(2) ? at : this->node(), body);
        if (this->chance(4))
        {
            this->ask(this->node(), body);
        }
    }

    void ask(std::size_t node, const std::string& body)
    {
        if (this->bed.nodes[node].engine)
        {
            this->bed.submit(node, body);
        }
    }

    void ask_again()
    {
        if (this->bed.jobs.empty())
        {
            return;
        }
        const std::string id = this->known_id();
        const std::size_t at = this->node();
        if (!this->bed.nodes[at].engine)
        {
            return;
        }
        switch (this->random().below(5))
        {
        case 0:
            this->bed.collect(at, id);
            break;
        case 1:
            this->bed.cancel(at, id);
            break;
        default:
            this->bed.submit(at, this->bed.jobs[id].body);
        }
    }

    void disturb_server()
    {
        bed_server& server =
            this->bed.servers[this->random().below(this->bed.servers.size())];
        server.slow = this->chance(3) ? 8.0 : 1.0;
        server.fail = this->chance(4);
        server.refuse = this->chance(4);
        server.draining = this->chance(6);
        server.drop_reply = this->chance(4);
        server.late = milliseconds(this->chance(4) ? 700 : 0);
        server.listed = !this->chance(6);
        server.group = this->chance(8) ? 1 : 0;
        this->bed.publish();
    }

    void disturb_platform()
    {
        auto& faults = this->bed.faults;
        faults.log_down = this->chance(4);
        faults.log_slow = this->chance(4);
        faults.lose_append_replies = this->chance(3);
        faults.list_frozen = this->chance(4);
        faults.list_lag = seconds(this->chance(3) ? 3 : 0);
        faults.drop_request = this->chance(3) ? 0.3 : 0.0;
        faults.drop_reply = this->chance(3) ? 0.3 : 0.0;
        faults.peer_delay = milliseconds(this->chance(4) ? 300 : 1);
    }

    void disturb_node()
    {
        const std::size_t at = this->node();
        bed_node& node = this->bed.nodes[at];
        switch (this->random().below(6))
        {
        case 0:
            this->bed.kill(at);
            break;
        case 1:
            this->bed.restart(at, this->chance(3) ? this->bed.chosen_id() : "");
            break;
        case 2:
            this->bed.freeze(at);
            break;
        case 3:
            this->bed.thaw(at);
            break;
        case 4:
            node.group = node.group == 0 ? 1 : 0;
            break;
        default:
            if (this->chance(3))
            {
                this->bed.send(at, drain_event{});
            }
        }
    }

    void disturb()
    {
        switch (this->random().below(12))
        {
        case 0:
            this->disturb_server();
            break;
        case 1:
            this->disturb_platform();
            break;
        case 2:
            this->disturb_node();
            break;
        case 3:
            this->bed.edit(this->chance(2) ? "{\"weight\":2}" : "{}");
            break;
        case 4:
        case 5:
        case 6:
        case 7:
            this->ask_again();
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
std::optional<std::uint64_t> first_violation(broken_rule broken, int schedules,
                                             totals& seen)
{
    const std::uint64_t first = first_seed();
    std::cout << "engine schedules: first seed " << first << '\n';
    for (std::uint64_t seed = first;
         seed < first + static_cast<std::uint64_t>(schedules); ++seed)
    {
        engine_schedule schedule(seed, broken);
        const std::string fault = schedule.run();
        seen.steps += schedule.bed.steps;
        for (const auto& [token, request] : schedule.bed.requests)
        {
            ++seen.results[schedule.bed.result(token)];
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
        first_violation(broken_rule::none, schedule_count(), seen);
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

// Guards against a check that would not notice a second start.
BOOST_AUTO_TEST_CASE(schedule_broken_rule_is_noticed)
{
    totals seen;
    for (const broken_rule broken :
         {broken_rule::unknown_as_not_started, broken_rule::same_incarnation})
    {
        BOOST_TEST(first_violation(broken, 60, seen).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()
