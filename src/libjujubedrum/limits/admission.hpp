#pragma once

#include "base/time.hpp"
#include "jobs/submission.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace jujubedrum
{

/// What admission decides about a job.
enum class admission_verdict
{
    admitted,
    never_runs,       ///< no backend server can ever run it (422)
    queue_full,       ///< the bounded queue has no room (503)
    deadline_too_near ///< the estimated wait exceeds the deadline (503)
};

/// What this instance can run now.
class capacity_view
{
public:
    /// Memory of the largest backend server, in megabytes; 0 while no backend
    /// server is known, which refuses nothing.
    std::uint32_t max_server_memory_mb = 0;
    /// Speed of the fastest backend server over the reference; above 0.
    double max_server_speed = 1;
    /// Slots owned and borrowed.
    std::size_t slots = 0;

    bool operator==(const capacity_view&) const = default;
};

/// Returns the expected run time of a task at reference speed.
using run_time_estimator = std::function<microseconds(const task_spec&)>;

/// Decides early which jobs to refuse, and whose queue to shed first.
class admission
{
public:
    /// \param max_queued_tasks bound of tasks queued over all teams.
    explicit admission(std::size_t max_queued_tasks);

    /// Sets a team's weight; teams without one weigh 1.
    void set_weight(const std::string& team, double weight);
    /// Decides about a job.
    /// \param deadline time left; empty: no deadline.
    /// \param expected learned run times; empty: the declared ones.
    [[nodiscard]] admission_verdict
    check(const submission& job, std::optional<milliseconds> deadline,
          const capacity_view& capacity,
          const run_time_estimator& expected = {}) const;
    /// Counts the tasks of a job as queued.
    void on_queued(const std::string& team, std::size_t tasks,
                   microseconds run_time);
    /// Counts tasks as started or dropped.
    void on_dequeued(const std::string& team, std::size_t tasks,
                     microseconds run_time);
    /// Returns the estimated wait of a new task.
    [[nodiscard]] microseconds
    estimated_wait(const capacity_view& capacity) const;
    /// Returns the team furthest over its share of the queue by weight, or
    /// nothing if `candidate` itself would be the furthest over with that
    /// many more tasks: then the new job is refused instead.
    [[nodiscard]] std::optional<std::string>
    team_to_shed(const std::string& candidate, std::size_t tasks) const;

    /// Returns the tasks queued over all teams.
    [[nodiscard]] std::size_t queued() const { return this->queued_tasks; }
    /// Returns the tasks queued of one team.
    [[nodiscard]] std::size_t queued(const std::string& team) const;

private:
    [[nodiscard]] double weight(const std::string& team) const;

    std::size_t max_queued;
    std::size_t queued_tasks = 0;
    microseconds queued_work{0};
    std::map<std::string, std::size_t> queued_by_team;
    std::map<std::string, double> weights;
};

} // namespace jujubedrum
