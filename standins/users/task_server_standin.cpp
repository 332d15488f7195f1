#include "users/task_server_standin.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

namespace
{

using nlohmann::json;

/// How exactly runs and waits are timed.
constexpr milliseconds step{5};
/// Longest lease of this platform.
constexpr std::int64_t longest_lease_ms = 1000;
constexpr milliseconds stop_time{30};
/// Processor of a task; the wire tells a server nothing about it.
constexpr std::uint32_t task_cpu = 6800;

std::string job_of(const std::string& task)
{
    return task.substr(0, task.find('.'));
}

} // namespace

void run_record::on_start(const std::string& task, const std::string& payload,
                          const std::string& server)
{
    ++this->starts;
    ++this->by_job[job_of(task)];
    const auto known = this->expected.find(job_of(task));
    if (known == this->expected.end() || known->second != payload)
    {
        this->faults.push_back("not asked for: " + task);
    }
    const auto added = this->running.emplace(task, server);
    if (!added.second)
    {
        this->faults.push_back("two runs at once: " + task + " on " + server +
                               " and " + added.first->second);
    }
}

void run_record::on_end(const std::string& task, const std::string& server)
{
    const auto at = this->running.find(task);
    if (at != this->running.end() && at->second == server)
    {
        this->running.erase(at);
    }
}

std::uint64_t run_record::starts_of(const std::string& job) const
{
    const auto at = this->by_job.find(job);
    return at == this->by_job.end() ? 0 : at->second;
}

void run_record::expect(const std::string& job, const std::string& payload)
{
    this->expected[job] = payload;
}

task_server_standin::task_server_standin(event_loop& events, std::string id,
                                         std::uint32_t cpu,
                                         run_record& all_runs)
    : loop(events)
    , server(events, "X-None",
             [this](const http_request& request, const auto& responder)
             { this->serve(request, responder); })
    , name(std::move(id))
    , capacity(cpu)
    , record(all_runs)
    , born(static_cast<std::uint64_t>(event_loop::wall_now().count()))
    , advanced(event_loop::now())
{
}

bool task_server_standin::listen()
{
    this->every_step();
    return this->server.listen("127.0.0.1", 0);
}

std::int64_t task_server_standin::clock_ms() const
{
    return std::chrono::duration_cast<milliseconds>(event_loop::now()).count();
}

std::uint32_t task_server_standin::used() const
{
    std::uint32_t total = 0;
    for (const auto& [task, run] : this->runs)
    {
        total += run.cpu;
    }
    return total;
}

std::string task_server_standin::entry(const std::string& domain,
                                       std::uint16_t reached) const
{
    return json{
        {"backend", "service"},
        {"address", "127.0.0.1:" + std::to_string(reached)},
        {"zone", domain},
        {"version", "v1"},
        {"slots", 8},
        {"state", this->draining ? "draining" : "ready"},
        {"coldRemainingMs", 0},
        {"capacity", {{"cpu", this->capacity}, {"memMb", 32768}, {"gpu", 0}}},
        {"labels", {"a", "r1-1"}},
        {"born", this->born},
        {"seqNo", 1}}
        .dump();
}

void task_server_standin::delay_starts(int count, milliseconds by)
{
    this->starts_to_delay = count;
    this->start_delay = by;
}

void task_server_standin::crash()
{
    for (const auto& [task, run] : this->runs)
    {
        this->record.on_end(task, this->name);
    }
    this->runs.clear();
    this->ends.clear();
    this->highest.clear();
    this->token = 0;
    this->lease_ms = 0;
    this->next_end = 1;
    this->born = std::max<std::uint64_t>(
        this->born + 1,
        static_cast<std::uint64_t>(event_loop::wall_now().count()));
}

void task_server_standin::serve(
    const http_request& request,
    const std::shared_ptr<http_responder>& responder)
{
    if (this->silent)
    {
        return;
    }
    if (request.target == "/v1/hold")
    {
        this->hold(request.body, responder);
        return;
    }
    std::string reply;
    if (request.target == "/v1/run-stop")
    {
        if (this->stops_to_lose > 0)
        {
            --this->stops_to_lose;
            return;
        }
        const int status = this->stop(request.body, reply);
        responder->answer({status, reply});
        return;
    }
    if (this->starts_to_delay > 0)
    {
        --this->starts_to_delay;
        this->loop.after(this->start_delay,
                         [this, body = request.body]
                         {
                             std::string ignored;
                             (void)this->start(body, ignored);
                         });
        return;
    }
    const int status = this->start(request.body, reply);
    if (this->answers_to_lose > 0)
    {
        --this->answers_to_lose;
        return;
    }
    responder->answer({status, reply});
}

void task_server_standin::extend_lease(std::int64_t until_ms)
{
    const std::int64_t most = this->clock_ms() + longest_lease_ms;
    this->lease_ms = std::max(this->lease_ms, std::min(until_ms, most));
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
    const std::uint64_t fence = in.value("fencingToken", std::uint64_t{0});
    const std::int64_t until = in.at("deadlineMs");
    if (fence < this->token)
    {
        return refuse("fence");
    }
    this->token = fence;
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
    const auto old = this->highest.find(task);
    if (at != this->runs.end() ||
        (old != this->highest.end() && number <= old->second))
    {
        return refuse("old");
    }
    if (this->used() + task_cpu > this->capacity)
    {
        return refuse("room");
    }
    run_state run;
    run.run = number;
    run.cpu = task_cpu;
    // The payload of these tests begins with the run time in milliseconds.
    run.needed_ms = std::stod(in.at("taskSpec").get<std::string>());
    this->runs.emplace(task, run);
    this->record.on_start(task, in.at("taskSpec"), this->name);
    reply = json{{"clockMs", this->clock_ms()}}.dump();
    return 200;
}

int task_server_standin::stop(const std::string& body, std::string& reply)
{
    this->advance();
    const json in = json::parse(body);
    const std::uint64_t fence = in.value("fencingToken", std::uint64_t{0});
    if (fence < this->token)
    {
        reply = json{{"clockMs", this->clock_ms()}, {"reason", "fence"}}.dump();
        return 409;
    }
    this->token = fence;
    const std::string task = in.at("task");
    const std::uint32_t number = in.at("run");
    std::uint32_t& top = this->highest[task];
    top = std::max(top, number);
    const auto at = this->runs.find(task);
    if (at != this->runs.end() && at->second.run <= number)
    {
        at->second.stopping = true;
        at->second.stop_at = event_loop::now() + stop_time;
    }
    reply = json{{"clockMs", this->clock_ms()}}.dump();
    return 200;
}

void task_server_standin::hold(const std::string& body,
                               const std::shared_ptr<http_responder>& responder)
{
    this->advance();
    const json in = json::parse(body);
    const std::uint64_t fence = in.value("fencingToken", std::uint64_t{0});
    if (fence < this->token)
    {
        responder->answer(
            {409,
             json{{"clockMs", this->clock_ms()}, {"reason", "fence"}}.dump()});
        return;
    }
    this->token = fence;
    const std::uint64_t seen = in.value("ackCursor", std::uint64_t{0});
    std::erase_if(this->ends,
                  [seen](const end_state& end) { return end.number <= seen; });
    if (in.contains("deadlineMs"))
    {
        this->extend_lease(in["deadlineMs"]);
    }
    const milliseconds wait(in.value("waitMs", 0));
    if (wait.count() == 0 || !this->ends.empty())
    {
        responder->answer({200, this->listing()});
        return;
    }
    this->looks.push_back({responder, event_loop::now() + wait});
}

std::string task_server_standin::listing() const
{
    json running = json::array();
    for (const auto& [task, run] : this->runs)
    {
        const double share = run.progress_ms / std::max(run.needed_ms, 1.0);
        running.push_back(
            {task, run.run, "", static_cast<int>(share * 100), run.cpu});
    }
    json finished = json::array();
    for (const end_state& end : this->ends)
    {
        finished.push_back({end.number, end.task, end.run, end.how, ""});
    }
    return json{{"clockMs", this->clock_ms()},
                {"born", this->born},
                {"running", running},
                {"finished", finished}}
        .dump();
}

void task_server_standin::end_run(const std::string& task,
                                  const std::string& how)
{
    const run_state run = this->runs.at(task);
    this->runs.erase(task);
    std::uint32_t& top = this->highest[task];
    top = std::max(top, run.run);
    this->ends.push_back({this->next_end++, task, run.run, how});
    this->record.on_end(task, this->name);
}

void task_server_standin::advance()
{
    const instant now = event_loop::now();
    const double passed =
        std::chrono::duration<double, std::milli>(now - this->advanced).count();
    this->advanced = now;
    std::vector<std::pair<std::string, std::string>> ended;
    for (auto& [task, run] : this->runs)
    {
        run.progress_ms += this->hanging ? 0 : passed / this->slowdown;
        if (this->clock_ms() > this->lease_ms)
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
    for (const auto& [task, how] : ended)
    {
        this->end_run(task, how);
    }
    if (this->silent)
    {
        return;
    }
    const auto pending = std::move(this->looks);
    this->looks.clear();
    for (const waiting_look& look : pending)
    {
        if (!this->ends.empty() || look.until <= now)
        {
            look.responder->answer({200, this->listing()});
            continue;
        }
        this->looks.push_back(look);
    }
}

void task_server_standin::every_step()
{
    this->advance();
    this->loop.after(step, [this] { this->every_step(); });
}

} // namespace jujubedrum
