#include "dispatch/result_cache.hpp"

namespace jujubedrum
{

void result_cache::add(const submission_key& key, const job_result& result,
                       instant now)
{
    if (result.outcome != job_outcome::completed &&
        result.outcome != job_outcome::failed)
    {
        return;
    }
    this->remove_expired(now);
    if (this->results.emplace(key, kept_result{result, now}).second)
    {
        this->order.push_back(key);
    }
}

std::optional<job_result> result_cache::find(const submission_key& key,
                                             instant now) const
{
    const auto at = this->results.find(key);
    if (at == this->results.end() || now - at->second.added > retention_time)
    {
        return std::nullopt;
    }
    return at->second.result;
}

void result_cache::remove_expired(instant now)
{
    while (!this->order.empty() &&
           (this->order.size() >= max_results ||
            now - this->results.at(this->order.front()).added > retention_time))
    {
        this->results.erase(this->order.front());
        this->order.pop_front();
    }
}

} // namespace jujubedrum
