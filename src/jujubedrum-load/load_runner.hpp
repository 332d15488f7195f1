#pragma once

#include "arrival_schedule.hpp"
#include "base/bounded_ring.hpp"
#include "latency_summary.hpp"
#include "run_options.hpp"

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace jujubedrum
{

/// Sends the jobs of a schedule to entry instances at their arrival times.
/// Response times are measured from the scheduled arrival and not from the
/// sending, so that they include delays within the load generator itself.
class load_runner
{
public:
    load_runner(const run_options& options, const arrival_schedule& schedule);

    /// Sends all jobs and returns after the last reply.
    void run();

    /// Returns the number of jobs by outcome.
    [[nodiscard]] const std::map<std::string, std::size_t>& outcomes() const
    {
        return this->outcome_counts;
    }
    /// Returns the ratios of response time to ideal response time of the jobs
    /// with the outcome "complete", without the warm-up of the schedule.
    [[nodiscard]] latency_summary all() const;
    /// Returns the ratios of those of these jobs whose tasks are repeatable.
    [[nodiscard]] latency_summary repeatable() const;
    /// Returns the time from the first arrival to the last reply.
    [[nodiscard]] std::chrono::duration<double> elapsed() const
    {
        return this->duration;
    }

private:
    using clock = std::chrono::steady_clock;

    /// Submits the jobs queued for an entry instance, until the queue is closed
    /// or stays empty for 5 minutes.
    void run_sender(std::size_t entry, std::size_t sender);
    void record(std::size_t job, const std::string& outcome);

    const run_options& options;
    const arrival_schedule& schedule;
    std::vector<std::unique_ptr<bounded_ring<std::size_t>>> queues;
    clock::time_point start;
    std::chrono::duration<double> duration{};
    std::mutex mutex;
    std::map<std::string, std::size_t> outcome_counts;
    std::vector<double> ratios;
    std::vector<double> repeatable_ratios;
};

} // namespace jujubedrum
