#pragma once

#include "base/time.hpp"
#include "jobs/submission_limits.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace jujubedrum
{

/// One task of a job as submitted, completed with the defaults of the team.
class task_spec
{
public:
    /// Memory in megabytes if neither the task nor the team specifies it.
    static constexpr std::uint32_t default_memory_mb = 256;
    /// Run time if neither the task nor the team specifies it.
    static constexpr milliseconds default_run_time{200};

    task_spec() = default;
    /// \param payload a JSON value as compact text.
    /// \param specified the options that the caller specified.
    /// \param team the default options of the team for this kind.
    task_spec(std::string kind, std::string payload, task_options specified,
              const task_options& team);

    /// Returns the kind of the task, a name chosen by the team.
    [[nodiscard]] const std::string& kind() const { return this->kind_value; }
    /// Returns the payload: a JSON value as compact text.
    [[nodiscard]] const std::string& payload() const
    {
        return this->payload_value;
    }
    /// Returns the declared memory in megabytes.
    [[nodiscard]] std::uint32_t memory_mb() const
    {
        return this->memory_mb_value;
    }
    /// Returns the declared run time.
    [[nodiscard]] milliseconds run_time() const { return this->run_time_value; }
    /// Returns whether the task may be started more than once. False unless
    /// the task or the configuration of the team sets it.
    [[nodiscard]] bool repeatable() const { return this->repeatable_value; }
    /// Returns the options that the caller specified, without the defaults of
    /// the team.
    [[nodiscard]] const task_options& specified() const
    {
        return this->specified_values;
    }

    /// Returns the task as JSON with only the specified options.
    [[nodiscard]] std::string to_json() const;

    bool operator==(const task_spec&) const = default;

private:
    std::string kind_value;
    std::string payload_value = "null";
    task_options specified_values;
    std::uint32_t memory_mb_value = default_memory_mb;
    milliseconds run_time_value = default_run_time;
    bool repeatable_value = false;
};

} // namespace jujubedrum
