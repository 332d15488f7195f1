#include "placement/two_choices.hpp"

namespace jujubedrum
{

std::string_view two_choices::name() const
{
    return "two_choices";
}

std::optional<slot_choice> two_choices::pick(const task_demand& demand,
                                             std::string_view exclude,
                                             instant now)
{
    const auto found = this->candidates(demand, exclude, now);
    if (found.empty())
    {
        return std::nullopt;
    }
    const auto load = [&](const pooled_server& server)
    {
        return (server.busy + 1) * this->stats.slowness(server.server.name()) /
               server.server.slots();
    };
    const pooled_server& first = *found[this->random.below(found.size())];
    const pooled_server& second = *found[this->random.below(found.size())];
    const pooled_server& server = load(second) < load(first) ? second : first;
    const bool probe =
        this->admission(server, demand, exclude, now) == admission_state::probe;
    return this->choose(server, demand, probe);
}

} // namespace jujubedrum
