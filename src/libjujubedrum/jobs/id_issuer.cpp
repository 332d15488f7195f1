#include "jobs/id_issuer.hpp"

#include <algorithm>
#include <utility>

namespace jujubedrum
{

id_issuer::id_issuer(std::string instance, std::uint64_t incarnation,
                     microseconds lifetime)
    : instance(std::move(instance))
    , incarnation(incarnation)
    , lifetime(lifetime)
{
}

id_block id_issuer::issue(std::uint64_t count, instant now)
{
    this->expire(now);
    count = std::clamp<std::uint64_t>(count, 1, max_block_size);
    const std::uint64_t first = this->last_sequence + 1;
    this->last_sequence += count;
    // Ids issued within one second share a range, which bounds the number of
    // ranges. A range expires by the time of its first id, so that no id is
    // accepted after the job table has removed it.
    const microseconds range_width =
        std::min<microseconds>(seconds(1), this->lifetime / 64);
    if (!this->issued.empty() &&
        now - this->issued.back().first_issued_at < range_width)
    {
        this->issued.back().last = this->last_sequence;
    }
    else
    {
        this->issued.push_back({this->last_sequence, now});
    }
    return {issued_id(this->instance, this->incarnation, first), count};
}

bool id_issuer::owns(const issued_id& id) const
{
    return id.instance() == this->instance &&
           id.incarnation() == this->incarnation;
}

bool id_issuer::was_issued(const issued_id& id) const
{
    return this->owns(id) && id.sequence() >= 1 &&
           id.sequence() <= this->last_sequence;
}

bool id_issuer::usable(const issued_id& id, instant now)
{
    return this->was_issued(id) &&
           id.sequence() > this->last_expired_sequence(now);
}

std::uint64_t id_issuer::last_expired_sequence(instant now)
{
    this->expire(now);
    return this->expired_through;
}

void id_issuer::expire(instant now)
{
    while (!this->issued.empty() &&
           now - this->issued.front().first_issued_at >= this->lifetime)
    {
        this->expired_through = this->issued.front().last;
        this->issued.pop_front();
    }
}

} // namespace jujubedrum
