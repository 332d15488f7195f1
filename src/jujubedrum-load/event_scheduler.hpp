#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace jujubedrum
{

/// Runs actions in the order of their times; equal times in order of addition.
class event_scheduler
{
public:
    /// Returns the time of the action that runs now.
    [[nodiscard]] instant now() const { return this->current; }
    /// Adds an action; a time in the past means now.
    void schedule_at(instant time, std::function<void()> action);
    /// Runs until no action is left.
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
