#include "answer_command.hpp"

#include "entry_options.hpp"
#include "job_client.hpp"
#include "output.hpp"

namespace jujubedrum
{

std::vector<option_spec> answer_command::options() const
{
    return entry_options("30000");
}

exit_code answer_command::run(const command_line& line)
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
    return jobs.collect(line, line.operand(0));
}

} // namespace jujubedrum
