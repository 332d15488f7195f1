#include "placement/round_robin.hpp"

namespace jujubedrum
{

std::string_view round_robin::name() const
{
    return "round_robin";
}

std::optional<slot_choice> round_robin::pick(const task_demand& demand,
                                             std::string_view exclude,
                                             instant now)
{
    const auto found = this->candidates(demand, exclude, now);
    if (found.empty())
    {
        return std::nullopt;
    }
    // The candidates are sorted by name. Continuing from the name last used
    // keeps the order when servers are added or removed in between.
    const pooled_server* next = found.front();
    for (const pooled_server* server : found)
    {
        if (server->server.name() > this->last)
        {
            next = server;
            break;
        }
    }
    this->last = next->server.name();
    const bool probe =
        this->admission(*next, demand, exclude, now) == admission_state::probe;
    return this->choose(*next, demand, probe);
}

} // namespace jujubedrum
