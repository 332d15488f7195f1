#pragma once

#include "base/time.hpp"
#include "dispatch/held_server.hpp"

#include <cstdint>

namespace jujubedrum
{

/// Compares the servers of a holder with each other, and bounds how many of
/// them are distrusted at once: when the others cannot carry the load, the
/// least bad ones go on probation early. Made for faults that many servers
/// share, and for a quarter of the servers that fails beside a high load.
class trust_review
{
public:
    /// \param waiting_cpu demand of the waiting tasks, in thousandths of a
    /// core.
    static void run(held_servers& servers, std::uint64_t waiting_cpu,
                    instant now);

private:
    static void set_typical(held_servers& servers);
    static void lift_least_bad(held_servers& servers, std::uint64_t waiting_cpu,
                               instant now);
};

} // namespace jujubedrum
