#include "dispatch/caller_budget.hpp"

namespace jujubedrum
{

namespace
{

/// The body as received, parsed and encoded for its holder; steps and lists in
/// it grow by up to this factor.
constexpr std::size_t job_factor = 8;
constexpr std::size_t min_job_bytes = 4096;
/// Share of the budget that open jobs may take. The rest is for reading
/// requests, so that these can be refused with an answer.
constexpr std::size_t job_share_numerator = 3;
constexpr std::size_t job_share_denominator = 4;

} // namespace

std::size_t caller_budget::job_bytes(std::size_t body_bytes)
{
    return min_job_bytes + job_factor * body_bytes;
}

void caller_budget::add(connection_id id, instant now)
{
    this->connections[id].since = now;
    this->total += connection_bytes;
}

void caller_budget::remove(connection_id id)
{
    const auto at = this->connections.find(id);
    if (at == this->connections.end())
    {
        return;
    }
    this->total -= at->second.bytes;
    this->serving -= at->second.phase == caller_phase::serving ? 1 : 0;
    this->connections.erase(at);
}

void caller_budget::update(connection_id id, caller_phase phase,
                           std::size_t bytes, instant now)
{
    const auto at = this->connections.find(id);
    if (at == this->connections.end())
    {
        return;
    }
    connection& changed = at->second;
    this->total = this->total - changed.bytes + bytes;
    changed.bytes = bytes;
    if (changed.phase == phase)
    {
        return;
    }
    this->serving -= changed.phase == caller_phase::serving ? 1 : 0;
    this->serving += phase == caller_phase::serving ? 1 : 0;
    changed.phase = phase;
    changed.since = now;
}

bool caller_budget::admits(std::size_t bytes) const
{
    return this->limits.memory_bytes == 0 || this->serving == 0 ||
           this->total + bytes <= this->limits.memory_bytes /
                                      job_share_denominator *
                                      job_share_numerator;
}

std::optional<caller_budget::connection_id>
caller_budget::memory_victim(instant now) const
{
    if (this->limits.memory_bytes == 0 ||
        this->total <= this->limits.memory_bytes)
    {
        return std::nullopt;
    }
    std::size_t candidates = 0;
    std::size_t sum = 0;
    for (const auto& [id, each] : this->connections)
    {
        const bool candidate = each.phase != caller_phase::serving;
        candidates += candidate ? 1 : 0;
        sum += candidate ? each.bytes : 0;
    }
    // Small connections are spared, since closing them frees little.
    const std::size_t average = candidates > 0 ? sum / candidates : 0;
    std::optional<connection_id> chosen;
    double highest = 0;
    for (const auto& [id, each] : this->connections)
    {
        if (each.phase == caller_phase::serving || each.bytes < average)
        {
            continue;
        }
        const auto waited =
            static_cast<double>((now - each.since + milliseconds(1)).count());
        const double score = waited * static_cast<double>(each.bytes);
        if (score > highest)
        {
            highest = score;
            chosen = id;
        }
    }
    return chosen;
}

std::optional<caller_budget::connection_id> caller_budget::idle_victim() const
{
    std::optional<connection_id> chosen;
    instant oldest{0};
    for (const auto& [id, each] : this->connections)
    {
        if (each.phase == caller_phase::idle &&
            (!chosen || each.since < oldest))
        {
            chosen = id;
            oldest = each.since;
        }
    }
    return chosen;
}

} // namespace jujubedrum
