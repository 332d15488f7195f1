#include "limits/admission.hpp"

#include <algorithm>

namespace jujubedrum
{

admission::admission(std::size_t max_queued_tasks)
    : max_queued(max_queued_tasks)
{
}

void admission::set_weight(const std::string& team, double weight)
{
    // Queued tasks are divided by the weight: 0 would make the load infinite.
    this->weights[team] = std::max(weight, 0.001);
}

admission_verdict admission::check(const submission& job,
                                   std::optional<milliseconds> deadline,
                                   const capacity_view& capacity,
                                   const run_time_estimator& expected) const
{
    microseconds max_run_time{0};
    for (const task_spec& task : job.tasks())
    {
        if (capacity.max_server_memory_mb > 0 &&
            task.memory_mb() > capacity.max_server_memory_mb)
        {
            return admission_verdict::never_runs;
        }
        max_run_time = std::max<microseconds>(
            max_run_time, expected ? expected(task) : task.run_time());
    }
    const microseconds min_response_time(static_cast<std::int64_t>(
        static_cast<double>(max_run_time.count()) / capacity.max_server_speed));
    if (deadline && *deadline < min_response_time)
    {
        return admission_verdict::never_runs;
    }
    if (this->queued_tasks + job.tasks().size() > this->max_queued)
    {
        return admission_verdict::queue_full;
    }
    if (deadline &&
        this->estimated_wait(capacity) + min_response_time > *deadline)
    {
        return admission_verdict::deadline_too_near;
    }
    return admission_verdict::admitted;
}

void admission::on_queued(const std::string& team, std::size_t tasks,
                          microseconds run_time)
{
    this->queued_tasks += tasks;
    this->queued_work += run_time * static_cast<std::int64_t>(tasks);
    this->queued_by_team[team] += tasks;
}

void admission::on_dequeued(const std::string& team, std::size_t tasks,
                            microseconds run_time)
{
    const auto found = this->queued_by_team.find(team);
    if (found == this->queued_by_team.end())
    {
        return;
    }
    tasks = std::min(tasks, found->second);
    found->second -= tasks;
    if (found->second == 0)
    {
        this->queued_by_team.erase(found);
    }
    this->queued_tasks -= tasks;
    this->queued_work -= run_time * static_cast<std::int64_t>(tasks);
    // Estimates may change while a task is queued, so added and subtracted run
    // times can differ; an empty queue resets the difference.
    if (this->queued_tasks == 0 || this->queued_work < microseconds(0))
    {
        this->queued_work = microseconds(0);
    }
}

microseconds admission::estimated_wait(const capacity_view& capacity) const
{
    if (capacity.slots == 0)
    {
        // A peer may still lend slots, so no wait is estimated; the bound on
        // queued tasks limits how many wait for them.
        return microseconds(0);
    }
    return this->queued_work / static_cast<std::int64_t>(capacity.slots);
}

std::optional<std::string> admission::team_to_shed(const std::string& candidate,
                                                   std::size_t tasks) const
{
    double max_load = static_cast<double>(this->queued(candidate) + tasks) /
                      this->weight(candidate);
    std::optional<std::string> result;
    for (const auto& [team, queued] : this->queued_by_team)
    {
        const double load = static_cast<double>(queued) / this->weight(team);
        if (team != candidate && load > max_load)
        {
            max_load = load;
            result = team;
        }
    }
    return result;
}

std::size_t admission::queued(const std::string& team) const
{
    const auto found = this->queued_by_team.find(team);
    return found == this->queued_by_team.end() ? 0 : found->second;
}

double admission::weight(const std::string& team) const
{
    const auto found = this->weights.find(team);
    return found == this->weights.end() ? 1.0 : found->second;
}

} // namespace jujubedrum
