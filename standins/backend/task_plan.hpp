#pragma once

#include "backend/server_faults.hpp"
#include "backend/server_options.hpp"
#include "backend/standin_task.hpp"
#include "base/time.hpp"

#include <string>

namespace jujubedrum
{

/// Run time and result of a started task.
struct task_plan
{
    microseconds run_time{0};
    /// Error of a task that fails, empty if it succeeds.
    std::string error;

    /// Returns the plan of a task that starts now. The run time is the actual
    /// reference run time / speed x slow factor. A task whose lease is shorter
    /// ends with the lease and fails.
    static task_plan make(const standin_task& request,
                          const server_options& server,
                          const server_faults& faults);
};

} // namespace jujubedrum
