#include "dispatch/pooled_job.hpp"

#include <algorithm>
#include <utility>

namespace jujubedrum
{

namespace
{

milliseconds since(instant start, instant now)
{
    return std::chrono::duration_cast<milliseconds>(now - start);
}

} // namespace

pooled_job pooled_job::create(job_request request, const job_terms& terms,
                              const job_origin& origin, instant now)
{
    pooled_job job;
    job.request = std::move(request);
    for (const job_step& step : job.request.steps)
    {
        job.tasks.emplace_back(step.count);
    }
    job.reopen(terms, origin, now);
    return job;
}

void pooled_job::reopen(const job_terms& limits, const job_origin& from,
                        instant now)
{
    this->terms = limits;
    this->origin = from;
    this->answered = false;
    this->first_start.reset();
    this->starts = 0;
    this->unconfirmed_stops = 0;
    this->unfinished.clear();
    for (const job_step& step : this->request.steps)
    {
        this->unfinished.push_back(step.count);
    }
    for (auto& step : this->tasks)
    {
        for (pooled_task& task : step)
        {
            task.failures = 0;
            if (!task.on_server())
            {
                task.state = task_state::blocked;
            }
        }
    }
    this->set_times(now);
    this->unblock();
}

void pooled_job::set_times(instant now)
{
    this->submitted = now;
    this->objective_at = now - this->terms.waited + this->objective();
    this->latest_start = this->objective_at - this->critical_path();
    this->deadline = now + this->terms.time_left;
}

void pooled_job::unblock()
{
    this->waiting = 0;
    for (std::size_t step = 0; step < this->tasks.size(); ++step)
    {
        const auto& after = this->request.steps[step].after;
        const bool ready = std::all_of(after.begin(), after.end(),
                                       [this](std::uint32_t s)
                                       { return this->unfinished[s] == 0; });
        for (pooled_task& task : this->tasks[step])
        {
            if (ready && task.state == task_state::blocked)
            {
                task.state = task_state::waiting;
            }
            this->waiting += task.state == task_state::waiting ? 1 : 0;
        }
    }
}

bool pooled_job::complete() const
{
    return std::all_of(this->unfinished.begin(), this->unfinished.end(),
                       [](std::uint32_t count) { return count == 0; });
}

std::uint64_t pooled_job::waiting_cpu() const
{
    std::uint64_t cpu = 0;
    for (std::size_t step = 0; step < this->tasks.size(); ++step)
    {
        for (const pooled_task& task : this->tasks[step])
        {
            if (task.state == task_state::waiting)
            {
                cpu += this->request.steps[step].demand.cpu;
            }
        }
    }
    return cpu;
}

milliseconds pooled_job::critical_path() const
{
    std::vector<milliseconds> end_of;
    milliseconds longest{0};
    for (const job_step& step : this->request.steps)
    {
        milliseconds begin{0};
        for (const std::uint32_t earlier : step.after)
        {
            begin = std::max(begin, end_of[earlier]);
        }
        end_of.push_back(begin + step.estimate);
        longest = std::max(longest, end_of.back());
    }
    return longest;
}

milliseconds pooled_job::objective() const
{
    const double stretched = this->terms.stretch *
                             static_cast<double>(this->critical_path().count());
    return milliseconds(static_cast<long>(stretched)) + this->terms.target;
}

job_report pooled_job::report(instant now) const
{
    job_report result;
    result.id = this->request.id;
    result.queued = since(this->submitted, this->first_start.value_or(now));
    result.total = since(this->submitted, now);
    for (const auto& step : this->tasks)
    {
        result.tasks += static_cast<std::uint32_t>(step.size());
    }
    result.starts = this->starts;
    result.unconfirmed_stops = this->unconfirmed_stops;
    result.objective = this->objective();
    result.last_server = this->last_server;
    result.expected_wait = this->expected_wait;
    result.free_cpu = this->free_cpu;
    result.servers = this->servers;
    result.priority = this->terms.priority;
    return result;
}

} // namespace jujubedrum
