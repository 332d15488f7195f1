#include "dispatch/pool_schedule.hpp"

#include <algorithm>
#include <limits>

namespace jujubedrum
{

namespace
{

/// Expected rest of a run that has taken longer than expected, as a share of
/// the time it has taken. Declared times are wrong by a factor of about e^0.4.
constexpr double overdue_rest_share = 0.25;
/// Time to stop a run and see that it is gone.
constexpr milliseconds stop_time{60};
/// Weight of unused capacity that is left on a server, as a share of the run
/// time: decides between servers that end a task at about the same time.
constexpr double best_fit_weight = 0.08;
/// As in `server_chooser`: avoids the server where the task failed.
constexpr double repeat_factor = 2.5;
/// With a standard deviation of 0.4 of the logarithm, the mean ratio of actual
/// to declared run times, which the slowdown of a server follows, is above the
/// median by this factor. Objectives follow the declared times as well, so the
/// median decides whether a job meets its own.
constexpr double mean_to_median = 1.083;
/// Added to the score of a server on which the task would miss the objective.
constexpr double misses_objective_ms = 1e6;
/// Added for a task that would wait while it can meet the objective elsewhere
/// at once: when capacity becomes free is less certain than that it is free.
constexpr double waits_ms = 1e5;

instant after(instant start, double ms)
{
    return start + microseconds(static_cast<long>(ms * 1000));
}

double ms_of(instant from, instant to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

bool covers(const resource_amounts& all, const resource_amounts& demand)
{
    return all.cpu >= demand.cpu && all.memory_mb >= demand.memory_mb &&
           all.gpu >= demand.gpu;
}

void add(std::uint32_t& sum, std::uint32_t more)
{
    // Reserved amounts never exceed the capacity, but a restarted server may
    // announce less than runs hold.
    sum += std::min(more, std::numeric_limits<std::uint32_t>::max() - sum);
}

void add(resource_amounts& sum, const resource_amounts& more)
{
    add(sum.cpu, more.cpu);
    add(sum.memory_mb, more.memory_mb);
    add(sum.gpu, more.gpu);
}

std::uint32_t take_from(std::uint32_t& available, std::uint32_t wanted)
{
    const std::uint32_t taken = std::min(available, wanted);
    available -= taken;
    return wanted - taken;
}

} // namespace

pool_schedule::pool_schedule(const server_chooser& of_tasks,
                             const late_starts& unanswered_starts)
    : chooser(of_tasks)
    , unanswered(unanswered_starts)
{
}

void pool_schedule::reset(held_servers& held, instant at)
{
    this->now = at;
    this->count = 0;
    this->used = 0;
    this->planned.clear();
    this->servers.resize(std::max(this->servers.size(), held.size()));
    for (auto& [id, server] : held)
    {
        if (!server.record.usable(at))
        {
            continue;
        }
        planned_server& on = this->servers[this->used++];
        on.server = &server;
        on.changed = false;
        this->add_runs(on);
    }
}

void pool_schedule::add_runs(planned_server& on) const
{
    on.releases.clear();
    on.releases.push_back({this->now, on.server->record.free_amounts()});
    for (const task_ref& ref : on.server->runs)
    {
        const pooled_task& task = ref.task();
        const double ran = ms_of(task.started, this->now);
        const instant end =
            task.state == task_state::stopping
                ? this->now + stop_time
                : after(this->now, std::max(task.expected_ms - ran,
                                            overdue_rest_share * ran));
        on.releases.push_back({end, ref.spec().demand});
    }
    std::sort(on.releases.begin() + 1, on.releases.end(),
              [](const release& left, const release& right)
              { return left.at < right.at; });
}

job_plan pool_schedule::plan(pooled_job& job, std::uint64_t max_number,
                             bool without_later)
{
    this->only_now = without_later;
    for (std::size_t i = 0; i < this->used; ++i)
    {
        this->servers[i].changed = false;
    }
    this->planned.clear();
    job_plan result{true, this->now, this->now};
    for (std::uint32_t step = 0; step < job.tasks.size(); ++step)
    {
        const bool waits =
            std::any_of(job.tasks[step].begin(), job.tasks[step].end(),
                        [](const pooled_task& task)
                        { return task.state == task_state::waiting; });
        if (waits && !this->plan_step(job, step, max_number, result))
        {
            result.known = false;
        }
    }
    return result;
}

bool pool_schedule::plan_step(pooled_job& job, std::uint32_t index,
                              std::uint64_t max_number, job_plan& result)
{
    const job_step& step = job.request.steps[index];
    const milliseconds rest = job.path_after(index);
    const instant due = std::min(job.objective_at, job.deadline) - rest;
    this->candidates.clear();
    for (std::size_t i = 0; i < this->used; ++i)
    {
        planned_server& on = this->servers[i];
        if (on.server->number > max_number ||
            !server_chooser::is_eligible(*on.server, job, step, this->now))
        {
            continue;
        }
        candidate added;
        added.on = &on;
        added.run_ms =
            this->chooser.expected_ms(on.server->record, step) / mean_to_median;
        added.places = server_chooser::places_left(*on.server, job, step);
        this->update(added, step, due);
        this->candidates.push_back(added);
    }
    for (std::uint32_t i = 0; i < job.tasks[index].size(); ++i)
    {
        const pooled_task& task = job.tasks[index][i];
        if (task.state != task_state::waiting)
        {
            continue;
        }
        candidate* best = this->best_for(
            task,
            this->unanswered.server_of({job.request.id, index, i}, this->now));
        if (best == nullptr)
        {
            return false;
        }
        ++this->count;
        planned_server& on = *best->on;
        if (!on.changed)
        {
            on.changed = true;
            on.saved = on.releases;
        }
        this->planned.push_back({{&job, index, i}, on.server, best->start});
        result.end = std::max(result.end, best->end + rest);
        result.last_start = std::max(result.last_start, best->start);
        take(on, step.demand, best->start, best->end);
        --best->places;
        this->update(*best, step, due);
    }
    return true;
}

void pool_schedule::update(candidate& of, const job_step& step,
                           instant due) const
{
    of.fits = false;
    if (of.places == 0)
    {
        return;
    }
    resource_amounts free;
    for (const release& each : of.on->releases)
    {
        add(free, each.amount);
        if (covers(free, step.demand))
        {
            of.fits = true;
            of.start = each.at;
            break;
        }
    }
    of.fits = of.fits && (!this->only_now || of.start <= this->now);
    if (!of.fits)
    {
        return;
    }
    of.end = after(of.start, of.run_ms);
    const double left = static_cast<double>(free.cpu - step.demand.cpu) /
                        std::max(1.0, static_cast<double>(step.demand.cpu));
    of.score = ms_of(this->now, of.end) + best_fit_weight * of.run_ms * left +
               (of.end > due           ? misses_objective_ms
                : of.start > this->now ? waits_ms
                                       : 0);
}

pool_schedule::candidate*
pool_schedule::best_for(const pooled_task& task,
                        const std::optional<std::string>& only_on)
{
    const bool retried = task.failures + task.moves > 0;
    candidate* best = nullptr;
    double best_score = std::numeric_limits<double>::max();
    for (candidate& each : this->candidates)
    {
        const std::string& id = each.on->server->record.info().id;
        if (!each.fits || (only_on && id != *only_on))
        {
            continue;
        }
        const bool repeats = retried && id == task.server;
        const double score =
            each.score + (repeats ? (repeat_factor - 1) * each.run_ms : 0);
        if (score < best_score)
        {
            best = &each;
            best_score = score;
        }
    }
    return best;
}

void pool_schedule::take(planned_server& on, const resource_amounts& demand,
                         instant start, instant end)
{
    // What becomes free last is taken first, so that the rest stays free
    // earlier.
    resource_amounts left = demand;
    auto at =
        std::find_if(on.releases.rbegin(), on.releases.rend(),
                     [start](const release& each) { return each.at <= start; });
    for (; at != on.releases.rend(); ++at)
    {
        left.cpu = take_from(at->amount.cpu, left.cpu);
        left.memory_mb = take_from(at->amount.memory_mb, left.memory_mb);
        left.gpu = take_from(at->amount.gpu, left.gpu);
    }
    const auto position = std::upper_bound(
        on.releases.begin(), on.releases.end(), end,
        [](instant time, const release& each) { return time < each.at; });
    on.releases.insert(position, {end, demand});
}

void pool_schedule::undo()
{
    for (std::size_t i = 0; i < this->used; ++i)
    {
        planned_server& on = this->servers[i];
        if (on.changed)
        {
            on.changed = false;
            std::swap(on.releases, on.saved);
        }
    }
    this->planned.clear();
}

} // namespace jujubedrum
