#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace jujubedrum
{

/// A task that waits for a free slot.
struct queued_task
{
    /// Time by which the task should end; tasks are served in this order.
    instant due{0};
    /// Internal number of the job.
    std::uint64_t job = 0;
    std::uint32_t index = 0;

    auto operator<=>(const queued_task&) const = default;
};

/// A queued task with the name of its team.
struct team_task
{
    std::string team;
    queued_task task;

    bool operator==(const team_task&) const = default;
};

/// Bounded queue of tasks. Tasks of one team are served by due time; teams
/// share the free slots by weighted round robin.
class task_queue
{
public:
    explicit task_queue(std::size_t capacity);

    /// Returns the number of tasks waiting.
    [[nodiscard]] std::size_t size() const { return this->total; }
    /// Returns the maximum number of waiting tasks.
    [[nodiscard]] std::size_t capacity() const { return this->limit; }
    /// Returns the number of tasks of a team waiting.
    [[nodiscard]] std::size_t size(const std::string& team) const;

    /// Sets the share of a team; 1 unless set.
    void set_weight(const std::string& team, double weight);

    /// Adds a task. A task that was accepted once may be added again for a
    /// retry even if the queue is full, because its job was admitted as a
    /// whole.
    void push(const std::string& team, const queued_task& task);

    /// Returns at most `count` tasks in the order in which they are served
    /// next, without removing them.
    [[nodiscard]] std::vector<team_task> next(std::size_t count) const;

    /// Removes a task that `next` returned and charges its team.
    void pop(const team_task& task);

    /// Removes one task of a job that ended. Returns whether it was waiting.
    bool remove(const std::string& team, const queued_task& task);

private:
    struct team_queue
    {
        std::set<queued_task> tasks;
        double weight = 1.0;
        /// Virtual time: grows by 1 / weight with every task served.
        double served = 0.0;
    };

    std::size_t limit;
    std::size_t total = 0;
    double virtual_time = 0.0;
    std::map<std::string, team_queue> teams;
};

} // namespace jujubedrum
