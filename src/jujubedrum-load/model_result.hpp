#pragma once

#include "latency_summary.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace jujubedrum
{

/// Figures of one simulated policy.
struct model_result
{
    std::string policy;
    latency_summary all;
    /// Only jobs whose tasks are repeatable.
    latency_summary repeatable;
    std::size_t tasks = 0;
    /// Numbers of one-way messages by cause, without those that carry a task or
    /// its answer.
    std::map<std::string, std::size_t> messages;

    /// Returns the messages per task of a cause, or of all causes if it is
    /// empty.
    [[nodiscard]] double messages_per_task(const std::string& cause = "") const;
};

} // namespace jujubedrum
