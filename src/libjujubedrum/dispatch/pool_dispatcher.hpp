#pragma once

#include "base/time.hpp"
#include "dispatch/capacity_meter.hpp"
#include "dispatch/dispatch_load.hpp"
#include "dispatch/held_server.hpp"
#include "dispatch/job_request.hpp"
#include "dispatch/late_starts.hpp"
#include "dispatch/overload_order.hpp"
#include "dispatch/pool_schedule.hpp"
#include "dispatch/pooled_job.hpp"
#include "dispatch/server_chooser.hpp"
#include "dispatch/server_requests.hpp"
#include "dispatch/service_shares.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
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
    /// Polls the server as soon as possible. Once a poll is answered that was
    /// sent after this call, no earlier unanswered start takes effect.
    virtual void poll(const std::string& server) = 0;
};

/// Receives the results of ended jobs.
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
    /// Run time of a task away from the rack of its data, as a multiple of
    /// that within the rack.
    double far_factor = 1.5;
    /// Time after the last renewal by which a lease has ended on any server.
    milliseconds lease_expiry{1100};
    /// A start without an answer is carried out within this time or never; the
    /// platform names 12 s.
    milliseconds max_start_delay{12000};
    /// Judge servers by their failure rates, see `server_trust`. Otherwise
    /// three failures in a row eject one.
    bool server_trust = true;
    /// Order waiting jobs by what their loss costs callers, where the routes
    /// have different priorities. Otherwise by latest start.
    bool order_by_caller_cost = true;
};

/// Queues, places, retries and ends jobs on the servers that this instance
/// holds. Under load, tasks wait in order of the latest start that still meets
/// the objective, and a job that cannot meet it is refused before any of its
/// tasks has run.
///
/// Where jobs have different priorities, the waiting jobs are planned on the
/// actual servers in the order of `caller_cost_order` instead: a job starts
/// only if it is expected to end in time, and an arriving job displaces waiting
/// ones that rank behind it and would then be late.
///
/// A task is started again only after a poll reply of its server shows that its
/// last run is not there and can no longer appear. Tasks of another instance's
/// job start and run only while that instance is confirmed to be alive: when it
/// is lost, the caller's next attempt may run elsewhere after
/// `min_next_attempt_delay`.
class pool_dispatcher
{
public:
    pool_dispatcher(const dispatch_options& settings, task_launcher& orders,
                    job_listener& results);

    void set_server(const server_info& info);
    /// Sets the number of the session with the server. Jobs of an instance that
    /// counts sessions are started there once it has seen the number.
    void set_server_number(const std::string& id, std::uint64_t number);
    /// Records that an accepting instance has seen the sessions up to this
    /// number, so that it waits for their servers if this instance is lost.
    /// Instances of earlier versions never report one and are not waited for.
    void set_seen_number(std::uint64_t instance, std::uint64_t number);
    /// Removes a server. Call it once no run started here can be on it.
    void remove_server(const std::string& id, instant now);
    /// Removes a server that another holder has taken. That holder stops the
    /// runs on it, so jobs with runs on it end as incomplete, and so do their
    /// next attempts until the lease of the runs has ended.
    void abandon_server(const std::string& id, instant now);
    /// Sets whether the server answers; only reachable ones get new tasks.
    void set_reachable(const std::string& id, bool value, instant now);
    /// Records which boot of the server answered last. Nothing starts there
    /// while the description in force is of another boot.
    void set_incarnation(const std::string& id, std::uint64_t value);

    /// Sets the failure domains on whose servers no new tasks start; nothing:
    /// on no server at all. Without this call none is evacuated. Runs go on.
    /// Waiting jobs that no server outside of them can take are ended at once
    /// for another holder.
    void set_evacuated_domains(std::optional<std::set<std::string>> domains,
                               instant now);
    /// Sets the priorities of the routes in force. Unless they differ, jobs
    /// wait in order of latest start. While the set is empty, the priorities of
    /// the jobs of the last seconds decide.
    void set_priorities(std::set<std::uint32_t> in_use);

    /// Places, queues or refuses a job. If it is open already, only its origin
    /// is replaced; another instance that waited for it gets it as incomplete.
    void submit(job_request request, const job_terms& terms,
                const job_origin& origin, instant now);
    /// Ends a job that its caller no longer waits for as incomplete.
    /// \return false if no such job is open.
    bool cancel(const std::string& job, std::string_view reason, instant now);
    /// Cancels a job unless a later attempt than this one waits for it.
    void cancel_attempt(const std::string& job, const job_origin& attempt,
                        std::string_view reason, instant now);
    /// Gives a job back as refused, so that its accepting instance sends it to
    /// another holder. Has no effect once a task of it has started, or if a
    /// later attempt waits for it.
    void recall(const std::string& job, const job_origin& attempt, instant now);
    /// The link to an instance closed: cancels the open jobs that it submitted,
    /// and forgets what it has seen and confirmed.
    void cancel_origin(std::uint64_t instance, std::string_view reason,
                       instant now);

    /// From now on, tasks of the instance's jobs start and run only while its
    /// last confirmation is recent. Without this call, as for local jobs and
    /// for instances that send no confirmations, they always may.
    void require_confirmation(std::uint64_t instance);
    /// The instance was alive at this time on the clock of `now`, and had
    /// handled what reached it before: no caller of its open jobs had left.
    /// Starts jobs that waited for the confirmation.
    void confirm_origin(std::uint64_t instance, instant alive_at, instant now);

    void on_start_result(const std::string& server, const run_id& run,
                         start_outcome outcome, instant now);
    void on_stopped(const std::string& server, const run_id& run, instant now);
    /// \param polled_at when the poll was sent.
    void on_poll_reply(const std::string& server, const poll_reply& reply,
                       instant polled_at, instant now);
    /// Call it once the lease on the runs of the server has ended. Starts
    /// without an answer may still be carried out, so their tasks remain there.
    /// \return the number of runs that have ended.
    std::size_t on_lease_ended(const std::string& server, instant now);
    /// Call it once nothing that was started on the server runs any more, or
    /// can appear there.
    void on_all_runs_ended(const std::string& server, instant now);

    /// Starts waiting tasks that fit, refuses jobs that can no longer meet
    /// their objective, ends those past their deadline and stops overdue runs.
    void pump(instant now);
    /// Ends waiting jobs that none of the remaining servers can take, so that
    /// another holder may start them. A holder calls it while it stops: its
    /// servers only become fewer.
    void hand_back_unservable(instant now);
    /// Returns whether a caller waits for the job.
    [[nodiscard]] bool is_open(const std::string& job) const;
    /// Returns whether the job is open, or its runs are still being stopped or
    /// may be left on an abandoned server.
    [[nodiscard]] bool has_job(const std::string& job) const;
    /// Returns whether this run of one of the dispatcher's jobs may be on the
    /// server.
    [[nodiscard]] bool has_run(const std::string& server,
                               const run_id& run) const;
    /// Returns whether any run of the dispatcher's jobs may be on the server.
    [[nodiscard]] bool has_runs(const std::string& server) const;
    /// Returns the instances that wait for the result of an open job.
    [[nodiscard]] std::set<std::uint64_t> open_job_origins() const;
    [[nodiscard]] dispatch_load load(instant now) const;
    /// Returns the number of servers that are distrusted or on probation.
    [[nodiscard]] std::size_t distrusted_servers(instant now) const;
    [[nodiscard]] bool idle() const { return this->jobs.empty(); }
    [[nodiscard]] std::size_t open_jobs() const { return this->jobs.size(); }

private:
    using queue_key = std::pair<instant, std::uint64_t>;

    /// A waiting job that is not to be kept.
    struct refusal
    {
        std::string job;
        std::string reason;
        milliseconds retry_after{0};
    };

    held_server* find_server(const std::string& id);
    pooled_task* find_task(const run_id& run, task_ref& ref);
    void enqueue(pooled_job& job);
    void dequeue(pooled_job& job);
    void place_waiting(pooled_job& job, instant now);
    /// Returns the priorities in use if they differ.
    [[nodiscard]] std::set<std::uint32_t>
    different_priorities(instant now) const;
    /// Plans all waiting jobs in their order, starts the tasks that are to
    /// start now, and refuses unstarted jobs that cannot end in time.
    /// \param arriving the job that was just submitted, if any.
    void plan_waiting(const std::set<std::uint32_t>& in_use,
                      const pooled_job* arriving, instant now);
    /// Plans one job; its tasks start if it is expected to end in time.
    /// \param margin time to be left until the objective.
    /// \return false if it is expected to end later.
    bool plan_on_time(pooled_job& job, microseconds margin, instant now);
    /// Returns the time that has to be left until the objective of an arriving
    /// job, for more urgent jobs that arrive later.
    /// \param lower number of higher priorities in use.
    [[nodiscard]] static microseconds
    required_margin(const pooled_job& job, std::size_t lower, double pressure);
    /// Plans a job that cannot end in time on capacity that no other job needs.
    /// \return false if it is to be refused.
    bool plan_late(pooled_job& job, double pressure, instant now);
    /// Starts the tasks of the last plan that are to start now.
    void start_planned(pooled_job& job, instant now);
    void refuse_all(const std::vector<refusal>& refusals, instant now);
    /// Records for the shares of the classes how a job ended.
    void count_end(const pooled_job& job, const job_result& result,
                   instant now);
    /// Returns whether the accepting instance of the job is known to have been
    /// alive so recently that no next attempt of its caller can run elsewhere.
    [[nodiscard]] bool is_confirmed(const pooled_job& job, instant now) const;
    /// Returns the server to start the waiting task on, or null. A task that
    /// may be started late on a server starts nowhere else.
    held_server* choose_server(const pooled_job& job, std::uint32_t step,
                               std::uint32_t index, instant now);
    [[nodiscard]] bool is_bound(const task_id& task, instant now) const;
    void start(pooled_job& job, const task_ref& ref, held_server& server,
               instant now);
    void stop_run(const task_ref& ref, instant now);
    /// Removes a run from its server; the task waits again if the job is open.
    void release_run(const task_ref& ref, instant now);
    /// Updates the state of one run from a poll reply of its server.
    void reconcile(const task_ref& ref, const poll_reply& reply,
                   instant polled_at, instant now);
    void on_end(const task_ref& ref, run_outcome outcome, instant now);
    void on_done(const task_ref& ref, instant now);
    void on_failure(const task_ref& ref, instant now);
    /// Stops the runs of jobs whose accepting instance is not confirmed. Their
    /// tasks start again after its next confirmation.
    void stop_unconfirmed(const held_server& server, instant now);
    void check_overdue(const std::string& id, held_server& server, instant now);
    /// Reports the result of a job and stops its runs. A job of which a task
    /// may have started, or that has runs of an earlier attempt, ends as
    /// incomplete rather than refused.
    void finish(pooled_job& job, job_outcome outcome, std::string reason,
                milliseconds retry_after, instant now);
    void erase_if_finished(pooled_job& job);
    /// Returns the highest number of a server that jobs of the instance may
    /// use.
    [[nodiscard]] std::uint64_t seen_number(std::uint64_t instance) const;
    /// Returns whether a task of the job may be on a server of which the
    /// instance does not know.
    [[nodiscard]] bool has_unseen_runs(const pooled_job& job,
                                       std::uint64_t instance) const;
    [[nodiscard]] bool is_evacuated(const std::string& domain) const;
    /// Ends the waiting jobs without runs that only servers of evacuated
    /// domains could take: refuses those of which no task has started.
    void hand_back_evacuated(instant now);
    /// Returns whether a server outside the evacuated domains can take each
    /// step, now or after a backoff.
    [[nodiscard]] bool fits_outside_evacuation(const pooled_job& job) const;
    [[nodiscard]] bool has_suitable_servers(const pooled_job& job,
                                            instant now) const;
    /// Returns the estimated wait of a job behind the queued ones that have to
    /// start earlier.
    /// \param current_load without waiting tasks.
    [[nodiscard]] milliseconds
    estimated_wait_of(const pooled_job& job,
                      const dispatch_load& current_load) const;
    /// Starts tasks and refuses jobs in order of latest start.
    void place_by_latest_start(instant now);
    void refuse_if_too_late(pooled_job& job, instant now);
    void check_deadlines(instant now);
    /// Returns whether runs of the job may be left on an abandoned server.
    [[nodiscard]] bool has_abandoned_runs(const std::string& job,
                                          instant now) const;

    milliseconds lease_expiry;
    bool rates_servers;
    bool order_by_caller_cost;
    milliseconds max_start_delay;
    task_launcher& launcher;
    job_listener& listener;
    server_chooser chooser;
    held_servers servers;
    /// Nothing: all domains count as evacuated.
    std::optional<std::set<std::string>> evacuated = std::set<std::string>();
    std::map<std::uint64_t, std::uint64_t> seen_numbers; ///< by instance
    std::unordered_map<std::string, std::unique_ptr<pooled_job>> jobs;
    /// Jobs with waiting tasks, by latest start and then by submission.
    std::map<queue_key, pooled_job*> queue;
    std::set<std::pair<instant, std::string>> deadlines;
    /// Jobs with runs on abandoned servers, and when these have ended.
    std::map<std::string, instant> abandoned_jobs;
    /// Last confirmation of each instance that has to send them.
    std::unordered_map<std::uint64_t, instant> confirmations;
    late_starts unanswered_starts;
    std::uint64_t next_sequence = 1;
    capacity_meter meter;
    service_shares shares;
    pool_schedule schedule;
    std::set<std::uint32_t> priorities; ///< of the routes; empty: unknown
    instant next_overdue_check{0};
};

} // namespace jujubedrum
