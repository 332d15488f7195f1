#pragma once

#include "base/time.hpp"
#include "dispatch/capacity_meter.hpp"
#include "dispatch/dispatch_load.hpp"
#include "dispatch/held_server.hpp"
#include "dispatch/job_request.hpp"
#include "dispatch/pooled_job.hpp"
#include "dispatch/server_chooser.hpp"
#include "dispatch/server_orders.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace jujubedrum
{

/// Carries out the dispatcher's decisions on backend servers.
class task_launcher
{
public:
    virtual ~task_launcher() = default;
    virtual void start(const std::string& server, const run_id& run,
                       const std::string& payload) = 0;
    virtual void stop(const std::string& server, const run_id& run) = 0;
    /// Asks for a listing as soon as possible.
    virtual void poll(const std::string& server) = 0;
};

/// Learns how jobs ended.
class job_listener
{
public:
    virtual ~job_listener() = default;
    virtual void job_ended(const job_origin& origin, const job_result& result,
                           const job_report& report) = 0;
};

/// Parameters of the dispatcher.
struct dispatch_options
{
    /// Run time of a task away from the rack of its data, as a multiple.
    double far_factor = 1.5;
    /// Until a start that was not answered can no longer be carried out.
    milliseconds start_validity{300};
};

/// Queues, places, retries and ends the jobs of the servers that this instance
/// holds. Answers to load: tasks wait in order of their latest useful start,
/// and a job that cannot end in time is refused before any of it has run.
///
/// A task is started again only after a listing of its server shows that its
/// last run is not there and can no longer appear.
class pool_dispatcher
{
public:
    pool_dispatcher(const dispatch_options& settings, task_launcher& orders,
                    job_listener& results);

    void set_server(const server_info& info);
    /// Forgets a server. Call it once nothing of ours can run there.
    void remove_server(const std::string& id, instant now);
    /// Forgets a server that another holder has taken. That holder stops what
    /// runs there, so jobs with runs on it end as incomplete.
    void abandon_server(const std::string& id, instant now);
    /// Sets whether the server answers; new tasks go to reachable ones only.
    void set_reachable(const std::string& id, bool value, instant now);

    void submit(job_request request, const job_terms& terms,
                const job_origin& origin, instant now);
    /// Ends a job that its caller no longer waits for.
    /// \return false if no such job is open.
    bool cancel(const std::string& job, std::string_view reason, instant now);
    /// Ends the jobs that an instance submitted.
    void cancel_origin(std::uint64_t instance, std::string_view reason,
                       instant now);

    void on_start_result(const std::string& server, const run_id& run,
                         start_outcome outcome, instant now);
    void on_stopped(const std::string& server, const run_id& run, instant now);
    /// \param polled_at when the listing was asked for.
    void on_poll_reply(const std::string& server, const poll_reply& reply,
                       instant polled_at, instant now);
    /// Nothing that was started on the server runs any more.
    void on_all_runs_ended(const std::string& server, instant now);

    /// Starts what fits, refuses what waits in vain and checks overdue runs.
    void pump(instant now);
    /// Returns whether a run that the dispatcher knows is on the server.
    [[nodiscard]] bool has_run(const std::string& server,
                               const run_id& run) const;
    /// Returns whether runs may be on the server.
    [[nodiscard]] bool has_runs(const std::string& server) const;
    [[nodiscard]] dispatch_load load(instant now) const;
    [[nodiscard]] bool idle() const { return this->jobs.empty(); }
    [[nodiscard]] std::size_t open_jobs() const { return this->jobs.size(); }

private:
    using queue_key = std::pair<instant, std::uint64_t>;

    held_server* find_server(const std::string& id);
    pooled_task* find_task(const run_id& run, task_ref& ref);
    void enqueue(pooled_job& job);
    void dequeue(pooled_job& job);
    void place_waiting(pooled_job& job, instant now);
    void start(pooled_job& job, const task_ref& ref, held_server& server,
               instant now);
    void stop_run(const task_ref& ref, instant now);
    /// Takes a run off its server; the task waits again if the job is open.
    void release_run(const task_ref& ref, instant now);
    /// Draws the conclusions of a listing about one run.
    void reconcile(const task_ref& ref, const poll_reply& reply,
                   instant polled_at, instant now);
    void on_end(const task_ref& ref, run_outcome outcome, instant now);
    void on_done(const task_ref& ref, instant now);
    void on_failure(const task_ref& ref, instant now);
    void check_overdue(const std::string& id, held_server& server, instant now);
    void finish(pooled_job& job, job_outcome outcome, std::string reason,
                milliseconds retry_after, instant now);
    void erase_if_finished(pooled_job& job);
    [[nodiscard]] bool has_suitable_servers(const pooled_job& job,
                                            instant now) const;
    /// Returns the wait of a job behind those that have to start earlier.
    /// \param present room as it is, without anything that waits.
    [[nodiscard]] milliseconds
    estimated_wait_of(const pooled_job& job,
                      const dispatch_load& current_load) const;
    void refuse_if_too_late(pooled_job& job, instant now);
    void check_deadlines(instant now);

    dispatch_options options;
    task_launcher& launcher;
    job_listener& listener;
    server_chooser chooser;
    held_servers servers;
    std::unordered_map<std::string, std::unique_ptr<pooled_job>> jobs;
    /// Jobs with waiting tasks by latest useful start.
    std::map<queue_key, pooled_job*> queue;
    std::set<std::pair<instant, std::string>> deadlines;
    std::uint64_t next_sequence = 1;
    capacity_meter meter;
    instant next_overdue_check{0};
};

} // namespace jujubedrum
