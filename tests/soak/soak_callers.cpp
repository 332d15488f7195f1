#include "soak_callers.hpp"

#include <cstdio>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

namespace
{

/// Time before a job is sent again; equals the platform's `resendMs`.
constexpr milliseconds resend_backoff{1300};
constexpr std::uint32_t max_attempts = 3;
/// Deadline that callers send with each job.
constexpr milliseconds job_deadline{4000};
/// In the overlap profile, the deadline of half of the jobs: longer than the
/// grace period of a stop (6 s).
constexpr milliseconds long_job_deadline{9000};
/// Time after the deadline, by which an instance replies unless it is
/// suspended.
constexpr milliseconds reply_margin{2000};
constexpr std::uint64_t long_tasks_percent = 6;
constexpr std::uint64_t min_long_task_ms = 1000;
/// Callers declare a long task as shorter by this factor, since instances
/// refuse a job that seems unable to end within its deadline. It is below the
/// `stretch` of the route (3), above which instances stop a run.
constexpr double declared_share = 0.4;
constexpr std::size_t max_connections = 64;

} // namespace

soak_callers::soak_callers(event_loop& events, soak_cluster& target,
                           random_source& source, const std::string& address,
                           soak_profile jobs, microseconds interval)
    : loop(events)
    , cluster(target)
    , random(source)
    , profile(jobs)
    , job_interval(interval)
{
    for (const soak_cluster::node& node : this->cluster.nodes())
    {
        this->clients.push_back(http_client::create(
            events, address, node.callers_port, max_connections));
    }
}

void soak_callers::start()
{
    this->send_next();
}

void soak_callers::send_next()
{
    if (!this->sending)
    {
        return;
    }
    this->attempt(this->make_job(), this->random.below(this->clients.size()));
    this->loop.after(this->job_interval, [this] { this->send_next(); });
}

std::shared_ptr<soak_callers::job> soak_callers::make_job()
{
    auto new_job = std::make_shared<job>();
    std::array<char, 20> id{};
    std::snprintf(id.data(), id.size(), "%016llx",
                  static_cast<unsigned long long>(this->next_id++));
    new_job->id = id.data();
    const auto run_ms = this->draw_run_time(*new_job);
    const std::uint64_t declared_ms =
        run_ms < min_long_task_ms
            ? run_ms
            : static_cast<std::uint64_t>(static_cast<double>(run_ms) *
                                         declared_share);
    const std::string payload = std::to_string(run_ms) + " " + new_job->id;
    new_job->body = nlohmann::json{{"taskSpec", payload},
                                   {"bestEffort", true},
                                   {"steps",
                                    {{{"count", 1 + this->random.below(5)},
                                      {"cpu", 6800},
                                      {"memMb", 64},
                                      {"estRuntimeMs", declared_ms}}}}}
                        .dump();
    this->cluster.recorder().expect(new_job->id, payload);
    ++this->open_jobs;
    return new_job;
}

std::uint64_t soak_callers::draw_run_time(job& new_job)
{
    new_job.deadline = job_deadline;
    if (this->profile == soak_profile::overlap)
    {
        new_job.deadline =
            this->random.below(2) == 0 ? job_deadline : long_job_deadline;
        if (this->random.below(100) < long_tasks_percent)
        {
            return min_long_task_ms + this->random.below(8000);
        }
    }
    return 20 + this->random.below(200);
}

std::size_t soak_callers::next_node(const job& pending_job)
{
    const std::size_t count = this->clients.size();
    if (this->profile == soak_profile::standard)
    {
        return this->random.below(count);
    }
    return (pending_job.last_node + 1 + this->random.below(count - 1)) % count;
}

void soak_callers::probe(std::size_t node)
{
    auto new_job = this->make_job();
    new_job->probe = true;
    this->attempt(new_job, node);
}

void soak_callers::attempt(const std::shared_ptr<job>& pending_job,
                           std::size_t node)
{
    ++pending_job->attempts;
    pending_job->last_node = node;
    http_call call;
    call.method = "POST";
    call.target = "/q/" + pending_job->id;
    call.host = "h";
    call.headers = {{"X-Jujubedrum-Deadline-Ms",
                     std::to_string(pending_job->deadline.count())}};
    call.body = pending_job->body;
    call.timeout = pending_job->deadline + reply_margin;
    this->clients[node]->call(std::move(call),
                              [this, pending_job](const http_reply& reply)
                              { this->on_reply(pending_job, reply); });
}

void soak_callers::on_reply(const std::shared_ptr<job>& pending_job,
                            const http_reply& reply)
{
    if (reply.status == 200)
    {
        const auto body = nlohmann::json::parse(reply.body, nullptr, false);
        const std::string state =
            body.is_object() ? body.value("state", "") : "";
        if (state != "completed" && state != "failed")
        {
            this->violation_list.push_back("200 reply whose state is neither "
                                           "completed nor failed, for job " +
                                           pending_job->id);
        }
        if (state == "completed" &&
            this->cluster.recorder().starts_of(pending_job->id) == 0)
        {
            this->violation_list.push_back(
                "reported as completed although no task was started: job " +
                pending_job->id);
        }
        this->probes_done += pending_job->probe && state == "completed" ? 1 : 0;
        this->finish_job(*pending_job, state);
        return;
    }
    const bool refused = reply.status == 503 || reply.status == 429;
    pending_job->may_have_run =
        pending_job->may_have_run ||
        (!refused && reply.result != http_result::not_sent);
    if (refused)
    {
        if (!pending_job->may_have_run &&
            this->cluster.recorder().starts_of(pending_job->id) > 0)
        {
            this->violation_list.push_back(
                "refused although a task was started: job " + pending_job->id);
        }
        this->finish_job(*pending_job, "refused");
        return;
    }
    if (reply.status != 0 && reply.status != 502 && reply.status != 504)
    {
        this->violation_list.push_back("unexpected HTTP status " +
                                       std::to_string(reply.status) +
                                       " in reply to job " + pending_job->id);
    }
    if (pending_job->attempts >= max_attempts)
    {
        this->finish_job(*pending_job, "given up");
        return;
    }
    this->loop.after(
        resend_backoff, [this, pending_job]
        { this->attempt(pending_job, this->next_node(*pending_job)); });
}

void soak_callers::finish_job(const job&, const std::string& outcome)
{
    --this->open_jobs;
    ++this->outcome_counts[outcome];
}

} // namespace jujubedrum
