#pragma once

#include "base/time.hpp"
#include "model_options.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace jujubedrum
{

struct arriving_task
{
    std::string kind;
    /// Run time on the fastest server.
    microseconds work{};
    /// Run time that the caller declares; it is wrong by a factor of up to 3
    /// in either direction.
    microseconds declared{};
};

/// A job, the time when it arrives and the instance that receives it.
struct arriving_job
{
    /// Time since the start of the schedule.
    instant arrival_time{};
    bool repeatable = false;
    /// Index of the entry instance, chosen at random as by a load balancer.
    std::size_t instance = 0;
    std::vector<arriving_task> tasks;

    /// Returns the response time of a job whose tasks all start on arrival, on
    /// fastest servers: the run time of its longest task.
    [[nodiscard]] microseconds ideal_response_time() const;
};

/// Jobs with Poisson arrivals. Equal options give equal jobs, so that all
/// policies of a comparison are measured on the same load.
class arrival_schedule
{
public:
    /// Returns the schedule of the profile that the options name, or nothing
    /// if there is no such profile.
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
    /// Returns whether a job counts in the results. The first tenth of the jobs
    /// is excluded as warm-up, while the policies have few run times to
    /// estimate from.
    [[nodiscard]] bool measured(std::size_t job) const
    {
        return job >= this->arrivals.size() / 10;
    }

private:
    std::vector<arriving_job> arrivals;
    std::size_t task_count = 0;
};

} // namespace jujubedrum
