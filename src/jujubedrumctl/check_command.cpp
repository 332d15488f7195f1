#include "check_command.hpp"

#include "file_text.hpp"
#include "output.hpp"

#include "config/json_text.hpp"
#include "config/settings.hpp"
#include "config/validate_section.hpp"

#include <algorithm>
#include <array>

namespace jujubedrum
{

namespace
{

// Returns the kind of the text, detected by its top-level keys: no key occurs
// in two of the schemas.
std::string detect_kind(std::string_view text)
{
    config_reason ignored;
    const auto object = parse_json_object(text, ignored);
    const auto has_key = [&object](const char* key)
    { return object && object->contains(key); };
    if (has_key("system") || has_key("teams"))
    {
        return "document";
    }
    if (has_key("instance") || has_key("platform"))
    {
        return "settings";
    }
    const std::array<const char*, 3> keys = {"team_keys", "objective",
                                             "limits"};
    return std::any_of(keys.begin(), keys.end(), has_key) ? "system"
                                                          : "teams/any";
}

bool check(const std::string& kind, std::string_view text, config_reason& why)
{
    if (kind == "document")
    {
        return validate_document(text, why);
    }
    if (kind == "settings")
    {
        return settings::load(text, why).has_value();
    }
    const auto name = section_name::parse(kind);
    if (!name)
    {
        why = {config_error::unknown_section, "",
               "no such section: \"" + kind + "\""};
        return false;
    }
    return validate_section(*name, text, why);
}

} // namespace

std::vector<option_spec> check_command::options() const
{
    return {{.name = "as",
             .type = option_spec::kind::text,
             .placeholder = "KIND",
             .help = "document, settings, system or teams/NAME; without it, "
                     "the keys tell."}};
}

exit_code check_command::run(const command_line& line)
{
    std::string error;
    const auto text = read_file(line.operand(0), error);
    if (!text)
    {
        return print_error(line, exit_code::usage, "", error);
    }
    const std::string kind =
        line.has("as") ? line.text("as") : detect_kind(*text);
    config_reason why;
    if (!check(kind, *text, why))
    {
        return print_error(line, exit_code::refused, why);
    }
    print_result(line, {{"result", "valid"},
                        {"kind", kind == "teams/any" ? "team" : kind}});
    return exit_code::success;
}

} // namespace jujubedrum
