#include "engine_host.hpp"

#include "logging.hpp"
#include "monotonic_time.hpp"

#include <chrono>
#include <future>
#include <random>
#include <utility>

namespace jujubedrum
{

namespace
{

engine_options options_of(const settings& settings, std::uint64_t incarnation)
{
    engine_options options;
    options.self.name = settings.instance();
    options.self.role = instance_role::entry;
    options.self.domain = settings.domain();
    options.self.region = settings.region();
    options.self.address = settings.listen_address();
    options.self.port = settings.http_port();
    options.self.rpc_port = settings.rpc_port();
    options.self.weight = settings.weight();
    options.incarnation = incarnation;
    options.admin_public_key = settings.admin_public_key();
    options.policy = settings.policy();
    options.tunables = settings.tunables();
    options.answer_budget_bytes = settings.answer_budget_bytes();
    options.max_in_flight = settings.sender_threads();
    options.seed = incarnation;
    return options;
}

} // namespace

engine_host::engine_host(const settings& initial, std::uint64_t incarnation,
                         metrics_registry& registry)
    : config_values(initial)
    , metrics(registry)
    , engine(options_of(initial, incarnation), registry)
    , backends(initial.tunables().connect_timeout)
    , events(event_capacity)
    , sends(command_capacity)
    , stops(command_capacity)
    , queries(16)
    , monitor(registry)
    , platform(
          initial, [] { return now(); },
          [this](event next) { this->post(std::move(next)); })
{
}

engine_host::~engine_host()
{
    this->stop();
}

void engine_host::start(peer_transport& transport)
{
    this->peers = &transport;
    this->threads.emplace_back([this] { this->run_engine(); });
    this->threads.emplace_back([this] { this->run_stopper(); });
    this->threads.emplace_back([this] { this->run_monitor(); });
    for (std::uint32_t i = 0; i < this->config_values.sender_threads(); ++i)
    {
        this->threads.emplace_back([this] { this->run_sender(); });
    }
    this->platform.start();
}

void engine_host::stop()
{
    {
        const std::lock_guard lock(this->monitor_mutex);
        this->monitor_stopping = true;
        this->monitor_wake.notify_all();
    }
    this->events.close();
    this->sends.close();
    this->stops.close();
    this->platform.stop();
    for (std::thread& thread : this->threads)
    {
        thread.join();
    }
    this->threads.clear();
}

document engine_host::config() const
{
    const std::lock_guard lock(this->document_mutex);
    return this->current_document;
}

std::string engine_host::dump()
{
    return this->query([](dispatch_engine& state)
                       { return state.dump(now()); });
}

std::string engine_host::status()
{
    return this->query([](dispatch_engine& state) { return state.status(); });
}

instant engine_host::now()
{
    return monotonic_now();
}

wall_time engine_host::wall()
{
    return std::chrono::duration_cast<wall_time>(
        std::chrono::system_clock::now().time_since_epoch());
}

void engine_host::run_engine()
{
    instant next_tick = now();
    std::size_t deferred_rounds = 0;
    while (!this->events.is_closed())
    {
        const instant at = now();
        if (at >= next_tick)
        {
            this->step(tick_event{});
            this->run_queries();
            this->publish_state();
            next_tick = at + tick_interval;
        }
        auto next = this->events.pop(std::max(instant(0), next_tick - now()));
        if (next)
        {
            deferred_rounds =
                this->events.size() > 0 && deferred_rounds < max_deferred_rounds
                    ? deferred_rounds + 1
                    : 0;
            this->step(std::move(*next), deferred_rounds > 0);
        }
    }
}

void engine_host::run_sender()
{
    while (auto next = this->sends.pop(std::chrono::hours(1)))
    {
        task_reply reply = this->backends.send(next->request);
        this->post(task_event{next->attempt, std::move(reply)});
    }
}

void engine_host::run_stopper()
{
    while (!this->stops.is_closed())
    {
        const auto next = this->stops.pop(seconds(1));
        if (next)
        {
            this->backends.stop(next->address, next->port, next->task);
        }
        this->backends.close_idle();
    }
}

void engine_host::run_monitor()
{
    // Parsing and comparing dumps takes place here, so that the engine thread
    // only writes them.
    std::unique_lock lock(this->monitor_mutex);
    while (!this->monitor_wake.wait_for(
        lock, monitor_interval, [this] { return this->monitor_stopping; }))
    {
        lock.unlock();
        this->monitor.observe(this->dump());
        lock.lock();
    }
}

void engine_host::step(event next, bool more_pending)
{
    for (action& action :
         this->engine.handle(std::move(next), now(), wall(), more_pending))
    {
        this->carry_out(std::move(action));
    }
}

void engine_host::carry_out(action next)
{
    std::visit([this](auto& value) { this->perform(value); }, next);
}

void engine_host::run_queries()
{
    while (auto next = this->queries.pop(instant(0)))
    {
        (*next)(this->engine);
    }
}

void engine_host::publish_state()
{
    if (!this->ready_flag && this->engine.ready())
    {
        LOG(INFO) << "engine: ready; revision="
                  << this->engine.document().revision();
    }
    this->ready_flag = this->engine.ready();
    this->idle_flag = this->engine.idle();
}

std::string
engine_host::query(const std::function<std::string(dispatch_engine&)>& read)
{
    const auto answer = std::make_shared<std::promise<std::string>>();
    auto result = answer->get_future();
    const bool queued =
        this->queries.try_push([answer, read](dispatch_engine& state)
                               { answer->set_value(read(state)); });
    if (!queued || result.wait_for(seconds(2)) != std::future_status::ready)
    {
        return R"({"error":{"status":503,"code":"busy","text":"try again"}})";
    }
    return result.get();
}

void engine_host::log_failure(const api_reply& reply)
{
    const outcome* result = reply.result();
    if (result == nullptr || result->kind() != outcome_kind::failed)
    {
        return;
    }
    const std::string reason(to_string(result->reason()));
    if (const auto count = this->job_failure_limiter.count(reason, now()))
    {
        LOG(WARNING) << "engine: job failed; reason=" << reason
                     << " count=" << *count;
    }
}

void engine_host::perform(reply_action& next)
{
    this->log_failure(next.reply);
    this->pending_replies.deliver(next.token, std::move(next.reply));
}

void engine_host::perform(ids_action& next)
{
    this->pending_replies.deliver(next.token, std::move(next.block));
}

void engine_host::perform(send_task_action& next)
{
    const attempt_id attempt = next.attempt;
    if (!this->sends.try_push(std::move(next)))
    {
        task_reply reply;
        reply.status = send_status::not_started;
        reply.error = "the send ring is full";
        this->events.try_push(task_event{attempt, std::move(reply)});
    }
}

void engine_host::perform(stop_task_action& next)
{
    // If the ring is full, the request is dropped: the task runs to its end and
    // its result is not used.
    this->stops.try_push(std::move(next));
}

void engine_host::perform(call_peer_action& next)
{
    const call_id call = next.call;
    this->peers->call(std::move(next.peer), std::move(next.request),
                      [this, call](peer_reply reply) {
                          this->post(peer_reply_event{call, std::move(reply)});
                      });
}

void engine_host::perform(reply_peer_action& next)
{
    this->pending_replies.deliver(next.token, std::move(next.reply));
}

void engine_host::perform(append_action& next)
{
    this->platform.submit(std::move(next));
}

void engine_host::perform(read_action& next)
{
    this->platform.submit(std::move(next));
}

void engine_host::perform(document_action& next)
{
    LOG(INFO) << "config: in force; revision=" << next.revision;
    const std::lock_guard lock(this->document_mutex);
    this->current_document = this->engine.document();
}

} // namespace jujubedrum
