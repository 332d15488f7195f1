#pragma once

#include "base/time.hpp"

#include <cstddef>

namespace jujubedrum
{

/// Properties of a link that determine its heartbeat interval.
struct link_state
{
    bool holds_pools = false; ///< this instance does
    /// The peer is of the same failure domain, so that either may have to take
    /// over from the other, or jobs were sent over the link recently.
    bool prioritized = false;
    std::size_t peers = 0; ///< number of links of the instance
    /// Jobs were sent over the link, in either direction, that have not ended.
    bool has_open_jobs = false;

    bool operator==(const link_state&) const = default;
};

/// Determines how often heartbeats are sent and what their absence means. Each
/// heartbeat carries the time until the next one, so that both ends agree. The
/// interval grows with the number of instances, most on links that are not
/// prioritized, so that the cost of heartbeats for an instance stays about the
/// same. On a link with open jobs it stays below a bound, so that the tasks of
/// a dead accepting instance are stopped before its callers' next attempts.
class heartbeat_timing
{
public:
    [[nodiscard]] static milliseconds interval(const link_state& link);
    /// Returns the interval that a peer announced, within bounds: a peer of an
    /// earlier version announces 0, and a wrong value must not keep a dead link
    /// open.
    [[nodiscard]] static milliseconds clamp_interval(milliseconds announced);
    /// Returns the time without a heartbeat after which a holder is suspect and
    /// gets no further jobs.
    [[nodiscard]] static milliseconds suspect_timeout(milliseconds interval);
    /// Returns the time without a heartbeat after which the peer counts as
    /// dead.
    [[nodiscard]] static milliseconds dead_timeout(milliseconds interval);
};

} // namespace jujubedrum
