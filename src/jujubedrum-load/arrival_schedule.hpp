#pragma once

#include "base/time.hpp"
#include "model_options.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace jujubedrum
{

/// One task of an arriving job.
struct arriving_task
{
    std::string kind;
    /// Run time on the fastest server.
    microseconds work{};
    /// Run time that the caller declares, off by a factor of up to 3.
    microseconds declared{};
};

/// One arriving job.
struct arriving_job
{
    instant arrival_time{};
    bool repeatable = false;
    /// Entry instance that the load balancer chose.
    std::size_t instance = 0;
    std::vector<arriving_task> tasks;

    /// Returns the response time if every task ran on a fastest server at once.
    [[nodiscard]] microseconds ideal_response_time() const;
};

/// Jobs with Poisson arrivals, the same for every policy of a comparison.
class arrival_schedule
{
public:
    /// Returns the schedule for a profile, or nothing if it is unknown.
    /// \param capacity work done in a second by all servers, in seconds on a
    /// fastest server.
    static std::optional<arrival_schedule> make(const model_options& options,
                                                double capacity);

    [[nodiscard]] const std::vector<arriving_job>& jobs() const
    {
        return this->arrivals;
    }
    /// Returns the number of tasks of all jobs.
    [[nodiscard]] std::size_t tasks() const { return this->task_count; }
    /// Returns whether the results of a job count: the first tenth is left
    /// out, because the policies still learn run times.
    [[nodiscard]] bool measured(std::size_t job) const
    {
        return job >= this->arrivals.size() / 10;
    }

private:
    std::vector<arriving_job> arrivals;
    std::size_t task_count = 0;
};

} // namespace jujubedrum
