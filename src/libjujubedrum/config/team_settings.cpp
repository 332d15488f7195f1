#include "config/team_settings.hpp"

#include "config/json_fields.hpp"
#include "config/json_text.hpp"
#include "config/schemas.hpp"

namespace jujubedrum
{

namespace
{

kind_settings parse_kind(const nlohmann::json& object)
{
    const kind_settings defaults;
    bool repeatable = defaults.repeatable();
    std::chrono::milliseconds run_time = defaults.run_time();
    std::uint32_t memory_mb = defaults.memory_mb();
    read_field(object, "repeatable", repeatable);
    read_field(object, "run_ms", run_time);
    read_field(object, "memory_mb", memory_mb);
    return {repeatable, run_time, memory_mb};
}

} // namespace

std::optional<team_settings> team_settings::parse(std::string_view text,
                                                  config_reason& why)
{
    auto object = parse_json_object(text, why);
    if (!object)
    {
        return std::nullopt;
    }
    remove_comments(*object);
    if (!team_schema().check(*object, why))
    {
        return std::nullopt;
    }
    team_settings team;
    const nlohmann::json quota = object_member(*object, "quota");
    read_field(quota, "tasks_per_second", team.tasks_per_second_value);
    read_field(quota, "in_flight", team.tasks_in_flight_value);
    read_field(*object, "weight", team.weight_value);
    read_field(*object, "caller_token_sha256", team.caller_token_sha256_value);
    read_field(*object, "max_tasks_per_job", team.max_tasks_per_job_value);
    read_field(*object, "default_deadline_ms", team.default_deadline_value);
    const nlohmann::json kinds = object_member(*object, "kinds");
    for (const auto& [name, kind] : kinds.items())
    {
        team.kinds_value.emplace(name, parse_kind(kind));
    }
    return team;
}

const kind_settings* team_settings::find_kind(const std::string& name) const
{
    const auto found = this->kinds_value.find(name);
    return found == this->kinds_value.end() ? nullptr : &found->second;
}

} // namespace jujubedrum
