#pragma once

#include "config/config_error.hpp"
#include "config/kind_settings.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubedrum
{

/// Settings of a team, read from its section "teams/NAME".
class team_settings
{
public:
    /// Returns the settings in the section text, with defaults for absent keys.
    /// \param why set if the text is not JSON or does not match the schema.
    [[nodiscard]] static std::optional<team_settings>
    parse(std::string_view text, config_reason& why);

    /// Returns the quota of task starts per second, summed over all instances.
    [[nodiscard]] std::uint32_t tasks_per_second() const
    {
        return this->tasks_per_second_value;
    }
    /// Returns the quota of running tasks, summed over all instances.
    [[nodiscard]] std::uint32_t tasks_in_flight() const
    {
        return this->tasks_in_flight_value;
    }
    /// Returns the weight that determines the team's share of the queue,
    /// relative to the other teams' weights.
    [[nodiscard]] std::uint32_t weight() const { return this->weight_value; }
    /// Returns the SHA-256 digests of the callers' tokens, lower-case hex.
    [[nodiscard]] const std::vector<std::string>& caller_token_sha256() const
    {
        return this->caller_token_sha256_value;
    }
    /// Returns the maximum number of tasks in a job.
    [[nodiscard]] std::uint32_t max_tasks_per_job() const
    {
        return this->max_tasks_per_job_value;
    }
    /// Returns the deadline, counted from arrival, of a job that states none.
    [[nodiscard]] std::chrono::milliseconds default_deadline() const
    {
        return this->default_deadline_value;
    }
    /// Returns the declared task kinds by name.
    [[nodiscard]] const std::map<std::string, kind_settings>& kinds() const
    {
        return this->kinds_value;
    }
    /// Returns the declared kind, or a null pointer if there is none.
    [[nodiscard]] const kind_settings* find_kind(const std::string& name) const;

    bool operator==(const team_settings&) const = default;

private:
    std::uint32_t tasks_per_second_value = 1000;
    std::uint32_t tasks_in_flight_value = 2000;
    std::uint32_t weight_value = 1;
    std::vector<std::string> caller_token_sha256_value;
    std::uint32_t max_tasks_per_job_value = 690;
    std::chrono::milliseconds default_deadline_value{10000};
    std::map<std::string, kind_settings> kinds_value;
};

} // namespace jujubedrum
