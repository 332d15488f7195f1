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

/// Edit of one section of the configuration document, recorded with its
/// signature on stream `config` of the platform's log.
class config_edit
{
public:
    /// Parses a log record. The signature is not verified.
    /// \param why set if the record is not an edit or if a field is missing or
    /// invalid.
    [[nodiscard]] static std::optional<config_edit>
    parse(std::string_view record, config_reason& why);

    /// Returns an unsigned edit. An empty body deletes the section.
    /// \param editor "admin" or a team name.
    /// \param base_revision section revision that the edit was made from.
    /// \param edit_id 1 to 64 characters of `[A-Za-z0-9_.-]`, unique among all
    /// edits.
    /// \param body section text of at most 64 KiB.
    /// \param why set if an argument is invalid.
    [[nodiscard]] static std::optional<config_edit>
    create(const section_name& section, std::string editor,
           std::uint64_t base_revision, std::string edit_id, std::string body,
           config_reason& why);

    /// Returns a copy signed with the key pair's private key.
    [[nodiscard]] config_edit sign(const key_pair& key) const;
    /// Returns whether the signature is valid for the public key.
    /// \param public_key_hex Ed25519 key, 64 hex digits.
    [[nodiscard]] bool verify(std::string_view public_key_hex) const;
    /// Returns the edit as a JSON log record, which `parse()` reads back.
    [[nodiscard]] std::string to_record() const;

    /// Returns the name of the section that the edit replaces or deletes.
    [[nodiscard]] const section_name& section() const
    {
        return this->section_value;
    }
    /// Returns the team name of the editor, or "admin".
    [[nodiscard]] const std::string& editor() const
    {
        return this->editor_value;
    }
    /// Returns the section revision that the edit was made from.
    [[nodiscard]] std::uint64_t base_revision() const
    {
        return this->base_revision_value;
    }
    /// Returns the id by which a record appended twice is detected.
    [[nodiscard]] const std::string& edit_id() const
    {
        return this->edit_id_value;
    }
    /// Returns the new section text; empty if the edit deletes the section.
    [[nodiscard]] const std::string& body() const { return this->body_value; }
    /// Returns the signature in hex; empty if the edit is unsigned.
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
