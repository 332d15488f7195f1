#include "submit_command.hpp"

#include "entry_options.hpp"
#include "file_text.hpp"
#include "job_client.hpp"
#include "output.hpp"

#include "config/json_text.hpp"

namespace jujubedrum
{

namespace
{

using json = nlohmann::json;

constexpr std::size_t max_body_bytes = 8 * 1024 * 1024;

std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// Returns the first id in a reply to POST /v1/ids; empty if there is none.
std::string first_id(const entry_reply& reply)
{
    if (reply.status != 200 || !reply.body.is_object())
    {
        return {};
    }
    const auto ids = reply.body.find("ids");
    const bool listed = ids != reply.body.end() && ids->is_array() &&
                        !ids->empty() && ids->front().is_string();
    return listed ? ids->front().get<std::string>() : std::string();
}

} // namespace

std::vector<option_spec> submit_command::options() const
{
    return entry_options("30000");
}

exit_code submit_command::run(const command_line& line)
{
    std::string error;
    auto client = open_entry(line, error);
    const auto text = read_file(line.operand(0), error);
    if (!client || !text)
    {
        return print_error(line, exit_code::usage, "", error);
    }
    config_reason why;
    auto job = parse_json_object(*text, why, max_body_bytes);
    if (!job)
    {
        return print_error(line, exit_code::refused, why);
    }
    job_client jobs(*client,
                    std::chrono::milliseconds(line.number("deadline-ms")));
    if (!job->contains("id"))
    {
        // With an id, a submission whose reply is lost can be sent again
        // without running the job twice.
        entry_reason failure;
        const auto reply =
            jobs.call("POST", "/v1/ids", "{\"count\":1}", failure);
        if (!reply)
        {
            return print_error(line, exit_code::unreachable, failure);
        }
        (*job)["id"] = first_id(*reply);
        if (!is_job_id((*job)["id"]))
        {
            print_reply(line, *reply);
            const exit_code code = reply_exit_code(*reply);
            return code == exit_code::success ? exit_code::not_run : code;
        }
    }
    else if (!job->contains("created_at_ms"))
    {
        (*job)["created_at_ms"] = now_ms();
    }
    const json id = (*job)["id"];
    if (!id.is_string() || !is_job_id(id))
    {
        return print_error(line, exit_code::refused, "/id",
                           "not a job id: expected 1 to 128 letters, digits, "
                           "'_', '.', ':' or '-'");
    }
    return jobs.submit(line, id, job->dump());
}

} // namespace jujubedrum
