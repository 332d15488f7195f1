#pragma once

#include "model_options.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace jujubedrum
{

/// Parameters of a load on running entry instances.
struct run_options
{
    /// One entry instance.
    struct entry
    {
        std::string address;
        int port = 0;
    };

    /// Returns the options, or nothing if an argument is wrong.
    static std::optional<run_options> parse(int argc, char** argv);

    /// Arrivals, and the servers of the perfect-knowledge replay.
    model_options model;
    std::vector<entry> entries;
    std::string token;
    std::string team;
    /// Task arrivals in a second; 0 derives them from the load share.
    double rate = 0.0;
    /// Threads that send, shared out evenly among the entry instances.
    std::size_t senders = 540;
    /// Speed of the fastest backend server.
    double fastest_speed = 3.0;
    /// Factor on every run time, for measurements of throughput.
    double work_scale = 1.0;
    /// Whether the callers choose the ids, which costs claims on the log.
    bool own_ids = false;
};

} // namespace jujubedrum
