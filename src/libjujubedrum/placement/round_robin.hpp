#pragma once

#include "placement/placement_policy.hpp"

#include <string>

namespace jujubedrum
{

/// Sends tasks to the servers in turn, regardless of load.
class round_robin : public placement_policy
{
public:
    using placement_policy::placement_policy;

    [[nodiscard]] std::string_view name() const override;
    std::optional<slot_choice> pick(const task_demand& demand,
                                    std::string_view exclude,
                                    instant now) override;

private:
    std::string last;
};

} // namespace jujubedrum
