#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubedrum
{

/// An entry instance on the platform's list, reachable or not.
class weighted_instance
{
public:
    std::string name;
    double weight = 1;

    bool operator==(const weighted_instance&) const = default;
};

/// Limits of a team over the whole installation.
class quota_limits
{
public:
    double tasks_per_second = 0;
    std::uint64_t in_flight = 0;
    /// Largest number of tasks in one job of the team.
    std::uint64_t max_tasks_per_job = 690;

    bool operator==(const quota_limits&) const = default;
};

/// This instance's share of one team's quota: a token bucket for tasks per
/// second, taken when a job is admitted, and a cap of tasks in flight.
class team_quota
{
public:
    explicit team_quota(quota_limits limits);

    /// Divides the quota by weight among all listed instances, including
    /// unreachable ones, so that a partition never raises the total.
    void set_share(const std::vector<weighted_instance>& listed,
                   std::string_view self, instant now);
    /// Replaces the team's limits, keeping tasks in flight and the tokens.
    void set_limits(quota_limits limits, instant now);

    /// Takes tokens for all tasks of a job, or returns false and takes none.
    bool admit(std::uint64_t tasks, instant now);
    /// Returns tokens of a job that was admitted but not run.
    void refund(std::uint64_t tasks);
    /// Counts a task as in flight, or returns false at the cap.
    bool start_task();
    /// Ends a task in flight.
    void finish_task();

    /// Returns tasks per second of this instance's share.
    [[nodiscard]] double rate() const { return this->rate_share; }
    /// Returns the largest number of tasks in flight of this share.
    [[nodiscard]] std::uint64_t in_flight_cap() const { return this->cap; }
    /// Returns the tasks in flight.
    [[nodiscard]] std::uint64_t in_flight() const
    {
        return this->in_flight_count;
    }
    /// Returns the time until a job of that many tasks could be admitted;
    /// empty if it never can.
    [[nodiscard]] std::optional<microseconds>
    time_until_admission(std::uint64_t tasks, instant now);

private:
    [[nodiscard]] double burst() const;
    void refill(instant now);
    void divide();

    quota_limits limits;
    std::vector<weighted_instance> listed;
    std::string self;
    double rate_share = 0;
    std::uint64_t cap = 0;
    std::uint64_t in_flight_count = 0;
    double tokens = 0;
    std::optional<instant> refilled_at;
};

} // namespace jujubedrum
