#pragma once

#include "backend/task_entry.hpp"

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace jujubedrum
{

/// FIFO queue in front of the slots and memory of one backend server. The first
/// task starts when a slot and its declared memory are free; a task that does
/// not fit blocks those behind it.
class slot_queue
{
public:
    slot_queue(int slots, long long memory_mb);

    /// Appends a task. The entry must stay valid until it is removed.
    void add(task_entry& entry);
    /// Starts tasks from the front while they fit and returns them.
    std::vector<task_entry*> start_ready();
    /// Removes a waiting or running task.
    void remove(task_entry& entry);
    /// Marks all waiting and running tasks with this id as stopped. Returns
    /// their number.
    std::size_t stop(const std::string& task);
    /// Notifies the threads of all waiting and running tasks.
    void notify_all();

    [[nodiscard]] std::size_t waiting() const { return this->queue.size(); }
    [[nodiscard]] std::size_t running() const { return this->active.size(); }
    /// Returns the total declared memory of the running tasks.
    [[nodiscard]] long long used_memory_mb() const;

private:
    const std::size_t slots;
    const long long memory_mb;
    std::deque<task_entry*> queue;
    std::vector<task_entry*> active;
};

} // namespace jujubedrum
