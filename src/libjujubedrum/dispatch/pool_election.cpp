#include "dispatch/pool_election.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace jujubedrum
{

namespace
{

/// At a first start the other instances are announced within this time, since
/// all machines of a platform start within 0.3 s.
constexpr milliseconds startup_delay{200};
/// Bounds the wait for announced instances that cannot be linked.
constexpr milliseconds max_startup_delay{500};

/// What a held server costs on the link of its holder: 10 starts a second of
/// 1.5 kB and 10 polls of 0.5 kB, with all headers.
constexpr std::size_t link_bytes_per_server = 20000;
/// Share of the link that the servers may use. The rest carries callers, other
/// instances and bursts.
constexpr double server_link_share = 0.5;
constexpr double bytes_per_kbit = 125;

/// Returns whether `a` comes before `b` among the candidates for a pool: the
/// one that can hold more servers, then the larger machine.
template <typename Instance>
bool precedes(const Instance& a, const Instance& b)
{
    const std::size_t capacity_a = server_capacity(a.link_kbps);
    const std::size_t capacity_b = server_capacity(b.link_kbps);
    if (capacity_a != capacity_b)
    {
        return capacity_a > capacity_b;
    }
    return a.cpu != b.cpu ? a.cpu > b.cpu : a.name < b.name;
}

/// Returns the instances that may hold a pool of the domain, best first: those
/// of the domain, or all if it has no live one. Draining ones are left out.
std::vector<const instance_view*>
candidates(const instance_view& self, const std::vector<instance_view>& live,
           const std::string& domain)
{
    std::vector<const instance_view*> all;
    const auto add = [&all](const instance_view& instance)
    {
        if (!instance.draining)
        {
            all.push_back(&instance);
        }
    };
    add(self);
    std::for_each(live.begin(), live.end(), add);
    const auto local = [&domain](const instance_view* instance)
    { return instance->domain == domain; };
    if (std::any_of(all.begin(), all.end(), local))
    {
        std::erase_if(all, [&local](const instance_view* instance)
                      { return !local(instance); });
    }
    std::sort(all.begin(), all.end(),
              [](const instance_view* a, const instance_view* b)
              { return precedes(*a, *b); });
    return all;
}

/// Returns the position, among the candidates for the pool, of the instance
/// that should take it: as many of the first ones hold pools as are needed for
/// the servers of the domain.
std::size_t preferred_position(const pool_id& pool, std::size_t servers,
                               const std::vector<const instance_view*>& order)
{
    const std::size_t max_holders =
        std::min<std::size_t>(order.size(), pools_per_domain);
    std::size_t holders = 1;
    std::size_t capacity = server_capacity(order.front()->link_kbps);
    while (holders < max_holders && capacity < servers)
    {
        capacity += server_capacity(order[holders]->link_kbps);
        ++holders;
    }
    return pool.shard % holders;
}

/// Returns whether `successor` has taken over every server on which `lost` may
/// have runs in the pool of `before`.
bool has_taken_over(const instance_view& lost, const pool_hold& before,
                    const pool_hold& successor)
{
    if (successor.pool != before.pool || successor.token <= before.token ||
        !successor.clean)
    {
        return false;
    }
    if (!before.servers || !successor.servers)
    {
        // One of them is of an earlier version.
        return lost.unlisted_servers.empty();
    }
    return std::includes(successor.servers->begin(), successor.servers->end(),
                         before.servers->begin(), before.servers->end());
}

/// Returns whether one of the instances has taken the pool of `before` over.
bool is_cleaned(const instance_view& lost, const pool_hold& before,
                const std::vector<instance_view>& instances)
{
    const auto succeeds = [&lost, &before](const pool_hold& hold)
    { return has_taken_over(lost, before, hold); };
    return std::any_of(instances.begin(), instances.end(),
                       [&succeeds](const instance_view& instance)
                       {
                           return std::any_of(instance.holds.begin(),
                                              instance.holds.end(), succeeds);
                       });
}

bool same_boot(const instance_view& before, const instance_view& now)
{
    return before.name == now.name && before.boot == now.boot;
}

/// Returns whether the instance holds the pool under the same token.
bool keeps(const instance_view& instance, const pool_hold& before)
{
    return std::any_of(instance.holds.begin(), instance.holds.end(),
                       [&before](const pool_hold& hold) {
                           return hold.pool == before.pool &&
                                  hold.token == before.token;
                       });
}

} // namespace

std::size_t server_capacity(std::uint32_t link_kbps)
{
    if (link_kbps == 0)
    {
        return max_servers_per_holder;
    }
    const auto by_link = static_cast<std::size_t>(
        link_kbps * bytes_per_kbit * server_link_share / link_bytes_per_server);
    return std::clamp<std::size_t>(by_link, 1, max_servers_per_holder);
}

bool pool_election::may_take_pools(const startup_state& start)
{
    if (start.age >= max_startup_delay)
    {
        return true;
    }
    if (!start.members_read || start.unlinked_candidates > 0)
    {
        return false;
    }
    return start.has_run_before || start.age >= startup_delay;
}

std::size_t pool_election::unlinked_candidates(
    const std::string& domain, const std::vector<announced_instance>& announced)
{
    std::vector<const announced_instance*> order;
    std::size_t result = 0;
    for (const announced_instance& instance : announced)
    {
        if (instance.domain == domain)
        {
            order.push_back(&instance);
        }
        else if (instance.domain.empty() && !instance.linked)
        {
            ++result;
        }
    }
    std::sort(order.begin(), order.end(),
              [](const announced_instance* a, const announced_instance* b)
              { return precedes(*a, *b); });
    const std::size_t first =
        std::min<std::size_t>(order.size(), pools_per_domain);
    return result + static_cast<std::size_t>(std::count_if(
                        order.begin(),
                        order.begin() + static_cast<std::ptrdiff_t>(first),
                        [](const announced_instance* instance)
                        { return !instance->linked; }));
}

pool_id pool_of(const server_info& server)
{
    return {server.domain, static_cast<std::uint32_t>(stable_hash(server.id) %
                                                      pools_per_domain)};
}

std::uint64_t hash_of(const std::string& server)
{
    return stable_hash(server);
}

bool pool_election::watches_servers(const instance_view& self,
                                    const std::vector<instance_view>& live)
{
    return !self.holds.empty() ||
           rank(self, live, {self.domain, 0}) < server_watchers;
}

bool pool_election::holds(const instance_view& instance, const pool_id& pool)
{
    return std::any_of(instance.holds.begin(), instance.holds.end(),
                       [&pool](const pool_hold& hold)
                       { return hold.pool == pool; });
}

bool pool_election::held_by_other(const instance_view& self,
                                  const std::vector<instance_view>& live,
                                  const pool_id& pool)
{
    return std::any_of(live.begin(), live.end(),
                       [&self, &pool](const instance_view& other)
                       {
                           return !other.draining && holds(other, pool) &&
                                  (other.domain == pool.domain ||
                                   self.domain != pool.domain);
                       });
}

std::vector<pool_id>
pool_election::pools_to_take(const instance_view& self,
                             const std::vector<instance_view>& live,
                             const std::map<std::string, std::size_t>& servers)
{
    std::vector<pool_id> result;
    for (const auto& [domain, count] : servers)
    {
        const auto order = candidates(self, live, domain);
        if (order.empty())
        {
            continue;
        }
        for (std::uint32_t shard = 0; shard < pools_per_domain; ++shard)
        {
            const pool_id pool{domain, shard};
            const bool held =
                holds(self, pool) || held_by_other(self, live, pool);
            if (!held && order[preferred_position(pool, count, order)] == &self)
            {
                result.push_back(pool);
            }
        }
    }
    return result;
}

std::vector<pool_id> pool_election::pools_to_hand_over(
    const instance_view& self, const std::vector<instance_view>& live,
    const std::map<std::string, std::size_t>& servers)
{
    std::vector<pool_id> result;
    const auto count = servers.find(self.domain);
    const auto order = candidates(self, live, self.domain);
    if (count == servers.end() || order.empty())
    {
        return result;
    }
    const std::size_t held =
        count->second * self.holds.size() / pools_per_domain;
    if (held <= server_capacity(self.link_kbps))
    {
        return result;
    }
    for (const pool_hold& own : self.holds)
    {
        const instance_view* preferred =
            own.pool.domain == self.domain
                ? order[preferred_position(own.pool, count->second, order)]
                : &self;
        if (preferred != &self &&
            preferred->holds.size() + 2 <= self.holds.size())
        {
            result.push_back(own.pool);
        }
    }
    return result;
}

std::vector<pool_id>
pool_election::pools_to_give_up(const instance_view& self,
                                const std::vector<instance_view>& live)
{
    std::vector<pool_id> result;
    for (const pool_hold& own : self.holds)
    {
        const bool superseded = std::any_of(
            live.begin(), live.end(),
            [&self, &own](const instance_view& other)
            {
                // Two instances may derive the same token while they cannot
                // reach each other and the store does not answer.
                return std::any_of(
                    other.holds.begin(), other.holds.end(),
                    [&](const pool_hold& hold)
                    {
                        const bool wins_tie =
                            hold.token == own.token && other.name < self.name;
                        return hold.pool == own.pool &&
                               (hold.token > own.token || wins_tie);
                    });
            });
        if (superseded)
        {
            result.push_back(own.pool);
        }
    }
    return result;
}

bool pool_election::same_holder(const instance_view& before,
                                const instance_view& now)
{
    return same_boot(before, now) &&
           std::all_of(before.holds.begin(), before.holds.end(),
                       [&now](const pool_hold& old)
                       { return keeps(now, old); });
}

bool pool_election::knows_its_runs(const instance_view& before,
                                   const instance_view& now,
                                   const std::vector<instance_view>& instances)
{
    return same_boot(before, now) &&
           std::all_of(before.holds.begin(), before.holds.end(),
                       [&before, &now, &instances](const pool_hold& old) {
                           return keeps(now, old) ||
                                  is_cleaned(before, old, instances);
                       });
}

bool pool_election::all_clean(const instance_view& lost,
                              const std::vector<instance_view>& instances)
{
    return !lost.holds.empty() &&
           std::all_of(lost.holds.begin(), lost.holds.end(),
                       [&lost, &instances](const pool_hold& before)
                       { return is_cleaned(lost, before, instances); });
}

std::size_t pool_election::rank(const instance_view& self,
                                const std::vector<instance_view>& live,
                                const pool_id& pool)
{
    const auto order = candidates(self, live, pool.domain);
    const auto at = std::find(order.begin(), order.end(), &self);
    return static_cast<std::size_t>(at - order.begin());
}

} // namespace jujubedrum
