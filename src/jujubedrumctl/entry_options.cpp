#include "entry_options.hpp"

#include "file_text.hpp"
#include "output.hpp"

#include <algorithm>

namespace jujubedrum
{

namespace
{

using json = nlohmann::ordered_json;

constexpr std::size_t max_job_id_length = 128;

bool is_id_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '_' || c == '.' || c == ':' ||
           c == '-';
}

std::string trim_end(std::string text)
{
    const std::size_t last = text.find_last_not_of(" \t\r\n");
    text.resize(last == std::string::npos ? 0 : last + 1);
    return text;
}

exit_code status_exit_code(int status)
{
    switch (status)
    {
    case 202:
        return exit_code::in_progress;
    case 422:
    case 429:
    case 503:
        return exit_code::not_run;
    default:
        return status / 100 == 2   ? exit_code::success
               : status / 100 == 4 ? exit_code::refused
                                   : exit_code::failed;
    }
}

} // namespace

std::vector<option_spec> entry_options(const std::string& deadline_ms)
{
    using kind = option_spec::kind;
    return {{.name = "entry",
             .type = kind::text,
             .placeholder = "ADDRESS:PORT",
             .help = "The entry instance; a numeric IP address.",
             .required = true},
            {.name = "token",
             .type = kind::text,
             .placeholder = "TOKEN",
             .help = "The caller's token; other users can see it here."},
            {.name = "token-file",
             .type = kind::text,
             .placeholder = "FILE",
             .help = "File that holds the caller's token."},
            {.name = "deadline-ms",
             .type = kind::number,
             .placeholder = "MS",
             .help = "Longest time to try.",
             .default_value = deadline_ms}};
}

std::optional<entry_client> open_entry(const command_line& line,
                                       std::string& why)
{
    const auto target = endpoint::parse(line.text("entry"));
    if (!target)
    {
        why = "--entry: not a numeric ADDRESS:PORT";
        return std::nullopt;
    }
    if (!line.has("token-file"))
    {
        return entry_client(*target, line.text("token"));
    }
    const auto token = read_file(line.text("token-file"), why);
    if (!token)
    {
        return std::nullopt;
    }
    return entry_client(*target, trim_end(*token));
}

bool is_job_id(const std::string& text)
{
    return !text.empty() && text.size() <= max_job_id_length &&
           std::all_of(text.begin(), text.end(), is_id_character);
}

exit_code reply_exit_code(const entry_reply& reply)
{
    const json outcome =
        reply.body.is_object() ? reply.body.value("outcome", json()) : json();
    if (outcome == "complete")
    {
        return exit_code::success;
    }
    if (outcome == "not_run")
    {
        return exit_code::not_run;
    }
    if (outcome == "failed")
    {
        return exit_code::failed;
    }
    return outcome == "in_progress" ? exit_code::in_progress
                                    : status_exit_code(reply.status);
}

void print_reply(const command_line& line, const entry_reply& reply)
{
    if (reply.body.is_object())
    {
        print_result(line, reply.body);
        return;
    }
    print_result(line, {{"status", reply.status}, {"text", reply.text}});
}

} // namespace jujubedrum
