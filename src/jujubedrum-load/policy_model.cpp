#include "policy_model.hpp"

#include <algorithm>
#include <utility>

namespace jujubedrum
{

namespace
{

constexpr microseconds tick_interval = milliseconds(100);

/// Bound on the hedges of an instance, as a share of its task starts.
constexpr double max_hedge_share = 0.1;

/// Bound on the waiting tasks that one dispatch round offers to the policy.
constexpr std::size_t max_tasks_per_round = 100;

/// Time until hedging is tried again for an overdue task that got no slot or
/// exceeded the bound on hedges.
constexpr microseconds hedge_retry_interval = milliseconds(50);

} // namespace

policy_model::policy_model(const model_options& options,
                           const model_cluster& cluster,
                           const arrival_schedule& schedule,
                           std::string policy_name)
    : options(options)
    , cluster(cluster)
    , schedule(schedule)
    , servers(cluster.servers().size())
    , expected_job_run_times(schedule.jobs().size())
    , unfinished_jobs(schedule.jobs().size())
{
    this->result.policy = policy_name;
    this->result.tasks = schedule.tasks();
    for (std::size_t i = 0; i < options.instances; ++i)
    {
        this->instances.push_back(
            std::make_unique<model_instance>(options, cluster, i, policy_name));
    }
    for (const arriving_job& job : schedule.jobs())
    {
        this->unfinished_tasks.push_back(job.tasks.size());
    }
    this->tasks.reserve(schedule.tasks());
}

model_result policy_model::run()
{
    this->scheduler.schedule_at(this->schedule.jobs().front().arrival_time,
                                [this] { this->on_job_arrival(0); });
    for (std::size_t i = 0; i < this->instances.size(); ++i)
    {
        // Timers of the instances are out of phase, as in an installation whose
        // instances start at different times.
        const auto offset = static_cast<microseconds::rep>(i + 1);
        const auto size =
            static_cast<microseconds::rep>(this->instances.size());
        this->scheduler.schedule_at(tick_interval * offset / size,
                                    [this, i] { this->tick(i); });
        this->scheduler.schedule_at(this->options.heartbeat * offset / size,
                                    [this, i] { this->heartbeat(i); });
    }
    this->scheduler.run();
    this->result.all = latency_summary(std::move(this->ratios));
    this->result.repeatable =
        latency_summary(std::move(this->repeatable_ratios));
    return this->result;
}

void policy_model::count_messages(const std::string& cause,
                                  std::size_t messages)
{
    this->result.messages[cause] += messages;
}

void policy_model::on_job_arrival(std::size_t job)
{
    const arriving_job& arrival = this->schedule.jobs()[job];
    model_instance& dispatcher = *this->instances[arrival.instance];
    std::vector<std::size_t> task_indexes;
    for (const arriving_task& task : arrival.tasks)
    {
        task_indexes.push_back(this->tasks.size());
        this->tasks.push_back({job, &task, arrival.instance, false, false, {}});
    }
    microseconds& longest = this->expected_job_run_times[job];
    for (const arriving_task& task : arrival.tasks)
    {
        longest = std::max(
            longest, dispatcher.stats.reference(task.kind, task.declared));
    }
    if (this->options.longest_first)
    {
        this->sort_longest_first(task_indexes, dispatcher);
    }
    const instant due = this->demand(this->tasks[task_indexes.front()]).due();
    const auto position = std::upper_bound(
        dispatcher.waiting.begin(), dispatcher.waiting.end(), due,
        [this](instant time, std::size_t task_index)
        { return time < this->demand(this->tasks[task_index]).due(); });
    dispatcher.waiting.insert(position, task_indexes.begin(),
                              task_indexes.end());
    this->dispatch(arrival.instance);
    if (job + 1 < this->schedule.jobs().size())
    {
        this->scheduler.schedule_at(this->schedule.jobs()[job + 1].arrival_time,
                                    [this, job]
                                    { this->on_job_arrival(job + 1); });
    }
}

void policy_model::sort_longest_first(std::vector<std::size_t>& task_indexes,
                                      const model_instance& dispatcher) const
{
    const auto expected = [&](std::size_t task_index)
    {
        const arriving_task& task = *this->tasks[task_index].task;
        return dispatcher.stats.reference(task.kind, task.declared);
    };
    std::stable_sort(task_indexes.begin(), task_indexes.end(),
                     [&](std::size_t a, std::size_t b)
                     { return expected(a) > expected(b); });
}

task_demand policy_model::demand(const task_state& task) const
{
    const arriving_job& job = this->schedule.jobs()[task.job];
    return {task.task->kind,     1,
            task.task->declared, job.repeatable,
            job.arrival_time,    this->expected_job_run_times[task.job]};
}

void policy_model::dispatch(std::size_t instance)
{
    model_instance& dispatcher = *this->instances[instance];
    dispatcher.policy->begin_round(this->scheduler.now());
    auto next = dispatcher.waiting.begin();
    std::size_t offered = 0;
    while (next != dispatcher.waiting.end() && offered < max_tasks_per_round)
    {
        ++offered;
        const std::size_t task = *next;
        const auto choice = dispatcher.policy->pick(
            this->demand(this->tasks[task]), "", this->scheduler.now());
        if (!choice)
        {
            ++next;
            continue;
        }
        next = dispatcher.waiting.erase(next);
        ++dispatcher.started;
        this->start(task, *choice);
    }
    this->borrow(instance);
}

void policy_model::borrow(std::size_t instance)
{
    model_instance& dispatcher = *this->instances[instance];
    if (!dispatcher.book)
    {
        return;
    }
    const auto plan = dispatcher.book->plan_request(
        dispatcher.policy->late_tasks(), this->scheduler.now());
    if (!plan)
    {
        return;
    }
    this->count_messages("borrow", 2);
    this->scheduler.schedule_at(
        this->scheduler.now() +
            this->peer_delay(instance, this->instance_index(plan->lender)),
        [this, instance, plan = *plan] { this->lend(instance, plan); });
}

void policy_model::lend(std::size_t borrower, const planned_request& plan)
{
    const std::size_t lender = this->instance_index(plan.lender);
    borrow_reply reply = this->instances[lender]->book->lend(
        plan.request, this->scheduler.now());
    this->scheduler.schedule_at(
        this->scheduler.now() + this->peer_delay(lender, borrower),
        [this, borrower, reply = std::move(reply)]
        {
            this->instances[borrower]->book->on_reply(reply,
                                                      this->scheduler.now());
            this->dispatch(borrower);
        });
}

microseconds policy_model::server_delay(const task_copy& copy) const
{
    return this->cluster.delay(
        this->instances[this->tasks[copy.task].instance]->entry().domain,
        this->cluster.servers()[copy.server].domain());
}

microseconds policy_model::peer_delay(std::size_t from, std::size_t to) const
{
    return this->cluster.delay(this->instances[from]->entry().domain,
                               this->instances[to]->entry().domain);
}

std::size_t policy_model::instance_index(const std::string& name) const
{
    const auto& entries = this->cluster.entries();
    return static_cast<std::size_t>(
        std::find_if(entries.begin(), entries.end(),
                     [&](const auto& entry) { return entry.name == name; }) -
        entries.begin());
}

void policy_model::start(std::size_t task, const slot_choice& choice)
{
    const auto& list = this->cluster.servers();
    const auto server = static_cast<std::size_t>(
        std::find_if(list.begin(), list.end(),
                     [&](const auto& candidate)
                     { return candidate.name() == choice.server; }) -
        list.begin());
    const std::size_t copy = this->copies.size();
    const instant now = this->scheduler.now();
    this->copies.push_back({task, server, choice, now, false, false});
    this->tasks[task].copies.push_back(copy);
    model_instance& dispatcher = *this->instances[this->tasks[task].instance];
    dispatcher.policy->started(choice, now);
    this->scheduler.schedule_at(now + this->server_delay(this->copies[copy]),
                                [this, copy] { this->server_receive(copy); });
    const task_demand demand = this->demand(this->tasks[task]);
    if (this->options.hedge && demand.repeatable &&
        dispatcher.policy->uses_owned_slots())
    {
        this->scheduler.schedule_at(
            now + dispatcher.stats.run_time_bound(choice.server, demand.kind,
                                                  demand.declared),
            [this, copy] { this->check_overdue(copy); });
    }
}

void policy_model::server_receive(std::size_t copy)
{
    const std::size_t server_index = this->copies[copy].server;
    model_server& server = this->servers[server_index];
    if (this->copies[copy].ended)
    {
        return;
    }
    if (server.running == this->cluster.servers()[server_index].slots())
    {
        server.queue.push_back(copy);
        return;
    }
    this->server_begin(copy);
}

void policy_model::server_begin(std::size_t copy)
{
    task_copy& started = this->copies[copy];
    ++this->servers[started.server].running;
    started.running = true;
    const instant now = this->scheduler.now();
    const auto work = this->tasks[started.task].task->work;
    const microseconds run_time(
        static_cast<std::int64_t>(static_cast<double>(work.count()) *
                                  this->cluster.slowness(started.server, now)));
    this->scheduler.schedule_at(now + run_time,
                                [this, copy] { this->server_end(copy); });
}

void policy_model::release(std::size_t copy)
{
    task_copy& ended = this->copies[copy];
    model_server& server = this->servers[ended.server];
    ended.ended = true;
    if (ended.running)
    {
        ended.running = false;
        --server.running;
    }
    else
    {
        std::erase(server.queue, copy);
    }
    if (!server.queue.empty() &&
        server.running < this->cluster.servers()[ended.server].slots())
    {
        const std::size_t next = server.queue.front();
        server.queue.pop_front();
        this->server_begin(next);
    }
}

void policy_model::server_end(std::size_t copy)
{
    if (this->copies[copy].ended)
    {
        return;
    }
    this->release(copy);
    this->scheduler.schedule_at(this->scheduler.now() +
                                    this->server_delay(this->copies[copy]),
                                [this, copy] { this->on_answer(copy); });
}

void policy_model::server_stop(std::size_t copy)
{
    if (this->copies[copy].ended)
    {
        return;
    }
    this->release(copy);
    this->scheduler.schedule_at(
        this->scheduler.now() + this->server_delay(this->copies[copy]),
        [this, copy]
        {
            const std::size_t instance =
                this->tasks[this->copies[copy].task].instance;
            this->instances[instance]->policy->finished(
                this->copies[copy].choice, this->scheduler.now());
            this->dispatch(instance);
        });
}

void policy_model::on_answer(std::size_t copy)
{
    const task_copy& answered = this->copies[copy];
    const std::size_t task = answered.task;
    const std::size_t instance = this->tasks[task].instance;
    model_instance& dispatcher = *this->instances[instance];
    const instant now = this->scheduler.now();
    dispatcher.stats.on_finished(
        answered.choice.server, this->tasks[task].task->kind,
        this->tasks[task].task->declared, now - answered.sent_at, now);
    dispatcher.policy->finished(answered.choice, now);
    if (!this->tasks[task].done)
    {
        this->finish_task(task, copy);
    }
    this->dispatch(instance);
}

void policy_model::finish_task(std::size_t task, std::size_t copy)
{
    task_state& state = this->tasks[task];
    state.done = true;
    for (const std::size_t other : state.copies)
    {
        if (other != copy && !this->copies[other].ended)
        {
            this->count_messages("stop", 2);
            this->scheduler.schedule_at(
                this->scheduler.now() + this->server_delay(this->copies[other]),
                [this, other] { this->server_stop(other); });
        }
    }
    if (--this->unfinished_tasks[state.job] > 0)
    {
        return;
    }
    --this->unfinished_jobs;
    const arriving_job& job = this->schedule.jobs()[state.job];
    if (!this->schedule.measured(state.job))
    {
        return;
    }
    const double ratio =
        static_cast<double>(
            (this->scheduler.now() - job.arrival_time).count()) /
        static_cast<double>(job.ideal_response_time().count());
    this->ratios.push_back(ratio);
    if (job.repeatable)
    {
        this->repeatable_ratios.push_back(ratio);
    }
}

void policy_model::check_overdue(std::size_t copy)
{
    const task_copy& overdue = this->copies[copy];
    const std::size_t task_index = overdue.task;
    if (overdue.ended || this->tasks[task_index].done ||
        this->tasks[task_index].hedged)
    {
        return;
    }
    model_instance& dispatcher =
        *this->instances[this->tasks[task_index].instance];
    const instant now = this->scheduler.now();
    const task_demand demand = this->demand(this->tasks[task_index]);
    dispatcher.stats.on_overdue(overdue.choice.server, demand.kind,
                                demand.declared, now - overdue.sent_at);
    const bool within_budget =
        static_cast<double>(dispatcher.hedged + 1) <=
        static_cast<double>(dispatcher.started) * max_hedge_share;
    const auto choice =
        within_budget
            ? dispatcher.policy->pick(demand, overdue.choice.server, now)
            : std::nullopt;
    if (!choice)
    {
        this->scheduler.schedule_at(now + hedge_retry_interval, [this, copy]
                                    { this->check_overdue(copy); });
        return;
    }
    ++dispatcher.hedged;
    this->tasks[task_index].hedged = true;
    this->count_messages("hedge", 2);
    this->start(task_index, *choice);
}

void policy_model::report(std::size_t from, const planned_report& report)
{
    const std::size_t to = this->instance_index(report.lender);
    this->scheduler.schedule_at(
        this->scheduler.now() + this->peer_delay(from, to),
        [this, from, to, report = report.report]
        {
            auto revoked = this->instances[to]->book->on_report(
                report, this->scheduler.now());
            auto lender_report = this->instances[to]->book->report_for(
                this->instances[from]->entry().name);
            this->dispatch(to);
            this->scheduler.schedule_at(
                this->scheduler.now() + this->peer_delay(to, from),
                [this, from, to, revoked, lender_report]
                {
                    grant_book& book = *this->instances[from]->book;
                    book.on_revoked(this->instances[to]->entry().name, revoked);
                    book.on_report(lender_report, this->scheduler.now());
                });
        });
}

void policy_model::tick(std::size_t instance)
{
    if (this->unfinished_jobs == 0)
    {
        return;
    }
    model_instance& dispatcher = *this->instances[instance];
    if (dispatcher.book)
    {
        for (const planned_report& report :
             dispatcher.book->tick(this->scheduler.now()))
        {
            this->count_messages("give_back", 2);
            this->report(instance, report);
        }
    }
    this->dispatch(instance);
    this->scheduler.schedule_at(this->scheduler.now() + tick_interval,
                                [this, instance] { this->tick(instance); });
}

void policy_model::heartbeat(std::size_t instance)
{
    if (this->unfinished_jobs == 0)
    {
        return;
    }
    model_instance& dispatcher = *this->instances[instance];
    const std::size_t peers =
        std::min(this->options.heartbeat_peers, this->instances.size() - 1);
    for (std::size_t i = 0; i < peers; ++i)
    {
        const std::size_t peer = dispatcher.next_peer(this->instances.size());
        this->count_messages("heartbeat", 2);
        if (dispatcher.book)
        {
            const std::string& name = this->instances[peer]->entry().name;
            this->report(instance, {name, dispatcher.book->report_for(name)});
        }
    }
    this->scheduler.schedule_at(this->scheduler.now() + this->options.heartbeat,
                                [this, instance]
                                { this->heartbeat(instance); });
}

} // namespace jujubedrum
