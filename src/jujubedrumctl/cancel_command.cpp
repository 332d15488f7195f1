#include "cancel_command.hpp"

#include "entry_options.hpp"
#include "job_client.hpp"
#include "output.hpp"

namespace jujubedrum
{

std::vector<option_spec> cancel_command::options() const
{
    return entry_options("10000");
}

exit_code cancel_command::run(const command_line& line)
{
    std::string error;
    auto client = open_entry(line, error);
    if (!client || !is_job_id(line.operand(0)))
    {
        return print_error(line, exit_code::usage, "",
                           client ? "not a job id: expected 1 to 128 letters, "
                                    "digits, '_', '.', ':' or '-'"
                                  : error);
    }
    job_client jobs(*client,
                    std::chrono::milliseconds(line.number("deadline-ms")));
    entry_reason why;
    const auto reply =
        jobs.call("DELETE", "/v1/jobs/" + line.operand(0), "", why);
    if (!reply)
    {
        return print_error(line,
                           jobs.has_unanswered_call() ? exit_code::in_progress
                                                      : exit_code::unreachable,
                           why);
    }
    print_reply(line, *reply);
    // The cancellation itself succeeded, whatever the outcome of the job.
    return reply->status / 100 == 2 ? exit_code::success
                                    : reply_exit_code(*reply);
}

} // namespace jujubedrum
