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
    /// Whether the task tests an ejected server.
    bool probe = false;
    /// Identifies the start within the policy that chose the server.
    std::uint64_t start_id = 0;

    bool operator==(const slot_choice&) const = default;
};

} // namespace jujubedrum
