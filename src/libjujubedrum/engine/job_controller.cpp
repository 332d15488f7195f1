#include "engine/job_controller.hpp"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace jujubedrum
{

namespace
{

using stage = task_progress::stage;

/// Time after the deadline of a job at which its attempts without a reply time
/// out.
constexpr milliseconds reply_margin{250};

/// Maximum number of waiting tasks offered to the policy in one round. Bounds
/// the time of an engine step when the queue is long.
constexpr std::size_t max_tasks_per_round = 64;

/// Time between two tries to hedge an overdue attempt. The retry budget or the
/// slots may be used up at the first try while the straggler keeps running.
constexpr microseconds hedge_retry_interval = milliseconds(50);

task_demand demand_of(const running_job& job, std::uint32_t index)
{
    const task_spec& task = job.job.tasks()[index];
    task_demand demand;
    demand.kind = task.kind();
    demand.memory_mb = task.memory_mb();
    demand.declared = task.run_time();
    demand.repeatable = task.repeatable();
    demand.submitted = job.received;
    demand.job_run_time = job.max_task_run_time;
    return demand;
}

} // namespace

job_controller::job_controller(job_services shared, job_options initial)
    : services(shared)
    , options(initial)
    , queue(initial.max_queued_tasks)
{
}

void job_controller::start(submission job, instant received, instant deadline,
                           instant now)
{
    const std::uint64_t number = ++this->last_job_number;
    running_job& entry = this->jobs[number];
    entry.number = number;
    entry.received = received;
    entry.deadline = deadline;
    entry.tasks.resize(job.tasks().size());
    entry.unfinished = entry.tasks.size();
    entry.job = std::move(job);
    for (const task_spec& task : entry.job.tasks())
    {
        entry.max_task_run_time = std::max(
            entry.max_task_run_time,
            this->services.stats.reference(task.kind(), task.run_time()));
    }
    entry.due = demand_of(entry, 0).due();
    this->job_numbers[entry.job.id()] = number;
    this->deadlines.emplace(deadline, number);
    for (std::uint32_t i = 0; i < entry.tasks.size(); ++i)
    {
        this->enqueue(entry, i);
    }
    this->place_queued_tasks(now);
}

void job_controller::add_waiter(const std::string& id, request_token token)
{
    const auto found = this->job_numbers.find(id);
    if (found != this->job_numbers.end())
    {
        this->jobs[found->second].waiters.push_back(token);
    }
}

bool job_controller::cancel(const std::string& id, instant now)
{
    const auto found = this->job_numbers.find(id);
    if (found == this->job_numbers.end())
    {
        return false;
    }
    this->finish_unsuccessful(this->jobs[found->second],
                              outcome_reason::cancelled,
                              "cancelled by the caller", now);
    return true;
}

void job_controller::on_task_reply(attempt_id id, const task_reply& reply,
                                   instant now)
{
    const auto found = this->attempts.find(id);
    if (found == this->attempts.end())
    {
        return;
    }
    const running_attempt attempt = std::move(found->second);
    this->attempts.erase(found);
    this->release(attempt, now);
    this->record_server_result(attempt, reply, now);
    running_job* job = this->find(attempt.job);
    if (job != nullptr)
    {
        --job->tasks[attempt.index].in_flight;
        if (reply.status == send_status::answered)
        {
            this->on_answered(*job, attempt, reply, now);
        }
        else
        {
            this->on_not_answered(*job, attempt, reply, now);
        }
    }
    this->run_placement_round(now, false);
}

void job_controller::tick(instant now)
{
    this->end_overdue_jobs(now);
    this->start_due_retries(now);
    this->check_overdue_attempts(now);
    this->place_queued_tasks(now);
}

void job_controller::run_deferred_round(instant now)
{
    if (this->deferred_round_pending && !this->rounds_deferred)
    {
        this->run_placement_round(now, false);
    }
}

void job_controller::place_queued_tasks(instant now)
{
    this->run_placement_round(now, true);
}

void job_controller::run_placement_round(instant now, bool full)
{
    this->full_round_pending = this->full_round_pending || full;
    this->deferred_round_pending = this->rounds_deferred;
    if (this->rounds_deferred)
    {
        return;
    }
    // Without a free slot a round can only count late tasks. An answer frees
    // one slot, so continuing beyond it would scan all slots for each answer.
    const bool full_round = std::exchange(this->full_round_pending, false) ||
                            !this->services.policy.uses_owned_slots();
    // The first event after a suspension of the process is not always a tick,
    // so overdue jobs are ended here as well.
    this->end_overdue_jobs(now);
    this->services.policy.begin_round(now);
    for (const team_task& next : this->queue.next(max_tasks_per_round))
    {
        if (this->attempts.size() >= this->options.max_in_flight ||
            (!full_round && this->services.pool.free() == 0))
        {
            return;
        }
        const team_quota* quota = this->services.quotas.find(next.team);
        if (quota == nullptr || quota->in_flight() < quota->in_flight_cap())
        {
            this->place(next, now);
        }
    }
    if (full_round)
    {
        this->late_tasks = this->services.policy.late_tasks();
    }
}

void job_controller::drain(instant now)
{
    std::vector<std::uint64_t> unsent;
    for (const auto& [number, job] : this->jobs)
    {
        if (job.may_have_run().empty())
        {
            unsent.push_back(number);
        }
    }
    for (const std::uint64_t number : unsent)
    {
        this->finish_unsuccessful(this->jobs[number], outcome_reason::draining,
                                  "the instance is stopping", now);
    }
}

bool job_controller::shed(const std::string& team, instant now)
{
    for (auto at = this->deadlines.rbegin(); at != this->deadlines.rend(); ++at)
    {
        running_job* job = this->find(at->second);
        if (job == nullptr || job->job.team() != team ||
            !job->may_have_run().empty())
        {
            continue;
        }
        this->finish_unsuccessful(*job, outcome_reason::overloaded,
                                  "shed in favour of a team below its share",
                                  now);
        return true;
    }
    return false;
}

running_job* job_controller::find(std::uint64_t number)
{
    const auto found = this->jobs.find(number);
    return found == this->jobs.end() ? nullptr : &found->second;
}

void job_controller::enqueue(running_job& job, std::uint32_t index)
{
    job.tasks[index].at = stage::queued;
    this->queue.push(job.job.team(), {job.due, job.number, index});
    this->services.admitter.on_queued(job.job.team(), 1,
                                      job.job.tasks()[index].run_time());
}

void job_controller::dequeue(running_job& job, std::uint32_t index)
{
    if (this->queue.remove(job.job.team(), {job.due, job.number, index}))
    {
        this->services.admitter.on_dequeued(job.job.team(), 1,
                                            job.job.tasks()[index].run_time());
    }
}

void job_controller::place(const team_task& next, instant now)
{
    running_job& job = *this->find(next.task.job);
    const std::uint32_t index = next.task.index;
    const task_spec& task = job.job.tasks()[index];
    const auto choice = this->services.policy.pick(
        demand_of(job, index), job.tasks[index].server, now);
    if (!choice)
    {
        return;
    }
    this->queue.pop(next);
    this->services.admitter.on_dequeued(next.team, 1, task.run_time());
    this->send(job, index, *choice, false, now);
}

void job_controller::send(running_job& job, std::uint32_t index,
                          const slot_choice& choice, bool hedged, instant now)
{
    const task_spec& task = job.job.tasks()[index];
    const pooled_server* server = this->services.pool.find(choice.server);
    task_progress& progress = job.tasks[index];
    progress.at = stage::running;
    progress.server = choice.server;
    ++progress.attempts;
    ++progress.in_flight;
    if (progress.attempts == 1)
    {
        this->services.budget.on_first_start(now);
    }
    else
    {
        this->services.metrics.on_message(message_cause::duplicate, 1);
    }
    this->services.metrics.on_task_started();
    this->services.policy.started(choice, now);
    if (team_quota* quota = this->services.quotas.find(job.job.team()))
    {
        quota->start_task();
    }

    const attempt_id id = ++this->last_attempt_id;
    running_attempt attempt;
    attempt.job = job.number;
    attempt.index = index;
    attempt.team = job.job.team();
    attempt.choice = choice;
    attempt.kind = task.kind();
    attempt.declared = task.run_time();
    attempt.sent = now;
    attempt.hedge = hedged;
    this->attempts[id] = attempt;

    task_request request;
    request.server = choice.server;
    request.address = server->server.address();
    request.port = server->server.port();
    request.task = job.job.id() + "/" + std::to_string(index);
    request.kind = task.kind();
    request.payload = task.payload();
    request.memory_mb = task.memory_mb();
    request.run_time = task.run_time();
    request.timeout =
        std::chrono::duration_cast<milliseconds>(job.deadline - now) +
        reply_margin;
    this->services.out.add(send_task_action{id, std::move(request)});
}

void job_controller::release(const running_attempt& attempt, instant now)
{
    this->services.policy.finished(attempt.choice, now);
    if (team_quota* quota = this->services.quotas.find(attempt.team))
    {
        quota->finish_task();
    }
}

void job_controller::record_server_result(const running_attempt& attempt,
                                          const task_reply& reply, instant now)
{
    if (reply.draining)
    {
        this->services.pool.mark_leaving(attempt.choice.server);
    }
    const bool failed = reply.status == send_status::task_failed;
    const bool task_at_fault =
        (failed || reply.status == send_status::answered) &&
        this->kinds.note(attempt.team + "/" + attempt.kind,
                         attempt.choice.server, failed);
    if (reply.status == send_status::answered)
    {
        const microseconds run_time =
            reply.run_time.count() > 0 ? reply.run_time : now - attempt.sent;
        this->services.stats.on_finished(attempt.choice.server, attempt.kind,
                                         attempt.declared, run_time, now);
        return;
    }
    if (reply.status == send_status::not_started)
    {
        this->services.metrics.on_message(message_cause::refusal, 1);
    }
    if (!reply.draining && !task_at_fault)
    {
        this->services.stats.on_failed(attempt.choice.server, now);
    }
}

void job_controller::on_answered(running_job& job,
                                 const running_attempt& attempt,
                                 const task_reply& reply, instant now)
{
    task_progress& task = job.tasks[attempt.index];
    task.may_have_run = true;
    if (task.at == stage::done)
    {
        return;
    }
    if (task.at == stage::queued)
    {
        this->dequeue(job, attempt.index);
    }
    task.at = stage::done;
    task.answer = reply.result;
    const double slowness =
        std::max(this->services.stats.slowness(attempt.choice.server), 0.01);
    job.ideal =
        std::max(job.ideal,
                 microseconds(static_cast<std::int64_t>(
                     static_cast<double>(reply.run_time.count()) / slowness)));
    if (--job.unfinished > 0)
    {
        return;
    }
    std::vector<std::string> answers;
    answers.reserve(job.tasks.size());
    for (task_progress& finished : job.tasks)
    {
        answers.push_back(std::move(finished.answer));
    }
    this->finish(job, outcome::complete(std::move(answers)), now);
}

void job_controller::on_not_answered(running_job& job,
                                     const running_attempt& attempt,
                                     const task_reply& reply, instant now)
{
    task_progress& task = job.tasks[attempt.index];
    const bool started = reply.status != send_status::not_started;
    task.may_have_run = task.may_have_run || started;
    if (task.at != stage::running || task.in_flight > 0)
    {
        // The task is done, or another attempt of it is still in flight.
        return;
    }
    const bool repeatable = job.job.tasks()[attempt.index].repeatable();
    if (started && !repeatable)
    {
        this->finish_unsuccessful(job, outcome_reason::task_failed,
                                  "task " + std::to_string(attempt.index) +
                                      " on " + attempt.choice.server + ": " +
                                      reply.error,
                                  now);
        return;
    }
    if (!this->retry(job, attempt.index, started, now))
    {
        this->finish_unsuccessful(job, outcome_reason::task_failed,
                                  "task " + std::to_string(attempt.index) +
                                      " was not retried: " + reply.error,
                                  now);
    }
}

bool job_controller::retry(running_job& job, std::uint32_t index,
                           bool needs_budget, instant now)
{
    task_progress& task = job.tasks[index];
    if (task.attempts >= this->options.max_attempts)
    {
        return false;
    }
    const auto delay = this->services.budget.delay(
        task.attempts, now, job.deadline, this->services.random);
    if (!delay || (needs_budget && !this->services.budget.try_spend(now)))
    {
        return false;
    }
    task.at = stage::backing_off;
    this->retries.insert({now + *delay, job.number, index});
    return true;
}

void job_controller::finish(running_job& job, outcome result, instant now)
{
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i)
    {
        if (job.tasks[i].at == stage::queued)
        {
            this->dequeue(job, i);
        }
    }
    const std::string id = job.job.id();
    const double response = static_cast<double>((now - job.received).count());
    const double ideal = static_cast<double>(job.ideal.count());
    this->services.metrics.on_job_finished(to_string(result.kind()),
                                           ideal > 0 ? response / ideal : 0.0);
    for (const request_token waiter : job.waiters)
    {
        this->services.out.add(reply_action{waiter, api_reply(id, result)});
    }
    this->services.table.finish(id, std::move(result), now);
    this->deadlines.erase({job.deadline, job.number});
    this->job_numbers.erase(id);
    this->jobs.erase(job.number);
}

void job_controller::finish_unsuccessful(running_job& job,
                                         outcome_reason reason,
                                         const std::string& text, instant now)
{
    std::vector<std::uint32_t> started = job.may_have_run();
    if (started.empty())
    {
        if (team_quota* quota = this->services.quotas.find(job.job.team()))
        {
            quota->refund(job.tasks.size());
        }
        this->services.metrics.on_message(message_cause::refusal, 1);
        this->finish(
            job,
            outcome::not_run(reason, text, reason != outcome_reason::cancelled),
            now);
        return;
    }
    this->stop_attempts(job, now);
    this->finish(job, outcome::failed(reason, text, std::move(started)), now);
}

void job_controller::stop_attempts(const running_job& job, instant now)
{
    for (const auto& [id, attempt] : this->attempts)
    {
        if (attempt.job != job.number ||
            attempt.sent + attempt.choice.expected - now <
                this->options.stop_threshold)
        {
            continue;
        }
        const pooled_server* server =
            this->services.pool.find(attempt.choice.server);
        if (server == nullptr)
        {
            continue;
        }
        this->services.metrics.on_message(message_cause::stop, 1);
        this->services.out.add(stop_task_action{
            server->server.address(), server->server.port(),
            job.job.id() + "/" + std::to_string(attempt.index)});
    }
}

void job_controller::start_due_retries(instant now)
{
    while (!this->retries.empty() && this->retries.begin()->due <= now)
    {
        const due_retry retry = *this->retries.begin();
        this->retries.erase(this->retries.begin());
        running_job* job = this->find(retry.job);
        if (job != nullptr && job->tasks[retry.index].at == stage::backing_off)
        {
            this->enqueue(*job, retry.index);
        }
    }
}

void job_controller::end_overdue_jobs(instant now)
{
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now)
    {
        running_job* job = this->find(this->deadlines.begin()->second);
        if (job == nullptr)
        {
            this->deadlines.erase(this->deadlines.begin());
            continue;
        }
        this->finish_unsuccessful(*job, outcome_reason::deadline,
                                  "the deadline passed", now);
    }
}

void job_controller::check_overdue_attempts(instant now)
{
    for (auto& [id, attempt] : this->attempts)
    {
        const microseconds elapsed = now - attempt.sent;
        if (attempt.hedge || now < attempt.next_hedge ||
            elapsed < this->services.stats.run_time_bound(attempt.choice.server,
                                                          attempt.kind,
                                                          attempt.declared))
        {
            continue;
        }
        if (!attempt.overdue_reported)
        {
            attempt.overdue_reported = true;
            this->services.stats.on_overdue(attempt.choice.server, attempt.kind,
                                            attempt.declared, elapsed);
        }
        attempt.next_hedge = now + hedge_retry_interval;
        this->hedge(attempt, now);
    }
}

void job_controller::hedge(running_attempt& attempt, instant now)
{
    running_job* job = this->find(attempt.job);
    if (!this->options.hedging || job == nullptr ||
        this->attempts.size() >= this->options.max_in_flight)
    {
        return;
    }
    const task_spec& task = job->job.tasks()[attempt.index];
    task_progress& progress = job->tasks[attempt.index];
    if (!task.repeatable() || progress.hedged ||
        progress.at != stage::running ||
        this->services.budget.available(now) < 1)
    {
        return;
    }
    const auto choice = this->services.policy.pick(
        demand_of(*job, attempt.index), attempt.choice.server, now);
    if (!choice || choice->probe || !this->services.budget.try_spend(now))
    {
        return;
    }
    progress.hedged = true;
    this->send(*job, attempt.index, *choice, true, now);
}

} // namespace jujubedrum
