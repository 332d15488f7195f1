#include "config/system_settings.hpp"

#include "config/json_fields.hpp"
#include "config/json_text.hpp"
#include "config/schemas.hpp"

namespace jujubedrum
{

std::optional<system_settings> system_settings::parse(std::string_view text,
                                                      config_reason& why)
{
    auto object = parse_json_object(text, why);
    if (!object)
    {
        return std::nullopt;
    }
    remove_comments(*object);
    if (!system_schema().check(*object, why))
    {
        return std::nullopt;
    }
    system_settings system;
    read_field(*object, "team_keys", system.team_keys_value);
    if (object->value("objective", "") == "messages")
    {
        system.objective_value = objective::messages;
    }
    const nlohmann::json limits = object_member(*object, "limits");
    read_field(limits, "max_tasks_per_job", system.max_tasks_per_job_value);
    read_field(limits, "max_payload_bytes", system.max_payload_bytes_value);
    read_field(limits, "max_body_bytes", system.max_body_bytes_value);
    read_field(limits, "max_run_ms", system.max_run_time_value);
    read_field(limits, "max_queued_tasks", system.max_queued_tasks_value);
    read_field(limits, "retry_percent", system.retry_percent_value);
    return system;
}

std::string system_settings::find_team_key(const std::string& team) const
{
    const auto found = this->team_keys_value.find(team);
    return found == this->team_keys_value.end() ? std::string() : found->second;
}

} // namespace jujubedrum
