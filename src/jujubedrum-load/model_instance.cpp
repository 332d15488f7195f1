#include "model_instance.hpp"

#include "placement/slot_map.hpp"

#include <vector>

namespace jujubedrum
{

model_instance::model_instance(const model_options& options,
                               const model_cluster& cluster, std::size_t index,
                               std::string_view policy_name)
    : random(options.seed * 1000 + index)
    , description(cluster.entries()[index])
    , index(index)
    , last_peer(index)
{
    this->pool.set_servers(cluster.servers(),
                           slot_map::build(cluster.servers(), cluster.entries(),
                                           this->description.name));
    this->stats.set_servers(cluster.servers());
    placement_reason why;
    this->policy = make_policy(
        policy_name, {this->pool, this->stats, this->random, options.tuning},
        why);
    if (!this->policy->uses_owned_slots() ||
        options.scope == borrow_scope::none)
    {
        return;
    }
    this->book = std::make_unique<grant_book>(
        this->description.name, this->pool, this->stats, options.grants);
    std::vector<entry_instance> peers;
    for (const entry_instance& peer : cluster.entries())
    {
        if (options.scope == borrow_scope::region ||
            peer.domain == this->description.domain)
        {
            peers.push_back(peer);
        }
    }
    this->book->set_peers(peers, this->description.domain);
}

std::size_t model_instance::next_peer(std::size_t peers)
{
    this->last_peer = (this->last_peer + 1) % peers;
    if (this->last_peer == this->index)
    {
        this->last_peer = (this->last_peer + 1) % peers;
    }
    return this->last_peer;
}

} // namespace jujubedrum
