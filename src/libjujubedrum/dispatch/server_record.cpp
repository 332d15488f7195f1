#include "dispatch/server_record.hpp"

#include <algorithm>
#include <utility>

namespace jujubedrum
{

namespace
{

/// Weight of a new observation. Declared run times are off by a factor of
/// about 1.4 either way; ten runs average that out.
constexpr double learning_rate = 0.15;
/// Bounds of one observation, so that a single run cannot banish a server.
constexpr double least_ratio = 0.2;
constexpr double most_ratio = 8.0;
/// Failures in a row, of different jobs, that eject a server. One job that
/// can never succeed must not eject servers.
constexpr std::uint32_t failures_to_eject = 3;
/// First ejection; doubles up to the limit while trials keep failing.
constexpr milliseconds first_ejection{1000};
constexpr std::uint32_t most_doublings = 3;

} // namespace

server_record::server_record(server_info info)
    : description(std::move(info))
{
}

void server_record::set_info(server_info changed)
{
    if (changed.born != this->description.born)
    {
        this->slowdown_value = 1.0;
        this->failures_in_row = 0;
        this->ejections_in_row = 0;
    }
    this->description = std::move(changed);
}

bool server_record::usable(instant now) const
{
    return this->reachable && !this->description.draining &&
           now >= this->held_off_until;
}

bool server_record::fits(const task_room& room) const
{
    const task_room& all = this->description.capacity;
    return this->taken.cpu + room.cpu <= all.cpu &&
           this->taken.memory_mb + room.memory_mb <= all.memory_mb &&
           this->taken.gpu + room.gpu <= all.gpu;
}

void server_record::take(const task_room& room)
{
    this->taken.cpu += room.cpu;
    this->taken.memory_mb += room.memory_mb;
    this->taken.gpu += room.gpu;
}

void server_record::give_back(const task_room& room)
{
    this->taken.cpu -= std::min(this->taken.cpu, room.cpu);
    this->taken.memory_mb -= std::min(this->taken.memory_mb, room.memory_mb);
    this->taken.gpu -= std::min(this->taken.gpu, room.gpu);
}

std::uint32_t server_record::free_cpu() const
{
    return this->description.capacity.cpu -
           std::min(this->taken.cpu, this->description.capacity.cpu);
}

void server_record::hold_off(instant until)
{
    this->held_off_until = std::max(this->held_off_until, until);
}

void server_record::on_done(double ratio, instant)
{
    const double bounded = std::clamp(ratio, least_ratio, most_ratio);
    this->slowdown_value += learning_rate * (bounded - this->slowdown_value);
    this->failures_in_row = 0;
    this->ejections_in_row = 0;
}

void server_record::on_failed(const std::string& job, instant now)
{
    if (job == this->last_failed_job)
    {
        return;
    }
    this->last_failed_job = job;
    if (++this->failures_in_row < failures_to_eject)
    {
        return;
    }
    const std::uint32_t doublings =
        std::min(this->ejections_in_row, most_doublings);
    this->hold_off(now + first_ejection * (1U << doublings));
    ++this->ejections_in_row;
    // One further failure after the ejection is enough for the next one.
    this->failures_in_row = failures_to_eject - 1;
}

} // namespace jujubedrum
