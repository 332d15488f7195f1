#include "engine/task_queue.hpp"

#include <algorithm>
#include <utility>

namespace jujubedrum
{

task_queue::task_queue(std::size_t capacity)
    : limit(capacity)
{
}

std::size_t task_queue::size(const std::string& team) const
{
    const auto found = this->teams.find(team);
    return found == this->teams.end() ? 0 : found->second.tasks.size();
}

void task_queue::set_weight(const std::string& team, double weight)
{
    this->teams[team].weight = std::max(weight, 0.001);
}

void task_queue::push(const std::string& team, const queued_task& task)
{
    team_queue& queue = this->teams[team];
    if (queue.tasks.empty())
    {
        // An idle team starts at the present virtual time; otherwise it would
        // spend credit saved up while it had nothing to run.
        queue.served = std::max(queue.served, this->virtual_time);
    }
    if (queue.tasks.insert(task).second)
    {
        ++this->total;
    }
}

std::optional<team_task>
task_queue::front(const std::function<bool(const std::string&)>& eligible) const
{
    const std::pair<const std::string, team_queue>* best = nullptr;
    for (const auto& entry : this->teams)
    {
        if (entry.second.tasks.empty() || !eligible(entry.first))
        {
            continue;
        }
        if (best == nullptr || entry.second.served < best->second.served)
        {
            best = &entry;
        }
    }
    if (best == nullptr)
    {
        return std::nullopt;
    }
    return team_task{best->first, *best->second.tasks.begin()};
}

void task_queue::pop(const team_task& task)
{
    if (!this->remove(task.team, task.task))
    {
        return;
    }
    team_queue& queue = this->teams[task.team];
    this->virtual_time = queue.served;
    queue.served += 1.0 / queue.weight;
}

bool task_queue::remove(const std::string& team, const queued_task& task)
{
    const auto found = this->teams.find(team);
    if (found == this->teams.end() || found->second.tasks.erase(task) == 0)
    {
        return false;
    }
    --this->total;
    return true;
}

} // namespace jujubedrum
