#include "publish_command.hpp"

#include "file_text.hpp"
#include "output.hpp"
#include "platform_options.hpp"

#include "base/hex.hpp"
#include "config/json_text.hpp"
#include "config/validate_section.hpp"

#include <array>
#include <thread>

#include <openssl/rand.h>

namespace jujubedrum
{

namespace
{

using steady = std::chrono::steady_clock;

constexpr std::chrono::milliseconds retry_backoff(100);
constexpr std::chrono::milliseconds verdict_read_timeout(500);

std::string random_edit_id()
{
    std::array<unsigned char, 16> bytes{};
    return RAND_bytes(bytes.data(), bytes.size()) == 1
               ? to_hex(bytes.data(), bytes.size())
               : std::string();
}

// Returns the text of the section. If the file is a whole document, the section
// is taken from it and empty if the document lacks it; any other file is the
// section itself. Only documents have the key "system" or "teams".
std::string extract_section(const std::string& text,
                            const section_name& section)
{
    config_reason ignored;
    const auto object = parse_json_object(text, ignored);
    if (!object || (!object->contains("system") && !object->contains("teams")))
    {
        return text;
    }
    const auto parts = member_texts(text);
    const auto part = parts.find(section.is_system() ? "system" : "teams");
    if (part == parts.end() || section.is_system())
    {
        return part == parts.end() ? std::string() : part->second;
    }
    const auto teams = member_texts(part->second);
    const auto team = teams.find(section.team());
    return team == teams.end() ? std::string() : team->second;
}

exit_code print_verdict(const command_line& line, const config_log& log,
                        const config_edit& edit, const edit_report& report)
{
    const std::string section = edit.section().text();
    nlohmann::ordered_json result;
    result["verdict"] = to_string(report.verdict);
    result["section"] = section;
    result["edit_id"] = edit.edit_id();
    result["base"] = edit.base_revision();
    // Later edits may already have changed the section, so the revision is
    // computed from the offset of this edit. An edit that is known only from a
    // snapshot has no offset; the present revision is printed for it.
    const bool accepted = report.verdict == edit_verdict::accepted;
    result["revision"] = accepted && report.offset > 0
                             ? report.offset + 1
                             : log.fold().document().section_revision(section);
    if (accepted)
    {
        print_result(line, result);
        return exit_code::success;
    }
    result["error"] = report.reason.text();
    result["where"] = report.reason.where();
    print_result(line, result);
    return exit_code::refused;
}

} // namespace

std::vector<option_spec> publish_command::options() const
{
    using kind = option_spec::kind;
    std::vector<option_spec> specs = platform_options();
    specs[1].help += " Needed unless the editor is admin.";
    specs.push_back({.name = "section",
                     .type = kind::text,
                     .placeholder = "SECTION",
                     .help = "system or teams/NAME.",
                     .required = true});
    specs.push_back({.name = "editor",
                     .type = kind::text,
                     .placeholder = "EDITOR",
                     .help = "admin or a team name.",
                     .required = true});
    specs.push_back({.name = "key",
                     .type = kind::text,
                     .placeholder = "FILE",
                     .help = "The editor's private key.",
                     .required = true});
    specs.push_back({.name = "file",
                     .type = kind::text,
                     .placeholder = "FILE",
                     .help = "The section, or a document that holds it."});
    specs.push_back({.name = "delete", .help = "Delete the section instead."});
    specs.push_back({.name = "base",
                     .type = kind::number,
                     .placeholder = "N",
                     .help = "Section revision the edit was made from; "
                             "without it, the present one."});
    specs.push_back({.name = "edit-id",
                     .type = kind::text,
                     .placeholder = "ID",
                     .help = "Id of an earlier try of this edit; without it, "
                             "a random one."});
    return specs;
}

exit_code publish_command::run(const command_line& line)
{
    const auto section = section_name::parse(line.text("section"));
    if (!section || line.has("file") == line.has("delete"))
    {
        return print_error(line, exit_code::usage,
                           section ? "--file" : "--section",
                           section ? "give either --file or --delete"
                                   : "not system or teams/NAME");
    }
    std::string error;
    const auto key_text = read_file(line.text("key"), error);
    const auto file = line.has("file") ? read_file(line.text("file"), error)
                                       : std::optional(std::string());
    if (!key_text || !file)
    {
        return print_error(line, exit_code::usage, "", error);
    }
    config_reason why;
    const auto key = key_pair::from_private_key(*key_text, why);
    if (!key)
    {
        return print_error(line, exit_code::usage, "--key", why.text());
    }
    const std::string body = extract_section(*file, *section);
    if (!line.has("delete") && !validate_section(*section, body, why))
    {
        return print_error(line, exit_code::refused, why);
    }
    return this->publish(line, *section, body, *key);
}

exit_code publish_command::publish(const command_line& line,
                                   const section_name& section,
                                   const std::string& body, const key_pair& key)
{
    const bool by_admin = line.text("editor") == "admin";
    if (!by_admin && !line.has("admin-public-key"))
    {
        return print_error(line, exit_code::usage, "--admin-public-key",
                           "required for an editor other than admin");
    }
    const auto platform = endpoint::parse(line.text("platform"));
    if (!platform || !is_admin_key_valid(line))
    {
        return print_error(line, exit_code::usage, "",
                           platform_usage_error(platform.has_value()));
    }
    platform_client client(platform->address, platform->port);
    config_log log(client, line.has("admin-public-key")
                               ? line.text("admin-public-key")
                               : key.public_key());
    platform_reason failure;
    const auto deadline =
        steady::now() + std::chrono::milliseconds(line.number("deadline-ms"));
    if (!log.read_to_end(deadline, failure))
    {
        return print_error(line, exit_code::unreachable, failure);
    }
    config_reason why;
    const auto edit = config_edit::create(
        section, line.text("editor"),
        line.has("base")
            ? line.number("base")
            : log.fold().document().section_revision(section.text()),
        line.has("edit-id") ? line.text("edit-id") : random_edit_id(), body,
        why);
    if (!edit)
    {
        return print_error(line, exit_code::usage, why);
    }
    return this->append(line, client, log, edit->sign(key));
}

exit_code publish_command::append(const command_line& line,
                                  platform_client& client, config_log& log,
                                  const config_edit& edit)
{
    const auto deadline =
        steady::now() + std::chrono::milliseconds(line.number("deadline-ms"));
    const std::string record = edit.to_record();
    platform_reason why;
    bool sent = false;
    bool appended = false;
    auto report = log.fold().report(edit.edit_id());
    while (!report && steady::now() < deadline)
    {
        // After a lost reply it is unknown whether the record is on the log.
        // Appending it again is harmless, as it has the same edit id.
        if (!appended)
        {
            appended = client.append("config", record, why).has_value();
            sent = sent || appended || why.code() == platform_error::timeout ||
                   why.code() == platform_error::malformed;
        }
        if (!log.read(verdict_read_timeout, why))
        {
            std::this_thread::sleep_for(retry_backoff);
        }
        report = log.fold().report(edit.edit_id());
    }
    if (report)
    {
        return print_verdict(line, log, edit, *report);
    }
    if (!sent)
    {
        return print_error(line, exit_code::unreachable, why);
    }
    return print_error(line, exit_code::in_progress, why.where(),
                       "no verdict yet; try again with --edit-id " +
                           edit.edit_id() + " --base " +
                           std::to_string(edit.base_revision()));
}

} // namespace jujubedrum
