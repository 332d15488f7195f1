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

/// Runs a dispatch engine on its own thread and carries out its actions on
/// others: sender threads for backend servers, the platform link, the peers.
class engine_host
{
public:
    /// \param incarnation random value of this process start, not 0.
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

    /// Hands an event to the engine. Returns false if the ring is full, after
    /// which the event has no effect.
    bool try_post(event next) { return this->events.try_push(std::move(next)); }
    /// Hands an event to the engine, waiting for space.
    void post(event next) { this->events.push(std::move(next)); }
    /// Returns the requests that wait for replies.
    [[nodiscard]] reply_registry& replies() { return this->pending_replies; }

    /// Returns the configuration in force.
    [[nodiscard]] document config() const;
    /// Returns whether the instance may take jobs.
    [[nodiscard]] bool ready() const { return this->ready_flag; }
    /// Returns whether no job and no task is left.
    [[nodiscard]] bool idle() const { return this->idle_flag; }
    /// Returns the engine's state dump, taken between two events.
    [[nodiscard]] std::string dump();
    /// Returns the engine's short status.
    [[nodiscard]] std::string status();

    /// Returns the time since the process started, on a monotonic clock.
    [[nodiscard]] static instant now();
    /// Returns the time since the Unix epoch.
    [[nodiscard]] static wall_time wall();

private:
    /// Time between two ticks of the engine.
    static constexpr microseconds tick_interval = milliseconds(10);
    /// Time between two looks at the engine for the log and the gauges.
    static constexpr seconds monitor_interval{1};
    static constexpr std::size_t event_capacity = 16'384;
    static constexpr std::size_t command_capacity = 8'192;
    /// Events in a row that leave the placement round to the next one.
    static constexpr std::size_t max_deferred_rounds = 32;

    using engine_query = std::function<void(dispatch_engine&)>;

    void run_engine();
    void run_sender();
    void run_stopper();
    void run_monitor();
    /// \param more whether another event follows at once.
    void step(event next, bool more = false);
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
