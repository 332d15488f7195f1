#pragma once

#include "base/random_source.hpp"
#include "model_cluster.hpp"
#include "placement/grant_book.hpp"
#include "placement/placement_policy.hpp"

#include <cstddef>
#include <deque>
#include <memory>
#include <string>

namespace jujubedrum
{

/// Simulated entry instance: the placement classes and a queue of tasks.
class model_instance
{
public:
    model_instance(const model_options& options, const model_cluster& cluster,
                   std::size_t index, std::string_view policy_name);

    [[nodiscard]] const entry_instance& entry() const
    {
        return this->description;
    }
    /// Returns the index of the peer that receives the next heartbeat; peers
    /// take turns.
    /// \param peers number of instances, this one included; at least 2.
    [[nodiscard]] std::size_t next_peer(std::size_t peers);

    slot_pool pool;
    server_stats stats;
    random_source random;
    std::unique_ptr<placement_policy> policy;
    /// Null if this instance neither borrows nor lends slots.
    std::unique_ptr<grant_book> book;
    /// Tasks waiting for a slot, as indexes into the tasks of the model.
    std::deque<std::size_t> waiting;
    /// Task starts other than hedges.
    std::size_t started = 0;
    /// Tasks that were hedged.
    std::size_t hedged = 0;

private:
    entry_instance description;
    std::size_t index;
    std::size_t last_peer;
};

} // namespace jujubedrum
