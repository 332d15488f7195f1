#pragma once

#include "config/config_error.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace jujubedrum
{

/// Optimisation goal of placement.
enum class objective
{
    response_time, ///< shorter response times, more hedges and messages
    messages,      ///< fewer wasted messages, longer response times
};

/// Settings that hold for every team, read from section "system".
class system_settings
{
public:
    /// Returns the settings in the section text, with defaults for absent keys.
    /// \param why set if the text is not JSON or does not match the schema.
    [[nodiscard]] static std::optional<system_settings>
    parse(std::string_view text, config_reason& why);

    /// Returns the public keys of the teams by team name, 64 hex digits each.
    [[nodiscard]] const std::map<std::string, std::string>& team_keys() const
    {
        return this->team_keys_value;
    }
    /// Returns the team's public key, or an empty string if it has none.
    [[nodiscard]] std::string find_team_key(const std::string& team) const;

    /// Returns the optimisation goal of placement.
    [[nodiscard]] enum objective objective() const
    {
        return this->objective_value;
    }
    /// Returns the maximum number of tasks in a job.
    [[nodiscard]] std::uint32_t max_tasks_per_job() const
    {
        return this->max_tasks_per_job_value;
    }
    /// Returns the maximum payload of a task, in bytes.
    [[nodiscard]] std::uint32_t max_payload_bytes() const
    {
        return this->max_payload_bytes_value;
    }
    /// Returns the maximum body size of a submission, in bytes.
    [[nodiscard]] std::uint32_t max_body_bytes() const
    {
        return this->max_body_bytes_value;
    }
    /// Returns the maximum run time that a task may declare.
    [[nodiscard]] std::chrono::milliseconds max_run_time() const
    {
        return this->max_run_time_value;
    }
    /// Returns the maximum number of queued, unstarted tasks per instance.
    [[nodiscard]] std::uint32_t max_queued_tasks() const
    {
        return this->max_queued_tasks_value;
    }
    /// Returns the maximum number of retries and hedges, in percent of first
    /// starts.
    [[nodiscard]] std::uint32_t retry_percent() const
    {
        return this->retry_percent_value;
    }

    bool operator==(const system_settings&) const = default;

private:
    std::map<std::string, std::string> team_keys_value;
    enum objective objective_value = objective::response_time;
    std::uint32_t max_tasks_per_job_value = 690;
    std::uint32_t max_payload_bytes_value = 64 * 1024;
    std::uint32_t max_body_bytes_value = 8 * 1024 * 1024;
    std::chrono::milliseconds max_run_time_value{60000};
    std::uint32_t max_queued_tasks_value = 20000;
    std::uint32_t retry_percent_value = 10;
};

} // namespace jujubedrum
