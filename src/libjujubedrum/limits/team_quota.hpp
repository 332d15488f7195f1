#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubedrum
{

/// Entry instance in the platform's list, reachable or not, with its weight.
class weighted_instance
{
public:
    std::string name;
    double weight = 1;

    bool operator==(const weighted_instance&) const = default;
};

/// Limits of a team for the whole installation.
class quota_limits
{
public:
    double tasks_per_second = 0;
    std::uint64_t in_flight = 0;
    /// Bound on the number of tasks in one job of the team.
    std::uint64_t max_tasks_per_job = 690;

    bool operator==(const quota_limits&) const = default;
};

/// This instance's share of one team's quota: a token bucket for tasks per
/// second, whose tokens are taken when a job is admitted, and a cap on tasks in
/// flight.
class team_quota
{
public:
    explicit team_quota(quota_limits limits);

    /// Divides the quota by weight among all listed instances, including
    /// unreachable ones, so that a partition never raises the total.
    void set_share(const std::vector<weighted_instance>& listed,
                   std::string_view self, instant now);
    /// Replaces the team's limits; keeps the tasks in flight, and the tokens up
    /// to the new burst size.
    void set_limits(quota_limits limits, instant now);

    /// Takes tokens for all tasks of a job, or returns false and takes none.
    bool admit(std::uint64_t tasks, instant now);
    /// Puts back the tokens of a job that was admitted but not run.
    void refund(std::uint64_t tasks);
    /// Counts a task as in flight; returns false and counts nothing if the cap
    /// is reached.
    bool start_task();
    /// Counts a task as no longer in flight.
    void finish_task();

    /// Returns the share of this instance in tasks per second.
    [[nodiscard]] double rate() const { return this->rate_share; }
    /// Returns the bound on the tasks in flight of this instance.
    [[nodiscard]] std::uint64_t in_flight_cap() const { return this->cap; }
    /// Returns the number of tasks in flight.
    [[nodiscard]] std::uint64_t in_flight() const
    {
        return this->in_flight_count;
    }
    /// Returns the time until a job of that many tasks can be admitted, or
    /// nothing if it never can with the present limits.
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
