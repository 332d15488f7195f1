#include "dispatch/overload_order.hpp"

#include <algorithm>
#include <limits>

namespace jujubedrum
{

queue_rank latest_start_order::rank_of(const pooled_job& job, instant) const
{
    return {0, 0, job.latest_start, job.sequence};
}

caller_cost_order::caller_cost_order(const service_shares& of_classes,
                                     std::uint32_t highest_priority)
    : shares(of_classes)
    , highest(highest_priority)
{
}

queue_rank caller_cost_order::rank_of(const pooled_job& job, instant now) const
{
    const std::uint32_t priority = job.terms.priority;
    // The work that a job has begun is lost if the rest of it comes too late.
    const bool begun = job.starts > 0;
    const bool ahead = begun || this->shares.is_starved(priority, now);
    const std::uint32_t level =
        priority <= this->highest ? 0
        : ahead                   ? 1
                                  : std::min(priority,
                                             std::numeric_limits<std::uint32_t>::max() - 2) +
                      2;
    const bool size_ahead =
        begun || this->shares.is_starved(priority, job.size, now);
    return {level, size_ahead ? 0U : 1U, job.latest_start, job.sequence};
}

} // namespace jujubedrum
