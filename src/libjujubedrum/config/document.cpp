#include "config/document.hpp"

#include <algorithm>

namespace jujubedrum
{

namespace
{

const std::string system_name = "system";
constexpr std::string_view team_prefix = "teams/";

} // namespace

document::document()
    : system_value(std::make_shared<const system_settings>())
{
}

const team_settings* document::find_team(const std::string& name) const
{
    const auto at = this->sections.find(std::string(team_prefix) + name);
    return at == this->sections.end() ? nullptr : at->second.team.get();
}

std::vector<std::string> document::team_names() const
{
    std::vector<std::string> names;
    for (const auto& [name, section] : this->sections)
    {
        if (section.team)
        {
            names.push_back(name.substr(team_prefix.size()));
        }
    }
    return names;
}

std::uint64_t document::section_revision(const std::string& name) const
{
    const auto at = this->sections.find(name);
    return at == this->sections.end() ? 0 : at->second.revision;
}

std::string document::section_text(const std::string& name) const
{
    const auto at = this->sections.find(name);
    return at == this->sections.end() ? std::string() : at->second.text;
}

std::string document::text() const
{
    const std::string system = this->section_text(system_name);
    std::string text = "{\n\"system\": " + (system.empty() ? "{}" : system) +
                       ",\n\"teams\": {";
    std::string separator = "\n";
    for (const std::string& name : this->team_names())
    {
        text += separator;
        text += "\"";
        text += name;
        text += "\": ";
        text += this->section_text(std::string(team_prefix) + name);
        separator = ",\n";
    }
    return text + "\n}\n}\n";
}

std::optional<document> document::with_section(const section_name& name,
                                               const std::string& text,
                                               std::uint64_t revision,
                                               config_reason& why) const
{
    document next = *this;
    section& changed = next.sections[name.text()];
    changed = {text, revision, nullptr};
    next.revision_value = std::max(next.revision_value, revision);
    if (name.is_system())
    {
        auto parsed = text.empty() ? std::optional(system_settings())
                                   : system_settings::parse(text, why);
        if (!parsed)
        {
            return std::nullopt;
        }
        next.system_value =
            std::make_shared<const system_settings>(std::move(*parsed));
        return next;
    }
    if (text.empty())
    {
        return next;
    }
    auto parsed = team_settings::parse(text, why);
    if (!parsed)
    {
        return std::nullopt;
    }
    changed.team = std::make_shared<const team_settings>(std::move(*parsed));
    return next;
}

bool document::operator==(const document& other) const
{
    return this->revision_value == other.revision_value &&
           this->sections == other.sections;
}

bool document::section::operator==(const section& other) const
{
    return this->text == other.text && this->revision == other.revision;
}

} // namespace jujubedrum
