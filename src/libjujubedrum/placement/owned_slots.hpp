#pragma once

#include "placement/placement_policy.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace jujubedrum
{

/// Starts tasks only on slots that this instance owns or has borrowed. A task
/// is assigned to the slot on which it is expected to end first and waits if
/// that slot is still busy, since a fast slot that is about to become free may
/// end it earlier than a slow free one. A task much shorter than the longest
/// one of its job takes the slowest slot that does not delay the job.
class owned_slots : public placement_policy
{
public:
    using placement_policy::placement_policy;

    [[nodiscard]] std::string_view name() const override;
    void begin_round(instant now) override;
    [[nodiscard]] std::size_t late_tasks() const override
    {
        return this->late_count;
    }
    std::optional<slot_choice> pick(const task_demand& demand,
                                    std::string_view exclude,
                                    instant now) override;
    void started(const slot_choice& choice, instant now) override;
    void finished(const slot_choice& choice, instant now) override;
    [[nodiscard]] bool uses_owned_slots() const override { return true; }

private:
    /// Slots of one server that become free at the same time.
    struct slot_group
    {
        const pooled_server* server = nullptr;
        double slowness = 1.0;
        /// Time at which the slots are expected to become free.
        instant free_at{};
        unsigned count = 0;
        bool probe = false;
    };

    struct running_task
    {
        std::string server;
        instant started_at{};
        microseconds expected{};
    };

    void collect_slots(instant now);
    [[nodiscard]] bool is_eligible(const slot_group& slot,
                                   const task_demand& demand,
                                   std::string_view exclude, instant now) const;
    [[nodiscard]] slot_group* select(const task_demand& demand,
                                     std::string_view exclude, instant now);

    std::unordered_map<std::uint64_t, running_task> running;
    std::vector<slot_group> slots;
    bool slots_valid = false;
    instant slots_collected_at{};
    double min_slowness = 1.0;
    std::size_t late_count = 0;
};

} // namespace jujubedrum
