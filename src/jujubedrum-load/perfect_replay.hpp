#pragma once

#include "arrival_schedule.hpp"
#include "event_scheduler.hpp"
#include "model_cluster.hpp"
#include "model_result.hpp"

#include <cstddef>
#include <deque>
#include <vector>

namespace jujubedrum
{

/// Simulates an omniscient dispatcher as a reference for the policies: it
/// knows all free slots and speeds without messages or delays, and starts each
/// task, in order of arrival, on the fastest server with a free slot.
class perfect_replay
{
public:
    /// \param longest_first whether the tasks of a job start in descending
    /// order of their true run time, which is a stronger reference than order
    /// of submission.
    perfect_replay(const model_cluster& cluster,
                   const arrival_schedule& schedule, bool longest_first);

    model_result run();

private:
    struct waiting_task
    {
        std::size_t job;
        microseconds work;
    };

    void on_job_arrival(std::size_t job);
    void dispatch();
    void on_task_finished(std::size_t server, std::size_t job);

    const model_cluster& cluster;
    const arrival_schedule& schedule;
    bool longest_first;
    event_scheduler scheduler;
    /// By server.
    std::vector<unsigned> free_slots;
    /// By job.
    std::vector<std::size_t> unfinished_tasks;
    std::deque<waiting_task> waiting;
    std::vector<double> ratios;
    std::vector<double> repeatable_ratios;
};

} // namespace jujubedrum
