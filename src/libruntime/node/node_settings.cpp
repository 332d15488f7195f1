#include "node/node_settings.hpp"

#include "config/json_fields.hpp"
#include "config/json_schema.hpp"
#include "config/json_text.hpp"

#include <charconv>

#include <arpa/inet.h>
#include <netinet/in.h>

namespace jujubedrum
{

namespace
{

/// Maximum of `memory_mb` and `max_fds`, which are checked outside the schema:
/// they may be texts.
constexpr std::uint32_t max_machine_limit = 1048576;

const json_schema& node_schema()
{
    static const json_schema schema(R"({
  "type": "object",
  "required": ["instance", "domain", "callers", "operators", "peers", "store"],
  "properties": {
    "instance": {"type": "string", "minLength": 1, "maxLength": 128},
    "domain": {"type": "string", "minLength": 1, "maxLength": 128},
    "callers": {"type": "string"},
    "operators": {"type": "string"},
    "peers": {"type": "string"},
    "announced_peers": {"type": "string"},
    "store": {"type": "string"},
    "cpu_share": {"type": "number", "minimum": 0.001, "maximum": 1024},
    "link_mbps": {"type": "number", "minimum": 0, "maximum": 4000000},
    "memory_mb": {},
    "max_fds": {},
    "caller_memory_mb": {"type": "integer", "minimum": 8, "maximum": 1048576},
    "caller_connections": {"type": "integer", "minimum": 16, "maximum": 1048576},
    "answer_timeout_ms": {"type": "integer", "minimum": 100, "maximum": 600000},
    "chunk_extra_bytes": {"type": "integer", "minimum": 0, "maximum": 1048576},
    "header_fields": {"type": "integer", "minimum": 0, "maximum": 65536},
    "longest_lease_ms": {"type": "number", "minimum": 100, "maximum": 600000},
    "grace_s": {"type": "number", "minimum": 0.1, "maximum": 3600},
    "far_factor": {"type": "number", "minimum": 1, "maximum": 100},
    "holder_lease_ms": {"type": "number", "minimum": 0, "maximum": 600000},
    "holder_policy": {"enum": ["shortest_wait", "balanced"]},
    "server_trust": {"type": "boolean"},
    "overload_order": {"enum": ["latest_start", "caller_cost"]},
    "log_level": {"enum": ["debug", "info", "warning", "error"]}
  },
  "additionalProperties": false
})");
    return schema;
}

bool read_endpoint(const nlohmann::json& object, const char* key,
                   endpoint& value, config_reason& why)
{
    const auto parsed = endpoint::parse(object.value(key, ""));
    if (!parsed)
    {
        why = {config_error::out_of_bounds, std::string("/") + key,
               "not a numeric IP address and port, such as 10.0.0.1:8161"};
        return false;
    }
    value = *parsed;
    return true;
}

/// Reads a limit of the machine: a number, or the same in a text. A placeholder
/// that the platform did not fill in means that it states no such limit, so
/// that one template serves platforms with and without the limit.
bool read_limit(const nlohmann::json& object, const char* key,
                std::uint32_t& value, config_reason& why)
{
    const auto at = object.find(key);
    if (at == object.end())
    {
        return true;
    }
    double number = -1;
    if (at->is_number())
    {
        number = at->get<double>();
    }
    else if (at->is_string())
    {
        const auto& text = at->get_ref<const std::string&>();
        if (text.rfind("{{", 0) == 0 && text.find("}}") == text.size() - 2)
        {
            return true;
        }
        const char* end = text.data() + text.size();
        if (std::from_chars(text.data(), end, number).ptr != end)
        {
            number = -1;
        }
    }
    // Rounding down must not turn a limit into 0, which means not limited.
    if (number != 0 && !(number >= 1 && number <= max_machine_limit))
    {
        why = {config_error::out_of_bounds, std::string("/") + key,
               "not 0 or a number from 1 to 1048576"};
        return false;
    }
    value = static_cast<std::uint32_t>(number);
    return true;
}

/// Returns the limits for callers: the defaults of the machine, replaced by the
/// settings that are given.
caller_limits read_caller_limits(const nlohmann::json& object,
                                 std::uint32_t memory_mb, std::uint32_t max_fds)
{
    constexpr std::size_t bytes_per_mb = 1U << 20U;
    caller_limits result = caller_limits::for_machine(memory_mb, max_fds);
    if (object.contains("caller_memory_mb"))
    {
        result.memory_bytes =
            object.at("caller_memory_mb").get<std::size_t>() * bytes_per_mb;
    }
    read_field(object, "caller_connections", result.connections);
    read_field(object, "answer_timeout_ms", result.answer_timeout);
    read_field(object, "chunk_extra_bytes", result.chunk_extra_bytes);
    read_field(object, "header_fields", result.fields);
    return result;
}

milliseconds read_duration(const nlohmann::json& object, const char* key,
                           double unit_ms, milliseconds otherwise)
{
    const auto at = object.find(key);
    return at == object.end()
               ? otherwise
               : milliseconds(static_cast<long>(at->get<double>() * unit_ms));
}

} // namespace

std::optional<endpoint> endpoint::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    endpoint result;
    result.address = std::string(text.substr(0, colon));
    const std::string_view digits = text.substr(colon + 1);
    const auto parsed = std::from_chars(
        digits.data(), digits.data() + digits.size(), result.port);
    in_addr bytes{};
    if (parsed.ec != std::errc() ||
        parsed.ptr != digits.data() + digits.size() ||
        inet_pton(AF_INET, result.address.c_str(), &bytes) != 1)
    {
        return std::nullopt;
    }
    return result;
}

std::optional<node_settings> node_settings::load(std::string_view text,
                                                 config_reason& why)
{
    auto object = parse_json_object(text, why);
    if (!object)
    {
        return std::nullopt;
    }
    remove_comments(*object);
    if (!node_schema().check(*object, why))
    {
        return std::nullopt;
    }
    node_settings loaded;
    read_field(*object, "instance", loaded.instance_value);
    read_field(*object, "domain", loaded.domain_value);
    if (!read_endpoint(*object, "callers", loaded.callers_value, why) ||
        !read_endpoint(*object, "operators", loaded.operators_value, why) ||
        !read_endpoint(*object, "peers", loaded.peers_value, why) ||
        !read_endpoint(*object, "store", loaded.store_value, why))
    {
        return std::nullopt;
    }
    if (!read_limit(*object, "memory_mb", loaded.memory_mb_value, why) ||
        !read_limit(*object, "max_fds", loaded.max_fds_value, why))
    {
        return std::nullopt;
    }
    loaded.announced_peers_value = loaded.peers_value;
    if (object->contains("announced_peers") &&
        !read_endpoint(*object, "announced_peers", loaded.announced_peers_value,
                       why))
    {
        return std::nullopt;
    }
    constexpr double per_core = 1000;
    constexpr double kbit_per_mbit = 1000;
    loaded.cpu_value =
        static_cast<std::uint32_t>(object->value("cpu_share", 1.0) * per_core);
    loaded.link_kbps_value = static_cast<std::uint32_t>(
        object->value("link_mbps", 0.0) * kbit_per_mbit);
    loaded.caller_limits_value = read_caller_limits(
        *object, loaded.memory_mb_value, loaded.max_fds_value);
    loaded.max_lease_value =
        read_duration(*object, "longest_lease_ms", 1, loaded.max_lease_value);
    loaded.stop_grace_period_value =
        read_duration(*object, "grace_s", 1000, loaded.stop_grace_period_value);
    loaded.holder_lease_value =
        read_duration(*object, "holder_lease_ms", 1, loaded.holder_lease_value);
    read_field(*object, "far_factor", loaded.far_factor_value);
    std::string policy;
    read_field(*object, "holder_policy", policy);
    loaded.holder_policy_value = policy == "balanced"
                                     ? holder_policy::balanced
                                     : holder_policy::shortest_wait;
    read_field(*object, "server_trust", loaded.server_trust_value);
    std::string order;
    read_field(*object, "overload_order", order);
    loaded.order_by_caller_cost_value = order == "caller_cost";
    read_field(*object, "log_level", loaded.log_level_value);
    return loaded;
}

} // namespace jujubedrum
