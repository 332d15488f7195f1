#include "perfect_replay.hpp"

#include <algorithm>

namespace jujubedrum
{

perfect_replay::perfect_replay(const model_cluster& cluster,
                               const arrival_schedule& schedule,
                               bool longest_first)
    : cluster(cluster)
    , schedule(schedule)
    , longest_first(longest_first)
{
    for (const backend_server& server : cluster.servers())
    {
        this->free_slots.push_back(server.slots());
    }
    for (const arriving_job& job : schedule.jobs())
    {
        this->unfinished_tasks.push_back(job.tasks.size());
    }
}

model_result perfect_replay::run()
{
    this->scheduler.schedule_at(this->schedule.jobs().front().arrival_time,
                                [this] { this->on_job_arrival(0); });
    this->scheduler.run();
    model_result result;
    result.policy = this->longest_first ? "perfect_longest" : "perfect";
    result.all = latency_summary(std::move(this->ratios));
    result.repeatable = latency_summary(std::move(this->repeatable_ratios));
    result.tasks = this->schedule.tasks();
    return result;
}

void perfect_replay::on_job_arrival(std::size_t job)
{
    const arriving_job& arrival = this->schedule.jobs()[job];
    std::vector<waiting_task> tasks;
    for (const arriving_task& task : arrival.tasks)
    {
        tasks.push_back({job, task.work});
    }
    if (this->longest_first)
    {
        std::stable_sort(tasks.begin(), tasks.end(),
                         [](const waiting_task& a, const waiting_task& b)
                         { return a.work > b.work; });
    }
    this->waiting.insert(this->waiting.end(), tasks.begin(), tasks.end());
    this->dispatch();
    if (job + 1 < this->schedule.jobs().size())
    {
        this->scheduler.schedule_at(this->schedule.jobs()[job + 1].arrival_time,
                                    [this, job]
                                    { this->on_job_arrival(job + 1); });
    }
}

void perfect_replay::dispatch()
{
    const instant now = this->scheduler.now();
    while (!this->waiting.empty())
    {
        std::size_t best = this->free_slots.size();
        double best_slowness = 0.0;
        for (std::size_t i = 0; i < this->free_slots.size(); ++i)
        {
            const double slowness = this->cluster.slowness(i, now);
            if (this->free_slots[i] > 0 &&
                (best == this->free_slots.size() || slowness < best_slowness))
            {
                best = i;
                best_slowness = slowness;
            }
        }
        if (best == this->free_slots.size())
        {
            return;
        }
        const waiting_task task = this->waiting.front();
        this->waiting.pop_front();
        --this->free_slots[best];
        const microseconds run_time(static_cast<std::int64_t>(
            static_cast<double>(task.work.count()) * best_slowness));
        this->scheduler.schedule_at(now + run_time, [this, best, job = task.job]
                                    { this->on_task_finished(best, job); });
    }
}

void perfect_replay::on_task_finished(std::size_t server, std::size_t job)
{
    ++this->free_slots[server];
    if (--this->unfinished_tasks[job] == 0 && this->schedule.measured(job))
    {
        const arriving_job& arrival = this->schedule.jobs()[job];
        const double ratio =
            static_cast<double>(
                (this->scheduler.now() - arrival.arrival_time).count()) /
            static_cast<double>(arrival.ideal_response_time().count());
        this->ratios.push_back(ratio);
        if (arrival.repeatable)
        {
            this->repeatable_ratios.push_back(ratio);
        }
    }
    this->dispatch();
}

} // namespace jujubedrum
