#include "dispatch/capacity_meter.hpp"

#include <algorithm>
#include <cmath>

namespace jujubedrum
{

namespace
{

/// Weight of one run in the mean run time.
constexpr double mean_run_rate = 0.02;
/// Weight of one job in the mean size of tasks.
constexpr double mean_size_rate = 0.02;
/// Bound of the ratio of one run, so that a stuck task does not decide.
constexpr double max_ratio = 8;
/// Time over which the demand is averaged: about that of the longest jobs.
constexpr double demand_time_ms = 1500;

} // namespace

std::uint64_t capacity_meter::usable_cpu(std::uint32_t cpu) const
{
    if (this->mean_cpu < 1)
    {
        return cpu;
    }
    // A remainder smaller than a task of the mean size is of no use.
    const auto fitting = static_cast<std::uint64_t>(cpu / this->mean_cpu);
    return fitting * static_cast<std::uint64_t>(this->mean_cpu);
}

void capacity_meter::add_job(const job_request& request)
{
    for (const job_step& step : request.steps)
    {
        const double cpu = step.demand.cpu;
        this->mean_cpu =
            this->mean_cpu < 1
                ? cpu
                : this->mean_cpu + mean_size_rate * (cpu - this->mean_cpu);
    }
}

void capacity_meter::add_run(double ran_ms)
{
    this->mean_ms += mean_run_rate * (ran_ms - this->mean_ms);
}

void capacity_meter::add_ratio(double ratio)
{
    this->mean_ratio +=
        mean_run_rate * (std::min(ratio, max_ratio) - this->mean_ratio);
}

void capacity_meter::add_demand(double work, instant now)
{
    this->demand = this->offered_cpu(now) + work / demand_time_ms;
    this->demand_at = now;
}

double capacity_meter::offered_cpu(instant now) const
{
    const double ms =
        std::chrono::duration<double, std::milli>(now - this->demand_at)
            .count();
    return this->demand * std::exp(-std::max(0.0, ms) / demand_time_ms);
}

double capacity_meter::pressure(const held_servers& servers, instant now) const
{
    double total = 0;
    for (const auto& [id, server] : servers)
    {
        total +=
            server.record.usable(now) ? server.record.info().capacity.cpu : 0;
    }
    return total <= 0 ? 0 : this->offered_cpu(now) * this->mean_ratio / total;
}

bool capacity_meter::has_capacity(const held_servers& servers,
                                  instant now) const
{
    return std::any_of(servers.begin(), servers.end(),
                       [this, now](const auto& entry)
                       {
                           const server_record& server = entry.second.record;
                           return server.usable(now) &&
                                  this->usable_cpu(server.free_cpu()) > 0;
                       });
}

dispatch_load capacity_meter::measure(const held_servers& servers,
                                      instant now) const
{
    dispatch_load result;
    for (const auto& [id, server] : servers)
    {
        if (server.record.usable(now))
        {
            ++result.servers;
            const resource_amounts& all = server.record.info().capacity;
            result.total_cpu += this->usable_cpu(all.cpu);
            result.free_cpu += this->usable_cpu(server.record.free_cpu());
            result.largest_free_cpu =
                std::max(result.largest_free_cpu,
                         std::uint64_t{server.record.free_cpu()});
        }
    }
    result.mean_run_ms = this->mean_ms;
    return result;
}

} // namespace jujubedrum
