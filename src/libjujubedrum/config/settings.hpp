#pragma once

#include "config/config_error.hpp"
#include "config/tunables.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubedrum
{

/// Placement policy of an instance; the last three are baselines.
enum class policy_name
{
    owned_slots,
    round_robin,
    random_choice,
    two_choices,
};

/// Returns the policy's name in the settings.
[[nodiscard]] std::string_view to_string(policy_name policy);

/// Settings of an entry instance, read once at start-up.
class settings
{
public:
    /// Returns the settings in the JSON text, with defaults for absent keys.
    /// \param why set if the text is not JSON, does not match the schema or
    /// contains an invalid value; `where()` is a JSON pointer to the field.
    [[nodiscard]] static std::optional<settings> load(std::string_view text,
                                                      config_reason& why);

    /// Returns the unique name of the instance.
    [[nodiscard]] const std::string& instance() const
    {
        return this->instance_value;
    }
    /// Returns the failure domain.
    [[nodiscard]] const std::string& domain() const
    {
        return this->domain_value;
    }
    /// Returns the region.
    [[nodiscard]] const std::string& region() const
    {
        return this->region_value;
    }
    /// Returns the numeric IP address to listen on.
    [[nodiscard]] const std::string& listen_address() const
    {
        return this->listen_address_value;
    }
    /// Returns the TCP port for callers and operators; 0 selects a free port.
    [[nodiscard]] std::uint16_t http_port() const
    {
        return this->http_port_value;
    }
    /// Returns the TCP port for peers; 0 selects a free port.
    [[nodiscard]] std::uint16_t rpc_port() const
    {
        return this->rpc_port_value;
    }
    /// Returns the weight that determines the instance's share of the slots,
    /// relative to the other instances' weights.
    [[nodiscard]] std::uint32_t weight() const { return this->weight_value; }
    /// Returns the numeric IP address of the platform.
    [[nodiscard]] const std::string& platform_address() const
    {
        return this->platform_address_value;
    }
    /// Returns the TCP port of the platform.
    [[nodiscard]] std::uint16_t platform_port() const
    {
        return this->platform_port_value;
    }
    /// Returns the administrator's public Ed25519 key, 64 hex digits.
    [[nodiscard]] const std::string& admin_public_key() const
    {
        return this->admin_public_key_value;
    }
    /// Returns the SHA-256 digests of the operators' tokens, in hex. If there
    /// are none, operators are served on loopback only.
    [[nodiscard]] const std::vector<std::string>& operator_token_sha256() const
    {
        return this->operator_token_sha256_value;
    }
    /// Returns the log level: debug, info, warning or error.
    [[nodiscard]] const std::string& log_level() const
    {
        return this->log_level_value;
    }
    /// Returns the placement policy.
    [[nodiscard]] policy_name policy() const { return this->policy_value; }
    /// Returns the number of sender threads; each has one connection.
    [[nodiscard]] std::uint32_t sender_threads() const
    {
        return this->sender_threads_value;
    }
    /// Returns the number of threads that serve callers.
    [[nodiscard]] std::uint32_t http_threads() const
    {
        return this->http_threads_value;
    }
    /// Returns the maximum total size, in bytes, of finished answers kept until
    /// they are collected.
    [[nodiscard]] std::size_t answer_budget_bytes() const
    {
        return this->answer_budget_bytes_value;
    }
    /// Returns the durations and budgets that are rarely changed.
    [[nodiscard]] const struct tunables& tunables() const
    {
        return this->tunables_value;
    }

    bool operator==(const settings&) const = default;

private:
    std::string instance_value;
    std::string domain_value;
    std::string region_value;
    std::string listen_address_value = "127.0.0.1";
    std::uint16_t http_port_value = 0;
    std::uint16_t rpc_port_value = 0;
    std::uint32_t weight_value = 1;
    std::string platform_address_value;
    std::uint16_t platform_port_value = 0;
    std::string admin_public_key_value;
    std::vector<std::string> operator_token_sha256_value;
    std::string log_level_value = "info";
    policy_name policy_value = policy_name::owned_slots;
    std::uint32_t sender_threads_value = 64;
    std::uint32_t http_threads_value = 64;
    std::size_t answer_budget_bytes_value = 64 * 1024 * 1024;
    struct tunables tunables_value;
};

} // namespace jujubedrum
