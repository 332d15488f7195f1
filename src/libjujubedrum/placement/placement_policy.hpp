#pragma once

#include "base/random_source.hpp"
#include "base/time.hpp"
#include "placement/placement_reason.hpp"
#include "placement/placement_tuning.hpp"
#include "placement/server_stats.hpp"
#include "placement/slot_choice.hpp"
#include "placement/slot_pool.hpp"
#include "placement/task_demand.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace jujubedrum
{

/// Inputs of a policy. The referenced objects must outlive the policy.
struct placement_context
{
    slot_pool& pool;
    server_stats& stats;
    random_source& random;
    placement_tuning tuning{};
};

/// Chooses a backend server for each task.
class placement_policy
{
public:
    explicit placement_policy(const placement_context& context);
    virtual ~placement_policy() = default;
    placement_policy(const placement_policy&) = delete;
    placement_policy& operator=(const placement_policy&) = delete;

    /// Name under which `make_policy` creates the policy.
    [[nodiscard]] virtual std::string_view name() const = 0;
    /// Starts a scheduling pass: discards the slot reservations of the previous
    /// one. Call it before calling `pick` for the waiting tasks, in their
    /// order. A task that has to wait does not block the tasks after it.
    virtual void begin_round(instant now);
    /// Returns the number of tasks since `begin_round` that are expected to end
    /// late unless more slots are borrowed.
    [[nodiscard]] virtual std::size_t late_tasks() const { return 0; }
    /// Returns the server to start the task on now, or nothing if the task has
    /// to wait. Call `started` before the next pick.
    /// \param exclude server that must not be chosen; may be empty.
    virtual std::optional<slot_choice>
    pick(const task_demand& demand, std::string_view exclude, instant now) = 0;
    /// Returns whether tasks start on owned or borrowed slots only. If so, the
    /// number of free slots is exact, and a grant can help a waiting task.
    [[nodiscard]] virtual bool uses_owned_slots() const { return false; }

    void set_tuning(const placement_tuning& changed) { this->tuning = changed; }

    /// Records that a task was sent to its server.
    virtual void started(const slot_choice& choice, instant now);
    /// Records that a task ended, whatever its outcome.
    /// \param choice the same choice that was passed to `started`.
    virtual void finished(const slot_choice& choice, instant now);

protected:
    /// Returns whether a server may be given a task; `ejected` also if the
    /// server is excluded or unusable, has too little memory, or is due for a
    /// probe and the task is not repeatable.
    [[nodiscard]] admission_state admission(const pooled_server& server,
                                            const task_demand& demand,
                                            std::string_view exclude,
                                            instant now) const;
    /// Returns the choice of a server, with a new `start_id`.
    [[nodiscard]] slot_choice choose(const pooled_server& server,
                                     const task_demand& demand, bool probe);
    /// Returns every server that may be given the task, whether or not this
    /// instance owns slots of it.
    [[nodiscard]] std::vector<const pooled_server*>
    candidates(const task_demand& demand, std::string_view exclude,
               instant now) const;

    slot_pool& pool;
    server_stats& stats;
    random_source& random;
    placement_tuning tuning;

private:
    std::uint64_t last_start_id = 0;
};

/// Creates a policy: owned_slots, round_robin, random_choice or two_choices.
/// Returns null and sets `why` for any other name.
std::unique_ptr<placement_policy> make_policy(std::string_view name,
                                              const placement_context& context,
                                              placement_reason& why);

} // namespace jujubedrum
