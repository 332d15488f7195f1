#pragma once

#include "base/time.hpp"
#include "placement/grant_book.hpp"
#include "placement/placement_policy.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace jujubedrum
{

/// Peers that an instance of the model borrows from.
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
    /// Arriving work as a share of what all servers can do.
    double load = 0.7;
    std::size_t tasks = 200000;
    std::uint64_t seed = 1;
    std::size_t stragglers = 0;
    /// Run time of a straggling server relative to its usual one.
    double straggle_factor = 5.0;
    /// Time after which other servers straggle; 0 means never.
    microseconds straggle_period{};
    /// One-way delay between domains; 0 selects that of the profile.
    microseconds delay{};
    borrow_scope scope = borrow_scope::region;
    placement_tuning tuning;
    grant_options grants;
    microseconds heartbeat = seconds(2);
    std::size_t heartbeat_peers = 1;
    bool hedge = true;
    /// Whether the tasks of a job start in order of expected run time.
    bool longest_first = true;
    bool json = false;
};

} // namespace jujubedrum
