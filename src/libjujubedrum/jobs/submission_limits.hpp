#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace jujubedrum
{

/// Limits for the values of a submission.
class submission_limits
{
public:
    std::size_t max_tasks = 690;
    std::size_t max_payload_bytes = 64UL * 1024;
    std::size_t max_body_bytes = 8UL * 1024 * 1024;
    /// Maximum nesting depth of JSON arrays and objects in a body.
    std::size_t max_depth = 64;
    milliseconds min_run_time{1};
    milliseconds max_run_time{60'000};
    /// Memory of the largest backend server, in megabytes.
    std::uint32_t max_memory_mb = 64 * 1024;
    milliseconds max_deadline{600'000};
    milliseconds max_wait{60'000};

    bool operator==(const submission_limits&) const = default;
};

/// Optional settings of a task, specified by the caller or set as defaults in
/// the configuration of a team.
class task_options
{
public:
    std::optional<bool> repeatable;
    std::optional<milliseconds> run_time;
    std::optional<std::uint32_t> memory_mb;

    bool operator==(const task_options&) const = default;
};

/// Returns the default options of a team for a kind of task; all of them are
/// empty for an unknown team or kind.
using default_options_lookup = std::function<task_options(
    const std::string& team, const std::string& kind)>;

} // namespace jujubedrum
