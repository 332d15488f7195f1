#include "dispatch/retry_delay.hpp"

#include "base/hash.hpp"
#include "dispatch/dispatch_load.hpp"

#include <algorithm>

namespace jujubedrum
{

namespace
{

constexpr double min_delay_ms = 100;
/// A caller that comes back much later finds that nobody needs the answer.
constexpr double max_delay_ms = 3000;
/// Demand above the capacity comes back over this time for each multiple of the
/// capacity by which it exceeds it. Waves of demand last about 10 s.
constexpr double spread_ms = 2000;
/// Lower priorities come back over a longer time, up to this multiple.
constexpr std::uint32_t max_priority_factor = 3;

} // namespace

milliseconds retry_delay(milliseconds lateness, double pressure,
                         std::uint32_t priority, const std::string& job)
{
    // Servers that are unusable for the moment may be back soon.
    if (lateness == unknown_wait)
    {
        lateness = milliseconds(0);
    }
    const double share = static_cast<double>(stable_hash(job) % 1024U) / 1024.0;
    const double urgency =
        static_cast<double>(std::min(priority, max_priority_factor - 1) + 1) /
        max_priority_factor;
    const double spread =
        std::clamp(pressure - 0.5, 0.0, 1.0) * spread_ms * urgency;
    const double delay = std::clamp(static_cast<double>(lateness.count()),
                                    min_delay_ms, max_delay_ms - spread) +
                         share * spread;
    return milliseconds(static_cast<long>(delay));
}

} // namespace jujubedrum
