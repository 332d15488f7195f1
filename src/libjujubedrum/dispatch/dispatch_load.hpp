#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <map>

namespace jujubedrum
{

/// Wait while no server is usable. Unlike the maximum of the type, it can be
/// added to a time.
constexpr milliseconds unknown_wait = max_duration;

/// Capacity and queue of a dispatcher, from which peers choose a holder.
struct dispatch_load
{
    std::uint64_t total_cpu = 0;   ///< thousandths of a core, usable servers
    std::uint64_t free_cpu = 0;    ///< of these, in units that fit a task
    std::uint64_t waiting_cpu = 0; ///< demand of the waiting tasks
    double mean_run_ms = 100;      ///< mean run time of recent tasks

    std::uint64_t servers = 0; ///< usable ones; known to the holder only
    /// Demand of the waiting tasks by priority; empty in messages of earlier
    /// versions.
    std::map<std::uint32_t, std::uint64_t> waiting_by_priority = {};
    /// Largest free capacity of one usable server; 0 in messages of earlier
    /// versions.
    std::uint64_t largest_free_cpu = 0;

    /// Returns the estimated wait of a job with this demand, in thousandths of
    /// a core; `unknown_wait` if no server is usable.
    [[nodiscard]] milliseconds estimated_wait(std::uint64_t cpu) const;

    bool operator==(const dispatch_load&) const = default;
};

} // namespace jujubedrum
