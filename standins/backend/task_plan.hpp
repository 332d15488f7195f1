#pragma once

#include "backend/server_faults.hpp"
#include "backend/server_options.hpp"
#include "backend/standin_task.hpp"
#include "base/time.hpp"

#include <string>

namespace jujubedrum
{

/// How long a started task runs and how it ends.
struct task_plan
{
    microseconds run_time{0};
    /// Error of a task that fails, or empty.
    std::string error;

    /// Decides it at the start of a task. The run time is the real reference
    /// run time / speed x slow factor, cut by the lease.
    static task_plan make(const standin_task& request,
                          const server_options& server,
                          const server_faults& faults);
};

} // namespace jujubedrum
