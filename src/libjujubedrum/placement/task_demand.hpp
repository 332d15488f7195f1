#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <string>

namespace jujubedrum
{

/// What placement needs to know about a task.
struct task_demand
{
    std::string kind;
    std::uint64_t memory_mb = 0;
    /// Run time declared by the caller; often far off.
    microseconds declared{};
    bool repeatable = false;

    bool operator==(const task_demand&) const = default;
};

} // namespace jujubedrum
