#pragma once

#include "base/time.hpp"

#include <optional>

namespace jujubedrum
{

/// Paces appends to a number per second, with a burst of 100 ms.
class append_rate_limiter
{
public:
    /// \param per_second appends allowed a second, above 0.
    explicit append_rate_limiter(int per_second);

    /// Returns how long an append has to wait for its turn, or nothing if the
    /// wait would exceed 1 s; then the append is refused.
    std::optional<microseconds> reserve(instant now);

private:
    microseconds interval;
    instant next{0};
};

} // namespace jujubedrum
