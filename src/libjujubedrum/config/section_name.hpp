#pragma once

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace jujubedrum
{

/// Name of a section of the configuration document: "system" or "teams/NAME".
/// A team name has 1 to 64 characters `[a-z0-9_-]` and is not "admin".
class section_name
{
public:
    /// Returns the parsed name, or nothing if the text is not a section name.
    [[nodiscard]] static std::optional<section_name>
    parse(std::string_view text);

    /// Returns the name of the system section.
    [[nodiscard]] static section_name system();

    /// Returns whether the text is a valid team name.
    [[nodiscard]] static bool is_team_name(std::string_view text);

    /// Returns the whole name, such as "teams/rake".
    [[nodiscard]] const std::string& text() const { return this->text_value; }
    /// Returns whether this is the system section.
    [[nodiscard]] bool is_system() const;
    /// Returns the team name; empty for the system section.
    [[nodiscard]] std::string team() const;

    auto operator<=>(const section_name&) const = default;

private:
    explicit section_name(std::string text)
        : text_value(std::move(text))
    {
    }

    std::string text_value;
};

} // namespace jujubedrum
