#pragma once

#include "base/time.hpp"

#include <optional>

namespace jujubedrum
{

/// Limits the rate of appends, with bursts of up to 100 ms worth of appends.
class append_rate_limiter
{
public:
    /// \param per_second maximum appends per second, above 0.
    explicit append_rate_limiter(int per_second);

    /// Reserves the next free time for an append. Returns the time to wait
    /// until then, or nothing if it exceeds 1 s: the append is to be refused
    /// and nothing is reserved.
    std::optional<microseconds> reserve(instant now);

private:
    microseconds interval;
    instant next{0};
};

} // namespace jujubedrum
