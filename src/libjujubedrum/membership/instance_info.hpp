#pragma once

#include <cstdint>
#include <string>

namespace jujubedrum
{

/// Role of an instance on the platform's list.
enum class instance_role
{
    entry,
    backend
};

/// State of an instance on the platform's list, which lags behind.
enum class listed_state
{
    live,
    leaving,
    /// Written "gone" on the list.
    removed
};

/// Describes one instance on the platform's list.
struct instance_info
{
    std::string name;
    instance_role role = instance_role::entry;
    std::string domain;
    std::string region;
    /// Numeric IP address.
    std::string address;
    /// HTTP port.
    std::uint16_t port = 0;
    /// Port of the peer RPC; 0 for a backend server.
    std::uint16_t rpc_port = 0;
    /// Relative size; entry instances own slots in proportion to it.
    std::uint32_t weight = 1;
    std::uint32_t slots = 0;
    std::uint64_t memory_mb = 0;
    listed_state state = listed_state::live;

    bool operator==(const instance_info&) const = default;
};

} // namespace jujubedrum
