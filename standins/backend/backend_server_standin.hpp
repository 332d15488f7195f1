#pragma once

#include "backend/server_faults.hpp"
#include "backend/server_options.hpp"
#include "backend/slot_queue.hpp"
#include "backend/standin_task.hpp"
#include "backend/start_counter.hpp"
#include "backend/task_plan.hpp"
#include "base/time.hpp"
#include "common/standin_server.hpp"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <set>
#include <string>

namespace jujubedrum
{

/// Stand-in for one backend server, with an HTTP API under /v1 and fault
/// injection under /control.
class backend_server_standin : public standin_server
{
public:
    explicit backend_server_standin(const server_options& options);

    /// Stops all tasks and closes the server.
    void shut_down();

protected:
    void on_connection_closed(int connection) override;

private:
    struct usage_sample
    {
        instant at{0};
        std::size_t running = 0;
        std::size_t waiting = 0;
        long long memory_mb = 0;
    };

    /// Handles a request to run a task.
    void run(const httplib::Request& request, httplib::Response& response);
    void run_task(const standin_task& request, httplib::Response& response);
    /// Waits until the queued task starts. Removes it and returns false if it
    /// is stopped, the server drains or stops, or its lease ends before that.
    bool wait_for_slot(std::unique_lock<std::mutex>& lock, task_entry& entry,
                       const standin_task& request);
    /// Occupies the slot for the planned run time. Returns the task's error, or
    /// an empty string on success.
    std::string run_in_slot(std::unique_lock<std::mutex>& lock,
                            task_entry& entry, const task_plan& plan);
    /// Removes a task and starts those that fit then.
    void remove_task(task_entry& entry);
    void start_tasks();
    /// Applies the faults that delay a reply. Returns false if the reply is to
    /// be dropped.
    bool delay_reply(std::unique_lock<std::mutex>& lock);
    void wait_while_frozen(std::unique_lock<std::mutex>& lock);
    void refuse(httplib::Response& response, const char* error);
    void stop_task(const httplib::Request& request,
                   httplib::Response& response);
    void set_faults(const httplib::Request& request,
                    httplib::Response& response);
    void report_starts(const httplib::Request& request,
                       httplib::Response& response);
    void report_usage(httplib::Response& response);
    void record_usage();

    const server_options options;
    std::mutex state_mutex;
    std::condition_variable faults_changed;
    slot_queue queue;
    start_counter starts;
    server_faults faults;
    /// Open connections that have carried a request to run a task.
    std::set<int> task_connections;
    /// The front is the newest sample that is at least `usage_lag_ms` old, or
    /// the oldest one if there is none.
    std::deque<usage_sample> usage_samples;
    bool stopping = false;
    long long received = 0;
    long long refused = 0;
    long long answered = 0;
    long long failed = 0;
    long long stop_requests = 0;
};

} // namespace jujubedrum
