#pragma once

#include "dispatch/dispatch_load.hpp"
#include "dispatch/held_server.hpp"
#include "dispatch/job_request.hpp"

namespace jujubedrum
{

/// Measures the capacity of servers in units of the mean task size. Mean size
/// and run time are moving averages over submitted jobs and completed runs.
class capacity_meter
{
public:
    void add_job(const job_request& request);
    void add_run(double ran_ms);
    /// Adds the run time of a completed run as a multiple of the declared one.
    void add_ratio(double ratio);
    /// Adds the declared work of an arriving job, in milliseconds times
    /// thousandths of a core.
    void add_demand(double work, instant now);
    /// Returns the work that arrived recently as a multiple of what the usable
    /// servers can do in the same time.
    [[nodiscard]] double pressure(const held_servers& servers,
                                  instant now) const;
    /// Returns the load of the servers, without waiting tasks.
    [[nodiscard]] dispatch_load measure(const held_servers& servers,
                                        instant now) const;
    /// Returns whether a task of the mean size fits on any usable server.
    [[nodiscard]] bool has_capacity(const held_servers& servers,
                                    instant now) const;

private:
    /// Returns the part of a server's free or total capacity that tasks of the
    /// mean size can use, in thousandths of a core.
    [[nodiscard]] std::uint64_t usable_cpu(std::uint32_t cpu) const;

    [[nodiscard]] double offered_cpu(instant now) const;

    double mean_ratio = 1; ///< run time of recent tasks over the declared one
    double demand = 0;     ///< thousandths of a core, at `demand_at`
    instant demand_at{0};
    double mean_ms = 100; ///< mean run time of recent tasks
    double mean_cpu = 0;  ///< mean size of recent tasks; 0: none yet
};

} // namespace jujubedrum
