#include "dispatch/cancelled_jobs.hpp"

namespace jujubedrum
{

void cancelled_jobs::add(const std::string& job, bool own, instant now)
{
    this->remove_expired(now);
    const instant until = now + retention_time;
    cancelled_job& entry = this->jobs[job];
    entry = {until, own || entry.own};
    this->order.push_back({job, until});
    // A job that was cancelled again has further entries in the order.
    while (this->jobs.size() > max_jobs || this->order.size() > 2 * max_jobs)
    {
        this->jobs.erase(this->order.front().id);
        this->order.pop_front();
    }
}

bool cancelled_jobs::contains(const std::string& job, instant now) const
{
    const auto at = this->jobs.find(job);
    return at != this->jobs.end() && now < at->second.until;
}

std::vector<std::string> cancelled_jobs::own_jobs(instant now) const
{
    std::vector<std::string> result;
    for (const auto& [id, entry] : this->jobs)
    {
        if (entry.own && now < entry.until)
        {
            result.push_back(id);
        }
    }
    return result;
}

void cancelled_jobs::remove_expired(instant now)
{
    while (!this->order.empty() && this->order.front().until <= now)
    {
        const auto at = this->jobs.find(this->order.front().id);
        if (at != this->jobs.end() && at->second.until <= now)
        {
            this->jobs.erase(at);
        }
        this->order.pop_front();
    }
}

} // namespace jujubedrum
