#include "placement/random_choice.hpp"

namespace jujubedrum
{

std::string_view random_choice::name() const
{
    return "random_choice";
}

std::optional<slot_choice> random_choice::pick(const task_demand& demand,
                                               std::string_view exclude,
                                               instant now)
{
    const auto found = this->candidates(demand, exclude, now);
    if (found.empty())
    {
        return std::nullopt;
    }
    const pooled_server& server = *found[this->random.below(found.size())];
    const bool probe =
        this->admission(server, demand, exclude, now) == admission_state::probe;
    return this->choose(server, demand, probe);
}

} // namespace jujubedrum
