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
        // An idle team starts at the current virtual time; otherwise it would
        // use credit accumulated while it had no tasks.
        queue.served = std::max(queue.served, this->virtual_time);
    }
    if (queue.tasks.insert(task).second)
    {
        ++this->total;
    }
}

std::vector<team_task> task_queue::next(std::size_t count) const
{
    struct cursor
    {
        const std::string* team;
        std::set<queued_task>::const_iterator at;
        std::set<queued_task>::const_iterator end;
        double served;
        double weight;
    };
    std::vector<cursor> cursors;
    for (const auto& [name, queue] : this->teams)
    {
        if (!queue.tasks.empty())
        {
            cursors.push_back({&name, queue.tasks.begin(), queue.tasks.end(),
                               queue.served, queue.weight});
        }
    }
    std::vector<team_task> order;
    while (order.size() < count && !cursors.empty())
    {
        const auto best =
            std::min_element(cursors.begin(), cursors.end(),
                             [](const cursor& left, const cursor& right)
                             { return left.served < right.served; });
        order.push_back({*best->team, *best->at});
        best->served += 1.0 / best->weight;
        if (++best->at == best->end)
        {
            cursors.erase(best);
        }
    }
    return order;
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
