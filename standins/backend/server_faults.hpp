#pragma once

#include <nlohmann/json.hpp>

namespace jujubedrum
{

/// Faults that a simulated backend server is told to show.
struct server_faults
{
    /// Multiplies the run time of tasks that start from now on.
    double slow_factor = 1.0;
    /// Every task fails shortly after its start.
    bool fail_all = false;
    /// Tasks that have not started are refused.
    bool draining = false;
    /// Number of tasks that run but get no reply.
    long long drop_replies = 0;
    /// Delay of each reply after the task has left its slot.
    long long late_ms = 0;
    /// No task starts and no reply is sent until the server thaws.
    bool frozen = false;

    /// Sets the faults that the object names and keeps the others.
    void update(const nlohmann::json& body);
    [[nodiscard]] nlohmann::json to_json() const;
};

} // namespace jujubedrum
