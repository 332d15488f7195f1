#pragma once

#include "base/random_source.hpp"
#include "base/time.hpp"
#include "engine/kind_result_history.hpp"
#include "engine/metrics_sink.hpp"
#include "engine/outbox.hpp"
#include "engine/quota_controller.hpp"
#include "engine/running_job.hpp"
#include "engine/task_io.hpp"
#include "engine/task_queue.hpp"
#include "jobs/job_table.hpp"
#include "jobs/outcome.hpp"
#include "limits/admission.hpp"
#include "limits/retry_budget.hpp"
#include "placement/placement_policy.hpp"
#include "placement/server_stats.hpp"
#include "placement/slot_pool.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace jujubedrum
{

/// Limits for running jobs and their tasks.
struct job_options
{
    std::size_t max_queued_tasks = 20'000;
    /// Maximum number of attempts per task, including the first.
    std::uint32_t max_attempts = 5;
    /// Maximum number of attempts in flight; each occupies one sender thread.
    std::size_t max_in_flight = 64;
    /// Minimum expected remaining run time at which stopping a task is worth a
    /// message.
    microseconds stop_threshold = milliseconds(200);
    bool hedging = true;
};

/// Dependencies of the job controller. The objects must outlive it.
struct job_services
{
    placement_policy& policy;
    slot_pool& pool;
    server_stats& stats;
    job_table& table;
    retry_budget& budget;
    quota_controller& quotas;
    admission& admitter;
    random_source& random;
    outbox& out;
    metrics_sink& metrics;
};

/// Runs the tasks of admitted jobs: places, retries and hedges them, and ends
/// each job with exactly one outcome.
class job_controller
{
public:
    job_controller(job_services services, job_options options);

    /// Starts a job that the job table has just opened.
    /// \param received when the caller's request arrived.
    void start(submission job, instant received, instant deadline, instant now);
    /// Adds a request that waits for the outcome of a running job.
    void add_waiter(const std::string& id, request_token token);
    /// Cancels a job on behalf of its caller. Returns false if it is not
    /// running.
    bool cancel(const std::string& id, instant now);
    /// Handles the reply to an attempt.
    void on_task_reply(attempt_id attempt, const task_reply& reply,
                       instant now);
    /// Ends jobs past their deadline, starts due retries and hedges.
    void tick(instant now);
    /// Places queued tasks on free slots and counts those that need more slots.
    void place_queued_tasks(instant now);
    /// Sets whether placement rounds are deferred.
    void defer_rounds(bool deferred) { this->rounds_deferred = deferred; }
    /// Runs the deferred placement round, if there is one and rounds are no
    /// longer deferred.
    void run_deferred_round(instant now);
    /// Ends every job of which no task was sent. The other jobs run to their
    /// end; nothing beyond what they need is queued.
    void drain(instant now);

    /// Ends one job of a team as overloaded: of the jobs of which no task was
    /// sent, the one with the latest deadline. Returns false if there is none.
    bool shed(const std::string& team, instant now);

    /// Returns the number of running jobs.
    [[nodiscard]] std::size_t running() const { return this->jobs.size(); }
    /// Returns the number of tasks in flight.
    [[nodiscard]] std::size_t in_flight() const
    {
        return this->attempts.size();
    }
    /// Returns the number of waiting tasks that more slots would help, and
    /// resets it to 0 until the next full placement round.
    std::size_t take_late_tasks() { return std::exchange(this->late_tasks, 0); }
    /// Returns the number of tasks waiting for a slot.
    [[nodiscard]] std::size_t queued() const { return this->queue.size(); }
    /// Returns the queue of tasks that wait for a slot.
    [[nodiscard]] task_queue& waiting_tasks() { return this->queue; }
    void set_options(job_options options) { this->options = options; }
    [[nodiscard]] const job_options& current_options() const
    {
        return this->options;
    }

private:
    using job_map = std::unordered_map<std::uint64_t, running_job>;

    struct due_retry
    {
        instant due{0};
        std::uint64_t job = 0;
        std::uint32_t index = 0;
        auto operator<=>(const due_retry&) const = default;
    };

    [[nodiscard]] running_job* find(std::uint64_t number);
    /// \param full whether to offer waiting tasks to the policy even if no
    /// slot is free.
    void run_placement_round(instant now, bool full);
    void enqueue(running_job& job, std::uint32_t index);
    void dequeue(running_job& job, std::uint32_t index);
    void place(const team_task& next, instant now);
    void send(running_job& job, std::uint32_t index, const slot_choice& choice,
              bool hedge, instant now);
    void release(const running_attempt& attempt, instant now);
    void record_server_result(const running_attempt& attempt,
                              const task_reply& reply, instant now);
    void on_answered(running_job& job, const running_attempt& attempt,
                     const task_reply& reply, instant now);
    void on_not_answered(running_job& job, const running_attempt& attempt,
                         const task_reply& reply, instant now);
    bool retry(running_job& job, std::uint32_t index, bool needs_budget,
               instant now);
    void finish(running_job& job, outcome result, instant now);
    void finish_unsuccessful(running_job& job, outcome_reason reason,
                             const std::string& text, instant now);
    void stop_attempts(const running_job& job, instant now);
    void start_due_retries(instant now);
    void end_overdue_jobs(instant now);
    void check_overdue_attempts(instant now);
    void hedge(running_attempt& attempt, instant now);

    job_services services;
    job_options options;
    task_queue queue;
    job_map jobs;
    std::unordered_map<std::string, std::uint64_t> job_numbers;
    std::map<attempt_id, running_attempt> attempts;
    std::set<due_retry> retries;
    std::set<std::pair<instant, std::uint64_t>> deadlines;
    kind_result_history kinds;
    std::uint64_t last_job_number = 0;
    attempt_id last_attempt_id = 0;
    bool rounds_deferred = false;
    bool deferred_round_pending = false;
    bool full_round_pending = false;
    std::size_t late_tasks = 0;
};

} // namespace jujubedrum
