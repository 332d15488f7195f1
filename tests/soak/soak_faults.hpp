#pragma once

#include "soak_cluster.hpp"

#include "base/random_source.hpp"

#include <cstddef>
#include <ostream>
#include <string>
#include <vector>

namespace jujubedrum
{

/// Injects faults into a cluster, one by one or overlapping. Their kinds,
/// targets, times and durations are drawn from `random`. Writes a line to
/// `report` for each fault, with the time of day and that since creation in
/// milliseconds.
class soak_faults
{
public:
    soak_faults(event_loop& loop, soak_cluster& cluster, random_source& random,
                soak_profile profile, std::ostream& report);

    void start();
    void stop() { this->active = false; }

private:
    void inject_next();
    void inject_random_fault();
    /// Injects a fault of the kinds that only the overlap profile has.
    void inject_overlapping_fault();
    /// Black-holes paths between some instances and some backend servers, one
    /// way or both; other instances reach these servers.
    void cut_server_paths();
    /// Stops 2 to 4 of 6 instances gracefully, one after the other, each in the
    /// grace period of the one before.
    void stop_in_turn();
    /// Suspends an instance for 1 to 4 s and kills 1 or 2 others meanwhile.
    void kill_during_pause();
    /// Cuts the store from some instances, and meanwhile removes or adds the
    /// entries of some backend servers, which go on running.
    void change_servers_unseen();
    void toggle_entry(soak_cluster::server& server, std::size_t index);
    void inject_node_fault();
    void inject_link_fault();
    void inject_server_fault();
    void inject_store_fault();
    /// Returns a duration from `min_ms` up to, not including, `max_ms`.
    milliseconds random_duration(std::uint64_t min_ms, std::uint64_t max_ms);
    /// Returns `count` different indices below `size`.
    std::vector<std::size_t> random_indices(std::size_t size,
                                            std::size_t count);
    void schedule(milliseconds delay, std::function<void()> function);
    void log_fault(const std::string& description);

    loop_scope loop;
    soak_cluster& cluster;
    random_source& random;
    soak_profile profile;
    std::ostream& report;
    instant start_time;
    bool active = true;
};

} // namespace jujubedrum
