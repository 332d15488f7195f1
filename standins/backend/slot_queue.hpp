#pragma once

#include "backend/task_entry.hpp"

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace jujubedrum
{

/// Slots and memory of one backend server. Tasks start in arrival order when a
/// slot and their declared memory are free.
class slot_queue
{
public:
    slot_queue(int slots, long long memory_mb);

    /// Appends a waiting task.
    void add(task_entry& entry);
    /// Starts the tasks at the front that fit and returns them.
    std::vector<task_entry*> start_ready();
    /// Removes a task, waiting or running.
    void remove(task_entry& entry);
    /// Marks every present task of this id as stopped; returns their number.
    std::size_t stop(const std::string& task);
    /// Wakes every present task.
    void notify_all();

    [[nodiscard]] std::size_t waiting() const { return this->queue.size(); }
    [[nodiscard]] std::size_t running() const { return this->active.size(); }
    /// Returns the declared memory of the running tasks.
    [[nodiscard]] long long used_memory_mb() const;

private:
    const std::size_t slots;
    const long long memory_mb;
    std::deque<task_entry*> queue;
    std::vector<task_entry*> active;
};

} // namespace jujubedrum
