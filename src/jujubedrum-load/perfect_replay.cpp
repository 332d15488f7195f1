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
        this->free.push_back(server.slots());
    }
    for (const arriving_job& job : schedule.jobs())
    {
        this->left.push_back(job.tasks.size());
    }
}

model_result perfect_replay::run()
{
    this->loop.at(this->schedule.jobs().front().at,
                  [this] { this->arrive(0); });
    this->loop.run();
    model_result result;
    result.policy = this->longest_first ? "perfect_longest" : "perfect";
    result.all = latency_summary(std::move(this->ratios));
    result.repeatable = latency_summary(std::move(this->repeatable_ratios));
    result.tasks = this->schedule.tasks();
    return result;
}

void perfect_replay::arrive(std::size_t job)
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
        this->loop.at(this->schedule.jobs()[job + 1].at,
                      [this, job] { this->arrive(job + 1); });
    }
}

void perfect_replay::dispatch()
{
    const instant now = this->loop.now();
    while (!this->waiting.empty())
    {
        std::size_t best = this->free.size();
        double best_slowness = 0.0;
        for (std::size_t i = 0; i < this->free.size(); ++i)
        {
            const double slowness = this->cluster.slowness(i, now);
            if (this->free[i] > 0 &&
                (best == this->free.size() || slowness < best_slowness))
            {
                best = i;
                best_slowness = slowness;
            }
        }
        if (best == this->free.size())
        {
            return;
        }
        const waiting_task task = this->waiting.front();
        this->waiting.pop_front();
        --this->free[best];
        const microseconds run_time(static_cast<std::int64_t>(
            static_cast<double>(task.work.count()) * best_slowness));
        this->loop.at(now + run_time, [this, best, job = task.job]
                      { this->finish(best, job); });
    }
}

void perfect_replay::finish(std::size_t server, std::size_t job)
{
    ++this->free[server];
    if (--this->left[job] == 0 && this->schedule.measured(job))
    {
        const arriving_job& arrival = this->schedule.jobs()[job];
        const double ratio =
            static_cast<double>((this->loop.now() - arrival.at).count()) /
            static_cast<double>(arrival.ideal().count());
        this->ratios.push_back(ratio);
        if (arrival.repeatable)
        {
            this->repeatable_ratios.push_back(ratio);
        }
    }
    this->dispatch();
}

} // namespace jujubedrum
