#include "show_command.hpp"

#include "config_log.hpp"
#include "output.hpp"
#include "platform_options.hpp"

#include <iostream>

namespace jujubedrum
{

namespace
{

void print_document(const command_line& line, const document& shown)
{
    if (!line.has("json"))
    {
        std::cout << shown.text();
        return;
    }
    nlohmann::ordered_json result;
    result["revision"] = shown.revision();
    result["sections"] = nlohmann::ordered_json::object();
    std::vector<std::string> names = {"system"};
    for (const std::string& team : shown.team_names())
    {
        names.push_back("teams/" + team);
    }
    for (const std::string& name : names)
    {
        result["sections"][name] = {{"revision", shown.section_revision(name)},
                                    {"text", shown.section_text(name)}};
    }
    print_result(line, result);
}

} // namespace

std::vector<option_spec> show_command::options() const
{
    std::vector<option_spec> specs = platform_options();
    specs[1].required = true;
    specs.push_back({.name = "section",
                     .type = option_spec::kind::text,
                     .placeholder = "SECTION",
                     .help = "Print only this section, exactly as written."});
    return specs;
}

exit_code show_command::run(const command_line& line)
{
    const auto platform = endpoint::parse(line.text("platform"));
    if (!platform || !is_admin_key_valid(line))
    {
        return print_error(line, exit_code::usage, "",
                           platform_usage_error(platform.has_value()));
    }
    platform_client client(platform->address, platform->port);
    config_log log(client, line.text("admin-public-key"));
    platform_reason why;
    const auto deadline = std::chrono::steady_clock::now() +
                          std::chrono::milliseconds(line.number("deadline-ms"));
    if (!log.read_to_end(deadline, why))
    {
        return print_error(line, exit_code::unreachable, why);
    }
    const document& shown = log.fold().document();
    if (!line.has("section"))
    {
        print_document(line, shown);
        return exit_code::success;
    }
    const std::string text = shown.section_text(line.text("section"));
    if (text.empty())
    {
        return print_error(line, exit_code::refused, line.text("section"),
                           "no such section");
    }
    if (!line.has("json"))
    {
        std::cout << text;
        return exit_code::success;
    }
    print_result(line,
                 {{"section", line.text("section")},
                  {"revision", shown.section_revision(line.text("section"))},
                  {"text", text}});
    return exit_code::success;
}

} // namespace jujubedrum
