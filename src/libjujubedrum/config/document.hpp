#pragma once

#include "config/section_name.hpp"
#include "config/system_settings.hpp"
#include "config/team_settings.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jujubedrum
{

/// Configuration document: an immutable value, cheap to copy because copies
/// share the parsed settings.
class document
{
public:
    /// Constructs an empty document of revision 0.
    document();

    /// Returns the system settings; all defaults if the section is absent.
    [[nodiscard]] const system_settings& system() const
    {
        return *this->system_value;
    }
    /// Returns the settings of the team, or a null pointer if it has no
    /// section. The pointer is valid while any document contains this revision
    /// of the section.
    [[nodiscard]] const team_settings* find_team(const std::string& name) const;
    /// Returns the names of all teams in ascending order.
    [[nodiscard]] std::vector<std::string> team_names() const;

    /// Returns the offset of the last accepted edit + 1; 0 if there is none.
    [[nodiscard]] std::uint64_t revision() const
    {
        return this->revision_value;
    }
    /// Returns the offset + 1 of the edit that last set or deleted the section
    /// ("system" or "teams/NAME"); 0 if there is none.
    [[nodiscard]] std::uint64_t section_revision(const std::string& name) const;
    /// Returns the section text exactly as written; empty if the section is
    /// absent or deleted.
    [[nodiscard]] std::string section_text(const std::string& name) const;
    /// Returns the whole document as JSON, with each section as written.
    [[nodiscard]] std::string text() const;

    /// Returns a copy in which the section has the text and the revision;
    /// nothing if the text does not match the schema. An empty text deletes the
    /// section.
    /// \param why set if the text does not match the schema.
    [[nodiscard]] std::optional<document>
    with_section(const section_name& name, const std::string& text,
                 std::uint64_t revision, config_reason& why) const;

    /// Compares revisions and section texts.
    bool operator==(const document& other) const;

private:
    struct section
    {
        std::string text;
        std::uint64_t revision = 0;
        std::shared_ptr<const team_settings> team;
        bool operator==(const section& other) const;
    };

    std::shared_ptr<const system_settings> system_value;
    std::map<std::string, section> sections;
    std::uint64_t revision_value = 0;
};

} // namespace jujubedrum
