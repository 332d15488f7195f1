#pragma once

#include "placement/placement_reason.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace jujubedrum
{

/// State of a backend server in the platform's server list.
enum class server_state
{
    live,
    leaving,
};

/// Unvalidated fields of a `backend_server`.
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
    /// Bound on the slots of one server; a larger number is treated as an error
    /// in the platform's list.
    static constexpr unsigned max_slots = 1024;

    /// Validates the fields. Returns nothing and sets `why` if the name is
    /// empty, the port is 0, or the number of slots is not in [1, max_slots].
    static std::optional<backend_server> make(backend_server_fields fields,
                                              placement_reason& why);

    /// Unique among all servers.
    [[nodiscard]] const std::string& name() const { return this->data.name; }
    /// Failure domain that the server is in.
    [[nodiscard]] const std::string& domain() const
    {
        return this->data.domain;
    }
    /// Region that the failure domain belongs to.
    [[nodiscard]] const std::string& region() const
    {
        return this->data.region;
    }
    /// Numeric IP address.
    [[nodiscard]] const std::string& address() const
    {
        return this->data.address;
    }
    [[nodiscard]] std::uint16_t port() const { return this->data.port; }
    /// Number of tasks that the server runs concurrently.
    [[nodiscard]] unsigned slots() const { return this->data.slots; }
    [[nodiscard]] std::uint64_t memory_mb() const
    {
        return this->data.memory_mb;
    }
    /// A server in state `leaving` accepts no new tasks.
    [[nodiscard]] server_state state() const { return this->data.state; }

    bool operator==(const backend_server&) const = default;

private:
    explicit backend_server(backend_server_fields fields);

    backend_server_fields data;
};

} // namespace jujubedrum
