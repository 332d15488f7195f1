#pragma once

#include "placement/placement_policy.hpp"

namespace jujubedrum
{

/// Sends each task to the less loaded of two random servers. The load counts
/// only the tasks of this instance.
class two_choices : public placement_policy
{
public:
    using placement_policy::placement_policy;

    [[nodiscard]] std::string_view name() const override;
    std::optional<slot_choice> pick(const task_demand& demand,
                                    std::string_view exclude,
                                    instant now) override;
};

} // namespace jujubedrum
