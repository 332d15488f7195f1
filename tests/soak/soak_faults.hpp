#pragma once

#include "soak_cluster.hpp"

#include "base/random_source.hpp"

#include <ostream>

namespace jujubedrum
{

/// Injects faults at random times, alone and overlapping, from a seed.
class soak_faults
{
public:
    soak_faults(event_loop& loop, soak_cluster& cluster, random_source& random,
                std::ostream& report);

    void begin();
    void end() { this->active = false; }

private:
    void next();
    void inject();
    void hit_node();
    void hit_link();
    void hit_server();
    void hit_store();
    milliseconds span(std::uint64_t least, std::uint64_t most);
    void later(milliseconds delay, std::function<void()> function);
    void tell(const std::string& what);

    loop_scope loop;
    soak_cluster& cluster;
    random_source& random;
    std::ostream& report;
    instant started;
    bool active = true;
};

} // namespace jujubedrum
