#include "dispatch/late_starts.hpp"

namespace jujubedrum
{

void late_starts::add(const task_id& task, const std::string& server,
                      instant until, instant now)
{
    while (!this->order.empty() && this->order.front().until <= now)
    {
        const auto at = this->tasks.find(this->order.front().task);
        if (at != this->tasks.end() && at->second.until <= now)
        {
            this->tasks.erase(at);
        }
        this->order.pop_front();
    }
    this->tasks[task] = {server, until};
    this->order.push_back({task, until});
}

std::optional<std::string> late_starts::server_of(const task_id& task,
                                                  instant now) const
{
    const auto at = this->tasks.find(task);
    if (at == this->tasks.end() || at->second.until <= now)
    {
        return std::nullopt;
    }
    return at->second.server;
}

bool late_starts::has_job(const std::string& job, instant now) const
{
    for (auto at = this->tasks.lower_bound({job, 0, 0});
         at != this->tasks.end() && at->first.job == job; ++at)
    {
        if (now < at->second.until)
        {
            return true;
        }
    }
    return false;
}

} // namespace jujubedrum
