#include "event_scheduler.hpp"

#include <algorithm>
#include <utility>

namespace jujubedrum
{

void event_scheduler::schedule_at(instant time, std::function<void()> action)
{
    this->queue.push(
        {std::max(time, this->current), this->added++, std::move(action)});
}

void event_scheduler::run()
{
    while (!this->queue.empty())
    {
        // top() returns a const reference. Moving the action out of it is safe:
        // the order does not depend on it, and the element is popped next.
        auto action = std::move(const_cast<entry&>(this->queue.top()).action);
        this->current = this->queue.top().time;
        this->queue.pop();
        action();
    }
}

} // namespace jujubedrum
