#pragma once

#include "dispatch/dispatch_load.hpp"
#include "dispatch/held_server.hpp"
#include "dispatch/job_request.hpp"

namespace jujubedrum
{

/// Measures the room of servers in pieces that fit a usual task, and learns
/// what is usual from jobs and runs.
class capacity_meter
{
public:
    void add_job(const job_request& request);
    void add_run(double ran_ms);
    /// Returns the load without anything that waits.
    [[nodiscard]] dispatch_load measure(const held_servers& servers,
                                        instant now) const;
    /// Returns whether a task of the usual size fits anywhere.
    [[nodiscard]] bool has_capacity(const held_servers& servers,
                                    instant now) const;

private:
    /// Returns the part of a server's room that tasks of the usual size can
    /// use.
    [[nodiscard]] std::uint64_t usable_cpu(std::uint32_t cpu) const;

    double mean_ms = 100; ///< run time of recent tasks
    double mean_cpu = 0;  ///< size of recent tasks; 0: none yet
};

} // namespace jujubedrum
