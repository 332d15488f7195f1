#include "config/section_name.hpp"

#include <algorithm>

namespace jujubedrum
{

namespace
{

constexpr std::string_view team_prefix = "teams/";
constexpr std::size_t max_team_name_chars = 64;

bool is_team_name_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_' ||
           c == '-';
}

} // namespace

std::optional<section_name> section_name::parse(std::string_view text)
{
    if (text == "system")
    {
        return section_name::system();
    }
    if (!text.starts_with(team_prefix) ||
        !section_name::is_team_name(text.substr(team_prefix.size())))
    {
        return std::nullopt;
    }
    return section_name(std::string(text));
}

section_name section_name::system()
{
    return section_name("system");
}

bool section_name::is_team_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_team_name_chars &&
           text != "admin" &&
           std::all_of(text.begin(), text.end(), is_team_name_character);
}

bool section_name::is_system() const
{
    return this->text_value == "system";
}

std::string section_name::team() const
{
    return this->is_system() ? std::string()
                             : this->text_value.substr(team_prefix.size());
}

} // namespace jujubedrum
