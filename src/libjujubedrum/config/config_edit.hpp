#pragma once

#include "config/config_error.hpp"
#include "config/key_pair.hpp"
#include "config/section_name.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujubedrum
{

/// Signed edit of one section, as it stands on the log.
class config_edit
{
public:
    /// Returns the edit in a log record.
    /// \param why set if the record is no edit or a field is missing or wrong.
    [[nodiscard]] static std::optional<config_edit>
    parse(std::string_view record, config_reason& why);

    /// Returns an unsigned edit. An empty body deletes the section.
    /// \param base revision of the section the edit was made from.
    /// \param edit_id 1 to 64 characters that no other edit has.
    [[nodiscard]] static std::optional<config_edit>
    create(const section_name& section, std::string editor,
           std::uint64_t base_revision, std::string edit_id, std::string body,
           config_reason& why);

    /// Returns a copy signed with the key.
    [[nodiscard]] config_edit sign(const key_pair& key) const;
    /// Returns whether the signature was made with the key (64 hex digits).
    [[nodiscard]] bool verify(std::string_view public_key_hex) const;
    /// Returns the edit as a log record.
    [[nodiscard]] std::string to_record() const;

    /// Returns the section the edit replaces.
    [[nodiscard]] const section_name& section() const
    {
        return this->section_value;
    }
    /// Returns the team name of the editor, or "admin".
    [[nodiscard]] const std::string& editor() const
    {
        return this->editor_value;
    }
    /// Returns the section revision the edit was made from.
    [[nodiscard]] std::uint64_t base_revision() const
    {
        return this->base_revision_value;
    }
    /// Returns the id by which a repeated record is recognised.
    [[nodiscard]] const std::string& edit_id() const
    {
        return this->edit_id_value;
    }
    /// Returns the section text; empty if the edit deletes the section.
    [[nodiscard]] const std::string& body() const { return this->body_value; }
    /// Returns the signature in hex; empty if unsigned.
    [[nodiscard]] const std::string& signature() const
    {
        return this->signature_value;
    }

    bool operator==(const config_edit&) const = default;

private:
    explicit config_edit(section_name section)
        : section_value(std::move(section))
    {
    }

    [[nodiscard]] std::string signed_text() const;

    section_name section_value;
    std::string editor_value;
    std::uint64_t base_revision_value = 0;
    std::string edit_id_value;
    std::string body_value;
    std::string signature_value;
};

} // namespace jujubedrum
