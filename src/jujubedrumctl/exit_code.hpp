#pragma once

namespace jujubedrum
{

/// Exit status of jujubedrumctl.
enum class exit_code
{
    success = 0,
    usage = 1,       ///< wrong command, option or file name
    refused = 2,     ///< the input is invalid or the request was refused
    not_run = 3,     ///< no task of the job has run
    failed = 4,      ///< the job failed; some of its tasks may have run
    in_progress = 5, ///< no outcome yet; repeat with the same id
    unreachable = 6, ///< no connection to the platform or the instance
};

} // namespace jujubedrum
