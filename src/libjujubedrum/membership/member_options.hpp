#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>

namespace jujubedrum
{

/// Times and limits of the member table.
struct member_options
{
    /// Time between two rounds of heartbeats.
    microseconds round_interval = milliseconds(500);
    /// Most heartbeats sent in a round.
    std::size_t max_heartbeats_per_round = 4;
    /// Most of them to peers that there is no doubt about. The rest is left to
    /// doubtful peers, so that the calm traffic stays within 3 KB/s.
    std::size_t max_regular_heartbeats = 1;
    /// Consecutive failed heartbeats that make a peer suspect.
    std::uint32_t suspect_after_failures = 3;
    /// Shortest silence that makes a peer suspect: three rounds.
    microseconds min_suspect_timeout = milliseconds(1500);
    /// Silence that makes a peer unreachable. Raised where one pass over all
    /// peers takes longer.
    microseconds unreachable_timeout = seconds(10);
    /// Time that a peer must be suspect before it loses its slots.
    microseconds exclusion_delay = seconds(2);
    /// Consecutive heartbeats before a peer gets its slots back.
    std::uint32_t readmission_heartbeats = 3;
    /// How much later than the last contact a list page must have been read to
    /// prove death. The list lags: after a restart under the same name it may
    /// still show the removal while the new process is running.
    microseconds list_grace_period = seconds(10);
    /// Time without a live entry instance before a failure domain is taken
    /// over.
    microseconds takeover_delay = seconds(10);
    /// A longer time between two ticks means that this process was paused;
    /// that time is not counted as silence of the peers.
    microseconds max_tick_interval = seconds(1);
};

} // namespace jujubedrum
