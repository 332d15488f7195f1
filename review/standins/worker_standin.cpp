#include "worker_standin.hpp"

#include <algorithm>
#include <sstream>

#include <nlohmann/json.hpp>

namespace jujubedrum::review
{

namespace
{

using nlohmann::json;

constexpr milliseconds step_interval{5};
constexpr std::int64_t max_hold_ms = 1000;
/// A stop takes at most `stopMs`, 50 ms.
constexpr milliseconds stop_time{30};
/// Tokens of one holder for one pool share their upper bits.
constexpr unsigned token_bits_of_holder = 18;
/// When a start is carried out late.
constexpr int min_late_ms = 2000;
constexpr int max_late_ms = 12000;

/// Drops the answer to a start that is carried out late.
class silent_responder : public http_responder
{
public:
    void answer(const http_answer&) override {}
    void on_disconnect(std::function<void()>) override {}
};

} // namespace

task_need task_need::parse(const std::string& spec)
{
    task_need result;
    std::istringstream in(spec);
    in >> result.run_ms >> result.cpu >> result.label;
    if (result.label == "-")
    {
        result.label.clear();
    }
    return result;
}

worker_standin::worker_standin(event_loop& events, std::string id,
                               std::string own_address, std::string domain,
                               std::string own_rack, worker_kind kind,
                               bool guards_room, run_observer& receiver)
    : loop(events)
    , name(std::move(id))
    , address(std::move(own_address))
    , zone(std::move(domain))
    , rack(std::move(own_rack))
    , own_kind(std::move(kind))
    , guards(guards_room)
    , observer(receiver)
{
}

bool worker_standin::listen()
{
    this->schedule_step();
    return this->restart(this->own_kind);
}

void worker_standin::begin_boot()
{
    this->clock_origin = event_loop::now();
    this->last_advance = this->clock_origin;
    this->born = std::max<std::uint64_t>(
        this->born + 1,
        static_cast<std::uint64_t>(event_loop::wall_now().count()));
    this->sequence = 0;
    this->fence = 0;
    this->lease_end_ms = 0;
    this->next_end = 1;
    this->active.clear();
    this->ended.clear();
    this->highest_run.clear();
    this->informed.clear();
}

bool worker_standin::restart(const worker_kind& kind)
{
    this->own_kind = kind;
    this->begin_boot();
    this->server = std::make_unique<http_server>(
        this->loop, "X-Jujubedrum-Expected-Instance",
        [this](const http_request& request, const auto& responder)
        { this->serve(request, responder); });
    if (!this->server->listen(this->address, this->port))
    {
        return false;
    }
    this->port = this->server->port();
    return true;
}

void worker_standin::crash()
{
    for (const auto& [task, run] : this->active)
    {
        this->observer.on_end(this->name, task, run.run, "crashed");
    }
    this->active.clear();
    this->waiting.clear();
    this->server->stop();
    // Handlers of its last writes may still run.
    this->retired.push_back(std::move(this->server));
}

std::int64_t worker_standin::clock_ms() const
{
    return std::chrono::duration_cast<milliseconds>(event_loop::now() -
                                                    this->clock_origin)
        .count();
}

std::uint32_t worker_standin::used_cpu() const
{
    std::uint32_t total = 0;
    for (const auto& [task, run] : this->active)
    {
        total += run.need.cpu;
    }
    return total;
}

std::string worker_standin::entry()
{
    return json{{"backend", this->service},
                {"address", this->address + ":" + std::to_string(this->port)},
                {"zone", this->zone},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"coldRemainingMs", 0},
                {"capacity",
                 {{"cpu", this->own_kind.cpu}, {"memMb", 32768}, {"gpu", 0}}},
                {"labels", {this->own_kind.label, this->rack}},
                {"born", this->born},
                {"clockMs", this->clock_ms()},
                {"seqNo", ++this->sequence}}
        .dump();
}

bool worker_standin::runs(const std::string& job) const
{
    return std::any_of(this->active.begin(), this->active.end(),
                       [&job](const auto& entry)
                       { return entry.first.rfind(job + ".", 0) == 0; });
}

void worker_standin::serve(const http_request& request,
                           const std::shared_ptr<http_responder>& responder)
{
    this->advance();
    // The server passes the expected instance on as its configured header.
    if (!request.deadline.empty() && request.deadline != this->name)
    {
        responder->answer({421, json{{"clockMs", this->clock_ms()}}.dump()});
        return;
    }
    if (request.target == "/v1/run-start" && this->delay_start(request))
    {
        return;
    }
    if (request.target == "/v1/run-start")
    {
        this->start(request.body, responder);
    }
    else if (request.target == "/v1/run-stop")
    {
        this->stop(request.body, responder);
    }
    else if (request.target == "/v1/hold")
    {
        this->hold(request.body, responder);
    }
    else
    {
        responder->answer({404, ""});
    }
}

bool worker_standin::delay_start(const http_request& request)
{
    if (!std::bernoulli_distribution(this->late_share)(this->random))
    {
        return false;
    }
    const milliseconds delay(std::uniform_int_distribution<int>(
        min_late_ms, max_late_ms)(this->random));
    this->loop.after(delay,
                     [this, body = request.body]
                     {
                         if (this->up())
                         {
                             this->advance();
                             this->start(body,
                                         std::make_shared<silent_responder>());
                         }
                     });
    return true;
}

void worker_standin::refuse(const std::shared_ptr<http_responder>& responder,
                            const char* reason)
{
    responder->answer(
        {409, json{{"clockMs", this->clock_ms()}, {"reason", reason}}.dump()});
}

void worker_standin::extend_lease(std::int64_t until_ms)
{
    this->lease_end_ms = std::max(
        this->lease_end_ms, std::min(until_ms, this->clock_ms() + max_hold_ms));
}

void worker_standin::start(const std::string& body,
                           const std::shared_ptr<http_responder>& responder)
{
    const json in = json::parse(body);
    const std::string task = in.at("task");
    const std::uint32_t number = in.at("run");
    const std::uint64_t token = in.value("fencingToken", std::uint64_t{0});
    const std::int64_t until = in.at("deadlineMs");
    if (token < this->fence)
    {
        this->refuse(responder, "fence");
        return;
    }
    this->fence = token;
    const auto at = this->active.find(task);
    if (at != this->active.end() && at->second.run == number)
    {
        this->extend_lease(until);
        responder->answer({200, json{{"clockMs", this->clock_ms()}}.dump()});
        return;
    }
    if (until <= this->clock_ms())
    {
        this->refuse(responder, "late");
        return;
    }
    this->extend_lease(until);
    const auto highest = this->highest_run.find(task);
    if (at != this->active.end() ||
        (highest != this->highest_run.end() && number <= highest->second))
    {
        this->refuse(responder, "old");
        return;
    }
    active_run run;
    run.run = number;
    run.need = task_need::parse(in.at("taskSpec"));
    if (this->guards && this->used_cpu() + run.need.cpu > this->own_kind.cpu)
    {
        this->refuse(responder, "room");
        return;
    }
    this->active.emplace(task, run);
    this->observer.on_start(
        {this->name, task, number, token, run.need,
         this->informed.count(token >> token_bits_of_holder) > 0,
         this->used_cpu(), this->own_kind.cpu,
         std::set<std::string>{this->own_kind.label, this->rack}});
    responder->answer({200, json{{"clockMs", this->clock_ms()}}.dump()});
}

void worker_standin::stop(const std::string& body,
                          const std::shared_ptr<http_responder>& responder)
{
    if (this->stops_lost)
    {
        return;
    }
    const json in = json::parse(body);
    const std::uint64_t token = in.value("fencingToken", std::uint64_t{0});
    if (token < this->fence)
    {
        this->refuse(responder, "fence");
        return;
    }
    this->fence = token;
    const std::string task = in.at("task");
    const std::uint32_t number = in.at("run");
    std::uint32_t& highest = this->highest_run[task];
    highest = std::max(highest, number);
    const auto at = this->active.find(task);
    if (at != this->active.end() && at->second.run <= number &&
        !at->second.stopping)
    {
        at->second.stopping = true;
        at->second.stop_at = event_loop::now() + stop_time;
    }
    responder->answer({200, json{{"clockMs", this->clock_ms()}}.dump()});
}

void worker_standin::hold(const std::string& body,
                          const std::shared_ptr<http_responder>& responder)
{
    const json in = json::parse(body);
    const std::uint64_t token = in.value("fencingToken", std::uint64_t{0});
    if (token < this->fence)
    {
        this->refuse(responder, "fence");
        return;
    }
    this->fence = token;
    this->informed.insert(token >> token_bits_of_holder);
    const std::uint64_t cursor = in.value("ackCursor", std::uint64_t{0});
    std::erase_if(this->ended, [cursor](const ended_run& end)
                  { return end.number <= cursor; });
    if (in.contains("deadlineMs"))
    {
        this->extend_lease(in.at("deadlineMs"));
    }
    const milliseconds wait(in.value("waitMs", 0));
    if (wait.count() == 0 || !this->ended.empty())
    {
        this->answer_list(responder);
        return;
    }
    this->waiting.push_back({responder, event_loop::now() + wait});
}

void worker_standin::answer_list(
    const std::shared_ptr<http_responder>& responder)
{
    json running = json::array();
    for (const auto& [task, run] : this->active)
    {
        const double share = run.progress_ms / std::max(run.need.run_ms, 1.0);
        running.push_back({task, run.run, "",
                           static_cast<int>(std::min(share, 1.0) * 100),
                           run.need.cpu});
    }
    json finished = json::array();
    for (const ended_run& end : this->ended)
    {
        finished.push_back({end.number, end.task, end.run, end.how, ""});
    }
    responder->answer({200, json{{"clockMs", this->clock_ms()},
                                 {"born", this->born},
                                 {"running", running},
                                 {"finished", finished}}
                                .dump()});
}

void worker_standin::end_run(const std::string& task, const std::string& how)
{
    const active_run run = this->active.at(task);
    this->active.erase(task);
    std::uint32_t& highest = this->highest_run[task];
    highest = std::max(highest, run.run);
    this->ended.push_back({this->next_end++, task, run.run, how});
    this->observer.on_end(this->name, task, run.run, how);
}

void worker_standin::advance()
{
    const instant now = event_loop::now();
    const double elapsed_ms =
        std::chrono::duration<double, std::milli>(now - this->last_advance)
            .count();
    this->last_advance = now;
    std::vector<std::pair<std::string, std::string>> ends;
    for (auto& [task, run] : this->active)
    {
        run.progress_ms += elapsed_ms;
        if (this->clock_ms() > this->lease_end_ms)
        {
            ends.emplace_back(task, "lapsed");
        }
        else if (run.stopping && now >= run.stop_at)
        {
            ends.emplace_back(task, "stopped");
        }
        else if (run.progress_ms >= run.need.run_ms)
        {
            ends.emplace_back(task, "done");
        }
    }
    for (const auto& [task, how] : ends)
    {
        this->end_run(task, how);
    }
    const auto pending = std::move(this->waiting);
    this->waiting.clear();
    for (const waiting_hold& each : pending)
    {
        if (!this->ended.empty() || each.until <= now)
        {
            this->answer_list(each.responder);
            continue;
        }
        this->waiting.push_back(each);
    }
}

void worker_standin::schedule_step()
{
    if (this->up())
    {
        this->advance();
    }
    this->loop.after(step_interval, [this] { this->schedule_step(); });
}

} // namespace jujubedrum::review
