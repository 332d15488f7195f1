#include "dispatch/service_shares.hpp"

#include <algorithm>
#include <cmath>

namespace jujubedrum
{

namespace
{

/// Shares are to hold over some seconds.
constexpr double half_life_ms = 3000;
/// The guarantee is half; the margin covers jobs that are still running.
constexpr double starved_below = 0.55;
/// The same for a size within its class, of which there are fewer jobs.
constexpr double starved_size_below = 0.7;
/// Ends that an unmeasured share counts for, so that the first few jobs of a
/// class do not decide.
constexpr double prior_weight = 4;
/// A priority counts as in use for this long after its last job.
constexpr milliseconds priority_memory{5000};
/// Step of the percentile estimates, as a share of their value.
constexpr double percentile_step = 0.05;
constexpr std::array<double, service_shares::sizes - 1> percentile_of{0.7, 0.9};

double decay(instant since, instant now)
{
    const double ms =
        std::chrono::duration<double, std::milli>(now - since).count();
    return std::exp2(-std::max(0.0, ms) / half_life_ms);
}

} // namespace

void service_shares::recent_counts::add(bool served, instant now)
{
    const double kept = decay(this->at, now);
    this->jobs = this->jobs * kept + 1;
    this->in_time = this->in_time * kept + (served ? 1 : 0);
    this->at = std::max(this->at, now);
}

double service_shares::recent_counts::share(double prior, instant now) const
{
    const double kept = decay(this->at, now);
    return (this->in_time * kept + prior * prior_weight) /
           (this->jobs * kept + prior_weight);
}

std::uint32_t service_shares::add_job(std::uint32_t priority, double work,
                                      instant now)
{
    job_class& of = this->classes[priority];
    of.last_job = std::max(of.last_job, now);
    std::uint32_t size = 0;
    for (std::size_t i = 0; i < of.percentiles.size(); ++i)
    {
        double& limit = of.percentiles[i];
        if (limit <= 0)
        {
            limit = work;
        }
        const bool above = work > limit;
        size += above ? 1 : 0;
        limit *= 1 + percentile_step *
                         (above ? percentile_of[i] : percentile_of[i] - 1);
    }
    return size;
}

void service_shares::add_end(std::uint32_t priority, std::uint32_t size,
                             bool in_time, instant now)
{
    this->all.add(in_time, now);
    job_class& of = this->classes[priority];
    of.all.add(in_time, now);
    of.by_size[std::min(size, sizes - 1)].add(in_time, now);
}

bool service_shares::is_starved(std::uint32_t priority, instant now) const
{
    const auto at = this->classes.find(priority);
    if (at == this->classes.end())
    {
        return false;
    }
    const double overall = this->all.share(1, now);
    return at->second.all.share(overall, now) < starved_below * overall;
}

bool service_shares::is_starved(std::uint32_t priority, std::uint32_t size,
                                instant now) const
{
    const auto at = this->classes.find(priority);
    if (at == this->classes.end())
    {
        return false;
    }
    const double of_class = at->second.all.share(1, now);
    return at->second.by_size[std::min(size, sizes - 1)].share(of_class, now) <
           starved_size_below * of_class;
}

std::set<std::uint32_t> service_shares::recent_priorities(instant now) const
{
    std::set<std::uint32_t> recent;
    for (const auto& [priority, of] : this->classes)
    {
        if (of.last_job + priority_memory >= now)
        {
            recent.insert(priority);
        }
    }
    return recent;
}

} // namespace jujubedrum
