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

/// Dispatcher that knows every slot and speed at once and needs no messages:
/// each task in order of arrival goes to the fastest free slot.
class perfect_replay
{
public:
    /// \param longest_first whether the tasks of a job start in order of their
    /// true run time, which is a stronger reference than order of submission.
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
    std::vector<unsigned> free_slots;
    std::vector<std::size_t> unfinished_tasks;
    std::deque<waiting_task> waiting;
    std::vector<double> ratios;
    std::vector<double> repeatable_ratios;
};

} // namespace jujubedrum
