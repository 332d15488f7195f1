#pragma once

#include "base/time.hpp"

#include <cstddef>

namespace jujubedrum
{

/// What decides how often an instance says hello over a link.
struct link_state
{
    bool holds_pools = false; ///< the instance itself
    /// The peer is of the same failure domain, so either may have to succeed
    /// the other, or jobs passed over the link lately.
    bool prioritized = false;
    std::size_t peers = 0; ///< number of links of the instance

    bool operator==(const link_state&) const = default;
};

/// Decides how often hellos are sent and what their absence means. Each hello
/// tells the time until the next one, so both ends agree. Answers to the number
/// of instances: with it links get slower, first those that matter least, so
/// that hellos cost an instance about the same.
class heartbeat_timing
{
public:
    [[nodiscard]] static milliseconds interval(const link_state& link);
    /// Returns what a peer promised, within bounds: one of an earlier version
    /// promises nothing, and a wrong one must not keep a dead link alive.
    [[nodiscard]] static milliseconds clamp_interval(milliseconds announced);
    /// Returns the silence after which a holder gets no further jobs.
    [[nodiscard]] static milliseconds suspect_timeout(milliseconds interval);
    /// Returns the silence after which the peer counts as lost.
    [[nodiscard]] static milliseconds dead_timeout(milliseconds interval);
};

} // namespace jujubedrum
