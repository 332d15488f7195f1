#include "dispatch/pool_election.hpp"

#include <boost/test/unit_test.hpp>

namespace jujubedrum
{

namespace
{

instance_view make_instance(const std::string& name, const std::string& domain,
                            std::uint32_t cpu = 250)
{
    instance_view view;
    view.name = name;
    view.domain = domain;
    view.cpu = cpu;
    return view;
}

const std::map<std::string, std::size_t> one_domain{{"d1", 16}};

} // namespace

BOOST_AUTO_TEST_SUITE(pool_election_suite)

// At a first start the machines start within 0.3 s, possibly the largest last.
BOOST_AUTO_TEST_CASE(first_start_waits_for_others_to_announce_themselves)
{
    BOOST_TEST(
        !pool_election::may_take_pools({milliseconds(50), true, false, 0}));
    BOOST_TEST(
        pool_election::may_take_pools({milliseconds(250), true, false, 0}));
}

// Guards against refusing requests for another 0.2 s after a power loss, when
// all instances are linked again (days of 2026-12-04).
BOOST_AUTO_TEST_CASE(restart_all_linked_takes_pools_at_once)
{
    BOOST_TEST(
        pool_election::may_take_pools({milliseconds(20), true, true, 0}));
    BOOST_TEST(
        !pool_election::may_take_pools({milliseconds(20), true, true, 1}));
    BOOST_TEST(
        !pool_election::may_take_pools({milliseconds(20), false, true, 0}));
}

// Guards against waiting for slow machines that never hold pools: in incident
// inc-678c, two machines with 0.09 of a core started last and delayed all
// others.
BOOST_AUTO_TEST_CASE(restart_slow_machines_not_waited_for)
{
    std::vector<announced_instance> all{{"other", "d2", 900, false},
                                        {"slow-1", "d1", 90, false},
                                        {"slow-2", "d1", 90, false}};
    for (const char* name : {"a", "b", "c", "d"})
    {
        all.push_back({name, "d1", 500, true});
    }
    BOOST_TEST(pool_election::unlinked_candidates("d1", all) == 0U);
    all.back().linked = false;
    BOOST_TEST(pool_election::unlinked_candidates("d1", all) == 1U);
}

// Announcements of an earlier version lack domain and size, so the instance may
// be a first candidate.
BOOST_AUTO_TEST_CASE(restart_announcement_without_domain_is_waited_for)
{
    BOOST_TEST(
        pool_election::unlinked_candidates("d1", {{"a", "", 0, false}}) == 1U);
    BOOST_TEST(pool_election::unlinked_candidates("d1", {{"a", "", 0, true}}) ==
               0U);
}

BOOST_AUTO_TEST_CASE(announced_instance_unlinked_takes_pools_after_max_delay)
{
    BOOST_TEST(
        !pool_election::may_take_pools({milliseconds(400), true, true, 1}));
    BOOST_TEST(
        pool_election::may_take_pools({milliseconds(500), true, true, 1}));
    BOOST_TEST(
        pool_election::may_take_pools({milliseconds(500), false, false, 0}));
}

BOOST_AUTO_TEST_CASE(pools_no_holder_taken_by_first_candidate_only)
{
    const auto a = make_instance("a", "d1");
    const auto b = make_instance("b", "d1");
    BOOST_TEST(pool_election::pools_to_take(a, {b}, one_domain).size() ==
               pools_per_domain);
    BOOST_TEST(pool_election::pools_to_take(b, {a}, one_domain).empty());
}

// A pool would overload small machines.
BOOST_AUTO_TEST_CASE(pools_no_holder_taken_by_largest_instance)
{
    const auto small = make_instance("a", "d1", 90);
    const auto large = make_instance("b", "d1", 500);
    BOOST_TEST(
        pool_election::pools_to_take(small, {large}, one_domain).empty());
    BOOST_TEST(
        !pool_election::pools_to_take(large, {small}, one_domain).empty());
}

// Guards against one holder on a link of 2 Mbit/s for 24 servers: its link was
// full and its servers counted as unreachable (small twins of ssw-rake-large,
// 2026-12-05).
BOOST_AUTO_TEST_CASE(pools_narrow_links_shared_among_more_instances)
{
    std::vector<instance_view> all;
    for (const char* name : {"a", "b", "c", "d"})
    {
        all.push_back(make_instance(name, "d1"));
        all.back().link_kbps = 2000;
    }
    const std::map<std::string, std::size_t> servers{{"d1", 24}};
    for (std::size_t i = 0; i < all.size(); ++i)
    {
        std::vector<instance_view> live = all;
        live.erase(live.begin() + static_cast<std::ptrdiff_t>(i));
        BOOST_TEST(pool_election::pools_to_take(all[i], live, servers).size() ==
                   1U);
    }
}

// A wide link does not make a small machine the first candidate, but a narrow
// one disqualifies a large machine.
BOOST_AUTO_TEST_CASE(pools_no_holder_narrow_link_comes_after_wide_one)
{
    auto narrow = make_instance("a", "d1", 500);
    narrow.link_kbps = 2000;
    auto wide = make_instance("b", "d1", 90);
    wide.link_kbps = 200000;
    BOOST_TEST(
        pool_election::pools_to_take(wide, {narrow}, one_domain).size() ==
        pools_per_domain);
    BOOST_TEST(
        pool_election::pools_to_take(narrow, {wide}, one_domain).empty());
}

// Guards against a holder that keeps all pools of a domain: its servers
// registered one after the other, and the first few fitted one holder.
BOOST_AUTO_TEST_CASE(pools_all_at_one_holder_are_handed_over)
{
    auto a = make_instance("a", "d1");
    const auto b = make_instance("b", "d1");
    for (std::uint32_t shard = 0; shard < pools_per_domain; ++shard)
    {
        a.holds.push_back({{"d1", shard}, 7, true});
    }
    const std::map<std::string, std::size_t> few{{"d1", 16}};
    const std::map<std::string, std::size_t> many{{"d1", 80}};
    BOOST_TEST(pool_election::pools_to_hand_over(a, {b}, few).empty());
    BOOST_TEST(pool_election::pools_to_hand_over(a, {}, many).empty());
    const std::vector<pool_id> surplus =
        pool_election::pools_to_hand_over(a, {b}, many);
    BOOST_TEST(surplus.size() == 2U);
    BOOST_CHECK(surplus.front() == (pool_id{"d1", 1}));
}

// Guards against a split of pools that one holder can serve, when the first
// candidate is back after a restart (earshape-tbs scale-1 of 2026-12-05 served
// 0.934 instead of 0.952).
BOOST_AUTO_TEST_CASE(pools_that_fit_their_holder_are_not_handed_over)
{
    auto holder = make_instance("b", "d1", 250);
    const auto restarted = make_instance("a", "d1", 500);
    for (std::uint32_t shard = 0; shard < pools_per_domain; ++shard)
    {
        holder.holds.push_back({{"d1", shard}, 7, true});
    }
    BOOST_TEST(
        pool_election::pools_to_hand_over(holder, {restarted}, one_domain)
            .empty());
}

// A pool must not move back and forth.
BOOST_AUTO_TEST_CASE(pools_shared_evenly_are_not_handed_over)
{
    auto a = make_instance("a", "d1");
    auto b = make_instance("b", "d1");
    a.holds = {{{"d1", 0}, 7, true}, {{"d1", 1}, 7, true}};
    b.holds = {{{"d1", 2}, 7, true}};
    const std::map<std::string, std::size_t> many{{"d1", 80}};
    BOOST_TEST(pool_election::pools_to_hand_over(a, {b}, many).empty());
    BOOST_TEST(pool_election::pools_to_hand_over(b, {a}, many).empty());
}

BOOST_AUTO_TEST_CASE(pools_many_servers_shared_among_instances)
{
    const auto a = make_instance("a", "d1");
    const auto b = make_instance("b", "d1");
    const std::map<std::string, std::size_t> many{{"d1", 80}};
    BOOST_TEST(pool_election::pools_to_take(a, {b}, many).size() ==
               pools_per_domain / 2);
    BOOST_TEST(pool_election::pools_to_take(b, {a}, many).size() ==
               pools_per_domain / 2);
}

// A live holder keeps its pools; otherwise each new instance would cause a
// takeover.
BOOST_AUTO_TEST_CASE(pools_held_not_taken)
{
    auto holder = make_instance("z", "d1");
    for (std::uint32_t shard = 0; shard < pools_per_domain; ++shard)
    {
        holder.holds.push_back({{"d1", shard}, 5});
    }
    const auto a = make_instance("a", "d1");
    BOOST_TEST(pool_election::pools_to_take(a, {holder}, one_domain).empty());
    holder.draining = true;
    BOOST_TEST(pool_election::pools_to_take(a, {holder}, one_domain).size() ==
               pools_per_domain);
}

// An instance of another domain reaches the servers over longer links.
BOOST_AUTO_TEST_CASE(pools_held_by_other_domain_taken_over)
{
    auto foreign = make_instance("z", "d2");
    for (std::uint32_t shard = 0; shard < pools_per_domain; ++shard)
    {
        foreign.holds.push_back({{"d1", shard}, 5});
    }
    const auto home = make_instance("a", "d1");
    BOOST_TEST(
        pool_election::pools_to_take(home, {foreign}, one_domain).size() ==
        pools_per_domain);
}

BOOST_AUTO_TEST_CASE(pool_higher_token_elsewhere_given_up)
{
    auto self = make_instance("a", "d1");
    self.holds = {{{"d1", 0}, 5}, {{"d1", 1}, 9}};
    auto other = make_instance("b", "d1");
    other.holds = {{{"d1", 0}, 6}, {{"d1", 1}, 8}};
    const auto lost = pool_election::pools_to_give_up(self, {other});
    BOOST_REQUIRE_EQUAL(lost.size(), 1);
    BOOST_TEST(lost[0].shard == 0);
}

// Guards against sending a job again while its runs of the earlier holder may
// remain: it would run twice.
BOOST_AUTO_TEST_CASE(lost_pools_clean_only_under_higher_clean_tokens)
{
    auto lost = make_instance("a", "d1");
    lost.holds = {{{"d1", 0}, 5}, {{"d1", 1}, 5}};
    auto next = make_instance("b", "d1");
    next.holds = {{{"d1", 0}, 6, true}, {{"d1", 1}, 6, false}};
    BOOST_TEST(!pool_election::all_clean(lost, {next}));
    next.holds[1].clean = true;
    BOOST_TEST(pool_election::all_clean(lost, {next}));
    next.holds[1].token = 5;
    BOOST_TEST(!pool_election::all_clean(lost, {next}));
}

// Guards against taking a pool as clean whose successor does not know a server
// on which the lost holder may have runs.
BOOST_AUTO_TEST_CASE(pool_clean_only_with_every_server_of_lost_holder)
{
    auto lost = make_instance("a", "d1");
    lost.holds = {{{"d1", 0}, 5, true, std::vector<std::uint64_t>{2, 7}}};
    auto next = make_instance("b", "d1");
    next.holds = {{{"d1", 0}, 6, true, std::vector<std::uint64_t>{1, 2}}};
    BOOST_TEST(!pool_election::all_clean(lost, {next}));
    next.holds[0].servers = std::vector<std::uint64_t>{1, 2, 7};
    BOOST_TEST(pool_election::all_clean(lost, {next}));
    // What has no entry is taken over all the same.
    lost.unlisted_servers = {"s7"};
    BOOST_TEST(pool_election::all_clean(lost, {next}));
    next.holds[0].clean = false;
    BOOST_TEST(!pool_election::all_clean(lost, {next}));
}

// Holders of earlier versions list no servers, but name those that others may
// not know.
BOOST_AUTO_TEST_CASE(pool_servers_not_listed_earlier_rule_holds)
{
    auto lost = make_instance("a", "d1");
    lost.holds = {{{"d1", 0}, 5, true}};
    auto next = make_instance("b", "d1");
    next.holds = {{{"d1", 0}, 6, true, std::vector<std::uint64_t>{1}}};
    BOOST_TEST(pool_election::all_clean(lost, {next}));
    lost.unlisted_servers = {"s7"};
    BOOST_TEST(!pool_election::all_clean(lost, {next}));
    lost.holds[0].servers = std::vector<std::uint64_t>{7};
    next.holds[0].servers.reset();
    BOOST_TEST(!pool_election::all_clean(lost, {next}));
    lost.unlisted_servers.clear();
    BOOST_TEST(pool_election::all_clean(lost, {next}));
}

// Guards against two holders that keep a pool under the same derived token and
// stop each other's runs.
BOOST_AUTO_TEST_CASE(two_holders_with_equal_tokens_one_gives_up)
{
    instance_view a = make_instance("a", "d1");
    instance_view b = make_instance("b", "d1");
    a.holds = {{{"d1", 0}, 5, true}};
    b.holds = a.holds;
    const auto given_up = pool_election::pools_to_give_up(a, {b}).size() +
                          pool_election::pools_to_give_up(b, {a}).size();
    BOOST_TEST(given_up == 1U);
}

// Guards against taking a reconnected holder for unchanged: a reset of its link
// made it look dead, and others took pools of it meanwhile (bench day trouble-3
// of kangiyo-coop).
BOOST_AUTO_TEST_CASE(holder_reconnected_without_a_pool_is_not_same_holder)
{
    auto before = make_instance("a", "d1");
    before.boot = 7;
    before.holds = {{{"d1", 0}, 5}, {{"d1", 1}, 5}};
    auto now = before;
    BOOST_TEST(pool_election::same_holder(before, now));
    now.holds.pop_back();
    BOOST_TEST(!pool_election::same_holder(before, now));
    now = before;
    now.holds[0].token = 9;
    BOOST_TEST(!pool_election::same_holder(before, now));
    now = before;
    now.boot = 8;
    BOOST_TEST(!pool_election::same_holder(before, now));
}

// Guards against a job that is sent again to a holder while its runs in a pool
// that the holder gave up may remain.
BOOST_AUTO_TEST_CASE(holder_knows_its_runs_once_pool_given_up_is_clean)
{
    auto before = make_instance("a", "d1");
    before.boot = 7;
    before.holds = {{{"d1", 0}, 5}, {{"d1", 1}, 5}};
    auto now = before;
    now.holds.pop_back();
    auto next = make_instance("b", "d1");
    const auto known = [&] {
        return pool_election::knows_its_runs(before, now, {now, next});
    };
    BOOST_TEST(!known());
    next.holds = {{{"d1", 1}, 6, false}};
    BOOST_TEST(!known());
    next.holds[0].clean = true;
    BOOST_TEST(known());
    next.holds[0].token = 5;
    BOOST_TEST(!known());
    next.holds[0].token = 6;
    before.unlisted_servers = {"s1"};
    BOOST_TEST(!known());
    before.unlisted_servers.clear();
    now.boot = 8;
    BOOST_TEST(!known());
}

// Guards against overload of the store: in the sweep of 2026-12-04, 300
// instances each read the list of 3,000 servers, and changes of the
// configuration were delayed.
BOOST_AUTO_TEST_CASE(servers_watched_by_few_instances_of_each_domain)
{
    std::vector<instance_view> all;
    for (int i = 0; i < 300; ++i)
    {
        all.push_back(make_instance("i" + std::to_string(100 + i),
                                    "d" + std::to_string(i % 3),
                                    250 + static_cast<std::uint32_t>(i % 7)));
    }
    std::map<std::string, std::size_t> watchers;
    std::map<std::string, std::size_t> servers;
    for (const char* domain : {"d0", "d1", "d2"})
    {
        servers[domain] = 1000;
    }
    for (const instance_view& self : all)
    {
        std::vector<instance_view> others = all;
        std::erase(others, self);
        const bool watches = pool_election::watches_servers(self, others);
        watchers[self.domain] += watches ? 1 : 0;
        if (!pool_election::pools_to_take(self, others, servers).empty())
        {
            BOOST_TEST(watches);
        }
    }
    for (const auto& [domain, count] : watchers)
    {
        BOOST_TEST(count == server_watchers);
    }
}

BOOST_AUTO_TEST_CASE(servers_watched_by_holder_whatever_its_rank)
{
    auto self = make_instance("z", "d1", 90);
    std::vector<instance_view> others;
    for (int i = 0; i < 10; ++i)
    {
        others.push_back(make_instance("a" + std::to_string(i), "d1"));
    }
    BOOST_TEST(!pool_election::watches_servers(self, others));
    self.holds.push_back({{"d1", 0}, 1024, true});
    BOOST_TEST(pool_election::watches_servers(self, others));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubedrum
