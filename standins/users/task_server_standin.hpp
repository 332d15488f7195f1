#pragma once

#include "node/event_loop.hpp"
#include "node/http_server.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace jujubedrum
{

/// Records the runs of all backend servers and checks each start: the task must
/// be expected, and must not run already.
class run_recorder
{
public:
    void on_start(const std::string& task, const std::string& payload,
                  const std::string& server);
    void on_end(const std::string& task, const std::string& server);
    /// A start brought a server that does not check its capacity above it.
    void on_overload(const std::string& task, const std::string& server);
    [[nodiscard]] const std::vector<std::string>& violations() const
    {
        return this->found_violations;
    }
    /// Returns the number of starts of the job's tasks.
    [[nodiscard]] std::uint64_t starts_of(const std::string& job) const;
    /// Returns whether a task of the job runs on any server.
    [[nodiscard]] bool runs(const std::string& job) const;
    [[nodiscard]] std::uint64_t total_starts() const { return this->starts; }
    /// Sets the payload that tasks of a job must be started with. Starts with
    /// another payload, or of a job without one, are violations.
    void expect(const std::string& job, const std::string& payload);
    /// Writes a line for each start and end of a run, with the time of day in
    /// milliseconds. The stream must outlive the recorder's use.
    void trace_to(std::ostream& out) { this->trace = &out; }

private:
    void write_trace(const char* event, const std::string& task,
                     const std::string& server);

    std::ostream* trace = nullptr;
    std::map<std::string, std::string> running; ///< server by task
    std::map<std::string, std::uint64_t> starts_by_job;
    std::map<std::string, std::string> expected; ///< payload by job
    std::vector<std::string> found_violations;
    std::uint64_t starts = 0;
};

/// Stand-in for a backend server of the users' platform. Runs tasks under a
/// lease, refuses requests with an outdated fencing token and reports ended
/// runs until they are acknowledged.
class task_server_standin
{
public:
    task_server_standin(event_loop& loop, std::string id, std::uint32_t cpu,
                        run_recorder& recorder);

    /// Listens on a free port of the loopback address. Returns false on
    /// failure.
    bool listen();
    [[nodiscard]] const std::string& id() const { return this->name; }
    [[nodiscard]] std::uint16_t port() const { return this->server.port(); }
    /// Returns the server's entry for the log store.
    /// \param advertised_port port that instances connect to.
    [[nodiscard]] std::string entry(const std::string& domain,
                                    std::uint16_t advertised_port) const;

    /// Executes the next `count` start requests without replying.
    void drop_start_replies(int count) { this->replies_to_drop = count; }
    /// Discards the next `count` stop requests: neither executes them nor
    /// replies.
    void drop_stop_requests(int count) { this->stops_to_drop = count; }
    /// Executes the next `count` start requests after a delay, without
    /// replying.
    void delay_starts(int count, milliseconds by);
    /// Executes the next `count` polls that renew the lease after a delay,
    /// without replying.
    void delay_renewals(int count, milliseconds by);
    /// While set, the lease times of delayed requests count from their
    /// execution, not from their arrival.
    void set_late_times_shifted(bool value) { this->times_shifted = value; }
    /// While not set, runs are started beyond the capacity, which is a
    /// violation.
    void set_checks_capacity(bool value) { this->checks_capacity = value; }
    /// While set, new runs are refused for want of capacity.
    void set_full(bool value) { this->full = value; }
    void set_draining(bool value) { this->draining = value; }
    void set_failing(bool value) { this->failing = value; }
    /// While set, tasks run without making progress.
    void set_hanging(bool value) { this->hanging = value; }
    void set_slowdown(double factor) { this->slowdown = factor; }
    /// While set, requests are neither executed nor replied to, except for
    /// those to be delayed. Runs continue.
    void set_unresponsive(bool value) { this->unresponsive = value; }
    /// Simulates a restart: drops all state and starts a new incarnation under
    /// the same id, with a clock that starts from 0. Delayed requests remain.
    void crash();

private:
    struct run_state
    {
        std::uint32_t run = 0;
        std::uint32_t cpu = 0;
        double progress_ms = 0;
        double needed_ms = 0;
        bool stopping = false;
        instant stop_at{0};
    };
    struct run_outcome
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint32_t run = 0;
        std::string outcome;
    };
    struct pending_poll
    {
        std::shared_ptr<http_responder> responder;
        instant until{0};
    };

    void serve(const http_request& request,
               const std::shared_ptr<http_responder>& responder);
    /// Executes the request after a delay, without replying, if it is one of
    /// those to be delayed. Returns whether it is.
    bool delay(const http_request& request);
    [[nodiscard]] int start(const std::string& body, std::string& reply);
    [[nodiscard]] int stop(const std::string& body, std::string& reply);
    /// Handles a poll request: drops the acknowledged ended runs, extends the
    /// lease and replies with the remaining and running ones, at once or when a
    /// run has ended or the requested wait is over.
    void serve_poll(const std::string& body,
                    const std::shared_ptr<http_responder>& responder);
    /// Executes a poll request. Returns false if its token is outdated.
    bool execute_poll(const std::string& body);
    /// Updates the progress of runs to the current time, ends those that are
    /// finished, stopped or past the lease, and answers pending polls.
    void advance();
    void schedule_step();
    void end_run(const std::string& task, const std::string& outcome);
    [[nodiscard]] std::string poll_reply_body() const;
    [[nodiscard]] std::int64_t clock_ms() const;
    [[nodiscard]] std::uint32_t used_cpu() const;
    void extend_lease(std::int64_t until_ms);

    event_loop& loop;
    http_server server;
    std::string name;
    std::uint32_t capacity;
    bool checks_capacity = true;
    run_recorder& recorder;
    std::uint64_t incarnation; ///< increases with each restart
    instant clock_origin{0};
    std::uint64_t fencing_token = 0;
    std::int64_t lease_end_ms = 0;
    std::uint64_t next_end_number = 1;
    std::map<std::string, run_state> runs;
    /// Highest number of an ended or stopped run of each task.
    std::map<std::string, std::uint32_t> highest_run;
    std::vector<run_outcome> ended_runs;
    std::vector<pending_poll> pending_polls;
    int replies_to_drop = 0;
    int stops_to_drop = 0;
    int starts_to_delay = 0;
    milliseconds start_delay{0};
    int renewals_to_delay = 0;
    milliseconds renewal_delay{0};
    bool times_shifted = false;
    bool full = false;
    bool draining = false;
    bool failing = false;
    bool hanging = false;
    bool unresponsive = false;
    double slowdown = 1.0;
    instant last_advance;
};

} // namespace jujubedrum
