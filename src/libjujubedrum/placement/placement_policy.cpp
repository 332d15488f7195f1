#include "placement/placement_policy.hpp"

#include "placement/owned_slots.hpp"
#include "placement/random_choice.hpp"
#include "placement/round_robin.hpp"
#include "placement/two_choices.hpp"

#include <string>

namespace jujubedrum
{

placement_policy::placement_policy(const placement_context& context)
    : pool(context.pool)
    , stats(context.stats)
    , random(context.random)
    , tuning(context.tuning)
{
}

void placement_policy::begin_round(instant /*now*/) {}

void placement_policy::started(const slot_choice& choice, instant /*now*/)
{
    this->pool.started(choice.server);
    if (choice.probe)
    {
        this->stats.on_probe_started(choice.server);
    }
}

void placement_policy::finished(const slot_choice& choice, instant /*now*/)
{
    this->pool.finished(choice.server);
    if (choice.probe)
    {
        this->stats.on_probe_ended(choice.server);
    }
}

admission_state placement_policy::admission(const pooled_server& server,
                                            const task_demand& demand,
                                            std::string_view exclude,
                                            instant now) const
{
    const std::string& name = server.server.name();
    if (!server.usable || name == exclude ||
        demand.memory_mb > server.server.memory_mb())
    {
        return admission_state::ejected;
    }
    const admission_state state = this->stats.admission(name, now);
    if (state == admission_state::probe && !demand.repeatable)
    {
        return admission_state::ejected;
    }
    return state;
}

slot_choice placement_policy::choose(const pooled_server& server,
                                     const task_demand& demand, bool probe)
{
    const std::string& name = server.server.name();
    return {name,
            this->stats.expected_run_time(name, demand.kind, demand.declared),
            probe, ++this->last_start_id};
}

std::vector<const pooled_server*>
placement_policy::candidates(const task_demand& demand,
                             std::string_view exclude, instant now) const
{
    std::vector<const pooled_server*> found;
    for (const auto& [name, server] : this->pool.servers())
    {
        if (this->admission(server, demand, exclude, now) !=
            admission_state::ejected)
        {
            found.push_back(&server);
        }
    }
    return found;
}

std::unique_ptr<placement_policy> make_policy(std::string_view name,
                                              const placement_context& context,
                                              placement_reason& why)
{
    if (name == "owned_slots")
    {
        return std::make_unique<owned_slots>(context);
    }
    if (name == "round_robin")
    {
        return std::make_unique<round_robin>(context);
    }
    if (name == "random_choice")
    {
        return std::make_unique<random_choice>(context);
    }
    if (name == "two_choices")
    {
        return std::make_unique<two_choices>(context);
    }
    why = {placement_error::unknown_policy, std::string(name),
           "the policy must be owned_slots, round_robin, random_choice or "
           "two_choices"};
    return nullptr;
}

} // namespace jujubedrum
