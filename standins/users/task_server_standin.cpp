#include "users/task_server_standin.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

namespace
{

using nlohmann::json;

// Resolution of run times and poll waits.
constexpr milliseconds step_interval{5};
// Maximum lease on the users' platform.
constexpr std::int64_t max_lease_ms = 1000;
// Time from a stop request to the end of the run.
constexpr milliseconds stop_duration{30};
// CPU used by each task. Start requests do not carry the task's demand.
constexpr std::uint32_t task_cpu = 6800;

std::string job_of(const std::string& task)
{
    return task.substr(0, task.find('.'));
}

} // namespace

void run_recorder::on_start(const std::string& task, const std::string& payload,
                            const std::string& server)
{
    this->write_trace("start", task, server);
    ++this->starts;
    ++this->starts_by_job[job_of(task)];
    const auto expected_payload = this->expected.find(job_of(task));
    if (expected_payload == this->expected.end() ||
        expected_payload->second != payload)
    {
        this->found_violations.push_back(
            "start of a task that is not expected, or not with this payload: " +
            task);
    }
    const auto added = this->running.emplace(task, server);
    if (!added.second)
    {
        this->found_violations.push_back("two runs at once: " + task + " on " +
                                         server + " and " +
                                         added.first->second);
    }
}

void run_recorder::on_overload(const std::string& task,
                               const std::string& server)
{
    this->found_violations.push_back("above the capacity of " + server + ": " +
                                     task);
}

void run_recorder::on_end(const std::string& task, const std::string& server)
{
    this->write_trace("end", task, server);
    const auto at = this->running.find(task);
    if (at != this->running.end() && at->second == server)
    {
        this->running.erase(at);
    }
}

void run_recorder::write_trace(const char* event, const std::string& task,
                               const std::string& server)
{
    if (this->trace != nullptr)
    {
        *this->trace << event_loop::wall_now().count() << " " << event << " "
                     << task << " " << server << "\n";
    }
}

std::uint64_t run_recorder::starts_of(const std::string& job) const
{
    const auto at = this->starts_by_job.find(job);
    return at == this->starts_by_job.end() ? 0 : at->second;
}

bool run_recorder::runs(const std::string& job) const
{
    return std::any_of(this->running.begin(), this->running.end(),
                       [&job](const auto& entry)
                       { return job_of(entry.first) == job; });
}

void run_recorder::expect(const std::string& job, const std::string& payload)
{
    this->expected[job] = payload;
}

task_server_standin::task_server_standin(event_loop& events, std::string id,
                                         std::uint32_t cpu,
                                         run_recorder& all_runs)
    : loop(events)
    , server(events, "X-None",
             [this](const http_request& request, const auto& responder)
             { this->serve(request, responder); })
    , name(std::move(id))
    , capacity(cpu)
    , recorder(all_runs)
    , incarnation(static_cast<std::uint64_t>(event_loop::wall_now().count()))
    , last_advance(event_loop::now())
{
}

bool task_server_standin::listen()
{
    this->schedule_step();
    return this->server.listen("127.0.0.1", 0);
}

std::int64_t task_server_standin::clock_ms() const
{
    return std::chrono::duration_cast<milliseconds>(event_loop::now() -
                                                    this->clock_origin)
        .count();
}

std::uint32_t task_server_standin::used_cpu() const
{
    std::uint32_t total = 0;
    for (const auto& [task, run] : this->runs)
    {
        total += run.cpu;
    }
    return total;
}

std::string task_server_standin::entry(const std::string& domain,
                                       std::uint16_t advertised_port) const
{
    return json{
        {"backend", "service"},
        {"address", "127.0.0.1:" + std::to_string(advertised_port)},
        {"zone", domain},
        {"version", "v1"},
        {"slots", 8},
        {"state", this->draining ? "draining" : "ready"},
        {"coldRemainingMs", 0},
        {"capacity", {{"cpu", this->capacity}, {"memMb", 32768}, {"gpu", 0}}},
        {"labels", {"a", "r1-1"}},
        {"born", this->incarnation},
        {"seqNo", 1}}
        .dump();
}

void task_server_standin::delay_starts(int count, milliseconds by)
{
    this->starts_to_delay = count;
    this->start_delay = by;
}

void task_server_standin::delay_renewals(int count, milliseconds by)
{
    this->renewals_to_delay = count;
    this->renewal_delay = by;
}

void task_server_standin::crash()
{
    for (const auto& [task, run] : this->runs)
    {
        this->recorder.on_end(task, this->name);
    }
    this->runs.clear();
    this->ended_runs.clear();
    // The connections break, so that nothing of the new incarnation answers.
    for (const pending_poll& poll : this->pending_polls)
    {
        poll.responder->answer({503, ""});
    }
    this->pending_polls.clear();
    this->highest_run.clear();
    this->clock_origin = event_loop::now();
    this->fencing_token = 0;
    this->lease_end_ms = 0;
    this->next_end_number = 1;
    this->incarnation = std::max<std::uint64_t>(
        this->incarnation + 1,
        static_cast<std::uint64_t>(event_loop::wall_now().count()));
}

void task_server_standin::serve(
    const http_request& request,
    const std::shared_ptr<http_responder>& responder)
{
    if (this->delay(request) || this->unresponsive)
    {
        return;
    }
    if (request.target == "/v1/hold")
    {
        this->serve_poll(request.body, responder);
        return;
    }
    std::string reply;
    if (request.target == "/v1/run-stop")
    {
        if (this->stops_to_drop > 0)
        {
            --this->stops_to_drop;
            return;
        }
        const int status = this->stop(request.body, reply);
        responder->answer({status, reply});
        return;
    }
    const int status = this->start(request.body, reply);
    if (this->replies_to_drop > 0)
    {
        --this->replies_to_drop;
        return;
    }
    responder->answer({status, reply});
}

bool task_server_standin::delay(const http_request& request)
{
    const json in = json::parse(request.body);
    const bool renewal =
        request.target == "/v1/hold" && in.contains("deadlineMs");
    const bool start = request.target == "/v1/run-start";
    int& remaining = start ? this->starts_to_delay : this->renewals_to_delay;
    if ((!start && !renewal) || remaining == 0)
    {
        return false;
    }
    --remaining;
    const milliseconds by = start ? this->start_delay : this->renewal_delay;
    json late = in;
    if (this->times_shifted)
    {
        late["deadlineMs"] =
            late["deadlineMs"].get<std::int64_t>() + by.count();
    }
    this->loop.after(by,
                     [this, start, body = late.dump()]
                     {
                         std::string ignored;
                         if (start)
                         {
                             (void)this->start(body, ignored);
                             return;
                         }
                         this->execute_poll(body);
                     });
    return true;
}

void task_server_standin::extend_lease(std::int64_t until_ms)
{
    const std::int64_t max_end_ms = this->clock_ms() + max_lease_ms;
    this->lease_end_ms =
        std::max(this->lease_end_ms, std::min(until_ms, max_end_ms));
}

int task_server_standin::start(const std::string& body, std::string& reply)
{
    this->advance();
    const json in = json::parse(body);
    const auto refuse = [this, &reply](const char* reason)
    {
        reply = json{{"clockMs", this->clock_ms()}, {"reason", reason}}.dump();
        return 409;
    };
    const std::string task = in.at("task");
    const std::uint32_t number = in.at("run");
    const std::uint64_t request_token =
        in.value("fencingToken", std::uint64_t{0});
    const std::int64_t until = in.at("deadlineMs");
    if (request_token < this->fencing_token)
    {
        return refuse("fence");
    }
    this->fencing_token = request_token;
    if (until <= this->clock_ms())
    {
        return refuse("late");
    }
    const auto at = this->runs.find(task);
    if (at != this->runs.end() && at->second.run == number)
    {
        reply = json{{"clockMs", this->clock_ms()}}.dump();
        return 200;
    }
    this->extend_lease(until);
    const auto old = this->highest_run.find(task);
    if (at != this->runs.end() ||
        (old != this->highest_run.end() && number <= old->second))
    {
        return refuse("old");
    }
    const bool overload = this->used_cpu() + task_cpu > this->capacity;
    if (this->full || (overload && this->checks_capacity))
    {
        return refuse("room");
    }
    if (overload)
    {
        this->recorder.on_overload(task, this->name);
    }
    run_state run;
    run.run = number;
    run.cpu = task_cpu;
    // By convention, payloads in tests begin with the run time in ms.
    run.needed_ms = std::stod(in.at("taskSpec").get<std::string>());
    this->runs.emplace(task, run);
    this->recorder.on_start(task, in.at("taskSpec"), this->name);
    reply = json{{"clockMs", this->clock_ms()}}.dump();
    return 200;
}

int task_server_standin::stop(const std::string& body, std::string& reply)
{
    this->advance();
    const json in = json::parse(body);
    const std::uint64_t request_token =
        in.value("fencingToken", std::uint64_t{0});
    if (request_token < this->fencing_token)
    {
        reply = json{{"clockMs", this->clock_ms()}, {"reason", "fence"}}.dump();
        return 409;
    }
    this->fencing_token = request_token;
    const std::string task = in.at("task");
    const std::uint32_t number = in.at("run");
    std::uint32_t& top = this->highest_run[task];
    top = std::max(top, number);
    const auto at = this->runs.find(task);
    if (at != this->runs.end() && at->second.run <= number)
    {
        at->second.stopping = true;
        at->second.stop_at = event_loop::now() + stop_duration;
    }
    reply = json{{"clockMs", this->clock_ms()}}.dump();
    return 200;
}

void task_server_standin::serve_poll(
    const std::string& body, const std::shared_ptr<http_responder>& responder)
{
    if (!this->execute_poll(body))
    {
        responder->answer(
            {409,
             json{{"clockMs", this->clock_ms()}, {"reason", "fence"}}.dump()});
        return;
    }
    const milliseconds wait(json::parse(body).value("waitMs", 0));
    if (wait.count() == 0 || !this->ended_runs.empty())
    {
        responder->answer({200, this->poll_reply_body()});
        return;
    }
    this->pending_polls.push_back({responder, event_loop::now() + wait});
}

bool task_server_standin::execute_poll(const std::string& body)
{
    this->advance();
    const json in = json::parse(body);
    const std::uint64_t request_token =
        in.value("fencingToken", std::uint64_t{0});
    if (request_token < this->fencing_token)
    {
        return false;
    }
    this->fencing_token = request_token;
    const std::uint64_t acknowledged = in.value("ackCursor", std::uint64_t{0});
    std::erase_if(this->ended_runs, [acknowledged](const run_outcome& end)
                  { return end.number <= acknowledged; });
    if (in.contains("deadlineMs"))
    {
        this->extend_lease(in["deadlineMs"]);
    }
    return true;
}

std::string task_server_standin::poll_reply_body() const
{
    json running = json::array();
    for (const auto& [task, run] : this->runs)
    {
        const double share = run.progress_ms / std::max(run.needed_ms, 1.0);
        running.push_back(
            {task, run.run, "", static_cast<int>(share * 100), run.cpu});
    }
    json finished = json::array();
    for (const run_outcome& end : this->ended_runs)
    {
        finished.push_back({end.number, end.task, end.run, end.outcome, ""});
    }
    return json{{"clockMs", this->clock_ms()},
                {"born", this->incarnation},
                {"running", running},
                {"finished", finished}}
        .dump();
}

void task_server_standin::end_run(const std::string& task,
                                  const std::string& outcome)
{
    const run_state run = this->runs.at(task);
    this->runs.erase(task);
    std::uint32_t& top = this->highest_run[task];
    top = std::max(top, run.run);
    this->ended_runs.push_back(
        {this->next_end_number++, task, run.run, outcome});
    this->recorder.on_end(task, this->name);
}

void task_server_standin::advance()
{
    const instant now = event_loop::now();
    const double elapsed_ms =
        std::chrono::duration<double, std::milli>(now - this->last_advance)
            .count();
    this->last_advance = now;
    std::vector<std::pair<std::string, std::string>> ended;
    for (auto& [task, run] : this->runs)
    {
        run.progress_ms += this->hanging ? 0 : elapsed_ms / this->slowdown;
        if (this->clock_ms() > this->lease_end_ms)
        {
            ended.emplace_back(task, "lapsed");
        }
        else if (run.stopping && now >= run.stop_at)
        {
            ended.emplace_back(task, "stopped");
        }
        else if (run.progress_ms >= run.needed_ms)
        {
            ended.emplace_back(task, this->failing ? "failed" : "done");
        }
    }
    for (const auto& [task, outcome] : ended)
    {
        this->end_run(task, outcome);
    }
    if (this->unresponsive)
    {
        return;
    }
    const auto pending = std::move(this->pending_polls);
    this->pending_polls.clear();
    for (const pending_poll& poll : pending)
    {
        if (!this->ended_runs.empty() || poll.until <= now)
        {
            poll.responder->answer({200, this->poll_reply_body()});
            continue;
        }
        this->pending_polls.push_back(poll);
    }
}

void task_server_standin::schedule_step()
{
    this->advance();
    this->loop.after(step_interval, [this] { this->schedule_step(); });
}

} // namespace jujubedrum
