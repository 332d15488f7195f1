#pragma once

#include "base/time.hpp"
#include "config/config_error.hpp"
#include "dispatch/caller_limits.hpp"
#include "dispatch/holder_choice.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujubedrum
{

/// A numeric IP address and a port.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    /// Parses "address:port".
    [[nodiscard]] static std::optional<endpoint> parse(std::string_view text);
    bool operator==(const endpoint&) const = default;
};

/// For clocks of servers that are slow by 2 % and requests in transit.
constexpr milliseconds lease_margin{100};

/// Settings of an instance on the users' platform.
class node_settings
{
public:
    /// Parses settings from a JSON text. Returns nothing if it is invalid.
    /// \param why set if the text is invalid; `where()` is a JSON pointer to
    /// the field.
    [[nodiscard]] static std::optional<node_settings>
    load(std::string_view text, config_reason& why);

    [[nodiscard]] const std::string& instance() const
    {
        return this->instance_value;
    }
    [[nodiscard]] const std::string& domain() const
    {
        return this->domain_value;
    }
    /// Returns the address on which callers are served.
    [[nodiscard]] const endpoint& callers() const
    {
        return this->callers_value;
    }
    /// Returns the address on which readiness, metrics and the state dump are
    /// served.
    [[nodiscard]] const endpoint& operators() const
    {
        return this->operators_value;
    }
    /// Returns the address on which links of other instances are accepted.
    [[nodiscard]] const endpoint& peers() const { return this->peers_value; }
    /// Returns the address that is announced to other instances; by default
    /// `peers`.
    [[nodiscard]] const endpoint& announced_peers() const
    {
        return this->announced_peers_value;
    }
    [[nodiscard]] const endpoint& store() const { return this->store_value; }
    /// Returns the CPU share of this instance in thousandths of a core.
    [[nodiscard]] std::uint32_t cpu() const { return this->cpu_value; }
    /// Returns the rate of this instance's network link in kbit/s, in each
    /// direction; 0 if it is not limited.
    [[nodiscard]] std::uint32_t link_kbps() const
    {
        return this->link_kbps_value;
    }
    /// Returns the memory of this instance's machine in MB; 0 if it is not
    /// limited.
    [[nodiscard]] std::uint32_t memory_mb() const
    {
        return this->memory_mb_value;
    }
    /// Returns the number of file descriptors that this process may open; 0 if
    /// it is not limited.
    [[nodiscard]] std::uint32_t max_fds() const { return this->max_fds_value; }
    /// Returns the limits on what callers and operators may hold together.
    [[nodiscard]] const jujubedrum::caller_limits& caller_limits() const
    {
        return this->caller_limits_value;
    }
    /// Returns the maximum lease on runs on a backend server.
    [[nodiscard]] milliseconds max_lease() const
    {
        return this->max_lease_value;
    }
    /// Returns the time after the last renewal by which a lease has ended on
    /// any server.
    [[nodiscard]] milliseconds lease_expiry() const
    {
        return this->max_lease() + lease_margin;
    }
    /// Returns the time from the request to stop until the process is killed.
    [[nodiscard]] milliseconds stop_grace_period() const
    {
        return this->stop_grace_period_value;
    }
    /// Returns the factor by which a task's run time grows away from its data.
    [[nodiscard]] double far_factor() const { return this->far_factor_value; }
    /// Returns how long this instance does not claim a pool again after it gave
    /// the pool up.
    [[nodiscard]] milliseconds holder_lease() const
    {
        return this->holder_lease_value;
    }
    /// Returns how this instance chooses the holders of its callers' jobs.
    [[nodiscard]] jujubedrum::holder_policy holder_policy() const
    {
        return this->holder_policy_value;
    }
    /// Returns whether servers are judged by their failure rates rather than by
    /// failures in a row.
    [[nodiscard]] bool server_trust() const { return this->server_trust_value; }
    /// Returns whether waiting jobs are ordered by what their loss costs
    /// callers where the routes have different priorities, rather than by
    /// latest start.
    [[nodiscard]] bool order_by_caller_cost() const
    {
        return this->order_by_caller_cost_value;
    }
    /// Returns the log level: debug, info, warning or error.
    [[nodiscard]] const std::string& log_level() const
    {
        return this->log_level_value;
    }

    bool operator==(const node_settings&) const = default;

private:
    std::string instance_value;
    std::string domain_value;
    endpoint callers_value;
    endpoint operators_value;
    endpoint peers_value;
    endpoint announced_peers_value;
    endpoint store_value;
    std::uint32_t cpu_value = 1000;
    std::uint32_t link_kbps_value = 0;
    std::uint32_t memory_mb_value = 0;
    std::uint32_t max_fds_value = 0;
    jujubedrum::caller_limits caller_limits_value;
    milliseconds max_lease_value{1000};
    milliseconds stop_grace_period_value{6000};
    double far_factor_value = 1.5;
    milliseconds holder_lease_value{3000};
    jujubedrum::holder_policy holder_policy_value =
        jujubedrum::holder_policy::shortest_wait;
    bool server_trust_value = false;
    bool order_by_caller_cost_value = false;
    std::string log_level_value = "info";
};

} // namespace jujubedrum
