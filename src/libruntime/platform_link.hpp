#pragma once

#include "base/bounded_ring.hpp"
#include "base/time.hpp"
#include "config/settings.hpp"
#include "engine/events.hpp"
#include "log_limiter.hpp"
#include "platform_client.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace jujubedrum
{

/// Connects the engine with the platform. One thread reads the stream `config`,
/// one polls the list of instances, and a few append to and read streams for
/// the engine. Only failed reads of `config` and of the list are retried.
class platform_link
{
public:
    using post_function = std::function<void(event)>;
    using clock_function = std::function<instant()>;

    /// \param clock returns the time used for events and for log limits.
    /// \param post queues an event for the engine; may block.
    platform_link(const settings& settings, clock_function clock,
                  post_function post);
    ~platform_link();
    platform_link(const platform_link&) = delete;
    platform_link& operator=(const platform_link&) = delete;

    /// Starts the threads.
    void start();
    /// Stops and joins the threads.
    void stop();
    /// Queues an append or a read. If the ring is full, posts its failure at
    /// once.
    void submit(std::variant<append_action, read_action> command);

private:
    using command = std::variant<append_action, read_action>;

    /// Maximum number of records per page. Large enough to read a whole stream
    /// quickly after a restart.
    static constexpr std::size_t max_page_records = 500;
    static constexpr std::size_t log_threads = 4;
    static constexpr std::size_t ring_capacity = 1024;

    void run_config_reader();
    void run_list_reader();
    void run_log_worker(platform_client& client);
    void append(platform_client& client, const append_action& action);
    void read(platform_client& client, const read_action& action);
    void log_claim_error(const char* what, const std::string& stream,
                         const platform_reason& why);
    /// Waits for the time or until `stop()`; returns whether to continue.
    bool sleep_unless_stopping(milliseconds time);
    [[nodiscard]] std::unique_ptr<platform_client> make_client() const;

    const settings& config;
    clock_function clock;
    post_function post;
    bounded_ring<command> commands;
    log_limiter claim_error_limiter;
    std::unique_ptr<platform_client> config_client;
    std::unique_ptr<platform_client> list_client;
    std::vector<std::unique_ptr<platform_client>> log_clients;
    std::vector<std::thread> threads;
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
};

} // namespace jujubedrum
