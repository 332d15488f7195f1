#pragma once

#include "placement/placement_reason.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace jujubedrum
{

/// State of a backend server on the platform's list.
enum class server_state
{
    live,
    leaving,
};

/// Fields from which a `backend_server` is made.
struct backend_server_fields
{
    std::string name;
    std::string domain;
    std::string region;
    std::string address;
    std::uint16_t port = 0;
    unsigned slots = 0;
    std::uint64_t memory_mb = 0;
    server_state state = server_state::live;

    bool operator==(const backend_server_fields&) const = default;
};

/// Immutable description of a backend server.
class backend_server
{
public:
    /// Largest number of slots of one server; a larger figure is an error in
    /// the platform's list.
    static constexpr unsigned max_slots = 1024;

    /// Returns a server, or nothing if the name is empty, the port is 0, or
    /// the number of slots is not in [1, max_slots].
    static std::optional<backend_server> make(backend_server_fields fields,
                                              placement_reason& why);

    /// Returns the name, unique among all servers.
    [[nodiscard]] const std::string& name() const { return this->data.name; }
    /// Returns the failure domain.
    [[nodiscard]] const std::string& domain() const
    {
        return this->data.domain;
    }
    /// Returns the region that the failure domain belongs to.
    [[nodiscard]] const std::string& region() const
    {
        return this->data.region;
    }
    /// Returns the numeric IP address.
    [[nodiscard]] const std::string& address() const
    {
        return this->data.address;
    }
    /// Returns the TCP port.
    [[nodiscard]] std::uint16_t port() const { return this->data.port; }
    /// Returns the number of tasks the server runs at once.
    [[nodiscard]] unsigned slots() const { return this->data.slots; }
    /// Returns the memory of the server in MB.
    [[nodiscard]] std::uint64_t memory_mb() const
    {
        return this->data.memory_mb;
    }
    /// Returns whether the server accepts new tasks.
    [[nodiscard]] server_state state() const { return this->data.state; }

    bool operator==(const backend_server&) const = default;

private:
    explicit backend_server(backend_server_fields fields);

    backend_server_fields data;
};

} // namespace jujubedrum
