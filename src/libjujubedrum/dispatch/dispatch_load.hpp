#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace jujubedrum
{

/// Room and queue of the dispatcher, as peers need it to choose a holder.
struct dispatch_load
{
    std::uint64_t total_cpu = 0;   ///< thousandths of a core, usable servers
    std::uint64_t free_cpu = 0;    ///< of these, in pieces that fit a task
    std::uint64_t waiting_cpu = 0; ///< wanted by tasks that wait
    double mean_run_ms = 100;      ///< mean run time of recent tasks

    std::uint64_t servers = 0; ///< usable ones; known to the holder only

    /// Returns the expected wait of a job that wants this much.
    [[nodiscard]] milliseconds estimated_wait(std::uint64_t cpu) const;

    bool operator==(const dispatch_load&) const = default;
};

} // namespace jujubedrum
