#pragma once

#include "backend_client.hpp"
#include "base/bounded_ring.hpp"
#include "config/settings.hpp"
#include "engine/dispatch_engine.hpp"
#include "engine_monitor.hpp"
#include "log_limiter.hpp"
#include "metrics_registry.hpp"
#include "peer_transport.hpp"
#include "platform_link.hpp"
#include "reply_registry.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace jujubedrum
{

/// Runs a dispatch engine on its own thread and carries out its actions: on
/// sender threads for backend servers, through the platform link, and through
/// the transport to peers.
class engine_host
{
public:
    /// \param incarnation random number identifying this process start; not 0.
    engine_host(const settings& settings, std::uint64_t incarnation,
                metrics_registry& metrics);
    ~engine_host();
    engine_host(const engine_host&) = delete;
    engine_host& operator=(const engine_host&) = delete;

    /// Starts the threads.
    /// \param peers sends calls to peers; must outlive the host.
    void start(peer_transport& peers);
    /// Stops and joins the threads.
    void stop();

    /// Queues an event for the engine. Returns false, without effect, if the
    /// event ring is full.
    bool try_post(event next) { return this->events.try_push(std::move(next)); }
    /// Queues an event for the engine; blocks while the event ring is full.
    void post(event next) { this->events.push(std::move(next)); }
    /// Returns the registry of requests that await a reply of the engine.
    [[nodiscard]] reply_registry& replies() { return this->pending_replies; }

    /// Returns a copy of the configuration in force.
    [[nodiscard]] document config() const;
    /// Returns whether the instance accepts jobs.
    [[nodiscard]] bool ready() const { return this->ready_flag; }
    /// Returns whether the engine has no jobs and no tasks.
    [[nodiscard]] bool idle() const { return this->idle_flag; }
    /// Returns the engine's state as JSON, taken between two events. Returns an
    /// error body (503, `busy`) if the engine does not answer within 2 s or too
    /// many queries are queued.
    [[nodiscard]] std::string dump();
    /// Returns a summary of the engine's state as JSON; fails as `dump()` does.
    [[nodiscard]] std::string status();

    /// Returns the time of the monotonic clock.
    [[nodiscard]] static instant now();
    /// Returns the time since the Unix epoch.
    [[nodiscard]] static wall_time wall();

private:
    /// Time between two ticks of the engine.
    static constexpr microseconds tick_interval = milliseconds(10);
    /// Time between two state dumps for the log and the gauges.
    static constexpr seconds monitor_interval{1};
    static constexpr std::size_t event_capacity = 16'384;
    static constexpr std::size_t command_capacity = 8'192;
    /// Maximum number of successive events that leave the placement round to a
    /// later event.
    static constexpr std::size_t max_deferred_rounds = 32;

    using engine_query = std::function<void(dispatch_engine&)>;

    void run_engine();
    void run_sender();
    void run_stopper();
    void run_monitor();
    /// Passes an event to the engine and carries out the resulting actions.
    /// \param more_pending whether another event follows at once, so that the
    /// engine can defer the placement round to it.
    void step(event next, bool more_pending = false);
    void carry_out(action next);
    void run_queries();
    void publish_state();
    void log_failure(const api_reply& reply);
    std::string query(const std::function<std::string(dispatch_engine&)>& read);

    void perform(reply_action& next);
    void perform(ids_action& next);
    void perform(send_task_action& next);
    void perform(stop_task_action& next);
    void perform(call_peer_action& next);
    void perform(reply_peer_action& next);
    void perform(append_action& next);
    void perform(read_action& next);
    void perform(document_action& next);

    const settings& config_values;
    metrics_registry& metrics;
    dispatch_engine engine;
    reply_registry pending_replies;
    backend_client backends;
    bounded_ring<event> events;
    bounded_ring<send_task_action> sends;
    bounded_ring<stop_task_action> stops;
    bounded_ring<engine_query> queries;
    log_limiter job_failure_limiter;
    engine_monitor monitor;
    std::mutex monitor_mutex;
    std::condition_variable monitor_wake;
    bool monitor_stopping = false;
    platform_link platform;
    peer_transport* peers = nullptr;
    std::vector<std::thread> threads;
    std::atomic<bool> ready_flag = false;
    std::atomic<bool> idle_flag = true;
    mutable std::mutex document_mutex;
    document current_document;
};

} // namespace jujubedrum
