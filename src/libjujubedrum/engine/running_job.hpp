#pragma once

#include "base/time.hpp"
#include "engine/task_io.hpp"
#include "jobs/submission.hpp"
#include "placement/slot_choice.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace jujubedrum
{

/// Identifies a request that waits for a reply; unique within a process.
using request_token = std::uint64_t;

/// Progress of one task of a running job.
struct task_progress
{
    enum class stage
    {
        queued,
        /// Waits for the end of its retry backoff.
        backing_off,
        running,
        done,
    };

    stage at = stage::queued;
    /// Attempts sent so far.
    std::uint32_t attempts = 0;
    /// Attempts sent and not answered yet.
    std::uint32_t in_flight = 0;
    /// Whether an attempt may have started the task.
    bool may_have_run = false;
    bool hedged = false;
    /// Server of the latest attempt.
    std::string server;
    std::string answer;
};

/// State of a job from its admission to its outcome.
struct running_job
{
    submission job;
    std::uint64_t number = 0;
    instant received{0};
    instant deadline{0};
    /// Time by which the job should end; its tasks are served in this order.
    instant due{0};
    /// Expected run time of the longest task at slowness 1.
    microseconds max_task_run_time{0};
    std::vector<task_progress> tasks;
    std::size_t unfinished = 0;
    std::vector<request_token> waiters;
    /// Maximum run time that a finished task would have needed on the fastest
    /// server.
    microseconds ideal{0};

    /// Returns the positions of the tasks that may have run.
    [[nodiscard]] std::vector<std::uint32_t> may_have_run() const;
};

/// One attempt to run one task.
struct running_attempt
{
    std::uint64_t job = 0;
    std::uint32_t index = 0;
    std::string team;
    slot_choice choice;
    std::string kind;
    microseconds declared{0};
    instant sent{0};
    bool hedge = false;
    bool overdue_reported = false;
    /// Earliest time of the next try to hedge.
    instant next_hedge{0};
};

} // namespace jujubedrum
