#include "node/pool_manager.hpp"

#include "logging.hpp"

#include <algorithm>

namespace jujubedrum
{

namespace
{

/// Pools of another failure domain are taken only after the store has answered
/// and servers of the domain have written entries for this time, in which none
/// of its instances was alive. Just after a network partition this instance has
/// not yet reconnected to them.
constexpr milliseconds cross_domain_takeover_delay{5000};
/// An entry older than this is stale. Servers write their entries every 1.5 s.
constexpr milliseconds max_entry_age{3000};
static_assert(fence_reserve::derived_step >= 16 * tokens_per_hold,
              "sessions of one hold must not use tokens of the next");
/// Entries that expired while the store was unreachable are rewritten within
/// 2 s, so a server is removed only after this time without one.
constexpr milliseconds missing_entry_grace_period{2500};
/// Within this time the other instances that follow the list have read a new
/// entry: they read it every 0.4 s, and repeat a failed read.
constexpr milliseconds new_entry_period{2000};
/// Up to this number of announced instances, a starting one watches the list of
/// servers before it knows whether it is a candidate for pools. In a larger
/// system all of them would read the list at the same time.
constexpr std::size_t max_members_for_early_watch = 40;
/// A pool that was handed over has a new holder, whose heartbeat shows it,
/// within this time.
constexpr milliseconds min_hand_over_interval{500};
/// Time reserved for answers in transit at the end of a planned stop.
constexpr milliseconds release_margin{800};

} // namespace

pool_manager::pool_manager(event_loop& events, const node_settings& values,
                           std::uint64_t own_boot,
                           const node_components& components,
                           std::function<void()> on_holds_changed)
    : loop(events)
    , settings(values)
    , boot(own_boot)
    , store(components.store)
    , channels(components.channels)
    , dispatcher(components.dispatcher)
    , mesh(components.mesh)
    , peers(components.peers)
    , metrics(components.metrics)
    , counts(components.counts)
    , holds_changed(std::move(on_holds_changed))
    , started(event_loop::now())
{
}

void pool_manager::tick()
{
    this->update_server_watch();
    this->update_sessions();
    this->elect();
    this->update_reserve();
    this->log_clean_pools();
}

void pool_manager::log_clean_pools()
{
    for (auto& [pool, hold] : this->held)
    {
        const bool clean = this->is_clean(pool);
        if (clean == hold.logged_clean)
        {
            continue;
        }
        hold.logged_clean = clean;
        std::size_t known = 0;
        std::size_t taken_over = 0;
        for (const auto& [id, server] : this->servers)
        {
            if (pool_of(server.info) == pool)
            {
                ++known;
                const auto at = this->sessions.find(id);
                taken_over +=
                    at != this->sessions.end() && at->second->is_taken_over();
            }
        }
        const auto age = std::chrono::duration_cast<milliseconds>(
            event_loop::now() - hold.taken);
        LOG(INFO) << "pool: " << (clean ? "clean" : "not clean")
                  << "; domain=" << pool.domain << " shard=" << pool.shard
                  << " token=" << hold.token << " age_ms=" << age.count()
                  << " servers=" << known << " taken_over=" << taken_over
                  << " handovers=" << this->pending_handovers.size();
    }
}

void pool_manager::on_members_read()
{
    if (!this->members_read)
    {
        this->members_read = true;
        this->update_server_watch();
    }
}

void pool_manager::on_heartbeat(const instance_view& peer, bool added)
{
    for (const pool_hold& hold : peer.holds)
    {
        std::uint64_t& highest = this->highest_token[hold.pool];
        highest = std::max(highest, hold.token);
    }
    this->update_reserve();
    if (added && this->held.empty())
    {
        this->elect();
    }
}

void pool_manager::on_link_closed(std::uint64_t link)
{
    this->released_servers.erase(link);
    for (const auto& [id, server] : this->servers)
    {
        this->end_handover(link, id);
    }
    this->update_sessions();
    this->elect();
}

void pool_manager::on_release(std::uint64_t link,
                              const release_message& released)
{
    for (const std::string& id : released.servers)
    {
        this->released_servers[link].insert(id);
        const auto at = this->servers.find(id);
        if (this->end_handover(link, id) && at != this->servers.end())
        {
            at->second.left_until = instant(0);
        }
    }
    this->update_sessions();
}

bool pool_manager::end_handover(std::uint64_t link, const std::string& server)
{
    const auto at = this->pending_handovers.find(server);
    if (at == this->pending_handovers.end())
    {
        return false;
    }
    at->second.links.erase(link);
    if (!at->second.links.empty())
    {
        return false;
    }
    this->pending_handovers.erase(at);
    return true;
}

void pool_manager::drain()
{
    this->draining = true;
    release_message unused;
    for (const auto& [id, server] : this->servers)
    {
        if (this->held.count(pool_of(server.info)) > 0 &&
            this->sessions.count(id) == 0)
        {
            unused.servers.push_back(id);
        }
    }
    if (!unused.servers.empty())
    {
        this->mesh.broadcast(unused);
    }
}

void pool_manager::stop()
{
    this->stopped = true;
    for (const auto& [id, session] : this->sessions)
    {
        session->end();
    }
    this->sessions.clear();
}

std::size_t pool_manager::servers_reachable() const
{
    return static_cast<std::size_t>(std::count_if(
        this->sessions.begin(), this->sessions.end(),
        [](const auto& entry) { return entry.second->is_reachable(); }));
}

instance_view pool_manager::self_view() const
{
    instance_view view;
    view.name = this->settings.instance();
    view.boot = this->boot;
    view.domain = this->settings.domain();
    view.cpu = this->settings.cpu();
    view.link_kbps = this->settings.link_kbps();
    view.draining = this->draining;
    view.server_number = this->last_server_number;
    for (const auto& [pool, hold] : this->held)
    {
        view.holds.push_back({pool, hold.token, this->is_clean(pool),
                              this->listed_servers(pool)});
    }
    for (const auto& [id, session] : this->sessions)
    {
        if (this->dispatcher.has_runs(id) && this->is_unlisted(id))
        {
            view.unlisted_servers.push_back(id);
        }
    }
    return view;
}

std::vector<std::uint64_t>
pool_manager::listed_servers(const pool_id& pool) const
{
    std::vector<std::uint64_t> hashes;
    for (const auto& [id, session] : this->sessions)
    {
        const auto at = this->servers.find(id);
        if (at != this->servers.end() && pool_of(at->second.info) == pool)
        {
            hashes.push_back(hash_of(id));
        }
    }
    std::sort(hashes.begin(), hashes.end());
    return hashes;
}

bool pool_manager::is_unlisted(const std::string& server) const
{
    const auto at = this->servers.find(server);
    return at == this->servers.end() || at->second.missing_since ||
           event_loop::now() - at->second.known_since < new_entry_period;
}

bool pool_manager::is_clean(const pool_id& pool) const
{
    return std::all_of(this->servers.begin(), this->servers.end(),
                       [this, &pool](const auto& entry)
                       {
                           if (pool_of(entry.second.info) != pool)
                           {
                               return true;
                           }
                           const auto at = this->sessions.find(entry.first);
                           return at != this->sessions.end() &&
                                  at->second->is_taken_over();
                       });
}

void pool_manager::start(const std::string& server, const run_id& run,
                         const std::string& payload)
{
    const auto at = this->sessions.find(server);
    if (at == this->sessions.end())
    {
        // The session ended in the same iteration of the event loop, and the
        // server is being removed from the dispatcher.
        this->loop.after(milliseconds(0),
                         [this, server, run]
                         {
                             this->dispatcher.on_start_result(
                                 server, run, start_outcome::unhealthy,
                                 event_loop::now());
                         });
        return;
    }
    this->metrics.on_task_started();
    at->second->start(run, payload);
}

void pool_manager::stop(const std::string& server, const run_id& run)
{
    const auto at = this->sessions.find(server);
    if (at != this->sessions.end())
    {
        at->second->stop(run);
    }
}

void pool_manager::poll(const std::string& server)
{
    const auto at = this->sessions.find(server);
    if (at != this->sessions.end())
    {
        at->second->poll_soon();
    }
}

void pool_manager::on_servers(const std::vector<server_change>& changes)
{
    const instant now = event_loop::now();
    for (const server_change& change : changes)
    {
        if (!change.info)
        {
            this->on_missing_entry(change);
            continue;
        }
        this->on_domain_entry(change.info->domain);
        const auto [at_known, added] = this->servers.try_emplace(change.id);
        known_server& known = at_known->second;
        if (added || known.missing_since)
        {
            known.known_since = now;
        }
        if (known.info.draining != change.info->draining)
        {
            LOG(INFO) << "server: "
                      << (change.info->draining ? "draining" : "ready")
                      << "; server=" << change.id;
        }
        const bool moved = known.info.address != change.info->address ||
                           known.info.port != change.info->port;
        if (!added && pool_of(known.info) != pool_of(*change.info))
        {
            // The session has the token of the earlier pool.
            this->close_session(change.id);
        }
        known.info = *change.info;
        known.last_update = now;
        known.missing_since.reset();
        known.unreadable = false;
        const auto at = this->sessions.find(change.id);
        if (at != this->sessions.end())
        {
            this->dispatcher.set_server(known.info);
            if (moved)
            {
                at->second->reconnect(this->channels.open(known.info));
            }
            at->second->on_entry(known.info.incarnation);
        }
    }
    this->update_sessions();
}

void pool_manager::on_missing_entry(const server_change& change)
{
    const auto at = this->servers.find(change.id);
    if (at == this->servers.end())
    {
        return;
    }
    known_server& known = at->second;
    known.unreadable = known.unreadable || change.unreadable;
    if (!known.missing_since)
    {
        LOG(INFO) << "server: entry "
                  << (change.unreadable ? "unreadable" : "removed")
                  << "; server=" << change.id;
        known.missing_since = event_loop::now();
    }
}

void pool_manager::stop_new_tasks(const server_info& server)
{
    server_info draining_server = server;
    draining_server.draining = true;
    this->dispatcher.set_server(draining_server);
}

void pool_manager::on_domain_entry(const std::string& domain)
{
    const instant now = event_loop::now();
    const auto [at, first] = this->domain_activity.try_emplace(domain);
    if (first || now - at->second.last > max_entry_age)
    {
        at->second.since = now;
    }
    at->second.last = now;
}

void pool_manager::on_server_ids(const std::set<std::string>& ids)
{
    for (auto& [id, known] : this->servers)
    {
        if (ids.count(id) == 0 && !known.missing_since)
        {
            LOG(INFO) << "server: missing from the list of entries; server="
                      << id;
            known.missing_since = event_loop::now();
        }
    }
    this->update_sessions();
}

void pool_manager::on_store_state(bool reachable, const std::string& reason)
{
    if (reachable != this->store_reachable)
    {
        this->store_reachable = reachable;
        this->store_state_since = event_loop::now();
        LOG(INFO) << "store: " << (reachable ? "reachable" : "unreachable")
                  << "; reason=\"" << reason << "\"";
    }
}

std::map<std::string, std::size_t> pool_manager::claimable_servers() const
{
    const instant now = event_loop::now();
    const bool store_known =
        this->store_reachable &&
        now - this->store_state_since >= cross_domain_takeover_delay;
    std::map<std::string, std::size_t> counts;
    for (const auto& [id, server] : this->servers)
    {
        const std::string& domain = server.info.domain;
        const auto contact = this->last_instance_contact.find(domain);
        const auto activity = this->domain_activity.find(domain);
        // In a network partition neither the servers nor the instances of the
        // other domain can be reached. If only its instances have failed, its
        // servers still write their entries. Just after a partition the entries
        // arrive before the instances reconnect.
        const bool orphaned =
            store_known && now - server.last_update <= max_entry_age &&
            activity != this->domain_activity.end() &&
            now - activity->second.since >= cross_domain_takeover_delay &&
            (contact == this->last_instance_contact.end() ||
             now - contact->second >= cross_domain_takeover_delay);
        if (orphaned || domain == this->settings.domain())
        {
            ++counts[domain];
        }
    }
    return counts;
}

bool pool_manager::ready_to_claim()
{
    if (!this->claims_enabled)
    {
        const auto age = std::chrono::duration_cast<milliseconds>(
            event_loop::now() - this->started);
        this->claims_enabled = pool_election::may_take_pools(
            {age, this->members_read, this->mesh.has_run_before(),
             pool_election::unlinked_candidates(
                 this->settings.domain(), this->mesh.announced_instances())});
    }
    return this->claims_enabled;
}

void pool_manager::update_server_watch()
{
    const bool wanted =
        this->ready_to_claim()
            ? pool_election::watches_servers(this->self_view(),
                                             this->mesh.live_instances())
            : this->members_read &&
                  this->mesh.member_count() <= max_members_for_early_watch;
    if (!wanted && this->sessions.empty())
    {
        // Without the watch the entries are no longer updated.
        this->servers.clear();
    }
    this->watching = wanted || !this->sessions.empty();
    this->store.watch_servers(this->watching);
}

void pool_manager::elect()
{
    if (this->draining || !this->ready_to_claim())
    {
        return;
    }
    const auto live = this->mesh.live_instances();
    for (const instance_view& instance : live)
    {
        this->last_instance_contact[instance.domain] = event_loop::now();
    }
    const instance_view self = this->self_view();
    for (const pool_id& pool : pool_election::pools_to_give_up(self, live))
    {
        this->give_up(pool, "another holder has a higher token");
        if (!pool_election::held_by_other(self, live, pool))
        {
            // The other holder is of another failure domain and gives the pool
            // up, so that it can be claimed again without delay.
            this->claim_not_before.erase(pool);
        }
    }
    const auto counts = this->claimable_servers();
    this->hand_over_idle_pool(
        pool_election::pools_to_hand_over(this->self_view(), live, counts));
    for (const pool_id& pool : pool_election::pools_to_take(self, live, counts))
    {
        const auto blocked = this->claim_not_before.find(pool);
        if (blocked == this->claim_not_before.end() ||
            blocked->second <= event_loop::now())
        {
            this->claim(pool);
        }
    }
}

void pool_manager::hand_over_idle_pool(const std::vector<pool_id>& surplus)
{
    // The next holder may have no token above this one without the store.
    if (!this->store_reachable)
    {
        return;
    }
    // One at a time, since the heartbeats that decide on the next one have to
    // show the new holder.
    if (event_loop::now() - this->last_hand_over < min_hand_over_interval)
    {
        return;
    }
    const auto idle =
        std::find_if(surplus.begin(), surplus.end(),
                     [this](const pool_id& pool)
                     {
                         return std::none_of(
                             this->sessions.begin(), this->sessions.end(),
                             [this, &pool](const auto& entry)
                             {
                                 const auto at =
                                     this->servers.find(entry.first);
                                 return at != this->servers.end() &&
                                        pool_of(at->second.info) == pool &&
                                        this->dispatcher.has_runs(entry.first);
                             });
                     });
    if (idle != surplus.end())
    {
        this->last_hand_over = event_loop::now();
        this->give_up(*idle, "another instance should hold it");
    }
}

void pool_manager::claim(const pool_id& pool)
{
    if (!this->claiming.insert(pool).second)
    {
        return;
    }
    this->store.next_fence(pool.domain + "/" + std::to_string(pool.shard) +
                               " " + this->settings.instance(),
                           [this, pool](std::optional<std::uint64_t> fence)
                           { this->on_fence(pool, fence); });
}

void pool_manager::on_fence(const pool_id& pool,
                            std::optional<std::uint64_t> fence)
{
    this->claiming.erase(pool);
    if (this->stopped || this->draining)
    {
        return;
    }
    const auto live = this->mesh.live_instances();
    const instance_view self = this->self_view();
    if (pool_election::held_by_other(self, live, pool))
    {
        return;
    }
    if (fence)
    {
        this->hold(pool, fence_reserve::first_token(*fence));
        return;
    }
    if (pool.domain != this->settings.domain())
    {
        // The store does not answer, so it may be this instance that is cut off
        // by a network partition.
        return;
    }
    const auto token = this->reserve.token_above(this->highest_token[pool]);
    if (!token)
    {
        if (this->without_token.insert(pool).second)
        {
            LOG(WARNING) << "pool: not taken, no fencing token; domain="
                         << pool.domain << " shard=" << pool.shard;
        }
        return;
    }
    this->hold(pool, *token);
}

void pool_manager::update_reserve()
{
    std::uint64_t highest = 0;
    for (const auto& [pool, token] : this->highest_token)
    {
        if (pool.domain == this->settings.domain())
        {
            highest = std::max(highest, token);
        }
    }
    if (highest == 0 || this->reserve.is_above(highest) || this->reserving ||
        !this->watching || !this->store_reachable || this->draining ||
        this->stopped)
    {
        return;
    }
    this->reserving = true;
    this->store.next_fence(this->settings.domain() + "/reserve " +
                               this->settings.instance(),
                           [this](std::optional<std::uint64_t> fence)
                           {
                               this->reserving = false;
                               if (fence)
                               {
                                   this->reserve.keep(*fence);
                               }
                           });
}

void pool_manager::hold(const pool_id& pool, std::uint64_t token)
{
    std::uint64_t& highest = this->highest_token[pool];
    highest = std::max(highest, token);
    this->without_token.erase(pool);
    this->held[pool] = {token, event_loop::now(), false, token};
    this->counts.add("pool_taken");
    LOG(INFO) << "pool: taken; domain=" << pool.domain
              << " shard=" << pool.shard << " token=" << token
              << " store=" << (this->store_reachable ? "up" : "down");
    const instant exit = event_loop::now() + this->settings.stop_grace_period();
    for (auto& [id, server] : this->servers)
    {
        if (pool_of(server.info) == pool)
        {
            const auto links = this->users_of(id, pool);
            if (!links.empty())
            {
                this->pending_handovers[id] = {links, exit - release_margin};
                server.left_until = exit + this->settings.lease_expiry();
            }
        }
    }
    this->update_sessions();
    this->holds_changed();
}

std::set<std::uint64_t> pool_manager::users_of(const std::string& server,
                                               const pool_id& pool) const
{
    std::set<std::uint64_t> result;
    for (const auto& [link, peer] : this->peers)
    {
        const auto released = this->released_servers.find(link);
        if (peer.instance.draining &&
            pool_election::holds(peer.instance, pool) &&
            (released == this->released_servers.end() ||
             released->second.count(server) == 0))
        {
            result.insert(link);
        }
    }
    return result;
}

void pool_manager::give_up(const pool_id& pool, const std::string& reason)
{
    if (this->held.erase(pool) == 0)
    {
        return;
    }
    this->counts.add("pool_given_up");
    LOG(INFO) << "pool: given up; domain=" << pool.domain
              << " shard=" << pool.shard << " reason=\"" << reason << "\"";
    this->claim_not_before[pool] =
        event_loop::now() + this->settings.holder_lease();
    std::vector<std::string> ids;
    for (const auto& [id, session] : this->sessions)
    {
        const auto at = this->servers.find(id);
        if (at != this->servers.end() && pool_of(at->second.info) == pool)
        {
            ids.push_back(id);
        }
    }
    for (const std::string& id : ids)
    {
        this->close_session(id);
    }
    this->holds_changed();
}

void pool_manager::close_session(const std::string& id)
{
    const auto at = this->sessions.find(id);
    if (at == this->sessions.end())
    {
        return;
    }
    at->second->end();
    const auto server = this->servers.find(id);
    if (server != this->servers.end())
    {
        const auto hold = this->held.find(pool_of(server->second.info));
        if (hold != this->held.end())
        {
            hold->second.session_token =
                std::max(hold->second.session_token, at->second->next_token());
        }
    }
    this->sessions.erase(at);
    this->dispatcher.abandon_server(id, event_loop::now());
}

void pool_manager::open_session(const server_info& info, std::uint64_t token)
{
    this->dispatcher.set_server(info);
    this->dispatcher.set_server_number(info.id, ++this->last_server_number);
    lease_options lease;
    lease.max_lease = this->settings.max_lease();
    const pool_id pool = pool_of(info);
    const auto session = server_session::create(
        this->loop.events(), info, token, lease, this->channels.open(info),
        this->dispatcher,
        [this, pool, id = info.id]
        {
            // Deferred, because this destroys the session that is calling.
            this->loop.after(milliseconds(0),
                             [this, pool, id]
                             {
                                 if (this->draining)
                                 {
                                     this->close_session(id);
                                     return;
                                 }
                                 this->give_up(pool, "token refused by " + id);
                             });
        });
    this->sessions.emplace(info.id, session);
    session->begin();
}

void pool_manager::update_sessions()
{
    if (this->draining || this->stopped)
    {
        return;
    }
    const instant now = event_loop::now();
    std::erase_if(this->pending_handovers, [now](const auto& entry)
                  { return entry.second.until <= now; });
    for (auto at = this->servers.begin(); at != this->servers.end();)
    {
        const auto& [id, known] = *at;
        const bool expired =
            known.missing_since &&
            now - *known.missing_since > missing_entry_grace_period;
        const auto session = this->sessions.find(id);
        if (expired && now >= known.left_until &&
            !this->dispatcher.has_runs(id))
        {
            if (session != this->sessions.end())
            {
                this->close_session(id);
            }
            LOG(INFO) << "server: removed; server=" << id;
            at = this->servers.erase(at);
            continue;
        }
        if ((expired || known.unreadable) && session != this->sessions.end())
        {
            this->stop_new_tasks(known.info);
        }
        const auto hold = this->held.find(pool_of(known.info));
        if (session == this->sessions.end() && hold != this->held.end() &&
            this->pending_handovers.count(id) == 0 && !known.missing_since)
        {
            this->open_session(known.info, hold->second.session_token);
        }
        ++at;
    }
}

void pool_manager::release_idle_servers()
{
    if (this->dispatcher.load(event_loop::now()).waiting_cpu > 0)
    {
        return;
    }
    release_message released;
    for (const auto& [id, session] : this->sessions)
    {
        if (!this->dispatcher.has_runs(id))
        {
            released.servers.push_back(id);
        }
    }
    for (const std::string& id : released.servers)
    {
        this->close_session(id);
    }
    if (!released.servers.empty())
    {
        this->mesh.broadcast(released);
    }
}

} // namespace jujubedrum
