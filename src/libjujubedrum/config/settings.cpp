#include "config/settings.hpp"

#include "config/json_fields.hpp"
#include "config/json_text.hpp"
#include "config/schemas.hpp"

#include <array>

#include <arpa/inet.h>
#include <netinet/in.h>

namespace jujubedrum
{

namespace
{

constexpr std::array<std::string_view, 4> policy_names = {
    "owned_slots", "round_robin", "random_choice", "two_choices"};

policy_name parse_policy(const std::string& name)
{
    for (std::size_t i = 0; i < policy_names.size(); ++i)
    {
        if (policy_names[i] == name)
        {
            return static_cast<policy_name>(i);
        }
    }
    return policy_name::owned_slots;
}

bool check_address(const std::string& text, const std::string& pointer,
                   config_reason& why)
{
    std::array<unsigned char, sizeof(in6_addr)> bytes{};
    if (inet_pton(AF_INET, text.c_str(), bytes.data()) == 1 ||
        inet_pton(AF_INET6, text.c_str(), bytes.data()) == 1)
    {
        return true;
    }
    why = {config_error::out_of_bounds, pointer,
           "not a numeric IP address; host names are not resolved"};
    return false;
}

struct tunables parse_tunables(const nlohmann::json& object)
{
    struct tunables values;
    read_field(object, "id_lifetime_ms", values.id_lifetime);
    read_field(object, "answer_lifetime_ms", values.answer_lifetime);
    read_field(object, "claim_window_ms", values.claim_window);
    read_field(object, "claim_timeout_ms", values.claim_timeout);
    read_field(object, "clock_skew_ms", values.clock_skew);
    read_field(object, "claim_append_budget", values.claim_append_budget);
    read_field(object, "heartbeat_interval_ms", values.heartbeat_interval);
    read_field(object, "grant_linger_ms", values.grant_linger);
    read_field(object, "config_poll_wait_ms", values.config_poll_wait);
    read_field(object, "list_poll_interval_ms", values.list_poll_interval);
    read_field(object, "log_retention_ms", values.log_retention);
    read_field(object, "connect_timeout_ms", values.connect_timeout);
    read_field(object, "drain_timeout_ms", values.drain_timeout);
    return values;
}

} // namespace

std::string_view to_string(policy_name policy)
{
    return policy_names[static_cast<std::size_t>(policy)];
}

std::optional<settings> settings::load(std::string_view text,
                                       config_reason& why)
{
    auto object = parse_json_object(text, why);
    if (!object)
    {
        return std::nullopt;
    }
    remove_comments(*object);
    if (!settings_schema().check(*object, why))
    {
        return std::nullopt;
    }
    settings loaded;
    read_field(*object, "instance", loaded.instance_value);
    read_field(*object, "domain", loaded.domain_value);
    read_field(*object, "region", loaded.region_value);
    read_field(*object, "listen_address", loaded.listen_address_value);
    read_field(*object, "http_port", loaded.http_port_value);
    read_field(*object, "rpc_port", loaded.rpc_port_value);
    read_field(*object, "weight", loaded.weight_value);
    const nlohmann::json platform = object_member(*object, "platform");
    read_field(platform, "address", loaded.platform_address_value);
    read_field(platform, "port", loaded.platform_port_value);
    read_field(*object, "admin_public_key", loaded.admin_public_key_value);
    read_field(*object, "operator_token_sha256",
               loaded.operator_token_sha256_value);
    read_field(*object, "log_level", loaded.log_level_value);
    loaded.policy_value = parse_policy(object->value("policy", ""));
    read_field(*object, "sender_threads", loaded.sender_threads_value);
    read_field(*object, "http_threads", loaded.http_threads_value);
    read_field(*object, "answer_budget_bytes",
               loaded.answer_budget_bytes_value);
    loaded.tunables_value = parse_tunables(object_member(*object, "tunables"));
    if (!check_address(loaded.listen_address_value, "/listen_address", why) ||
        !check_address(loaded.platform_address_value, "/platform/address", why))
    {
        return std::nullopt;
    }
    // A claim older than the window is not looked up, so every claim within
    // the window must still be on the log. The factor 3 leaves a wide margin.
    if (loaded.tunables_value.claim_window * 3 >
        loaded.tunables_value.log_retention)
    {
        why = {config_error::out_of_bounds, "/tunables/claim_window_ms",
               "more than a third of /tunables/log_retention_ms"};
        return std::nullopt;
    }
    return loaded;
}

} // namespace jujubedrum
