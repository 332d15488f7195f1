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

/// What a policy decides from. The referenced objects outlive the policy.
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

    /// Returns the name by which `make_policy` creates the policy.
    [[nodiscard]] virtual std::string_view name() const = 0;
    /// Forgets what earlier picks assumed about waiting tasks. Call it before
    /// the waiting tasks are offered again, in their order. A task that has to
    /// wait does not stop the tasks behind it.
    virtual void begin_round(instant now);
    /// Returns the number of tasks picked for since `begin_round` that will end
    /// late unless more slots are borrowed.
    [[nodiscard]] virtual std::size_t late_tasks() const { return 0; }
    /// Returns the server to start the task on now, or nothing if the task has
    /// to wait. Call `started` before the next pick.
    /// \param exclude server that must not be chosen; may be empty.
    virtual std::optional<slot_choice>
    pick(const task_demand& demand, std::string_view exclude, instant now) = 0;
    /// Returns whether tasks may start on owned or borrowed slots only, so
    /// that free slots are exact and a grant can help a waiting task.
    [[nodiscard]] virtual bool uses_owned_slots() const { return false; }

    /// Replaces the parameters.
    void set_tuning(const placement_tuning& changed) { this->tuning = changed; }

    /// Accounts for a task that was sent.
    virtual void started(const slot_choice& choice, instant now);
    /// Accounts for a task that ended in any way.
    /// \param choice the same choice that was passed to `started`.
    virtual void finished(const slot_choice& choice, instant now);

protected:
    /// Returns the admission of a server for a task, `ejected` if the server
    /// is excluded, unusable or too small.
    [[nodiscard]] admission_state admission(const pooled_server& server,
                                            const task_demand& demand,
                                            std::string_view exclude,
                                            instant now) const;
    /// Returns the choice of a server.
    [[nodiscard]] slot_choice choose(const pooled_server& server,
                                     const task_demand& demand, bool probe);
    /// Returns every server that may be given the task, owned or not.
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
/// Returns null for another name.
std::unique_ptr<placement_policy> make_policy(std::string_view name,
                                              const placement_context& context,
                                              placement_reason& why);

} // namespace jujubedrum
