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

/// Result of the admission check of a job.
enum class admission_verdict
{
    admitted,
    never_runs,       ///< no backend server can run it in time or at all (422)
    queue_full,       ///< the bounded queue has too little space left (503)
    deadline_too_near ///< the estimated wait exceeds the time left (503)
};

/// Capacity that this instance has for running tasks.
class capacity_view
{
public:
    /// Memory of the largest backend server, in megabytes; 0 while no backend
    /// server is known, which disables the check.
    std::uint32_t max_server_memory_mb = 0;
    /// Speed of the fastest backend server relative to the reference; above 0.
    double max_server_speed = 1;
    /// Number of owned and borrowed slots.
    std::size_t slots = 0;

    bool operator==(const capacity_view&) const = default;
};

/// Returns the expected run time of a task at reference speed.
using run_time_estimator = std::function<microseconds(const task_spec&)>;

/// Decides at submission which jobs to refuse, and which team's queued tasks to
/// shed first.
class admission
{
public:
    /// \param max_queued_tasks bound on the queued tasks of all teams together.
    explicit admission(std::size_t max_queued_tasks);

    /// Sets a team's weight, at least 0.001; it is 1 for teams without one.
    void set_weight(const std::string& team, double weight);
    /// Checks whether a job can be admitted; changes no count.
    /// \param deadline time left until the deadline; empty: no deadline.
    /// \param expected run time estimates; empty: declared run times are used.
    [[nodiscard]] admission_verdict
    check(const submission& job, std::optional<milliseconds> deadline,
          const capacity_view& capacity,
          const run_time_estimator& expected = {}) const;
    /// Counts tasks as queued.
    /// \param run_time run time of each task.
    void on_queued(const std::string& team, std::size_t tasks,
                   microseconds run_time);
    /// Counts tasks as no longer queued: started or dropped.
    void on_dequeued(const std::string& team, std::size_t tasks,
                     microseconds run_time);
    /// Returns the estimated queueing time of a new task; 0 without slots.
    [[nodiscard]] microseconds
    estimated_wait(const capacity_view& capacity) const;
    /// Returns the team with the most queued tasks relative to its weight, or
    /// nothing if that would be `candidate` itself with `tasks` more: then the
    /// new job is to be refused instead.
    [[nodiscard]] std::optional<std::string>
    team_to_shed(const std::string& candidate, std::size_t tasks) const;

    /// Returns the number of queued tasks of all teams.
    [[nodiscard]] std::size_t queued() const { return this->queued_tasks; }
    /// Returns the number of queued tasks of one team.
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
