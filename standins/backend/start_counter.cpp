#include "backend/start_counter.hpp"

namespace jujubedrum
{

void start_counter::count(const std::string& task)
{
    ++this->starts;
    if (++this->counts[task] > 1)
    {
        ++this->repeats;
        return;
    }
    this->eviction_order.push_back(task);
    if (this->eviction_order.size() > this->max_tasks)
    {
        this->counts.erase(this->eviction_order.front());
        this->eviction_order.pop_front();
    }
}

nlohmann::json start_counter::tasks(const std::string& job) const
{
    nlohmann::json result = nlohmann::json::object();
    for (const auto& [task, count] : this->counts)
    {
        if (job.empty() || task.substr(0, task.rfind('/')) == job)
        {
            result[task] = count;
        }
    }
    return result;
}

} // namespace jujubedrum
