#include "worker.hpp"

#include <algorithm>
#include <sstream>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

namespace
{

using nlohmann::json;

constexpr milliseconds step_interval{2};
/// `stopMs` and `maxHoldMs` of the small sites.
constexpr milliseconds stop_time{50};
constexpr std::int64_t max_hold_ms = 1000;
constexpr const char* instance_header = "X-Jujubedrum-Expected-Instance";

std::uint64_t unix_ms()
{
    return static_cast<std::uint64_t>(event_loop::wall_now().count());
}

} // namespace

worker::worker(event_loop& events, traits description, observer on_event)
    : loop(events)
    , server(events, instance_header,
             [this](const http_request& request, const auto& responder)
             { this->serve(request, responder); })
    , info(std::move(description))
    , observe(std::move(on_event))
    , born(unix_ms())
    , clock_origin(event_loop::now())
    , advanced(event_loop::now())
{
}

bool worker::listen()
{
    this->step();
    return this->server.listen("127.0.0.1", 0);
}

std::string worker::entry(std::uint16_t port) const
{
    return json{{"backend", this->info.service},
                {"address", "127.0.0.1:" + std::to_string(port)},
                {"zone", this->info.zone},
                {"version", "v1"},
                {"slots", 8},
                {"state", this->draining ? "draining" : "ready"},
                {"coldRemainingMs", 0},
                {"capacity",
                 {{"cpu", this->info.cpu},
                  {"memMb", this->info.memory_mb},
                  {"gpu", 0}}},
                {"labels", this->info.labels},
                {"clockMs", this->clock_ms()},
                {"born", this->born},
                {"seqNo", this->next_end}}
        .dump();
}

void worker::set_late(std::uint32_t share, milliseconds by, bool starts_only)
{
    this->late_share = share;
    this->late_by = by;
    this->late_starts_only = starts_only;
}

void worker::crash()
{
    this->observe({"crash", this->info.id, "", 0, ""});
    const auto lost = this->runs;
    this->runs.clear();
    for (const auto& [task, run] : lost)
    {
        this->observe({"end", this->info.id, task, run.run, "crashed"});
    }
    this->ends.clear();
    this->highest.clear();
    for (const waiting_poll& poll : this->polls)
    {
        poll.responder->answer({503, ""});
    }
    this->polls.clear();
    this->token = 0;
    this->lease_end_ms = 0;
    this->next_end = 1;
    this->clock_origin = event_loop::now();
    this->born = std::max(this->born + 1, unix_ms());
}

bool worker::over_capacity() const
{
    std::uint64_t cpu = 0;
    std::uint64_t memory = 0;
    for (const auto& [task, run] : this->runs)
    {
        cpu += run.cpu;
        memory += run.memory_mb;
    }
    return cpu > this->info.cpu || memory > this->info.memory_mb;
}

std::int64_t worker::clock_ms() const
{
    return std::chrono::duration_cast<milliseconds>(event_loop::now() -
                                                    this->clock_origin)
        .count();
}

std::string worker::refusal(const char* reason) const
{
    return json{{"clockMs", this->clock_ms()}, {"reason", reason}}.dump();
}

void worker::extend(std::int64_t until_ms)
{
    this->lease_end_ms = std::max(
        this->lease_end_ms, std::min(until_ms, this->clock_ms() + max_hold_ms));
}

void worker::serve(const http_request& request,
                   const std::shared_ptr<http_responder>& responder)
{
    const auto execute = [this](const http_request& order, std::string& reply)
    {
        if (order.target == "/v1/run-start")
        {
            return this->start(order.body, reply);
        }
        return order.target == "/v1/run-stop" ? this->stop(order.body, reply)
                                              : this->hold(order.body, reply);
    };
    if (this->silent)
    {
        return;
    }
    if (!request.deadline.empty() && request.deadline != this->info.id)
    {
        responder->answer({421, ""});
        return;
    }
    ++this->all_orders;
    this->draws ^= this->draws << 13U;
    this->draws ^= this->draws >> 7U;
    this->draws ^= this->draws << 17U;
    if (this->draws % 1000 < this->late_share &&
        (!this->late_starts_only || request.target == "/v1/run-start"))
    {
        ++this->late_count;
        http_request late = request;
        json order = json::parse(request.body);
        if (order.contains("deadlineMs"))
        {
            order["deadlineMs"] =
                order["deadlineMs"].get<std::int64_t>() + this->late_by.count();
            late.body = order.dump();
        }
        this->loop.after(this->late_by,
                         [execute, late]
                         {
                             std::string unused;
                             execute(late, unused);
                         });
        return;
    }
    std::string reply;
    const int status = execute(request, reply);
    const milliseconds wait(request.target == "/v1/hold"
                                ? json::parse(request.body).value("waitMs", 0)
                                : 0);
    if (status == 200 && wait.count() > 0 && this->ends.empty())
    {
        this->polls.push_back({responder, event_loop::now() + wait});
        return;
    }
    responder->answer({status, reply});
}

int worker::start(const std::string& body, std::string& reply)
{
    this->advance();
    const json in = json::parse(body);
    const std::uint64_t fence = in.value("fencingToken", std::uint64_t{0});
    const std::string task = in.at("task");
    const std::uint32_t number = in.at("run");
    const std::int64_t until = in.at("deadlineMs");
    const std::string text = in.at("taskSpec");
    reply = json{{"clockMs", this->clock_ms()}}.dump();
    if (fence < this->token)
    {
        reply = this->refusal("fence");
        return 409;
    }
    this->token = fence;
    if (until <= this->clock_ms())
    {
        reply = this->refusal("late");
        return 409;
    }
    this->extend(until);
    const auto at = this->runs.find(task);
    if (at != this->runs.end() && at->second.run == number)
    {
        return 200;
    }
    const auto old = this->highest.find(task);
    if (at != this->runs.end() ||
        (old != this->highest.end() && number <= old->second))
    {
        reply = this->refusal("old");
        return 409;
    }
    run_state run;
    run.run = number;
    std::istringstream(text) >> run.needed_ms >> run.cpu >> run.memory_mb;
    this->runs.emplace(task, run);
    if (this->info.guards && this->over_capacity())
    {
        this->runs.erase(task);
        reply = this->refusal("room");
        return 409;
    }
    this->observe({"start", this->info.id, task, number, text});
    return 200;
}

int worker::stop(const std::string& body, std::string& reply)
{
    this->advance();
    const json in = json::parse(body);
    const std::uint64_t fence = in.value("fencingToken", std::uint64_t{0});
    if (fence < this->token)
    {
        reply = this->refusal("fence");
        return 409;
    }
    this->token = fence;
    const std::string task = in.at("task");
    const std::uint32_t number = in.at("run");
    std::uint32_t& top = this->highest[task];
    top = std::max(top, number);
    const auto at = this->runs.find(task);
    if (at != this->runs.end() && at->second.run <= number &&
        !at->second.stopping)
    {
        at->second.stopping = true;
        at->second.stop_at = event_loop::now() + stop_time;
    }
    reply = json{{"clockMs", this->clock_ms()}}.dump();
    return 200;
}

int worker::hold(const std::string& body, std::string& reply)
{
    this->advance();
    const json in = json::parse(body);
    const std::uint64_t fence = in.value("fencingToken", std::uint64_t{0});
    if (fence < this->token)
    {
        reply = this->refusal("fence");
        return 409;
    }
    this->token = fence;
    const std::uint64_t noted = in.value("ackCursor", std::uint64_t{0});
    std::erase_if(this->ends, [noted](const ended_run& each)
                  { return each.number <= noted; });
    if (in.contains("deadlineMs"))
    {
        this->extend(in["deadlineMs"]);
    }
    reply = this->listing();
    return 200;
}

std::string worker::listing() const
{
    json running = json::array();
    for (const auto& [task, run] : this->runs)
    {
        const double share = run.done_ms / std::max(run.needed_ms, 1.0);
        running.push_back({task, run.run, "",
                           static_cast<int>(std::min(share, 0.99) * 100),
                           run.cpu});
    }
    json finished = json::array();
    constexpr std::size_t max_listed = 500;
    for (const ended_run& each : this->ends)
    {
        if (finished.size() < max_listed)
        {
            finished.push_back(
                {each.number, each.task, each.run, each.outcome, ""});
        }
    }
    return json{{"clockMs", this->clock_ms()},
                {"born", this->born},
                {"running", running},
                {"finished", finished}}
        .dump();
}

void worker::end(const std::string& task, const std::string& outcome)
{
    const run_state run = this->runs.at(task);
    this->runs.erase(task);
    std::uint32_t& top = this->highest[task];
    top = std::max(top, run.run);
    this->ends.push_back({this->next_end++, task, run.run, outcome});
    this->observe({"end", this->info.id, task, run.run, outcome});
}

void worker::advance()
{
    const instant now = event_loop::now();
    const double passed =
        std::chrono::duration<double, std::milli>(now - this->advanced).count();
    this->advanced = now;
    std::vector<std::pair<std::string, std::string>> over;
    for (auto& [task, run] : this->runs)
    {
        run.done_ms += passed;
        if (this->clock_ms() > this->lease_end_ms)
        {
            over.emplace_back(task, "lapsed");
        }
        else if (run.stopping && now >= run.stop_at)
        {
            over.emplace_back(task, "stopped");
        }
        else if (!run.stopping && run.done_ms >= run.needed_ms)
        {
            over.emplace_back(task, "done");
        }
    }
    for (const auto& [task, outcome] : over)
    {
        this->end(task, outcome);
    }
    if (this->silent)
    {
        return;
    }
    const auto open = std::move(this->polls);
    this->polls.clear();
    for (const waiting_poll& poll : open)
    {
        if (!this->ends.empty() || poll.until <= now)
        {
            poll.responder->answer({200, this->listing()});
            continue;
        }
        this->polls.push_back(poll);
    }
}

void worker::step()
{
    this->advance();
    this->loop.after(step_interval, [this] { this->step(); });
}

} // namespace jujubedrum
