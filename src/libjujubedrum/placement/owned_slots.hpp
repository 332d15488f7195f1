#pragma once

#include "placement/placement_policy.hpp"

namespace jujubedrum
{

/// Starts tasks only on slots that this instance owns or borrowed, on the free
/// one with the shortest expected run time.
class owned_slots : public placement_policy
{
public:
    using placement_policy::placement_policy;

    [[nodiscard]] std::string_view name() const override;
    std::optional<slot_choice> pick(const task_demand& demand,
                                    std::string_view exclude,
                                    instant now) override;
    [[nodiscard]] bool uses_owned_slots() const override { return true; }
};

} // namespace jujubedrum
