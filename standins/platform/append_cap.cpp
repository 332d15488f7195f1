#include "platform/append_cap.hpp"

#include <algorithm>

namespace jujubedrum
{

namespace
{

constexpr microseconds burst = milliseconds(100);
constexpr microseconds longest_wait = seconds(1);

} // namespace

append_cap::append_cap(int per_second)
    : interval(microseconds(seconds(1)) / per_second)
{
}

std::optional<microseconds> append_cap::reserve(instant now)
{
    const instant turn = std::max(this->next, now - burst);
    const microseconds wait = std::max(turn - now, microseconds(0));
    if (wait > longest_wait)
    {
        return std::nullopt;
    }
    this->next = turn + this->interval;
    return wait;
}

} // namespace jujubedrum
