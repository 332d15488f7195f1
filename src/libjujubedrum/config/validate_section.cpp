#include "config/validate_section.hpp"

#include "config/json_text.hpp"
#include "config/schemas.hpp"

namespace jujubedrum
{

namespace
{

using json = nlohmann::json;

bool check_section(const section_name& name, const json& value,
                   config_reason& why)
{
    return (name.is_system() ? system_schema() : team_schema())
        .check(value, why);
}

bool check_named_section(const std::string& name, const json& value,
                         const std::string& pointer, config_reason& why)
{
    const auto section = section_name::parse(name);
    if (!section)
    {
        why = {
            config_error::unknown_section, pointer,
            "a team name is 1 to 64 characters of [a-z0-9_-], not \"admin\""};
        return false;
    }
    if (check_section(*section, value, why))
    {
        return true;
    }
    why = {why.code(), pointer + why.where(), why.text()};
    return false;
}

bool check_teams(const json& teams, config_reason& why)
{
    if (!teams.is_object())
    {
        why = {config_error::wrong_type, "/teams", "expected object"};
        return false;
    }
    for (const auto& [name, team] : teams.items())
    {
        if (!check_named_section("teams/" + name, team,
                                 child_pointer("/teams", name), why))
        {
            return false;
        }
    }
    return true;
}

} // namespace

bool validate_section(const section_name& name, std::string_view text,
                      config_reason& why)
{
    auto value = parse_json_object(text, why);
    if (!value)
    {
        return false;
    }
    remove_comments(*value);
    return check_section(name, *value, why);
}

bool validate_document(std::string_view text, config_reason& why)
{
    auto value = parse_json_object(text, why);
    if (!value)
    {
        return false;
    }
    remove_comments(*value);
    for (const auto& [key, section_value] : value->items())
    {
        if (key != "system" && key != "teams")
        {
            why = {config_error::unknown_key, child_pointer("", key),
                   "unknown key; a document has \"system\" and \"teams\""};
            return false;
        }
    }
    if (value->contains("system") &&
        !check_named_section("system", (*value)["system"], "/system", why))
    {
        return false;
    }
    return !value->contains("teams") || check_teams((*value)["teams"], why);
}

} // namespace jujubedrum
