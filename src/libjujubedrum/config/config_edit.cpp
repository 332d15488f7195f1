#include "config/config_edit.hpp"

#include "config/json_text.hpp"

#include <algorithm>

namespace jujubedrum
{

namespace
{

using json = nlohmann::json;

constexpr std::size_t max_edit_id_chars = 64;
// A snapshot holds one body per section and must fit into one log record of
// 16 MiB, with a few dozen sections.
constexpr std::size_t max_body_bytes = 64 * 1024;

bool is_id_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '_' || c == '.' || c == '-';
}

bool is_edit_id(const std::string& text)
{
    return !text.empty() && text.size() <= max_edit_id_chars &&
           std::all_of(text.begin(), text.end(), is_id_character);
}

bool is_editor(const std::string& text)
{
    return text == "admin" || section_name::is_team_name(text);
}

std::optional<std::string>
read_string(const json& object, const std::string& key, config_reason& why)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_string())
    {
        why = {config_error::malformed, child_pointer("", key),
               "missing, or not a string"};
        return std::nullopt;
    }
    return found->get<std::string>();
}

} // namespace

std::optional<config_edit> config_edit::parse(std::string_view record,
                                              config_reason& why)
{
    const auto object = parse_json_object(record, why);
    if (!object)
    {
        return std::nullopt;
    }
    const auto type = read_string(*object, "type", why);
    const auto section = read_string(*object, "section", why);
    const auto editor = read_string(*object, "editor", why);
    const auto edit_id = read_string(*object, "edit_id", why);
    const auto body = read_string(*object, "body", why);
    const auto signature = read_string(*object, "signature", why);
    if (!type || !section || !editor || !edit_id || !body || !signature)
    {
        return std::nullopt;
    }
    const auto base_revision = object->find("base");
    if (*type != "edit" || base_revision == object->end() ||
        !base_revision->is_number_unsigned())
    {
        why = {config_error::malformed, *type == "edit" ? "/base" : "/type",
               *type == "edit" ? "missing, or not a revision" : "not an edit"};
        return std::nullopt;
    }
    const auto name = section_name::parse(*section);
    if (!name)
    {
        why = {config_error::unknown_section, "/section",
               "a section is \"system\" or \"teams/NAME\""};
        return std::nullopt;
    }
    auto edit =
        config_edit::create(*name, *editor, base_revision->get<std::uint64_t>(),
                            *edit_id, *body, why);
    if (edit)
    {
        edit->signature_value = *signature;
    }
    return edit;
}

std::optional<config_edit>
config_edit::create(const section_name& section, std::string editor,
                    std::uint64_t base_revision, std::string edit_id,
                    std::string body, config_reason& why)
{
    if (!is_editor(editor))
    {
        why = {config_error::malformed, "/editor",
               "an editor is \"admin\" or a team name"};
        return std::nullopt;
    }
    if (!is_edit_id(edit_id))
    {
        why = {config_error::malformed, "/edit_id",
               "an edit id is 1 to 64 characters of [A-Za-z0-9_.-]"};
        return std::nullopt;
    }
    if (body.size() > max_body_bytes)
    {
        why = {config_error::malformed, "/body", "longer than 64 KiB"};
        return std::nullopt;
    }
    config_edit edit(section);
    edit.editor_value = std::move(editor);
    edit.base_revision_value = base_revision;
    edit.edit_id_value = std::move(edit_id);
    edit.body_value = std::move(body);
    return edit;
}

config_edit config_edit::sign(const key_pair& key) const
{
    config_edit signed_edit = *this;
    signed_edit.signature_value = key.sign(this->signed_text());
    return signed_edit;
}

bool config_edit::verify(std::string_view public_key_hex) const
{
    return key_pair::verify(public_key_hex, this->signed_text(),
                            this->signature_value);
}

std::string config_edit::to_record() const
{
    nlohmann::ordered_json record;
    record["type"] = "edit";
    record["section"] = this->section_value.text();
    record["editor"] = this->editor_value;
    record["base"] = this->base_revision_value;
    record["edit_id"] = this->edit_id_value;
    record["body"] = this->body_value;
    record["signature"] = this->signature_value;
    return record.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string config_edit::signed_text() const
{
    // The fields before the body contain no line feed, so two different edits
    // never have the same signed text.
    return this->section_value.text() + "\n" +
           std::to_string(this->base_revision_value) + "\n" +
           this->edit_id_value + "\n" + this->body_value;
}

} // namespace jujubedrum
