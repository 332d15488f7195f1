#include "dispatch/pool_dispatcher.hpp"

#include "dispatch/next_attempt.hpp"
#include "dispatch/retry_delay.hpp"
#include "dispatch/trust_review.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace jujubedrum
{

namespace
{

/// For a server that had no capacity, or on which a start request expired:
/// about the run time of a short task.
constexpr milliseconds no_capacity_backoff{25};
/// Starts of a task after which a refusal for want of capacity frees it from
/// the server of an unanswered start: with the backoff, after 0.25 s or more.
constexpr std::uint32_t min_refused_starts = 10;
/// For a server that has a fault or is overloaded (429, 503).
constexpr milliseconds unhealthy_backoff{250};
/// Interval at which runs are compared with their expected run time.
constexpr milliseconds overdue_check_interval{40};
/// A run is overdue after this multiple of its expected run time, and at least
/// this much later. Declared run times are wrong by a factor of about 1.4.
constexpr double overdue_factor = 2.5;
constexpr double overdue_slack_ms = 100;
/// Runs of a task that may be stopped as overdue. More would repeat the work of
/// tasks that are merely long.
constexpr std::uint32_t max_moves = 2;
/// Share of the objective after which a waiting job is refused if it can no
/// longer meet it. A caller refused much later has no time to go elsewhere.
constexpr double refusal_delay_share = 0.2;
/// Time for the messages of a start and of its end.
constexpr milliseconds message_time{3};
/// A waiting job is kept until it is expected to miss its objective by this
/// share, as estimates change with every run that ends.
constexpr double lateness_tolerance = 0.1;
/// A late job is worth something to its caller up to this multiple of the
/// objective.
constexpr int late_value_factor = 3;
/// Share of a run time by which the declared one may well be too long: 1 -
/// e^-0.4.
constexpr double overestimate_share = 0.33;
/// Recent demand, as a multiple of the capacity, from which capacity that is
/// free is needed by the jobs that arrive next.
constexpr double full_pressure = 0.85;
constexpr const char* recall_reason = "recalled";
/// While capacity is short, jobs of the second highest priority are queued only
/// if this share of the time that they can spare is left for more urgent jobs
/// that arrive later, and those of each lower priority only if more is. Without
/// it, displaced jobs are given up late: at 1.5 times the capacity, 0.09 of all
/// jobs instead of 0.004 (tests/unit/dispatch/load_replay).
constexpr double spare_share = 1.0;
constexpr double spare_share_step = 0.4;
/// Tasks planned at once, for each server: far more than can meet an objective.
constexpr std::size_t max_planned_per_server = 64;
/// Bounds of the time after which a refused caller may try again.
constexpr milliseconds min_retry_after{100};
constexpr milliseconds max_retry_after{3000};

/// Tasks of a remote job start and run only while the last confirmation of its
/// accepting instance is at most this old. Confirmations follow each other
/// after at most 300 ms and are up to 150 ms old when they are sent.
constexpr milliseconds max_confirmation_age{1000};
/// Time to stop a run: two requests of 65 ms, and 50 ms at the server.
constexpr milliseconds max_stop_time{180};
static_assert(max_confirmation_age + overdue_check_interval + max_stop_time <
                  min_next_attempt_delay,
              "a run must end before its next attempt may run elsewhere");
/// Confirmations may be ahead of the own clock by the drift of the clocks. One
/// that is further ahead shows that a clock stood still.
constexpr milliseconds max_clock_drift{50};

/// Returns when a caller may try again that was refused for this wait. Servers
/// that are unusable for the moment may be back soon.
milliseconds retry_after(milliseconds wait)
{
    return wait == unknown_wait
               ? min_retry_after
               : std::clamp(wait, min_retry_after, max_retry_after);
}

microseconds share_of(double share, milliseconds whole)
{
    return microseconds(static_cast<long>(
        share * static_cast<double>(microseconds(whole).count())));
}

} // namespace

pool_dispatcher::pool_dispatcher(const dispatch_options& settings,
                                 task_launcher& orders, job_listener& results)
    : lease_expiry(settings.lease_expiry)
    , rates_servers(settings.server_trust)
    , order_by_caller_cost(settings.order_by_caller_cost)
    , max_start_delay(settings.max_start_delay)
    , launcher(orders)
    , listener(results)
    , chooser(settings.far_factor)
    , schedule(this->chooser, this->unanswered_starts)
{
}

void pool_dispatcher::set_server(const server_info& info)
{
    const auto at = this->servers.find(info.id);
    if (at == this->servers.end())
    {
        server_record record(info, this->rates_servers);
        record.set_evacuated(this->is_evacuated(info.domain));
        this->servers.emplace(info.id, held_server{std::move(record), {}, 0});
        return;
    }
    at->second.record.set_info(info);
    at->second.record.set_evacuated(this->is_evacuated(info.domain));
}

bool pool_dispatcher::is_evacuated(const std::string& domain) const
{
    return !this->evacuated || this->evacuated->count(domain) > 0;
}

void pool_dispatcher::set_evacuated_domains(
    std::optional<std::set<std::string>> domains, instant now)
{
    this->evacuated = std::move(domains);
    for (auto& [id, server] : this->servers)
    {
        server.record.set_evacuated(
            this->is_evacuated(server.record.info().domain));
    }
    this->pump(now);
}

bool pool_dispatcher::fits_outside_evacuation(const pooled_job& job) const
{
    return std::all_of(
        job.request.steps.begin(), job.request.steps.end(),
        [this, &job](const job_step& step)
        {
            return std::any_of(
                this->servers.begin(), this->servers.end(),
                [&](const auto& entry)
                {
                    const server_record& server = entry.second.record;
                    const server_info& info = server.info();
                    return !server.is_evacuated() && !info.draining &&
                           info.service == job.terms.service &&
                           step.demand.cpu <= info.capacity.cpu &&
                           step.demand.memory_mb <= info.capacity.memory_mb &&
                           step.demand.gpu <= info.capacity.gpu &&
                           (step.label.empty() || info.has_label(step.label));
                });
        });
}

void pool_dispatcher::hand_back_evacuated(instant now)
{
    if (std::none_of(this->servers.begin(), this->servers.end(),
                     [](const auto& entry)
                     { return entry.second.record.is_evacuated(); }))
    {
        return;
    }
    std::vector<std::string> unservable;
    for (const auto& [key, job] : this->queue)
    {
        if (job->on_servers == 0 && !this->fits_outside_evacuation(*job))
        {
            unservable.push_back(job->request.id);
        }
    }
    for (const std::string& id : unservable)
    {
        const auto at = this->jobs.find(id);
        if (at != this->jobs.end() && !at->second->answered)
        {
            pooled_job& job = *at->second;
            this->finish(job,
                         job.starts == 0 ? job_outcome::refused
                                         : job_outcome::handed_back,
                         "failure domain evacuated", min_retry_after, now);
        }
    }
}

void pool_dispatcher::set_server_number(const std::string& id,
                                        std::uint64_t number)
{
    if (held_server* server = this->find_server(id))
    {
        server->number = number;
    }
}

void pool_dispatcher::set_seen_number(std::uint64_t instance,
                                      std::uint64_t number)
{
    std::uint64_t& seen = this->seen_numbers[instance];
    seen = std::max(seen, number);
}

std::uint64_t pool_dispatcher::seen_number(std::uint64_t instance) const
{
    const auto at = this->seen_numbers.find(instance);
    return at == this->seen_numbers.end()
               ? std::numeric_limits<std::uint64_t>::max()
               : at->second;
}

bool pool_dispatcher::has_unseen_runs(const pooled_job& job,
                                      std::uint64_t instance) const
{
    const std::uint64_t seen = this->seen_number(instance);
    return std::any_of(this->servers.begin(), this->servers.end(),
                       [&job, seen](const auto& entry)
                       {
                           const held_server& server = entry.second;
                           return server.number > seen &&
                                  std::any_of(server.runs.begin(),
                                              server.runs.end(),
                                              [&job](const task_ref& ref)
                                              { return ref.job == &job; });
                       });
}

void pool_dispatcher::remove_server(const std::string& id, instant now)
{
    if (const held_server* held = this->find_server(id))
    {
        const std::vector<task_ref> runs = held->runs;
        for (const task_ref& ref : runs)
        {
            this->release_run(ref, now);
        }
    }
    this->servers.erase(id);
}

void pool_dispatcher::abandon_server(const std::string& id, instant now)
{
    held_server* server = this->find_server(id);
    if (server == nullptr)
    {
        return;
    }
    std::set<std::string> affected;
    for (const task_ref& ref : server->runs)
    {
        affected.insert(ref.job->request.id);
    }
    for (const std::string& job : affected)
    {
        this->abandoned_jobs[job] = now + this->lease_expiry;
        this->cancel(job, "the pool went to another holder", now);
    }
    this->remove_server(id, now);
}

void pool_dispatcher::set_reachable(const std::string& id, bool value, instant)
{
    if (held_server* server = this->find_server(id))
    {
        server->record.set_reachable(value);
    }
}

void pool_dispatcher::set_incarnation(const std::string& id,
                                      std::uint64_t value)
{
    if (held_server* server = this->find_server(id))
    {
        server->record.set_running_incarnation(value);
    }
}

held_server* pool_dispatcher::find_server(const std::string& id)
{
    const auto at = this->servers.find(id);
    return at == this->servers.end() ? nullptr : &at->second;
}

pooled_task* pool_dispatcher::find_task(const run_id& run, task_ref& ref)
{
    const auto at = this->jobs.find(run.task.job);
    if (at == this->jobs.end() || run.task.step >= at->second->tasks.size() ||
        run.task.index >= at->second->tasks[run.task.step].size())
    {
        return nullptr;
    }
    ref = {at->second.get(), run.task.step, run.task.index};
    pooled_task& task = ref.task();
    return task.run == run.run && task.on_server() ? &task : nullptr;
}

void pool_dispatcher::submit(job_request request, const job_terms& terms,
                             const job_origin& origin, instant now)
{
    if (this->has_abandoned_runs(request.id, now))
    {
        this->listener.job_ended(
            origin,
            {job_outcome::incomplete, "runs left on a server that was given up",
             milliseconds(0)},
            pooled_job::create(std::move(request), terms, origin, now)
                .report(now));
        return;
    }
    const auto at = this->jobs.find(request.id);
    pooled_job* job = nullptr;
    if (at != this->jobs.end())
    {
        job = at->second.get();
        if (this->has_unseen_runs(*job, origin.instance))
        {
            // If this instance were lost now, the other one would not wait for
            // these runs before it starts the job elsewhere.
            this->listener.job_ended(origin,
                                     {job_outcome::incomplete,
                                      "runs on a new server", min_retry_after},
                                     job->report(now));
            return;
        }
        if (!job->answered)
        {
            // The connection of the caller's earlier attempt was closed. The
            // job is the same; only the receiver of its result changes.
            const job_origin earlier = std::exchange(job->origin, origin);
            if (earlier.instance != origin.instance)
            {
                this->listener.job_ended(earlier,
                                         {job_outcome::incomplete,
                                          "submitted by another instance",
                                          milliseconds(0)},
                                         job->report(now));
            }
            return;
        }
        job->reopen(terms, origin, now);
    }
    else
    {
        auto created = std::make_unique<pooled_job>(
            pooled_job::create(std::move(request), terms, origin, now));
        job = created.get();
        job->sequence = this->next_sequence++;
        this->jobs.emplace(job->request.id, std::move(created));
    }
    this->deadlines.emplace(job->deadline, job->request.id);
    const bool suitable = this->has_suitable_servers(*job, now);
    if (suitable)
    {
        // A job that fits no server says nothing about usable capacity.
        this->meter.add_job(job->request);
        this->meter.add_demand(job->work(), now);
    }
    job->size = this->shares.add_job(terms.priority, job->work(), now);
    const dispatch_load current_load = this->meter.measure(this->servers, now);
    job->free_cpu = current_load.free_cpu;
    job->servers = current_load.servers;
    if (!suitable)
    {
        this->finish(*job, job_outcome::refused, "no server fits",
                     min_retry_after, now);
        return;
    }
    this->enqueue(*job);
    if (const auto in_use = this->different_priorities(now); !in_use.empty())
    {
        this->plan_waiting(in_use, job, now);
        return;
    }
    const milliseconds wait = this->estimated_wait_of(*job, current_load);
    job->expected_wait = wait;
    // A job that is late already still gets capacity that is free.
    if (wait.count() > 0 && now + wait > job->latest_start)
    {
        this->finish(*job, job_outcome::refused, "busy", retry_after(wait),
                     now);
        return;
    }
    this->place_waiting(*job, now);
}

bool pool_dispatcher::has_suitable_servers(const pooled_job& job,
                                           instant now) const
{
    return std::all_of(
        job.request.steps.begin(), job.request.steps.end(),
        [this, &job, now](const job_step& step)
        {
            return std::any_of(
                this->servers.begin(), this->servers.end(),
                [&](const auto& entry)
                {
                    const server_record& server = entry.second.record;
                    const resource_amounts& all = server.info().capacity;
                    return server.in_service(now) &&
                           server.info().service == job.terms.service &&
                           step.demand.cpu <= all.cpu &&
                           step.demand.memory_mb <= all.memory_mb &&
                           step.demand.gpu <= all.gpu &&
                           (step.label.empty() ||
                            server.info().has_label(step.label));
                });
        });
}

milliseconds
pool_dispatcher::estimated_wait_of(const pooled_job& job,
                                   const dispatch_load& current_load) const
{
    dispatch_load ahead = current_load;
    for (const auto& [key, other] : this->queue)
    {
        if (key.first > job.latest_start)
        {
            break;
        }
        if (other != &job)
        {
            ahead.waiting_cpu += other->waiting_cpu();
        }
    }
    return ahead.estimated_wait(job.waiting_cpu());
}

void pool_dispatcher::enqueue(pooled_job& job)
{
    if (job.waiting > 0 && !job.answered)
    {
        this->queue.emplace(queue_key{job.latest_start, job.sequence}, &job);
    }
}

void pool_dispatcher::dequeue(pooled_job& job)
{
    this->queue.erase(queue_key{job.latest_start, job.sequence});
}

void pool_dispatcher::place_waiting(pooled_job& job, instant now)
{
    if (!this->is_confirmed(job, now))
    {
        return;
    }
    for (std::uint32_t step = 0; step < job.tasks.size(); ++step)
    {
        for (std::uint32_t index = 0; index < job.tasks[step].size(); ++index)
        {
            if (job.tasks[step][index].state != task_state::waiting)
            {
                continue;
            }
            held_server* server = this->choose_server(job, step, index, now);
            if (server == nullptr)
            {
                if (this->is_bound({job.request.id, step, index}, now))
                {
                    continue;
                }
                break;
            }
            this->start(job, {&job, step, index}, *server, now);
        }
    }
    if (job.waiting == 0)
    {
        this->dequeue(job);
    }
}

held_server* pool_dispatcher::choose_server(const pooled_job& job,
                                            std::uint32_t step,
                                            std::uint32_t index, instant now)
{
    const job_step& spec = job.request.steps[step];
    const std::uint64_t seen = this->seen_number(job.origin.instance);
    const auto bound =
        this->unanswered_starts.server_of({job.request.id, step, index}, now);
    if (!bound)
    {
        return this->chooser.choose(this->servers, job, job.tasks[step][index],
                                    spec, seen, now);
    }
    held_server* server = this->find_server(*bound);
    return server != nullptr &&
                   server_chooser::may_start(*server, job, spec, seen, now)
               ? server
               : nullptr;
}

bool pool_dispatcher::is_bound(const task_id& task, instant now) const
{
    return this->unanswered_starts.server_of(task, now).has_value();
}

void pool_dispatcher::start(pooled_job& job, const task_ref& ref,
                            held_server& server, instant now)
{
    pooled_task& task = ref.task();
    const std::string& id = server.record.info().id;
    task.state = task_state::starting;
    ++task.run;
    task.server = id;
    task.started = now;
    task.expected_ms = this->chooser.expected_ms(server.record, ref.spec());
    task.percent = 0;
    task.percent_at = instant(0);
    task.conclusive_from.reset();
    task.start_unanswered = false;
    server.record.reserve(ref.spec().demand);
    server.runs.push_back(ref);
    --job.waiting;
    ++job.on_servers;
    ++job.starts;
    job.last_server = id;
    if (!job.first_start)
    {
        job.first_start = now;
    }
    this->launcher.start(id, {{job.request.id, ref.step, ref.index}, task.run},
                         job.request.payload);
}

void pool_dispatcher::stop_run(const task_ref& ref, instant now)
{
    pooled_task& task = ref.task();
    if (task.state == task_state::starting)
    {
        // The stop may be confirmed before the start is known to be unanswered.
        this->unanswered_starts.add({ref.job->request.id, ref.step, ref.index},
                                    task.server, now + this->max_start_delay,
                                    now);
    }
    task.state = task_state::stopping;
    this->launcher.stop(task.server,
                        {{ref.job->request.id, ref.step, ref.index}, task.run});
}

void pool_dispatcher::release_run(const task_ref& ref, instant)
{
    pooled_task& task = ref.task();
    if (held_server* server = this->find_server(task.server))
    {
        std::erase(server->runs, ref);
        server->record.release(ref.spec().demand);
    }
    task.state = task_state::waiting;
    task.conclusive_from.reset();
    pooled_job& job = *ref.job;
    --job.on_servers;
    if (job.answered)
    {
        this->erase_if_finished(job);
        return;
    }
    ++job.waiting;
    this->enqueue(job);
}

void pool_dispatcher::on_start_result(const std::string& server,
                                      const run_id& run, start_outcome outcome,
                                      instant now)
{
    if (outcome == start_outcome::unanswered)
    {
        // Also if a stop was confirmed meanwhile: the next boot does not know
        // of the stop.
        this->unanswered_starts.add(run.task, server,
                                    now + this->max_start_delay, now);
    }
    task_ref ref;
    pooled_task* task = this->find_task(run, ref);
    if (task == nullptr || task->server != server)
    {
        return;
    }
    held_server* held = this->find_server(server);
    switch (outcome)
    {
    case start_outcome::accepted:
        if (task->state == task_state::starting)
        {
            task->state = task_state::running;
            task->started = now;
        }
        task->conclusive_from = now;
        return;
    case start_outcome::unanswered:
        task->conclusive_from = now;
        task->start_unanswered = true;
        if (held != nullptr)
        {
            held->record.on_unanswered(run.task.job, now);
        }
        this->launcher.poll(server);
        return;
    case start_outcome::no_capacity:
        // The refusal shows that this boot has seen the raised token, so it
        // refuses the earlier start. Only one more restart could carry it out,
        // and the task would wait for a server that cannot take it.
        if (run.run >= min_refused_starts && this->is_bound(run.task, now))
        {
            this->unanswered_starts.add(run.task, server, now, now);
        }
        if (held != nullptr)
        {
            held->record.back_off_until(now + no_capacity_backoff);
        }
        break;
    case start_outcome::unhealthy:
        if (held != nullptr)
        {
            held->record.on_failed(run.task.job, now);
            held->record.back_off_until(now + unhealthy_backoff);
        }
        break;
    case start_outcome::expired:
        if (held != nullptr)
        {
            held->record.back_off_until(now + no_capacity_backoff);
        }
        break;
    case start_outcome::invalid:
        this->on_failure(ref, now);
        return;
    case start_outcome::stale_run:
        if (held != nullptr && this->is_bound(run.task, now))
        {
            // The late start was carried out; the next poll reply shows it.
            held->record.back_off_until(now + no_capacity_backoff);
            this->launcher.poll(server);
        }
        break;
    case start_outcome::fenced:
    case start_outcome::restarted:
        break;
    }
    this->release_run(ref, now);
}

void pool_dispatcher::on_stopped(const std::string& server, const run_id& run,
                                 instant now)
{
    task_ref ref;
    pooled_task* task = this->find_task(run, ref);
    if (task == nullptr || task->server != server)
    {
        return;
    }
    task->conclusive_from = now;
    task->start_unanswered = false;
    this->launcher.poll(server);
}

void pool_dispatcher::on_poll_reply(const std::string& server,
                                    const poll_reply& reply, instant polled_at,
                                    instant now)
{
    held_server* held = this->find_server(server);
    if (held == nullptr)
    {
        return;
    }
    for (const ended_run& entry : reply.ended)
    {
        task_ref ref;
        const pooled_task* task = this->find_task(entry.run, ref);
        if (task != nullptr && task->server == server)
        {
            this->on_end(ref, entry.outcome, now);
        }
    }
    for (const active_run& entry : reply.running)
    {
        task_ref ref;
        pooled_task* task = this->find_task(entry.run, ref);
        if (task != nullptr && task->server == server)
        {
            task->percent = entry.percent;
            task->percent_at = now;
        }
    }
    const std::vector<task_ref> runs = held->runs;
    for (const task_ref& ref : runs)
    {
        this->reconcile(ref, reply, polled_at, now);
    }
    this->pump(now);
}

void pool_dispatcher::reconcile(const task_ref& ref, const poll_reply& reply,
                                instant polled_at, instant now)
{
    pooled_task& task = ref.task();
    const run_id run{{ref.job->request.id, ref.step, ref.index}, task.run};
    const bool still_running = std::any_of(
        reply.running.begin(), reply.running.end(),
        [&run](const active_run& entry) { return entry.run == run; });
    if (still_running)
    {
        if (task.state == task_state::starting && task.start_unanswered)
        {
            task.state = task_state::running;
        }
        task.start_unanswered = false;
        return;
    }
    if (task.conclusive_from && *task.conclusive_from <= polled_at)
    {
        this->release_run(ref, now);
    }
}

std::size_t pool_dispatcher::on_lease_ended(const std::string& server,
                                            instant now)
{
    held_server* held = this->find_server(server);
    if (held == nullptr)
    {
        return 0;
    }
    std::vector<task_ref> runs = held->runs;
    std::erase_if(runs,
                  [](const task_ref& ref)
                  {
                      const pooled_task& task = ref.task();
                      return task.start_unanswered ||
                             task.state == task_state::starting;
                  });
    for (const task_ref& ref : runs)
    {
        this->release_run(ref, now);
    }
    return runs.size();
}

void pool_dispatcher::on_all_runs_ended(const std::string& server, instant now)
{
    held_server* held = this->find_server(server);
    if (held == nullptr)
    {
        return;
    }
    const std::vector<task_ref> runs = held->runs;
    for (const task_ref& ref : runs)
    {
        if (ref.task().start_unanswered)
        {
            // It can no longer be carried out, so the task is free.
            this->unanswered_starts.add(
                {ref.job->request.id, ref.step, ref.index}, server, now, now);
        }
        this->release_run(ref, now);
    }
}

void pool_dispatcher::on_end(const task_ref& ref, run_outcome outcome,
                             instant now)
{
    switch (outcome)
    {
    case run_outcome::done:
        this->on_done(ref, now);
        return;
    case run_outcome::failed:
        this->on_failure(ref, now);
        return;
    case run_outcome::stopped:
    case run_outcome::lease_expired:
    case run_outcome::gang_member_ended:
        this->release_run(ref, now);
        return;
    }
}

void pool_dispatcher::on_done(const task_ref& ref, instant now)
{
    pooled_task& task = ref.task();
    pooled_job& job = *ref.job;
    const double ran_ms =
        std::chrono::duration<double, std::milli>(now - task.started).count();
    this->meter.add_run(ran_ms);
    this->meter.add_ratio(
        ran_ms /
        std::max(1.0, static_cast<double>(ref.spec().estimate.count())));
    const double assumed_ms =
        task.expected_ms; // includes the slowdown assumed at the start
    if (held_server* server = this->find_server(task.server))
    {
        const double base = assumed_ms / server->record.slowdown();
        if (base > 0)
        {
            server->record.on_done(ran_ms / base, now);
        }
    }
    const bool answered = job.answered;
    this->release_run(ref, now);
    if (answered)
    {
        return;
    }
    --job.waiting;
    task.state = task_state::done;
    if (--job.unfinished[ref.step] == 0)
    {
        this->dequeue(job);
        job.unblock();
        this->enqueue(job);
    }
    else if (job.waiting == 0)
    {
        this->dequeue(job);
    }
    if (job.complete())
    {
        this->finish(job, job_outcome::completed, "", milliseconds(0), now);
    }
}

void pool_dispatcher::on_failure(const task_ref& ref, instant now)
{
    pooled_task& task = ref.task();
    pooled_job& job = *ref.job;
    if (held_server* server = this->find_server(task.server))
    {
        server->record.on_failed(job.request.id, now);
    }
    const bool answered = job.answered;
    if (!answered)
    {
        ++task.failures;
    }
    const bool exhausted = task.failures >= job.terms.max_attempts;
    this->release_run(ref, now);
    if (!answered && exhausted)
    {
        this->finish(job, job_outcome::failed,
                     "a task failed as often as allowed", milliseconds(0), now);
    }
}

void pool_dispatcher::require_confirmation(std::uint64_t instance)
{
    this->confirmations.emplace(instance, instant::min());
}

void pool_dispatcher::confirm_origin(std::uint64_t instance, instant alive_at,
                                     instant now)
{
    if (alive_at > now + max_clock_drift)
    {
        return;
    }
    instant& last =
        this->confirmations.emplace(instance, instant::min()).first->second;
    const bool was_valid = last >= now - max_confirmation_age;
    last = std::max(last, alive_at);
    if (was_valid || last < now - max_confirmation_age)
    {
        return;
    }
    if (const auto in_use = this->different_priorities(now); !in_use.empty())
    {
        this->plan_waiting(in_use, nullptr, now);
        return;
    }
    std::vector<pooled_job*> held_back;
    for (const auto& [key, job] : this->queue)
    {
        if (job->origin.instance == instance)
        {
            held_back.push_back(job);
        }
    }
    for (pooled_job* job : held_back)
    {
        this->place_waiting(*job, now);
    }
}

bool pool_dispatcher::is_confirmed(const pooled_job& job, instant now) const
{
    const auto at = this->confirmations.find(job.origin.instance);
    return at == this->confirmations.end() ||
           at->second >= now - max_confirmation_age;
}

bool pool_dispatcher::cancel(const std::string& id, std::string_view reason,
                             instant now)
{
    const auto at = this->jobs.find(id);
    if (at == this->jobs.end() || at->second->answered)
    {
        return false;
    }
    this->finish(*at->second, job_outcome::incomplete, std::string(reason),
                 milliseconds(0), now);
    return true;
}

void pool_dispatcher::cancel_attempt(const std::string& id,
                                     const job_origin& attempt,
                                     std::string_view reason, instant now)
{
    const auto at = this->jobs.find(id);
    if (at != this->jobs.end() && at->second->origin == attempt)
    {
        this->cancel(id, reason, now);
    }
}

void pool_dispatcher::recall(const std::string& id, const job_origin& attempt,
                             instant now)
{
    const auto at = this->jobs.find(id);
    if (at == this->jobs.end())
    {
        return;
    }
    pooled_job& job = *at->second;
    if (!job.answered && job.origin == attempt && job.starts == 0 &&
        job.on_servers == 0)
    {
        this->finish(job, job_outcome::refused, recall_reason, min_retry_after,
                     now);
    }
}

void pool_dispatcher::cancel_origin(std::uint64_t instance,
                                    std::string_view reason, instant now)
{
    this->seen_numbers.erase(instance);
    this->confirmations.erase(instance);
    std::vector<std::string> ids;
    for (const auto& [id, job] : this->jobs)
    {
        if (!job->answered && job->origin.instance == instance)
        {
            ids.push_back(id);
        }
    }
    for (const std::string& id : ids)
    {
        this->cancel(id, reason, now);
    }
}

void pool_dispatcher::finish(pooled_job& job, job_outcome outcome,
                             std::string reason, milliseconds retry_after,
                             instant now)
{
    this->dequeue(job);
    this->deadlines.erase({job.deadline, job.request.id});
    job.answered = true;
    // A refused job is given to another holder at once, which must not start it
    // while runs are left here, be they those of an earlier attempt.
    if (outcome == job_outcome::refused &&
        (job.starts > 0 || job.on_servers > 0 ||
         this->unanswered_starts.has_job(job.request.id, now)))
    {
        outcome = job_outcome::incomplete;
    }
    for (std::uint32_t step = 0; step < job.tasks.size(); ++step)
    {
        for (std::uint32_t index = 0; index < job.tasks[step].size(); ++index)
        {
            const task_ref ref{&job, step, index};
            const task_state state = ref.task().state;
            if (state == task_state::starting || state == task_state::running)
            {
                this->stop_run(ref, now);
            }
        }
    }
    const job_result result{outcome, std::move(reason), retry_after};
    this->count_end(job, result, now);
    this->listener.job_ended(job.origin, result, job.report(now));
    this->erase_if_finished(job);
}

void pool_dispatcher::erase_if_finished(pooled_job& job)
{
    if (job.answered && job.on_servers == 0)
    {
        this->jobs.erase(std::string(job.request.id));
    }
}

void pool_dispatcher::refuse_if_too_late(pooled_job& job, instant now)
{
    if (job.first_start)
    {
        return;
    }
    const instant earliest_refusal =
        job.submitted +
        microseconds(static_cast<long>(
            refusal_delay_share *
            static_cast<double>(microseconds(job.objective()).count())));
    const milliseconds wait =
        this->estimated_wait_of(job, this->meter.measure(this->servers, now));
    job.expected_wait = wait;
    if (now >= earliest_refusal && wait.count() > 0 &&
        now + wait > job.latest_start)
    {
        this->finish(job, job_outcome::refused, "busy", retry_after(wait), now);
    }
}

void pool_dispatcher::check_deadlines(instant now)
{
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now)
    {
        const std::string id = this->deadlines.begin()->second;
        this->deadlines.erase(this->deadlines.begin());
        const auto at = this->jobs.find(id);
        if (at == this->jobs.end() || at->second->answered)
        {
            continue;
        }
        pooled_job& job = *at->second;
        this->finish(job, job_outcome::refused, "out of time", min_retry_after,
                     now);
    }
}

void pool_dispatcher::check_overdue(const std::string& id, held_server& server,
                                    instant now)
{
    const std::vector<task_ref> runs = server.runs;
    for (const task_ref& ref : runs)
    {
        pooled_task& task = ref.task();
        if (task.state != task_state::running || task.moves >= max_moves)
        {
            continue;
        }
        const double ran =
            std::chrono::duration<double, std::milli>(now - task.started)
                .count();
        const double limit = std::max(overdue_factor * task.expected_ms,
                                      task.expected_ms + overdue_slack_ms);
        if (ran < limit)
        {
            continue;
        }
        if (task.percent_at <= task.started ||
            now - task.percent_at > overdue_check_interval * 2)
        {
            this->launcher.poll(id);
            continue;
        }
        const double projected = task.percent == 0
                                     ? std::numeric_limits<double>::max()
                                     : ran * 100.0 / task.percent;
        if (projected - ran > limit)
        {
            ++task.moves;
            server.record.on_failed(ref.job->request.id, now);
            this->stop_run(ref, now);
        }
    }
}

void pool_dispatcher::stop_unconfirmed(const held_server& server, instant now)
{
    const std::vector<task_ref> runs = server.runs;
    for (const task_ref& ref : runs)
    {
        if (ref.task().state != task_state::stopping &&
            !this->is_confirmed(*ref.job, now))
        {
            ++ref.job->unconfirmed_stops;
            this->stop_run(ref, now);
        }
    }
}

void pool_dispatcher::pump(instant now)
{
    std::erase_if(this->abandoned_jobs,
                  [now](const auto& entry) { return entry.second <= now; });
    this->check_deadlines(now);
    this->hand_back_evacuated(now);
    if (const auto in_use = this->different_priorities(now); !in_use.empty())
    {
        this->plan_waiting(in_use, nullptr, now);
    }
    else
    {
        this->place_by_latest_start(now);
    }
    if (now >= this->next_overdue_check)
    {
        this->next_overdue_check = now + overdue_check_interval;
        if (this->rates_servers)
        {
            trust_review::run(this->servers, this->load(now).waiting_cpu, now);
        }
        for (auto& [id, server] : this->servers)
        {
            this->check_overdue(id, server, now);
            this->stop_unconfirmed(server, now);
        }
    }
}

void pool_dispatcher::place_by_latest_start(instant now)
{
    std::vector<pooled_job*> on_time;
    std::vector<pooled_job*> late;
    for (const auto& [key, job] : this->queue)
    {
        (key.first >= now || job->starts > 0 ? on_time : late).push_back(job);
    }
    if (this->meter.has_capacity(this->servers, now))
    {
        for (const auto& jobs_in_order : {on_time, late})
        {
            for (pooled_job* job : jobs_in_order)
            {
                this->place_waiting(*job, now);
            }
        }
    }
    for (const auto& jobs_in_order : {on_time, late})
    {
        for (pooled_job* job : jobs_in_order)
        {
            this->refuse_if_too_late(*job, now);
        }
    }
}

void pool_dispatcher::set_priorities(std::set<std::uint32_t> in_use)
{
    this->priorities = std::move(in_use);
}

std::set<std::uint32_t> pool_dispatcher::different_priorities(instant now) const
{
    if (!this->order_by_caller_cost)
    {
        return {};
    }
    std::set<std::uint32_t> in_use = this->priorities.empty()
                                         ? this->shares.recent_priorities(now)
                                         : this->priorities;
    return in_use.size() > 1 ? in_use : std::set<std::uint32_t>{};
}

void pool_dispatcher::plan_waiting(const std::set<std::uint32_t>& in_use,
                                   const pooled_job* arriving, instant now)
{
    if (this->queue.empty())
    {
        return;
    }
    const caller_cost_order order(this->shares, *in_use.begin());
    std::vector<std::pair<queue_rank, pooled_job*>> waiting;
    for (const auto& [key, job] : this->queue)
    {
        if (this->is_confirmed(*job, now))
        {
            waiting.emplace_back(order.rank_of(*job, now), job);
        }
    }
    std::sort(waiting.begin(), waiting.end());
    const double pressure = this->meter.pressure(this->servers, now);
    this->schedule.reset(this->servers, now);
    const std::size_t max_planned =
        max_planned_per_server * (this->servers.size() + 1);
    std::vector<pooled_job*> late;
    bool arriving_kept = false;
    for (const auto& [rank, job] : waiting)
    {
        if (this->schedule.tasks_planned() > max_planned)
        {
            break;
        }
        const std::size_t lower = static_cast<std::size_t>(std::distance(
            in_use.begin(), in_use.lower_bound(job->terms.priority)));
        // Jobs that are starved are queued, so that capacity is kept for them.
        const bool starved =
            this->shares.is_starved(job->terms.priority, now) ||
            this->shares.is_starved(job->terms.priority, job->size, now);
        const microseconds margin =
            job == arriving
                ? required_margin(*job, starved ? 0 : lower, pressure)
                : -share_of(lateness_tolerance, job->objective());
        const bool on_time = this->plan_on_time(*job, margin, now);
        arriving_kept = arriving_kept || (on_time && job == arriving);
        if (!on_time)
        {
            job->displaced = arriving_kept;
            late.push_back(job);
        }
    }
    std::vector<refusal> refusals;
    for (pooled_job* job : late)
    {
        if (!this->plan_late(*job, pressure, now))
        {
            const char* reason = job == arriving  ? "busy"
                                 : job->displaced ? "displaced"
                                                  : "late";
            refusals.push_back(
                {job->request.id, reason,
                 retry_delay(job->expected_wait, pressure, job->terms.priority,
                             job->request.id)});
        }
    }
    this->refuse_all(refusals, now);
}

microseconds pool_dispatcher::required_margin(const pooled_job& job,
                                              std::size_t lower,
                                              double pressure)
{
    if (lower == 0 || pressure <= full_pressure)
    {
        return microseconds(0);
    }
    return share_of(spare_share +
                        spare_share_step * static_cast<double>(lower - 1),
                    job.objective() - job.critical_path());
}

bool pool_dispatcher::plan_on_time(pooled_job& job, microseconds margin,
                                   instant now)
{
    const job_plan plan =
        this->schedule.plan(job, this->seen_number(job.origin.instance));
    if (job.starts > 0 || job.on_servers > 0)
    {
        this->start_planned(job, now);
        return true;
    }
    if (!plan.known)
    {
        // Suitable servers that are unusable for the moment may be back soon;
        // the job is lost only if there are none.
        this->schedule.undo();
        return this->has_suitable_servers(job, now);
    }
    if (plan.end + message_time + margin > job.objective_at ||
        plan.end + message_time > job.deadline)
    {
        this->schedule.undo();
        return false;
    }
    job.late = false;
    job.expected_wait =
        std::chrono::duration_cast<milliseconds>(plan.last_start - now);
    this->start_planned(job, now);
    return true;
}

bool pool_dispatcher::plan_late(pooled_job& job, double pressure, instant now)
{
    job.late = true;
    // While capacity is short, what becomes free later is needed by others.
    const job_plan plan = this->schedule.plan(
        job, this->seen_number(job.origin.instance), pressure > full_pressure);
    if (!plan.known)
    {
        job.expected_wait = unknown_wait;
        this->schedule.undo();
        return false;
    }
    job.expected_wait = std::chrono::duration_cast<milliseconds>(
        std::max(plan.end - job.objective_at, plan.last_start - now));
    const instant worthless_at =
        std::min(job.deadline,
                 job.objective_at + (late_value_factor - 1) * job.objective());
    // The declared time may be too long by e^0.4. While capacity is not short,
    // only a job that would be worthless even then is refused.
    const instant expected_end =
        pressure > full_pressure
            ? plan.end
            : plan.end - share_of(overestimate_share,
                                  std::chrono::duration_cast<milliseconds>(
                                      plan.end - plan.last_start));
    if (expected_end + message_time > worthless_at)
    {
        this->schedule.undo();
        return false;
    }
    job.displaced = false;
    this->start_planned(job, now);
    return true;
}

void pool_dispatcher::start_planned(pooled_job& job, instant now)
{
    for (const planned_start& each : this->schedule.starts())
    {
        // A server on probation takes fewer tasks than fit.
        const server_record& server = each.server->record;
        if (each.at <= now && server.usable(now) &&
            server.fits(each.task.spec().demand))
        {
            this->start(job, each.task, *each.server, now);
        }
    }
    if (job.waiting == 0)
    {
        this->dequeue(job);
    }
}

void pool_dispatcher::refuse_all(const std::vector<refusal>& refusals,
                                 instant now)
{
    // The listener may submit or cancel jobs in the meantime.
    for (const refusal& each : refusals)
    {
        const auto at = this->jobs.find(each.job);
        if (at != this->jobs.end() && !at->second->answered &&
            at->second->starts == 0 && at->second->on_servers == 0)
        {
            this->finish(*at->second, job_outcome::refused, each.reason,
                         each.retry_after, now);
        }
    }
}

void pool_dispatcher::count_end(const pooled_job& job, const job_result& result,
                                instant now)
{
    const bool completed = result.outcome == job_outcome::completed;
    const bool lost =
        result.outcome == job_outcome::failed ||
        (result.outcome == job_outcome::refused &&
         result.reason != recall_reason) ||
        (result.outcome == job_outcome::incomplete && now >= job.deadline);
    if (completed || lost)
    {
        this->shares.add_end(job.terms.priority, job.size,
                             completed && now <= job.objective_at, now);
    }
}

void pool_dispatcher::hand_back_unservable(instant now)
{
    std::vector<pooled_job*> unservable;
    for (const auto& [key, job] : this->queue)
    {
        if (job->on_servers == 0 && !this->has_suitable_servers(*job, now) &&
            !this->unanswered_starts.has_job(job->request.id, now))
        {
            unservable.push_back(job);
        }
    }
    for (pooled_job* job : unservable)
    {
        this->finish(*job, job_outcome::handed_back,
                     "no server left at the stopping holder", milliseconds(0),
                     now);
    }
}

bool pool_dispatcher::is_open(const std::string& job) const
{
    const auto at = this->jobs.find(job);
    return at != this->jobs.end() && !at->second->answered;
}

bool pool_dispatcher::has_job(const std::string& job) const
{
    return this->jobs.count(job) > 0 || this->abandoned_jobs.count(job) > 0;
}

bool pool_dispatcher::has_abandoned_runs(const std::string& job,
                                         instant now) const
{
    const auto at = this->abandoned_jobs.find(job);
    return at != this->abandoned_jobs.end() && now < at->second;
}

bool pool_dispatcher::has_run(const std::string& server,
                              const run_id& run) const
{
    const auto at = this->jobs.find(run.task.job);
    if (at == this->jobs.end() || run.task.step >= at->second->tasks.size() ||
        run.task.index >= at->second->tasks[run.task.step].size())
    {
        return false;
    }
    const pooled_task& task = at->second->tasks[run.task.step][run.task.index];
    return task.run == run.run && task.server == server && task.on_server();
}

bool pool_dispatcher::has_runs(const std::string& server) const
{
    const auto at = this->servers.find(server);
    return at != this->servers.end() && !at->second.runs.empty();
}

std::set<std::uint64_t> pool_dispatcher::open_job_origins() const
{
    std::set<std::uint64_t> origins;
    for (const auto& [id, job] : this->jobs)
    {
        if (!job->answered)
        {
            origins.insert(job->origin.instance);
        }
    }
    return origins;
}

dispatch_load pool_dispatcher::load(instant now) const
{
    dispatch_load result = this->meter.measure(this->servers, now);
    for (const auto& [key, job] : this->queue)
    {
        const std::uint64_t cpu = job->waiting_cpu();
        result.waiting_cpu += cpu;
        result.waiting_by_priority[job->terms.priority] += cpu;
    }
    return result;
}

std::size_t pool_dispatcher::distrusted_servers(instant now) const
{
    return static_cast<std::size_t>(
        std::count_if(this->servers.begin(), this->servers.end(),
                      [now](const auto& entry)
                      {
                          return entry.second.record.trust().state(now) !=
                                 server_trust::level::trusted;
                      }));
}

} // namespace jujubedrum
