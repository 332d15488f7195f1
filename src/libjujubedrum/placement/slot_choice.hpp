#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <string>

namespace jujubedrum
{

/// Server chosen for one task.
struct slot_choice
{
    std::string server;
    /// Expected run time of the task on that server.
    microseconds expected{};
    /// Whether the task is the probe of an ejected server.
    bool probe = false;
    /// Identifies this start; unique within the policy that chose the server.
    std::uint64_t start_id = 0;

    bool operator==(const slot_choice&) const = default;
};

} // namespace jujubedrum
