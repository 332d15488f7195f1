#include "report_command.hpp"

#include "entry_options.hpp"
#include "output.hpp"

#include <iostream>

namespace jujubedrum
{

namespace
{

constexpr int indent_width = 2;

} // namespace

std::vector<option_spec> report_command::options() const
{
    return entry_options("5000");
}

exit_code report_command::run(const command_line& line)
{
    std::string error;
    auto client = open_entry(line, error);
    if (!client)
    {
        return print_error(line, exit_code::usage, "", error);
    }
    entry_reason why;
    const std::string path = "/v1/admin/" + this->name_value;
    const auto reply = client->call(
        "GET", path, "", std::chrono::milliseconds(line.number("deadline-ms")),
        why);
    if (!reply)
    {
        return print_error(line, exit_code::unreachable, why);
    }
    if (reply->status != 200 || !reply->body.is_structured())
    {
        return print_error(line, exit_code::refused, "GET " + path,
                           "status " + std::to_string(reply->status) + " " +
                               reply->text);
    }
    std::cout << reply->body.dump(
                     line.has("json") ? -1 : indent_width, ' ', false,
                     nlohmann::ordered_json::error_handler_t::replace)
              << "\n";
    return exit_code::success;
}

} // namespace jujubedrum
