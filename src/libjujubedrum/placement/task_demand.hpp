#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <string>

namespace jujubedrum
{

/// Properties of a task that placement depends on.
struct task_demand
{
    std::string kind;
    std::uint64_t memory_mb = 0;
    /// Run time declared by the caller; often far from the actual one.
    microseconds declared{};
    bool repeatable = false;
    /// Time at which the job arrived.
    instant submitted{};
    /// Expected run time of the longest task of the job at slowness 1; 0 if
    /// unknown. A job ends with its last task, so shorter ones may take longer
    /// without delaying it.
    microseconds job_run_time{};

    /// Returns the time by which the task should end. Waiting tasks are started
    /// in this order, so that small jobs overtake large ones, and all are
    /// delayed by about the same multiple of their ideal response time.
    [[nodiscard]] instant due() const
    {
        return this->submitted + 2 * this->job_run_time;
    }

    bool operator==(const task_demand&) const = default;
};

} // namespace jujubedrum
