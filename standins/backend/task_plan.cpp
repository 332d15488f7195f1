#include "backend/task_plan.hpp"

namespace jujubedrum
{

namespace
{

constexpr microseconds failure_delay = milliseconds(1);

} // namespace

task_plan task_plan::make(const standin_task& request,
                          const server_options& server,
                          const server_faults& faults)
{
    if (faults.fail_all)
    {
        return {failure_delay, "failed"};
    }
    const double run_ms = request.actual_ms / server.speed * faults.slow_factor;
    task_plan plan{microseconds(static_cast<long long>(run_ms * 1000)), ""};
    if (request.fail)
    {
        plan.error = "failed";
    }
    // The memory guard stops a task while its usage grows, here halfway.
    if (request.use_memory_mb > request.memory_mb)
    {
        plan.run_time /= 2;
        plan.error = "memory_exceeded";
    }
    const microseconds lease = milliseconds(request.lease_ms);
    if (lease.count() > 0 && plan.run_time > lease)
    {
        plan = {lease, "lease_expired"};
    }
    return plan;
}

} // namespace jujubedrum
