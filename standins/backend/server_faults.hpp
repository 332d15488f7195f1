#pragma once

#include <nlohmann/json.hpp>

namespace jujubedrum
{

/// Faults injected into a backend server stand-in through /control/faults.
struct server_faults
{
    /// Factor on the run time of tasks that start while it is set.
    double slow_factor = 1.0;
    /// Tasks that start while it is set fail after 1 ms.
    bool fail_all = false;
    /// New tasks and those that have not started are refused.
    bool draining = false;
    /// Number of further tasks that run but get no reply.
    long long drop_replies = 0;
    /// Delay before each reply, after the task has freed its slot.
    long long late_ms = 0;
    /// While set, no task starts and no request to run or stop a task is
    /// replied to. Running tasks continue.
    bool frozen = false;

    /// Sets the faults that are fields of the object and keeps the others.
    void update(const nlohmann::json& body);
    [[nodiscard]] nlohmann::json to_json() const;
};

} // namespace jujubedrum
