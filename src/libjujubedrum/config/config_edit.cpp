#include "config/config_edit.hpp"

#include "config/json_text.hpp"

#include <algorithm>

namespace jujubedrum
{

namespace
{

using json = nlohmann::json;

constexpr std::size_t max_edit_id = 64;
// Keeps a snapshot of a few dozen sections within one log record of 16 MiB.
constexpr std::size_t max_body_bytes = 64 * 1024;

bool is_id_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '_' || c == '.' || c == '-';
}

bool is_edit_id(const std::string& text)
{
    return !text.empty() && text.size() <= max_edit_id &&
           std::all_of(text.begin(), text.end(), is_id_character);
}

bool is_editor(const std::string& text)
{
    return text == "admin" || section_name::is_team_name(text);
}

std::optional<std::string> text_at(const json& object, const std::string& key,
                                   config_reason& why)
{
    const auto at = object.find(key);
    if (at == object.end() || !at->is_string())
    {
        why = {config_error::malformed, pointer_to("", key),
               "missing, or not a string"};
        return std::nullopt;
    }
    return at->get<std::string>();
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
    const auto type = text_at(*object, "type", why);
    const auto section = text_at(*object, "section", why);
    const auto editor = text_at(*object, "editor", why);
    const auto edit_id = text_at(*object, "edit_id", why);
    const auto body = text_at(*object, "body", why);
    const auto signature = text_at(*object, "signature", why);
    if (!type || !section || !editor || !edit_id || !body || !signature)
    {
        return std::nullopt;
    }
    const auto base = object->find("base");
    if (*type != "edit" || base == object->end() || !base->is_number_unsigned())
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
    auto edit = config_edit::create(*name, *editor, base->get<std::uint64_t>(),
                                    *edit_id, *body, why);
    if (edit)
    {
        edit->signature_value = *signature;
    }
    return edit;
}

std::optional<config_edit>
config_edit::create(const section_name& section, std::string editor,
                    std::uint64_t base, std::string edit_id, std::string body,
                    config_reason& why)
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
    edit.base_value = base;
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
    record["base"] = this->base_value;
    record["edit_id"] = this->edit_id_value;
    record["body"] = this->body_value;
    record["signature"] = this->signature_value;
    return record.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string config_edit::signed_text() const
{
    // No field before the body may hold a line feed, so two different edits
    // never share a signed text.
    return this->section_value.text() + "\n" +
           std::to_string(this->base_value) + "\n" + this->edit_id_value +
           "\n" + this->body_value;
}

} // namespace jujubedrum
