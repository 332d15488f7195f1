#pragma once

#include "latency_summary.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace jujubedrum
{

/// Outcome of one policy in the model.
struct model_result
{
    std::string policy;
    latency_summary all;
    /// Jobs of repeatable tasks only.
    latency_summary repeatable;
    std::size_t tasks = 0;
    /// One-way messages by cause, other than the task and its answer.
    std::map<std::string, std::size_t> messages;

    /// Returns the messages per task of one cause, or of all if empty.
    [[nodiscard]] double messages_per_task(const std::string& cause = "") const;
};

} // namespace jujubedrum
