#pragma once

#include "base/time.hpp"
#include "placement/grant_book.hpp"
#include "placement/placement_policy.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace jujubedrum
{

/// Peers that a simulated instance may borrow slots from.
enum class borrow_scope
{
    none,
    domain,
    region,
};

/// Parameters of one comparison of policies.
struct model_options
{
    std::string profile = "rake";
    std::string policy = "all";
    std::size_t servers = 48;
    unsigned slots = 8;
    std::size_t instances = 9;
    std::size_t domains = 3;
    /// Arriving work as a share of the capacity of all servers.
    double load = 0.7;
    std::size_t tasks = 200000;
    std::uint64_t seed = 1;
    std::size_t stragglers = 0;
    /// Run time on a straggling server relative to its usual one.
    double straggle_factor = 5.0;
    /// Interval after which the set of straggling servers changes; 0 keeps it.
    microseconds straggle_period{};
    /// One-way delay between domains; 0 selects the default of the profile.
    microseconds delay{};
    borrow_scope scope = borrow_scope::region;
    placement_tuning tuning;
    grant_options grants;
    /// Interval of the heartbeats of an instance.
    microseconds heartbeat = seconds(2);
    /// Number of peers that get each heartbeat.
    std::size_t heartbeat_peers = 1;
    /// Whether the policy owned_slots starts overdue repeatable tasks a second
    /// time.
    bool hedge = true;
    /// Whether the tasks of a job start in descending order of expected run
    /// time, and not in order of submission.
    bool longest_first = true;
    bool json = false;
};

} // namespace jujubedrum
