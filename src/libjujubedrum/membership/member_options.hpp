#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>

namespace jujubedrum
{

/// Timeouts and rates of heartbeats and failure detection.
struct member_options
{
    /// Time between two rounds of heartbeats.
    microseconds round_interval = milliseconds(500);
    /// Upper bound on the heartbeats of one round, probes included.
    std::size_t max_heartbeats_per_round = 4;
    /// Upper bound on the heartbeats of one round to peers that need no probe,
    /// so that the regular traffic stays within 3 KB/s. The rest of the round
    /// probes peers with a failed heartbeat, a suspicion or an unconfirmed
    /// incarnation.
    std::size_t max_regular_heartbeats = 1;
    /// Consecutive failed heartbeats after which a peer is suspect.
    std::uint32_t suspect_after_failures = 3;
    /// Lower bound on the time without contact after which a peer is suspect:
    /// three rounds. Raised for peers that pause regularly, and to two regular
    /// heartbeat intervals where these take longer.
    microseconds min_suspect_timeout = milliseconds(1500);
    /// Time without contact after which a peer is unreachable. Raised to three
    /// regular heartbeat intervals where these take longer.
    microseconds unreachable_timeout = seconds(10);
    /// Time from suspicion until a peer loses its slots.
    microseconds exclusion_delay = seconds(2);
    /// Consecutive contacts after which an excluded peer owns slots again.
    std::uint32_t readmission_heartbeats = 3;
    /// Time after the last contact from which a list page without the peer
    /// proves its death. The list lags: after a restart under the same name it
    /// may still show the removal while the new process is running.
    microseconds list_grace_period = seconds(10);
    /// Time without a live entry instance after which the instances of the
    /// region take over the backend servers of a failure domain.
    microseconds takeover_delay = seconds(10);
    /// A longer time between two ticks means that this process was suspended;
    /// that time does not count as time without contact with the peers.
    microseconds max_tick_interval = seconds(1);
};

} // namespace jujubedrum
