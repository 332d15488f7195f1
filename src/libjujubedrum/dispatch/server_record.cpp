#include "dispatch/server_record.hpp"

#include <algorithm>
#include <utility>

namespace jujubedrum
{

namespace
{

/// Weight of a new observation. Declared run times are wrong by a factor of
/// about 1.4 either way, which averages out over ten runs.
constexpr double slowdown_smoothing = 0.15;
/// Bounds of one observation, so that a single run cannot exclude a server.
constexpr double min_ratio = 0.2;
constexpr double max_ratio = 8.0;
/// Consecutive failures, of different jobs, that eject a server. One job that
/// can never succeed must not eject servers.
constexpr std::uint32_t failures_to_eject = 3;
/// Duration of the first ejection. Each further one doubles it, up to the
/// maximum, until a run completes.
constexpr milliseconds min_ejection_time{1000};
constexpr std::uint32_t max_ejection_doublings = 3;

} // namespace

server_record::server_record(server_info info, bool by_rates)
    : description(std::move(info))
    , rated(by_rates)
{
}

void server_record::set_info(server_info changed)
{
    if (changed.incarnation != this->description.incarnation)
    {
        this->slowdown_value = 1.0;
        this->trusted = {};
        this->consecutive_failures = 0;
        this->consecutive_ejections = 0;
    }
    this->description = std::move(changed);
}

bool server_record::usable(instant now) const
{
    return this->is_available(now) &&
           this->trusted.allows_start(this->reserved_tasks, now);
}

bool server_record::in_service(instant now) const
{
    return this->is_available(now) && this->trusted.allows_start(0, now);
}

bool server_record::is_available(instant now) const
{
    return this->reachable && !this->evacuated && !this->description.draining &&
           now >= this->backoff_until && this->describes_running_boot();
}

bool server_record::describes_running_boot() const
{
    return this->running_incarnation == 0 ||
           this->description.incarnation == 0 ||
           this->running_incarnation == this->description.incarnation;
}

bool server_record::fits(const resource_amounts& demand) const
{
    const resource_amounts& all = this->description.capacity;
    // The sum of two large amounts would wrap around.
    const auto fits_into =
        [](std::uint32_t total, std::uint32_t used, std::uint32_t wanted)
    { return used <= total && wanted <= total - used; };
    return fits_into(all.cpu, this->reserved.cpu, demand.cpu) &&
           fits_into(all.memory_mb, this->reserved.memory_mb,
                     demand.memory_mb) &&
           fits_into(all.gpu, this->reserved.gpu, demand.gpu);
}

void server_record::reserve(const resource_amounts& demand)
{
    ++this->reserved_tasks;
    this->reserved.cpu += demand.cpu;
    this->reserved.memory_mb += demand.memory_mb;
    this->reserved.gpu += demand.gpu;
}

void server_record::release(const resource_amounts& demand)
{
    this->reserved_tasks -= std::min(this->reserved_tasks, 1U);
    this->reserved.cpu -= std::min(this->reserved.cpu, demand.cpu);
    this->reserved.memory_mb -=
        std::min(this->reserved.memory_mb, demand.memory_mb);
    this->reserved.gpu -= std::min(this->reserved.gpu, demand.gpu);
}

std::uint32_t server_record::free_cpu() const
{
    return this->description.capacity.cpu -
           std::min(this->reserved.cpu, this->description.capacity.cpu);
}

resource_amounts server_record::free_amounts() const
{
    const resource_amounts& all = this->description.capacity;
    return {this->free_cpu(),
            all.memory_mb - std::min(this->reserved.memory_mb, all.memory_mb),
            all.gpu - std::min(this->reserved.gpu, all.gpu)};
}

void server_record::back_off_until(instant until)
{
    this->backoff_until = std::max(this->backoff_until, until);
}

void server_record::on_done(double ratio, instant now)
{
    const double bounded = std::clamp(ratio, min_ratio, max_ratio);
    this->slowdown_value +=
        slowdown_smoothing * (bounded - this->slowdown_value);
    this->consecutive_failures = 0;
    this->consecutive_ejections = 0;
    if (this->rated)
    {
        this->trusted.on_done(ratio, now);
    }
}

void server_record::on_failed(const std::string& job, instant now)
{
    if (this->rated)
    {
        this->trusted.on_failed(job, now);
        return;
    }
    if (job == this->last_failed_job)
    {
        return;
    }
    this->last_failed_job = job;
    if (++this->consecutive_failures < failures_to_eject)
    {
        return;
    }
    const std::uint32_t doublings =
        std::min(this->consecutive_ejections, max_ejection_doublings);
    this->back_off_until(now + min_ejection_time * (1U << doublings));
    ++this->consecutive_ejections;
    // One further failure after the ejection is enough for the next one.
    this->consecutive_failures = failures_to_eject - 1;
}

void server_record::on_unanswered(const std::string& job, instant now)
{
    if (this->rated)
    {
        this->trusted.on_unanswered(job, now);
    }
}

} // namespace jujubedrum
