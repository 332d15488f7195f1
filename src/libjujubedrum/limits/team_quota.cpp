#include "limits/team_quota.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace jujubedrum
{

team_quota::team_quota(quota_limits limits)
    : limits(limits)
{
}

void team_quota::set_share(const std::vector<weighted_instance>& listed,
                           std::string_view self, instant now)
{
    this->refill(now);
    this->listed = listed;
    std::sort(this->listed.begin(), this->listed.end(),
              [](const weighted_instance& a, const weighted_instance& b)
              { return a.name < b.name; });
    this->self = self;
    this->divide();
}

void team_quota::set_limits(quota_limits limits, instant now)
{
    this->refill(now);
    this->limits = limits;
    this->divide();
}

void team_quota::divide()
{
    double total = 0;
    double before = 0;
    double own = 0;
    for (const weighted_instance& peer : this->listed)
    {
        if (peer.name == this->self)
        {
            before = total;
            own = peer.weight;
        }
        total += peer.weight;
    }
    const double share = total > 0 ? own / total : 0;
    this->rate_share = this->limits.tasks_per_second * share;
    // All instances round the same running sums, in the order of names, so
    // their shares add up to the quota exactly.
    const auto rounded_quota = [this, total](double weight)
    {
        return total > 0
                   ? std::floor(static_cast<double>(this->limits.in_flight) *
                                weight / total)
                   : 0.0;
    };
    this->cap = static_cast<std::uint64_t>(rounded_quota(before + own) -
                                           rounded_quota(before));
    this->tokens = std::min(this->tokens, this->burst());
}

bool team_quota::admit(std::uint64_t tasks, instant now)
{
    this->refill(now);
    if (this->tokens < static_cast<double>(tasks))
    {
        return false;
    }
    this->tokens -= static_cast<double>(tasks);
    return true;
}

void team_quota::refund(std::uint64_t tasks)
{
    this->tokens =
        std::min(this->tokens + static_cast<double>(tasks), this->burst());
}

bool team_quota::start_task()
{
    if (this->in_flight_count >= this->cap)
    {
        return false;
    }
    ++this->in_flight_count;
    return true;
}

void team_quota::finish_task()
{
    this->in_flight_count -= this->in_flight_count > 0 ? 1 : 0;
}

std::optional<microseconds>
team_quota::time_until_admission(std::uint64_t tasks, instant now)
{
    this->refill(now);
    const double missing = static_cast<double>(tasks) - this->tokens;
    if (missing <= 0)
    {
        return microseconds(0);
    }
    if (this->rate_share <= 0 || static_cast<double>(tasks) > this->burst())
    {
        return std::nullopt;
    }
    return microseconds(
        static_cast<std::int64_t>(std::ceil(missing / this->rate_share * 1e6)));
}

double team_quota::burst() const
{
    // Without a rate there is no burst: an instance removed from the list could
    // otherwise still run a job.
    if (this->rate_share <= 0)
    {
        return 0;
    }
    return std::max(this->rate_share,
                    static_cast<double>(this->limits.max_tasks_per_job));
}

void team_quota::refill(instant now)
{
    if (this->refilled_at && now > *this->refilled_at)
    {
        const double elapsed =
            std::chrono::duration<double>(now - *this->refilled_at).count();
        this->tokens =
            std::min(this->tokens + elapsed * this->rate_share, this->burst());
    }
    if (!this->refilled_at && this->rate_share > 0)
    {
        this->tokens = this->burst();
        this->refilled_at = now;
    }
    if (this->refilled_at)
    {
        this->refilled_at = std::max(*this->refilled_at, now);
    }
}

} // namespace jujubedrum
