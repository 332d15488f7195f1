#include "placement/owned_slots.hpp"

namespace jujubedrum
{

std::string_view owned_slots::name() const
{
    return "owned_slots";
}

std::optional<slot_choice> owned_slots::pick(const task_demand& demand,
                                             std::string_view exclude,
                                             instant now)
{
    const pooled_server* best = nullptr;
    double best_slowness = 0.0;
    std::uint64_t ties = 0;
    if (this->pool.free() == 0)
    {
        return std::nullopt;
    }
    for (const auto& [name, server] : this->pool.servers())
    {
        if (server.free() == 0)
        {
            continue;
        }
        const admission_state state =
            this->admission(server, demand, exclude, now);
        if (state == admission_state::probe)
        {
            return this->choose(server, demand, true);
        }
        if (state == admission_state::ejected)
        {
            continue;
        }
        const double slowness = this->stats.slowness(name);
        ties = slowness == best_slowness ? ties + 1 : 1;
        if (best == nullptr || slowness < best_slowness ||
            (slowness == best_slowness && this->random.below(ties) == 0))
        {
            best = &server;
            best_slowness = slowness;
        }
    }
    if (best == nullptr)
    {
        return std::nullopt;
    }
    return this->choose(*best, demand, false);
}

} // namespace jujubedrum
