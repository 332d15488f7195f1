#include "arrival_schedule.hpp"

#include "base/random_source.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <string_view>

namespace jujubedrum
{

namespace
{

struct kind_profile
{
    std::string_view name;
    /// Share of all tasks.
    double share;
    double min_ms;
    double max_ms;
};

struct job_profile
{
    std::array<kind_profile, 4> kinds;
    /// Bound on the tasks of a job that is not huge.
    std::size_t max_tasks;
    /// Share of jobs with `huge_job_tasks` tasks.
    double huge_job_share;
    std::size_t huge_job_tasks;
};

constexpr job_profile rake{{{{"reading", 0.60, 50, 200},
                             {"clog_check", 0.25, 150, 500},
                             {"trip", 0.13, 300, 1000},
                             {"sweep", 0.02, 2000, 6000}}},
                           8,
                           0.0,
                           0};

constexpr job_profile orders{{{{"price", 0.50, 50, 200},
                               {"hold", 0.30, 100, 500},
                               {"slip", 0.185, 300, 1000},
                               {"audit", 0.015, 2000, 5000}}},
                             64,
                             0.001,
                             690};

class job_generator
{
public:
    job_generator(const job_profile& profile, const model_options& options)
        : profile(profile)
        , random(options.seed)
        , instances(options.instances)
    {
    }

    arriving_job next(instant arrival_time)
    {
        arriving_job job;
        job.arrival_time = arrival_time;
        job.repeatable = this->random.unit() < 0.7;
        job.instance = this->random.below(this->instances);
        const bool is_huge = this->random.unit() < this->profile.huge_job_share;
        const std::size_t size =
            is_huge ? this->profile.huge_job_tasks
                    : 1 + this->random.below(this->profile.max_tasks);
        for (std::size_t i = 0; i < size; ++i)
        {
            job.tasks.push_back(this->generate_task());
        }
        return job;
    }

    /// Returns a random time to the next arrival, exponentially distributed
    /// around the mean.
    microseconds interarrival_time(double mean_seconds)
    {
        const double seconds =
            -std::log(1.0 - this->random.unit()) * mean_seconds;
        return microseconds(static_cast<std::int64_t>(seconds * 1e6));
    }

    /// Returns the mean work of a job in seconds on a fastest server.
    [[nodiscard]] double mean_work() const
    {
        double work_ms = 0.0;
        for (const kind_profile& kind : this->profile.kinds)
        {
            work_ms += kind.share * (kind.min_ms + kind.max_ms) / 2;
        }
        const double mean_regular_tasks =
            (1.0 + static_cast<double>(this->profile.max_tasks)) / 2;
        const double size =
            mean_regular_tasks +
            this->profile.huge_job_share *
                (static_cast<double>(this->profile.huge_job_tasks) -
                 mean_regular_tasks);
        return work_ms / 1000.0 * size;
    }

private:
    arriving_task generate_task()
    {
        const kind_profile& kind = this->pick_kind();
        const double span = kind.max_ms - kind.min_ms;
        const double work_ms = kind.min_ms + this->random.unit() * span;
        const double error_factor =
            std::pow(3.0, 2.0 * this->random.unit() - 1.0);
        const auto in_microseconds = [](double ms)
        { return microseconds(static_cast<std::int64_t>(ms * 1000.0)); };
        return {std::string(kind.name), in_microseconds(work_ms),
                in_microseconds(work_ms * error_factor)};
    }

    const kind_profile& pick_kind()
    {
        double remaining_share = this->random.unit();
        for (const kind_profile& kind : this->profile.kinds)
        {
            remaining_share -= kind.share;
            if (remaining_share < 0.0)
            {
                return kind;
            }
        }
        return this->profile.kinds.front();
    }

    const job_profile& profile;
    random_source random;
    std::size_t instances;
};

} // namespace

microseconds arriving_job::ideal_response_time() const
{
    microseconds longest{};
    for (const arriving_task& task : this->tasks)
    {
        longest = std::max(longest, task.work);
    }
    return longest;
}

std::optional<arrival_schedule>
arrival_schedule::make(const model_options& options, double capacity)
{
    if (options.profile != "rake" && options.profile != "orders")
    {
        return std::nullopt;
    }
    job_generator generator(options.profile == "rake" ? rake : orders, options);
    const double mean_interarrival_seconds =
        generator.mean_work() / (options.load * capacity);
    arrival_schedule schedule;
    instant arrival_time{};
    while (schedule.task_count < options.tasks)
    {
        arrival_time += generator.interarrival_time(mean_interarrival_seconds);
        schedule.arrivals.push_back(generator.next(arrival_time));
        schedule.task_count += schedule.arrivals.back().tasks.size();
    }
    return schedule;
}

} // namespace jujubedrum
