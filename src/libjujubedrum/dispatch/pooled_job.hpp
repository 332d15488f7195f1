#pragma once

#include "base/time.hpp"
#include "dispatch/job_request.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jujubedrum
{

/// The instance that waits for the result of a job.
struct job_origin
{
    std::uint64_t instance = 0; ///< link to the instance; 0: this one
    std::uint64_t ticket = 0;   ///< number that the instance gave the job

    bool operator==(const job_origin&) const = default;
};

/// Measurements of an ended job, for logs and histograms.
struct job_report
{
    std::string id;
    milliseconds queued{0}; ///< until its first start
    milliseconds total{0};
    std::uint32_t tasks = 0;
    std::uint32_t starts = 0;
    /// Runs stopped because the accepting instance was not confirmed.
    std::uint32_t unconfirmed_stops = 0;
    milliseconds objective{0}; ///< derived from the declared run times
    std::string last_server;
    milliseconds expected_wait{0}; ///< estimate at its admission or refusal
    std::uint64_t free_cpu = 0;    ///< thousandths of a core, at that time
    std::uint64_t servers = 0;     ///< usable at that time
    std::uint32_t priority = 0;
};

enum class task_state
{
    blocked, ///< a step that it depends on has not completed
    waiting,
    starting,
    running,
    stopping, ///< until a poll reply shows that the run is not there
    done,
};

struct pooled_task
{
    task_state state = task_state::waiting;
    std::uint32_t run = 0;      ///< number of the last start
    std::uint32_t failures = 0; ///< runs that ended failed
    std::uint32_t moves = 0;    ///< runs that were stopped as overdue
    std::string server;         ///< where the last run is or was
    instant started{0};
    double expected_ms = 0;
    std::uint32_t percent = 0; ///< progress in the last poll reply
    instant percent_at{0};
    /// If a poll sent at this time or later does not list the run, the run is
    /// not on the server and can no longer appear there.
    std::optional<instant> conclusive_from;
    /// The start may still be carried out: it got no answer, and the server has
    /// neither listed the run nor confirmed that it is stopped.
    bool start_unanswered = false;

    [[nodiscard]] bool on_server() const
    {
        return this->state == task_state::starting ||
               this->state == task_state::running ||
               this->state == task_state::stopping;
    }
};

/// A job of a pool, from its admission until its last run has ended.
struct pooled_job
{
    job_request request;
    job_terms terms;
    job_origin origin;
    std::uint64_t sequence = 0;
    instant submitted{0};
    instant objective_at{0}; ///< a job that ends later is late
    instant deadline{0};     ///< when the caller stops waiting
    instant latest_start{0}; ///< latest start that still meets the objective
    std::vector<std::vector<pooled_task>> tasks; ///< by step
    std::vector<std::uint32_t> unfinished;       ///< tasks by step
    std::uint32_t waiting = 0; ///< tasks that wait for free capacity
    std::uint32_t on_servers = 0;
    std::uint32_t starts = 0;
    std::uint32_t unconfirmed_stops = 0;
    std::optional<instant> first_start;
    std::string last_server;
    milliseconds expected_wait{0};
    std::uint64_t free_cpu = 0;
    std::uint64_t servers = 0;
    bool answered = false; ///< result reported; kept until its runs have ended

    static pooled_job create(job_request request, const job_terms& terms,
                             const job_origin& origin, instant now);
    /// Reopens an ended job for the caller's next attempt. Every task has to
    /// run again; those still on a server keep their state.
    void reopen(const job_terms& terms, const job_origin& origin, instant now);
    /// Makes blocked tasks wait for a server once all steps that they depend
    /// on have completed.
    void unblock();
    [[nodiscard]] bool complete() const;
    /// Returns the demand of the waiting tasks in thousandths of a core.
    [[nodiscard]] std::uint64_t waiting_cpu() const;
    /// Returns the declared run time along the longest chain of steps.
    [[nodiscard]] milliseconds critical_path() const;
    [[nodiscard]] milliseconds objective() const;
    [[nodiscard]] job_report report(instant now) const;

private:
    void set_times(instant now);
};

/// Refers to a task of a job. Valid until the job is erased.
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
