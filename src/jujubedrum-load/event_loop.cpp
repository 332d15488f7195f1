#include "event_loop.hpp"

#include <algorithm>
#include <utility>

namespace jujubedrum
{

void event_loop::at(instant time, std::function<void()> action)
{
    this->entries.push(
        {std::max(time, this->current), this->added++, std::move(action)});
}

void event_loop::run()
{
    while (!this->entries.empty())
    {
        // The element is removed at once, so its const reference may be moved
        // from.
        auto action = std::move(const_cast<entry&>(this->entries.top()).action);
        this->current = this->entries.top().time;
        this->entries.pop();
        action();
    }
}

} // namespace jujubedrum
