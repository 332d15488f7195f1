#include "engine/member_controller.hpp"

#include "base/hash.hpp"
#include "placement/slot_map.hpp"

#include <set>
#include <utility>
#include <vector>

namespace jujubedrum
{

namespace
{

entry_instance to_entry(const instance_info& info)
{
    return {info.name, info.domain, info.region,
            static_cast<double>(info.weight)};
}

std::optional<backend_server> to_server(const instance_info& info)
{
    backend_server_fields fields;
    fields.name = info.name;
    fields.domain = info.domain;
    fields.region = info.region;
    fields.address = info.address;
    fields.port = info.port;
    fields.slots = info.slots;
    fields.memory_mb = info.memory_mb;
    fields.state = info.state == listed_state::leaving ? server_state::leaving
                                                       : server_state::live;
    placement_reason why;
    return backend_server::make(std::move(fields), why);
}

bool is_live(const peer_view& peer)
{
    return peer.info.role == instance_role::entry &&
           peer.state == peer_state::alive;
}

} // namespace

member_controller::member_controller(instance_info self,
                                     std::uint64_t incarnation,
                                     const member_options& options,
                                     slot_pool& slots, server_stats& statistics,
                                     grant_book& book, quota_controller& shares)
    : members(std::move(self), incarnation, options)
    , pool(slots)
    , stats(statistics)
    , grants(book)
    , quotas(shares)
{
}

void member_controller::on_list(const list_event& page, instant now)
{
    this->members.on_list(page.page, page.requested_at);
    this->refresh(now);
}

bool member_controller::refresh(instant now)
{
    if (this->applied_change == this->members.change_count())
    {
        return false;
    }
    this->applied_change = this->members.change_count();
    this->rebuild_slots();
    this->rebuild_peers();
    this->rebuild_quotas(now);
    return true;
}

std::optional<peer_address>
member_controller::find_reachable(const std::string& name) const
{
    const auto peer = this->members.find(name);
    if (!peer || peer->state == peer_state::dead ||
        peer->state == peer_state::unreachable)
    {
        return std::nullopt;
    }
    return peer_address{name, peer->info.address, peer->info.rpc_port};
}

std::string member_controller::preferred_instance(std::string_view key) const
{
    const std::string& self = this->members.self().name;
    std::string best = self;
    std::uint64_t best_score = stable_hash(std::string(key) + "/" + self);
    for (const peer_view& peer : this->members.peers())
    {
        const std::uint64_t score =
            stable_hash(std::string(key) + "/" + peer.info.name);
        if (is_live(peer) && score > best_score)
        {
            best = peer.info.name;
            best_score = score;
        }
    }
    return best;
}

std::size_t member_controller::live_entry_count() const
{
    std::size_t live = 1;
    for (const peer_view& peer : this->members.peers())
    {
        live += is_live(peer) ? 1 : 0;
    }
    return live;
}

void member_controller::rebuild_slots()
{
    std::vector<backend_server> servers;
    std::set<std::string> domains;
    for (const instance_info& info : this->members.backends())
    {
        if (info.region != this->members.self().region)
        {
            continue;
        }
        if (auto server = to_server(info))
        {
            domains.insert(server->domain());
            servers.push_back(std::move(*server));
        }
    }
    std::vector<entry_instance> entries;
    std::set<std::string> added;
    for (const std::string& domain : domains)
    {
        for (const instance_info& owner : this->members.slot_owners(domain))
        {
            if (added.insert(owner.name).second)
            {
                entries.push_back(to_entry(owner));
            }
        }
    }
    this->stats.set_servers(servers);
    this->pool.set_servers(
        servers, slot_map::build(servers, entries, this->members.self().name,
                                 this->members.orphaned_domains()));
    this->grants.on_slots_changed();
}

void member_controller::rebuild_peers()
{
    std::vector<entry_instance> same_incarnation_peers;
    std::vector<entry_instance> peers;
    for (const peer_view& peer : this->members.peers())
    {
        if (!is_live(peer) || peer.info.region != this->members.self().region)
        {
            continue;
        }
        std::uint64_t& known = this->incarnations[peer.info.name];
        if (known == 0 || known == peer.incarnation)
        {
            same_incarnation_peers.push_back(to_entry(peer.info));
        }
        known = peer.incarnation;
        peers.push_back(to_entry(peer.info));
    }
    // A restarted peer numbers its requests from 1 again, so its old grants
    // have to end before it is added as a peer again.
    this->grants.set_peers(same_incarnation_peers, this->members.self().domain);
    this->grants.set_peers(peers, this->members.self().domain);
}

void member_controller::rebuild_quotas(instant now)
{
    // All instances have to divide the quotas among the same names, because the
    // shares of tasks in flight are rounded in the order of names.
    const instance_info& self = this->members.self();
    std::vector<weighted_instance> listed{
        {self.name, static_cast<double>(self.weight)}};
    for (const peer_view& peer : this->members.peers())
    {
        if (peer.info.state != listed_state::removed)
        {
            listed.push_back(
                {peer.info.name, static_cast<double>(peer.info.weight)});
        }
    }
    this->quotas.set_listed(std::move(listed), now);
}

} // namespace jujubedrum
