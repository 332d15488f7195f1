#include "platform/append_rate_limiter.hpp"

#include <algorithm>

namespace jujubedrum
{

namespace
{

constexpr microseconds burst = milliseconds(100);
constexpr microseconds max_wait = seconds(1);

} // namespace

append_rate_limiter::append_rate_limiter(int per_second)
    : interval(microseconds(seconds(1)) / per_second)
{
}

std::optional<microseconds> append_rate_limiter::reserve(instant now)
{
    const instant turn = std::max(this->next, now - burst);
    const microseconds wait = std::max(turn - now, microseconds(0));
    if (wait > max_wait)
    {
        return std::nullopt;
    }
    this->next = turn + this->interval;
    return wait;
}

} // namespace jujubedrum
