#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace jujubedrum
{

/// Scheduler of a discrete-event simulation: runs actions in the order of
/// their simulated times, and in order of addition if the times are equal.
class event_scheduler
{
public:
    /// Returns the simulated time: that of the action being run.
    [[nodiscard]] instant now() const { return this->current; }
    /// Adds an action. One whose time has passed runs at the present time.
    void schedule_at(instant time, std::function<void()> action);
    /// Runs actions, including those added meanwhile, until none is left.
    void run();

private:
    struct entry
    {
        instant time;
        std::uint64_t order;
        std::function<void()> action;

        bool operator>(const entry& other) const
        {
            return this->time != other.time ? this->time > other.time
                                            : this->order > other.order;
        }
    };

    std::priority_queue<entry, std::vector<entry>, std::greater<>> queue;
    instant current{};
    std::uint64_t added = 0;
};

} // namespace jujubedrum
