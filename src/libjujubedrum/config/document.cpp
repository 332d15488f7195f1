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
    const auto found = this->sections.find(std::string(team_prefix) + name);
    return found == this->sections.end() ? nullptr : found->second.team.get();
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
    const auto found = this->sections.find(name);
    return found == this->sections.end() ? 0 : found->second.revision;
}

std::string document::section_text(const std::string& name) const
{
    const auto found = this->sections.find(name);
    return found == this->sections.end() ? std::string() : found->second.text;
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
    document updated = *this;
    section& changed = updated.sections[name.text()];
    changed = {text, revision, nullptr};
    updated.revision_value = std::max(updated.revision_value, revision);
    if (name.is_system())
    {
        auto parsed = text.empty() ? std::optional(system_settings())
                                   : system_settings::parse(text, why);
        if (!parsed)
        {
            return std::nullopt;
        }
        updated.system_value =
            std::make_shared<const system_settings>(std::move(*parsed));
        return updated;
    }
    if (text.empty())
    {
        return updated;
    }
    auto parsed = team_settings::parse(text, why);
    if (!parsed)
    {
        return std::nullopt;
    }
    changed.team = std::make_shared<const team_settings>(std::move(*parsed));
    return updated;
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
