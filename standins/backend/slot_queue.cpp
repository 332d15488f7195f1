#include "backend/slot_queue.hpp"

#include <algorithm>

namespace jujubedrum
{

slot_queue::slot_queue(int slots, long long memory_mb)
    : slots(static_cast<std::size_t>(slots))
    , memory_mb(memory_mb)
{
}

void slot_queue::add(task_entry& entry)
{
    this->queue.push_back(&entry);
}

std::vector<task_entry*> slot_queue::start_ready()
{
    std::vector<task_entry*> started;
    while (!this->queue.empty() && this->active.size() < this->slots &&
           this->used_memory_mb() + this->queue.front()->memory_mb <=
               this->memory_mb)
    {
        task_entry* const entry = this->queue.front();
        this->queue.pop_front();
        entry->state = task_entry::phase::running;
        this->active.push_back(entry);
        started.push_back(entry);
    }
    return started;
}

void slot_queue::remove(task_entry& entry)
{
    std::erase(this->queue, &entry);
    std::erase(this->active, &entry);
}

std::size_t slot_queue::stop(const std::string& task)
{
    std::size_t found = 0;
    const auto mark = [&](task_entry* entry)
    {
        if (entry->task == task)
        {
            entry->stopped = true;
            ++found;
        }
    };
    std::for_each(this->queue.begin(), this->queue.end(), mark);
    std::for_each(this->active.begin(), this->active.end(), mark);
    return found;
}

void slot_queue::notify_all()
{
    for (task_entry* entry : this->queue)
    {
        entry->changed.notify_all();
    }
    for (task_entry* entry : this->active)
    {
        entry->changed.notify_all();
    }
}

long long slot_queue::used_memory_mb() const
{
    long long used = 0;
    for (const task_entry* entry : this->active)
    {
        used += entry->memory_mb;
    }
    return used;
}

} // namespace jujubedrum
