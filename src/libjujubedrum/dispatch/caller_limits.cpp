#include "dispatch/caller_limits.hpp"

#include <algorithm>

namespace jujubedrum
{

namespace
{

constexpr std::size_t bytes_per_mb = 1U << 20U;
/// The rest is for the program itself, peers, servers and the store.
constexpr std::size_t memory_share = 3;
/// Holds the largest request inside the default limits of the configuration
/// (2.4 MB, see `caller_budget::job_bytes`) in the share of operators as well.
constexpr std::size_t min_memory_bytes = 4 * bytes_per_mb;
/// Descriptors that the platform reserves for files.
constexpr std::size_t reserved_descriptors = 200;
/// A third of the descriptors is left for peers (up to 300), 8 connections to
/// each of 40 servers, and the store.
constexpr std::size_t connection_share_numerator = 2;
constexpr std::size_t connection_share_denominator = 3;
constexpr std::size_t min_connections = 16;
constexpr std::size_t operators_share = 8;
constexpr std::size_t max_operator_connections = 64;

} // namespace

caller_limits caller_limits::for_machine(std::uint32_t memory_mb,
                                         std::uint32_t max_fds)
{
    caller_limits result;
    if (memory_mb > 0)
    {
        result.memory_bytes = std::max(memory_mb * bytes_per_mb / memory_share,
                                       2 * min_memory_bytes);
    }
    if (max_fds > 0)
    {
        const std::size_t usable =
            max_fds - std::min<std::size_t>(max_fds, reserved_descriptors);
        result.connections = std::max(usable * connection_share_numerator /
                                          connection_share_denominator,
                                      min_connections);
    }
    return result;
}

caller_limits caller_limits::for_callers() const
{
    caller_limits result = *this;
    result.memory_bytes -= this->for_operators().memory_bytes;
    result.connections -= this->for_operators().connections;
    return result;
}

caller_limits caller_limits::for_operators() const
{
    caller_limits result = *this;
    if (this->memory_bytes > 0)
    {
        result.memory_bytes = std::min(
            std::max(this->memory_bytes / operators_share, min_memory_bytes),
            this->memory_bytes / 2);
    }
    if (this->connections > 0)
    {
        result.connections = std::min(
            max_operator_connections,
            std::max<std::size_t>(this->connections / operators_share, 1));
    }
    return result;
}

} // namespace jujubedrum
