#pragma once

#include "base/time.hpp"
#include "dispatch/job_request.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jujubedrum
{

/// Who waits for a job.
struct job_origin
{
    std::uint64_t instance = 0; ///< link to the instance; 0: this one
    std::uint64_t ticket = 0;   ///< number that the instance gave the job

    bool operator==(const job_origin&) const = default;
};

/// Figures of an ended job, for logs and histograms.
struct job_report
{
    std::string id;
    milliseconds queued{0}; ///< until its first start
    milliseconds total{0};
    std::uint32_t tasks = 0;
    std::uint32_t starts = 0;
    milliseconds objective{0}; ///< estimated from the declared run time
    std::string last_server;
    milliseconds expected_wait{0}; ///< when it was admitted or refused
    std::uint64_t free_cpu = 0;    ///< thousandths of a core, at that time
    std::uint64_t servers = 0;     ///< usable at that time
};

enum class task_state
{
    blocked, ///< an earlier step has not ended
    waiting,
    starting,
    running,
    stopping, ///< until a listing shows that the run is gone
    done,
};

struct pooled_task
{
    task_state state = task_state::waiting;
    std::uint32_t run = 0;      ///< number of the last start
    std::uint32_t failures = 0; ///< runs that ended failed
    std::uint32_t moves = 0;    ///< runs taken off an overdue server
    std::string server;         ///< where the last run is or was
    instant started{0};
    double expected_ms = 0;
    std::uint32_t percent = 0; ///< progress in the last listing
    instant percent_at{0};
    /// A listing asked for later than this and without the run proves that it
    /// is not there and never will be.
    std::optional<instant> conclusive_from;
    /// When its start was given up without an answer.
    std::optional<instant> unanswered_at;

    [[nodiscard]] bool on_server() const
    {
        return this->state == task_state::starting ||
               this->state == task_state::running ||
               this->state == task_state::stopping;
    }
};

/// A job of a pool, from its admission until its last run is gone.
struct pooled_job
{
    job_request request;
    job_terms terms;
    job_origin origin;
    std::uint64_t sequence = 0;
    instant submitted{0};
    instant objective_at{0}; ///< end of the time within which it is on time
    instant deadline{0};     ///< nobody waits for it any longer
    instant latest_start{0}; ///< latest start that still meets the objective
    std::vector<std::vector<pooled_task>> tasks; ///< by step
    std::vector<std::uint32_t> unfinished;       ///< tasks of each step
    std::uint32_t waiting = 0; ///< tasks that wait for a server
    std::uint32_t on_servers = 0;
    std::uint32_t starts = 0;
    std::optional<instant> first_start;
    std::string last_server;
    milliseconds expected_wait{0};
    std::uint64_t free_cpu = 0;
    std::uint64_t servers = 0;
    bool answered = false; ///< ended; kept until its runs are gone

    static pooled_job create(job_request request, const job_terms& terms,
                             const job_origin& origin, instant now);
    /// Puts every task back to its first state, for a caller's next attempt.
    void reopen(const job_terms& terms, const job_origin& origin, instant now);
    /// Lets the steps wait whose earlier steps have all ended.
    void unblock();
    [[nodiscard]] bool complete() const;
    /// Returns the processor wanted by the tasks that wait.
    [[nodiscard]] std::uint64_t waiting_cpu() const;
    /// Returns the declared run time along the longest chain of steps.
    [[nodiscard]] milliseconds critical_path() const;
    [[nodiscard]] milliseconds objective() const;
    [[nodiscard]] job_report report(instant now) const;

private:
    void set_times(instant now);
};

/// Names a task of an open job. Valid until the job is erased.
struct task_ref
{
    pooled_job* job = nullptr;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    [[nodiscard]] pooled_task& task() const
    {
        return this->job->tasks[this->step][this->index];
    }
    [[nodiscard]] const job_step& spec() const
    {
        return this->job->request.steps[this->step];
    }

    bool operator==(const task_ref&) const = default;
};

} // namespace jujubedrum
