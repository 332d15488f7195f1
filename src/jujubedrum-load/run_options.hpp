#pragma once

#include "model_options.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace jujubedrum
{

/// Parameters of the subcommand `run`.
struct run_options
{
    /// Address of an entry instance.
    struct entry
    {
        std::string address;
        int port = 0;
    };

    /// Returns the options, or nothing if an argument is invalid or a required
    /// one is missing.
    static std::optional<run_options> parse(int argc, char** argv);

    /// Arrivals, and the servers of the perfect replay.
    model_options model;
    std::vector<entry> entries;
    std::string token;
    std::string team;
    /// Task arrivals per second; 0 derives the rate from the load.
    double rate = 0.0;
    /// Sender threads, distributed evenly over the entry instances. Each has
    /// one connection and one job in progress.
    std::size_t senders = 540;
    /// Speed of the fastest backend server; payloads hold run times at speed 1.
    double fastest_speed = 3.0;
    /// Factor on all run times, to measure throughput with shorter tasks.
    double work_scale = 1.0;
    /// Whether the caller chooses the job ids, which costs claims on the log.
    bool own_ids = false;
};

} // namespace jujubedrum
