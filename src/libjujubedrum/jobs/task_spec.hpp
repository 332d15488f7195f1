#pragma once

#include "base/time.hpp"
#include "jobs/submission_limits.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace jujubedrum
{

/// One task of a job, as submitted and with the team's defaults filled in.
class task_spec
{
public:
    /// Memory in megabytes when neither the task nor the team states it.
    static constexpr std::uint32_t default_memory_mb = 256;
    /// Run time when neither the task nor the team states it.
    static constexpr milliseconds default_run_time{200};

    task_spec() = default;
    /// \param payload a JSON value as compact text.
    /// \param stated the values the caller stated.
    /// \param team the defaults of the team for this kind.
    task_spec(std::string kind, std::string payload, task_options specified,
              const task_options& team);

    /// Returns the kind of the task, a name of the team's choice.
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
    /// the task or the team's configuration says otherwise.
    [[nodiscard]] bool repeatable() const { return this->repeatable_value; }
    /// Returns only what the caller stated, without the team's defaults.
    [[nodiscard]] const task_options& specified() const
    {
        return this->specified_values;
    }

    /// Returns the task as JSON with the stated values only.
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
