#include "backend/backend_server_standin.hpp"

#include <chrono>

namespace jujubedrum
{

namespace
{

// Added to the connections for tasks, so that a server whose task connections
// are all in use still answers control requests.
constexpr std::size_t control_connections = 64;
constexpr std::size_t max_counted_tasks = 1000000;
constexpr int reported_cores = 16;

instant now()
{
    return std::chrono::duration_cast<microseconds>(
        std::chrono::steady_clock::now().time_since_epoch());
}

std::chrono::steady_clock::time_point time_point(instant at)
{
    return std::chrono::steady_clock::time_point(at);
}

} // namespace

backend_server_standin::backend_server_standin(const server_options& options)
    : standin_server(static_cast<std::size_t>(options.connections) +
                     control_connections)
    , options(options)
    , queue(options.slots, options.memory_mb)
    , starts(max_counted_tasks)
{
    this->Post("/v1/tasks", [this](const auto& request, auto& response)
               { this->run(request, response); });
    this->Delete("/v1/tasks/(.+)", [this](const auto& request, auto& response)
                 { this->stop_task(request, response); });
    this->Get("/v1/usage", [this](const auto&, auto& response)
              { this->report_usage(response); });
    this->Get("/control/starts", [this](const auto& request, auto& response)
              { this->report_starts(request, response); });
    this->Post("/control/faults", [this](const auto& request, auto& response)
               { this->set_faults(request, response); });
    this->Get("/control/faults",
              [this](const auto&, auto& response)
              {
                  const std::lock_guard lock(this->state_mutex);
                  reply_json(response, 200, this->faults.to_json());
              });
}

void backend_server_standin::shut_down()
{
    {
        const std::lock_guard lock(this->state_mutex);
        this->stopping = true;
        this->queue.notify_all();
        this->faults_changed.notify_all();
    }
    this->close();
}

void backend_server_standin::on_connection_closed(int connection)
{
    const std::lock_guard lock(this->state_mutex);
    this->task_connections.erase(connection);
}

void backend_server_standin::run(const httplib::Request& request,
                                 httplib::Response& response)
{
    const auto body = parse_object(request.body, response);
    if (!body.has_value())
    {
        return;
    }
    const auto parsed = standin_task::parse(*body);
    if (!parsed.has_value())
    {
        response.set_header("Task-Started", "no");
        reply_json(response, 400, {{"error", "malformed task"}});
        return;
    }
    this->run_task(*parsed, response);
}

void backend_server_standin::run_task(const standin_task& request,
                                      httplib::Response& response)
{
    std::unique_lock lock(this->state_mutex);
    ++this->received;
    this->wait_while_frozen(lock);
    this->task_connections.insert(connection());
    if (this->faults.draining || this->stopping)
    {
        this->refuse(response, "draining");
        return;
    }
    if (this->task_connections.size() >
            static_cast<std::size_t>(this->options.connections) ||
        request.memory_mb > this->options.memory_mb)
    {
        this->refuse(response, "busy");
        return;
    }
    task_entry entry;
    entry.task = request.task;
    entry.memory_mb = request.memory_mb;
    this->queue.add(entry);
    this->start_tasks();
    if (!this->wait_for_slot(lock, entry, request))
    {
        this->refuse(response, this->faults.draining ? "draining" : "busy");
        return;
    }
    const task_plan plan =
        task_plan::make(request, this->options, this->faults);
    const instant started = now();
    const std::string error = this->run_in_slot(lock, entry, plan);
    const double run_ms = static_cast<double>((now() - started).count()) / 1e3;
    ++(error.empty() ? this->answered : this->failed);
    if (!this->delay_reply(lock))
    {
        close_without_reply();
        return;
    }
    lock.unlock();
    if (!error.empty())
    {
        reply_json(response, 500, {{"task", request.task}, {"error", error}});
        return;
    }
    reply_json(response, 200,
               {{"task", request.task},
                {"result", request.result()},
                {"run_ms", run_ms}});
}

bool backend_server_standin::wait_for_slot(std::unique_lock<std::mutex>& lock,
                                           task_entry& entry,
                                           const standin_task& request)
{
    // An hour bounds the wait of a task without a lease.
    const instant until =
        now() + (request.lease_ms > 0 ? milliseconds(request.lease_ms)
                                      : milliseconds(3600000));
    entry.changed.wait_until(lock, time_point(until),
                             [&]
                             {
                                 return entry.state ==
                                            task_entry::phase::running ||
                                        entry.stopped || this->stopping ||
                                        this->faults.draining;
                             });
    if (entry.state == task_entry::phase::running)
    {
        return true;
    }
    this->remove_task(entry);
    return false;
}

std::string
backend_server_standin::run_in_slot(std::unique_lock<std::mutex>& lock,
                                    task_entry& entry, const task_plan& plan)
{
    entry.changed.wait_until(lock, time_point(now() + plan.run_time),
                             [&] { return entry.stopped || this->stopping; });
    const bool stopped = entry.stopped || this->stopping;
    this->remove_task(entry);
    return stopped ? "stopped" : plan.error;
}

void backend_server_standin::remove_task(task_entry& entry)
{
    this->queue.remove(entry);
    this->start_tasks();
}

void backend_server_standin::start_tasks()
{
    if (!this->faults.frozen && !this->stopping)
    {
        for (task_entry* entry : this->queue.start_ready())
        {
            this->starts.count(entry->task);
            entry->changed.notify_all();
        }
    }
    this->record_usage();
}

bool backend_server_standin::delay_reply(std::unique_lock<std::mutex>& lock)
{
    const bool dropped = this->faults.drop_replies > 0;
    if (dropped)
    {
        --this->faults.drop_replies;
    }
    if (this->faults.late_ms > 0)
    {
        this->faults_changed.wait_until(
            lock, time_point(now() + milliseconds(this->faults.late_ms)),
            [this] { return this->stopping; });
    }
    this->wait_while_frozen(lock);
    return !dropped;
}

void backend_server_standin::wait_while_frozen(
    std::unique_lock<std::mutex>& lock)
{
    this->faults_changed.wait(
        lock, [this] { return !this->faults.frozen || this->stopping; });
}

void backend_server_standin::refuse(httplib::Response& response,
                                    const char* error)
{
    ++this->refused;
    response.set_header("Task-Started", "no");
    close_after_reply(response);
    reply_json(response, 503, {{"error", error}});
}

void backend_server_standin::stop_task(const httplib::Request& request,
                                       httplib::Response& response)
{
    std::unique_lock lock(this->state_mutex);
    ++this->stop_requests;
    this->wait_while_frozen(lock);
    const std::string task = request.matches[1];
    if (this->queue.stop(task) == 0)
    {
        reply_json(response, 404, {{"error", "no such task"}});
        return;
    }
    this->queue.notify_all();
    reply_json(response, 200, {{"task", task}});
}

void backend_server_standin::set_faults(const httplib::Request& request,
                                        httplib::Response& response)
{
    const auto body = parse_object(request.body, response);
    if (!body.has_value())
    {
        return;
    }
    const std::lock_guard lock(this->state_mutex);
    this->faults.update(*body);
    this->start_tasks();
    this->queue.notify_all();
    this->faults_changed.notify_all();
    reply_json(response, 200, this->faults.to_json());
}

void backend_server_standin::report_starts(const httplib::Request& request,
                                           httplib::Response& response)
{
    const std::lock_guard lock(this->state_mutex);
    nlohmann::json reply = {{"server", this->options.name},
                            {"total", this->starts.total()},
                            {"repeated", this->starts.repeated()},
                            {"received", this->received},
                            {"refused", this->refused},
                            {"answered", this->answered},
                            {"failed", this->failed},
                            {"stop_requests", this->stop_requests},
                            {"running", this->queue.running()},
                            {"waiting", this->queue.waiting()}};
    if (!request.has_param("summary"))
    {
        reply["starts"] = this->starts.tasks(request.get_param_value("job"));
    }
    reply_json(response, 200, reply);
}

void backend_server_standin::report_usage(httplib::Response& response)
{
    const std::lock_guard lock(this->state_mutex);
    this->record_usage();
    const usage_sample& sample = this->usage_samples.front();
    reply_json(response, 200,
               {{"server", this->options.name},
                {"cores", reported_cores},
                {"memory_mb", this->options.memory_mb},
                {"running", sample.running},
                {"waiting", sample.waiting},
                {"used_memory_mb", sample.memory_mb}});
}

void backend_server_standin::record_usage()
{
    const instant at = now();
    const instant visible = at - milliseconds(this->options.usage_lag_ms);
    this->usage_samples.push_back({at, this->queue.running(),
                                   this->queue.waiting(),
                                   this->queue.used_memory_mb()});
    while (this->usage_samples.size() > 1 &&
           this->usage_samples[1].at <= visible)
    {
        this->usage_samples.pop_front();
    }
}

} // namespace jujubedrum
